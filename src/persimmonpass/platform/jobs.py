"""Wire format of batch jobs and of their results."""

import base64
import re
import time
import typing

import msgspec

from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import numerals
from persimmonpass.platform import wire
from persimmonpass import routes

_STATES = {
    job_records.State.COMPLETED: 'completed',
    job_records.State.FAILED: 'dead_letter',
}


_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')


# Larger numbers do not fit into a float, in which items are weighed.
_Tokens = typing.Annotated[
    int, msgspec.Meta(ge=-numerals.MAX_INTEGER, le=numerals.MAX_INTEGER)
]


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: _Tokens = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    """An item's result on the wire.

    :ivar output: data of all events, joined by line breaks
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
    """Decode a submitted job.

    :returns: the job, or ``None`` if the body is malformed, if no target can
        be sent one of its items, or if there are accounts and it has no items:
        the account of a job is stored with its items
    """
    try:
        submission = msgspec.json.decode(call.body, type=_Submission)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    if not all(map(_can_be_sent, submission.items)):
        return None
    if call.has_accounts and not submission.items:
        return None
    return job_records.Job(
        # The request's id is also the job's id.
        call.id,
        route.name,
        call.host,
        time.time(),
        [
            job_records.Item(
                item.id,
                item.path,
                wire.item_headers(call, item.headers),
                item.body,
                item.tokens,
            )
            for item in submission.items
        ],
    )


def _can_be_sent(item: _Item) -> bool:
    """Return whether an item can be encoded as a request."""
    try:
        base64.b64decode(item.body)
    except ValueError:
        return False
    return _HEADER_VALUE.fullmatch(item.id) is not None and all(
        _HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
        for name, value in item.headers.items()
    )


def encode_page(
    total: int, next_position: int, results: list[job_records.ItemResult]
) -> bytes:
    """Return the body of an answer with a page of results.

    :param total: number of items of the job
    :param next_position: position after the last result of the page
    :param results: results of the page
    """
    return msgspec.json.encode(
        _Page(
            total,
            next_position,
            [
                _Result(row.item, _STATES[row.state], row.output)
                for row in results
            ],
        )
    )
