"""Batch jobs as they are kept in the store.

A job is one record that never changes. Its results are a log of records with
rising numbers, each created once: two hosts that run the same job can not
both write a number, so that each position has one result for ever. The end
of a job is a record of its own.
"""

import base64
import enum
import typing

import msgspec

from persimmonpass import records

KIND = 'work'
_JOB = 'j.'
_END = 'e.'
_RESULTS = 'r.'
NUMBER_DIGITS = 6


class State(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class Item(typing.NamedTuple):
    """A request of a job.

    :ivar path: path and query at the target
    :ivar headers: name and value, passed on
    :ivar body: base64
    :ivar tokens: of the prompt and the largest output
    """

    id: str
    path: str
    headers: list[tuple[str, str]]
    body: str
    tokens: int

    @property
    def content(self) -> bytes:
        """The decoded body."""
        return base64.b64decode(self.body)


class Job(typing.NamedTuple):
    """An accepted job.

    :ivar route: name of the route that took it
    :ivar host: host name of that route
    :ivar accepted_at: time of day at the accepting host, in seconds
    """

    id: str
    route: str
    host: str
    accepted_at: float
    items: list[Item]


class ItemResult(typing.NamedTuple):
    """Result of an item.

    :ivar output: data of all events, separated by line feeds
    """

    item: str
    state: State
    output: str = ''


class Change(typing.NamedTuple):
    """What a record says of a job; one of the fields after the id is set.

    :ivar number: number of the group of results
    """

    job_id: str
    job: Job | None = None
    ended: bool = False
    number: int = 0
    results: list[ItemResult] | None = None


def job_name(job_id: str) -> str:
    """Return the name of a job's record."""
    return _JOB + job_id


def job_of(name: str) -> str | None:
    """Return the id of the job whose own record has a name."""
    return name[len(_JOB) :] if name.startswith(_JOB) else None


def end_name(job_id: str) -> str:
    """Return the name of the record that ends a job."""
    return _END + job_id


def results_name(job_id: str, number: int) -> str:
    """Return the name of a group of results."""
    return f'{_RESULTS}{job_id}.{number:0{NUMBER_DIGITS}}'


def encode_job(job: Job) -> records.Data:
    """Return the data of a job's record."""
    return typing.cast(records.Data, msgspec.to_builtins(job._asdict()))


def encode_results(results: list[ItemResult]) -> records.Data:
    """Return the data of a group of results."""
    return {'results': msgspec.to_builtins(results)}


def read(record: records.Record) -> Change | None:
    """Read a record, or return ``None`` if it is none of a job."""
    name = record.name
    try:
        if name.startswith(_JOB):
            data = dict(record.data)
            data['items'] = msgspec.convert(data['items'], list[Item])
            return Change(name[len(_JOB) :], job=Job(**data))
        if name.startswith(_END):
            return Change(name[len(_END) :], ended=True)
        if name.startswith(_RESULTS):
            job_id, _, number = name[len(_RESULTS) :].rpartition('.')
            found = msgspec.convert(record.data['results'], list[ItemResult])
            return Change(job_id, number=int(number), results=found)
    except (KeyError, TypeError, ValueError, msgspec.ValidationError):
        return None
    return None
