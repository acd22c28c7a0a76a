"""Links between daemons, over loopback sockets."""

import contextlib
import functools
import unittest
from unittest import mock

import anyio
import anyio.abc
import parameterized
import result
import websockets
import websockets.asyncio.client

from persimmonpass import events
from persimmonpass.peers import link
from persimmonpass.peers import listener
from persimmonpass.peers import messages
from persimmonpass.peers import port
from persimmonpass import servers
from persimmonpass import verdicts

SECRET = 'fleet-secret'  # noqa: S105
TIMEOUT = 0.2


class Host:
    """One end of a link, with the calls and notices that it received."""

    def __init__(self, name, secret=SECRET):
        self.name = name
        self.calls = []
        self.release = anyio.Event()
        handlers = {
            'echo': self._echo,
            'wait': self._wait,
            'raise': self._raise,
            'grow': self._grow,
            'note': port.NoticeHandler(self._note),
        }
        self.links = link.Peers(listener.Identity(name, secret), handlers)
        self.bound = servers.listen('127.0.0.1:0')
        self.address = servers.address_of(self.bound)

    async def _echo(self, peer, payload):
        self.calls.append((peer, payload))
        return result.Ok(payload)

    async def _wait(self, peer, payload):
        self.calls.append((peer, payload))
        await self.release.wait()
        return result.Ok(payload)

    async def _grow(self, peer, payload):
        return result.Ok('x' * payload)

    async def _raise(self, peer, payload):
        raise ValueError(payload)

    def _note(self, peer, payload):
        if payload is None:
            raise ValueError('payload is None')
        self.calls.append((peer, payload))

    def call(self, method, payload=None, timeout=5.0):
        return self.links.port.call('b', method, payload, timeout)


def on_links(secret=SECRET, is_persistent=True):
    """Run a test on hosts a and b, with a link from a to b."""

    def wrap(test):
        @functools.wraps(test)
        def run(self, *arguments):
            async def body():
                a, b = Host('a', secret), Host('b')
                async with anyio.create_task_group() as tasks:
                    await tasks.start(a.links.serve, a.bound)
                    await tasks.start(b.links.serve, b.bound)
                    a.links.update_links(
                        {'b': b.address}, {'b'} if is_persistent else set()
                    )
                    with anyio.fail_after(20):
                        await test(self, a, b, *arguments)
                    tasks.cancel_scope.cancel()

            anyio.run(body)

        return run

    return wrap


async def until(check):
    """Wait until a check holds."""
    while not check():
        await anyio.sleep(0.01)


class TestCalls(unittest.TestCase):
    """Calls on one link."""

    @on_links()
    async def test_answers_out_of_order(self, a, b):
        async def wait():
            answers.append(await a.call('wait', 'slow'))

        answers = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await until(lambda: b.calls)
            for number in range(20):
                answered = await a.call('echo', number)
                self.assertEqual(result.Ok(number), answered)
            self.assertEqual([], answers)
            b.release.set()
        self.assertEqual([result.Ok('slow')], answers)

    @on_links()
    async def test_notices_are_handled_in_order(self, a, b):
        """A notice whose handler fails is skipped."""
        await a.call('echo')
        b.calls.clear()
        for payload in (1, 2, None, 3):
            self.assertTrue(a.links.port.notify('b', 'note', payload))
        port.broadcast(a.links.port, 'note', 4, {'b', 'unknown'})
        port.broadcast(a.links.port, 'note', 5, {'unknown'})
        port.broadcast(a.links.port, 'note', 6)
        await until(lambda: len(b.calls) >= 5)
        self.assertEqual(
            [('a', payload) for payload in (1, 2, 3, 4, 6)], b.calls
        )
        answered = await a.call('note', 7)
        self.assertIs(verdicts.Verdict.NOT_RUN, answered.err_value.verdict)

    @on_links()
    async def test_notice_of_a_later_build_is_dropped(self, a, b):
        """Guards against a new kind of notice that ends links in an update."""
        await a.call('echo')
        b.calls.clear()
        self.assertTrue(a.links.port.notify('b', 'crash.answered', 'f'))
        self.assertTrue(a.links.port.notify('b', 'note', 1))
        await until(lambda: b.calls)
        self.assertEqual([('a', 1)], b.calls)
        self.assertEqual(result.Ok(2), await a.call('echo', 2))

    @on_links()
    async def test_frame_that_is_too_large(self, a, b):
        """Guards against a frame that ends the link, or the process."""
        await a.call('echo')
        b.calls.clear()
        large = 'x' * messages.MAX_FRAME_BYTES
        answered = await a.call('echo', large)
        self.assertIs(verdicts.Verdict.NOT_RUN, answered.err_value.verdict)
        self.assertFalse(a.links.port.notify('b', 'note', large))
        port.broadcast(a.links.port, 'note', large)
        self.assertEqual(result.Ok('next'), await a.call('echo', 'next'))
        self.assertEqual([('a', 'next')], b.calls)

    @on_links()
    async def test_answer_that_is_too_large(self, a, b):
        """The call fails, and the others on the link go on."""
        slow = []

        async def wait():
            slow.append(await a.call('wait', 'slow'))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await until(lambda: b.calls)
            answered = await a.call('grow', messages.MAX_FRAME_BYTES)
            self.assertIs(
                verdicts.Verdict.MAY_HAVE_RUN, answered.err_value.verdict
            )
            b.release.set()
        self.assertEqual([result.Ok('slow')], slow)

    @on_links()
    async def test_link_that_fails_in_an_unexpected_way(self, a, b):
        """Guards against an error of a library that ends the process."""
        await a.call('echo')
        failing = mock.patch.object(
            link.Peers, '_read_answers', side_effect=AttributeError('resume')
        )
        with failing:
            a.links._links['b'].reset.set()
            await anyio.sleep(2 * link.RECONNECT_SECONDS)
        await anyio.sleep(2 * link.RECONNECT_SECONDS)
        self.assertEqual(result.Ok('next'), await a.call('echo', 'next'))

    @on_links()
    async def test_slow_handler_does_not_break_the_link(self, a, b):
        async def wait():
            answers.append(await a.call('wait', 'kept'))

        answers = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await until(lambda: b.calls)

            async def give_up():
                failed = await a.call('wait', 'late', timeout=TIMEOUT)
                verdict = failed.err_value.verdict
                self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, verdict)

            async with anyio.create_task_group() as second:
                second.start_soon(give_up)
                for _ in range(4):
                    await a.call('echo', 1)
                    await anyio.sleep(TIMEOUT / 3)
            b.release.set()
        self.assertEqual([result.Ok('kept')], answers)

    @parameterized.parameterized.expand(
        [
            ('raise', verdicts.Verdict.MAY_HAVE_RUN, events.TASK_FAILED),
            ('none', verdicts.Verdict.NOT_RUN, events.REQUEST_INVALID),
        ]
    )
    @on_links()
    async def test_failed_handler(self, a, b, method, verdict, event):
        failed = await a.call(method, 'x')
        self.assertIs(verdict, failed.err_value.verdict)
        self.assertEqual(event, failed.err_value.event)
        self.assertEqual(result.Ok(1), await a.call('echo', 1))

    @on_links(secret='wrong')  # noqa: S106
    async def test_wrong_secret(self, a, b):
        with anyio.move_on_after(1):
            while True:
                answered = await a.call('echo', 1, timeout=TIMEOUT)
                self.assertIsInstance(answered, result.Err)
                await anyio.sleep(0.05)
        self.assertEqual([], b.calls)

    @on_links(is_persistent=False)
    async def test_first_call_opens_a_link(self, a, b):
        self.assertEqual([], a.links.port.connected())
        self.assertEqual(result.Ok(1), await a.call('echo', 1))
        a.links.update_links({}, set())
        failed = await a.call('echo', 2)
        self.assertIs(verdicts.Verdict.NOT_RUN, failed.err_value.verdict)


class TestBrokenLinks(unittest.TestCase):
    """Links that lose their peer."""

    @on_links()
    async def test_silent_link_is_reopened(self, a, b):
        """A relay on the path stops forwarding on the first connection."""
        muted = [False]
        opened = []

        async def forward(source, sink, is_mute):
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    data = await source.receive()
                    if not is_mute():
                        await sink.send(data)

        async def serve(client):
            number = len(opened)
            opened.append(client)
            ip, port = b.address.split(':')
            async with await anyio.connect_tcp(ip, int(port)) as far:
                async with anyio.create_task_group() as tasks:
                    is_mute = lambda: muted[0] and number == 0  # noqa: E731
                    tasks.start_soon(forward, client, far, is_mute)
                    tasks.start_soon(forward, far, client, is_mute)

        async with anyio.create_task_group() as tasks:
            between = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = between.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(between.serve, serve)
            a.links.update_links({'b': f'127.0.0.1:{port}'}, {'b'})
            self.assertEqual(result.Ok(1), await a.call('echo', 1))
            muted[0] = True
            failed = await a.call('echo', 2, timeout=TIMEOUT)
            verdict = failed.err_value.verdict
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, verdict)
            await until(lambda: len(opened) > 1)
            await until(a.links.port.connected)
            self.assertEqual(result.Ok(3), await a.call('echo', 3))
            tasks.cancel_scope.cancel()

    @on_links()
    async def test_peer_restarts_at_its_address(self, a, b):
        first, second = Host('b'), Host('b')
        second.bound.close()
        second.bound = first.bound.dup()
        async with anyio.create_task_group() as tasks:
            await tasks.start(first.links.serve, first.bound)
            a.links.update_links({'b': first.address}, {'b'})
            self.assertEqual(result.Ok(1), await a.call('echo', 1))
            tasks.cancel_scope.cancel()
        await until(lambda: not a.links.port.connected())
        async with anyio.create_task_group() as tasks:
            await tasks.start(second.links.serve, second.bound)
            await until(a.links.port.connected)
            self.assertEqual(result.Ok(2), await a.call('echo', 2))
            tasks.cancel_scope.cancel()
        self.assertEqual([('a', 2)], second.calls)

    @on_links()
    async def test_connection_refused_is_not_run(self, a, b):
        free = servers.listen('127.0.0.1:0')
        address = servers.address_of(free)
        free.close()
        a.links.update_links({'b': address}, {'b'})
        failed = await a.call('echo', 1)
        self.assertIs(verdicts.Verdict.NOT_RUN, failed.err_value.verdict)

    @parameterized.parameterized.expand(
        [
            ('garbage', b'\xff\xff'),
            ('no hello', messages.encode(messages.Frame(3, 0, 'x', 'y'))),
            ('text', 'hello'),
            ('oversize', b'x' * (messages.MAX_FRAME_BYTES + 1)),
            ('silent', None),
        ]
    )
    @on_links()
    async def test_bad_client_is_closed(self, a, b, name, frame):
        url = f'ws://{b.address}'
        connect = websockets.asyncio.client.connect
        client = await connect(url, proxy=None, compression=None)
        if frame is not None:
            with contextlib.suppress(websockets.ConnectionClosed):
                await client.send(frame)
        with self.assertRaises(websockets.ConnectionClosed):
            await client.recv()
        self.assertEqual(result.Ok(1), await a.call('echo', 1))
