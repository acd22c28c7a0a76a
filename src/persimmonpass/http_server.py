"""HTTP/1.1 server of a process, whose connections are bounded together.

Hypercorn parses the requests and runs the application. Its own server reads
as much as callers send and also speaks other protocols, on which a single
connection may send any number of requests at once.
"""

import asyncio
import collections
import collections.abc
import contextlib
import socket
import ssl
import typing

from hypercorn.asyncio import task_group
from hypercorn.asyncio import tcp_server
from hypercorn.asyncio import worker_context
from hypercorn import config
from hypercorn import events as http_events
from hypercorn.protocol import h11
from hypercorn import typing as http_typing
from hypercorn import utils

from persimmonpass import intake

# Read at once from a connection. What has arrived beyond that waits in the
# kernel, whose buffers the listening socket bounds.
READ_BYTES = 32_768
# Asyncio does not read a connection while twice that has not been parsed.
READ_AHEAD_BYTES = intake.UNREAD_AHEAD_BYTES // 2
# Written to a connection that its caller does not read, before the
# application waits.
WRITE_BUFFER_BYTES = 16_384
# Time in which a caller has to read something of an answer that waits for it.
STALL_SECONDS = 15.0
# Time in which a caller has to read the rest of its last answer.
CLOSE_SECONDS = 10.0
# Time in which bytes that have arrived are parsed, a few turns of the event
# loop.
PARSE_SECONDS = 0.1
# Size of the head of a request, and of the head of a chunk.
MAX_HEAD_BYTES = 32_768
# Parts of a body that wait for the application.
MAX_QUEUED_PARTS = 2
# Connections that are accepted before those beyond the limits are closed; the
# others wait in the kernel. By default, asyncio accepts all of them.
ACCEPTS_AT_ONCE = 16
_CONTINUE = b'HTTP/1.1 100 '


class _Reader(asyncio.StreamReader):
    """Counts the bytes that arrive and those that are read.

    :ivar counts: what the connection holds; set once it is open
    """

    counts: intake.Connection

    def feed_data(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        super().feed_data(data)
        self.counts.record_arrived(len(data))

    async def read(self, n: int = -1) -> bytes:
        """Return the next bytes, which become part of the present request.

        Nothing is left of what had arrived before the connection was closed
        to make room: a request in it could not be answered.
        """
        data = await super().read(n)
        self.counts.record_parsed(len(data))
        return data if self.counts.is_open else b''


class _Messages:
    """Messages of one request that wait for the application.

    The connection is not read while there are too many, but never waits for
    an application that has ended, nor to tell it that the request has.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[http_typing.ASGIReceiveEvent] = (
            collections.deque()
        )
        self._changed = asyncio.Event()
        self._has_ended = False

    async def put(self, message: http_typing.ASGIReceiveEvent) -> None:
        """Add a message once there is room for it."""
        while (
            message['type'] == 'http.request'
            and len(self._waiting) >= MAX_QUEUED_PARTS
            and not self._has_ended
        ):
            await self._wait()
        if not self._has_ended:
            self._waiting.append(message)
            self._changed.set()

    async def get(self) -> http_typing.ASGIReceiveEvent:
        """Remove and return the next message."""
        while not self._waiting:
            await self._wait()
        self._changed.set()
        return self._waiting.popleft()

    def end(self) -> None:
        """Drop all messages; the application takes no more."""
        self._has_ended = True
        self._waiting.clear()
        self._changed.set()

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


class _TaskGroup(task_group.TaskGroup):
    """Tasks of a connection and of the requests on it."""

    async def spawn_app(
        self,
        app: http_typing.AppWrapper,
        config: config.Config,
        scope: http_typing.Scope,
        send: collections.abc.Callable[..., typing.Awaitable[None]],
    ) -> collections.abc.Callable[..., typing.Awaitable[None]]:
        """Run the application for a request; return how to add messages."""
        messages = _Messages()

        async def run() -> None:
            try:
                await app(scope, messages.get, send, _unused, _unused)
            except Exception:
                await config.log.exception('Error in the application')
            finally:
                messages.end()
                await send(None)

        self.spawn(run)
        return messages.put


def _unused(*arguments: object) -> typing.Any:
    """Stand for the calls that only WSGI applications make."""
    raise NotImplementedError


class _Connection(tcp_server.TCPServer):
    """A connection that speaks HTTP/1.1 only."""

    def __init__(
        self,
        server: 'HttpServer',
        counts: intake.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        super().__init__(
            server.app,
            asyncio.get_running_loop(),
            server.options,
            server.context,
            {},
            reader,
            writer,
        )
        self._server = server
        self._counts = counts

    async def run(self) -> None:
        """Serve requests until the connection has ended."""
        state = http_typing.ConnectionState({})
        intake.add_to_state(state, self._counts)
        connection = self.writer.get_extra_info('socket')
        try:
            client = connection.getpeername()
            async with _TaskGroup(self.loop) as tasks:
                self._task_group = tasks
                self.protocol = h11.H11Protocol(
                    self.app,
                    self.config,
                    self.context,
                    tasks,
                    state,
                    self.writer.get_extra_info('ssl_object') is not None,
                    utils.parse_socket_addr(connection.family, client),
                    utils.parse_socket_addr(
                        connection.family, connection.getsockname()
                    ),
                    self.protocol_send,
                )
                await self.idle_task.restart(tasks, self._idle_timeout)
                await self._read_data()
        except OSError:
            # The caller has closed the connection.
            pass
        finally:
            await self._close()

    async def protocol_send(self, event: http_events.Event) -> None:
        """Send bytes, or change the state of the connection."""
        if isinstance(event, http_events.Updated):
            if event.idle:
                self._counts.finish_request()
        elif isinstance(event, http_events.RawData):
            if not event.data.startswith(_CONTINUE):
                self._counts.record_answer()
            with contextlib.suppress(ConnectionError):
                async with self.send_lock:
                    self.writer.write(event.data)
                    await self._wait_until_sent()
                return
            await self.protocol.handle(http_events.Closed())
            return
        await super().protocol_send(event)

    async def _wait_until_sent(self) -> None:
        """Wait until more may be written.

        :raises ConnectionError: if the caller has closed the connection, or
            reads nothing; it is closed then
        """
        transport = self.writer.transport
        left = transport.get_write_buffer_size()
        while left:
            try:
                async with asyncio.timeout(STALL_SECONDS):
                    await self.writer.drain()
                return
            except TimeoutError:
                before, left = left, transport.get_write_buffer_size()
                if left >= before:
                    transport.abort()
                    raise ConnectionAbortedError('nothing is read') from None
        await self.writer.drain()

    async def _idle_timeout(self) -> None:
        """Close the connection unless a request comes, which ends this task.

        Hypercorn also closes a connection on which a request has arrived
        that is not parsed yet, and runs the application for it all the same.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._server.idle_seconds()):
                await self.context.terminated.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PARSE_SECONDS):
                while self._counts.has_unparsed:
                    await asyncio.sleep(0)
        # Nothing is read between the last look and the close.
        self.writer.close()

    async def _close(self) -> None:
        """Close the connection once its caller has read what was sent."""
        self._counts.finish_request()
        late = self.loop.call_later(CLOSE_SECONDS, self.writer.transport.abort)
        try:
            await super()._close()
        finally:
            late.cancel()

    async def _read_data(self) -> None:
        try:
            await super()._read_data()
        except (h11.H2CProtocolRequiredError, h11.H2ProtocolAssumedError):
            # HTTP/2 is not spoken here.
            self.writer.transport.abort()
            await self.protocol.handle(http_events.Closed())


class HttpServer:
    """Serves an application on a listening socket.

    :ivar app: the application
    :ivar options: options of the parser
    :ivar idle_seconds: returns how long a connection may stay unused
    :ivar context: state that the connections share
    """

    def __init__(
        self,
        app: http_typing.AppWrapper,
        options: config.Config,
        callers: intake.Intake,
        idle_seconds: collections.abc.Callable[[], float] | None = None,
    ) -> None:
        """Create a server without connections.

        :param callers: the connections of all servers of the process
        :param idle_seconds: returns how long a connection may stay unused;
            by default as long as ``options`` say
        """
        self.app = app
        self.options = options
        self.idle_seconds = idle_seconds or (
            lambda: options.keep_alive_timeout
        )
        self.context = worker_context.WorkerContext(None)
        self._callers = callers
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def serve(
        self,
        listener: socket.socket,
        tls: ssl.SSLContext | None,
        closing: collections.abc.Callable[[], typing.Awaitable[object]],
    ) -> None:
        """Serve until an event, and then until connections have ended.

        :param closing: waits for the event
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._make_protocol,
            sock=listener,
            ssl=tls,
            backlog=ACCEPTS_AT_ONCE,
            ssl_handshake_timeout=(
                self.options.ssl_handshake_timeout if tls else None
            ),
        )
        # Asyncio also takes the number for the queue of the kernel.
        listener.listen(self.options.backlog)
        try:
            await closing()
        finally:
            await self.context.terminated.set()
            server.close()
            await self._end_connections()

    async def _end_connections(self) -> None:
        """Wait for the requests in progress, and then end all of them."""
        if self._tasks:
            await asyncio.wait(
                list(self._tasks), timeout=self.options.graceful_timeout
            )
        tasks = dict(self._tasks)
        for task, writer in tasks.items():
            # What its caller has not read would hold up a cancelled task.
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_protocol(self) -> asyncio.BaseProtocol:
        return _Protocol(self, self._callers, asyncio.get_running_loop())

    def start(
        self,
        counts: intake.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection in a task."""
        task = asyncio.ensure_future(
            self._run(counts, _Connection(self, counts, reader, writer))
        )
        self._tasks[task] = writer
        task.add_done_callback(self._tasks.pop)

    async def _run(
        self, counts: intake.Connection, connection: _Connection
    ) -> None:
        try:
            await connection.run()
        finally:
            counts.close()


class _Protocol(asyncio.StreamReaderProtocol):
    """Opens a connection within the limits of the process."""

    def __init__(
        self,
        server: HttpServer,
        callers: intake.Intake,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._callers = callers
        self._server = server
        self._reader = _Reader(READ_AHEAD_BYTES, loop)
        super().__init__(self._reader, self._start, loop)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless there are too many."""
        transport = typing.cast(asyncio.Transport, transport)
        counts = self._callers.open(transport.abort)
        if counts is None:
            transport.abort()
            return
        self._reader.counts = counts
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        # What the event loop receives at once; its default is much more.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)

    def _start(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server.start(self._reader.counts, reader, writer)
