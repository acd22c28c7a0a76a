"""Tests which entry addresses callers get, and in what order."""

import collections
import random
import unittest

import anyio
import parameterized

from persimmonpass.controllers.targets import occupancy
from persimmonpass.policy import entry
from tests import fakes

DRAWS = 4000
# How long a host may be named after it went silent, by the answers of the
# others: what they need to notice, and the time between two reports.
NOTICE_SECONDS = occupancy.SILENCE_SECONDS + occupancy.REPEAT_SECONDS


def host(name, zone='near', state='alive', load=0, seconds=0.0):
    return entry.EntryHost(name, name, zone, state, load, seconds)


class TestEntry(unittest.TestCase):
    """Selection and order of addresses."""

    @parameterized.parameterized.expand(
        [
            ('none', {}, set()),
            ('alive only', {'a': 'alive', 'b': 'suspect'}, {'a'}),
            ('never leaving', {'a': 'alive', 'b': 'leaving'}, {'a'}),
            ('suspect if none alive', {'a': 'dead', 'b': 'suspect'}, {'b'}),
            ('leaving if none alive', {'a': 'dead', 'b': 'leaving'}, {'b'}),
            (
                'suspect before leaving',
                {'a': 'leaving', 'b': 'suspect'},
                {'b'},
            ),
            ('never dead', {'a': 'dead'}, set()),
            ('never starting', {'a': 'starting', 'b': 'leaving'}, {'b'}),
        ]
    )
    def test_states(self, name, states, expected):
        hosts = [host(name, state=state) for name, state in states.items()]
        order = entry.order(hosts, '', random.Random(1).random)
        self.assertEqual(expected, set(order))

    @parameterized.parameterized.expand(
        [
            # seconds since each host began to leave, those that are named
            ('all at once', {'a': 0.0, 'b': 0.3}, {'a', 'b'}),
            ('in turn', {'a': 3.9, 'b': 2.6, 'c': 1.3}, {'c'}),
            (
                'the last two together',
                {'a': 4.0, 'b': 1.2, 'c': 1.0},
                {'b', 'c'},
            ),
            ('one long ago', {'a': 6.0}, {'a'}),
        ]
    )
    def test_of_leaving_hosts_the_last_are_named(self, _, seconds, expected):
        """Guards against callers sent to hosts that are about to end."""
        hosts = [
            host(name, state='leaving', seconds=since)
            for name, since in seconds.items()
        ]
        order = entry.order(hosts, '', random.Random(1).random)
        self.assertEqual(expected, set(order))

    def test_near_first(self):
        hosts = [host('far', 'other'), host('near-1', load=9), host('near-2')]
        draw = random.Random(1).random
        for _ in range(100):
            self.assertEqual('far', entry.order(hosts, 'near', draw)[-1])

    @parameterized.parameterized.expand(
        [
            # loads, share of orders in which the host comes first; its
            # weight is 1 / (load + 1)
            ((0, 0), (0.5, 0.5)),
            ((0, 3), (0.8, 0.2)),
            ((1, None), (0.5, 0.5)),
            ((4, 4, 9), (0.4, 0.4, 0.2)),
        ]
    )
    def test_load_weighted(self, loads, shares):
        hosts = [host(str(n), load=load) for n, load in enumerate(loads)]
        draw = random.Random(7).random
        first = collections.Counter(
            entry.order(hosts, 'near', draw)[0] for _ in range(DRAWS)
        )
        for number, share in enumerate(shares):
            self.assertAlmostEqual(
                share, first[str(number)] / DRAWS, delta=0.05
            )

    def test_limit(self):
        hosts = [host(str(number)) for number in range(100)]
        order = entry.order(hosts, '', random.Random(1).random)
        self.assertEqual(entry.MAX_ADDRESSES, len(set(order)))

    @parameterized.parameterized.expand(
        [
            # hosts that host a hears of, expected hosts
            ('all', 'bcd', 'abcd'),
            ('one is silent', 'bc', 'abc'),
            ('most are silent', 'b', 'ab'),
            ('none is heard', '', 'abcd'),
            ('one that is not alive is heard', 'x', 'abcd'),
        ]
    )
    def test_silent_hosts(self, _, heard, expected):
        alive = [host(name) for name in 'abcd']
        found = entry.without_silent(alive, 'a', set(heard))
        self.assertEqual(list(expected), [row.host for row in found])


class TestSilentHost(unittest.TestCase):
    def test_callers_are_not_sent_to_a_host_that_lost_its_power(self):
        """It comes back as soon as the others hear of it again."""
        names = [f'h{number}' for number in range(6)]
        lost = names[0]
        answers = []

        async def test():
            network = fakes.Network()
            async with anyio.create_task_group() as tasks:
                counts = {}
                for name in names:
                    counts[name] = occupancy.Occupancy(
                        network.port(name, tasks), host=name
                    )
                    network.handlers[name] = counts[name].handlers
                    tasks.start_soon(counts[name].run)
                alive = [host(name) for name in names]
                draw = random.Random(3)
                while anyio.current_time() < 12:
                    await anyio.sleep(0.02)
                    now = anyio.current_time()
                    network.silent = {lost} if 3 <= now < 8 else set()
                    asked = draw.choice(names[1:])
                    found = entry.without_silent(
                        alive, asked, counts[asked].recent_peers()
                    )
                    named = {row.host for row in found}
                    answers.append((now, lost in named))
                    self.assertLessEqual(set(names[1:]), named)
                tasks.cancel_scope.cancel()

        fakes.run(test)
        for since, until, expected in (
            (1, 3, True),
            (3 + NOTICE_SECONDS, 8, False),
            (8 + occupancy.REPEAT_SECONDS + 0.1, 12, True),
        ):
            found = {named for at, named in answers if since <= at < until}
            self.assertEqual({expected}, found)


if __name__ == '__main__':
    unittest.main()
