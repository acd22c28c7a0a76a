"""Hosts with real online controllers and simulated targets."""

import collections
import contextlib
import random

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online_factory
from persimmonpass.controllers.online import online_requests
from persimmonpass import in_flight
from persimmonpass import key_shards
from persimmonpass import metrics
from persimmonpass import objects
from persimmonpass.targets import engine
from persimmonpass.targets import probe
from persimmonpass.targets import service
from persimmonpass import tracing
from persimmonpass import verdicts
from tests import fakes

SILENT = 'silent'
BREAK = 'break'
REFUSE = 'refuse'
LEAVING = 'leaving'
WORDS = [f'word{index} ' for index in range(6)]
CRASHING_BODY = 'this body kills'
STEP_SECONDS = 0.1
START_SECONDS = 1.0

ENGINE_SPEC = objects.ServiceSpec(
    selector='serves=pumpread', model='pumpread', version='3'
)
PLAIN_SPEC = objects.ServiceSpec(
    selector='serves=crews', type='plain', non_idempotent=('POST /dispatch',)
)


class Targets:
    """Simulated engines and services.

    :ivar faults: by target, the number of words after which it fails, and
        how it fails
    :ivar dead: targets that refuse connections
    :ivar accepted_probes: number of probes that a dead target still accepts
    :ivar runs: prompts or bodies that each target has run
    :ivar running: number of requests in progress by target
    :ivar refuses: takes a prompt; returns whether targets do not admit it
    """

    def __init__(self):
        self.faults = {}
        self.dead = set()
        self.accepted_probes = 0
        self._probe_counts = collections.Counter()
        self.runs = collections.defaultdict(list)
        self.running = collections.Counter()
        self.refuses = lambda prompt: False
        self.engines = engine.EnginePort(self._stream, self._report)
        self.services = service.ServicePort(self._call)

    async def connect(self, target):
        is_refused = target.name in self.dead
        if is_refused:
            self._probe_counts[target.name] += 1
            is_refused = self._probe_counts[target.name] > self.accepted_probes
        return (
            probe.ConnectOutcome.REFUSED
            if is_refused
            else probe.ConnectOutcome.ACCEPTED
        )

    def _fail(self, target, verdict):
        return result.Err(engine.target_failed(target, verdict, 'scripted'))

    async def _stream(self, target, completion, headers):
        not_run = verdicts.Verdict.NOT_RUN
        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        after, fault = self.faults.get(target.name, (None, ''))
        if target.name in self.dead or fault == REFUSE:
            yield self._fail(target, not_run)
            return
        if fault == LEAVING:
            yield result.Err(engine.target_leaving(target))
            return
        if self.refuses(completion.prompt):
            failure = engine.target_failed(target, not_run, 'status 503')
            yield result.Err(failure._replace(status=503))
            return
        self.runs[target.name].append(completion.prompt)
        self.running[target.name] += 1
        try:
            if CRASHING_BODY in completion.prompt:
                self.dead.add(target.name)
            words = WORDS[len(completion.resume_text.split()) :]
            for index, word in enumerate(words):
                await anyio.sleep(STEP_SECONDS)
                if target.name in self.dead or (index, BREAK) == (
                    after,
                    fault,
                ):
                    yield self._fail(target, may_have_run)
                    return
                if (index, SILENT) == (after, fault):
                    await anyio.sleep(engine.PROGRESS_TIMEOUT_SECONDS)
                    yield self._fail(target, may_have_run)
                    return
                yield result.Ok(engine.Piece(word))
            yield result.Ok(engine.Piece('', 'length'))
        finally:
            self.running[target.name] -= 1

    async def _report(self, target):
        if target.name in self.dead:
            return self._fail(target, verdicts.Verdict.NOT_RUN)
        return result.Ok(engine.Report(0, 0, ('pumpread@3',)))

    async def cache_events(self, target, after):
        return result.Ok([])

    async def _call(self, target, call, timeout, once=False):
        after, fault = self.faults.get(target.name, (None, ''))
        if target.name in self.dead or fault == REFUSE:
            return self._fail(target, verdicts.Verdict.NOT_RUN)
        if fault == LEAVING:
            return result.Err(engine.target_leaving(target))
        self.runs[target.name].append(call.body)
        with anyio.move_on_after(timeout):
            if fault == SILENT:
                await anyio.sleep_forever()
            await anyio.sleep(STEP_SECONDS)
            if fault == BREAK:
                return self._fail(target, verdicts.Verdict.MAY_HAVE_RUN)
            return result.Ok(service.Answer(200, 'text/plain', call.body))
        return self._fail(target, verdicts.Verdict.MAY_HAVE_RUN)


class Fleet:
    """Hosts that share a store, a network and the targets."""

    def __init__(self, tasks, targets=('e1', 'e2', 'e3'), hosts=('h1',)):
        self.store = fakes.MemoryStore()
        self.network = fakes.Network()
        self.targets = Targets()
        self.left = []
        self.hosts = {host: Host(self, host, tasks) for host in hosts}
        for host in self.hosts.values():
            for name in targets:
                host.list_target(name)
        for host in self.hosts.values():
            host.start(tasks)


class Host:
    """A host with its online controllers."""

    def __init__(self, fleet, host, tasks):
        self.board = blackboard.Blackboard()
        self.sent = in_flight.InFlight()
        port = fleet.network.port(host, tasks)
        names = ['h1']
        self.keys = key_controller.Keys(
            host,
            key_shards.KeyShards(
                fleet.store.port, host, lambda other, run: False
            ),
            port,
            lambda: names,
            1,
        )
        self.counters = metrics.Metrics()
        self.controllers = online_factory.make(
            online_factory.OnlinePorts(
                self.board,
                fleet.store.port,
                self.keys,
                port,
                fleet.targets.engines,
                fleet.targets.cache_events,
                fleet.targets.services,
                self.sent,
                self.counters,
                tracing.Tracing(host, ''),
                self._mark_leaving,
            ),
            'ruai',
            fleet.targets.connect,
            random.Random(host).randrange,
        )
        fleet.network.handlers[host] = {
            **self.keys.handlers,
            **self.controllers.handlers,
        }

    @property
    def retries(self):
        value = self.counters.registry.get_sample_value(
            'persimmonpass_retries_total', {'service': 'pumpread'}
        )
        return value or 0

    def _mark_leaving(self, name, address):
        row = self.board.targets.get(name)
        self.board.targets.put(name, row._replace(leaving=True))

    def list_target(self, name):
        kind = 'engine' if name.startswith('e') else 'service'
        serves = 'pumpread' if kind == 'engine' else 'crews'
        self.board.targets.put(
            name,
            blackboard.Target(
                name, f'{name}:1', kind, 'ruai', {'serves': serves}
            ),
        )
        self.board.loads.put(name, blackboard.Load(0, 0, 0.0, ('pumpread@3',)))

    def start(self, tasks):
        for job in (*self.controllers.background_tasks, self.keys.run):
            tasks.start_soon(job)

    async def complete(self, prompt, key='key', **changes):
        """Return the text and the last update of a completion."""
        request = make_request(key, ENGINE_SPEC, prompt, **changes)
        text = ''
        updates = self.controllers.online.complete(
            online_requests.CompletionRequest(request, prompt, len(WORDS))
        )
        async with contextlib.aclosing(updates):
            async for update in updates:
                if update.is_ok() and isinstance(
                    update.ok_value, engine.Piece
                ):
                    text += update.ok_value.text
        return text, update

    async def call(self, body=b'station 9', key='key', **changes):
        """Return the result of a non-idempotent call."""
        spec = changes.pop('spec', PLAIN_SPEC)
        request = make_request(key, spec, body.decode(), **changes)
        return await self.controllers.online.call(
            request, service.ServiceCall('POST', '/dispatch', {}, body)
        )


def make_request(key, spec, content, **changes):
    """Return an online request of the account ``desk``."""
    return online_requests.OnlineRequest(
        key_controller.KeyName('desk', key),
        content,
        'pumpread' if spec.model else 'crews',
        spec,
        20.0,
        {},
    )._replace(**changes)


def run(test, **options):
    """Run ``test(fleet)`` with a simulated clock."""

    async def start_and_test():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, **options)
            await anyio.sleep(START_SECONDS)
            await test(fleet)
            tasks.cancel_scope.cancel()

    fakes.run(start_and_test)
