"""Links to peers over WebSockets.

A host sends its own calls and notices on the links that it opens, and the
answers come back on the same link. Persistent links stay open. Other links
are opened by the first call and closed when idle. If nothing arrives on a
link while a call waits for its answer, the link is closed and reopened,
because a device on the path may have dropped the connection.
"""

import collections
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
    """A call that waits for its answer.

    :ivar done: set when ``outcome`` is known
    """

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome: result.Result[typing.Any, verdicts.Failure] | None = None


class _Outbox:
    """Frames that wait to be sent on a link.

    It replaces a memory object stream of anyio, whose ``receive`` costs about
    as much processor time as sending a frame.
    """

    def __init__(self) -> None:
        self._frames: collections.deque[bytes] = collections.deque()
        self._filled = anyio.Event()

    def put(self, data: bytes) -> bool:
        """Add a frame, and return whether it will be sent.

        A peer closes the link when a frame is larger than it accepts.
        """
        if len(data) > messages.MAX_FRAME_BYTES:
            events.log(
                events.FRAME_TOO_LARGE,
                bytes=len(data),
                limit=messages.MAX_FRAME_BYTES,
            )
            return False
        if len(self._frames) >= NOTICE_QUEUE_FRAMES:
            return False
        self._frames.append(data)
        self._filled.set()
        return True

    async def get(self) -> bytes:
        """Wait for a frame and remove it."""
        while not self._frames:
            self._filled = anyio.Event()
            await self._filled.wait()
        return self._frames.popleft()

    def clear(self) -> None:
        """Drop all frames."""
        self._frames.clear()


class _Link:
    """This host's link to one peer.

    :ivar host: id of the peer, or its address if the id is not known
    :ivar address: ``ip:port`` of the peer
    :ivar persistent: whether the link stays open when idle
    :ivar attempted: set after the first attempt to open the link
    :ivar used_at: local clock at the last call, in seconds
    :ivar received_at: local clock at the last frame from the peer, in
        seconds
    :ivar pending: calls that wait for an answer, by frame number
    :ivar reset: set to close and reopen the link
    :ivar outbox: frames that wait to be sent
    """

    def __init__(self, host: str, address: str, persistent: bool) -> None:
        self.host = host
        self.address = address
        self.persistent = persistent
        self.is_up = False
        self.attempted = anyio.Event()
        self.used_at = anyio.current_time()
        self.received_at = self.used_at
        self.pending: dict[int, _Pending] = {}
        self.scope = anyio.CancelScope()
        self.reset = anyio.Event()
        self.outbox = _Outbox()


class Peers:
    """All links of one daemon.

    :ivar port: interface for the rest of the daemon
    :ivar traffic: counts of frames and bytes on the links
    """

    def __init__(
        self,
        identity: listener.Identity,
        handlers: port.Handlers,
        contexts: tls.TlsContexts | None = None,
        spans: tracing.Tracing | None = None,
    ) -> None:
        """Create the links.

        :param identity: how this host identifies itself to peers
        :param handlers: handlers of peers' calls and notices, by method
        :param contexts: TLS contexts; without them links use plain text
        :param spans: where the spans of peers' calls are recorded
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
            self._call, self._notify, self._connected, self._notify_many
        )

    async def serve(
        self,
        bound: socket.socket,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links from peers and keep this host's own links open.

        Runs until cancelled.

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
        persistent: collections.abc.Collection[str],
    ) -> None:
        """Set the addresses of peers and the links to keep open.

        :param addresses: ``ip:port`` by host
        :param persistent: hosts to which a link stays open
        """
        self._addresses = dict(addresses)
        for host, link in list(self._links.items()):
            link.persistent = host in persistent
            if addresses.get(host) != link.address:
                self._close(link)
        for host in persistent:
            if host not in self._links:
                self._open(host, addresses[host], persistent=True)

    def _open(self, host: str, address: str, *, persistent: bool) -> _Link:
        link = _Link(host, address, persistent)
        self._links[host] = link
        if self._tasks is not None:
            self._tasks.start_soon(self._maintain, link)
        return link

    def _close(self, link: _Link) -> None:
        link.scope.cancel()
        link.attempted.set()
        if self._links.get(link.host) is link:
            del self._links[link.host]

    def _connected(self) -> list[str]:
        # A link to a seed peer that is known only by its address is left out:
        # the peer gets another link under its host id.
        return [
            link.host
            for link in self._links.values()
            if link.is_up and link.host != link.address
        ]

    def _notify(self, host: str, method: str, payload: typing.Any) -> bool:
        return self._send_notice(host, _encode_notice(method, payload))

    def _notify_many(
        self,
        hosts: collections.abc.Iterable[str],
        method: str,
        payload: typing.Any,
    ) -> None:
        data = _encode_notice(method, payload)
        for host in hosts:
            self._send_notice(host, data)

    def _send_notice(self, host: str, data: bytes) -> bool:
        """Return whether the notice was queued on a link that is up."""
        link = self._links.get(host)
        return link is not None and link.is_up and link.outbox.put(data)

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
            if link is None or not link.outbox.put(messages.encode(frame)):
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
        if scope.cancelled_caught and link.received_at < started:
            link.reset.set()
        return result.Err(
            port.unreachable(host, verdicts.Verdict.MAY_HAVE_RUN)
        )

    async def _find_link(self, host: str) -> _Link | None:
        """Return a link that is up; a missing one is opened first."""
        link = self._links.get(host)
        if link is None:
            address = self._addresses.get(host)
            if address is None:
                return None
            link = self._open(host, address, persistent=False)
        link.used_at = anyio.current_time()
        await link.attempted.wait()
        return link if link.is_up else None

    async def _maintain(self, link: _Link) -> None:
        with link.scope:
            while True:
                try:
                    await self._run_link(link)
                except _CLOSED:
                    pass
                except Exception as error:
                    # One link must not end the others. Closing a connection
                    # may raise errors of the libraries below.
                    events.log(
                        events.TASK_FAILED,
                        host=self._identity.host,
                        task=f'link to {link.host}',
                        message=repr(error),
                    )
                finally:
                    self._mark_down(link)
                if not link.persistent:
                    self._close(link)
                await anyio.sleep(RECONNECT_SECONDS)

    def _mark_down(self, link: _Link) -> None:
        if link.is_up:
            events.log(
                events.PEER_DISCONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
        link.is_up = False
        link.attempted.set()
        link.reset = anyio.Event()
        failure = port.unreachable(link.host, verdicts.Verdict.MAY_HAVE_RUN)
        for pending in link.pending.values():
            pending.outcome = result.Err(failure)
            pending.done.set()
        link.outbox.clear()

    async def open_stream(
        self, host: str, method: str, payload: typing.Any
    ) -> websockets.asyncio.client.ClientConnection:
        """Open a connection that a peer's stream handler takes over.

        :param host: id of the peer
        :raises OSError: if the address of the peer is not known, or if it
            cannot be reached
        """
        address = self._addresses.get(host)
        if address is None:
            raise OSError(f'expected the address of peer {host}, got none')
        connection = await self._connect(address)
        try:
            for data in (
                self._hello(),
                messages.encode(
                    messages.Frame(
                        messages.FrameKind.REQUEST, 1, method, payload
                    )
                ),
            ):
                await connection.send(self.traffic.count_sent(data))
        except BaseException:
            connection.transport.abort()
            raise
        return connection

    def _connect(self, address: str) -> websockets.asyncio.client.connect:
        contexts = self._contexts
        return websockets.asyncio.client.connect(
            f'{"wss" if contexts else "ws"}://{address}',
            ssl=contexts.peer_client if contexts else None,
            max_size=messages.MAX_FRAME_BYTES,
            open_timeout=listener.OPEN_TIMEOUT_SECONDS,
            close_timeout=listener.CLOSE_TIMEOUT_SECONDS,
            compression=None,
            proxy=None,
        )

    async def _run_link(self, link: _Link) -> None:
        async with self._connect(link.address) as connection:
            await connection.send(self.traffic.count_sent(self._hello()))
            link.is_up = True
            link.received_at = anyio.current_time()
            link.attempted.set()
            events.log(
                events.PEER_CONNECTED,
                host=self._identity.host,
                peer=link.host,
            )
            await _run_until_first_ends(
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
            data = await link.outbox.get()
            await connection.send(self.traffic.count_sent(data))

    async def _read_answers(
        self,
        link: _Link,
        connection: websockets.asyncio.client.ClientConnection,
    ) -> None:
        async for data in connection:
            link.received_at = anyio.current_time()
            frame = messages.decode(self.traffic.count_received(data))
            pending = link.pending.pop(frame.number, None)
            if pending is None:
                continue
            pending.outcome = _to_outcome(frame)
            pending.done.set()


def _encode_notice(method: str, payload: typing.Any) -> bytes:
    return messages.encode(
        messages.Frame(messages.FrameKind.NOTICE, 0, method, payload)
    )


def _to_outcome(
    frame: messages.Frame,
) -> result.Result[typing.Any, verdicts.Failure]:
    if frame.kind == messages.FrameKind.RESPONSE:
        return result.Ok(frame.payload)
    status, body = frame.payload
    return result.Err(verdicts.from_body(body, status))


async def _wait_idle(link: _Link) -> None:
    """Wait until a link that need not stay open is idle."""
    while True:
        unused = anyio.current_time() - link.used_at
        if not link.persistent and unused >= IDLE_SECONDS and not link.pending:
            return
        await anyio.sleep(IDLE_SECONDS)


async def _run_until_first_ends(
    *jobs: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Run jobs until the first of them ends, then cancel the others."""
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
