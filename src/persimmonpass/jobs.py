"""Batch jobs as the store keeps them.

A job is one head object. Its items lie in immutable parts, and the results
of each part in a ledger of its own.
"""

import collections.abc
import hashlib
import typing

import cbor2
import msgspec
import result

from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import store
from persimmonpass import verdicts

PREFIX = 'jobs/'
RESULT_PREFIX = 'results/'
MAX_PART_BYTES = 512_000
FIRST_PART_ITEMS = 16
MAX_PART_ITEMS = 2_000
MAX_ITEM_BYTES = 64_000

ACCEPTED = 'accepted'
CANCELLED = 'cancelled'

ITEM_DONE = 'done'
ITEM_FAILED = 'failed'

ItemId = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Item(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One item of a job.

    :ivar id: unique in its job
    """

    id: ItemId
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = 64


class JobKey(typing.NamedTuple):
    """Identifies a job."""

    account: str
    job: str


class Part(typing.NamedTuple):
    """A chunk of a job's items.

    :ivar key: the store's key of the items
    :ivar items: number of items
    """

    key: str
    items: int


class Job(typing.NamedTuple):
    """Head object of a job.

    :ivar digest: digest of all items
    :ivar due_seconds: when it should be done, counted from its acceptance
    :ivar state: ``ACCEPTED`` or ``CANCELLED``
    :ivar version: the store's version of the head
    """

    account: str
    job: str
    service: str
    digest: str
    due_seconds: float
    parts: list[Part]
    state: str = ACCEPTED
    version: int = 0

    @property
    def key(self) -> JobKey:
        """Account and name."""
        return JobKey(self.account, self.job)

    @property
    def items(self) -> int:
        """Number of items."""
        return sum(part.items for part in self.parts)


class ItemResult(typing.NamedTuple):
    """Final result of an item.

    :ivar status: ``ITEM_DONE`` or ``ITEM_FAILED``
    :ivar text: the text, or why the item failed
    """

    status: str
    text: str
    attempts: int


def head_key(key: JobKey) -> str:
    """Return the store's key of a job's head."""
    return f'{PREFIX}{key.account}/{key.job}'


def ledger_key(key: JobKey, part: int) -> str:
    """Return the store's key of the ledger with a part's results."""
    return f'{RESULT_PREFIX}{key.account}/{key.job}/{part:06d}'


def encode(job: Job) -> bytes:
    """Return the stored form of a job's head."""
    return cbor2.dumps(list(job._replace(version=0)))


def decode(stored: store.Stored) -> Job:
    """Read the stored form of a job's head."""
    job = Job(*cbor2.loads(stored.data))
    parts = [Part(*part) for part in job.parts]
    return job._replace(parts=parts, version=stored.version)


def encode_items(items: list[Item]) -> bytes:
    """Return the stored form of a part."""
    return cbor2.dumps(
        [[item.id, item.prompt, item.max_tokens] for item in items]
    )


def decode_items(data: bytes) -> list[Item]:
    """Read the stored form of a part."""
    return [Item(*row) for row in cbor2.loads(data)]


def merge(value: ItemResult | None, record: ledger.Record) -> ItemResult:
    """Fold a record into an item's result; the first result wins."""
    return value if value is not None else ItemResult(*record.body)


async def submit(
    port: store.StorePort,
    key: JobKey,
    service: str,
    due_seconds: float,
    lines: collections.abc.AsyncIterator[bytes],
) -> result.Result[Job, verdicts.Failure]:
    """Store a job's items, then its head, which accepts the job.

    :param lines: items as lines of JSON
    :returns: the job, the same one if it was submitted before
    """
    digest = hashlib.sha256(f'{service}\n'.encode())
    seen: set[bytes] = set()
    parts: list[Part] = []
    batch: list[Item] = []
    size = 0
    limit = FIRST_PART_ITEMS
    number = 0
    async for line in lines:
        number += 1
        parsed = _parse_item(line, number, seen)
        if isinstance(parsed, result.Err):
            return parsed
        digest.update(line.strip() + b'\n')
        batch.append(parsed.ok_value)
        size += len(line)
        if len(batch) < limit and size + MAX_ITEM_BYTES < MAX_PART_BYTES:
            continue
        stored = await _store_part(port, key, batch)
        if isinstance(stored, result.Err):
            return stored
        parts.append(stored.ok_value)
        batch, size = [], 0
        limit = min(limit * 2, MAX_PART_ITEMS)
    if batch:
        stored = await _store_part(port, key, batch)
        if isinstance(stored, result.Err):
            return stored
        parts.append(stored.ok_value)
    if not parts:
        return result.Err(verdicts.invalid('items', 'the job has no items'))
    job = Job(
        key.account, key.job, service, digest.hexdigest(), due_seconds, parts
    )
    return await _accept(port, job)


async def _store_part(
    port: store.StorePort, key: JobKey, items: list[Item]
) -> result.Result[Part, verdicts.Failure]:
    """Store items under the digest of their bytes, so that a repeat is one."""
    data = encode_items(items)
    name = hashlib.sha256(data).hexdigest()[:32]
    path = f'items/{key.account}/{key.job}/{name}'
    written = await port.put(path, data)
    if isinstance(written, result.Err):
        failure = written.err_value
        return result.Err(failure._replace(verdict=verdicts.Verdict.NOT_RUN))
    return result.Ok(Part(path, len(items)))


async def _accept(
    port: store.StorePort, job: Job
) -> result.Result[Job, verdicts.Failure]:
    """Write the head unless the job exists."""
    written = await port.put(head_key(job.key), encode(job), store.CREATE)
    if isinstance(written, result.Ok):
        events.log(
            events.JOB_ACCEPTED,
            account=job.account,
            job=job.job,
            items=job.items,
        )
        return result.Ok(job._replace(version=written.ok_value))
    failure = written.err_value
    settled = (
        failure.event == events.STORE_CONFLICT
        or failure.verdict != verdicts.Verdict.NOT_RUN
    )
    if not settled:
        return written
    found = await port.get(head_key(job.key))
    if isinstance(found, result.Err):
        return result.Err(failure)
    present = decode(found.ok_value)
    if present.digest != job.digest:
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
    return result.Ok(present)


def _parse_item(
    line: bytes, number: int, seen: set[bytes]
) -> result.Result[Item, verdicts.Failure]:
    field = f'line {number}'
    if len(line) > MAX_ITEM_BYTES:
        return result.Err(
            verdicts.invalid(field, f'longer than {MAX_ITEM_BYTES} bytes')
        )
    try:
        item = msgspec.json.decode(line, type=Item)
    except msgspec.MsgspecError as error:
        return result.Err(verdicts.invalid(field, str(error)))
    mark = hashlib.blake2b(item.id.encode(), digest_size=8).digest()
    if mark in seen:
        return result.Err(
            verdicts.invalid(f'{field}.id', f'{item.id!r} is there twice')
        )
    seen.add(mark)
    return result.Ok(item)


async def cancel(
    port: store.StorePort, key: JobKey
) -> result.Result[Job, verdicts.Failure]:
    """Mark a job cancelled; a cancelled one stays as it is."""
    while True:
        found = await port.get(head_key(key))
        if isinstance(found, result.Err):
            return found
        job = decode(found.ok_value)
        if job.state == CANCELLED:
            return result.Ok(job)
        cancelled = job._replace(state=CANCELLED)
        written = await port.put(head_key(key), encode(cancelled), job.version)
        if isinstance(written, result.Ok):
            return result.Ok(cancelled._replace(version=written.ok_value))
        if written.err_value.event != events.STORE_CONFLICT:
            return written


async def read_results(
    port: store.StorePort, job: Job
) -> collections.abc.AsyncGenerator[
    result.Result[tuple[Item, ItemResult | None], verdicts.Failure], None
]:
    """Read all items in order, each with its result if it has one."""
    for number, part in enumerate(job.parts):
        items = await port.get(part.key)
        if isinstance(items, result.Err):
            yield items
            return
        records = await ledger.read(port, ledger_key(job.key, number))
        if isinstance(records, result.Err):
            yield records
            return
        results: dict[str, ItemResult] = {}
        for record in records.ok_value:
            results.setdefault(record.key, ItemResult(*record.body))
        for item in decode_items(items.ok_value.data):
            yield result.Ok((item, results.get(item.id)))
