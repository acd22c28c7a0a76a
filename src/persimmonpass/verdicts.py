"""Failures of operations, and whether the request may have run.

Only a request that certainly did not run may be sent again without a risk
that it runs twice.
"""

import enum
import typing

from persimmonpass import events

HTTP_BAD_REQUEST = 400


class Verdict(enum.Enum):
    """Whether a request ran at a target."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Failure(typing.NamedTuple):
    """Why an operation failed, and whether it may have taken effect.

    :ivar verdict: ``NOT_RUN`` only if it is certain
    :ivar event: numbered event that identifies the cause
    :ivar message: one line for the caller
    :ivar status: HTTP status of the answer
    :ivar retry_after_seconds: delay before a retry; ``None`` if a retry is
        useless
    :ivar field: name of the invalid field of the request, or empty
    :ivar details: further fields of the log line of the request
    """

    verdict: Verdict
    event: events.Event
    message: str
    status: int = 503
    retry_after_seconds: float | None = None
    field: str = ''
    details: dict[str, object] = {}


class FailureBody(typing.TypedDict):
    """JSON form of a failure.

    :ivar error: name of the event
    :ivar event: number of the event
    :ivar verdict: value of the verdict
    """

    error: str
    event: int
    verdict: str
    message: str
    field: str
    retry_after_seconds: float | None


def invalid(
    field: str, message: str, status: int = HTTP_BAD_REQUEST
) -> Failure:
    """Return the failure of an invalid request, which did not run.

    :param field: path of the invalid field, or empty
    :param message: what is invalid and what is allowed
    :param status: HTTP status of the answer
    """
    return Failure(
        Verdict.NOT_RUN,
        events.REQUEST_INVALID,
        f'{field}: {message}' if field else message,
        status,
        None,
        field,
    )


def to_body(failure: Failure) -> FailureBody:
    """Return the JSON form of a failure."""
    return FailureBody(
        error=failure.event.name,
        event=failure.event.number,
        verdict=failure.verdict.value,
        message=failure.message,
        field=failure.field,
        retry_after_seconds=failure.retry_after_seconds,
    )


def from_body(body: FailureBody, status: int) -> Failure:
    """Return the failure that a peer reported.

    :param body: JSON form of the failure
    :param status: HTTP status of the peer's answer
    """
    return Failure(
        Verdict(body['verdict']),
        events.by_number(body['event']),
        body['message'],
        status,
        body['retry_after_seconds'],
        body['field'],
    )
