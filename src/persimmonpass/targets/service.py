"""Client of plain services, which the daemon passes calls on to."""

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


# A target that stays silent for less is not held to have failed.
SILENCE_SECONDS = 2.5


class ServiceCall(typing.NamedTuple):
    """A call that is passed on.

    :ivar path: path and query at the service
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(typing.NamedTuple):
    """A whole answer.

    :ivar content_type: media type of the body
    """

    status: int
    content_type: str
    body: bytes


class ServicePort(typing.NamedTuple):
    """Calls of plain services.

    :ivar call: target, call, timeout in seconds, whether it must run at
        most once -> the answer; a call whose time is up fails like one whose
        connection broke
    """

    call: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Answer, verdicts.Failure]],
    ]


def connect(
    client: httpx.AsyncClient, fresh_client: httpx.AsyncClient
) -> ServicePort:
    """Make the port of services that are reached over HTTP.

    :param client: HTTP client
    :param fresh_client: HTTP client that keeps no connections, for calls
        that may run only once: a kept connection that the target has closed
        breaks after the call was written, which leaves its outcome unknown
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
        chosen = fresh_client if once else client
        watch = engine.SendWatch()
        detail = 'no answer in time'
        try:
            with anyio.move_on_after(timeout):
                answer = await chosen.request(
                    request.method,
                    f'http://{target.address}{request.path}',
                    content=request.body,
                    headers=headers,
                    timeout=httpx.Timeout(
                        None, connect=engine.CONNECT_TIMEOUT_SECONDS
                    ),
                    extensions=watch.extensions,
                )
                return _read_answer(target, answer)
        except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
            detail = type(error).__name__
        else:
            if timeout < SILENCE_SECONDS:
                failure = _out_of_time(target, watch.verdict)
                return result.Err(failure)
        return result.Err(engine.target_failed(target, watch.verdict, detail))

    return ServicePort(call)


def _read_answer(
    target: blackboard.Target, answer: httpx.Response
) -> result.Result[Answer, verdicts.Failure]:
    """Pass an answer on, whatever its status, unless the target leaves."""
    if engine.is_leaving(answer.status_code, answer.content):
        return result.Err(engine.target_leaving(target))
    content_type = answer.headers.get('content-type', '')
    return result.Ok(Answer(answer.status_code, content_type, answer.content))


def _out_of_time(
    target: blackboard.Target, verdict: verdicts.Verdict
) -> verdicts.Failure:
    return verdicts.Failure(
        verdict,
        events.DEADLINE_EXCEEDED,
        f'target {target.name} did not answer by the deadline',
        504,
        engine.RETRY_AFTER_SECONDS,
    )
