"""Claims chunks of jobs and chooses the items to run next.

The items of a job are stored in numbered parts. A host that claims a part
owns its ledger and runs the part as a chunk; see :mod:`batch_chunk`.
"""

import collections.abc
import math
import typing
import uuid

import anyio
import anyio.abc
import result

from persimmonpass import budget
from persimmonpass.controllers.batch import batch_chunk
from persimmonpass.controllers.batch import batch_jobs
from persimmonpass import events
from persimmonpass import jobs
from persimmonpass import ledger
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import batch
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass import verdicts

LOW_WATER_ITEMS = 32
RETRY_SECONDS = 1.0
RECLAIM_DELAY_SECONDS = 20.0
CLAIM_STALE_SECONDS = 30.0
QUEUE_REFRESH_SECONDS = 0.25
MAX_UNCOMMITTED_BYTES = 16_000_000

ChunkKey = tuple[jobs.JobKey, int]


class Claims:
    """Claims of this host.

    :ivar chunks: the chunks that this host runs, by job and part number
    """

    def __init__(
        self,
        host: str,
        port: store.StorePort,
        table: batch_jobs.JobTable,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        self.chunks: dict[ChunkKey, batch_chunk.Chunk] = {}
        self._host = host
        self._port = port
        self._table = table
        self._live_hosts = live_hosts
        self._claiming: dict[jobs.JobKey, int] = {}
        self._share = batch.Share()
        self._queue_cache: dict[
            frozenset[str],
            tuple[float, dict[str, list[batch_jobs.JobEntry]]],
        ] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls from peers, by method."""
        return {batch_jobs.METHOD_PROGRESS: self._handle_progress}

    async def run(self) -> None:
        """Run the claimed chunks until cancelled.

        Chunks that are stalled or whose job has ended are closed.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                for chunk in list(self.chunks.values()):
                    is_open = self._table.is_accepted(chunk.job.key)
                    if not is_open or chunk.is_stalled:
                        chunk.close()
                await self._table.changed.wait(RETRY_SECONDS)

    def next_item(
        self,
        services: frozenset[str],
        *,
        allow_suspects: bool,
        below: float = math.inf,
    ) -> tuple[batch_chunk.Chunk, batch_chunk.PendingItem] | None:
        """Return the item to run next on a target, or ``None``.

        Accounts share by start-time fair queueing; the jobs of an account are
        served by due time. Nothing is returned while the results that wait
        for a commit exceed ``MAX_UNCOMMITTED_BYTES``, so that a long outage
        of the store does not fill the memory.

        :param services: services that the target serves
        :param allow_suspects: whether an item may be returned during which a
            target died; only if no batch item runs on the target now
        :param below: size that the item must not have
        """
        if self._total_uncommitted_bytes() >= MAX_UNCOMMITTED_BYTES:
            return None
        queues = self._queues(services)
        for account in batch.order_accounts(self._share, queues):
            for entry in queues[account]:
                found = self._next_item_of(entry, allow_suspects, below)
                if found is not None:
                    tokens = found[1].item.max_tokens
                    self._share = batch.record_served(
                        self._share, account, tokens
                    )
                    return found
        return None

    def has_suspects(self, services: frozenset[str]) -> bool:
        """Return whether a suspect of one of the services is ready to run."""
        return any(
            chunk.has_suspects and chunk.job.service in services
            for chunk in self.chunks.values()
        )

    def seconds_until_due(self, job: jobs.Job) -> float:
        """Return the time until a job is due.

        :returns: seconds, negative if the job is late
        """
        entry = self._table.entries.get(job.key)
        if entry is None:
            return job.due_seconds
        age = anyio.current_time() - entry.learned_at
        return job.due_seconds - age

    def check_claim(self, key: jobs.JobKey, number: int) -> None:
        """Check who owns a chunk that a peer has announced to have claimed.

        If this host runs the chunk but no longer owns it, the chunk closes.
        """
        chunk = self.chunks.get((key, number))
        if chunk is not None and self._tasks is not None:
            self._tasks.start_soon(chunk.check_owner)

    @staticmethod
    def _pop_item(
        chunk: batch_chunk.Chunk, allow_suspects: bool, below: float
    ) -> batch_chunk.PendingItem | None:
        pending = None
        if allow_suspects:
            pending = chunk.pop_item(suspects=True, below=below)
        return pending or chunk.pop_item(suspects=False, below=below)

    def _total_uncommitted_bytes(self) -> int:
        return sum(chunk.uncommitted_bytes for chunk in self.chunks.values())

    def _chunks_of(self, key: jobs.JobKey) -> list[batch_chunk.Chunk]:
        return [
            chunk for chunk in self.chunks.values() if chunk.job.key == key
        ]

    def _queues(
        self, services: frozenset[str]
    ) -> dict[str, list[batch_jobs.JobEntry]]:
        """Return the jobs of each account, sorted by due time.

        The order is cached for ``QUEUE_REFRESH_SECONDS``.
        """
        now = anyio.current_time()
        sorted_at, queues = self._queue_cache.get(
            services, (-QUEUE_REFRESH_SECONDS, {})
        )
        if now - sorted_at < QUEUE_REFRESH_SECONDS:
            return queues
        by_account: dict[str, list[batch.Candidate]] = {}
        for key, entry in self._table.entries.items():
            if entry.job.service in services:
                age = now - entry.learned_at
                seconds_until_due = entry.job.due_seconds - age
                candidate = batch.Candidate(*key, seconds_until_due, age)
                by_account.setdefault(key.account, []).append(candidate)
        queues = {
            account: [
                self._table.entries[jobs.JobKey(job.account, job.job)]
                for job in batch.order_jobs(candidates)
            ]
            for account, candidates in by_account.items()
        }
        self._queue_cache[services] = now, queues
        return queues

    def _next_item_of(
        self,
        entry: batch_jobs.JobEntry,
        allow_suspects: bool,
        below: float,
    ) -> tuple[batch_chunk.Chunk, batch_chunk.PendingItem] | None:
        """Return an item of a job, or ``None``.

        Another chunk is claimed once fewer than ``LOW_WATER_ITEMS`` are
        ready, before they run out.
        """
        if not self._table.is_accepted(entry.job.key):
            return None
        held = self._chunks_of(entry.job.key)
        if sum(chunk.waiting_count for chunk in held) < LOW_WATER_ITEMS:
            self._start_claim(entry)
        for chunk in held:
            pending = self._pop_item(chunk, allow_suspects, below)
            if pending is not None:
                return chunk, pending
        return None

    def _pick_part(self, entry: batch_jobs.JobEntry, now: float) -> int | None:
        """Return a part that no live host is known to work on, or ``None``.

        A claim older than ``CLAIM_STALE_SECONDS`` is checked again.
        """
        key = entry.job.key
        hosts = self._live_hosts()

        def is_open(number: int) -> bool:
            if number in entry.summaries or (key, number) in self.chunks:
                return False
            if entry.retry_at.get(number, now) > now:
                return False
            owner, received_at = entry.claims.get(number, ('', now))
            is_stale = now - received_at >= CLAIM_STALE_SECONDS
            return owner == self._host or owner not in hosts or is_stale

        parts = len(entry.job.parts)
        start = shards.score('/'.join(key), self._host) % parts
        return batch.pick_part(parts, start, is_open)

    def _start_claim(self, entry: batch_jobs.JobEntry) -> None:
        key = entry.job.key
        now = anyio.current_time()
        if (
            key in self._claiming
            or self._tasks is None
            or now < entry.next_pick_at
        ):
            return
        number = self._pick_part(entry, now)
        if number is None:
            entry.next_pick_at = now + QUEUE_REFRESH_SECONDS
            return
        self._claiming[key] = number
        self._tasks.start_soon(self._claim, entry, number)

    async def _claim(self, entry: batch_jobs.JobEntry, number: int) -> None:
        key = entry.job.key
        try:
            chunk = await self._open_chunk(entry, number)
        finally:
            self._claiming.pop(key, None)
        if chunk is None:
            entry.retry_at[number] = anyio.current_time() + RETRY_SECONDS
        self._table.changed.fire()
        if chunk is not None:
            await self._run_chunk(chunk)

    async def _open_chunk(
        self, entry: batch_jobs.JobEntry, number: int
    ) -> batch_chunk.Chunk | None:
        """Claim a chunk and read its items.

        :returns: the chunk, or ``None`` if a live host works on it, the store
            did not answer or the job has ended
        """
        job = entry.job
        path = jobs.ledger_key(job.key, number)
        if not await self._acquire_ledger(entry, number, path):
            return None
        self._table.broadcast_claim(entry, number)
        chunk_ledger = ledger.Ledger(self._port, path, self._host, jobs.merge)
        opened = await chunk_ledger.open()
        if isinstance(opened, result.Err):
            entry.claims.pop(number, None)
            return None
        items = await self._read_items(job, number, chunk_ledger)
        if items is None:
            return None
        chunk = batch_chunk.Chunk(
            self._port,
            self._host,
            job,
            number,
            chunk_ledger,
            items,
            self._table.changed,
        )
        self.chunks[chunk.key] = chunk
        return chunk

    async def _acquire_ledger(
        self, entry: batch_jobs.JobEntry, number: int, path: str
    ) -> bool:
        """Become the owner of a chunk's ledger.

        Opening a ledger takes it from its owner, whoever that is. The claim
        is therefore a conditional write that expects the version that was
        read: if several hosts claim a chunk at once, one succeeds and the
        others leave the chunk to it.

        :param path: the store's key of the ledger
        :returns: whether this host owns the ledger now
        """
        found = await self._port.get(path, budget.Priority.CLAIM)
        if isinstance(found, result.Ok):
            version = found.ok_value.version
            head = ledger.decode_head(found.ok_value.data)
            if await self._is_held_by_peer(head.owner, entry, number):
                return False
        elif found.err_value.event == events.STORE_NOT_FOUND:
            version = store.CREATE
            head = ledger.Head(0, '', '', [], [])
        else:
            return False
        claimed = head._replace(
            epoch=head.epoch + 1, owner=self._host, commit=uuid.uuid4().hex
        )
        written = await self._port.put(
            path, ledger.encode_head(claimed), version, budget.Priority.CLAIM
        )
        return isinstance(written, result.Ok)

    async def _read_items(
        self,
        job: jobs.Job,
        number: int,
        chunk_ledger: ledger.Ledger[jobs.ItemState],
    ) -> list[jobs.Item] | None:
        """Read the items of a claimed part.

        :returns: the items, or ``None`` if the store did not answer or the
            job was cancelled before the claim
        """
        present = await jobs.read_head(
            self._port, job.key, budget.Priority.CLAIM
        )
        if isinstance(present, result.Err):
            return None
        if present.ok_value.state != jobs.ACCEPTED:
            self._table.remove(job.key)
            return None
        if jobs.SEAL_KEY in chunk_ledger.values():
            return None
        key = jobs.items_key(job.key, job.parts[number].digest)
        stored = await self._port.get(key, budget.Priority.CLAIM)
        if isinstance(stored, result.Err):
            return None
        events.log(
            events.CHUNK_CLAIMED,
            host=self._host,
            job=job.job,
            chunk=number,
            items=job.parts[number].items,
        )
        return jobs.decode_items(stored.ok_value.data)

    async def _is_held_by_peer(
        self, owner: str, entry: batch_jobs.JobEntry, number: int
    ) -> bool:
        """Return whether another live host works on a chunk.

        A live host may have restarted or dropped the chunk, so it is asked.
        If it does not answer, it is assumed to hold the chunk.
        """
        if owner == self._host or owner not in self._live_hosts():
            return False
        progress = await self._table.request_progress(owner, entry.job.key)
        if progress is not None:
            held = {held_number for held_number, _ in progress['held']}
            if number not in held:
                return False
        entry.record_claim(number, owner)
        return True

    async def _run_chunk(self, chunk: batch_chunk.Chunk) -> None:
        """Commit the results of a chunk and announce how it ended.

        Peers are notified that the part is finished or that this host has
        released it.
        """
        try:
            await chunk.run()
        finally:
            summary = chunk.summary()
            self.chunks.pop(chunk.key, None)
        entry = self._table.entries.get(chunk.job.key)
        if chunk.is_finished:
            events.log(
                events.CHUNK_FINISHED,
                host=self._host,
                job=chunk.job.job,
                chunk=chunk.number,
            )
            await self._table.finish_part(*chunk.key, summary)
        elif entry is not None:
            self._table.broadcast_release(entry, chunk.number)
            retry_at = anyio.current_time() + RECLAIM_DELAY_SECONDS
            entry.retry_at[chunk.number] = retry_at

    async def _handle_progress(
        self, peer: str, payload: typing.Any
    ) -> result.Result[batch_jobs.Progress, verdicts.Failure]:
        return result.Ok(self.progress(jobs.JobKey(*payload)))

    def progress(self, key: jobs.JobKey) -> batch_jobs.Progress:
        """Return what this host has done of a job."""
        entry = self._table.entries.get(key)
        now = anyio.current_time()
        age = now - entry.learned_at if entry is not None else 0.0
        held = [
            (chunk.number, chunk.summary()) for chunk in self._chunks_of(key)
        ]
        if key in self._claiming:
            held.append((self._claiming[key], jobs.Summary()))
        return batch_jobs.Progress(age_seconds=age, held=held)
