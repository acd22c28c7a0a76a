"""The drain of a host, on a paused clock and in a real process."""

import json
import signal
import time
import unittest

import anyio
import parameterized

from persimmonpass.controllers.fleet import drain
from persimmonpass.policy import relay
from persimmonpass.standins import engine
from tests import fakes
from tests import processes
from tests import test_membership

TTL = 5.0
LIMIT = 60.0
KEPT_SECONDS = TTL + drain.ANSWER_MARGIN_SECONDS
# A peer that has applied the notice confirms within milliseconds.
CONFIRM_SECONDS = 1.0


class Peers:
    """Ports of a drain whose peers behave as a row of the table describes.

    The behaviour of a peer is a mapping: ``confirms`` is the time after which
    it confirms, ``ttl`` the TTL that it returns, ``dies`` the time at which
    it dies and ``joins`` the time at which it joins, in seconds.
    """

    def __init__(self, peers, in_progress_until=0.0, was_published=True):
        self._peers = peers
        self._in_progress_until = in_progress_until
        self._was_published = was_published
        self.ports = drain.DrainPorts(
            lambda: self._was_published, self._list, self._confirm, self._count
        )

    def _list(self):
        now = anyio.current_time() - self.started_at
        return [
            host
            for host, peer in self._peers.items()
            if peer.get('joins', 0) <= now < peer.get('dies', LIMIT * 2)
        ]

    async def _confirm(self, host):
        peer = self._peers[host]
        await anyio.sleep(0.01)
        if anyio.current_time() - self.started_at < peer.get('confirms', 0):
            return None
        return peer.get('ttl', TTL)

    def _count(self):
        return int(
            anyio.current_time() - self.started_at < self._in_progress_until
        )


NEVER = {'confirms': LIMIT * 2}
ROWS = [
    # name, peers, keywords, reason, seconds, unconfirmed, in progress
    ('only host', {}, {}, 'confirmed', KEPT_SECONDS, [], 0),
    ('all', {'a': {}, 'b': {}}, {}, 'confirmed', KEPT_SECONDS, [], 0),
    ('late', {'a': {}, 'b': {'confirms': 9}}, {}, 'confirmed',
     9 + KEPT_SECONDS, [], 0),
    ('longer ttl', {'a': {'ttl': 20.0}}, {}, 'confirmed',
     KEPT_SECONDS + 15, [], 0),
    ('joins', {'a': {}, 'b': {'joins': 4}}, {}, 'confirmed', 4 + KEPT_SECONDS,
     [], 0),
    ('dies', {'a': {}, 'b': {**NEVER, 'dies': 30}}, {}, 'confirmed', 30,
     [], 0),
    ('never', {'a': {}, 'b': NEVER}, {}, 'limit', LIMIT, ['b'], 0),
    ('busy', {'a': {}}, {'in_progress_until': 30}, 'confirmed', 30, [], 0),
    ('too busy', {'a': {}}, {'in_progress_until': LIMIT * 2}, 'limit', LIMIT,
     [], 1),
    ('not ready', {'a': {}}, {'was_published': False}, 'confirmed', 0, [], 0),
]  # fmt: skip


class TestDrain(unittest.TestCase):
    """When a drain ends and what it reports."""

    @parameterized.parameterized.expand(ROWS)
    def test_report(self, name, peers, options, reason, seconds, hosts, busy):
        report = self._drain(Peers(peers, **options))
        self.assertEqual(reason, report.reason)
        self.assertEqual(hosts, report.unconfirmed)
        self.assertEqual(busy, report.in_progress)
        self.assertGreaterEqual(report.seconds, seconds)
        self.assertLess(report.seconds, seconds + 1)

    @parameterized.parameterized.expand([(0.0,), (10.0,)])
    def test_second_signal(self, after):
        peers = Peers({'b': NEVER}, in_progress_until=LIMIT)
        report = self._drain(peers, stop_after=after)
        self.assertEqual(('stopped', ['b'], 1), report[0:1] + report[2:])
        self.assertLess(report.seconds, after + 1)

    def _drain(self, peers, stop_after=None):
        reports = []

        async def body():
            peers.started_at = anyio.current_time()
            tested_drain = drain.Drain('me', peers.ports, TTL, LIMIT)
            async with anyio.create_task_group() as tasks:
                if stop_after == 0:
                    tested_drain.stop()
                elif stop_after is not None:
                    tasks.start_soon(stop, tested_drain)
                reports.append(await tested_drain.run())

        async def stop(tested_drain):
            await anyio.sleep(stop_after)
            tested_drain.stop()

        fakes.run(body)
        return reports[0]

    @test_membership.on_fleet
    async def test_confirmed_generation(self, fleet):
        await fleet.start('a1', 'a2', 'b1')
        leaving = fleet.controllers['b1']
        self.assertTrue(leaving.leave())
        fleet.network.silent.add('a2')
        self.assertIsNone(await leaving.confirm_leaving('a2'))
        fleet.network.silent.clear()
        for host in ('a1', 'a2'):
            self.assertEqual(0.0, await leaving.confirm_leaving(host))
            row = fleet.boards[host].members.get('b1')
            self.assertEqual(leaving.me, row)
            self.assertNotIn('b1', fleet.controllers[host].live_hosts())
        await leaving.deregister()
        fleet.kill('b1')
        await anyio.sleep(1)
        self.assertEqual({'dead'}, fleet.states('b1'))
        self.assertNotIn('members/b1', fleet.store.objects)

    @parameterized.parameterized.expand(
        [(3,), (relay.MESH_HOSTS,), (relay.MESH_HOSTS + 1,), (53,)]
    )
    @test_membership.on_fleet
    async def test_stop_in_a_large_fleet_ends_the_registration(
        self, fleet, count
    ):
        await fleet.start(*(f'a{number}' for number in range(count)))
        leaving = fleet.controllers['a0']
        leaving.leave()
        await leaving.deregister()
        self.assertNotIn('members/a0', fleet.store.objects)
        fleet.kill('a0')
        await anyio.sleep(2)
        self.assertEqual({'dead'}, fleet.states('a0'))


class TestProcess(unittest.TestCase):
    """Three daemons, one of which gets a signal."""

    def setUp(self):
        self.fleet = processes.Fleet(('ruai', 'kasarani', 'embakasi'))
        self.addCleanup(self.fleet.close)
        self.fleet.start_service('crews', 'ruai')
        applied = self.fleet.run_tool(
            'apply', '-f', str(processes.ROOT / 'examples' / 'athi')
        )
        assert applied.returncode == 0, applied.stderr
        self.fleet.wait_ready()
        self.drained, self.other = self.fleet.hosts[0], self.fleet.hosts[1]
        processes.wait_until(lambda: self._call(self.drained, 0) == 200)

    def _call(self, host, number):
        answer = processes.CLIENT.post(
            f'{host.caller}/v1/services/crews/dispatch',
            content=b'station 9',
            headers={
                'Authorization': 'Bearer athi-desk-token',
                'Idempotency-Key': f'{host.host}-{number}',
            },
        )
        self.connection = answer.headers.get('connection')
        return answer.status_code

    def test_kept_answers_are_served(self):
        """Callers may use an address for the TTL of its last entry answer."""
        entry = f'{self.other.caller}/v1/entry'
        address = self.drained.caller.removeprefix('http://')
        statuses = []
        last_given = time.monotonic()
        self.drained.send(signal.SIGTERM)
        number = 1
        while time.monotonic() - last_given < 0.5:
            answer = processes.CLIENT.get(entry).json()
            if address in answer['addresses']:
                last_given = time.monotonic()
            statuses.append(self._call(self.drained, number))
            number += 1
        self.assertEqual({200}, set(statuses))
        self.assertEqual('close', self.connection)
        processes.wait_until(lambda: self.drained.process.poll() is not None)
        self.assertEqual(0, self.drained.process.returncode)
        self.assertIsNotNone(self.drained.find_event('drain_finished'))
        self.assertIsNone(self.drained.find_event('drain_unconfirmed'))

    def test_stream_in_progress_is_not_cut(self):
        self.fleet.start_engine('engine-0', 'ruai', 'pumpread@3')
        tokens = 200
        body = {'model': 'pumpread', 'prompt': 'p', 'max_tokens': tokens}
        headers = {'Authorization': 'Bearer athi-desk-token'}
        url = f'{self.drained.caller}/v1/completions'
        processes.wait_until(
            lambda: (
                processes.CLIENT.post(
                    url, json={**body, 'max_tokens': 1}, headers=headers
                ).is_success
            )
        )
        with processes.CLIENT.stream(
            'POST', url, json={**body, 'stream': True}, headers=headers
        ) as answer:
            lines = answer.iter_lines()
            first = next(lines)
            self.drained.send(signal.SIGTERM)
            rest = [line for line in lines if line]
        texts = [
            json.loads(line.removeprefix('data: '))['choices'][0]['text']
            for line in [first, *rest[:-1]]
        ]
        self.assertEqual('data: [DONE]', rest[-1])
        self.assertEqual(engine.full_text('p', tokens), ''.join(texts))
        processes.wait_until(lambda: self.drained.process.poll() is not None)
        self.assertEqual(0, self.drained.process.returncode)

    def test_second_signal_with_a_frozen_peer(self):
        self.other.send(signal.SIGSTOP)
        self.drained.send(signal.SIGTERM)
        processes.wait_until(lambda: self.drained.find_event('drain_started'))
        # Wait until the other peer has confirmed, or it would be named too.
        entry = f'{self.fleet.hosts[2].caller}/v1/entry'
        address = self.drained.caller.removeprefix('http://')
        processes.wait_until(
            lambda: (
                address not in processes.CLIENT.get(entry).json()['addresses']
            )
        )
        time.sleep(CONFIRM_SECONDS)
        self.drained.send(signal.SIGTERM)
        processes.wait_until(lambda: self.drained.process.poll() is not None)
        logged = self.drained.find_event('drain_unconfirmed')
        self.assertEqual('stopped', logged['reason'])
        self.assertEqual([self.other.host], logged['peers'])


class TestNotReady(unittest.TestCase):
    """A daemon that never loaded a configuration."""

    def test_signal_before_ready(self):
        platform = processes.Standin('platform')
        self.addCleanup(platform.close)
        platform.set_faults(outage=True)
        host = processes.Host(
            'alone', 'ruai', '--store-url', f'http://{platform.address}'
        )
        self.addCleanup(host.close)
        self.assertFalse(host.is_ready())
        host.send(signal.SIGTERM)
        processes.wait_until(lambda: host.process.poll() is not None)
        self.assertEqual(0, host.process.returncode)
        self.assertIsNotNone(host.find_event('drain_finished'))
