"""Tests which entry addresses callers get, and in what order."""

import collections
import random
import unittest

import parameterized

from persimmonpass.policy import entry

DRAWS = 4000


def host(name, zone='near', state='alive', load=0):
    return entry.EntryHost(name, name, zone, state, load)


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
