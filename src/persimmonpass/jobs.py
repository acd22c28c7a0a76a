"""Stored form of batch jobs.

A job is one head object. Its items are stored in immutable parts, which are
called chunks while they are processed. Each part has its own ledger with the
results. A finished part also has a small summary, so that the progress of a
job can be read without its results.
"""

import collections
import collections.abc
import typing

import cbor2
import msgspec
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import numerals
from persimmonpass import store
from persimmonpass import verdicts

PREFIX = 'jobs/'
ITEMS_PREFIX = 'items/'
RESULT_PREFIX = 'results/'
SUMMARY_PREFIX = 'summaries/'
UPDATE_ATTEMPTS = 8

ACCEPTED = 'accepted'
CANCELLED = 'cancelled'
FINISHED = 'finished'

ITEM_WAITING = 'waiting'
ITEM_DONE = 'done'
ITEM_FAILED = 'failed'
# Kinds of records in a chunk's ledger that are not results.
ATTEMPT_FAILED = 'attempt'
TARGET_LOST = 'lost'
SEALED = 'sealed'
SEAL_KEY = ''

ItemId = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Item(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An item of a job.

    :ivar id: unique within the job
    """

    id: ItemId
    prompt: str
    max_tokens: typing.Annotated[
        int, msgspec.Meta(ge=1, le=numerals.MAX_INTEGER)
    ] = 64


class JobKey(typing.NamedTuple):
    """Identifies a job."""

    account: str
    job: str


class Part(typing.NamedTuple):
    """A chunk of a job's items.

    :ivar digest: digest of the encoded items, which is part of their key
    :ivar items: number of items
    """

    digest: bytes
    items: int


class Job(typing.NamedTuple):
    """Head object of a job.

    :ivar digest: digest of all items
    :ivar due_seconds: time after its acceptance by which it should be done
    :ivar parts: the parts in the order of their items
    :ivar state: ``ACCEPTED``, ``CANCELLED`` or ``FINISHED``
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
        """Account and name of the job."""
        return JobKey(self.account, self.job)

    @property
    def items(self) -> int:
        """Number of items."""
        return sum(part.items for part in self.parts)


class ItemResult(typing.NamedTuple):
    """Final result of an item.

    :ivar status: ``ITEM_DONE`` or ``ITEM_FAILED``
    :ivar text: output of the item, or why it failed
    :ivar attempts: number of attempts
    :ivar cause: name of the event that caused the failure, or empty
    """

    status: str
    text: str
    attempts: int
    cause: str = ''


class ItemState(typing.NamedTuple):
    """State of an item according to its chunk's ledger.

    :ivar result: final result, or ``None`` if there is none yet
    :ivar attempts: number of attempts that ran and failed
    :ivar lost: number of attempts during which the target crashed
    """

    result: ItemResult | None = None
    attempts: int = 0
    lost: int = 0


class Summary(typing.NamedTuple):
    """Counts of the results of some items.

    :ivar done: number of items that succeeded
    :ivar failed: number of items that failed
    :ivar causes: number of failed items by cause
    """

    done: int = 0
    failed: int = 0
    causes: dict[str, int] = {}

    @property
    def finished(self) -> int:
        """Number of items with a result."""
        return self.done + self.failed


def head_key(key: JobKey) -> str:
    """Return the key of a job's head."""
    return f'{PREFIX}{key.account}/{key.job}'


def items_key(key: JobKey, digest: bytes) -> str:
    """Return the key of a part's items."""
    return f'{ITEMS_PREFIX}{key.account}/{key.job}/{digest.hex()}'


def ledger_key(key: JobKey, part: int) -> str:
    """Return the key of the ledger with a part's results.

    :param part: number of the part
    """
    return f'{RESULT_PREFIX}{key.account}/{key.job}/{part:06d}'


def summary_key(key: JobKey, part: int) -> str:
    """Return the key of the summary of a finished part.

    :param part: number of the part
    """
    return f'{summaries_prefix(key)}{part:06d}'


def summaries_prefix(key: JobKey) -> str:
    """Return the common prefix of the keys of a job's summaries."""
    return f'{SUMMARY_PREFIX}{key.account}/{key.job}/'


def encode(job: Job) -> bytes:
    """Return a job's head as CBOR."""
    return cbor2.dumps(list(job._replace(version=0)))


def decode(stored: store.Stored) -> Job:
    """Return the job of a stored head, with its version."""
    job = Job(*cbor2.loads(stored.data))
    parts = [Part(*part) for part in job.parts]
    return job._replace(parts=parts, version=stored.version)


def encode_items(items: list[Item]) -> bytes:
    """Return the items of a part as CBOR."""
    return cbor2.dumps(
        [[item.id, item.prompt, item.max_tokens] for item in items]
    )


def decode_items(data: bytes) -> list[Item]:
    """Return the items that CBOR data encodes."""
    return [Item(*row) for row in cbor2.loads(data)]


def encode_summary(summary: Summary) -> bytes:
    """Return a summary as CBOR."""
    return cbor2.dumps(list(summary))


def decode_summary(data: bytes) -> Summary:
    """Return the summary that CBOR data encodes."""
    return Summary(*cbor2.loads(data))


def merge(value: ItemState | None, record: ledger.Record) -> ItemState:
    """Return an item's state after a record; the first result wins.

    :param value: state before the record, or ``None`` for the first record
    """
    state = value if value is not None else ItemState()
    if state.result is not None:
        return state
    if record.kind in (ATTEMPT_FAILED, TARGET_LOST):
        # The record holds totals, so a record that is written twice counts
        # once.
        attempts, lost = record.body
        return state._replace(
            attempts=max(state.attempts, attempts), lost=max(state.lost, lost)
        )
    if record.kind == SEALED:
        return state
    return state._replace(result=ItemResult(*record.body))


def fold(records: list[ledger.Record]) -> dict[str, ItemState]:
    """Return the state of each item after all records of a chunk's ledger."""
    states: dict[str, ItemState] = {}
    for record in records:
        states[record.key] = merge(states.get(record.key), record)
    return states


def summarise(results: collections.abc.Iterable[ItemResult]) -> Summary:
    """Return the counts of results."""
    counts: collections.Counter[str] = collections.Counter()
    causes: collections.Counter[str] = collections.Counter()
    for item_result in results:
        counts[item_result.status] += 1
        if item_result.status == ITEM_FAILED:
            causes[item_result.cause] += 1
    return Summary(counts[ITEM_DONE], counts[ITEM_FAILED], dict(causes))


def add(first: Summary, second: Summary) -> Summary:
    """Return the sum of two summaries."""
    causes = collections.Counter(first.causes)
    causes.update(second.causes)
    return Summary(
        first.done + second.done, first.failed + second.failed, dict(causes)
    )


async def read_head(
    port: store.StorePort,
    key: JobKey,
    priority: budget.Priority = budget.Priority.STATUS,
) -> result.Result[Job, verdicts.Failure]:
    """Return a job as its head is stored now."""
    found = await port.get(head_key(key), priority)
    return found.map(decode)


async def change_state(
    port: store.StorePort, key: JobKey, state: str
) -> result.Result[Job, verdicts.Failure]:
    """Change the state of an accepted job to a final state.

    A job that is already in a final state keeps it.

    :param state: ``CANCELLED`` or ``FINISHED``
    :returns: the job in its final state. A failure with the verdict
        ``MAY_HAVE_RUN`` means that the change may have been made.
    """
    unknown_outcome: verdicts.Failure | None = None
    for _ in range(UPDATE_ATTEMPTS):
        found = await read_head(port, key)
        if isinstance(found, result.Err):
            return result.Err(unknown_outcome or found.err_value)
        job = found.ok_value
        if job.state != ACCEPTED:
            return result.Ok(job)
        changed = job._replace(state=state)
        written = await port.put(head_key(key), encode(changed), job.version)
        if isinstance(written, result.Ok):
            return result.Ok(changed._replace(version=written.ok_value))
        failure = written.err_value
        if failure.verdict != verdicts.Verdict.NOT_RUN:
            unknown_outcome = failure
        elif failure.event != events.STORE_CONFLICT:
            return result.Err(unknown_outcome or failure)
    return result.Err(unknown_outcome or failure)


async def read_summaries(
    port: store.StorePort, key: JobKey
) -> result.Result[dict[int, Summary], verdicts.Failure]:
    """Return the summaries of a job's finished parts by part number."""
    listed = await port.list(summaries_prefix(key))
    if isinstance(listed, result.Err):
        return listed
    numbered = (
        (numerals.read_integer(stored.key.rpartition('/')[2]), stored)
        for stored in listed.ok_value
    )
    return result.Ok(
        {
            number: decode_summary(stored.data)
            for number, stored in numbered
            if number is not None
        }
    )
