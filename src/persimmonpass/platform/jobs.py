"""Batch jobs as callers of the platform write and read them."""

import time

import msgspec

from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import routes

_STATES = {
    job_records.State.COMPLETED: 'completed',
    job_records.State.FAILED: 'dead_letter',
}


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: int = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    """A result on the wire.

    :ivar output: data of all events
    """

    id: str
    state: str
    output: str


class _Page(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


def read_job(
    call: exchange.Call, route: routes.Route
) -> job_records.Job | None:
    """Read a submitted job, or return ``None`` if it is broken."""
    try:
        found = msgspec.json.decode(call.body, type=_Submission)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return job_records.Job(
        # The id of the request is that of the job.
        call.id,
        route.name,
        call.host,
        time.time(),
        [
            job_records.Item(
                item.id,
                item.path,
                list(item.headers.items()),
                item.body,
                item.tokens,
            )
            for item in found.items
        ],
    )


def encode_page(
    total: int, following: int, results: list[job_records.ItemResult]
) -> bytes:
    """Return the body of an answer with results.

    :param following: position after the last of them
    """
    return msgspec.json.encode(
        _Page(
            total,
            following,
            [
                _Result(one.item, _STATES[one.state], one.output)
                for one in results
            ],
        )
    )
