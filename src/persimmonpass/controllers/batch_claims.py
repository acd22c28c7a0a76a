"""Claims chunks of jobs and hands out their items."""

import collections.abc
import typing
import uuid

import anyio
import anyio.abc
import result

from persimmonpass import budget
from persimmonpass.controllers import batch_chunk
from persimmonpass.controllers import batch_jobs
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
RELEASE_SECONDS = 20.0
CHECK_SECONDS = 30.0
ORDER_SECONDS = 0.25
MAX_PENDING_BYTES = 16_000_000

ChunkKey = tuple[jobs.JobKey, int]


class Claims:
    """The chunks that this host owns.

    :ivar chunks: by job and number
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
        self._sorted: dict[
            frozenset[str],
            tuple[float, dict[str, list[batch_jobs.JobEntry]]],
        ] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {batch_jobs.METHOD_PROGRESS: self._take_progress}

    async def run(self) -> None:
        """Close the chunks of jobs that end, for ever."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                for chunk in list(self.chunks.values()):
                    is_open = self._table.is_accepted(chunk.job.key)
                    if not is_open or chunk.is_stalled:
                        chunk.close()
                await self._table.changed.wait(RETRY_SECONDS)

    def next_work(
        self, services: frozenset[str], *, alone: bool
    ) -> tuple[batch_chunk.Chunk, batch_chunk.Work] | None:
        """Return the item to run next on a target, in a fair order.

        :param services: services of the target
        :param alone: whether no batch item runs there, so that an item on
            which a target died may run
        """
        if self._pending_bytes() >= MAX_PENDING_BYTES:
            return None
        queues = self._queues(services)
        for account in batch.order_accounts(self._share, queues):
            for entry in queues[account]:
                found = self._next_of(entry, alone)
                if found is not None:
                    tokens = found[1].item.max_tokens
                    self._share = batch.record_served(
                        self._share, account, tokens
                    )
                    return found
        return None

    def wants_alone(self, services: frozenset[str]) -> bool:
        """Return whether an item waits until a target runs nothing else."""
        return any(
            chunk.has_suspects and chunk.job.service in services
            for chunk in self.chunks.values()
        )

    def left_seconds(self, job: jobs.Job) -> float:
        """Return the time until a job is due."""
        entry = self._table.entries.get(job.key)
        if entry is None:
            return job.due_seconds
        age = anyio.current_time() - entry.learned_at
        return job.due_seconds - age

    def check_claim(self, key: jobs.JobKey, number: int) -> None:
        """Look after a chunk of this host that a peer claims, too."""
        chunk = self.chunks.get((key, number))
        if chunk is not None and self._tasks is not None:
            self._tasks.start_soon(chunk.check_owner)

    @staticmethod
    def _take(
        chunk: batch_chunk.Chunk, alone: bool
    ) -> batch_chunk.Work | None:
        work = chunk.take(suspects=True) if alone else None
        return work or chunk.take(suspects=False)

    def _pending_bytes(self) -> int:
        return sum(chunk.pending_bytes for chunk in self.chunks.values())

    def _held(self, key: jobs.JobKey) -> list[batch_chunk.Chunk]:
        return [
            chunk for chunk in self.chunks.values() if chunk.job.key == key
        ]

    def _queues(
        self, services: frozenset[str]
    ) -> dict[str, list[batch_jobs.JobEntry]]:
        """Return the jobs of each account by due time, sorted now and then."""
        now = anyio.current_time()
        sorted_at, queues = self._sorted.get(services, (-ORDER_SECONDS, {}))
        if now - sorted_at < ORDER_SECONDS:
            return queues
        by_account: dict[str, list[batch.Candidate]] = {}
        for key, entry in self._table.entries.items():
            if entry.job.service in services:
                age = now - entry.learned_at
                left = entry.job.due_seconds - age
                candidate = batch.Candidate(*key, left, age)
                by_account.setdefault(key.account, []).append(candidate)
        queues = {
            account: [
                self._table.entries[jobs.JobKey(job.account, job.job)]
                for job in batch.order_jobs(candidates)
            ]
            for account, candidates in by_account.items()
        }
        self._sorted[services] = now, queues
        return queues

    def _next_of(
        self, entry: batch_jobs.JobEntry, alone: bool
    ) -> tuple[batch_chunk.Chunk, batch_chunk.Work] | None:
        """Return an item of a job, and claim more before they run out."""
        if not self._table.is_accepted(entry.job.key):
            return None
        held = self._held(entry.job.key)
        if sum(chunk.waiting for chunk in held) < LOW_WATER_ITEMS:
            self._start_claim(entry)
        for chunk in held:
            work = self._take(chunk, alone)
            if work is not None:
                return chunk, work
        return None

    def _pick(self, entry: batch_jobs.JobEntry, now: float) -> int | None:
        """Return a part that no live host works on."""
        key = entry.job.key
        hosts = self._live_hosts()

        def is_open(number: int) -> bool:
            if number in entry.summaries or (key, number) in self.chunks:
                return False
            if entry.retry_at.get(number, now) > now:
                return False
            owner, heard_at = entry.claims.get(number, ('', now))
            is_quiet = now - heard_at >= CHECK_SECONDS
            return owner == self._host or owner not in hosts or is_quiet

        parts = len(entry.job.parts)
        start = shards.score('/'.join(key), self._host) % parts
        return batch.pick_part(parts, start, is_open)

    def _start_claim(self, entry: batch_jobs.JobEntry) -> None:
        key = entry.job.key
        now = anyio.current_time()
        if key in self._claiming or self._tasks is None or now < entry.look_at:
            return
        number = self._pick(entry, now)
        if number is None:
            entry.look_at = now + ORDER_SECONDS
            return
        self._claiming[key] = number
        self._tasks.start_soon(self._claim, entry, number)

    async def _claim(self, entry: batch_jobs.JobEntry, number: int) -> None:
        key = entry.job.key
        try:
            chunk = await self._open(entry, number)
        finally:
            self._claiming.pop(key, None)
        if chunk is None:
            entry.retry_at[number] = anyio.current_time() + RETRY_SECONDS
        self._table.changed.fire()
        if chunk is not None:
            await self._keep(chunk)

    async def _open(
        self, entry: batch_jobs.JobEntry, number: int
    ) -> batch_chunk.Chunk | None:
        """Take a chunk over unless a live host works on it."""
        job = entry.job
        path = jobs.ledger_key(job.key, number)
        if not await self._win(entry, number, path):
            return None
        self._table.tell_claimed(entry, number)
        book = ledger.Ledger(self._port, path, self._host, jobs.merge)
        opened = await book.open()
        if isinstance(opened, result.Err):
            entry.claims.pop(number, None)
            return None
        items = await self._read_items(job, number, book)
        if items is None:
            return None
        chunk = batch_chunk.Chunk(
            self._port,
            self._host,
            job,
            number,
            book,
            items,
            self._table.changed,
        )
        self.chunks[chunk.key] = chunk
        return chunk

    async def _win(
        self, entry: batch_jobs.JobEntry, number: int, path: str
    ) -> bool:
        """Become a chunk's owner, if no other host does at the same time.

        Opening a ledger takes it from whoever owns it. So the claim is one
        conditional write on what was read: of hosts that claim together,
        one wins and the others leave the chunk to it.
        """
        found = await self._port.get(path, budget.Priority.CLAIM)
        if isinstance(found, result.Ok):
            version = found.ok_value.version
            head = ledger.decode_head(found.ok_value.data)
            if await self._is_held(head.owner, entry, number):
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
        book: ledger.Ledger[jobs.ItemState],
    ) -> list[jobs.Item] | None:
        """Read the items, unless the job was cancelled before the claim."""
        present = await jobs.read_head(
            self._port, job.key, budget.Priority.CLAIM
        )
        if isinstance(present, result.Err):
            return None
        if present.ok_value.state != jobs.ACCEPTED:
            self._table.end(job.key)
            return None
        if jobs.SEAL_KEY in book.values():
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

    async def _is_held(
        self, owner: str, entry: batch_jobs.JobEntry, number: int
    ) -> bool:
        """Return whether a live host other than this one has a chunk.

        A host that is alive may have restarted or dropped the chunk, so it
        is asked. One that is alive and does not answer keeps it.
        """
        if owner == self._host or owner not in self._live_hosts():
            return False
        progress = await self._table.ask(owner, entry.job.key)
        if progress is not None:
            held = {held_number for held_number, _ in progress['held']}
            if number not in held:
                return False
        entry.note_claim(number, owner)
        return True

    async def _keep(self, chunk: batch_chunk.Chunk) -> None:
        """Commit a chunk's results, then say that it is finished."""
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
            self._table.tell_released(entry, chunk.number)
            retry_at = anyio.current_time() + RELEASE_SECONDS
            entry.retry_at[chunk.number] = retry_at

    async def _take_progress(
        self, peer: str, payload: typing.Any
    ) -> result.Result[batch_jobs.Progress, verdicts.Failure]:
        return result.Ok(self.progress(jobs.JobKey(*payload)))

    def progress(self, key: jobs.JobKey) -> batch_jobs.Progress:
        """Return this host's part in a job."""
        entry = self._table.entries.get(key)
        now = anyio.current_time()
        age = now - entry.learned_at if entry is not None else 0.0
        held = [(chunk.number, chunk.summary()) for chunk in self._held(key)]
        if key in self._claiming:
            held.append((self._claiming[key], jobs.Summary()))
        return batch_jobs.Progress(age_seconds=age, held=held)
