"""Store records of batch jobs: names, encoding and decoding.

A job is one immutable record. Its results are a log of numbered records, and
each record is created only once. Two hosts that run the same job cannot both
write the same number, so the result at a position never changes. The end of a
job is a separate record.
"""

import base64
import enum
import typing

import msgspec

from persimmonpass import numerals
from persimmonpass import records

KIND = 'work'
_JOB_PREFIX = 'j.'
_END_PREFIX = 'e.'
_ABSENT_PREFIX = 'n.'
_RESULTS_PREFIX = 'r.'
NUMBER_DIGITS = 6


class State(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class Item(typing.NamedTuple):
    """One request of a job.

    :ivar path: path and query string at the target
    :ivar headers: names and values that are forwarded to the target
    :ivar body: request body in base64
    :ivar tokens: tokens of the prompt plus the maximum output
    """

    id: str
    path: str
    headers: list[tuple[str, str]]
    body: str
    tokens: int

    @property
    def content(self) -> bytes:
        """The request body, decoded from base64."""
        return base64.b64decode(self.body)


class Job(typing.NamedTuple):
    """An accepted job.

    :ivar route: name of the route that accepted the job
    :ivar host: host name of that route
    :ivar accepted_at: seconds since the epoch, by the accepting host's clock
    """

    id: str
    route: str
    host: str
    accepted_at: float
    items: list[Item]


class ItemResult(typing.NamedTuple):
    """Result of an item.

    :ivar item: id of the item
    :ivar output: data of all events, joined by line feeds
    """

    item: str
    state: State
    output: str = ''

    @property
    def encoded_bytes(self) -> int:
        """Size of the output as the store and the callers get it."""
        return len(msgspec.json.encode(self.output))


class Change(typing.NamedTuple):
    """A change of a job that one record describes.

    Exactly one of ``job``, ``ended`` and ``results`` is set.

    :ivar number: number of the group of results
    """

    job_id: str
    job: Job | None = None
    ended: bool = False
    number: int = 0
    results: list[ItemResult] | None = None


def job_name(job_id: str) -> str:
    """Return the name of the record that holds a job."""
    return _JOB_PREFIX + job_id


def job_id_of(name: str) -> str | None:
    """Return a job's id from the name of the record that holds the job.

    :returns: the id; ``None`` for the name of another record
    """
    return name[len(_JOB_PREFIX) :] if name.startswith(_JOB_PREFIX) else None


def absent_name(job_id: str) -> str:
    """Return a name that no record has."""
    return _ABSENT_PREFIX + job_id


def end_name(job_id: str) -> str:
    """Return the name of the record that ends a job."""
    return _END_PREFIX + job_id


def results_name(job_id: str, number: int) -> str:
    """Return the name of the record of a group of results."""
    return f'{_RESULTS_PREFIX}{job_id}.{number:0{NUMBER_DIGITS}}'


def encode_job(job: Job) -> records.Data:
    """Return the data of the record that holds a job."""
    return typing.cast(records.Data, msgspec.to_builtins(job._asdict()))


def encode_results(results: list[ItemResult]) -> records.Data:
    """Return the data of the record of a group of results."""
    return {'results': msgspec.to_builtins(results)}


def read(record: records.Record) -> Change | None:
    """Decode a record.

    :returns: the change of a job; ``None`` if the record is malformed or
        does not belong to a job
    """
    name = record.name
    try:
        if name.startswith(_JOB_PREFIX):
            data = dict(record.data)
            data['items'] = msgspec.convert(data['items'], list[Item])
            return Change(name[len(_JOB_PREFIX) :], job=Job(**data))
        if name.startswith(_END_PREFIX):
            return Change(name[len(_END_PREFIX) :], ended=True)
        if name.startswith(_RESULTS_PREFIX):
            job_id, _, text = name[len(_RESULTS_PREFIX) :].rpartition('.')
            number = numerals.read_integer(text)
            if number is None:
                return None
            found = msgspec.convert(record.data['results'], list[ItemResult])
            return Change(job_id, number=number, results=found)
    except (KeyError, TypeError, ValueError, msgspec.ValidationError):
        return None
    return None
