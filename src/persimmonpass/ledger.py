"""A durable log built on conditional updates of one head object.

The head holds an epoch, the owner, the latest records and the names of
immutable segments with earlier records. The host that raises the epoch owns
the ledger. Each write expects the version that its writer saw last, so the
next write of an earlier owner fails. No leases are used and the clocks of
hosts are never compared: the head carries its own clock, which owners advance
by the time between their writes.
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
MIN_CLOCK_STEP_SECONDS = 0.000_001

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
    """A ledger owned by this host, with the merged value of each key.

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
        """Make a ledger without opening it.

        :param port: the object store
        :param path: key of the head object
        :param owner: this host
        :param merge: returns a key's value after a record, given the value
            before it, which is ``None`` for the first record
        :param priority: class of the store calls
        :param retention_seconds: age by the ledger's own clock from which
            records may be dropped, one segment at a time; ``None`` keeps all
        """
        self.path = path
        self.writes = 0
        self._port = port
        self._owner = owner
        self._merge = merge
        self._priority = priority
        self._retention_seconds = retention_seconds
        self._values: dict[str, Value] = {}
        self._changed_at: dict[str, float] = {}
        self._head: Head | None = None
        self._version = 0
        self._inline_bytes = 0
        self._clock_read_at = 0.0
        self._close_count = 0
        self._batch = group_commit.Batch(0)
        self._linger = group_commit.LingerEstimator()
        self._lock = anyio.Lock()

    @property
    def is_open(self) -> bool:
        """Whether this host owned the ledger at its last write."""
        return self._head is not None

    @property
    def epoch(self) -> int:
        """Epoch of this host's ownership; 0 while the ledger is closed."""
        return self._head.epoch if self._head else 0

    def get(self, key: str) -> Value | None:
        """Return the merged value of a key, or ``None`` if it has none."""
        return self._values.get(key)

    def values(self) -> dict[str, Value]:
        """Return a copy of all merged values by key."""
        return dict(self._values)

    async def open(self) -> result.Result[None, verdicts.Failure]:
        """Take over the ledger by raising its epoch.

        :returns: a failure if the store did not answer, or if other hosts
            took over the ledger during each of :data:`OPEN_ATTEMPTS`
            attempts
        """
        async with self._lock:
            with anyio.CancelScope(shield=True):
                return await self._open()

    async def append(
        self, records: list[Record]
    ) -> result.Result[None, verdicts.Failure]:
        """Commit records; appends that wait at the same time share a write.

        A record is not written if it has no effect, that is, if the merge
        function returns the same object that it was given.

        The records belong to the current ownership. If it ends while they
        wait, they are not written, even if this host has opened the ledger
        again.

        :param records: records in order; either all or none are committed
        :returns: success once the records are durable. A failure with the
            verdict ``NOT_RUN`` means that they never will be. With any other
            verdict they may be; the next :meth:`open` shows whether they
            are.
        """
        if self._head is None:
            return result.Err(
                ownership_lost(self.path, verdicts.Verdict.NOT_RUN)
            )
        records = list(records)
        size = segments.size_of(records)
        if size > MAX_APPEND_BYTES:
            detail = f'got {size} bytes, at most {MAX_APPEND_BYTES} allowed'
            return result.Err(segments.ledger_full(self.path, detail, 413))
        batch = self._add_to_batch(records, size)
        try:
            async with self._lock:
                if not batch.is_sealed:
                    await anyio.sleep(self._linger.linger_seconds)
                    batch.is_sealed = True
                    with anyio.CancelScope(shield=True):
                        batch.outcome = await self._commit(batch)
        finally:
            if not batch.is_sealed:
                batch.remove(records, size)
        return batch.outcome

    async def confirm_ownership(self) -> result.Result[None, verdicts.Failure]:
        """Check with one read that no other host has taken over the ledger.

        The ledger is closed if another host has taken it over.

        :returns: a failure if the store did not answer
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
        """Read back a group of records with the last one that changed a key.

        :param key: key of the records
        :returns: all records of the head or of one segment, in order; the
            last record that changed the key is among them
        """
        while self._head is not None:
            head = self._head
            changed_at = self._changed_at.get(key, head.clock)
            candidates = [
                segment
                for segment in head.segments
                if segment.clock >= changed_at
            ]
            if not candidates:
                return result.Ok(head.records)
            found = await segments.read_segments(
                self._port, candidates[:1], self._priority
            )
            if isinstance(found, result.Ok):
                return result.Ok(found.ok_value[0])
            if self._head is head:
                return result.Err(found.err_value)
        return result.Err(ownership_lost(self.path, verdicts.Verdict.NOT_RUN))

    def close(self) -> None:
        """Discard the state; call :meth:`open` before the next append."""
        self._close_count += 1
        self._head = None
        self._values = {}
        self._changed_at = {}

    def _add_to_batch(
        self, records: list[Record], size: int
    ) -> group_commit.Batch:
        """Add records to the waiting batch, or to a new one."""
        batch = self._batch
        fits = batch.size + size <= MAX_APPEND_BYTES
        if batch.is_sealed or batch.epoch != self.epoch or not fits:
            batch = self._batch = group_commit.Batch(self.epoch)
        batch.appends.append(records)
        batch.size += size
        return batch

    async def _open(self) -> result.Result[None, verdicts.Failure]:
        self.close()
        close_count = self._close_count
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
                return await self._load(raised, written.ok_value, close_count)
            failure = written.err_value
            if failure.event != events.LEDGER_LOST:
                return written
        return result.Err(failure)

    def _raise_epoch(self, head: Head) -> Head:
        removed = head.removed
        if head.records:
            # The previous owner may have written this segment without
            # naming it in a head. Its head cannot change any more.
            orphan = segments.segment_key(self.path, head.commit)
            removed = [*removed, orphan][-segments.MAX_REMOVED_KEYS :]
        return head._replace(
            epoch=head.epoch + 1,
            owner=self._owner,
            commit=heads.new_commit_id(),
            removed=removed,
        )

    async def _load(
        self, head: Head, version: int, close_count: int
    ) -> result.Result[None, verdicts.Failure]:
        loaded = await segments.read_segments(
            self._port, head.segments, self._priority
        )
        if isinstance(loaded, result.Err):
            return result.Err(loaded.err_value)
        if self._close_count != close_count:
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
            current = self._values.get(record.key)
            value = self._merge(current, record)
            if value is not current:
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
        records = self._select_effective(batch.records)
        if not records:
            return result.Ok(None)
        head = base
        if base.records and self._inline_bytes + batch.size > MAX_INLINE_BYTES:
            spilled = await segments.spill(
                self._port,
                self.path,
                base,
                self._retention_seconds,
                self._priority,
            )
            if isinstance(spilled, result.Err):
                return result.Err(spilled.err_value)
            head = spilled.ok_value
        now = anyio.current_time()
        elapsed_seconds = max(
            now - self._clock_read_at, MIN_CLOCK_STEP_SECONDS
        )
        head = head._replace(
            commit=heads.new_commit_id(),
            records=[*head.records, *records],
            clock=base.clock + elapsed_seconds,
        )
        written = await heads.replace(
            self._port, self.path, head, self._version, self._priority
        )
        if self._head is not base:
            # The ledger was closed during the write. The outcome still
            # counts, but the state has been discarded.
            return written.map(lambda _: None)
        if isinstance(written, result.Err):
            self._close_unless_unchanged(written.err_value)
            return written
        self._linger.record_write(anyio.current_time() - now)
        self._apply_commit(base, head, written.ok_value)
        self._inline_bytes += batch.size
        self._fold(records, head.clock)
        self._clock_read_at = now
        return result.Ok(None)

    def _select_effective(self, records: list[Record]) -> list[Record]:
        """Return the records that change the value of their key.

        :param records: records in order
        """
        values: dict[str, Value | None] = {}
        kept = []
        for record in records:
            current = values.get(record.key, self._values.get(record.key))
            values[record.key] = self._merge(current, record)
            if values[record.key] is not current:
                kept.append(record)
        return kept

    def _apply_commit(self, base: Head, head: Head, version: int) -> None:
        """Make a committed head the current one in memory."""
        self.writes += 1
        self._head = head
        self._version = version
        if head.segments != base.segments:
            self._inline_bytes = 0
        if self._retention_seconds is not None:
            self._drop_expired_values(base, head)

    def _drop_expired_values(self, base: Head, head: Head) -> None:
        """Drop values whose last change is in an expired segment."""
        plan = compaction.plan(
            base.segments, base.clock, self._retention_seconds, 0
        )
        if not plan.expired or plan.expired[0] in head.segments:
            return
        last_expired_at = plan.expired[-1].clock
        expired_keys = [
            key
            for key, changed_at in self._changed_at.items()
            if changed_at <= last_expired_at
        ]
        for key in expired_keys:
            del self._changed_at[key], self._values[key]

    def _close_unless_unchanged(self, failure: verdicts.Failure) -> None:
        """Close the ledger unless the failed write certainly had no effect."""
        is_unchanged = (
            failure.verdict == verdicts.Verdict.NOT_RUN
            and failure.event != events.LEDGER_LOST
        )
        if not is_unchanged:
            events.log(events.LEDGER_LOST, path=self.path, host=self._owner)
            self.close()
