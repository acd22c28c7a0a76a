"""Services, engines and stores whose answers have no end.

The cases of targets of the gateway are in ``test_endless_answers``.
"""

import asyncio
import contextlib
import tracemalloc
import unittest

import anyio
import httpx
import parameterized

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.targets import targets
from persimmonpass import daemon
from persimmonpass.platform import store as platform_store
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass.targets import orders
from persimmonpass.targets import pools
from persimmonpass.targets import service
from tests import platform_fakes
from tests import test_endless_answers as endless

expand = parameterized.parameterized.expand
CALLS = 48
SECONDS = 3.0
# As for the targets of the gateway.
MEMORY_BYTES = endless.MEMORY_BYTES
OK_LINE = b'HTTP/1.1 200 OK\r\n'
# Bytes that are sent first, and bytes that are sent until the end.
ANSWERS = [
    ('body', OK_LINE + endless.BODY, endless.X),
    (
        'chunked body',
        OK_LINE + endless.CHUNKED + endless.BODY,
        endless._chunk(endless.X),
    ),
    ('header lines', OK_LINE, b'A: b\r\n' * 10_000),
    ('event', OK_LINE + endless.STREAM, endless.X),
    ('error', b'HTTP/1.1 500 X\r\n' + endless.BODY, endless.X),
]


def call_services(http, target):
    call = service.ServiceCall('GET', '/', {}, b'')
    port = service.connect(http, http)
    return lambda: port.call(target, call, SECONDS)


def run_completions(http, target):
    port = engine.connect(http)
    completion = engine.Completion('a', 'm', '1', '', 'p', 10)

    async def run():
        pieces = port.stream(target, completion, {})
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                if piece.is_err():
                    return piece
        return None

    return run


def read_reports(http, target):
    port = engine.connect(http)
    return lambda: port.report(target)


def read_cache_events(http, target):
    read = engine.connect_cache_events(http)
    return lambda: read(target, 0)


def read_orders(http, target):
    port = orders.connect(http)
    return lambda: port.read(target)


def list_targets(http, target):
    calls = budget.Budget(1e6, 1e6)
    return targets.make_list_call(http, f'http://{target.address}', calls)


def read_store(http, target):
    calls = budget.Budget(1e6, 1e6)
    port = store.connect(http, f'http://{target.address}', calls)
    return lambda: port.get('k')


def list_records(http, target):
    calls = budget.Budget(1e6, 1e6)
    port = platform_store.connect(http, target.address, calls)
    return lambda: port.list('servers')


CALLERS = [
    call_services,
    run_completions,
    read_reports,
    read_cache_events,
    read_orders,
    list_targets,
    read_store,
    list_records,
]


class TestEndlessAnswers(unittest.TestCase):
    """Guards against a faulty server that takes the memory of a host."""

    @expand(
        [
            (f'{make.__name__} {name}', make, head, block)
            for make in CALLERS
            for name, head, block in ANSWERS
        ]
    )
    def test_calls_fail_and_memory_is_bounded(self, _, make, head, block):
        async def test():
            async def handle(reader, writer):
                with contextlib.suppress(
                    ConnectionError, asyncio.IncompleteReadError
                ):
                    await reader.readuntil(b'\r\n\r\n')
                    writer.write(head)
                    while True:
                        writer.write(block)
                        await writer.drain()

            server = await asyncio.start_server(handle, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            target = blackboard.Target('t', f'127.0.0.1:{port}', '', '', {})
            found = []
            async with make_client(make) as http:
                call = make(http, target)

                async def run():
                    with anyio.move_on_after(SECONDS):
                        found.append(await call())

                tracemalloc.start()
                try:
                    async with anyio.create_task_group() as tasks:
                        for _ in range(CALLS):
                            tasks.start_soon(run)
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
            server.close()
            self.assertFalse([each for each in found if each.is_ok()])
            self.assertLess(peak, MEMORY_BYTES)

        platform_fakes.run(test)


def make_client(make):
    """Return the client with which a host makes the calls."""
    if make in (read_orders, list_targets, read_store, list_records):
        return daemon.make_store_client(httpx.Limits(max_connections=200))
    return pools.make_client(keep_connections=True)


if __name__ == '__main__':
    unittest.main()
