"""HTTP transport for the connections to one target."""

import collections.abc
import contextlib
import socket
import ssl
import typing

import httpcore
import httpx

from persimmonpass.peers import tunnel
from persimmonpass.targets import framing
from persimmonpass.targets import late_answers

# Interim answers of a target that sends them without end are parsed without a
# pause, which holds up the event loop.
MAX_INTERIM_BYTES = 16_384

# The event loop receives no more bytes at once. The rest of longer ones would
# be kept where the pool doesn't see it.
_MAX_RECEIVED_BYTES = 262_144
# What the kernel may hold of an answer that is not read. The default lets it
# take megabytes for each caller that does not read.
_SOCKET_OPTIONS = ((socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536),)
_STATUS_LINE_START = b'HTTP/'
# The status line up to the status, as in ``HTTP/1.1 100``.
_STATUS_START = 9
_STATUS_END = 12
_SWITCHING_PROTOCOLS = b'101'


class RelayBrokenError(httpx.ReadError):
    """The connection to the peer broke; the request may have run."""


_ERRORS: dict[type[Exception], type[httpx.TransportError]] = {
    tunnel.TunnelBrokenError: RelayBrokenError,
    httpcore.ConnectError: httpx.ConnectError,
    httpcore.ReadError: httpx.ReadError,
    httpcore.WriteError: httpx.WriteError,
    httpcore.NetworkError: httpx.NetworkError,
    httpcore.ConnectTimeout: httpx.ConnectTimeout,
    httpcore.ReadTimeout: httpx.ReadTimeout,
    httpcore.WriteTimeout: httpx.WriteTimeout,
    httpcore.PoolTimeout: httpx.PoolTimeout,
    httpcore.TimeoutException: httpx.TimeoutException,
    httpcore.LocalProtocolError: httpx.LocalProtocolError,
    httpcore.RemoteProtocolError: httpx.RemoteProtocolError,
    httpcore.ProtocolError: httpx.ProtocolError,
    httpcore.UnsupportedProtocol: httpx.UnsupportedProtocol,
}


class _InterimBytes:
    """Counts the bytes of interim answers before the head of an answer."""

    def __init__(self) -> None:
        self._size = 0
        # Start of a head that has not arrived in full.
        self._unread = b''
        self._in_body = False

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived.

        :raises httpcore.RemoteProtocolError: if the interim answers are
            longer than ``MAX_INTERIM_BYTES`` or something else than a head
            has arrived
        """
        if self._in_body:
            return
        data = self._unread + data
        start = 0
        while len(data) - start >= _STATUS_END:
            if not data.startswith(_STATUS_LINE_START, start):
                # Also the rest of a head whose start came with the previous
                # answer. It cannot be told where the next head starts.
                raise httpcore.RemoteProtocolError(
                    'answer does not start with a status line'
                )
            status = data[start + _STATUS_START : start + _STATUS_END]
            if status[:1] != b'1' or status == _SWITCHING_PROTOCOLS:
                self._in_body = True
                self._unread = b''
                return
            end = framing.HEAD_END.search(data, start)
            size = (end.end() if end else len(data)) - start
            if self._size + size > MAX_INTERIM_BYTES:
                raise httpcore.RemoteProtocolError(
                    'interim answers too long: the limit is '
                    f'{MAX_INTERIM_BYTES}'
                )
            if end is None:
                break
            self._size += size
            start = end.end()
        self._unread = data[start:]


class _Stream(httpcore.AsyncNetworkStream):
    """A connection that bounds the interim answers to each request.

    After an answer that anything follows it is closed, since that would be
    taken for the answer to the next request.
    """

    def __init__(
        self,
        stream: httpcore.AsyncNetworkStream,
        read_id: late_answers.ReadId,
    ) -> None:
        self._stream = stream
        self._read_id = read_id
        self._late = late_answers.LateAnswers(read_id)
        self._interim = _InterimBytes()
        self._end = framing.AnswerEnd()
        self._is_writing = False
        self._unread = b''
        self._is_retired = False

    @property
    def _is_clean(self) -> bool:
        """Whether the last answer may be followed by another one."""
        return self._end.is_exact and not self._unread and not self._is_retired

    def retire(self) -> None:
        """Let the pool close the connection after the present request."""
        self._is_retired = True

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes, none at the end of the connection.

        :raises httpcore.RemoteProtocolError: if the interim answers are too
            long
        """
        self._is_writing = False
        while not self._unread:
            received = await self._stream.read(
                max(max_bytes, _MAX_RECEIVED_BYTES), timeout
            )
            if not received:
                return b''
            self._unread = self._late.drop(received)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        self._interim.add(data)
        self._end.add(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request, whose answer has not been read."""
        self._interim = _InterimBytes()
        if not self._is_writing:
            self._is_writing = True
            self._late.begin(buffer)
            self._end = framing.AnswerEnd(
                has_no_body=buffer.startswith(framing.HEAD_REQUEST)
            )
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        return _Stream(
            await self._stream.start_tls(
                ssl_context, server_hostname, timeout
            ),
            self._read_id,
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Return details of the connection."""
        if info == 'is_readable' and not self._is_clean:
            # The pool takes an idle connection that can be read for closed.
            return True
        return self._stream.get_extra_info(info)


class _Backend(httpcore.AsyncNetworkBackend):
    """Opens connections that bound interim answers."""

    def __init__(
        self,
        backend: httpcore.AsyncNetworkBackend,
        read_id: late_answers.ReadId,
    ) -> None:
        self._backend = backend
        self._read_id = read_id

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Any = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a target."""
        return _Stream(
            await self._backend.connect_tcp(
                host,
                port,
                timeout,
                local_address,
                (*(socket_options or ()), *_SOCKET_OPTIONS),
            ),
            self._read_id,
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep before the pool tries again."""
        await self._backend.sleep(seconds)


class _Body(httpx.AsyncByteStream):
    """Body of an answer, with the errors of the HTTP client."""

    def __init__(self, stream: typing.Any) -> None:
        self._stream = stream

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        with _translate_errors():
            async for part in self._stream:
                yield part

    async def aclose(self) -> None:
        """Close the body and, if it has not ended, its connection."""
        await self._stream.aclose()


class Transport(httpx.AsyncBaseTransport):
    """Connection pool of one target."""

    def __init__(
        self,
        limits: httpx.Limits,
        context: ssl.SSLContext,
        backend: httpcore.AsyncNetworkBackend | None = None,
        read_id: late_answers.ReadId = lambda headers: '',
    ) -> None:
        """Create a pool without connections.

        :param limits: limits of the pool
        :param context: TLS context
        :param backend: opens the connections if they are not direct
        :param read_id: tells late answers from the one that is due
        """
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_Backend(
                backend or httpcore.AnyIOBackend(), read_id
            ),
        )

    @property
    def is_idle(self) -> bool:
        """Whether no connection is open for a request."""
        return all(
            connection.is_idle() or connection.is_closed()
            for connection in self._pool.connections
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request.

        :raises RelayBrokenError: if the tunnel to a peer broke
        """
        url = request.url
        with _translate_errors():
            response = await self._pool.handle_async_request(
                httpcore.Request(
                    method=request.method,
                    url=httpcore.URL(
                        scheme=url.raw_scheme,
                        host=url.raw_host,
                        port=url.port,
                        target=url.raw_path,
                    ),
                    headers=request.headers.raw,
                    content=request.stream,
                    extensions=request.extensions,
                )
            )
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_Body(response.stream),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def retire(response: httpx.Response) -> None:
    """Let no other request use the connection of a response.

    To be called before the end of the response has been read.
    """
    stream = response.extensions.get('network_stream')
    if isinstance(stream, _Stream):
        stream.retire()


@contextlib.contextmanager
def _translate_errors() -> collections.abc.Iterator[None]:
    """Raise the errors of the connection pool as those of the HTTP client."""
    try:
        yield
    except tuple(_ERRORS) as error:
        kind = next(_ERRORS[k] for k in type(error).__mro__ if k in _ERRORS)
        raise kind(str(error)) from error
