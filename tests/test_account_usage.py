"""Counts of the requests of each client account on all hosts."""

import unittest

import anyio

from persimmonpass.controllers.accounts import usage
from tests import account_fakes
from tests import fakes

ROWS = (account_fakes.account('a', 10, 10), account_fakes.account('b'))
CORE = ('one', 'two', 'three')
# Longer than a change takes to reach the peers.
NOTICE_SECONDS = 2 * usage.CHANGE_SECONDS


class TestUsage(unittest.TestCase):
    def run_hosts(self, test, rows=ROWS, outside=()):
        async def run():
            async with anyio.create_task_group() as tasks:
                hosts = account_fakes.UsageHosts(tasks, rows, CORE, outside)
                await anyio.sleep(2 * usage.REPEAT_SECONDS)
                await test(hosts)
                tasks.cancel_scope.cancel()

        fakes.run(run)

    def counts(self, hosts, host, name='a'):
        found = hosts.usages[host]
        return found.running(name), found.waiting(name)

    def record_sends(self, hosts, host):
        seen = []
        hosts.usages[host].peer_sent.append(
            lambda name, change: seen.append((name, change))
        )
        return seen

    def test_peers_know_counts_within_one_interval(self):
        """A host that counted only its own would misjudge each account."""

        async def test(hosts):
            sends = self.record_sends(hosts, 'two')
            one = hosts.usages['one']
            one.add_sent('a', 1)
            one.started('a')
            one.set_waiting({'a': 2, 'b': 1})
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual((1, 2), self.counts(hosts, 'two'))
            self.assertEqual((0, 1), self.counts(hosts, 'two', 'b'))
            self.assertEqual({'a', 'b'}, hosts.usages['two'].accounts())
            one.ended('a')
            one.add_sent('a', -1)
            one.set_waiting({})
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual((0, 0), self.counts(hosts, 'two'))
            self.assertEqual(set(), hosts.usages['two'].accounts())
            self.assertEqual([('a', 1), ('a', -1)], sends)

        self.run_hosts(test)

    def test_lost_notice_is_made_up_for(self):
        """Counts must not stay wrong after a notice was lost."""

        async def test(hosts):
            sends = self.record_sends(hosts, 'two')
            hosts.silenced.add('one')
            hosts.usages['one'].add_sent('a', 1)
            hosts.usages['one'].started('a')
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual((0, 0), self.counts(hosts, 'two'))
            hosts.silenced.clear()
            await anyio.sleep(usage.REPEAT_SECONDS)
            self.assertEqual((1, 0), self.counts(hosts, 'two'))
            self.assertEqual([('a', 1)], sends)

        self.run_hosts(test)

    def test_silent_peer(self):
        """Requests of a host that has ended must not stay counted."""

        async def test(hosts):
            hosts.usages['one'].started('a')
            await anyio.sleep(NOTICE_SECONDS)
            hosts.silenced.add('one')
            await anyio.sleep(usage.SILENCE_SECONDS)
            self.assertEqual({'three'}, hosts.usages['two'].heard())
            self.assertEqual((1, 0), self.counts(hosts, 'two'))
            await anyio.sleep(usage.FORGET_SECONDS)
            self.assertEqual((0, 0), self.counts(hosts, 'two'))

        self.run_hosts(test)

    def test_sends_in_a_silence_are_not_counted_after_it(self):
        """They are covered by the share of the rate of the silent host."""

        async def test(hosts):
            sends = self.record_sends(hosts, 'two')
            hosts.usages['one'].add_sent('a', 1)
            hosts.usages['one'].started('a')
            await anyio.sleep(NOTICE_SECONDS)
            hosts.silenced.add('one')
            hosts.usages['one'].add_sent('a', 50)
            await anyio.sleep(usage.FORGET_SECONDS)
            hosts.silenced.clear()
            await anyio.sleep(usage.REPEAT_SECONDS)
            hosts.usages['one'].add_sent('a', 2)
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual([('a', 1), ('a', 2)], sends)

        self.run_hosts(test)

    def test_restarted_peer_takes_no_sends_back(self):
        """A count that begins anew must not refill the bucket."""

        async def test(hosts):
            hosts.usages['one'].add_sent('a', 30)
            await anyio.sleep(NOTICE_SECONDS)
            sends = self.record_sends(hosts, 'two')
            hosts.start('one')
            hosts.usages['one'].add_sent('a', 2)
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual([('a', 2)], sends)

        self.run_hosts(test)

    def test_host_that_starts_counts_no_earlier_sends(self):
        """Sends of long ago would leave its new bucket in debt."""

        async def test(hosts):
            hosts.usages['one'].add_sent('a', 30)
            await anyio.sleep(2 * usage.USED_SECONDS)
            hosts.start('two')
            sends = self.record_sends(hosts, 'two')
            await anyio.sleep(2 * usage.REPEAT_SECONDS)
            hosts.usages['one'].add_sent('a', 1)
            hosts.usages['one'].started('a')
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual([('a', 1)], sends)

        self.run_hosts(test)

    def test_accounts_that_the_configuration_lacks_are_ignored(self):
        """Names in notices of peers must not use memory without bound."""

        async def test(hosts):
            one, two = hosts.usages['one'], hosts.usages['two']
            account_fakes.put_accounts(hosts.boards['two'], ROWS[1:], 2)
            one.started('a')
            one.started('b')
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual({'b'}, two.accounts())
            account_fakes.put_accounts(hosts.boards['two'], ROWS, 3)
            await anyio.sleep(usage.REPEAT_SECONDS)
            self.assertEqual({'a', 'b'}, two.accounts())

        self.run_hosts(test)

    def test_counts_of_removed_accounts_are_bounded(self):
        async def test(hosts):
            one = hosts.usages['one']
            for number in range(usage.MAX_NAMES + 10):
                one.add_sent(f'removed-{number}', 1)
            one.add_sent('a', 1)
            self.assertLessEqual(len(one._sent), usage.MAX_NAMES)
            self.assertEqual(1, one.sent('a'))

        self.run_hosts(test)

    def test_nothing_is_sent_without_accounts(self):
        """Deployments without accounts must not pay for them."""

        async def test(hosts):
            await anyio.sleep(10)
            self.assertEqual([], hosts.network.notices)
            for board in hosts.boards.values():
                account_fakes.put_accounts(board, ROWS, 2)
            await anyio.sleep(2 * usage.REPEAT_SECONDS)
            self.assertEqual({'two', 'three'}, hosts.usages['one'].heard())

        self.run_hosts(test, rows=None)

    def test_host_outside_the_core_hears_while_it_serves(self):
        """It would otherwise judge shares by its own few requests."""

        async def test(hosts):
            outside = hosts.usages['out']
            hosts.usages['one'].started('a')
            await anyio.sleep(usage.REPEAT_SECONDS)
            self.assertEqual(0, outside.running('a'))
            outside.started('a')
            await anyio.sleep(NOTICE_SECONDS)
            self.assertEqual(2, outside.running('a'))
            self.assertEqual((2, 0), self.counts(hosts, 'one'))
            outside.ended('a')
            await anyio.sleep(usage.USED_SECONDS + 2)
            hosts.network.notices.clear()
            await anyio.sleep(5)
            self.assertFalse(
                [row for row in hosts.network.notices if 'out' in row]
            )

        self.run_hosts(test, outside=('out',))
