"""Client of plain services, which the daemon passes calls on to."""

import collections.abc
import typing

import httpx
import result

from persimmonpass import blackboard
from persimmonpass.targets import engine
from persimmonpass import verdicts

DROPPED_HEADERS = frozenset(
    (
        'authorization', 'connection', 'content-length', 'host',
        'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade',
    )
)  # fmt: skip


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

    :ivar call: target, call, timeout in seconds -> the answer
    """

    call: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Answer, verdicts.Failure]],
    ]


def connect(client: httpx.AsyncClient) -> ServicePort:
    """Make the port of services that are reached over HTTP.

    :param client: HTTP client
    """

    async def call(
        target: blackboard.Target, request: ServiceCall, timeout: float
    ) -> result.Result[Answer, verdicts.Failure]:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        }
        limits = httpx.Timeout(
            timeout, connect=min(timeout, engine.CONNECT_TIMEOUT_SECONDS)
        )
        try:
            answer = await client.request(
                request.method,
                f'http://{target.address}{request.path}',
                content=request.body,
                headers=headers,
                timeout=limits,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            verdict = verdicts.Verdict.NOT_RUN
            detail = type(error).__name__
        except httpx.HTTPError as error:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            detail = type(error).__name__
        else:
            content_type = answer.headers.get('content-type', '')
            return result.Ok(
                Answer(answer.status_code, content_type, answer.content)
            )
        return result.Err(engine.target_failed(target, verdict, detail))

    return ServicePort(call)
