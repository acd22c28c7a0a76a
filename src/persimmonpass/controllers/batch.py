"""Runs batch items on the targets that this host coordinates."""

import collections
import collections.abc
import contextlib
import typing
import uuid

import anyio
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import targets
from persimmonpass import events
from persimmonpass import jobs
from persimmonpass import ledger
from persimmonpass import metrics
from persimmonpass import objects
from persimmonpass.policy import shards
from persimmonpass import sends
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass import verdicts

RETRY_SECONDS = 0.5
FIND_SECONDS = 0.2
WIDTH = 4


class _Chunk:
    """A part of a job that this host claimed."""

    def __init__(
        self,
        job: jobs.Job,
        number: int,
        book: ledger.Ledger[jobs.ItemResult],
        items: list[jobs.Item],
    ) -> None:
        self.job = job
        self.number = number
        self.book = book
        self.waiting = collections.deque(items)
        self.left = len(items)
        self.attempts: collections.Counter[str] = collections.Counter()


class Batch:
    """The batch controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        engines: engine.EnginePort,
        sent: sends.Sends,
        counters: metrics.Metrics,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._board = board
        self._port = port
        self._engines = engines
        self._sent = sent
        self._counters = counters
        self._live_hosts = live_hosts
        self._jobs: dict[jobs.JobKey, jobs.Job] = {}
        self._finished: set[tuple[jobs.JobKey, int]] = set()
        self._chunks: dict[tuple[jobs.JobKey, int], _Chunk] = {}
        self._workers: dict[str, int] = {}
        self._claiming = anyio.Lock()

    async def run(self) -> None:
        """Follow the jobs and run their items for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_jobs)
            while True:
                for target in self._coordinated():
                    while self._workers.get(target.name, 0) < WIDTH:
                        self._workers[target.name] = (
                            self._workers.get(target.name, 0) + 1
                        )
                        tasks.start_soon(self._work, target.name)
                await anyio.sleep(FIND_SECONDS)

    def _coordinated(self) -> list[blackboard.Target]:
        """Return the engines on which only this host runs batch items."""
        hosts = self._live_hosts()
        return [
            target
            for target in self._board.targets.rows()
            if target.kind == 'engine'
            and not target.leaving
            and shards.owner(f'target/{target.name}', hosts) == self._host
        ]

    async def _follow_jobs(self) -> None:
        version = 0
        while True:
            seen = await self._port.watch(jobs.PREFIX, version)
            if isinstance(seen, result.Err):
                await anyio.sleep(RETRY_SECONDS)
                continue
            version = seen.ok_value.version
            for stored in seen.ok_value.changes:
                if not stored.deleted:
                    job = jobs.decode(stored)
                    self._jobs[job.key] = job

    async def _work(self, name: str) -> None:
        """Run one item after another on a target."""
        try:
            while name in {row.name for row in self._coordinated()}:
                target = self._board.targets.get(name)
                chunk = await self._find_chunk(target) if target else None
                if target is None or chunk is None:
                    await anyio.sleep(FIND_SECONDS)
                    continue
                await self._run_item(target, chunk, chunk.waiting.popleft())
        finally:
            self._workers[name] -= 1

    async def _find_chunk(self, target: blackboard.Target) -> _Chunk | None:
        """Return a claimed chunk with work for a target, or claim one."""
        async with self._claiming:
            for chunk in self._chunks.values():
                if chunk.waiting and self._may_run(target, chunk.job):
                    return chunk
            for job in list(self._jobs.values()):
                if not self._may_run(target, job):
                    continue
                chunk = await self._claim_part_of(job)
                if chunk is not None and chunk.waiting:
                    return chunk
        return None

    def _may_run(self, target: blackboard.Target, job: jobs.Job) -> bool:
        present = self._jobs.get(job.key, job)
        if present.state != jobs.ACCEPTED:
            return False
        spec = self._spec(job)
        if spec is None:
            return False
        return target in targets.matching(self._board, spec)

    def _spec(self, job: jobs.Job) -> objects.ServiceSpec | None:
        item = self._board.objects.get(objects.Key('service', job.service))
        if item is None or item.deleted:
            return None
        return typing.cast(objects.ServiceSpec, item.spec)

    async def _claim_part_of(self, job: jobs.Job) -> _Chunk | None:
        """Claim an open part, those first that prefer this host."""
        hosts = self._live_hosts()

        def rank(number: int) -> int:
            path = jobs.ledger_key(job.key, number)
            return -shards.score(path, self._host)

        for number in sorted(range(len(job.parts)), key=rank):
            if (job.key, number) in self._finished:
                continue
            if (job.key, number) in self._chunks:
                continue
            chunk = await self._claim(job, number, hosts)
            if chunk is not None:
                return chunk
        return None

    async def _claim(
        self, job: jobs.Job, number: int, hosts: list[str]
    ) -> _Chunk | None:
        path = jobs.ledger_key(job.key, number)
        found = await self._port.get(path, budget.Priority.CLAIM)
        if isinstance(found, result.Ok):
            head = ledger.decode_head(found.ok_value.data)
            records = await ledger.read_records(self._port, head)
            if isinstance(records, result.Err):
                return None
            done = {record.key for record in records.ok_value}
            if len(done) >= job.parts[number].items:
                self._finished.add((job.key, number))
                return None
            if head.owner in hosts and head.owner != self._host:
                return None
        elif found.err_value.event != events.STORE_NOT_FOUND:
            return None
        return await self._open_chunk(job, number, path)

    async def _open_chunk(
        self, job: jobs.Job, number: int, path: str
    ) -> _Chunk | None:
        book = ledger.Ledger(self._port, path, self._host, jobs.merge)
        opened = await book.open()
        if isinstance(opened, result.Err):
            return None
        stored = await self._port.get(
            job.parts[number].key, budget.Priority.CLAIM
        )
        if isinstance(stored, result.Err):
            return None
        done = book.values()
        items = [
            item
            for item in jobs.decode_items(stored.ok_value.data)
            if item.id not in done
        ]
        chunk = _Chunk(job, number, book, items)
        self._chunks[(job.key, number)] = chunk
        events.log(
            events.CHUNK_CLAIMED,
            host=self._host,
            job=job.job,
            chunk=number,
            items=len(items),
        )
        return chunk

    async def _run_item(
        self, target: blackboard.Target, chunk: _Chunk, item: jobs.Item
    ) -> None:
        spec = self._spec(chunk.job)
        if spec is None:
            chunk.waiting.append(item)
            return
        chunk.attempts[item.id] += 1
        with self._sent.track(self._sent.batch, target.name):
            outcome = await self._complete(target, spec, item)
        attempts = chunk.attempts[item.id]
        if isinstance(outcome, result.Ok):
            final = jobs.ItemResult(jobs.ITEM_DONE, outcome.ok_value, attempts)
        elif attempts >= spec.max_attempts:
            final = jobs.ItemResult(
                jobs.ITEM_FAILED, outcome.err_value.message, attempts
            )
            events.log(events.ITEM_FAILED, job=chunk.job.job, item=item.id)
        else:
            chunk.waiting.append(item)
            await anyio.sleep(RETRY_SECONDS)
            return
        await self._keep(chunk, item, final)

    async def _complete(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        item: jobs.Item,
    ) -> result.Result[str, verdicts.Failure]:
        completion = engine.Completion(
            uuid.uuid4().hex,
            spec.model,
            spec.version,
            spec.adapter,
            item.prompt,
            item.max_tokens,
        )
        text = ''
        pieces = self._engines.stream(target, completion, {})
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                if isinstance(piece, result.Err):
                    return piece
                text += piece.ok_value.text
        return result.Ok(text)

    async def _keep(
        self, chunk: _Chunk, item: jobs.Item, final: jobs.ItemResult
    ) -> None:
        """Commit a result, for as long as this host owns the chunk."""
        record = ledger.Record(item.id, final.status, list(final))
        key = (chunk.job.key, chunk.number)
        while chunk.book.is_open:
            kept = await chunk.book.append([record])
            if isinstance(kept, result.Ok):
                break
            await anyio.sleep(RETRY_SECONDS)
        else:
            self._chunks.pop(key, None)
            return
        self._counters.batch_items.labels(
            chunk.job.service, final.status
        ).inc()
        chunk.left -= 1
        if chunk.left == 0:
            self._finished.add(key)
            self._chunks.pop(key, None)
            events.log(
                events.CHUNK_FINISHED,
                host=self._host,
                job=chunk.job.job,
                chunk=chunk.number,
            )
