"""Links to peers over websockets.

Each host opens one link to each peer and sends its own calls and notices on
it; answers come back on the same link. A link on which a call times out is
closed and opened anew, since something between the ends may have lost it.
"""

import collections.abc
import contextlib
import hmac
import itertools
import socket
import typing

import anyio
import anyio.abc
import result
import websockets
import websockets.asyncio.client
import websockets.asyncio.server

from persimmonpass import events
from persimmonpass.peers import messages
from persimmonpass.peers import port
from persimmonpass import verdicts

RECONNECT_SECONDS = 0.5
OPEN_TIMEOUT_SECONDS = 2.0
NOTICE_QUEUE_FRAMES = 10_000

_CLOSED = (websockets.ConnectionClosed, OSError, TimeoutError)


class Identity(typing.NamedTuple):
    """How this host presents itself to peers."""

    host: str
    incarnation: int
    secret: str


class _Pending:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome: result.Result[typing.Any, verdicts.Failure] | None = None


class _Link:
    """This host's link to one peer."""

    def __init__(self, host: str, address: str) -> None:
        self.host = host
        self.address = address
        self.up = False
        self.pending: dict[int, _Pending] = {}
        self.scope = anyio.CancelScope()
        self.reset = anyio.Event()
        self.send, self.outbox = anyio.create_memory_object_stream[bytes](
            NOTICE_QUEUE_FRAMES
        )


class Peers:
    """All links of one daemon.

    :ivar port: calls for the rest of the daemon
    """

    def __init__(self, identity: Identity, handlers: port.Handlers) -> None:
        self._identity = identity
        self._handlers = handlers
        self._links: dict[str, _Link] = {}
        self._numbers = itertools.count(1)
        self._tasks: anyio.abc.TaskGroup | None = None
        self.port = port.PeerPort(self._call, self._notify, self._connected)

    async def serve(
        self,
        listener: socket.socket,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links and keep up those of :meth:`connect`.

        :param listener: bound socket for peers
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(
                websockets.asyncio.server.serve(
                    self._accept,
                    sock=listener,
                    max_size=messages.MAX_FRAME_BYTES,
                    compression=None,
                )
            )
            self._tasks = await stack.enter_async_context(
                anyio.create_task_group()
            )
            task_status.started()
            await anyio.sleep_forever()

    def connect(self, host: str, address: str) -> None:
        """Keep a link to a peer up; a changed address replaces the link."""
        present = self._links.get(host)
        if present is not None and present.address == address:
            return
        self.disconnect(host)
        link = _Link(host, address)
        self._links[host] = link
        if self._tasks is not None:
            self._tasks.start_soon(self._keep_up, link)

    def disconnect(self, host: str) -> None:
        """Close the link to a peer."""
        link = self._links.pop(host, None)
        if link is not None:
            link.scope.cancel()

    def _connected(self) -> list[str]:
        return [link.host for link in self._links.values() if link.up]

    def _notify(self, host: str, method: str, payload: typing.Any) -> bool:
        link = self._links.get(host)
        if link is None or not link.up:
            return False
        frame = messages.Frame(messages.FrameKind.NOTICE, 0, method, payload)
        return self._enqueue(link, frame)

    def _enqueue(self, link: _Link, frame: messages.Frame) -> bool:
        try:
            link.send.send_nowait(messages.encode(frame))
        except anyio.WouldBlock:
            return False
        return True

    async def _call(
        self,
        host: str,
        method: str,
        payload: typing.Any,
        timeout: float = port.CALL_TIMEOUT_SECONDS,
    ) -> result.Result[typing.Any, verdicts.Failure]:
        link = self._links.get(host)
        not_sent = port.unreachable(host, verdicts.Verdict.NOT_RUN)
        if link is None or not link.up:
            return result.Err(not_sent)
        number = next(self._numbers)
        pending = _Pending()
        link.pending[number] = pending
        frame = messages.Frame(
            messages.FrameKind.REQUEST, number, method, payload
        )
        try:
            if not self._enqueue(link, frame):
                return result.Err(not_sent)
            with anyio.move_on_after(timeout):
                await pending.done.wait()
        finally:
            link.pending.pop(number, None)
        if pending.outcome is not None:
            return pending.outcome
        link.reset.set()
        return result.Err(
            port.unreachable(host, verdicts.Verdict.MAY_HAVE_RUN)
        )

    async def _keep_up(self, link: _Link) -> None:
        with link.scope:
            while True:
                try:
                    await self._run_link(link)
                except _CLOSED:
                    pass
                finally:
                    self._take_down(link)
                await anyio.sleep(RECONNECT_SECONDS)

    def _take_down(self, link: _Link) -> None:
        if link.up:
            events.log(
                events.PEER_DISCONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
        link.up = False
        link.reset = anyio.Event()
        failure = port.unreachable(link.host, verdicts.Verdict.MAY_HAVE_RUN)
        for pending in link.pending.values():
            pending.outcome = result.Err(failure)
            pending.done.set()
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                link.outbox.receive_nowait()

    async def _run_link(self, link: _Link) -> None:
        async with websockets.asyncio.client.connect(
            f'ws://{link.address}',
            max_size=messages.MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_SECONDS,
            compression=None,
            proxy=None,
        ) as connection:
            await connection.send(self._hello())
            link.up = True
            events.log(
                events.PEER_CONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
            await _first_of(
                lambda: self._write(link, connection),
                lambda: self._read_answers(link, connection),
                link.reset.wait,
            )

    def _hello(self) -> bytes:
        hello = messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            secret=self._identity.secret,
        )
        return messages.encode(
            messages.Frame(messages.FrameKind.NOTICE, 0, 'hello', hello)
        )

    async def _write(
        self,
        link: _Link,
        connection: websockets.asyncio.client.ClientConnection,
    ) -> None:
        while True:
            await connection.send(await link.outbox.receive())

    async def _read_answers(
        self,
        link: _Link,
        connection: websockets.asyncio.client.ClientConnection,
    ) -> None:
        async for data in connection:
            frame = messages.decode(typing.cast(bytes, data))
            pending = link.pending.pop(frame.number, None)
            if pending is None:
                continue
            pending.outcome = _to_outcome(frame)
            pending.done.set()

    async def _accept(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> None:
        try:
            peer = self._check_hello(await connection.recv())
            if peer is None:
                await connection.close(code=1008, reason='not authenticated')
                return
            async with anyio.create_task_group() as tasks:
                async for data in connection:
                    frame = messages.decode(typing.cast(bytes, data))
                    tasks.start_soon(self._handle, peer, frame, connection)
        except _CLOSED + (ValueError,):
            return

    def _check_hello(self, data: str | bytes) -> str | None:
        """Return the peer's id, or ``None`` if it may not talk to us."""
        hello = messages.decode(typing.cast(bytes, data)).payload
        same = hmac.compare_digest(
            str(hello.get('secret')), self._identity.secret
        )
        if same and hello.get('protocol') == messages.PROTOCOL_VERSION:
            return str(hello['host'])
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
        handler = self._handlers.get(frame.method)
        if handler is None:
            outcome: result.Result[typing.Any, verdicts.Failure] = result.Err(
                verdicts.invalid('method', f'{frame.method!r} is unknown')
            )
        else:
            outcome = await handler(peer, frame.payload)
        if frame.kind != messages.FrameKind.REQUEST:
            return
        with contextlib.suppress(*_CLOSED):
            await connection.send(_answer(frame.number, outcome))


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


def _to_outcome(
    frame: messages.Frame,
) -> result.Result[typing.Any, verdicts.Failure]:
    if frame.kind == messages.FrameKind.RESPONSE:
        return result.Ok(frame.payload)
    status, body = frame.payload
    return result.Err(verdicts.from_body(body, status))


async def _first_of(
    *jobs: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Run jobs until one of them ends, then cancel the others."""
    async with anyio.create_task_group() as tasks:

        async def run(
            job: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        ) -> None:
            try:
                await job()
            except _CLOSED:
                pass
            tasks.cancel_scope.cancel()

        for job in jobs:
            tasks.start_soon(run, job)
