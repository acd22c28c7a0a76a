"""Callers that read their answers slowly or not at all."""

import asyncio
import contextlib
import socket
import time
import tracemalloc
import unittest
from unittest import mock

import anyio

from persimmonpass import events
from persimmonpass.platform import app
from tests import platform_fakes
from tests import test_target_faults as faults

# Longer than the buffers of the sockets between a target and its caller.
STREAM_BYTES = 2_000_000
EVENT_BYTES = 8192
SOCKET_BUFFER_BYTES = 8192
CALLERS = 500
MAX_TRACED_BYTES = 64_000_000
STALL_SECONDS = 5.0
STALL_ENDS_SECONDS = 8.0
SLOW_PAUSE_SECONDS = 0.3
SLOW_BYTES = 280_000
# More than the caller reads in a pause.
SLOW_READ_BYTES = 6144
END = b'0\r\n\r\n'


class Streams:
    """Answers of targets that stream as fast as they are read.

    :ivar written: bytes that were written for each request, by its id
    :ivar ended: requests whose connections have ended, by time
    """

    def __init__(self, size):
        self.written = {}
        self.ended = {}
        self._size = size

    async def answer(self, target, fields, writer):
        """Send events until the stream has its size."""
        key = fields[b'request-id']
        connection = writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        # The target is no part of the host whose memory is measured.
        writer.transport.set_write_buffer_limits(0)
        self.written[key] = 0
        writer.write(faults.HEAD % (key, faults.STREAM) + faults.CHUNKED)
        number = 0
        try:
            while self.written[key] < self._size:
                number += 1
                text = b'id: %d\ndata: ' % number
                text += b'x' * (EVENT_BYTES - len(text) - 2) + b'\n\n'
                writer.write(faults.chunk(text))
                await writer.drain()
                self.written[key] += EVENT_BYTES
            writer.write(END)
            await writer.drain()
        finally:
            self.ended[key] = time.monotonic()
        return False


@contextlib.asynccontextmanager
async def calling(raw, key, deadline_ms=60_000):
    """Send a request on a new connection whose caller buffers little."""
    ip, _, port = raw.fleet.addresses['one'].rpartition(':')
    loop = asyncio.get_running_loop()
    text = (
        f'POST /notes/1 HTTP/1.1\r\nHost: {platform_fakes.HOST}\r\n'
        f'Request-Id: {key}\r\nContent-Length: 1\r\n'
        f'Deadline-Ms: {deadline_ms}\r\n\r\nx'
    )
    with socket.socket() as caller:
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
        )
        caller.setblocking(False)
        await loop.sock_connect(caller, (ip, int(port)))
        await loop.sock_sendall(caller, text.encode())
        yield caller


async def read_rest(caller, pause=0.0):
    """Return all bytes until the end of an answer or of its connection."""
    loop = asyncio.get_running_loop()
    found = bytearray()
    with contextlib.suppress(ConnectionError):
        while not found.endswith(END):
            part = await loop.sock_recv(caller, SLOW_READ_BYTES)
            if not part:
                break
            found += part
            await asyncio.sleep(pause)
    return bytes(found)


def run(test, size, slots):
    """Run a test with a gateway and one target.

    :param size: length of each stream of the target
    :param slots: requests that the target takes at the same time
    """
    terms = {'timeoutMs': 60_000, 'gapTargetMs': 20_000, 'sloMs': 20_000}
    config = platform_fakes.configuration(
        routes=[platform_fakes.route('/notes/', **terms)]
    )

    async def with_fleet():
        streams = Streams(size)
        async with platform_fakes.fleet(count=0, config=config) as fleet:
            raw = faults.RawFleet(fleet)
            entry = platform_fakes.Server
            with mock.patch.object(
                platform_fakes, 'Server', lambda name: entry(name, slots)
            ):
                await raw.add('i-fast', streams.answer)
            try:
                await test(raw, streams)
            finally:
                raw.close()

    platform_fakes.run(with_fleet)


class TestCallersThatReadNothing(unittest.TestCase):
    """They held slots until their deadlines, and buffers of the host."""

    def test_memory_is_bounded_and_targets_are_held_back(self):
        async def test(raw, streams):
            tracemalloc.start()
            try:
                async with contextlib.AsyncExitStack() as callers:
                    for number in range(CALLERS):
                        await callers.enter_async_context(
                            calling(raw, f'r{number}')
                        )
                    with anyio.fail_after(50):
                        while len(streams.written) < CALLERS:
                            await anyio.sleep(0.05)
                    await anyio.sleep(0.5)
                    peak = tracemalloc.get_traced_memory()[1]
                    self.assertFalse(streams.ended)
            finally:
                tracemalloc.stop()
            self.assertLess(peak, MAX_TRACED_BYTES)
            self.assertLess(max(streams.written.values()), STREAM_BYTES / 2)

        # All of them are there at the same time, also on a slow machine.
        with mock.patch.object(app, 'CALLER_STALL_SECONDS', 60.0):
            run(test, STREAM_BYTES, CALLERS)

    def test_caller_loses_its_slot_and_gets_no_complete_answer(self):
        async def test(raw, streams):
            async with calling(raw, 'r') as caller:
                began = time.monotonic()
                occupancy = raw.fleet.hosts['one']._occupied
                logged = []
                with mock.patch.object(
                    events, 'log', lambda event, **names: logged.append(event)
                ):
                    with anyio.fail_after(STALL_ENDS_SECONDS):
                        while b'r' not in streams.ended:
                            await anyio.sleep(0.05)
                        while occupancy.counts_at('i-fast').online:
                            await anyio.sleep(0.05)
                    self.assertGreater(time.monotonic() - began, STALL_SECONDS)
                self.assertIn(events.CALLER_STALLED, logged)
                self.assertIn(events.REQUEST_ABANDONED, logged)
                self.assertNotIn(events.REQUEST_RESUMED, logged)
                with anyio.fail_after(5):
                    found = await read_rest(caller)
                self.assertFalse(found.endswith(END))
                self.assertLess(len(found), STREAM_BYTES)
                self.assertEqual(1, len(streams.written))

        run(test, 20 * STREAM_BYTES, 8)


class TestSlowCallers(unittest.TestCase):
    """A limit on the time of one send cuts callers that read slowly."""

    def test_caller_gets_all_bytes(self):
        async def test(raw, streams):
            async with calling(raw, 'r') as caller:
                began = time.monotonic()
                with anyio.fail_after(25):
                    found = await read_rest(caller, SLOW_PAUSE_SECONDS)
                self.assertTrue(found.endswith(END))
                self.assertEqual(
                    streams.written[b'r'] // EVENT_BYTES,
                    found.count(b'data: '),
                )
                self.assertGreater(found.count(b'x'), 0.9 * SLOW_BYTES)
                self.assertGreater(
                    time.monotonic() - began, 1.5 * STALL_SECONDS
                )

        run(test, SLOW_BYTES, 8)


if __name__ == '__main__':
    unittest.main()
