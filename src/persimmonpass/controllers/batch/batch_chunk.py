"""Chunks of jobs that this host claimed.

A chunk queues its unfinished items for the runners and commits their results
in groups to the ledger of its part.
"""

import collections
import collections.abc
import math
import typing

import anyio
import result

from persimmonpass import budget
from persimmonpass.controllers.batch import batch_jobs
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


class PendingItem:
    """An item that has no result yet.

    :ivar text: text that earlier attempts produced
    :ivar attempts: number of attempts that ran and failed
    :ivar lost: number of attempts during which the target died
    :ivar refusals: attempts in a row that targets refused
    """

    def __init__(self, item: jobs.Item, state: jobs.ItemState) -> None:
        self.item = item
        self.text = ''
        self.attempts = state.attempts
        self.lost = state.lost
        self.refusals = 0

    @property
    def size(self) -> int:
        """Characters of the prompt plus tokens of the answer."""
        return len(self.item.prompt) + self.item.max_tokens


class Chunk:
    """A claimed chunk.

    An item during which a target died is a suspect: it may have caused the
    crash, so it runs on a target only while no other batch item does.

    :ivar changed: fires when an item becomes ready, when records are committed
        and when the chunk closes
    :ivar scopes: cancel scopes of the streams that run the chunk's items
    """

    def __init__(
        self,
        port: store.StorePort,
        host: str,
        job: jobs.Job,
        number: int,
        chunk_ledger: ledger.Ledger[jobs.ItemState],
        items: collections.abc.Iterable[jobs.Item],
        changed: batch_jobs.ChangeSignal,
    ) -> None:
        self.job = job
        self.number = number
        self.changed = changed
        self.scopes: set[anyio.CancelScope] = set()
        self._port = port
        self._host = host
        self._ledger = chunk_ledger
        self._waiting: collections.deque[PendingItem] = collections.deque()
        self._suspects: collections.deque[PendingItem] = collections.deque()
        # Refused items, with the local clock from which on they may run again.
        self._resting: list[tuple[float, PendingItem]] = []
        self._uncommitted: list[ledger.Record] = []
        self._uncommitted_bytes = 0
        self._uncommitted_results = 0
        self._uncommitted_changed = batch_jobs.ChangeSignal()
        self._is_urgent = False
        self._is_closed = False
        self._unfinished = 0
        self._progress_at = anyio.current_time()
        states = chunk_ledger.values()
        for item in items:
            state = states.get(item.id, jobs.ItemState())
            if state.result is None:
                self._unfinished += 1
                self.enqueue(PendingItem(item, state))

    @property
    def key(self) -> tuple[jobs.JobKey, int]:
        """Key of the job and number of the part."""
        return self.job.key, self.number

    @property
    def is_closed(self) -> bool:
        """Whether the items may no longer run on this host."""
        return self._is_closed

    @property
    def is_finished(self) -> bool:
        """Whether every item has a committed result."""
        return self._unfinished == 0

    @property
    def is_stalled(self) -> bool:
        """Whether no target ran an item for ``STALL_SECONDS``.

        Another host may coordinate a target that can run the items. A chunk
        with uncommitted results is not stalled, so that they are committed
        first.
        """
        idle = anyio.current_time() - self._progress_at
        waiting = self.waiting_count + len(self._resting)
        is_idle = waiting == self._unfinished and not self._uncommitted
        return is_idle and idle >= STALL_SECONDS

    @property
    def uncommitted_bytes(self) -> int:
        """Approximate size of the records that are not committed yet."""
        return self._uncommitted_bytes

    @property
    def waiting_count(self) -> int:
        """Number of items that are ready to run."""
        return len(self._waiting) + len(self._suspects)

    @property
    def has_suspects(self) -> bool:
        """Whether a suspect is ready to run."""
        return bool(self._suspects)

    def summary(self) -> jobs.Summary:
        """Return the counts of the committed results."""
        states = self._ledger.values().values()
        return jobs.summarise(
            state.result for state in states if state.result is not None
        )

    def pop_item(
        self, *, suspects: bool, below: float = math.inf
    ) -> PendingItem | None:
        """Remove and return the next ready item, or ``None``.

        :param suspects: whether to take a suspect rather than another item
        :param below: size that the item must not have
        """
        self._enqueue_rested()
        if self._is_closed:
            return None
        queue = self._suspects if suspects else self._waiting
        for index, pending in enumerate(queue):
            if pending.size < below:
                del queue[index]
                return pending
        return None

    def record_progress(self) -> None:
        """Record that a target works on an item of this chunk."""
        self._progress_at = anyio.current_time()

    def rest(self, pending: PendingItem, seconds: float) -> None:
        """Queue an item that was refused after a pause."""
        until = anyio.current_time() + seconds
        self._resting.append((until, pending))

    def _enqueue_rested(self) -> None:
        now = anyio.current_time()
        rested = [row for row in self._resting if row[0] <= now]
        if rested:
            self._resting = [row for row in self._resting if row[0] > now]
            for _, pending in rested:
                self.enqueue(pending)

    def enqueue(self, pending: PendingItem) -> None:
        """Queue an item.

        An item that was tried before goes to the front of the queue, unless
        it was refused.
        """
        queue = self._suspects if pending.lost else self._waiting
        if (pending.attempts or pending.text) and not pending.refusals:
            queue.appendleft(pending)
        else:
            queue.append(pending)
        self.changed.fire()

    def add_result(
        self, pending: PendingItem, item_result: jobs.ItemResult
    ) -> None:
        """Queue the result of an item for the next commit.

        A text above ``MAX_RESULT_BYTES`` becomes a failure.
        """
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
                item=pending.item.id,
                cause=item_result.cause,
            )
        self._add_record(
            pending.item.id, item_result.status, list(item_result)
        )

    def record_failed_attempt(self, pending: PendingItem) -> None:
        """Queue the count of failed attempts for the next commit."""
        body = [pending.attempts, pending.lost]
        self._add_record(pending.item.id, jobs.ATTEMPT_FAILED, body)

    async def commit_lost_target(self, pending: PendingItem) -> bool:
        """Commit at once that a target died while it ran an item.

        Returns only when the record is durable or the chunk is closed, so
        that the item does not run again before its loss is counted.

        :returns: whether the item may run again on this host
        """
        body = [pending.attempts, pending.lost]
        record = ledger.Record(pending.item.id, jobs.TARGET_LOST, body)
        self._add_record(*record)
        self._is_urgent = True
        self._uncommitted_changed.fire()
        while record in self._uncommitted and not self._is_closed:
            await self._uncommitted_changed.wait(RETRY_SECONDS)
        return not self._is_closed

    def close(self) -> None:
        """Stop the items and drop everything that is not committed."""
        self._is_closed = True
        for scope in list(self.scopes):
            scope.cancel()
        self._uncommitted_changed.fire()
        self.changed.fire()

    async def run(self) -> None:
        """Commit results until all are durable or the chunk is closed."""
        while self._unfinished and not self._is_closed:
            await self._wait_for_group()
            if self._uncommitted and not self._is_closed:
                await self._commit()

    async def check_owner(self) -> None:
        """Close the chunk if another host owns its ledger."""
        path = jobs.ledger_key(*self.key)
        found = await self._port.get(path, budget.Priority.CLAIM)
        if isinstance(found, result.Ok):
            head = ledger.decode_head(found.ok_value.data)
            if head.owner != self._host:
                self.close()

    def _add_record(self, key: str, kind: str, body: typing.Any) -> None:
        record = ledger.Record(key, kind, body)
        self._uncommitted.append(record)
        self._uncommitted_bytes += _size(record)
        self._uncommitted_results += _is_result(record)
        self._uncommitted_changed.fire()

    async def _wait_for_group(self) -> None:
        """Wait until the uncommitted records are worth a write.

        They are if their number or size reaches a group's limit, if they are
        urgent or the last of the chunk, or after ``LINGER_SECONDS``.
        """
        while not self._uncommitted and not self._is_closed:
            await self._uncommitted_changed.wait(LINGER_SECONDS)
        with anyio.move_on_after(LINGER_SECONDS):
            while not self._is_due():
                await self._uncommitted_changed.wait(LINGER_SECONDS)

    def _is_due(self) -> bool:
        return (
            self._is_closed
            or self._is_urgent
            or len(self._uncommitted) >= GROUP_RECORDS
            or self._uncommitted_bytes >= GROUP_BYTES
            or self._uncommitted_results >= self._unfinished
        )

    async def _commit(self) -> None:
        """Commit a group of records unless the job was cancelled.

        The job is read first, since a host that receives neither notices nor
        watch updates would otherwise not learn of the cancellation.
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
        if not self._ledger.is_open and not await self._reopen():
            return
        group = self._next_group()
        appended = await self._ledger.append(group)
        if isinstance(appended, result.Ok):
            self._drop_committed(group)
        elif self._ledger.is_open:
            await anyio.sleep(RETRY_SECONDS)

    async def _reopen(self) -> bool:
        """Reopen the ledger after a write with an unknown outcome.

        Closes the chunk if another host owns the ledger or a reader sealed
        it.

        :returns: whether records are left to commit
        """
        path = jobs.ledger_key(*self.key)
        found = await self._port.get(path, budget.Priority.RESULT)
        if isinstance(found, result.Err):
            await anyio.sleep(RETRY_SECONDS)
            return False
        head = ledger.decode_head(found.ok_value.data)
        if head.owner != self._host:
            self.close()
            return False
        opened = await self._ledger.open()
        if isinstance(opened, result.Err):
            await anyio.sleep(RETRY_SECONDS)
            return False
        states = self._ledger.values()
        if jobs.SEAL_KEY in states:
            self.close()
            return False
        already_committed = [
            record
            for record in self._uncommitted
            if states.get(record.key, jobs.ItemState()).result is not None
        ]
        self._drop_committed(already_committed)
        return bool(self._uncommitted)

    def _next_group(self) -> list[ledger.Record]:
        group: list[ledger.Record] = []
        size = 0
        for record in self._uncommitted[:GROUP_RECORDS]:
            if group and size >= GROUP_BYTES:
                break
            group.append(record)
            size += _size(record)
        return group

    def _drop_committed(self, committed: list[ledger.Record]) -> None:
        """Remove records that the ledger holds from the uncommitted ones."""
        committed_ids = {id(record) for record in committed}
        self._uncommitted = [
            record
            for record in self._uncommitted
            if id(record) not in committed_ids
        ]
        for record in committed:
            self._uncommitted_bytes -= _size(record)
            if _is_result(record):
                self._uncommitted_results -= 1
                self._unfinished -= 1
        self._is_urgent = any(
            record.kind == jobs.TARGET_LOST for record in self._uncommitted
        )
        self._uncommitted_changed.fire()
        self.changed.fire()


def _is_result(record: ledger.Record) -> bool:
    return record.kind in (jobs.ITEM_DONE, jobs.ITEM_FAILED)


def _size(record: ledger.Record) -> int:
    """Return the approximate size of a record in bytes."""
    body = record.body if isinstance(record.body, list) else []
    texts = [part for part in body if isinstance(part, str)]
    return 32 + len(record.key) + sum(len(text.encode()) for text in texts)
