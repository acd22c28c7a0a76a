"""Secrecy and withdrawal of keys in a fleet, over real connections."""

import contextlib
import unittest
from unittest import mock

import anyio

from persimmonpass import events
from persimmonpass.peers import messages
from tests import platform_fakes
from tests import test_client_accounts as account_fakes
from tests import test_key_checks as key_fakes

KEY = account_fakes.KEY
OTHER_KEY = account_fakes.OTHER_KEY
HEADERS = {'Authorization': f'Bearer {KEY}'}
HOSTS = ('one', 'two')


@contextlib.contextmanager
def capture():
    """Collect the frames that hosts send and the messages that they log."""
    frames, logged = [], []
    encode, log = messages.encode, events.log

    def record_frame(frame):
        data = encode(frame)
        frames.append(data)
        return data

    def record_log(event, **fields):
        logged.append(f'{event} {fields}')
        log(event, **fields)

    with (
        mock.patch.object(messages, 'encode', record_frame),
        mock.patch.object(events, 'log', record_log),
    ):
        yield frames, logged


class TestSecrecy(unittest.TestCase):
    def test_keys_leave_no_host(self):
        """Guards against keys in frames, logs, metrics and requests."""

        async def test():
            with capture() as (frames, logged):
                async with platform_fakes.fleet(
                    HOSTS, 1, account_fakes.configuration()
                ) as fleet:
                    for host in HOSTS:
                        answer = await fleet.post(
                            '/notes/1', 'x', host, **HEADERS
                        )
                        self.assertEqual(200, answer.status_code)
                    await key_fakes.apply_version(
                        fleet, 2, account_fakes.TENANTS
                    )
                    (server,) = fleet.servers
                    seen = str(server.headers.raw)
                    exported = b''.join(
                        host.metrics.render() for host in fleet.hosts.values()
                    )
            data = b''.join(frames)
            self.assertIn(b'tenants', data)
            self.assertIn('config_applied', ''.join(logged))
            for key in (KEY, OTHER_KEY):
                self.assertNotIn(key.encode(), data)
                self.assertNotIn(key.encode(), exported)
                self.assertNotIn(key, ''.join(logged))
                self.assertNotIn(key, seen)

        platform_fakes.run(test)


class TestWithdrawal(unittest.TestCase):
    def test_withdrawn_key_on_a_connection_that_is_kept(self):
        async def test():
            async with platform_fakes.fleet(
                HOSTS, 1, account_fakes.configuration()
            ) as fleet:
                async with key_fakes.connection(fleet, 'two') as stream:
                    request = key_fakes.head('/open/1', key_fakes.BEARER)
                    refused = key_fakes.head('/notes/1')
                    await stream.send(refused)
                    status, _ = await key_fakes.read_status(stream)
                    self.assertEqual(401, status)
                    await key_fakes.apply_version(
                        fleet, 2, [account_fakes.TENANTS[1]]
                    )
                    await stream.send(request.replace(b'/open/1', b'/notes/1'))
                    status, _ = await key_fakes.read_status(stream)
                    self.assertEqual(401, status)

        platform_fakes.run(test)

    def test_older_list_at_a_running_host_brings_no_key_back(self):
        """Guards against a stale list that puts a withdrawn key in force."""

        async def test():
            async with platform_fakes.fleet(
                HOSTS, 1, account_fakes.configuration()
            ) as fleet:
                memory = fleet.store.memory
                old = memory.rows['config', 'main']
                await key_fakes.apply_version(
                    fleet, 2, [account_fakes.TENANTS[1]]
                )
                memory.rows['config', 'main'] = old
                for host in HOSTS:
                    copy = fleet.hosts[host]._mirrors['config']
                    copy._listed = False
                await anyio.sleep(1.5)
                for host in HOSTS:
                    answer = await fleet.post('/notes/1', 'x', host, **HEADERS)
                    self.assertEqual(401, answer.status_code)

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()
