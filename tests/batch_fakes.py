"""Fakes for batch tests: hosts with fake engines and a store in memory."""

import collections
import contextlib
import json
import os
import random

import anyio
import cbor2
import result
import trio

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch
from persimmonpass import in_flight
from persimmonpass import jobs
from persimmonpass import ledger
from persimmonpass import metrics
from persimmonpass import objects
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass import verdicts
from tests import fakes

CRASH = 'crash'
STEP_SECONDS = 0.05
SEED = int(os.environ.get('BATCH_SEED', '0'))
KEY = jobs.JobKey('desk', 'shift')
SPEC = objects.ServiceSpec('serves=m', model='m', version='1', harm_percent=25)


def text_of(prompt, max_tokens):
    """Return the complete text that a fake engine produces for a prompt."""
    return ''.join(f'{prompt}.{n} ' for n in range(max_tokens))


class Engines:
    """Fake engines of all targets.

    :ivar dead: targets that do not answer
    :ivar refused: targets that refuse new streams
    :ivar killed: number of crashes by target, caused by ``CRASH`` prompts
    :ivar started: number of attempts by prompt
    :ivar running: number of running streams by target
    :ivar peak: most streams that ran at once, by target
    :ivar tokens: number of tokens produced, by ``online`` and ``batch``
    :ivar lingers: whether a dead target still accepts connections and then
        breaks them
    :ivar slowdown: share of a step by which each running stream delays it
    :ivar refuses: takes a prompt; returns whether targets do not admit it
    :ivar refusals: number of attempts that were not admitted
    """

    def __init__(self):
        self.dead = set()
        self.killed = collections.Counter()
        self.started = collections.Counter()
        self.running = collections.Counter()
        self.peak = collections.Counter()
        self.tokens = collections.Counter()
        self.slowdown = 0.0
        self.lingers = False
        self.refused = set()
        self.refuses = lambda prompt: False
        self.refusals = 0
        self.port = engine.EnginePort(self._stream, self._report)

    async def _stream(self, target, completion, headers):
        name = target.name
        verdict = verdicts.Verdict.NOT_RUN
        if name in self.dead and self.lingers:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        if name in self.dead or name in self.refused:
            yield result.Err(engine.target_failed(target, verdict, 'refused'))
            return
        if self.refuses(completion.prompt):
            self.refusals += 1
            failure = engine.target_failed(target, verdict, 'status 503')
            yield result.Err(failure._replace(status=503))
            return
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.started[completion.prompt] += 1
        self.running[name] += 1
        self.peak[name] = max(self.peak[name], self.running[name])
        try:
            if CRASH in completion.prompt:
                self.dead.add(name)
                self.killed[name] += 1
            produced = len(completion.resume_text.split())
            for number in range(produced, completion.max_tokens):
                slowdown = 1 + self.slowdown * self.running[name]
                await anyio.sleep(STEP_SECONDS * slowdown)
                kind = 'online' if completion.prompt == 'online' else 'batch'
                self.tokens[kind] += 1
                if name in self.dead:
                    failure = engine.target_failed(target, verdict, 'broken')
                    yield result.Err(failure)
                    return
                text = f'{completion.prompt}.{number} '
                yield result.Ok(engine.Piece(text))
            yield result.Ok(engine.Piece('', 'length'))
        finally:
            self.running[name] -= 1

    async def _report(self, target):
        if target.name in self.dead:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            return result.Err(engine.target_failed(target, verdict, 'dead'))
        return result.Ok(engine.Report(0, 0, ('m@1',)))


class Host:
    """A host with a batch controller.

    :ivar live: hosts that this one considers alive
    :ivar is_cut_from_store: whether its calls to the store fail
    """

    def __init__(self, name, fleet):
        self.name = name
        self.live = []
        self.is_cut_from_store = False
        self.board = blackboard.Blackboard()
        self._fleet = fleet
        self._scope = anyio.CancelScope()
        for target in fleet.targets:
            self.board.targets.put(
                target,
                blackboard.Target(
                    target, '', 'engine', 'ruai', {'serves': 'm'}
                ),
            )
            self.board.loads.put(target, blackboard.Load(0, 0, 0, ('m@1',)))
        self.board.objects.put(
            objects.Key('service', 'digest'),
            objects.ConfigObject('service', 'digest', {}, fleet.spec, 1),
        )
        self.batch = batch.Batch(
            name,
            self.board,
            self._cuttable(fleet.store.port),
            fleet.engines.port,
            in_flight.InFlight(),
            metrics.Metrics(),
            lambda: self.live,
            fleet.network.port(name, fleet.tasks),
        )
        fleet.network.handlers[name] = self.batch.handlers

    def _cuttable(self, port):
        def wrap(call):
            async def wrapped(*arguments):
                if not self.is_cut_from_store:
                    return await call(*arguments)
                await anyio.sleep(0.1)
                return result.Err(store.unavailable('cut'))

            return wrapped

        return store.StorePort(*map(wrap, port))

    async def run(self):
        """Run until the host is killed."""
        with self._scope:
            await self.batch.run()

    def kill(self):
        """Kill the host; the others detect that after two seconds."""
        self._scope.cancel()
        self._fleet.network.handlers.pop(self.name, None)

        async def detect():
            await anyio.sleep(2)
            self._fleet.set_live(
                [host for host in self.live if host != self.name]
            )

        self._fleet.tasks.start_soon(detect)

    async def submit(self, count=40, key=KEY, prompt='p', **options):
        """Submit a job.

        :param count: number of items
        :param prompt: prefix of the items' prompts
        :param options: ``max_tokens``, ``due_seconds``, and ``crash_at``, the
            number of an item that crashes its target
        """

        async def lines():
            for number in range(count):
                item = {'id': f'i{number}', 'prompt': f'{prompt}{number}'}
                item['max_tokens'] = options.get('max_tokens', 4)
                if number == options.get('crash_at'):
                    item['prompt'] += CRASH
                yield json.dumps(item).encode()

        due = options.get('due_seconds', 3600.0)
        return await self.batch.submit(key, 'digest', due, lines())

    async def online(self, target, seconds):
        """Run an online request on a target for some seconds."""
        engines = self.batch.preemption.observe(self._fleet.engines.port)
        completion = engine.Completion('a', 'm', '1', '', 'online', 10**6)
        row = self.board.targets.get(target)
        with anyio.move_on_after(seconds):
            async with contextlib.aclosing(
                engines.stream(row, completion, {})
            ) as pieces:
                async for _ in pieces:
                    pass


class Fleet:
    """Hosts, targets and a store on one task group."""

    def __init__(self, tasks, hosts=2, targets=2, spec=SPEC):
        self.tasks = tasks
        self.spec = spec
        self.store = fakes.MemoryStore()
        self.network = fakes.Network()
        self.engines = Engines()
        self.targets = [f'engine-{n}' for n in range(targets)]
        self.hosts = [Host(f'host-{n}', self) for n in range(hosts)]
        self.set_live([host.name for host in self.hosts])
        for host in self.hosts:
            tasks.start_soon(host.run)

    def set_live(self, names):
        """Set the hosts that all hosts consider alive."""
        for host in self.hosts:
            host.live = list(names)

    def coordinator(self, target='engine-0'):
        """Return the host that coordinates a target."""
        name = self.hosts[0].batch.preemption.coordinator(target)
        return next(host for host in self.hosts if host.name == name)

    def records(self, kinds=(jobs.ITEM_DONE, jobs.ITEM_FAILED), key=KEY):
        """Return a job's committed records of some kinds."""
        job_records = []
        for path, stored in self.store.objects.items():
            prefix = jobs.ledger_key(key, 0)[:-6]
            if path.startswith(prefix) and '.segment-' not in path:
                head = ledger.decode_head(stored.data)
                for segment in head.segments:
                    data = self.store.objects[segment.key].data
                    job_records += [
                        ledger.Record(*r) for r in cbor2.loads(data)
                    ]
                job_records += head.records
        return [record for record in job_records if record.kind in kinds]

    async def wait(self, check, seconds=200):
        """Wait on the virtual clock until a check holds."""
        with anyio.fail_after(seconds):
            while not check():
                await anyio.sleep(0.05)

    async def finish(self, count=40, key=KEY, seconds=200):
        """Wait until all items have results.

        :returns: results by item id, and the number of surplus results
        """
        await self.wait(lambda: len(self.records(key=key)) >= count, seconds)
        await anyio.sleep(10)
        records = self.records(key=key)
        results = {r.key: jobs.ItemResult(*r.body) for r in records}
        return results, len(records) - len(results)

    async def read(self, host, key=KEY):
        """Return all items of a job with their results, read by a host."""
        job = (await host.batch.read_job(key)).unwrap()
        return [row.unwrap() async for row in host.batch.read_results(job)]


def run(test, **options):
    """Run a test with a fleet on a virtual clock.

    trio runs ready tasks in random order; the seed makes it repeatable.
    """
    random.seed(SEED)
    trio._core._run._r.seed(SEED)

    async def main():
        async with anyio.create_task_group() as tasks:
            await test(Fleet(tasks, **options))
            tasks.cancel_scope.cancel()

    fakes.run(main)
