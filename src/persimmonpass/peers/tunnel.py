"""Connections to targets through a peer, over WebSockets of their own.

A host that cannot reach a target opens a tunnel to a peer that can. The peer
connects to the target and copies bytes in both directions unchanged, so that
requests and answers are the same as on a direct connection, and so is their
back pressure. It only follows where answers end, to know which tunnels carry a
request. Links with control messages carry none of it.
"""

import collections.abc
import contextlib
import typing

import anyio
import anyio.abc
import httpcore
import websockets
import websockets.asyncio.client
import websockets.asyncio.server

from persimmonpass import events
from persimmonpass.peers import listener
from persimmonpass.peers import port
from persimmonpass.targets import framing

METHOD_OPEN = 'tunnel.open'
# Tunnels that a host keeps for its peers.
MAX_TUNNELS = 256
# Shorter than the time that the other host waits for the connection.
CONNECT_TIMEOUT_SECONDS = 0.25
CLOSE_TIMEOUT_SECONDS = 0.05
MAX_MESSAGE_BYTES = 262_144
_HEAD_REQUEST = b'HEAD '

# Codes with which a tunnel is closed. Any other one means that the tunnel
# itself has failed, which says nothing about the target.
CODE_TARGET_ENDED = 4000
CODE_TARGET_RESET = 4001
CODE_NOT_CONNECTED = 4002

Open = collections.abc.Callable[
    [str, str],
    collections.abc.Awaitable[websockets.asyncio.client.ClientConnection],
]


class TunnelBrokenError(httpcore.ReadError):
    """The tunnel broke; what became of the connection is not known."""


class _Tunnel:
    """A tunnel that a peer has opened."""

    def __init__(self) -> None:
        self._is_answered = True
        self._end = framing.AnswerEnd()

    @property
    def is_in_use(self) -> bool:
        """Whether it carries a request whose answer has not ended."""
        return not self._is_answered

    def record_request(self, data: bytes) -> None:
        """Record bytes of a request, which are sent to the target."""
        if self._is_answered:
            self._is_answered = False
            self._end = framing.AnswerEnd(
                has_no_body=data.startswith(_HEAD_REQUEST)
            )

    def record_answer(self, data: bytes) -> None:
        """Record bytes of an answer, which are sent to the peer."""
        with contextlib.suppress(httpcore.RemoteProtocolError):
            # The peer reads the same bytes and judges them.
            self._end.add(data)
        self._is_answered = self._end.is_exact


class Tunnels:
    """The tunnels that peers have opened to this host."""

    def __init__(
        self, host: str, is_target: collections.abc.Callable[[str], bool]
    ) -> None:
        """Create no tunnels.

        :param is_target: whether an ``ip:port`` is the address of a target;
            tunnels lead to no other addresses
        """
        self._host = host
        self._is_target = is_target
        self._tunnels: set[_Tunnel] = set()

    @property
    def handlers(self) -> port.Handlers:
        """Handlers of peers' calls, by method."""
        return {METHOD_OPEN: port.StreamHandler(self._serve)}

    @property
    def in_use(self) -> int:
        """Number of tunnels that carry a request."""
        return sum(tunnel.is_in_use for tunnel in self._tunnels)

    async def _serve(
        self,
        peer: str,
        payload: typing.Any,
        connection: websockets.asyncio.server.ServerConnection,
    ) -> None:
        """Copy bytes between a peer and a target until one of them ends."""
        target = await self._connect(peer, payload)
        if target is None:
            await connection.close(CODE_NOT_CONNECTED)
            return
        tunnel = _Tunnel()
        self._tunnels.add(tunnel)
        try:
            async with target, anyio.create_task_group() as tasks:
                await connection.send(b'')
                tasks.start_soon(
                    _copy_to_peer, tunnel, target, connection, tasks
                )
                await _copy_to_target(tunnel, target, connection)
                tasks.cancel_scope.cancel()
        finally:
            self._tunnels.discard(tunnel)

    async def _connect(
        self, peer: str, address: typing.Any
    ) -> anyio.abc.SocketStream | None:
        cause = 'not the address of a target'
        if len(self._tunnels) >= MAX_TUNNELS:
            cause = f'{MAX_TUNNELS} tunnels are open'
        elif isinstance(address, str) and self._is_target(address):
            ip, _, number = address.rpartition(':')
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    return await anyio.connect_tcp(ip, int(number))
            except (OSError, TimeoutError) as error:
                cause = type(error).__name__
        events.log(
            events.TUNNEL_REFUSED,
            host=self._host,
            peer=peer,
            address=str(address),
            cause=cause,
        )
        return None


async def _copy_to_target(
    tunnel: _Tunnel,
    target: anyio.abc.SocketStream,
    connection: websockets.asyncio.server.ServerConnection,
) -> None:
    """Copy bytes until the peer closes the tunnel or the target is gone."""
    with contextlib.suppress(
        *listener.CLOSED, anyio.BrokenResourceError, anyio.ClosedResourceError
    ):
        async for data in connection:
            tunnel.record_request(typing.cast(bytes, data))
            await target.send(typing.cast(bytes, data))


async def _copy_to_peer(
    tunnel: _Tunnel,
    target: anyio.abc.SocketStream,
    connection: websockets.asyncio.server.ServerConnection,
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Copy bytes until the target ends, and tell the peer how it ended."""
    code = CODE_TARGET_ENDED
    with contextlib.suppress(*listener.CLOSED):
        try:
            while True:
                data = await target.receive()
                await connection.send(data)
                tunnel.record_answer(data)
        except anyio.EndOfStream:
            pass
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            code = CODE_TARGET_RESET
        await connection.close(code)
    tasks.cancel_scope.cancel()


class Backend(httpcore.AsyncNetworkBackend):
    """Opens the connections of an HTTP connection pool through a peer."""

    def __init__(self, host: str, open_tunnel: Open) -> None:
        """Create a backend.

        :param host: the peer
        :param open_tunnel: takes the peer and the ``ip:port`` of a target;
            opens a tunnel and asks the peer to connect
        """
        self._host = host
        self._open = open_tunnel

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Any = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a target.

        :raises httpcore.ConnectError: if the peer or the target cannot be
            reached; nothing was sent to the target
        """
        connection = None
        try:
            with anyio.fail_after(timeout):
                connection = await self._open(self._host, f'{host}:{port}')
                await connection.recv()
        except TimeoutError as error:
            _abort(connection)
            raise httpcore.ConnectTimeout from error
        except listener.CLOSED as error:
            _abort(connection)
            raise httpcore.ConnectError(str(error)) from error
        except BaseException:
            _abort(connection)
            raise
        return _Stream(connection)

    async def sleep(self, seconds: float) -> None:
        """Sleep before the pool tries again."""
        await anyio.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    """A connection to a target through a tunnel."""

    def __init__(
        self, connection: websockets.asyncio.client.ClientConnection
    ) -> None:
        self._connection = connection
        self._unread = b''

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes, none at the end of the connection.

        :raises TunnelBrokenError: if the tunnel broke
        """
        if not self._unread:
            try:
                with anyio.fail_after(timeout):
                    self._unread = typing.cast(
                        bytes, await self._connection.recv()
                    )
            except TimeoutError as error:
                raise httpcore.ReadTimeout from error
            except websockets.ConnectionClosed as error:
                code = error.rcvd.code if error.rcvd else None
                if code == CODE_TARGET_ENDED:
                    return b''
                if code == CODE_TARGET_RESET:
                    raise httpcore.ReadError('the target reset') from error
                raise TunnelBrokenError(f'close code {code}') from error
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes to the target."""
        try:
            with anyio.fail_after(timeout):
                for start in range(0, len(buffer), MAX_MESSAGE_BYTES):
                    await self._connection.send(
                        buffer[start : start + MAX_MESSAGE_BYTES]
                    )
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except websockets.ConnectionClosed as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the tunnel, which closes the connection to the target."""
        with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await self._connection.close()
        _abort(self._connection)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return whether bytes or the end of the connection have arrived."""
        if info == 'is_readable':
            return (
                bool(self._unread)
                or len(self._connection.recv_messages.frames) > 0
                or self._connection.state is not websockets.State.OPEN
            )
        return None


def _abort(
    connection: websockets.asyncio.client.ClientConnection | None,
) -> None:
    """Close a tunnel without waiting for the peer."""
    if connection is not None:
        connection.transport.abort()
