"""How requests that get no whole answer are logged."""

import contextlib
import unittest

import anyio
import eliot
import parameterized

from tests import platform_fakes

expand = parameterized.parameterized.expand

UNANSWERED = 'request_unanswered'
BODY = b'x' * 10


@contextlib.contextmanager
def logged():
    """Collect the log messages about requests without a whole answer."""
    found = []

    def collect(message):
        if UNANSWERED in message.get('message_type', ''):
            found.append(message)

    eliot.add_destinations(collect)
    # What was logged before the first destination was added.
    found.clear()
    try:
        yield found
    finally:
        eliot.remove_destination(collect)


def head_of(request_id):
    """Return the head of a request with a body of ten bytes."""
    return (
        f'POST /notes/1 HTTP/1.1\r\nHost: {platform_fakes.HOST}\r\n'
        f'Request-Id: {request_id}\r\nContent-Length: {len(BODY)}\r\n\r\n'
    ).encode()


class TestUnanswered(unittest.TestCase):
    @expand(
        [
            # What the caller sends, events before the target breaks off,
            # whether the caller closes and whether the host stops at once;
            # whether the request was read and the answer started
            ('leaves in body', BODY[:4], None, 'caller', False, False),
            ('leaves in stream', BODY, None, 'caller', True, True),
            ('target breaks off', BODY, 2, '', True, True),
            ('stop in stream', BODY, None, 'host', True, True),
        ]
    )
    def test_line_tells_how_it_ended(
        self, _, sent, cut_after, ends, is_read, has_started
    ):
        async def test():
            config = platform_fakes.configuration(
                routes=[platform_fakes.route('/notes/', maxAttempts=1)]
            )
            async with platform_fakes.fleet(count=1, config=config) as fleet:
                fleet.servers[0].pace_seconds = 0.05 if cut_after else 1.0
                fleet.servers[0].cut_after = cut_after
                ip, _, port = fleet.addresses['one'].rpartition(':')
                with logged() as found:
                    async with await anyio.connect_tcp(ip, int(port)) as call:
                        await call.send(head_of('r-1') + sent)
                        await anyio.sleep(0.3)
                        if ends == 'caller':
                            await call.aclose()
                        elif ends == 'host':
                            fleet.hosts['one'].drain()
                            fleet.hosts['one'].stop()
                        with anyio.fail_after(5):
                            while not found:
                                await anyio.sleep(0.02)
                (line,) = found
                self.assertEqual('r-1', line['key'])
                self.assertEqual(is_read, line['read'])
                self.assertEqual(has_started, line['started'])
                self.assertEqual(ends == 'host', line['draining'])
                self.assertEqual(ends == 'caller', line['left'])

        platform_fakes.run(test)

    def test_request_that_is_being_read_at_a_stop_is_answered(self):
        """Guards against requests that end with a closed connection."""

        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                ip, _, port = fleet.addresses['one'].rpartition(':')
                with logged() as found:
                    async with await anyio.connect_tcp(ip, int(port)) as call:
                        await call.send(head_of('r-1') + BODY[:4])
                        await anyio.sleep(0.3)
                        fleet.hosts['one'].drain()
                        fleet.hosts['one'].stop()
                        with anyio.fail_after(5):
                            answer = await call.receive()
                self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
                self.assertEqual([], found)
                self.assertEqual([], fleet.servers[0].runs)

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()
