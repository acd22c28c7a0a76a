"""Loss of hosts of a large fleet: who copies the jobs, and no job is lost."""

import contextlib
import json
import os
import random
import unittest
from unittest import mock

import anyio
import httpx
import parameterized

from persimmonpass.controllers.fleet import mirror
from persimmonpass.controllers.fleet import registration
from persimmonpass import job_records
from persimmonpass.policy import core
from tests import platform_fakes

expand = parameterized.parameterized.expand

CORE_HOSTS = 3
HOSTS = ('h1', 'h2', 'h3', 'h4', 'h5', 'h6')
# Other seeds are played by hand, as in LOSS_SEEDS=10:20.
SEEDS = range(
    *map(int, os.environ.get('LOSS_SEEDS', '1:4').split(':', maxsplit=1))
)
SUBMITTERS = 4
READERS = 4
MAX_ITEMS = 12
TOKENS = 8
# Results that callers have read before the loss.
MIN_SEEN = 10
ALL_ITEMS_SECONDS = 18.0


def core_of(hosts):
    """Return the core of equal hosts, and the hosts outside it."""
    chosen = core.choose([core.CoreHost(host, 'a', 1.0) for host in hosts])
    return chosen, [host for host in hosts if host not in chosen]


@contextlib.contextmanager
def recording_lists(listed, delay=0.0):
    """Add each host that lists the jobs to a list.

    :param delay: how long each list of the jobs takes at least
    """
    original = mirror.Mirror._read

    async def read(self, seconds):
        if self._kind == job_records.KIND and not self._listed:
            listed.append(self._host)
            await anyio.sleep(delay)
        return await original(self, seconds)

    with mock.patch.object(mirror.Mirror, '_read', read):
        yield


@contextlib.contextmanager
def registering_after(seconds):
    """Delay the registration of each host that starts."""
    original = registration.Registration._register

    async def register(self):
        await anyio.sleep(seconds)
        return await original(self)

    with mock.patch.object(registration.Registration, '_register', register):
        yield


async def submit(fleet, job_id, host, count=3):
    """Submit a job until it is accepted."""
    with anyio.fail_after(10):
        while True:
            answer = await fleet.post(
                f'/jobs/{job_id}',
                platform_fakes.submission(count),
                host,
                **{'Request-Id': job_id},
            )
            if answer.status_code == 202:
                return
            await anyio.sleep(0.1)


class TestCopyHosts(unittest.TestCase):
    def run_fleet(self, test, hosts=HOSTS):
        async def run():
            listed = []
            with recording_lists(listed):
                async with platform_fakes.fleet(hosts) as fleet:
                    await test(fleet, listed)

        with platform_fakes.core_of(CORE_HOSTS):
            platform_fakes.run(run)

    # A busy store or link delays what a host learns of the others.
    @expand([('at once', 0.0), ('slow store', 1.0)])
    def test_host_outside_the_core_does_not_list_the_jobs(self, _, seconds):
        """Guards against a restarted host that believes it is alone."""

        async def test(fleet, listed):
            chosen, (outside, *_) = core_of(HOSTS)
            await submit(fleet, 'j', chosen[0])
            await fleet.results('j', 3, chosen[0])
            fleet.kill(outside)
            listed.clear()
            with registering_after(seconds):
                await fleet.start_host(outside, fleet.store_address)
                page = await fleet.results('j', 3, outside)
            self.assertEqual(3, page['total'])
            await anyio.sleep(1.5)
            self.assertNotIn(outside, listed)

        self.run_fleet(test)

    @expand([('at once', 0.0), ('one after the other', 0.4)])
    def test_only_the_core_lists_the_jobs_after_a_loss_of_all(self, _, pause):
        """Guards against a fleet whose links are all full of copies."""

        async def test(fleet, listed):
            chosen, _ = core_of(HOSTS)
            await submit(fleet, 'j', chosen[0])
            await fleet.results('j', 3, chosen[0])
            for host in HOSTS:
                fleet.kill(host)
            listed.clear()
            async with anyio.create_task_group() as starts:
                for host in HOSTS:
                    starts.start_soon(
                        fleet.start_host, host, fleet.store_address
                    )
                    await anyio.sleep(pause)
            for host in HOSTS:
                await fleet.results('j', 3, host)
            await anyio.sleep(3.5)
            self.assertEqual(set(chosen), set(listed))

        self.run_fleet(test)

    def test_jobs_are_read_while_a_core_host_lists_them(self):
        """Guards against calls that wait for the copy of one host."""

        async def test(fleet, listed):
            chosen, _ = core_of(HOSTS)
            await submit(fleet, 'j', chosen[0])
            await fleet.results('j', 3, chosen[0])
            fleet.kill(chosen[1])
            with recording_lists(listed, delay=5.0):
                await fleet.start_host(chosen[1], fleet.store_address)
                with anyio.fail_after(2.0):
                    page = await fleet.results('j', 3, chosen[1])
            self.assertEqual(3, page['total'])

        self.run_fleet(test)

    def test_core_host_is_not_delayed(self):
        """Guards against hosts that wait for others before they copy."""

        async def test(fleet, listed):
            chosen, outside = core_of(HOSTS)
            await submit(fleet, 'j', chosen[0])
            await fleet.results('j', 3, chosen[0])
            for host in HOSTS:
                fleet.kill(host)
            listed.clear()
            host = await fleet.start_host(chosen[1], fleet.store_address)
            with anyio.fail_after(1.0):
                while 'j' not in host._log.jobs:
                    await anyio.sleep(0.02)
            page = await fleet.results('j', 3, chosen[1])
            self.assertEqual(3, page['total'])

        self.run_fleet(test)

    def test_copy_is_freed_outside_the_core(self):
        """Guards against jobs that a host keeps for good once it had them."""

        async def test(fleet, listed):
            chosen, (outside, *_) = core_of(HOSTS)
            await submit(fleet, 'j', chosen[0])
            await fleet.results('j', 3, chosen[0])
            for host in HOSTS:
                fleet.kill(host)
            # The others are down for longer than hosts wait for each other.
            await fleet.start_host(outside, fleet.store_address)
            await fleet.results('j', 3, outside)
            self.assertIn('j', fleet.hosts[outside]._log.jobs)
            for host in HOSTS:
                if host != outside:
                    await fleet.start_host(host, fleet.store_address)
            copy = fleet.hosts[outside]._mirrors[job_records.KIND]
            with anyio.fail_after(20):
                while fleet.hosts[outside]._log.jobs or copy.records:
                    await anyio.sleep(0.1)
            page = await fleet.results('j', 3, outside)
            self.assertEqual(3, page['total'])
            answer = await fleet.get('/persimmonpass/lots/k?after=0', outside)
            self.assertEqual(404, answer.status_code)
            # A peer may still believe that the host has a copy.
            log = fleet.hosts[outside]._log
            for after in (0, 3):
                found = await log.read('j', after, 0.0)
                self.assertEqual(503, found.err_value.status)
            found = await log.body('j', 'item-0')
            self.assertEqual(503, found.err_value.status)
            for host in HOSTS:
                if host != outside:
                    fleet.kill(host)
            page = await fleet.results('j', 3, outside)
            self.assertEqual(3, page['total'])

        self.run_fleet(test)

    def test_items_run_where_a_host_outside_the_core_starts_first(self):
        """Guards against a batch runner that gets no records of jobs."""

        async def test(fleet, listed):
            chosen, outside = core_of(HOSTS)
            for host in HOSTS:
                fleet.kill(host)
            await fleet.start_host(outside[0], fleet.store_address)
            await anyio.sleep(5.0)
            for host in (*outside[1:], *chosen):
                await fleet.start_host(host, fleet.store_address)
            await anyio.sleep(3.0)
            await submit(fleet, 'j', chosen[0])
            page = await fleet.results('j', 3, chosen[0])
            self.assertEqual(3, page['total'])

        self.run_fleet(test)


class Load:
    """Jobs and reads of one run, and what callers have seen.

    :ivar jobs: bodies of the items of each accepted job, by id of the item
    :ivar seen: result by job and position
    :ivar problems: answers that break a promise
    """

    def __init__(self, fleet, seed):
        self.jobs = {}
        self.seen = {}
        self.problems = []
        self._fleet = fleet
        self._draw = random.Random(seed)
        self._ended = False

    def stop(self):
        """Let callers end after their present call."""
        self._ended = True

    def _host(self):
        return self._draw.choice(HOSTS)

    async def _call(self, call):
        """Return the answer of a call, ``None`` if the host is down."""
        try:
            return await call
        except httpx.HTTPError:
            return None

    async def submit(self, caller):
        """Submit jobs, each at one host after the other until accepted."""
        number = 0
        while not self._ended:
            number += 1
            job_id = f'j{caller}-{number}'
            bodies = {
                f'{job_id}-{index}': f'{job_id}/{index}'
                for index in range(self._draw.randint(1, MAX_ITEMS))
            }
            while not await self.submit_once(job_id, bodies, self._host()):
                await anyio.sleep(0.1)
            self.jobs[job_id] = bodies
            await anyio.sleep(self._draw.uniform(0.0, 0.6))

    async def submit_once(self, job_id, bodies, host):
        """Submit a job, and return whether it was accepted."""
        items = [
            {
                'id': item,
                'path': f'/jobs/{item}',
                'headers': {'Model': 'm'},
                'body': platform_fakes.encode_body(text),
                'tokens': 10,
            }
            for item, text in bodies.items()
        ]
        answer = await self._call(
            self._fleet.post(
                f'/jobs/{job_id}',
                json.dumps({'items': items}),
                host,
                **{'Request-Id': job_id},
            )
        )
        if answer is None:
            return False
        if 400 <= answer.status_code < 500:
            self.problems.append(('submit', job_id, host, answer.status_code))
        return answer.status_code == 202

    async def read(self):
        """Read jobs and bodies at any host until the end."""
        while not self._ended:
            await anyio.sleep(self._draw.uniform(0.0, 0.1))
            if not self.jobs:
                continue
            job_id = self._draw.choice(list(self.jobs))
            known = sum(job == job_id for job, _ in self.seen)
            after = self._draw.randint(0, known)
            await self.read_page(job_id, after, self._host())
            item = self._draw.choice(list(self.jobs[job_id]))
            await self.read_body(job_id, item, self._host())

    async def read_page(self, job_id, after, host):
        """Read a page, and return the position after it, ``None`` for none."""
        answer = await self._call(
            self._fleet.get(
                f'/persimmonpass/lots/{job_id}?after={after}', host
            )
        )
        if answer is None:
            return None
        if answer.status_code != 200:
            if answer.status_code < 500:
                self.problems.append(
                    ('read', job_id, host, answer.status_code)
                )
            return None
        page = answer.json()
        for position, row in enumerate(page['results'], after):
            known = self.seen.setdefault((job_id, position), row)
            if known != row:
                self.problems.append(('changed', job_id, host, position))
        return page['next']

    async def read_body(self, job_id, item, host):
        """Read the body of an item, and return whether it was given."""
        answer = await self._call(
            self._fleet.get(f'/persimmonpass/items/{job_id}?id={item}', host)
        )
        if answer is None or answer.status_code == 503:
            return False
        expected = self.jobs[job_id][item].encode()
        is_right = answer.status_code == 200 and answer.content == expected
        if not is_right:
            self.problems.append(('body', item, host, answer.status_code))
        return is_right

    async def check(self, host):
        """Submit all jobs again at a host, and read all that it has."""
        for job_id, bodies in self.jobs.items():
            while not await self.submit_once(job_id, bodies, host):
                await anyio.sleep(0.1)
            item = self._draw.choice(list(bodies))
            while not await self.read_body(job_id, item, host):
                await anyio.sleep(0.1)
        for job_id in self.jobs:
            await self.read_all(job_id, host)

    async def read_all(self, job_id, host):
        """Read all results of a job from the start."""
        position = 0
        while position < len(self.jobs[job_id]):
            found = await self.read_page(job_id, position, host)
            if found is None or found == position:
                await anyio.sleep(0.1)
            else:
                position = found


class TestLossOfAllHosts(unittest.TestCase):
    async def play(self, fleet, seed):
        """Kill all hosts under load and check them after their start."""
        draw = random.Random(seed)
        for server in fleet.servers:
            server.tokens = TOKENS
            server.pace_seconds = draw.uniform(0.01, 0.06)
        load = Load(fleet, seed)
        async with anyio.create_task_group() as callers:
            for caller in range(SUBMITTERS):
                callers.start_soon(load.submit, caller)
            for _ in range(READERS):
                callers.start_soon(load.read)
            with anyio.fail_after(15):
                while len(load.seen) < MIN_SEEN:
                    await anyio.sleep(0.05)
            await anyio.sleep(draw.uniform(0.0, 1.5))
            for host in HOSTS:
                fleet.kill(host)
            await anyio.sleep(draw.uniform(0.1, 1.0))
            async with anyio.create_task_group() as starts:
                for host in draw.sample(HOSTS, len(HOSTS)):
                    starts.start_soon(
                        fleet.start_host, host, fleet.store_address
                    )
                    await anyio.sleep(draw.uniform(0.0, 0.6))
            load.stop()
        with anyio.move_on_after(ALL_ITEMS_SECONDS) as scope:
            async with anyio.create_task_group() as checks:
                for host in HOSTS:
                    checks.start_soon(load.check, host)
        self.assertEqual([], load.problems)
        self.assertFalse(scope.cancelled_caught)
        for job_id, bodies in load.jobs.items():
            rows = [
                load.seen[job_id, position] for position in range(len(bodies))
            ]
            self.assertEqual(set(bodies), {row['id'] for row in rows})
            for row in rows:
                text = bodies[row['id']]
                output = '\n'.join(
                    f'{text}-{number}' for number in range(1, TOKENS + 1)
                )
                self.assertEqual(
                    ('completed', output), (row['state'], row['output'])
                )

    @expand([(seed,) for seed in SEEDS])
    def test_accepted_jobs_are_kept(self, seed):
        """Guards against jobs, results and bodies lost with all hosts."""

        async def run():
            config = platform_fakes.configuration(
                1,
                [
                    platform_fakes.route(
                        '/jobs/', 'batch', maxAttempts=3, maxCount=0
                    )
                ],
            )
            async with platform_fakes.fleet(HOSTS, config=config) as fleet:
                await self.play(fleet, seed)

        with platform_fakes.core_of(CORE_HOSTS):
            platform_fakes.run(run)


if __name__ == '__main__':
    unittest.main()
