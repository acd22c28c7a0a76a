"""Takes the items of a batch job and accepts the job."""

import array
import collections.abc
import hashlib

import msgspec
import result

from persimmonpass import events
from persimmonpass import jobs
from persimmonpass import store
from persimmonpass import verdicts

MAX_PART_BYTES = 512_000
MAX_HEAD_BYTES = 900_000
FIRST_PART_ITEMS = 16
PART_GROWTH = 4
MAX_PART_ITEMS = 2_000
MAX_ITEM_BYTES = 64_000
WRITE_ATTEMPTS = 4
MARK_BYTES = 8
MARK_BUCKETS = 256


class _Marks:
    """Finds ids that are there twice, in 12 bytes an item.

    A set of all ids would take ten times as much. The hashes of the ids are
    kept in flat arrays by their first byte, and each array is checked once
    at the end.
    """

    def __init__(self) -> None:
        self._marks = [array.array('Q') for _ in range(MARK_BUCKETS)]
        self._lines = [array.array('I') for _ in range(MARK_BUCKETS)]

    def add(self, item_id: str, line: int) -> None:
        """Note the id of a line."""
        digest = hashlib.blake2b(item_id.encode(), digest_size=MARK_BYTES)
        mark = int.from_bytes(digest.digest(), 'little')
        bucket = mark % MARK_BUCKETS
        self._marks[bucket].append(mark)
        self._lines[bucket].append(line)

    def find_repeated(self) -> int | None:
        """Return the first line with an id of an earlier line."""
        repeated = []
        for marks, lines in zip(self._marks, self._lines, strict=True):
            if len(set(marks)) == len(marks):
                continue
            seen: set[int] = set()
            for mark, line in zip(marks, lines, strict=True):
                if mark in seen:
                    repeated.append(line)
                seen.add(mark)
        return min(repeated, default=None)


class _Packer:
    """Packs items into parts and stores each part that is full."""

    def __init__(self, port: store.StorePort, key: jobs.JobKey) -> None:
        self.parts: list[jobs.Part] = []
        self._port = port
        self._key = key
        self._items: list[jobs.Item] = []
        self._size = 0
        self._limit = FIRST_PART_ITEMS

    async def add(
        self, item: jobs.Item, size: int
    ) -> result.Result[None, verdicts.Failure]:
        """Add an item of a size in bytes."""
        if self._items and self._size + size > MAX_PART_BYTES:
            stored = await self.flush()
            if isinstance(stored, result.Err):
                return stored
        self._items.append(item)
        self._size += size
        if len(self._items) < self._limit:
            return result.Ok(None)
        # Small parts first spread a small job over many hosts.
        self._limit = min(self._limit * PART_GROWTH, MAX_PART_ITEMS)
        return await self.flush()

    async def flush(self) -> result.Result[None, verdicts.Failure]:
        """Store what was added under the digest of its bytes."""
        if not self._items:
            return result.Ok(None)
        data = jobs.encode_items(self._items)
        digest = hashlib.blake2b(data, digest_size=16).digest()
        path = jobs.items_key(self._key, digest)
        for _ in range(WRITE_ATTEMPTS):
            written = await self._port.put(path, data, store.CREATE)
            if isinstance(written, result.Ok):
                break
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                break
        else:
            return result.Err(
                failure._replace(verdict=verdicts.Verdict.NOT_RUN)
            )
        self.parts.append(jobs.Part(digest, len(self._items)))
        self._items, self._size = [], 0
        return result.Ok(None)


async def submit(
    port: store.StorePort,
    key: jobs.JobKey,
    service: str,
    due_seconds: float,
    lines: collections.abc.AsyncIterator[bytes],
) -> result.Result[jobs.Job, verdicts.Failure]:
    """Store a job's items, then its head, which accepts the job.

    :param lines: items as lines of JSON
    :returns: the job, the same one if it was submitted before. A failure
        with the verdict ``MAY_HAVE_RUN`` means that the job may be accepted.
    """
    digest = hashlib.sha256(f'{service}\n'.encode())
    marks = _Marks()
    packer = _Packer(port, key)
    number = 0
    async for line in lines:
        number += 1
        parsed = _parse_item(line, number)
        if isinstance(parsed, result.Err):
            return parsed
        item = parsed.ok_value
        marks.add(item.id, number)
        digest.update(line.strip() + b'\n')
        added = await packer.add(item, len(line))
        if isinstance(added, result.Err):
            return added
    repeated = marks.find_repeated()
    if repeated is not None:
        field = f'line {repeated}.id'
        return result.Err(verdicts.invalid(field, 'is there twice'))
    if not number:
        return result.Err(verdicts.invalid('items', 'the job has no items'))
    flushed = await packer.flush()
    if isinstance(flushed, result.Err):
        return flushed
    job = jobs.Job(
        *key, service, digest.hexdigest(), due_seconds, packer.parts
    )
    return await _accept(port, job)


async def _accept(
    port: store.StorePort, job: jobs.Job
) -> result.Result[jobs.Job, verdicts.Failure]:
    """Write the head unless the job exists.

    A write whose answer was lost is repeated: at most one takes effect, and
    the digest tells whether the head that is there is this job's.
    """
    data = jobs.encode(job)
    if len(data) > MAX_HEAD_BYTES:
        message = 'too many bytes for one job, split it'
        return result.Err(verdicts.invalid('items', message, 413))
    unknown: verdicts.Failure | None = None
    for _ in range(WRITE_ATTEMPTS):
        written = await port.put(jobs.head_key(job.key), data, store.CREATE)
        if isinstance(written, result.Ok):
            events.log(
                events.JOB_ACCEPTED,
                account=job.account,
                job=job.job,
                items=job.items,
            )
            return result.Ok(job._replace(version=written.ok_value))
        failure = written.err_value
        if failure.event == events.STORE_CONFLICT:
            return await _compare(port, job, unknown)
        if failure.verdict != verdicts.Verdict.NOT_RUN:
            unknown = failure
        elif unknown is None:
            return written
    return result.Err(unknown or failure)


async def _compare(
    port: store.StorePort, job: jobs.Job, unknown: verdicts.Failure | None
) -> result.Result[jobs.Job, verdicts.Failure]:
    """Answer a submission whose job exists."""
    found = await jobs.read_head(port, job.key)
    if isinstance(found, result.Err):
        return result.Err(unknown or found.err_value)
    if found.ok_value.digest == job.digest:
        return found
    return result.Err(
        verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.JOB_CONFLICT,
            f'job {job.job!r} exists with other items',
            409,
            None,
            'job',
        )
    )


def _parse_item(
    line: bytes, number: int
) -> result.Result[jobs.Item, verdicts.Failure]:
    field = f'line {number}'
    if len(line) > MAX_ITEM_BYTES:
        return result.Err(
            verdicts.invalid(field, f'longer than {MAX_ITEM_BYTES} bytes')
        )
    try:
        return result.Ok(msgspec.json.decode(line, type=jobs.Item))
    except msgspec.MsgspecError as error:
        return result.Err(verdicts.invalid(field, str(error)))
