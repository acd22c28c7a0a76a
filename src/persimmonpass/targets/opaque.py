"""HTTP client that sends requests to targets without interpreting them."""

import collections.abc
import contextlib
import ssl
import typing

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass.peers import tunnel
from persimmonpass import store
from persimmonpass.targets import connections
from persimmonpass.targets import pools
from persimmonpass import transports
from persimmonpass import verdicts

# The network delay between hosts and targets is about a millisecond. TCP
# retransmits a lost SYN only after a second; by then another target can have
# started the request.
CONNECT_TIMEOUT_SECONDS = 0.3
# A connection through a peer takes several round trips more.
RELAY_CONNECT_TIMEOUT_SECONDS = 0.5
# Shorter than the idle time after which common servers close a connection.
KEEPALIVE_EXPIRY_SECONDS = 1.8
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
_NOT_CONNECTED_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)


class Answer(typing.NamedTuple):
    """An answer whose head has arrived.

    :ivar head: its status and headers
    :ivar chunks: bytes of its body as they arrive; raises
        ``httpx.HTTPError`` if the connection breaks
    """

    head: exchange.ResponseHead
    chunks: collections.abc.AsyncIterator[bytes]


class PathPort(typing.NamedTuple):
    """The ways to targets.

    :ivar choose: takes the name of a target; returns the peer through which
        a request has to go, ``None`` for a direct connection
    :ivar relayed: takes the id of a request, the name of its target and the
        peer; returns a context for the time of the request
    :ivar record_answer: takes the name of a target that has answered, and the
        peer
    :ivar record_unreachable: takes the name of a target to which no
        connection could be made, and the peer
    """

    choose: collections.abc.Callable[[str], str | None]
    relayed: collections.abc.Callable[
        [str, str, str | None], contextlib.AbstractContextManager[None]
    ]
    record_answer: collections.abc.Callable[[str, str | None], None]
    record_unreachable: collections.abc.Callable[[str, str | None], None]


AnswerResult = result.Result[Answer, verdicts.Failure]


class TargetClient:
    """Sends requests to targets.

    Requests that must not run twice use new connections. If the target closed
    a kept connection at that moment, their outcome would be unknown.
    """

    def __init__(
        self,
        wire: exchange.WirePort,
        mark_leaving: collections.abc.Callable[[blackboard.Target], None],
        record_answer: collections.abc.Callable[
            [blackboard.Target, exchange.ResponseHead], None
        ],
        paths: PathPort,
        open_tunnel: tunnel.Open,
    ) -> None:
        """Create a client without connections.

        :param wire: encodes requests and decodes the heads of answers
        :param mark_leaving: called with a target whose answer states that it
            is leaving
        :param record_answer: called with each target that answers and the
            head of its answer
        :param paths: the ways to targets
        :param open_tunnel: opens a tunnel to a target through a peer
        """
        self._wire = wire
        self._mark_leaving = mark_leaving
        self._record_answer = record_answer
        self._paths = paths
        self._open_tunnel = open_tunnel
        self._context = pools.make_plain_http_context()
        # Pools by the peer through which their connections go, ``None`` for
        # direct ones, and by whether the connections are kept.
        self._pools: dict[tuple[str | None, bool], pools.TargetPools] = {}

    def read_prompt_parts(self, headers: exchange.Headers) -> tuple[str, ...]:
        """Return the ids of the parts of a request's prompt, in order."""
        return self._wire.read_prompt_parts(headers)

    async def aclose(self) -> None:
        """Close all connections."""
        # A request may open another pool meanwhile.
        for pool in list(self._pools.values()):
            await pool.aclose()

    def _pool(self, helper: str | None, kept: bool) -> pools.TargetPools:
        """Return the pools for requests.

        :param helper: the peer through which the connections go, ``None`` for
            direct ones
        :param kept: whether the connections are kept for other requests
        """
        found = self._pools.get((helper, kept))
        if found is not None:
            return found
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=(
                pools.MAX_KEPT_CONNECTIONS if kept else 0
            ),
            keepalive_expiry=KEEPALIVE_EXPIRY_SECONDS,
        )
        backend = None
        if helper is not None:
            backend = tunnel.Backend(helper, self._open_tunnel)

        def make_pool(
            limits: httpx.Limits, context: ssl.SSLContext
        ) -> httpx.AsyncBaseTransport:
            return connections.Transport(
                limits, context, backend, self._wire.read_id
            )

        found = pools.TargetPools(limits, self._context, make_pool)
        self._pools[helper, kept] = found
        return found

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
    ) -> collections.abc.AsyncIterator[AnswerResult]:
        """Send a request and wait for the head of its answer.

        The request goes through a peer if this host has lost the target.
        Leaving the context before the end of the answer closes the
        connection, which tells the target to stop.

        :param seconds: time that is left for the request
        :param resume_after: id of the last event of an earlier run
        :param repeatable: whether the request may run more than once
        :param head_seconds: how long to wait for the head of the answer;
            ``None`` for ``seconds``
        :returns: the answer, or a failure whose verdict is ``NOT_RUN`` only
            if no byte of the request was sent
        """
        helper = self._paths.choose(target.name)
        with self._paths.relayed(call.id, target.name, helper):
            async with self._open(
                call,
                target,
                seconds,
                resume_after,
                helper,
                repeatable,
                seconds if head_seconds is None else head_seconds,
            ) as opened:
                yield opened

    @contextlib.asynccontextmanager
    async def _open(
        self,
        call: exchange.Call,
        target: blackboard.Target,
        seconds: float,
        resume_after: int | None,
        helper: str | None,
        repeatable: bool,
        head_seconds: float,
    ) -> collections.abc.AsyncIterator[AnswerResult]:
        """Send a request directly or through a peer; see :meth:`open`.

        :param helper: the peer, ``None`` for a direct connection
        """
        try:
            request = self._make_request(
                call, target, seconds, resume_after, is_relayed=bool(helper)
            )
        except (httpx.InvalidURL, ValueError) as error:
            yield result.Err(_not_sent(target, type(error).__name__))
            return
        sent = await self._send(
            request, target, helper, repeatable, head_seconds
        )
        if isinstance(sent, result.Err):
            yield sent
            return
        response = sent.ok_value
        try:
            head = self._wire.decode(
                call, response.status_code, response.headers.raw
            )
            # The target that answers in place of another one is not known.
            if head.is_leaving and not head.is_misdirected:
                self._mark_leaving(target)
            self._record_answer(target, head)
            self._paths.record_answer(target.name, helper)
            stream = typing.cast(httpx.AsyncByteStream, response.stream)
            if head.is_for_request:
                yield result.Ok(Answer(head, stream.__aiter__()))
            else:
                yield result.Err(
                    _outcome_unknown(
                        target, 'an answer to another request', BAD_GATEWAY
                    )
                )
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    def _make_request(
        self,
        call: exchange.Call,
        target: blackboard.Target,
        seconds: float,
        resume_after: int | None,
        *,
        is_relayed: bool,
    ) -> httpx.Request:
        connect_seconds = (
            RELAY_CONNECT_TIMEOUT_SECONDS
            if is_relayed
            else CONNECT_TIMEOUT_SECONDS
        )
        return httpx.Request(
            call.method,
            f'http://{target.address}/',
            headers=self._wire.encode(call, target, seconds, resume_after),
            content=call.body,
            extensions={
                'target': call.path,
                transports.STREAMED: True,
                'timeout': {
                    'connect': min(connect_seconds, seconds),
                    'read': None,
                    'write': seconds,
                    'pool': None,
                },
            },
        )

    async def _send(
        self,
        request: httpx.Request,
        target: blackboard.Target,
        helper: str | None,
        repeatable: bool,
        head_seconds: float,
    ) -> result.Result[httpx.Response, verdicts.Failure]:
        """Send a request and return the answer, whose body is not read."""
        transport = self._pool(helper, repeatable)
        failure: verdicts.Failure
        try:
            with anyio.fail_after(max(0.0, head_seconds)):
                return result.Ok(await transport.handle_async_request(request))
        except store.NOT_SENT_ERRORS as error:
            if isinstance(error, _NOT_CONNECTED_ERRORS):
                self._paths.record_unreachable(target.name, helper)
            failure = _not_sent(target, type(error).__name__)
        except TimeoutError:
            failure = _outcome_unknown(
                target, 'no answer in time', GATEWAY_TIMEOUT
            )
        except connections.RelayBrokenError as error:
            failure = _outcome_unknown(target, str(error), GATEWAY_TIMEOUT)
        except (httpx.HTTPError, ValueError) as error:
            failure = _outcome_unknown(
                target, type(error).__name__, BAD_GATEWAY
            )
        return result.Err(failure)


def _not_sent(target: blackboard.Target, detail: str) -> verdicts.Failure:
    """Return the failure of a request of which no byte was sent."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.TARGET_FAILED,
        f'target {target.name}: {detail}',
    )


def _outcome_unknown(
    target: blackboard.Target, detail: str, status: int
) -> verdicts.Failure:
    """Return the failure of a request that may have run."""
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.TARGET_FAILED,
        f'target {target.name}: {detail}',
        status,
    )
