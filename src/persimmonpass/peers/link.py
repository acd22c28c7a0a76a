"""Links to peers over websockets.

A host sends its own calls and notices on the links that it opens; answers
come back on the same link. Some links are kept up, others are opened by the
first call and closed when unused. A link on which nothing arrives while a
call waits is closed and opened anew, since something between the ends may
have lost it.
"""

import collections.abc
import contextlib
import itertools
import socket
import typing

import anyio
import anyio.abc
import result
import websockets.asyncio.client
import websockets.asyncio.server

from persimmonpass import events
from persimmonpass.peers import listener
from persimmonpass.peers import messages
from persimmonpass.peers import port
from persimmonpass import tls
from persimmonpass import tracing
from persimmonpass import verdicts

RECONNECT_SECONDS = 0.5
IDLE_SECONDS = 30.0
NOTICE_QUEUE_FRAMES = 10_000

_CLOSED = listener.CLOSED


class _Pending:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome: result.Result[typing.Any, verdicts.Failure] | None = None


class _Link:
    """This host's link to one peer.

    :ivar kept: stays open when unused
    :ivar tried: set after the first attempt to open it
    :ivar used_at: time of the last call
    :ivar heard_at: time of the last frame from the peer
    """

    def __init__(self, host: str, address: str, kept: bool) -> None:
        self.host = host
        self.address = address
        self.kept = kept
        self.up = False
        self.tried = anyio.Event()
        self.used_at = anyio.current_time()
        self.heard_at = self.used_at
        self.pending: dict[int, _Pending] = {}
        self.scope = anyio.CancelScope()
        self.reset = anyio.Event()
        self.send, self.outbox = anyio.create_memory_object_stream[bytes](
            NOTICE_QUEUE_FRAMES
        )


class Peers:
    """All links of one daemon.

    :ivar port: calls for the rest of the daemon
    :ivar traffic: what went over the links
    """

    def __init__(
        self,
        identity: listener.Identity,
        handlers: port.Handlers,
        contexts: tls.Tls | None = None,
        spans: tracing.Tracing | None = None,
    ) -> None:
        """Make the links.

        :param contexts: links use TLS
        :param spans: where the spans of peers' calls go
        """
        self._contexts = contexts
        self._identity = identity
        self.traffic = port.Traffic()
        self._listener = listener.Listener(
            identity,
            handlers,
            self.traffic,
            spans or tracing.Tracing(identity.host),
        )
        self._links: dict[str, _Link] = {}
        self._addresses: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._tasks: anyio.abc.TaskGroup | None = None
        self.port = port.PeerPort(
            self._call, self._notify, self._connected, self._tell
        )

    async def serve(
        self,
        bound: socket.socket,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links and keep up those of :meth:`connect`.

        :param bound: bound socket for peers
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(
                websockets.asyncio.server.serve(
                    self._listener.accept,
                    sock=bound,
                    max_size=messages.MAX_FRAME_BYTES,
                    close_timeout=listener.CLOSE_TIMEOUT_SECONDS,
                    compression=None,
                    ssl=self._contexts.peer_server if self._contexts else None,
                )
            )
            self._tasks = await stack.enter_async_context(
                anyio.create_task_group()
            )
            task_status.started()
            await anyio.sleep_forever()

    def update_links(
        self,
        addresses: collections.abc.Mapping[str, str],
        kept: collections.abc.Collection[str],
    ) -> None:
        """Keep links up and know where other hosts could be called.

        :param addresses: ``ip:port`` by host
        :param kept: hosts to which a link stays up
        """
        self._addresses = dict(addresses)
        for host, link in list(self._links.items()):
            link.kept = host in kept
            if addresses.get(host) != link.address:
                self._close(link)
        for host in kept:
            if host not in self._links:
                self._open(host, addresses[host], kept=True)

    def _open(self, host: str, address: str, *, kept: bool) -> _Link:
        link = _Link(host, address, kept)
        self._links[host] = link
        if self._tasks is not None:
            self._tasks.start_soon(self._keep_up, link)
        return link

    def _close(self, link: _Link) -> None:
        link.scope.cancel()
        link.tried.set()
        if self._links.get(link.host) is link:
            del self._links[link.host]

    def _connected(self) -> list[str]:
        # A seed that is known by its address only has another link by name.
        return [
            link.host
            for link in self._links.values()
            if link.up and link.host != link.address
        ]

    def _notify(self, host: str, method: str, payload: typing.Any) -> bool:
        return self._pass_on(host, _encode_notice(method, payload))

    def _tell(
        self,
        hosts: collections.abc.Iterable[str],
        method: str,
        payload: typing.Any,
    ) -> None:
        data = _encode_notice(method, payload)
        for host in hosts:
            self._pass_on(host, data)

    def _pass_on(self, host: str, data: bytes) -> bool:
        """Return whether a link was up that takes a notice."""
        link = self._links.get(host)
        return link is not None and link.up and _enqueue(link, data)

    async def _call(
        self,
        host: str,
        method: str,
        payload: typing.Any,
        timeout: float = port.CALL_TIMEOUT_SECONDS,
    ) -> result.Result[typing.Any, verdicts.Failure]:
        started = anyio.current_time()
        not_sent = port.unreachable(host, verdicts.Verdict.NOT_RUN)
        pending = _Pending()
        number = next(self._numbers)
        frame = messages.Frame(
            messages.FrameKind.REQUEST,
            number,
            method,
            payload,
            tracing.current_parent(),
        )
        link = None
        with anyio.move_on_after(timeout) as scope:
            link = await self._find_link(host)
            if link is None or not _enqueue(link, messages.encode(frame)):
                return result.Err(not_sent)
            link.pending[number] = pending
            try:
                await pending.done.wait()
            finally:
                link.pending.pop(number, None)
        if pending.outcome is not None:
            return pending.outcome
        if link is None:
            return result.Err(not_sent)
        if scope.cancelled_caught and link.heard_at < started:
            link.reset.set()
        return result.Err(
            port.unreachable(host, verdicts.Verdict.MAY_HAVE_RUN)
        )

    async def _find_link(self, host: str) -> _Link | None:
        """Return a link that is up; one that is not there is opened."""
        link = self._links.get(host)
        if link is None:
            address = self._addresses.get(host)
            if address is None:
                return None
            link = self._open(host, address, kept=False)
        link.used_at = anyio.current_time()
        await link.tried.wait()
        return link if link.up else None

    async def _keep_up(self, link: _Link) -> None:
        with link.scope:
            while True:
                try:
                    await self._run_link(link)
                except _CLOSED:
                    pass
                finally:
                    self._take_down(link)
                if not link.kept:
                    self._close(link)
                await anyio.sleep(RECONNECT_SECONDS)

    def _take_down(self, link: _Link) -> None:
        if link.up:
            events.log(
                events.PEER_DISCONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
        link.up = False
        link.tried.set()
        link.reset = anyio.Event()
        failure = port.unreachable(link.host, verdicts.Verdict.MAY_HAVE_RUN)
        for pending in link.pending.values():
            pending.outcome = result.Err(failure)
            pending.done.set()
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                link.outbox.receive_nowait()

    async def _run_link(self, link: _Link) -> None:
        contexts = self._contexts
        async with websockets.asyncio.client.connect(
            f'{"wss" if contexts else "ws"}://{link.address}',
            ssl=contexts.peer_client if contexts else None,
            max_size=messages.MAX_FRAME_BYTES,
            open_timeout=listener.OPEN_TIMEOUT_SECONDS,
            close_timeout=listener.CLOSE_TIMEOUT_SECONDS,
            compression=None,
            proxy=None,
        ) as connection:
            await connection.send(self.traffic.sent(self._hello()))
            link.up = True
            link.heard_at = anyio.current_time()
            link.tried.set()
            events.log(
                events.PEER_CONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
            await _first_of(
                lambda: self._write(link, connection),
                lambda: self._read_answers(link, connection),
                link.reset.wait,
                lambda: _wait_idle(link),
            )

    def _hello(self) -> bytes:
        hello = messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            host=self._identity.host,
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
            data = await link.outbox.receive()
            await connection.send(self.traffic.sent(data))

    async def _read_answers(
        self,
        link: _Link,
        connection: websockets.asyncio.client.ClientConnection,
    ) -> None:
        async for data in connection:
            link.heard_at = anyio.current_time()
            frame = messages.decode(self.traffic.received(data))
            pending = link.pending.pop(frame.number, None)
            if pending is None:
                continue
            pending.outcome = _to_outcome(frame)
            pending.done.set()


def _encode_notice(method: str, payload: typing.Any) -> bytes:
    return messages.encode(
        messages.Frame(messages.FrameKind.NOTICE, 0, method, payload)
    )


def _enqueue(link: _Link, data: bytes) -> bool:
    try:
        link.send.send_nowait(data)
    except anyio.WouldBlock:
        return False
    return True


def _to_outcome(
    frame: messages.Frame,
) -> result.Result[typing.Any, verdicts.Failure]:
    if frame.kind == messages.FrameKind.RESPONSE:
        return result.Ok(frame.payload)
    status, body = frame.payload
    return result.Err(verdicts.from_body(body, status))


async def _wait_idle(link: _Link) -> None:
    """Wait until a link that need not stay up is unused."""
    while True:
        unused = anyio.current_time() - link.used_at
        if not link.kept and unused >= IDLE_SECONDS and not link.pending:
            return
        await anyio.sleep(IDLE_SECONDS)


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
