"""Serves the calls that peers make on the links that they open."""

import contextlib
import hmac
import typing

import anyio
import result
import websockets
import websockets.asyncio.server

from persimmonpass import events
from persimmonpass.peers import messages
from persimmonpass.peers import port
from persimmonpass import tracing
from persimmonpass import verdicts

OPEN_TIMEOUT_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1.0
CLOSED = (
    websockets.ConnectionClosed,
    websockets.InvalidHandshake,
    OSError,
    TimeoutError,
)


class Identity(typing.NamedTuple):
    """How this host identifies itself to peers.

    :ivar host: id of this host
    :ivar secret: shared secret of the fleet
    """

    host: str
    secret: str


class Listener:
    """Authenticates peers and runs the handlers of their calls."""

    def __init__(
        self,
        identity: Identity,
        handlers: port.Handlers,
        traffic: port.Traffic,
        spans: tracing.Tracing,
    ) -> None:
        self._identity = identity
        self._traffic = traffic
        self._handlers = handlers
        self._spans = spans

    async def accept(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> None:
        """Serve the calls that arrive on a link from a peer."""
        with contextlib.suppress(*CLOSED, ValueError):
            with anyio.fail_after(OPEN_TIMEOUT_SECONDS):
                peer = self._check_hello(await connection.recv())
            if peer is None:
                await connection.close(code=1008, reason='not authenticated')
                return
            await self._read_calls(peer, connection)

    async def _read_calls(
        self,
        peer: str,
        connection: websockets.asyncio.server.ServerConnection,
    ) -> None:
        """Start the handlers of a peer's calls until its link closes.

        Handlers that are running then are allowed to finish, because their
        changes may be incomplete.
        """
        async with anyio.create_task_group() as tasks:
            with contextlib.suppress(*CLOSED, ValueError):
                async for data in connection:
                    frame = messages.decode(self._traffic.count_received(data))
                    handler = self._handlers.get(frame.method)
                    if isinstance(handler, port.StreamHandler):
                        await handler.serve(peer, frame.payload, connection)
                        return
                    is_notice = frame.kind == messages.FrameKind.NOTICE
                    if is_notice and isinstance(handler, port.NoticeHandler):
                        self._run_notice(handler, peer, frame)
                    else:
                        tasks.start_soon(self._handle, peer, frame, connection)
                return
            await connection.close(code=1002, reason='not a frame')

    def _check_hello(self, data: str | bytes) -> str | None:
        """Return the peer's host id, or ``None`` if it is not authenticated.

        :raises ValueError: if the first frame is not a hello
        """
        hello = messages.decode(self._traffic.count_received(data)).payload
        if not isinstance(hello, dict):
            raise ValueError(
                'first frame on a link: expected a hello mapping, got '
                f'{type(hello).__name__}'
            )
        is_same_secret = hmac.compare_digest(
            str(hello.get('secret')).encode(), self._identity.secret.encode()
        )
        if (
            is_same_secret
            and hello.get('protocol') == messages.PROTOCOL_VERSION
        ):
            return str(hello.get('host'))
        events.log(
            events.PEER_REJECTED,
            host=self._identity.host,
            peer=str(hello.get('host')),
        )
        return None

    async def _handle(
        self,
        peer: str,
        frame: messages.Frame,
        connection: websockets.asyncio.server.ServerConnection,
    ) -> None:
        outcome = await self._run_handler(peer, frame)
        if frame.kind != messages.FrameKind.REQUEST:
            return
        with contextlib.suppress(*CLOSED):
            data = _answer(frame.number, outcome)
            if len(data) > messages.MAX_FRAME_BYTES:
                events.log(
                    events.FRAME_TOO_LARGE,
                    host=self._identity.host,
                    peer=peer,
                    method=frame.method,
                    bytes=len(data),
                    limit=messages.MAX_FRAME_BYTES,
                )
                data = _answer(frame.number, _too_large(len(data)))
            await connection.send(self._traffic.count_sent(data))

    def _run_notice(
        self, handler: port.NoticeHandler, peer: str, frame: messages.Frame
    ) -> None:
        try:
            handler.handle(peer, frame.payload)
        except Exception as error:
            self._log_failure(frame, error)

    def _log_failure(self, frame: messages.Frame, error: Exception) -> None:
        events.log(
            events.TASK_FAILED,
            host=self._identity.host,
            task=frame.method,
            message=repr(error),
        )

    async def _run_handler(
        self, peer: str, frame: messages.Frame
    ) -> result.Result[typing.Any, verdicts.Failure]:
        handler = self._handlers.get(frame.method)
        if handler is None or isinstance(
            handler, port.NoticeHandler | port.StreamHandler
        ):
            return result.Err(
                verdicts.invalid('method', f'{frame.method!r} is unknown')
            )
        try:
            with self._spans.inner_span(f'peer.{frame.method}', frame.trace):
                return await handler(peer, frame.payload)
        except Exception as error:
            self._log_failure(frame, error)
            return result.Err(
                verdicts.Failure(
                    verdicts.Verdict.MAY_HAVE_RUN,
                    events.TASK_FAILED,
                    f'{frame.method} failed: {error!r}',
                    500,
                    RETRY_AFTER_SECONDS,
                )
            )


def _too_large(size: int) -> result.Err[verdicts.Failure]:
    return result.Err(
        verdicts.Failure(
            verdicts.Verdict.MAY_HAVE_RUN,
            events.FRAME_TOO_LARGE,
            f'answer of {size} bytes, the limit is {messages.MAX_FRAME_BYTES}',
            500,
            RETRY_AFTER_SECONDS,
        )
    )


def _answer(
    number: int, outcome: result.Result[typing.Any, verdicts.Failure]
) -> bytes:
    if isinstance(outcome, result.Ok):
        frame = messages.Frame(
            messages.FrameKind.RESPONSE, number, '', outcome.ok_value
        )
        return messages.encode(frame)
    failure = outcome.err_value
    payload = [failure.status, verdicts.to_body(failure)]
    return messages.encode(
        messages.Frame(messages.FrameKind.FAILURE, number, '', payload)
    )
