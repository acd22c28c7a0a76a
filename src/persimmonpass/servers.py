"""Listening sockets, HTTP servers and supervised background tasks."""

import asyncio
import collections.abc
import socket
import ssl

import anyio
from hypercorn import app_wrappers
import hypercorn.config
from starlette import types

from persimmonpass import events
from persimmonpass import http_server
from persimmonpass import intake

BACKLOG = 1024
RESTART_SECONDS = 0.5
SHUTDOWN_TIMEOUT_SECONDS = 1.0
TLS_HANDSHAKE_SECONDS = 5.0
# Time for requests on connections that were accepted last.
LAST_REQUESTS_SECONDS = 0.05
# The default lets the kernel take megabytes for each caller that does not
# read, and reports a socket as writable only after a third of them was sent.
CALLER_SEND_BUFFER_BYTES = 65_536


async def serve_http(
    app: types.ASGIApp,
    listener: socket.socket,
    stopped: anyio.Event,
    grace_seconds: collections.abc.Callable[[], float] = (
        lambda: SHUTDOWN_TIMEOUT_SECONDS
    ),
    context: ssl.SSLContext | None = None,
    callers: intake.Intake | None = None,
    idle_seconds: collections.abc.Callable[[], float] | None = None,
) -> None:
    """Serve an application on a bound socket until an event is set.

    The server is shielded from cancellation: a cancelled one closes its
    connections in the same way as a stopped one.

    :param listener: listening socket; the server takes it over and closes it
    :param stopped: event that stops the server
    :param grace_seconds: returns how long open connections may go on after
        that
    :param context: TLS context, which may load other certificates later;
        ``None`` for no TLS
    :param callers: connections of the process, which share its limits;
        ``None`` for a server with limits of its own
    :param idle_seconds: returns how long a connection may stay unused;
        ``None`` for the default of the HTTP library
    """
    options = hypercorn.config.Config()
    options.accesslog = None
    options.errorlog = None
    options.backlog = BACKLOG
    options.ssl_handshake_timeout = TLS_HANDSHAKE_SECONDS
    options.h11_max_incomplete_size = http_server.MAX_HEAD_BYTES
    options.max_app_queue_size = http_server.MAX_QUEUED_PARTS
    # Asyncio sets TCP_NODELAY only where it knows the protocol, which a socket
    # that is made from a descriptor has found out.
    listener = socket.socket(fileno=listener.detach())
    closing = anyio.Event()
    closed = anyio.Event()
    server = http_server.HttpServer(
        app_wrappers.ASGIWrapper(app),
        options,
        callers or intake.Intake(intake.limits_for()),
        idle_seconds,
    )

    async def serve() -> None:
        with anyio.CancelScope(shield=True):
            try:
                await server.serve(listener, context, closing.wait)
            finally:
                closed.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        try:
            await stopped.wait()
        finally:
            with anyio.CancelScope(shield=True):
                if not closed.is_set():
                    await _stop_accepting(listener.fileno())
                options.graceful_timeout = grace_seconds()
                closing.set()
                await closed.wait()


async def _stop_accepting(descriptor: int) -> None:
    """Take no more connections, and let the last ones begin their request.

    Asyncio drops connections that it has accepted but not set up when their
    server closes, and Hypercorn closes those that have not begun a request.
    The kernel refuses the connections that wait once the listener is closed.

    :param descriptor: the listening socket
    """
    asyncio.get_running_loop().remove_reader(descriptor)
    await anyio.sleep(LAST_REQUESTS_SECONDS)


async def keep_running(
    task: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    host: str,
) -> None:
    """Run a background task and start it again when it ends or raises.

    An exception is logged.

    :param host: id of this host, for the log
    """
    while True:
        try:
            await task()
        except Exception as error:
            events.log(
                events.TASK_FAILED,
                host=host,
                task=getattr(task, '__qualname__', repr(task)),
                message=repr(error),
            )
        await anyio.sleep(RESTART_SECONDS)


def listen(address: str) -> socket.socket:
    """Return a socket that listens on an address.

    :param address: ``ip:port``; port 0 takes a free port
    :raises OSError: if the address is in use or is not an address of this
        machine
    """
    ip, _, port = address.rpartition(':')
    ip = ip.strip('[]')
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def limit_callers(listener: socket.socket) -> None:
    """Bound what the kernel holds for callers; they inherit the options.

    ``TCP_USER_TIMEOUT`` is not set: the kernel also resets callers that read
    slowly through a small window.
    """
    for option, size in (
        (socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES),
        (socket.SO_RCVBUF, intake.RECEIVE_BUFFER_BYTES),
    ):
        listener.setsockopt(socket.SOL_SOCKET, option, size)


def address_of(listener: socket.socket) -> str:
    """Return the address of a bound socket as ``ip:port``."""
    ip, port = listener.getsockname()[:2]
    return f'[{ip}]:{port}' if ':' in ip else f'{ip}:{port}'
