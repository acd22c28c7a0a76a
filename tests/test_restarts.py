"""Restarts of hosts and targets: nothing that ended is used again."""

import itertools
import math
import unittest

import anyio
import httpx
import parameterized

from persimmonpass import gateway
from persimmonpass import gateway_front
from tests import platform_fakes
from tests import test_client_accounts as account_fakes
from tests import test_key_checks as key_fakes

expand = parameterized.parameterized.expand

HOSTS = ('one', 'two')
WITHDRAWN = {'Authorization': f'Bearer {account_fakes.KEY}'}
VALID = {'Authorization': f'Bearer {account_fakes.OTHER_KEY}'}
# Bound of the requirement on withdrawn keys at hosts without the store.
REVOKE_SECONDS = 5.0
# How long callers may keep an entry answer.
KEPT_SECONDS = gateway.ENTRY_TTL_FACTOR * gateway_front.ENTRY_TTL_SECONDS


async def stop_host(fleet, name):
    """Stop a host and wait for its end."""
    fleet.hosts[name].drain()
    fleet.hosts[name].stop()
    with anyio.fail_after(10):
        await fleet.stopped[name].wait()


async def record_versions(fleet, name, seen):
    """Collect the versions of the configuration that a new host uses."""
    before = fleet.hosts[name]
    while True:
        host = fleet.hosts[name]
        known = host is not before and host.board.routes.get('routes')
        if known:
            seen.add(known.version)
        await anyio.sleep(0)


class TestRestartedHosts(unittest.TestCase):
    @expand(
        [
            # Lists of the store are never stale, so that a host which starts
            # reads the newest configuration.
            ('one host', ('one',)),
            ('all hosts', HOSTS),
        ]
    )
    def test_nothing_that_ended_is_used_again(self, _, restarted):
        """Guards against old keys, targets and routes after a restart."""

        async def test():
            async with platform_fakes.fleet(
                HOSTS, 2, account_fakes.configuration()
            ) as fleet:
                memory = fleet.store.memory
                left, _ = fleet.servers
                memory.remove('servers', left.name)
                await key_fakes.apply_version(
                    fleet, 2, [account_fakes.TENANTS[1]]
                )
                for name in restarted:
                    await stop_host(fleet, name)
                seen = set()
                async with anyio.create_task_group() as tasks:
                    for name in restarted:
                        tasks.start_soon(record_versions, fleet, name, seen)
                        await anyio.sleep(0)
                        await fleet.start_host(name, fleet.store_address)
                    left.headers = {}
                    for name in restarted:
                        for _ in range(6):
                            answer = await fleet.post(
                                '/notes/1', 'x', name, **VALID
                            )
                            self.assertEqual(200, answer.status_code)
                        answer = await fleet.post(
                            '/notes/1', 'x', name, **WITHDRAWN
                        )
                        self.assertEqual(401, answer.status_code)
                    await anyio.sleep(1.5)
                    tasks.cancel_scope.cancel()
                self.assertEqual({2}, seen)
                self.assertEqual({}, left.headers)

        platform_fakes.run(test)


class TestHostThatTheStoreTurnsAway(unittest.TestCase):
    def test_withdrawn_key_is_refused_within_five_seconds(self):
        """Guards against a key that lives on where the store is lost."""

        async def test():
            async with platform_fakes.fleet(
                HOSTS, 1, account_fakes.configuration()
            ) as fleet:
                relay = fleet.hosts['two']._relay
                relay._direct = platform_fakes.unreachable_store_port()
                await anyio.sleep(1.5)
                answer = await fleet.post('/notes/1', 'x', 'two', **WITHDRAWN)
                self.assertEqual(200, answer.status_code)
                fleet.store.memory.put(
                    'config',
                    'main',
                    account_fakes.configuration(
                        [account_fakes.TENANTS[1]], version=2
                    ),
                )
                with anyio.fail_after(REVOKE_SECONDS):
                    while answer.status_code != 401:
                        await anyio.sleep(0.05)
                        answer = await fleet.post(
                            '/notes/1', 'x', 'two', **WITHDRAWN
                        )
                answer = await fleet.post('/notes/1', 'x', 'two', **VALID)
                self.assertEqual(200, answer.status_code)

        platform_fakes.run(test)


class TestRestartedTargets(unittest.TestCase):
    @expand(
        [
            # ``born`` of the old and the new entry, whether it is another run
            ('newer', 1_000, 1_001, True),
            ('equal', 1_000, 1_000, False),
            ('older', 1_000, 999, False),
            ('missing', None, None, False),
            ('missing before', None, 1_000, False),
            ('missing now', 1_000, None, False),
            ('text', 1_000, '1001', False),
            ('fraction', 1_000, 1_001.5, False),
            ('boolean', 0, True, False),
            ('list', 1_000, [1_001], False),
        ]
    )
    def test_another_run_starts_anew(self, _, before, after, is_other):
        """Guards against knowledge of an old run that outlives it."""

        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                (server,) = fleet.servers
                host = fleet.hosts['one']
                name = server.name
                await write_entry(fleet, server, 9, before)
                for _ in range(4):
                    host._target_stats.record_failure(name, 'test')
                host._target_stats.record_first_event('other', 0.1)
                host._target_stats.record_first_event(name, 5.0)
                host._limits._apply(name, 1.0, 3)
                host._catalog.mark_leaving(host.board.targets.get(name))
                await write_entry(fleet, server, 10, after)
                known = host.board.targets.get(name)
                self.assertEqual(not is_other, known.leaving)
                stats = host._target_stats
                self.assertEqual(is_other, stats.is_usable(name))
                self.assertEqual(is_other, stats.slowdown(name) == 1.0)
                allowance = host._limits.allowance(name)
                self.assertEqual(is_other, allowance is None)

        platform_fakes.run(test)


class TestPlannedStop(unittest.TestCase):
    @expand(
        [
            # callers at 8 slots, seconds between events of a stream
            ('free slots', 6, 0.05),
            ('full queue', 24, 0.05),
            ('long streams', 8, 0.4),
        ]
    )
    def test_accepted_requests_get_complete_answers(self, _, callers, pace):
        """Guards against answers that a stop cuts, or that never begin.

        Callers go on for as long as they may keep an entry answer.
        """

        async def test():
            config = platform_fakes.configuration(
                routes=[platform_fakes.route('/notes/', timeoutMs=8000)]
            )
            async with platform_fakes.fleet(HOSTS, 1, config) as fleet:
                fleet.servers[0].pace_seconds = pace
                host = fleet.hosts['two']
                answers, cut = [], []
                until = math.inf

                async def call(caller):
                    for number in itertools.count():
                        has_drained = host.is_draining
                        if anyio.current_time() > until:
                            return
                        try:
                            answer = await fleet.post(
                                '/notes/1',
                                'x',
                                'two',
                                **{'Request-Id': f'{caller}-{number}'},
                            )
                        except httpx.TransportError as error:
                            cut.append(repr(error))
                            continue
                        answers.append((has_drained, answer))
                        if answer.status_code != 200:
                            await anyio.sleep(0.1)

                async with anyio.create_task_group() as tasks:
                    for caller in range(callers):
                        tasks.start_soon(call, caller)
                    await anyio.sleep(0.7)
                    front = host._front_end.drain_middleware
                    # On a busy machine there are moments without any.
                    with anyio.fail_after(5):
                        while front.in_progress < 4:
                            await anyio.sleep(0)
                    host.drain()
                    until = anyio.current_time() + KEPT_SECONDS
                    with anyio.fail_after(12):
                        await fleet.stopped['two'].wait()
                self.assertEqual([], cut)
                for has_drained in (False, True):
                    served = [
                        answer
                        for drained, answer in answers
                        if drained == has_drained and answer.status_code == 200
                    ]
                    self.assertTrue(served)
                    last = f'id: {platform_fakes.TOKENS}\n'
                    for answer in served:
                        self.assertIn(last, answer.text)
                refused = {answer.status_code for _, answer in answers}
                self.assertLessEqual(refused, {200, 429, 503})

        platform_fakes.run(test)


async def write_entry(fleet, server, slots, born):
    """Write a server's entry and wait until it is in force."""
    entry = {**server.entry(), 'slots': slots}
    if born is not None:
        entry['born'] = born
    fleet.store.memory.put('servers', server.name, entry)
    table = fleet.hosts['one'].board.targets
    with anyio.fail_after(3):
        while table.get(server.name).slots != slots:
            await anyio.sleep(0.005)


if __name__ == '__main__':
    unittest.main()
