"""Stores the items of a batch job and accepts the job."""

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
PART_GROWTH_FACTOR = 4
MAX_PART_ITEMS = 2_000
MAX_ITEM_BYTES = 64_000
WRITE_ATTEMPTS = 4
ID_HASH_BYTES = 8
ID_HASH_BUCKETS = 256


class _DuplicateFinder:
    """Finds duplicate ids, with 12 bytes of memory for each item.

    A set of all ids would need ten times as much memory. The hashes of the
    ids are kept in flat arrays by their first byte. Each array is checked
    once, at the end.
    """

    def __init__(self) -> None:
        self._hashes = [array.array('Q') for _ in range(ID_HASH_BUCKETS)]
        self._lines = [array.array('I') for _ in range(ID_HASH_BUCKETS)]

    def add(self, item_id: str, line: int) -> None:
        """Add the id of a line.

        :param line: number of the line, from 1
        """
        digest = hashlib.blake2b(item_id.encode(), digest_size=ID_HASH_BYTES)
        id_hash = int.from_bytes(digest.digest(), 'little')
        bucket = id_hash % ID_HASH_BUCKETS
        self._hashes[bucket].append(id_hash)
        self._lines[bucket].append(line)

    def find_duplicate(self) -> int | None:
        """Return the first line that repeats an id, or ``None``."""
        duplicate_lines = []
        for hashes, lines in zip(self._hashes, self._lines, strict=True):
            if len(set(hashes)) == len(hashes):
                continue
            seen: set[int] = set()
            for id_hash, line in zip(hashes, lines, strict=True):
                if id_hash in seen:
                    duplicate_lines.append(line)
                seen.add(id_hash)
        return min(duplicate_lines, default=None)


class _Packer:
    """Groups items into parts and stores each part that is full.

    :ivar parts: the parts stored so far
    """

    def __init__(self, port: store.StorePort, key: jobs.JobKey) -> None:
        self.parts: list[jobs.Part] = []
        self._port = port
        self._key = key
        self._items: list[jobs.Item] = []
        self._size = 0
        self._max_items = FIRST_PART_ITEMS

    async def add(
        self, item: jobs.Item, size: int
    ) -> result.Result[None, verdicts.Failure]:
        """Add an item; store the part first or afterwards if it is full.

        :param size: size of the item in bytes
        """
        if self._items and self._size + size > MAX_PART_BYTES:
            stored = await self.flush()
            if isinstance(stored, result.Err):
                return stored
        self._items.append(item)
        self._size += size
        if len(self._items) < self._max_items:
            return result.Ok(None)
        # The first parts are small, so that a small job is spread over many
        # hosts.
        self._max_items = min(
            self._max_items * PART_GROWTH_FACTOR, MAX_PART_ITEMS
        )
        return await self.flush()

    async def flush(self) -> result.Result[None, verdicts.Failure]:
        """Store the items that are not in a stored part yet as a new part.

        The key contains the digest of the bytes, so a conflict means that
        the same items are stored already.
        """
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

    :param port: the object store
    :param key: account and name of the job
    :param service: name of the service that runs the items
    :param due_seconds: time after acceptance by which it should be done
    :param lines: items as lines of JSON
    :returns: the job. If the same job was submitted before, that job is
        returned. A failure with the verdict ``MAY_HAVE_RUN`` means that the
        job may have been accepted.
    """
    digest = hashlib.sha256(f'{service}\n'.encode())
    duplicates = _DuplicateFinder()
    packer = _Packer(port, key)
    number = 0
    async for line in lines:
        number += 1
        parsed = _parse_item(line, number)
        if isinstance(parsed, result.Err):
            return parsed
        item = parsed.ok_value
        duplicates.add(item.id, number)
        digest.update(line.strip() + b'\n')
        added = await packer.add(item, len(line))
        if isinstance(added, result.Err):
            return added
    duplicate_line = duplicates.find_duplicate()
    if duplicate_line is not None:
        field = f'line {duplicate_line}.id'
        return result.Err(verdicts.invalid(field, 'repeats an earlier id'))
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

    A write whose answer was lost is repeated. At most one attempt takes
    effect, and the digest shows whether the stored head belongs to this job.
    """
    data = jobs.encode(job)
    if len(data) > MAX_HEAD_BYTES:
        message = (
            f'the job is too large: its head has {len(data)} bytes, at most '
            f'{MAX_HEAD_BYTES} allowed; split it into several jobs'
        )
        return result.Err(verdicts.invalid('items', message, 413))
    unknown_outcome: verdicts.Failure | None = None
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
            return await _resolve_existing(port, job, unknown_outcome)
        if failure.verdict != verdicts.Verdict.NOT_RUN:
            unknown_outcome = failure
        elif unknown_outcome is None:
            return written
    return result.Err(unknown_outcome or failure)


async def _resolve_existing(
    port: store.StorePort,
    job: jobs.Job,
    unknown_outcome: verdicts.Failure | None,
) -> result.Result[jobs.Job, verdicts.Failure]:
    """Return the stored job if it equals the submitted one.

    :param unknown_outcome: failure of an earlier write whose outcome is
        unknown, or ``None``
    :returns: a failure with ``JOB_CONFLICT`` if the jobs differ
    """
    found = await jobs.read_head(port, job.key)
    if isinstance(found, result.Err):
        return result.Err(unknown_outcome or found.err_value)
    if found.ok_value.digest == job.digest:
        return found
    return result.Err(
        verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.JOB_CONFLICT,
            f'job {job.job!r} exists with other items or another service',
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
            verdicts.invalid(
                field,
                f'got {len(line)} bytes, at most {MAX_ITEM_BYTES} allowed',
            )
        )
    try:
        return result.Ok(msgspec.json.decode(line, type=jobs.Item))
    except msgspec.MsgspecError as error:
        return result.Err(verdicts.invalid(field, str(error)))
