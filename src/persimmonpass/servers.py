"""Listening sockets, HTTP servers and supervised background tasks."""

import asyncio
import collections.abc
import socket
import ssl

import anyio
import hypercorn.asyncio
import hypercorn.config
from starlette import types

from persimmonpass import events

BACKLOG = 1024
RESTART_SECONDS = 0.5
SHUTDOWN_TIMEOUT_SECONDS = 1.0
# Time beyond the grace in which a server closes its connections.
CLOSE_SECONDS = 0.1
# Time for requests on connections that were accepted last.
LAST_REQUESTS_SECONDS = 0.05
# The default lets the kernel take megabytes for each caller that does not
# read, and reports a socket as writable only after a third of them was sent.
CALLER_SEND_BUFFER_BYTES = 65_536


class _Options(hypercorn.config.Config):
    """Options of a server that shares a TLS context with its daemon."""

    def __init__(self, context: ssl.SSLContext | None) -> None:
        super().__init__()
        self._context = context

    @property
    def ssl_enabled(self) -> bool:
        """Whether the server speaks TLS."""
        return self._context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context, which the daemon still owns and reloads."""
        return self._context


async def serve_http(
    app: types.ASGIApp,
    listener: socket.socket,
    stopped: anyio.Event,
    grace_seconds: collections.abc.Callable[[], float] = (
        lambda: SHUTDOWN_TIMEOUT_SECONDS
    ),
    context: ssl.SSLContext | None = None,
) -> None:
    """Serve an application on a bound socket until an event is set.

    Hypercorn does not shut down cleanly when it is cancelled. It is therefore
    shielded from cancellation, and a cancelled server closes its connections
    in the same way as a stopped one. It is cancelled all the same if it does
    not end in time, as it waits for callers that do not read their answer.

    :param listener: listening socket; the server takes it over and closes it
    :param stopped: event that stops the server
    :param grace_seconds: returns how long open connections may go on after
        that
    :param context: TLS context, which may load other certificates later;
        ``None`` for no TLS
    """
    options = _Options(context)
    descriptor = listener.detach()
    options.bind = [f'fd://{descriptor}']
    options.accesslog = None
    options.errorlog = None
    options.shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS
    options.backlog = BACKLOG
    closing = anyio.Event()
    closed = anyio.Event()
    serving = anyio.CancelScope(shield=True)

    async def serve() -> None:
        try:
            with serving:
                await hypercorn.asyncio.serve(
                    app, options, shutdown_trigger=closing.wait, mode='asgi'
                )
        except asyncio.InvalidStateError:
            # Raised by a cancelled shutdown, instead of the cancellation.
            if not serving.cancel_called:
                raise
        finally:
            closed.set()

    async def close() -> None:
        if not closed.is_set():
            await _stop_accepting(descriptor)
        options.graceful_timeout = grace_seconds()
        closing.set()
        with anyio.move_on_after(options.graceful_timeout + CLOSE_SECONDS):
            await closed.wait()
        serving.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        try:
            await stopped.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await close()


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
    """Bound what the kernel holds for callers; they inherit the option.

    ``TCP_USER_TIMEOUT`` is not set: the kernel also resets callers that read
    slowly through a small window.
    """
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES
    )


def address_of(listener: socket.socket) -> str:
    """Return the address of a bound socket as ``ip:port``."""
    ip, port = listener.getsockname()[:2]
    return f'[{ip}]:{port}' if ':' in ip else f'{ip}:{port}'
