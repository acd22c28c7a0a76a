"""Client of targets that take opaque requests over HTTP."""

import collections.abc
import contextlib
import typing

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import store
from persimmonpass.targets import pools
from persimmonpass import verdicts

# Hosts and targets are a millisecond apart; a lost opening packet comes
# again after a second, by which time another target has begun.
CONNECT_TIMEOUT_SECONDS = 0.3
# Below the idle time after which common servers close a connection.
KEPT_SECONDS = 1.8
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Answer(typing.NamedTuple):
    """An answer that has begun.

    :ivar chunks: its bytes as they come; raises ``httpx.HTTPError`` where
        it is cut off
    """

    head: exchange.ResponseHead
    chunks: collections.abc.AsyncIterator[bytes]


Opened = result.Result[Answer, verdicts.Failure]


class TargetClient:
    """Sends requests to targets.

    Requests that must not run twice go on new connections: a kept one that
    the target closes at that moment would leave their outcome unknown.
    """

    def __init__(self, wire: exchange.WirePort) -> None:
        self._wire = wire
        context = pools.make_plain_http_context()
        self._kept = pools.TargetPools(
            httpx.Limits(
                max_connections=None,
                max_keepalive_connections=pools.MAX_KEPT_CONNECTIONS,
                keepalive_expiry=KEPT_SECONDS,
            ),
            context,
        )
        self._fresh = pools.TargetPools(
            httpx.Limits(max_connections=None, max_keepalive_connections=0),
            context,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._kept.aclose()
        await self._fresh.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: exchange.Call,
        target: blackboard.Target,
        seconds: float,
        resume_after: int | None = None,
        *,
        repeatable: bool,
        head_seconds: float | None = None,
    ) -> collections.abc.AsyncIterator[Opened]:
        """Send a request and wait for the head of its answer.

        Leaving the context closes a connection whose answer has not ended,
        which tells the target to stop.

        :param seconds: time that is left for the request
        :param resume_after: id of the last event of an earlier run
        :param head_seconds: how long to wait for the head, if less
        """
        request = httpx.Request(
            call.method,
            f'http://{target.address}/',
            headers=self._wire.encode(call, target, seconds, resume_after),
            content=call.body,
            extensions={
                'target': call.path,
                'timeout': {
                    'connect': min(CONNECT_TIMEOUT_SECONDS, seconds),
                    'read': None,
                    'write': seconds,
                    'pool': None,
                },
            },
        )
        transport = self._kept if repeatable else self._fresh
        limit = seconds if head_seconds is None else head_seconds
        response: httpx.Response | None = None
        failure: verdicts.Failure
        try:
            with anyio.fail_after(max(0.0, limit)):
                response = await transport.handle_async_request(request)
        except store.NOT_SENT_ERRORS as error:
            failure = _unreachable(target, type(error).__name__)
        except TimeoutError:
            failure = _lost(target, 'no answer in time', GATEWAY_TIMEOUT)
        except (httpx.HTTPError, ValueError) as error:
            failure = _lost(target, type(error).__name__, BAD_GATEWAY)
        if response is None:
            yield result.Err(failure)
            return
        try:
            head = self._wire.decode(
                call, response.status_code, response.headers.raw
            )
            stream = typing.cast(httpx.AsyncByteStream, response.stream)
            if head.is_for_request:
                yield result.Ok(Answer(head, stream.__aiter__()))
            else:
                yield result.Err(
                    _lost(target, 'an answer to another request', BAD_GATEWAY)
                )
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()


def _unreachable(target: blackboard.Target, detail: str) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.TARGET_FAILED,
        f'target {target.name}: {detail}',
    )


def _lost(
    target: blackboard.Target, detail: str, status: int
) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.TARGET_FAILED,
        f'target {target.name}: {detail}',
        status,
    )
