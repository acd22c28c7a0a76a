"""HTTP client of plain services, to which the daemon forwards calls."""

import collections.abc
import typing

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.targets import engine
from persimmonpass import verdicts

DROPPED_HEADERS = frozenset(
    (
        'authorization', 'connection', 'content-length', 'host',
        'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade',
    )
)  # fmt: skip


# A target is not considered failed if it had less time than this to answer.
MIN_SILENCE_SECONDS = 2.5


class ServiceCall(typing.NamedTuple):
    """A call that is forwarded to a service.

    :ivar path: path and query at the service
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(typing.NamedTuple):
    """A complete answer.

    :ivar content_type: media type of the body, or empty
    """

    status: int
    content_type: str
    body: bytes


class ServicePort(typing.NamedTuple):
    """Calls to plain services.

    :ivar call: target, call, timeout in seconds, whether it must run at
        most once -> the answer. A timeout fails in the same way as a broken
        connection, except that a timeout below ``MIN_SILENCE_SECONDS`` does
        not count as a failure of the target.
    """

    call: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Answer, verdicts.Failure]],
    ]


def connect(
    client: httpx.AsyncClient, fresh_client: httpx.AsyncClient
) -> ServicePort:
    """Return the calls to services that are reached over HTTP.

    :param client: HTTP client
    :param fresh_client: HTTP client that keeps no connections. It is used
        for calls that must run at most once: a kept connection that the
        target has closed breaks only after the call was written, which
        leaves the outcome unknown.
    """

    async def call(
        target: blackboard.Target,
        request: ServiceCall,
        timeout: float,
        once: bool = False,
    ) -> result.Result[Answer, verdicts.Failure]:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        }
        # Answers name no call, so that the copy of one on a kept connection
        # can't be told from the answer to the next call.
        headers['Connection'] = 'close'
        chosen_client = fresh_client if once else client
        tracker = engine.SendTracker()
        detail = 'no answer in time'
        try:
            with anyio.move_on_after(timeout):
                async with chosen_client.stream(
                    request.method,
                    f'http://{target.address}{request.path}',
                    content=request.body,
                    headers=headers,
                    timeout=httpx.Timeout(
                        None, connect=engine.CONNECT_TIMEOUT_SECONDS
                    ),
                    extensions=tracker.extensions,
                ) as answer:
                    return await _read_answer(target, answer)
        except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
            detail = type(error).__name__
        else:
            if timeout < MIN_SILENCE_SECONDS:
                failure = _deadline_exceeded(target, tracker.verdict)
                return result.Err(failure)
        return result.Err(
            engine.target_failed(target, tracker.verdict, detail)
        )

    return ServicePort(call)


async def _read_answer(
    target: blackboard.Target, answer: httpx.Response
) -> result.Result[Answer, verdicts.Failure]:
    """Return an answer with any status, or a failure if it is leaving."""
    await answer.aread()
    if engine.is_leaving(answer.status_code, answer.content):
        return result.Err(engine.target_leaving(target))
    content_type = answer.headers.get('content-type', '')
    return result.Ok(Answer(answer.status_code, content_type, answer.content))


def _deadline_exceeded(
    target: blackboard.Target, verdict: verdicts.Verdict
) -> verdicts.Failure:
    return verdicts.Failure(
        verdict,
        events.DEADLINE_EXCEEDED,
        f'target {target.name} did not answer by the deadline',
        504,
        engine.RETRY_AFTER_SECONDS,
    )
