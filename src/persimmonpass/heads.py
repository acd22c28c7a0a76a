"""The head object of a ledger and its conditional update."""

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

SETTLE_ATTEMPTS = 5
SETTLE_BACKOFF_SECONDS = 0.1


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
    :ivar segments: the immutable segments, oldest first
    :ivar records: records after those of the segments
    :ivar clock: seconds that owners have counted so far; time without an
        owner is left out, so that a record is at least as old as it says
    :ivar removed: keys that no head will name again, to be deleted
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
    """Return the stored form of a head."""
    return cbor2.dumps(list(head))


def decode_head(data: bytes) -> Head:
    """Read the stored form of a head."""
    head = Head(*cbor2.loads(data))
    return head._replace(
        segments=[compaction.Segment(*segment) for segment in head.segments],
        records=[Record(*record) for record in head.records],
    )


def ownership_lost(path: str, verdict: verdicts.Verdict) -> verdicts.Failure:
    """Return the failure of an append by a host that lost the ledger."""
    return verdicts.Failure(
        verdict,
        events.LEDGER_LOST,
        f'another host owns {path}',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def new_id() -> str:
    """Return a commit id."""
    return uuid.uuid4().hex


async def fetch(
    port: store.StorePort, path: str, priority: budget.Priority
) -> result.Result[tuple[Head, int], verdicts.Failure]:
    """Read a head and its version; a missing one is ``EMPTY``."""
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
    """Write a head; a lost answer is settled by writing it again.

    Repeating the same conditional write is safe: at most one of them takes
    effect, and the commit id tells whether one did.

    :param version: version of the head that is replaced
    :returns: the new version, or a failure whose verdict is ``NOT_RUN`` only
        if the head never takes effect
    """
    data = encode_head(head)
    unknown = None
    for attempt in range(SETTLE_ATTEMPTS):
        written = await port.put(path, data, version, priority)
        if isinstance(written, result.Ok):
            return written
        failure = written.err_value
        if failure.event == events.STORE_CONFLICT:
            if unknown is None:
                return result.Err(
                    ownership_lost(path, verdicts.Verdict.NOT_RUN)
                )
            return await _settle(port, path, head, priority, unknown)
        if failure.verdict != verdicts.Verdict.NOT_RUN:
            unknown = failure
        elif unknown is None:
            return written
        await anyio.sleep(SETTLE_BACKOFF_SECONDS * 2**attempt)
    return result.Err(unknown or failure)


async def _settle(
    port: store.StorePort,
    path: str,
    head: Head,
    priority: budget.Priority,
    unknown: verdicts.Failure,
) -> result.Result[int, verdicts.Failure]:
    """Decide after a conflict whether an earlier try took effect."""
    found = await fetch(port, path, priority)
    if isinstance(found, result.Err):
        return result.Err(unknown)
    present, version = found.ok_value
    if present.commit == head.commit:
        return result.Ok(version)
    return result.Err(ownership_lost(path, verdicts.Verdict.MAY_HAVE_RUN))
