"""Planned stops of hosts in and outside the core of a large fleet."""

import collections
import contextlib
import functools
import json
import math
import random
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.peers import link
from persimmonpass.policy import relay
from persimmonpass import servers
from tests import platform_fakes
from tests import stop_load
from tests import test_planned_stops as stops

HOSTS = ('one', 'two', 'three', 'four', 'five', 'six')
CORE_HOSTS = 3
# Links as in a fleet of many hosts.
FEW_LINKS = {
    'MESH_HOSTS': 2,
    'SUCCESSORS': 1,
    'HASHED_LINKS': 1,
    'RELAYS_PER_ZONE': 1,
}
# Other seeds are played by hand, as in STOP_SEEDS=10:60.
SEEDS = stops.SEEDS
STOPS = 5
WARM_UP_SECONDS = 1.5
NEXT_STOP_SECONDS = 1.0
CONFIGURATION_SECONDS = 0.7
DRAIN_SECONDS = 3.0
# Time in which all hosts know of an accepted job.
SETTLE_SECONDS = 1.0
REQUIRED = 160
SERVICES = ('notes', 'notes', 'notes', 'notes', 'long', 'long', 'work', 'work')
PACES = {'notes': 0.04, 'long': 0.6, 'work': 0.3}
# As many as the platform's store lists at once.
PAGE_ROWS = 500
WATCH_SECONDS = 0.02
PAUSE_SECONDS = 0.05
NOT_SURE = 503
ITEMS_PATH = '/persimmonpass/items/'


class JobCall:
    """What a call on a job asked for.

    :ivar kind: ``submit``, ``read``, ``body`` or ``end``
    """

    def __init__(self, kind, job, item=None, after=0):
        self.kind = kind
        self.job = job
        self.item = item
        self.after = after


class Jobs:
    """The jobs of all callers of a case.

    :ivar accepted_at: clock at the 202, by job
    :ivar ended: ids of the jobs whose end was asked
    :ivar calls: what was asked for, by attempt
    """

    def __init__(self):
        self.accepted_at = {}
        self.ended = set()
        self.calls = {}


def items_of(job):
    """Return the ids of a job's items."""
    return [f'{job}-item-{number}' for number in range(stop_load.ITEMS)]


def submission_of(job):
    """Return the body of the request that submits a job."""
    body = json.loads(platform_fakes.submission(stop_load.ITEMS))
    for item, name in zip(body['items'], items_of(job), strict=True):
        item['id'] = name
        item['body'] = platform_fakes.encode_body(name)
    return json.dumps(body).encode()


def job_caller(load, address, jobs):
    """Return a function that makes each kind of call on the jobs of all."""
    rng = load.rng

    async def call_once(attempt, parts):
        connection = await stop_load.connect(address)
        if connection is None:
            load.attempts.remove(attempt)
            await anyio.sleep(stop_load.RECONNECT_SECONDS)
            return
        await stop_load.exchange(connection, attempt, parts)
        await connection.stream.aclose()

    async def submit(name, job=None):
        attempt = load.make_attempt(name, '/jobs/j')
        attempt.id = job or attempt.id
        jobs.calls[attempt] = JobCall('submit', attempt.id)
        body = submission_of(attempt.id)
        await call_once(attempt, stop_load.plain_parts(attempt, body))
        if attempt.status == 202:
            jobs.accepted_at.setdefault(attempt.id, attempt.ended_at)

    async def submit_again(name):
        await submit(name, rng.choice([*jobs.accepted_at]))

    async def read(name):
        job = rng.choice([*jobs.accepted_at])
        after = rng.choice((0, 0, 1, stop_load.ITEMS))
        attempt = load.make_attempt(
            name, f'{stop_load.JOBS_PATH}{job}?after={after}'
        )
        jobs.calls[attempt] = JobCall('read', job, after=after)
        head = stop_load.head_of(attempt, 'GET', Wait_Ms=1000)
        await call_once(attempt, [head])

    async def body(name):
        job = rng.choice([*jobs.accepted_at][-6:])
        item = rng.choice(items_of(job))
        attempt = load.make_attempt(name, f'{ITEMS_PATH}{job}?id={item}')
        jobs.calls[attempt] = JobCall('body', job, item)
        await call_once(attempt, [stop_load.head_of(attempt, 'GET')])

    async def end(name):
        job = rng.choice([*jobs.accepted_at])
        jobs.ended.add(job)
        attempt = load.make_attempt(name, f'{stop_load.JOBS_PATH}{job}')
        jobs.calls[attempt] = JobCall('end', job)
        await call_once(attempt, [stop_load.head_of(attempt, 'DELETE')])

    async def call(name):
        while True:
            kinds = (submit,)
            if jobs.accepted_at:
                kinds += (submit, submit_again, read, read, read, body, body)
                kinds += (body, end) if rng.random() < 0.3 else ()
            await rng.choice(kinds)(name)
            await anyio.sleep(rng.uniform(0.0, 0.3))

    return call


def callers_of(load, address, jobs):
    """Return the callers at one host with their names."""
    make = functools.partial(stop_load.caller, load, address)
    pauses = (0.2, 1.2)
    calls = [
        make('/once/1', pauses=(0.0, 0.4)),
        make('/unsafe/2', pauses=pauses),
        make('/notes/2', pauses=pauses),
        make('/unsafe/3', keeps=False, pauses=pauses),
        make('/once/4', chunk_pauses=stops.SLOW_CHUNKS, pauses=pauses),
        make('/long/1', pauses=pauses),
        make('/long/2', keeps=False, pauses=pauses),
        job_caller(load, address, jobs),
    ]
    return [(f'c{number}', call) for number, call in enumerate(calls)]


def configuration(version):
    """Return a configuration; time-outs, idle time and routes change."""
    turn = version % 3
    config = stops.configuration()
    config['version'] = version
    config['limits']['idleTimeoutMs'] = (15000, 6000, 9000)[turn]
    for route in config['routes']:
        if route['type'] == 'batch':
            route['service'] = 'work'
        else:
            route['timeoutMs'] = (5000, 4700, 4900)[turn]
    if turn:
        config['routes'].append(platform_fakes.route(f'/more{turn}/'))
    return config


class Stop:
    """A planned stop of a host.

    :ivar began: clock when the host was told to stop
    :ivar seconds: how long it took
    """

    def __init__(self, began):
        self.began = began
        self.seconds = math.inf


class Pauses:
    """Times in which the event loop of hosts and callers stood still."""

    def __init__(self):
        self._pauses = []

    async def watch(self):
        """Record them until cancelled."""
        while True:
            began = anyio.current_time()
            await anyio.sleep(WATCH_SECONDS)
            ended = anyio.current_time()
            if ended - began - WATCH_SECONDS >= PAUSE_SECONDS:
                self._pauses.append((began, ended))

    def seconds_between(self, began, ended):
        """Return for how long it stood still between two times."""
        return sum(
            max(0.0, min(ended, until) - max(began, since))
            for since, until in self._pauses
        )


async def stop_and_start(fleet, host, found):
    """Stop a host, then start it again at the same address."""
    found[host] = Stop(anyio.current_time())
    stopped = fleet.stopped[host]
    fleet.hosts[host].drain()
    with anyio.fail_after(15):
        await stopped.wait()
    found[host].seconds = anyio.current_time() - found[host].began
    address = fleet.addresses[host]
    await fleet.start_host(
        host, fleet.store_address, bound={address: servers.listen(address)}
    )


async def change_configuration(fleet):
    """Change the configuration until cancelled."""
    version = 1
    while True:
        await anyio.sleep(CONFIGURATION_SECONDS)
        version += 1
        fleet.store.memory.put('config', 'main', configuration(version))


async def drain_targets(fleet):
    """Let a target of each service drain in turn; each ends for good."""
    for server in fleet.servers[1::2]:
        fleet.store.memory.put(
            'servers', server.name, server.entry('draining')
        )
        await anyio.sleep(DRAIN_SECONDS)
        await fleet.store.memory.port.delete('servers', server.name, None)


def faults_of_job_call(attempt, jobs, finished):
    """Return what is wrong with a call on a job.

    :param finished: clock when a target finished an item, by item
    """
    call = jobs.calls[attempt]
    status = attempt.status
    if call.kind == 'submit' or not attempt.is_whole:
        return ['turned away'] if status and 400 <= status < 500 else []
    accepted_at = jobs.accepted_at[call.job]
    if status in (404, 410):
        if attempt.first_at - accepted_at < SETTLE_SECONDS:
            return []
        if call.kind != 'body':
            return ['job not found']
        may_be_gone = call.item in finished or call.job in jobs.ended
        return [] if may_be_gone else ['body not found']
    if call.kind == 'body' and status == 200:
        return [] if attempt.body == call.item.encode() else ['other body']
    return [] if status in (200, NOT_SURE, 504) else ['failed']


def faults_of_pages(attempts, jobs):
    """Return positions that changed or that were read and are empty."""
    faults = []
    known = {}
    for attempt in sorted(attempts, key=lambda each: each.ended_at):
        call = jobs.calls[attempt]
        if call.kind != 'read' or attempt.status != 200:
            continue
        page = json.loads(attempt.body)
        if page['total'] != stop_load.ITEMS:
            faults.append(f'total: {attempt.path} {page}')
        for position, row in enumerate(page['results'], call.after):
            key = call.job, position
            at, first = known.setdefault(key, (attempt.ended_at, row))
            if first != row:
                faults.append(f'changed: {attempt.path} {first} {row}')
        key = call.job, call.after
        if not page['results'] and key in known:
            if attempt.first_at - known[key][0] > SETTLE_SECONDS:
                faults.append(f'empty: {attempt.path}')
    return faults


def is_lost(attempt, stopped_at, ran, finished, log, pauses):
    """Return whether a request was cut; see :func:`stop_load.is_lost`.

    One that no host has seen counts only if its close was late all the same
    on a machine that didn't stand still.
    """
    if attempt.is_open or not stop_load.is_lost(
        attempt, stopped_at, ran, finished
    ):
        return False
    if attempt.id in ran or attempt.id in log.lines:
        return True
    waited = attempt.ended_at - attempt.last_at
    waited -= pauses.seconds_between(attempt.last_at, attempt.ended_at)
    return waited > stop_load.SLACK_SECONDS


def find_faults(loads, jobs, stopped, targets, log, pauses):
    """Return what is wrong with the requests of all callers."""
    ran = collections.Counter(
        request_id for server in targets for request_id, _ in server.runs
    )
    finished = {each for server in targets for each in server.finished_ids}
    base = min(stop.began for stop in stopped.values())
    found = []
    for load in loads:
        stop = stopped.get(load.name, Stop(math.inf))
        for attempt in load.attempts:
            if attempt in jobs.calls:
                faults = faults_of_job_call(attempt, jobs, finished)
            else:
                faults = stops.faults_of(attempt, ran[attempt.id])
            if is_lost(attempt, stop.began, ran, finished, log, pauses):
                faults.append('lost')
            began = base if math.isinf(stop.began) else stop.began
            line = stop_load.describe(attempt, began, ran, log)
            found += [f'{fault}: {line}' for fault in faults]
    calls = [
        each for load in loads for each in load.attempts if each in jobs.calls
    ]
    return found + faults_of_pages(calls, jobs)


async def unfinished_jobs(fleet, jobs):
    """Return the jobs that a host does not list to the end."""
    left = set(jobs.accepted_at) - jobs.ended
    with anyio.move_on_after(stops.SETTLE_SECONDS):
        for host in HOSTS:
            for job in set(jobs.accepted_at) - jobs.ended:
                await fleet.results(job, stop_load.ITEMS, host)
                left.discard(job)
        return []
    return sorted(left) or ['not at each host']


class TestStops(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (name, seed, disturbances)
            for seed in SEEDS
            for name, disturbances in (
                ('calm', ()),
                ('changes', (change_configuration, drain_targets)),
            )
        ]
    )
    def test_stops_lose_nothing(self, _, seed, disturbances):
        """Guards against work that is lost as the core changes."""
        stack = contextlib.ExitStack()
        stack.enter_context(platform_fakes.core_of(CORE_HOSTS))
        stack.enter_context(mock.patch.multiple(relay, **FEW_LINKS))
        stack.enter_context(mock.patch.object(link, 'IDLE_SECONDS', 0.5))
        checks = []

        async def test():
            async with platform_fakes.fleet(
                HOSTS[:1], len(SERVICES), configuration(1), services=SERVICES
            ) as fleet:
                fleet.store.page_rows = PAGE_ROWS
                for host in HOSTS[1:]:
                    await fleet.start_host(
                        host, fleet.store_address, is_first=True
                    )
                for server in fleet.servers:
                    server.pace_seconds = PACES[server.service]
                await anyio.sleep(WARM_UP_SECONDS)
                checks.append(await self._play(fleet, seed, disturbances))

        with stack:
            platform_fakes.run(test)
        for check in checks:
            check()

    async def _play(self, fleet, seed, disturbances):
        rng = random.Random(seed)
        core = set(fleet.hosts['one']._core())
        self.assertEqual(CORE_HOSTS, len(core))
        outside = [host for host in HOSTS if host not in core]
        # Links beyond the mesh are used.
        self.assertLess(
            min(
                len(fleet.hosts[host]._peers.port.connected())
                for host in outside
            ),
            len(HOSTS) - 1,
        )
        inside = rng.sample(sorted(core), CORE_HOSTS)
        order = [*inside, *rng.sample(outside, STOPS - CORE_HOSTS)]
        rng.shuffle(order)
        jobs = Jobs()
        loads = [stop_load.Load(host, f'{seed} {host}') for host in HOSTS]
        stopped = {}
        pauses = Pauses()
        with stop_load.logged() as log:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pauses.watch)
                for load in loads:
                    for name, call in callers_of(
                        load, fleet.addresses[load.name], jobs
                    ):
                        tasks.start_soon(call, name)
                await anyio.sleep(WARM_UP_SECONDS)
                for disturb in disturbances:
                    tasks.start_soon(disturb, fleet)
                async with anyio.create_task_group() as ends:
                    for host in order:
                        ends.start_soon(stop_and_start, fleet, host, stopped)
                        await anyio.sleep(NEXT_STOP_SECONDS)
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            unfinished = await unfinished_jobs(fleet, jobs)
        targets = list(fleet.servers)

        def check():
            found = find_faults(loads, jobs, stopped, targets, log, pauses)
            attempts = [each for load in loads for each in load.attempts]
            title = f'{len(found)} of {len(attempts)}, stops of {order}'
            self.assertEqual([], found, '\n'.join([title, *found]))
            self.assertEqual([], unfinished, title)
            for host, stop in stopped.items():
                still = pauses.seconds_between(
                    stop.began, stop.began + stop.seconds
                )
                self.assertLess(
                    stop.seconds - still, stop_load.GRACE_SECONDS, host
                )
            # With few answers the checks would show little.
            whole = [each for each in attempts if each.is_whole]
            self.assertGreater(len(whole), REQUIRED)

        return check


if __name__ == '__main__':
    unittest.main()
