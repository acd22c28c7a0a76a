"""Immutable objects with the earlier records of a ledger.

A segment holds the records of an earlier head and is named after that head's
commit id. A host that replaces a head therefore knows the only segment that
the previous writer may have written without naming it in a head.
"""

import anyio
import cbor2
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import heads
from persimmonpass.policy import compaction
from persimmonpass import store
from persimmonpass import verdicts

READ_ATTEMPTS = 3
MAX_PARALLEL_READS = 8
MAX_REMOVED_KEYS = 50
# More than the average number of keys removed for each spill. The deletions
# are spread over several spills so that they do not delay a single commit.
DELETES_PER_SPILL = 2


def segment_key(path: str, commit: str) -> str:
    """Return the key of the segment that holds a head's records.

    :param path: key of the head object
    :param commit: commit id of the head
    """
    return f'{path}.segment-{commit}'


def ledger_full(path: str, detail: str, status: int) -> verdicts.Failure:
    """Return the failure of an append that exceeds a limit of the ledger.

    :param path: key of the head object
    :param detail: the limit and the value that exceeds it
    :param status: HTTP status of the answer
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.LEDGER_FULL,
        f'cannot append records to {path}: {detail}',
        status,
    )


def encode_records(records: list[heads.Record]) -> bytes:
    """Return records as CBOR."""
    return cbor2.dumps(records)


def size_of(records: list[heads.Record]) -> int:
    """Return the length of the encoded records in bytes."""
    return len(encode_records(records))


async def read_segments(
    port: store.StorePort,
    segments: list[compaction.Segment],
    priority: budget.Priority,
) -> result.Result[list[list[heads.Record]], verdicts.Failure]:
    """Read the records of segments, a few segments in parallel.

    :returns: the records of each segment, in the order of the segments
    """
    found: list[list[heads.Record]] = [[] for _ in segments]
    failures: list[verdicts.Failure] = []
    limiter = anyio.CapacityLimiter(MAX_PARALLEL_READS)

    async def fetch(index: int, key: str) -> None:
        async with limiter:
            if failures:
                return
            stored = await port.get(key, priority)
        if isinstance(stored, result.Err):
            failures.append(stored.err_value)
            return
        rows = cbor2.loads(stored.ok_value.data)
        found[index] = [heads.Record(*row) for row in rows]

    async with anyio.create_task_group() as tasks:
        for index, segment in enumerate(segments):
            tasks.start_soon(fetch, index, segment.key)
    return result.Err(failures[0]) if failures else result.Ok(found)


async def read_records(
    port: store.StorePort,
    head: heads.Head,
    priority: budget.Priority = budget.Priority.STATUS,
) -> result.Result[list[heads.Record], verdicts.Failure]:
    """Read all records of a ledger without taking it over.

    :param port: the object store
    :param head: head that names the segments
    :param priority: class of the store calls
    :returns: the records in order, or a failure with ``STORE_NOT_FOUND`` if
        the owner has merged or dropped segments since the head was read
    """
    segments = await read_segments(port, head.segments, priority)
    return segments.map(lambda found: sum(found, []) + head.records)


async def read(
    port: store.StorePort,
    path: str,
    priority: budget.Priority = budget.Priority.STATUS,
) -> result.Result[list[heads.Record], verdicts.Failure]:
    """Read a ledger's committed records without taking it over.

    :param port: the object store
    :param path: key of the head object
    :param priority: class of the store calls
    :returns: the records in order; none if the ledger does not exist
    """
    for _ in range(READ_ATTEMPTS):
        found = await port.get(path, priority)
        if isinstance(found, result.Err):
            if found.err_value.event == events.STORE_NOT_FOUND:
                return result.Ok([])
            return found
        head = heads.decode_head(found.ok_value.data)
        records = await read_records(port, head, priority)
        if isinstance(records, result.Ok):
            return records
        if records.err_value.event != events.STORE_NOT_FOUND:
            return records
    return result.Err(
        store.unavailable(
            f'{path} changed during each of {READ_ATTEMPTS} reads'
        )
    )


async def spill(
    port: store.StorePort,
    path: str,
    head: heads.Head,
    retention_seconds: float | None,
    priority: budget.Priority,
) -> result.Result[heads.Head, verdicts.Failure]:
    """Move the records of a head to a segment.

    :param port: the object store
    :param path: key of the head object
    :param head: head that is in the store
    :param retention_seconds: age from which records may be dropped; ``None``
        keeps all
    :param priority: class of the store calls
    :returns: the head that should replace the present one. A failure means
        that the ledger was not changed.
    """
    size = size_of(head.records)
    plan = compaction.plan(head.segments, head.clock, retention_seconds, size)
    if len(plan.kept) >= compaction.MAX_SEGMENTS:
        return result.Err(
            ledger_full(
                path,
                f'got {len(plan.kept)} segments, expected fewer than '
                f'{compaction.MAX_SEGMENTS}',
                503,
            )
        )
    merged = await read_segments(port, plan.merged, priority)
    if isinstance(merged, result.Err):
        return result.Err(merged.err_value)
    records = sum(merged.ok_value, []) + head.records
    written = await _write(port, path, head, records, priority)
    if isinstance(written, result.Err):
        return result.Err(written.err_value)
    to_delete = head.removed[:DELETES_PER_SPILL]
    failed = await _delete(port, to_delete, priority)
    remaining = [*failed, *head.removed[DELETES_PER_SPILL:]]
    replaced = [segment.key for segment in plan.expired + plan.merged]
    return result.Ok(
        head._replace(
            segments=[*plan.kept, written.ok_value],
            records=[],
            removed=[*remaining, *replaced][-MAX_REMOVED_KEYS:],
        )
    )


async def _write(
    port: store.StorePort,
    path: str,
    head: heads.Head,
    records: list[heads.Record],
    priority: budget.Priority,
) -> result.Result[compaction.Segment, verdicts.Failure]:
    key = segment_key(path, head.commit)
    data = encode_records(records)
    written = await port.put(key, data, store.CREATE, priority)
    if isinstance(written, result.Err):
        failure = written.err_value
        # After a conflict the segment exists from an earlier attempt. Its
        # records are the same because they follow from the head.
        if failure.event != events.STORE_CONFLICT:
            # Even if it was written, a segment has no effect until a head
            # names it.
            return result.Err(
                failure._replace(verdict=verdicts.Verdict.NOT_RUN)
            )
    return result.Ok(compaction.Segment(key, head.clock, len(data)))


async def _delete(
    port: store.StorePort, keys: list[str], priority: budget.Priority
) -> list[str]:
    """Delete objects and return the keys of those that may still exist.

    A committed head lists these keys as removed. No writer can name them
    again, not even one that no longer owns the ledger.
    """
    not_deleted: list[str] = []

    async def delete(key: str) -> None:
        deleted = await port.delete(key, None, priority)
        if isinstance(deleted, result.Err):
            not_deleted.append(key)

    async with anyio.create_task_group() as tasks:
        for key in keys:
            tasks.start_soon(delete, key)
    return not_deleted
