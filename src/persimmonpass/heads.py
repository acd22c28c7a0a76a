"""Reads and conditional updates of a ledger's head object."""

import typing
import uuid

import anyio
import cbor2
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass.policy import compaction
from persimmonpass import store
from persimmonpass import verdicts

WRITE_ATTEMPTS = 5
WRITE_BACKOFF_SECONDS = 0.1


class Record(typing.NamedTuple):
    """A record of a ledger.

    :ivar key: identifies the subject of the record
    :ivar kind: type of the change to the subject
    :ivar body: any value that can be encoded in CBOR
    """

    key: str
    kind: str
    body: typing.Any


class Head(typing.NamedTuple):
    """Contents of the head object.

    :ivar epoch: number of take-overs so far
    :ivar owner: host that raised the epoch last
    :ivar commit: id of the write that made this head
    :ivar segments: the immutable segments, oldest first
    :ivar records: records that are newer than those in the segments
    :ivar clock: time in seconds that owners have counted so far. Time without
        an owner is not counted, so records are at least as old as their age
        by this clock.
    :ivar removed: keys of objects to delete, which no head will name again
    """

    epoch: int
    owner: str
    commit: str
    segments: list[compaction.Segment]
    records: list[Record]
    clock: float = 0.0
    removed: list[str] = []


EMPTY = Head(0, '', '', [], [])


def encode_head(head: Head) -> bytes:
    """Return a head as CBOR."""
    return cbor2.dumps(list(head))


def decode_head(data: bytes) -> Head:
    """Return the head that CBOR data encodes."""
    head = Head(*cbor2.loads(data))
    return head._replace(
        segments=[compaction.Segment(*segment) for segment in head.segments],
        records=[Record(*record) for record in head.records],
    )


def ownership_lost(path: str, verdict: verdicts.Verdict) -> verdicts.Failure:
    """Return the failure of a call by a host that no longer owns a ledger.

    :param path: key of the head object
    :param verdict: whether the call may have taken effect
    """
    return verdicts.Failure(
        verdict,
        events.LEDGER_LOST,
        f'another host owns {path}',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def new_commit_id() -> str:
    """Return a new unique commit id."""
    return uuid.uuid4().hex


async def fetch(
    port: store.StorePort, path: str, priority: budget.Priority
) -> result.Result[tuple[Head, int], verdicts.Failure]:
    """Read a head and its version; the head is ``EMPTY`` if it is missing."""
    found = await port.get(path, priority)
    if isinstance(found, result.Ok):
        stored = found.ok_value
        return result.Ok((decode_head(stored.data), stored.version))
    if found.err_value.event == events.STORE_NOT_FOUND:
        return result.Ok((EMPTY, store.CREATE))
    return found


async def replace(
    port: store.StorePort,
    path: str,
    head: Head,
    version: int,
    priority: budget.Priority,
) -> result.Result[int, verdicts.Failure]:
    """Write a head; if the answer is lost, repeat the write.

    Repeating the same conditional write is safe: at most one attempt takes
    effect, and the commit id shows whether one did.

    :param port: the object store
    :param path: key of the head object
    :param head: the new head
    :param version: version of the head to replace
    :param priority: class of the store calls
    :returns: the new version, or a failure whose verdict is ``NOT_RUN`` only
        if the head will never take effect
    """
    data = encode_head(head)
    unknown_outcome = None
    for attempt in range(WRITE_ATTEMPTS):
        written = await port.put(path, data, version, priority)
        if isinstance(written, result.Ok):
            return written
        failure = written.err_value
        if failure.event == events.STORE_CONFLICT:
            if unknown_outcome is None:
                return result.Err(
                    ownership_lost(path, verdicts.Verdict.NOT_RUN)
                )
            return await _resolve_conflict(
                port, path, head, priority, unknown_outcome
            )
        if failure.verdict != verdicts.Verdict.NOT_RUN:
            unknown_outcome = failure
        elif unknown_outcome is None:
            return written
        await anyio.sleep(WRITE_BACKOFF_SECONDS * 2**attempt)
    return result.Err(unknown_outcome or failure)


async def _resolve_conflict(
    port: store.StorePort,
    path: str,
    head: Head,
    priority: budget.Priority,
    unknown_outcome: verdicts.Failure,
) -> result.Result[int, verdicts.Failure]:
    """Find out after a conflict whether an earlier attempt took effect.

    :param unknown_outcome: failure of the earlier attempt
    """
    found = await fetch(port, path, priority)
    if isinstance(found, result.Err):
        return result.Err(unknown_outcome)
    current, version = found.ok_value
    if current.commit == head.commit:
        return result.Ok(version)
    return result.Err(ownership_lost(path, verdicts.Verdict.MAY_HAVE_RUN))
