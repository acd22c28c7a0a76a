"""A durable log over conditional updates of one head object.

The head holds an epoch, its owner, the latest records and the names of
immutable segments with earlier records. Whoever raises the epoch owns the
ledger; the next write of an earlier owner fails, because each write expects
the version that its writer saw last. No lease takes part and the clocks of
hosts are never compared: the head carries a clock of its own, which its
owners advance by the time that passed between their writes.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import group_commit
from persimmonpass import heads
from persimmonpass.policy import compaction
from persimmonpass import segments
from persimmonpass import store
from persimmonpass import verdicts

MAX_INLINE_BYTES = 64_000
MAX_APPEND_BYTES = 800_000
OPEN_ATTEMPTS = 5
MIN_TICK_SECONDS = 0.000_001

Record = heads.Record
Head = heads.Head
encode_head = heads.encode_head
decode_head = heads.decode_head
ownership_lost = heads.ownership_lost
read_records = segments.read_records
read = segments.read

Value = typing.TypeVar('Value')
Merge = collections.abc.Callable[[Value | None, Record], Value]


class Ledger(typing.Generic[Value]):
    """A ledger that this host owns, folded into a value for each key.

    :ivar path: key of the head object
    :ivar writes: number of head writes that committed appends
    """

    def __init__(
        self,
        port: store.StorePort,
        path: str,
        owner: str,
        merge: Merge[Value],
        priority: budget.Priority = budget.Priority.RESULT,
        retention_seconds: float | None = None,
    ) -> None:
        """Make a closed ledger.

        :param retention_seconds: records may be dropped, a segment at a
            time, once they are that old by the ledger's own clock;
            ``None`` keeps all
        """
        self.path = path
        self.writes = 0
        self._port = port
        self._owner = owner
        self._merge = merge
        self._priority = priority
        self._retention = retention_seconds
        self._values: dict[str, Value] = {}
        self._changed_at: dict[str, float] = {}
        self._head: Head | None = None
        self._version = 0
        self._inline_bytes = 0
        self._clock_read_at = 0.0
        self._closings = 0
        self._batch = group_commit.Batch(0)
        self._pace = group_commit.Pace()
        self._lock = anyio.Lock()

    @property
    def is_open(self) -> bool:
        """Whether this host owned the ledger at its last write."""
        return self._head is not None

    @property
    def epoch(self) -> int:
        """Epoch of this host's ownership; 0 while it has none."""
        return self._head.epoch if self._head else 0

    def get(self, key: str) -> Value | None:
        """Return the merged value of a key."""
        return self._values.get(key)

    def values(self) -> dict[str, Value]:
        """Return a copy of all merged values by key."""
        return dict(self._values)

    async def open(self) -> result.Result[None, verdicts.Failure]:
        """Take the ledger over by raising its epoch.

        :returns: a failure if the store did not answer or others kept
            taking the ledger over at the same time
        """
        async with self._lock:
            with anyio.CancelScope(shield=True):
                return await self._open()

    async def append(
        self, records: list[Record]
    ) -> result.Result[None, verdicts.Failure]:
        """Commit records; appends that wait at the same time share a write.

        A record that the merge function ignores, which then returns the
        very value it was given, is not written.

        The records hold for the ownership under which they are appended: if
        it ends while they wait, they are not written, also if this host has
        opened the ledger again.

        :param records: records in order, committed all or none
        :returns: success once they are durable. A failure with the verdict
            ``NOT_RUN`` means that they never will be, any other that they
            may be, which the next :meth:`open` finds out.
        """
        if self._head is None:
            return result.Err(
                ownership_lost(self.path, verdicts.Verdict.NOT_RUN)
            )
        records = list(records)
        size = segments.size_of(records)
        if size > MAX_APPEND_BYTES:
            detail = f'{size} bytes, allowed are {MAX_APPEND_BYTES}'
            return result.Err(segments.full(self.path, detail, 413))
        batch = self._join(records, size)
        try:
            async with self._lock:
                if not batch.sealed:
                    await anyio.sleep(self._pace.linger_seconds)
                    batch.sealed = True
                    with anyio.CancelScope(shield=True):
                        batch.outcome = await self._commit(batch)
        finally:
            if not batch.sealed:
                batch.remove(records, size)
        return batch.outcome

    async def confirm_ownership(self) -> result.Result[None, verdicts.Failure]:
        """Check with one read that no other host has taken the ledger over.

        :returns: a failure if the store did not answer; the ledger is closed
            if it was taken over
        """
        async with self._lock:
            found = await heads.fetch(self._port, self.path, self._priority)
            if isinstance(found, result.Err):
                return result.Err(found.err_value)
            if found.ok_value[1] != self._version:
                self.close()
            return result.Ok(None)

    async def find_records(
        self, key: str
    ) -> result.Result[list[Record], verdicts.Failure]:
        """Read the records back among which is the last that changed a key.

        :returns: records of the head or of one segment, in order
        """
        while self._head is not None:
            head = self._head
            at = self._changed_at.get(key, head.clock)
            holders = [one for one in head.segments if one.clock >= at]
            if not holders:
                return result.Ok(head.records)
            found = await segments.read_segments(
                self._port, holders[:1], self._priority
            )
            if isinstance(found, result.Ok):
                return result.Ok(found.ok_value[0])
            if self._head is head:
                return result.Err(found.err_value)
        return result.Err(ownership_lost(self.path, verdicts.Verdict.NOT_RUN))

    def close(self) -> None:
        """Drop the state; the next append needs :meth:`open` first."""
        self._closings += 1
        self._head = None
        self._values = {}
        self._changed_at = {}

    def _join(self, records: list[Record], size: int) -> group_commit.Batch:
        """Add records to the batch that waits, or to a new one."""
        batch = self._batch
        fits = batch.size + size <= MAX_APPEND_BYTES
        if batch.sealed or batch.epoch != self.epoch or not fits:
            batch = self._batch = group_commit.Batch(self.epoch)
        batch.appends.append(records)
        batch.size += size
        return batch

    async def _open(self) -> result.Result[None, verdicts.Failure]:
        self.close()
        closings = self._closings
        failure = ownership_lost(self.path, verdicts.Verdict.NOT_RUN)
        for _ in range(OPEN_ATTEMPTS):
            found = await heads.fetch(self._port, self.path, self._priority)
            if isinstance(found, result.Err):
                return found
            head, version = found.ok_value
            raised = self._raise_epoch(head)
            written = await heads.replace(
                self._port, self.path, raised, version, self._priority
            )
            if isinstance(written, result.Ok):
                return await self._load(raised, written.ok_value, closings)
            failure = written.err_value
            if failure.event != events.LEDGER_LOST:
                return written
        return result.Err(failure)

    def _raise_epoch(self, head: Head) -> Head:
        removed = head.removed
        if head.records:
            # The owner until now may have written this segment without
            # having named it; its head can't change any more.
            orphan = segments.segment_key(self.path, head.commit)
            removed = [*removed, orphan][-segments.MAX_REMOVED :]
        return head._replace(
            epoch=head.epoch + 1,
            owner=self._owner,
            commit=heads.new_id(),
            removed=removed,
        )

    async def _load(
        self, head: Head, version: int, closings: int
    ) -> result.Result[None, verdicts.Failure]:
        loaded = await segments.read_segments(
            self._port, head.segments, self._priority
        )
        if isinstance(loaded, result.Err):
            return result.Err(loaded.err_value)
        if self._closings != closings:
            return result.Err(
                ownership_lost(self.path, verdicts.Verdict.NOT_RUN)
            )
        for segment, records in zip(
            head.segments, loaded.ok_value, strict=True
        ):
            self._fold(records, segment.clock)
        self._fold(head.records, head.clock)
        self._head = head
        self._version = version
        self._inline_bytes = segments.size_of(head.records)
        self._clock_read_at = anyio.current_time()
        events.log(
            events.LEDGER_OPENED,
            path=self.path,
            epoch=head.epoch,
            host=self._owner,
        )
        return result.Ok(None)

    def _fold(self, records: list[Record], clock: float) -> None:
        for record in records:
            present = self._values.get(record.key)
            value = self._merge(present, record)
            if value is not present:
                self._values[record.key] = value
                self._changed_at[record.key] = clock

    async def _commit(
        self, batch: group_commit.Batch
    ) -> result.Result[None, verdicts.Failure]:
        base = self._head
        if base is None or base.epoch != batch.epoch:
            return result.Err(
                ownership_lost(self.path, verdicts.Verdict.NOT_RUN)
            )
        records = self._effective(batch.records)
        if not records:
            return result.Ok(None)
        head = base
        if base.records and self._inline_bytes + batch.size > MAX_INLINE_BYTES:
            spilled = await segments.spill(
                self._port, self.path, base, self._retention, self._priority
            )
            if isinstance(spilled, result.Err):
                return result.Err(spilled.err_value)
            head = spilled.ok_value
        now = anyio.current_time()
        passed = max(now - self._clock_read_at, MIN_TICK_SECONDS)
        head = head._replace(
            commit=heads.new_id(),
            records=[*head.records, *records],
            clock=base.clock + passed,
        )
        written = await heads.replace(
            self._port, self.path, head, self._version, self._priority
        )
        if self._head is not base:
            # Closed meanwhile: the outcome stands, the state is gone.
            return written.map(lambda _: None)
        if isinstance(written, result.Err):
            self._drop_unless_unchanged(written.err_value)
            return written
        self._pace.saw(anyio.current_time() - now)
        self._keep(base, head, written.ok_value)
        self._inline_bytes += batch.size
        self._fold(records, head.clock)
        self._clock_read_at = now
        return result.Ok(None)

    def _effective(self, records: list[Record]) -> list[Record]:
        """Return the records that change the value of their key."""
        values: dict[str, Value | None] = {}
        kept = []
        for record in records:
            present = values.get(record.key, self._values.get(record.key))
            values[record.key] = self._merge(present, record)
            if values[record.key] is not present:
                kept.append(record)
        return kept

    def _keep(self, base: Head, head: Head, version: int) -> None:
        """Take a committed head into memory."""
        self.writes += 1
        self._head = head
        self._version = version
        if head.segments != base.segments:
            self._inline_bytes = 0
        if self._retention is not None:
            self._forget(base, head)

    def _forget(self, base: Head, head: Head) -> None:
        """Drop the values all of whose records have expired."""
        plan = compaction.plan(base.segments, base.clock, self._retention, 0)
        if not plan.expired or plan.expired[0] in head.segments:
            return
        until = plan.expired[-1].clock
        gone = [key for key, at in self._changed_at.items() if at <= until]
        for key in gone:
            del self._changed_at[key], self._values[key]

    def _drop_unless_unchanged(self, failure: verdicts.Failure) -> None:
        """Close the ledger unless the store certainly still has our head."""
        unchanged = (
            failure.verdict == verdicts.Verdict.NOT_RUN
            and failure.event != events.LEDGER_LOST
        )
        if not unchanged:
            events.log(events.LEDGER_LOST, path=self.path, host=self._owner)
            self.close()
