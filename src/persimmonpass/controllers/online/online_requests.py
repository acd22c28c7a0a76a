"""Types of online requests and their failures."""

import collections.abc
import hashlib
import math
import typing

import anyio
import result

from persimmonpass.controllers.online import keys as key_controller
from persimmonpass import events
from persimmonpass import keys
from persimmonpass import objects
from persimmonpass.targets import engine
from persimmonpass.targets import service
from persimmonpass import verdicts

RETRY_AFTER_SECONDS = 1.0

_SEVERITY = {
    verdicts.Verdict.NOT_RUN: 0,
    verdicts.Verdict.MAY_HAVE_RUN: 1,
    verdicts.Verdict.RAN: 2,
}


class OnlineRequest(typing.NamedTuple):
    """An online request that passed all checks.

    :ivar name: account and idempotency key
    :ivar fingerprint: digest of the body
    :ivar service: name of the service
    :ivar spec: specification of the service
    :ivar limit_seconds: time within which it must be answered
    :ivar headers: headers with the trace context
    :ivar account_limits: limits of the account
    """

    name: key_controller.KeyName
    fingerprint: str
    service: str
    spec: objects.ServiceSpec
    limit_seconds: float
    headers: dict[str, str]
    account_limits: objects.Limits = objects.Limits()


class CompletionRequest(typing.NamedTuple):
    """An online request for a completion."""

    online: OnlineRequest
    prompt: str
    max_tokens: int


class Finished(typing.NamedTuple):
    """The final answer of a request.

    :ivar recorded: whether the answer is committed
    """

    answer: keys.Answer
    recorded: bool


Update = result.Result[engine.Piece | Finished, verdicts.Failure]
Updates = collections.abc.AsyncGenerator[Update, None]
FinishedResult = result.Result[Finished, verdicts.Failure]


class Deadline:
    """The time by which a request must have its final answer."""

    def __init__(self, limit_seconds: float) -> None:
        self._end = anyio.current_time() + limit_seconds

    @property
    def left(self) -> float:
        """Seconds left, at least 0."""
        return max(0.0, self._end - anyio.current_time())


def is_non_idempotent(
    spec: objects.ServiceSpec, request: service.ServiceCall
) -> bool:
    """Return whether the service declares a call as non-idempotent."""
    call = f'{request.method} {request.path}'
    return any(call.startswith(prefix) for prefix in spec.non_idempotent)


def content_digest(service_name: str, content: str) -> str:
    """Return the digest of a body, the same for all callers and keys.

    :param service_name: name of the service
    :param content: what a target runs, without the caller and the key
    """
    return hashlib.sha256(f'{service_name}\n{content}'.encode()).hexdigest()


def no_target(name: str) -> verdicts.Failure:
    """Return the failure of a request for which no target is available."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.NO_TARGET,
        f'no target of service {name!r} is available now',
        503,
        RETRY_AFTER_SECONDS,
    )


def deadline_exceeded(
    name: str, verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
) -> verdicts.Failure:
    """Return the failure of a request that reached its deadline.

    :param name: service or target for which it waited
    :param verdict: ``NOT_RUN`` only if no target was tried
    """
    return verdicts.Failure(
        verdict,
        events.DEADLINE_EXCEEDED,
        f'the request reached its deadline while it waited for {name!r}',
        504,
        RETRY_AFTER_SECONDS,
    )


def limited(name: str, wait_seconds: float) -> verdicts.Failure:
    """Return the failure of a request that exceeds a limit.

    :param name: account or service whose limit was reached
    :param wait_seconds: delay before a retry can succeed
    """
    wait = max(RETRY_AFTER_SECONDS, math.ceil(wait_seconds))
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_LIMITED,
        f'{name} has reached its limit of requests',
        429,
        wait,
    )


def quarantined(name: str) -> verdicts.Failure:
    """Return the failure of a request whose body crashed targets."""
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.REQUEST_QUARANTINED,
        f'this body crashed targets of service {name!r}; it is not run again',
        422,
    )


def combine(
    earlier: verdicts.Failure | None, latest: verdicts.Failure
) -> verdicts.Failure:
    """Return the latest failure with the more severe of both verdicts."""
    if earlier is None:
        return latest
    worst = max(earlier.verdict, latest.verdict, key=_SEVERITY.__getitem__)
    return latest._replace(verdict=worst)


def find_earlier(begun: keys.Begun) -> FinishedResult:
    """Return the result of a request whose key was used before.

    :param begun: state of the key
    """
    answer = begun['answer']
    if answer is not None:
        return result.Ok(Finished(keys.Answer(*answer), begun['recorded']))
    if begun['state'] == keys.RUNNING:
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.MAY_HAVE_RUN,
                events.REQUEST_IN_PROGRESS,
                'a request with this key is in progress',
                409,
                RETRY_AFTER_SECONDS,
            )
        )
    return result.Err(
        verdicts.Failure(
            verdicts.Verdict.MAY_HAVE_RUN,
            events.OUTCOME_UNKNOWN,
            'a request with this key was sent and its outcome is unknown; '
            'it is not sent again',
            409,
        )
    )
