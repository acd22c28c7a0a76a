"""A chunk of a job that this host claimed, and the commits of its results."""

import collections
import collections.abc
import typing

import anyio
import result

from persimmonpass import budget
from persimmonpass.controllers import batch_jobs
from persimmonpass import events
from persimmonpass import jobs
from persimmonpass import ledger
from persimmonpass import store

RETRY_SECONDS = 0.5
LINGER_SECONDS = 5.0
STALL_SECONDS = 10.0
GROUP_RECORDS = 1_000
GROUP_BYTES = 250_000
MAX_RESULT_BYTES = 250_000
MAX_LOST_TARGETS = 2


class Work:
    """An item that has no result yet.

    :ivar text: what earlier attempts produced
    :ivar attempts: attempts that ran and failed
    :ivar lost: attempts during which the target died
    """

    def __init__(self, item: jobs.Item, state: jobs.ItemState) -> None:
        self.item = item
        self.text = ''
        self.attempts = state.attempts
        self.lost = state.lost


class Chunk:
    """A claimed chunk.

    :ivar changed: fires when items are ready or the chunk ends
    :ivar scopes: cancel scopes of the streams of its items
    """

    def __init__(
        self,
        port: store.StorePort,
        host: str,
        job: jobs.Job,
        number: int,
        book: ledger.Ledger[jobs.ItemState],
        items: collections.abc.Iterable[jobs.Item],
        changed: batch_jobs.Pulse,
    ) -> None:
        self.job = job
        self.number = number
        self.changed = changed
        self.scopes: set[anyio.CancelScope] = set()
        self._port = port
        self._host = host
        self._book = book
        self._waiting: collections.deque[Work] = collections.deque()
        self._suspects: collections.deque[Work] = collections.deque()
        self._pending: list[ledger.Record] = []
        self._pending_bytes = 0
        self._pending_results = 0
        self._pulse = batch_jobs.Pulse()
        self._is_urgent = False
        self._is_closed = False
        self._left = 0
        self._moved_at = anyio.current_time()
        states = book.values()
        for item in items:
            state = states.get(item.id, jobs.ItemState())
            if state.result is None:
                self._left += 1
                self.give_back(Work(item, state))

    @property
    def key(self) -> tuple[jobs.JobKey, int]:
        """Job and number."""
        return self.job.key, self.number

    @property
    def is_closed(self) -> bool:
        """Whether its items may no longer run here."""
        return self._is_closed

    @property
    def is_finished(self) -> bool:
        """Whether every item has a committed result."""
        return self._left == 0

    @property
    def is_stalled(self) -> bool:
        """Whether its items found no target for a while.

        Another host may coordinate a target that takes them. Results that
        wait for a commit go first.
        """
        idle = anyio.current_time() - self._moved_at
        is_idle = self.waiting == self._left and not self._pending
        return is_idle and idle >= STALL_SECONDS

    @property
    def pending_bytes(self) -> int:
        """Size of the results that are not committed."""
        return self._pending_bytes

    @property
    def waiting(self) -> int:
        """Items that may run now."""
        return len(self._waiting) + len(self._suspects)

    @property
    def has_suspects(self) -> bool:
        """Whether an item waits that must run alone."""
        return bool(self._suspects)

    def summary(self) -> jobs.Summary:
        """Count the committed results."""
        states = self._book.values().values()
        return jobs.summarise(
            state.result for state in states if state.result is not None
        )

    def take(self, *, suspects: bool) -> Work | None:
        """Return the next item of one kind, or ``None``."""
        queue = self._suspects if suspects else self._waiting
        return queue.popleft() if queue and not self._is_closed else None

    def note_progress(self) -> None:
        """Note that a target works on one of its items."""
        self._moved_at = anyio.current_time()

    def give_back(self, work: Work) -> None:
        """Queue an item again, before those that were never tried."""
        queue = self._suspects if work.lost else self._waiting
        if work.attempts or work.text:
            queue.appendleft(work)
        else:
            queue.append(work)
        self.changed.fire()

    def finish(self, work: Work, item_result: jobs.ItemResult) -> None:
        """Keep a result until it is committed."""
        if len(item_result.text.encode()) > MAX_RESULT_BYTES:
            item_result = item_result._replace(
                status=jobs.ITEM_FAILED,
                text=f'the text is longer than {MAX_RESULT_BYTES} bytes',
                cause=events.REQUEST_INVALID.name,
            )
        if item_result.status == jobs.ITEM_FAILED:
            events.log(
                events.ITEM_FAILED,
                job=self.job.job,
                item=work.item.id,
                cause=item_result.cause,
            )
        self._append(work.item.id, item_result.status, list(item_result))

    def note_attempt(self, work: Work) -> None:
        """Keep the count of a failed attempt; it is committed in time."""
        body = [work.attempts, work.lost]
        self._append(work.item.id, jobs.ATTEMPT_FAILED, body)

    async def note_lost_target(self, work: Work) -> bool:
        """Commit that a target died on an item.

        :returns: whether the item may run again here
        """
        body = [work.attempts, work.lost]
        record = ledger.Record(work.item.id, jobs.TARGET_LOST, body)
        self._append(*record)
        self._is_urgent = True
        self._pulse.fire()
        while record in self._pending and not self._is_closed:
            await self._pulse.wait(RETRY_SECONDS)
        return not self._is_closed

    def close(self) -> None:
        """Stop its items; whatever is not committed is dropped."""
        self._is_closed = True
        for scope in list(self.scopes):
            scope.cancel()
        self._pulse.fire()
        self.changed.fire()

    async def run(self) -> None:
        """Commit results until all are kept or the chunk is closed."""
        while self._left and not self._is_closed:
            await self._linger()
            if self._pending and not self._is_closed:
                await self._commit()

    async def check_owner(self) -> None:
        """Close the chunk if another host owns its ledger."""
        path = jobs.ledger_key(*self.key)
        found = await self._port.get(path, budget.Priority.CLAIM)
        if isinstance(found, result.Ok):
            head = ledger.decode_head(found.ok_value.data)
            if head.owner != self._host:
                self.close()

    def _append(self, key: str, kind: str, body: typing.Any) -> None:
        record = ledger.Record(key, kind, body)
        self._pending.append(record)
        self._pending_bytes += _size(record)
        self._pending_results += _is_result(record)
        self._pulse.fire()

    async def _linger(self) -> None:
        """Wait until a group of records is worth a write."""
        while not self._pending and not self._is_closed:
            await self._pulse.wait(LINGER_SECONDS)
        with anyio.move_on_after(LINGER_SECONDS):
            while not self._is_due():
                await self._pulse.wait(LINGER_SECONDS)

    def _is_due(self) -> bool:
        return (
            self._is_closed
            or self._is_urgent
            or len(self._pending) >= GROUP_RECORDS
            or self._pending_bytes >= GROUP_BYTES
            or self._pending_results >= self._left
        )

    async def _commit(self) -> None:
        """Commit a group, for as long as the job is not cancelled.

        A host that hears neither peers nor the watch learns here of the
        cancellation.
        """
        head = await jobs.read_head(
            self._port, self.job.key, budget.Priority.RESULT
        )
        if isinstance(head, result.Err):
            if head.err_value.event == events.STORE_NOT_FOUND:
                self.close()
            await anyio.sleep(RETRY_SECONDS)
            return
        if head.ok_value.state != jobs.ACCEPTED:
            self.close()
            return
        if not self._book.is_open and not await self._reopen():
            return
        group = self._next_group()
        kept = await self._book.append(group)
        if isinstance(kept, result.Ok):
            self._drop_pending(group)
        elif self._book.is_open:
            await anyio.sleep(RETRY_SECONDS)

    async def _reopen(self) -> bool:
        """Own the ledger again after a write with an unknown outcome."""
        path = jobs.ledger_key(*self.key)
        found = await self._port.get(path, budget.Priority.RESULT)
        if isinstance(found, result.Err):
            await anyio.sleep(RETRY_SECONDS)
            return False
        head = ledger.decode_head(found.ok_value.data)
        if head.owner != self._host:
            self.close()
            return False
        opened = await self._book.open()
        if isinstance(opened, result.Err):
            await anyio.sleep(RETRY_SECONDS)
            return False
        states = self._book.values()
        if jobs.SEAL_KEY in states:
            self.close()
            return False
        present = [
            record
            for record in self._pending
            if states.get(record.key, jobs.ItemState()).result is not None
        ]
        self._drop_pending(present)
        return bool(self._pending)

    def _next_group(self) -> list[ledger.Record]:
        group: list[ledger.Record] = []
        size = 0
        for record in self._pending[:GROUP_RECORDS]:
            if group and size >= GROUP_BYTES:
                break
            group.append(record)
            size += _size(record)
        return group

    def _drop_pending(self, committed: list[ledger.Record]) -> None:
        """Forget records that are in the ledger."""
        gone = {id(record) for record in committed}
        self._pending = [
            record for record in self._pending if id(record) not in gone
        ]
        for record in committed:
            self._pending_bytes -= _size(record)
            if _is_result(record):
                self._pending_results -= 1
                self._left -= 1
        self._is_urgent = any(
            record.kind == jobs.TARGET_LOST for record in self._pending
        )
        self._pulse.fire()
        self.changed.fire()


def _is_result(record: ledger.Record) -> bool:
    return record.kind in (jobs.ITEM_DONE, jobs.ITEM_FAILED)


def _size(record: ledger.Record) -> int:
    """Return about how many bytes a record takes."""
    body = record.body if isinstance(record.body, list) else []
    texts = [part for part in body if isinstance(part, str)]
    return 32 + len(record.key) + sum(len(text.encode()) for text in texts)
