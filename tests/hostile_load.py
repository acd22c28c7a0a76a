"""Crowds of callers that send too much and read too little."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import socket
import typing

import anyio

READ_BYTES = 4096
KILOBYTE = 1024
SAMPLE_SECONDS = 0.05
# A host that reads nothing for this long does not go on.
STILL_SECONDS = 1.0


class Crowd(typing.NamedTuple):
    """Callers that all send the same.

    :ivar count: number of connections
    :ivar head: bytes that each sends first
    :ivar part: bytes that each sends again and again after that
    :ivar parts: how often
    :ivar tail: bytes that each sends at last
    :ivar reads: whether the callers read what they are sent
    """

    count: int
    head: bytes
    part: bytes = b''
    parts: int = 0
    tail: bytes = b''
    reads: bool = True


class Usage(typing.NamedTuple):
    """Largest use of a process.

    :ivar bytes: resident memory, together with what has arrived for it and
        was not read
    :ivar descriptors: open descriptors
    """

    bytes: int = 0
    descriptors: int = 0


def head_of(path, *fields, host='notes.example', key='hostile'):
    """Return the head of a request."""
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {host}',
        f'Request-Id: {key}',
        *fields,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def chunk(data):
    """Return a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def sized(path, size, *fields):
    """Return the head and the body of a whole request."""
    return head_of(path, f'Content-Length: {size}', *fields), b'x' * size


def job(path, size):
    """Return the head and the body of a request that submits a job.

    :param size: about how many bytes the body has
    """
    item_bytes = size // 100
    items = [
        {
            'id': f'i{number}',
            'path': f'{path}{number}',
            'headers': {'Model': 'm'},
            'body': base64.b64encode(b'x' * (item_bytes * 3 // 4)).decode(),
            'tokens': 1,
        }
        for number in range(100)
    ]
    body = json.dumps({'items': items}).encode()
    return head_of(path, f'Content-Length: {len(body)}'), body


class Progress:
    """How far a crowd has come.

    :ivar settled: callers that have sent all or whose connection has ended
    """

    def __init__(self, crowd):
        self.settled = set()
        self._count = crowd.count

    async def wait(self, port, seconds):
        """Wait until all callers have settled and were read, or some time.

        :param port: port of the host
        """
        with anyio.move_on_after(seconds):
            while len(self.settled) < self._count:
                await anyio.sleep(SAMPLE_SECONDS)
            before = None
            while before != (unread := _unread_bytes(port)):
                before = unread
                await anyio.sleep(STILL_SECONDS)


async def _call(address, crowd, number, progress):
    """Send what a caller of a crowd sends, and stay until cancelled."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller, contextlib.suppress(OSError):
        caller.setblocking(False)
        if not crowd.reads:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        ip, _, port = address.rpartition(':')
        await loop.sock_connect(caller, (ip, int(port)))
        async with anyio.create_task_group() as tasks:
            if crowd.reads:
                tasks.start_soon(_read, loop, caller)
            head = crowd.head.replace(b'hostile', b'hostile%d' % number)
            await loop.sock_sendall(caller, head)
            for _ in range(crowd.parts):
                await loop.sock_sendall(caller, crowd.part)
            await loop.sock_sendall(caller, crowd.tail)
            progress.settled.add(number)
            await anyio.sleep_forever()


async def _read(loop, caller):
    with contextlib.suppress(OSError):
        while await loop.sock_recv(caller, 16 * READ_BYTES):
            pass


@contextlib.asynccontextmanager
async def attacking(address, crowd):
    """Have a crowd call a host while the context is open."""
    progress = Progress(crowd)
    async with anyio.create_task_group() as tasks:
        for number in range(crowd.count):
            tasks.start_soon(_ignoring_ends, address, crowd, number, progress)
        yield progress
        tasks.cancel_scope.cancel()


async def _ignoring_ends(address, crowd, number, progress):
    """Call a host; a connection that it closes ends the call."""
    with contextlib.suppress(OSError, ExceptionGroup):
        await _call(address, crowd, number, progress)
    progress.settled.add(number)


def _unread_bytes(port):
    """Return the bytes that have arrived at a local port."""
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(':')[2], 16) == port:
            total += int(fields[4].partition(':')[2], 16)
    return total


def use_of(pid, port):
    """Return what a process uses at present."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    resident = re.search(r'VmRSS:\s+(\d+)', status)
    return Usage(
        int(resident[1]) * KILOBYTE + _unread_bytes(port),
        len(os.listdir(f'/proc/{pid}/fd')),
    )


@contextlib.asynccontextmanager
async def watched(pid, port):
    """Yield a list with the largest use of a process so far."""
    found = [Usage()]

    async def watch():
        while True:
            with contextlib.suppress(OSError, TypeError):
                found[0] = Usage(*map(max, found[0], use_of(pid, port)))
            await anyio.sleep(SAMPLE_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        yield found
        tasks.cancel_scope.cancel()
