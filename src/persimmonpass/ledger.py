"""A durable log over conditional updates of one head object.

The head holds an epoch, its owner, the latest records and the names of
immutable segments with earlier records. Whoever raises the epoch owns the
ledger; the next write of an earlier owner fails, because each write expects
the version that its writer saw last. No clock and no lease takes part.
"""

import collections.abc
import typing
import uuid

import anyio
import cbor2
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import store
from persimmonpass import verdicts

MAX_INLINE_BYTES = 256_000
MAX_RECORD_BYTES = 900_000
SETTLE_ATTEMPTS = 5
SETTLE_BACKOFF_SECONDS = 0.1
OPEN_ATTEMPTS = 5


class Record(typing.NamedTuple):
    """One entry of a ledger.

    :ivar key: what the record is about
    :ivar kind: what happened to it
    :ivar body: anything that CBOR can hold
    """

    key: str
    kind: str
    body: typing.Any


class Head(typing.NamedTuple):
    """Contents of the head object.

    :ivar epoch: number of take-overs so far
    :ivar owner: host that raised the epoch last
    :ivar commit: id of the write that made this head
    :ivar segments: keys of the immutable segments, oldest first
    :ivar records: records after those of the segments
    """

    epoch: int
    owner: str
    commit: str
    segments: list[str]
    records: list[Record]


Value = typing.TypeVar('Value')
Merge = collections.abc.Callable[[Value | None, Record], Value]


class _Batch:
    """Records that one write commits together."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.outcome: result.Result[None, verdicts.Failure] | None = None


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return cbor2.dumps(
        [head.epoch, head.owner, head.commit, head.segments, head.records]
    )


def decode_head(data: bytes) -> Head:
    """Read the stored form of a head."""
    epoch, owner, commit, segments, records = cbor2.loads(data)
    return Head(
        epoch, owner, commit, segments, [Record(*record) for record in records]
    )


def lost(path: str, verdict: verdicts.Verdict) -> verdicts.Failure:
    """Return the failure of an append by a host that lost the ledger."""
    return verdicts.Failure(
        verdict,
        events.LEDGER_LOST,
        f'another host owns {path}',
        503,
        store.RETRY_AFTER_SECONDS,
    )


class Ledger(typing.Generic[Value]):
    """A ledger that this host owns, folded into a value for each key.

    :ivar path: key of the head object
    """

    def __init__(
        self,
        port: store.StorePort,
        path: str,
        owner: str,
        merge: Merge[Value],
        priority: budget.Priority = budget.Priority.RESULT,
    ) -> None:
        self.path = path
        self._port = port
        self._owner = owner
        self._merge = merge
        self._priority = priority
        self._values: dict[str, Value] = {}
        self._head: Head | None = None
        self._version = 0
        self._batch = _Batch()
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

        :param records: records in order
        :returns: success once they are durable. A failure with the verdict
            ``NOT_RUN`` means that they never will be, any other that they
            may be, which the next :meth:`open` finds out.
        """
        batch = self._batch
        batch.records += records
        async with self._lock:
            if batch.outcome is None:
                self._batch = _Batch()
                with anyio.CancelScope(shield=True):
                    batch.outcome = await self._commit(batch.records)
        return batch.outcome

    def close(self) -> None:
        """Drop the state; the next append needs :meth:`open` first."""
        self._head = None
        self._values = {}

    async def _open(self) -> result.Result[None, verdicts.Failure]:
        self.close()
        failure = lost(self.path, verdicts.Verdict.NOT_RUN)
        for _ in range(OPEN_ATTEMPTS):
            found = await self._read()
            if isinstance(found, result.Err):
                return found
            head, version = found.ok_value
            raised = head._replace(
                epoch=head.epoch + 1, owner=self._owner, commit=_new_id()
            )
            written = await self._write(raised, version)
            if isinstance(written, result.Err):
                failure = written.err_value
                if failure.event == events.LEDGER_LOST:
                    continue
                return written
            return await self._load(raised, written.ok_value)
        return result.Err(failure)

    async def _read(
        self,
    ) -> result.Result[tuple[Head, int], verdicts.Failure]:
        found = await self._port.get(self.path, self._priority)
        if isinstance(found, result.Ok):
            stored = found.ok_value
            return result.Ok((decode_head(stored.data), stored.version))
        if found.err_value.event == events.STORE_NOT_FOUND:
            return result.Ok((Head(0, '', '', [], []), store.CREATE))
        return found

    async def _load(
        self, head: Head, version: int
    ) -> result.Result[None, verdicts.Failure]:
        loaded = await read_records(self._port, head, self._priority)
        if isinstance(loaded, result.Err):
            return loaded
        for record in loaded.ok_value:
            self._fold(record)
        self._head = head
        self._version = version
        events.log(
            events.LEDGER_OPENED,
            path=self.path,
            epoch=head.epoch,
            host=self._owner,
        )
        return result.Ok(None)

    def _fold(self, record: Record) -> None:
        value = self._merge(self._values.get(record.key), record)
        self._values[record.key] = value

    async def _commit(
        self, records: list[Record]
    ) -> result.Result[None, verdicts.Failure]:
        if self._head is None:
            return result.Err(lost(self.path, verdicts.Verdict.NOT_RUN))
        spilled = await self._spill(self._head)
        if isinstance(spilled, result.Err):
            return spilled
        head = spilled.ok_value
        head = head._replace(
            commit=_new_id(), records=[*head.records, *records]
        )
        written = await self._write(head, self._version)
        if isinstance(written, result.Err):
            self._drop_unless_unchanged(written.err_value)
            return written
        self._head = head
        self._version = written.ok_value
        for record in records:
            self._fold(record)
        return result.Ok(None)

    def _drop_unless_unchanged(self, failure: verdicts.Failure) -> None:
        """Close the ledger unless the store certainly still has our head."""
        unchanged = (
            failure.verdict == verdicts.Verdict.NOT_RUN
            and failure.event != events.LEDGER_LOST
        )
        if not unchanged:
            events.log(events.LEDGER_LOST, path=self.path, host=self._owner)
            self.close()

    async def _spill(
        self, head: Head
    ) -> result.Result[Head, verdicts.Failure]:
        """Move the head's records to a segment once they are many."""
        data = cbor2.dumps(head.records)
        if len(data) <= MAX_INLINE_BYTES:
            return result.Ok(head)
        key = f'{self.path}.segment-{_new_id()}'
        written = await self._port.put(key, data, store.CREATE, self._priority)
        if isinstance(written, result.Err):
            # A segment that no head names has no effect.
            failure = written.err_value
            return result.Err(
                failure._replace(verdict=verdicts.Verdict.NOT_RUN)
            )
        return result.Ok(
            head._replace(segments=[*head.segments, key], records=[])
        )

    async def _write(
        self, head: Head, version: int
    ) -> result.Result[int, verdicts.Failure]:
        """Write a head; a lost answer is settled by writing it again.

        Repeating the same conditional write is safe: at most one of them
        takes effect, and the commit id tells whether one did.
        """
        data = encode_head(head)
        unknown = None
        for attempt in range(SETTLE_ATTEMPTS):
            written = await self._port.put(
                self.path, data, version, self._priority
            )
            if isinstance(written, result.Ok):
                return written
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                return await self._settle(head, unknown)
            if failure.verdict != verdicts.Verdict.NOT_RUN:
                unknown = failure
            elif unknown is None:
                return written
            await anyio.sleep(SETTLE_BACKOFF_SECONDS * 2**attempt)
        return result.Err(unknown or failure)

    async def _settle(
        self, head: Head, unknown: verdicts.Failure | None
    ) -> result.Result[int, verdicts.Failure]:
        """Decide after a conflict whether an earlier try took effect."""
        if unknown is None:
            return result.Err(lost(self.path, verdicts.Verdict.NOT_RUN))
        found = await self._read()
        if isinstance(found, result.Err):
            return result.Err(unknown)
        present, version = found.ok_value
        if present.commit == head.commit:
            return result.Ok(version)
        return result.Err(lost(self.path, verdicts.Verdict.MAY_HAVE_RUN))


async def read_records(
    port: store.StorePort,
    head: Head,
    priority: budget.Priority = budget.Priority.STATUS,
) -> result.Result[list[Record], verdicts.Failure]:
    """Read all records of a ledger without owning it.

    :param port: the object store
    :param head: head that names the segments
    :param priority: class of the store calls
    """
    records: list[Record] = []
    for key in head.segments:
        found = await port.get(key, priority)
        if isinstance(found, result.Err):
            return found
        segment = cbor2.loads(found.ok_value.data)
        records += [Record(*record) for record in segment]
    return result.Ok(records + head.records)


async def read(
    port: store.StorePort,
    path: str,
    priority: budget.Priority = budget.Priority.STATUS,
) -> result.Result[list[Record], verdicts.Failure]:
    """Read a ledger's committed records without taking it over.

    :param port: the object store
    :param path: key of the head object
    :param priority: class of the store calls
    """
    found = await port.get(path, priority)
    if isinstance(found, result.Err):
        if found.err_value.event == events.STORE_NOT_FOUND:
            return result.Ok([])
        return found
    return await read_records(port, decode_head(found.ok_value.data), priority)


def _new_id() -> str:
    return uuid.uuid4().hex
