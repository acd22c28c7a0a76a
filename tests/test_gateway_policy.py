"""Decisions of placing, waiting and batch beside online requests."""

import collections
import unittest

import parameterized

from persimmonpass.policy import batch_scheduling
from persimmonpass.policy import core
from persimmonpass.policy import queueing
from persimmonpass.policy import request_placement

expand = parameterized.parameterized.expand


def spot(name, online=0, batch=0, zone='a', slowdown=1.0, slots=8):
    return request_placement.Candidate(
        name, zone, slots, online, batch, slowdown
    )


def place(name='t', online=0, batch=0, slots=8, slowdown=1.0):
    return batch_scheduling.TargetLoad(name, slots, online, batch, slowdown)


class TestPlacing(unittest.TestCase):
    @expand(
        [
            ('no target', [], None),
            ('the empty one', [spot('x', 5), spot('y', 1)], 'y'),
            ('the near one', [spot('x', 1), spot('y', 1, zone='b')], 'x'),
            ('far and free', [spot('x', 8), spot('y', 1, zone='b')], 'y'),
            (
                'not the slow one',
                [spot('x', 0, slowdown=4), spot('y', 6)],
                'y',
            ),
            (
                'slow and free before a full one',
                [spot('x', 0, slowdown=2), spot('y', 8)],
                'x',
            ),
            (
                'a free slot before one that batch has to leave',
                [spot('x', 2, 6), spot('y', 5, 1)],
                'y',
            ),
            (
                'behind batch before behind online',
                [spot('x', 0, 8), spot('y', 8, 0)],
                'x',
            ),
            ('all full', [spot('x', 8), spot('y', 8)], None),
        ]
    )
    def test_choose(self, _, spots, expected):
        chosen = request_placement.choose(spots, 'a', lambda: 0.5)
        self.assertEqual(expected, chosen)

    def test_load_spreads_over_equal_targets(self):
        """A step from idle to all slots leaves no target above another."""
        online = {name: 0 for name in 'uvwxyz'}
        for _ in range(48):
            spots = [spot(name, count) for name, count in online.items()]
            online[request_placement.choose(spots, 'a', lambda: 0.5)] += 1
        self.assertEqual({8}, set(online.values()))


class TestCore(unittest.TestCase):
    @expand([([], []), (['a'], ['a']), (['a', 'b', 'c'], ['b', 'c', 'a'])])
    def test_the_first_one_watches_last(self, chosen, expected):
        self.assertEqual(expected, core.watch_order(chosen))

    @expand(
        [('small', 6, 6), ('as large as the core', 16, 16), ('large', 70, 16)]
    )
    def test_core_and_its_links(self, _, count, size):
        hosts = [
            core.CoreHost(f'host-{number}', 'abc'[number % 3], 1.0)
            for number in range(count)
        ]
        chosen = core.choose(hosts)
        self.assertEqual(size, len(chosen))
        names = {one.host for one in hosts}
        for host in names:
            links = core.links(host, chosen, names, ())
            self.assertLessEqual(set(chosen) - {host}, links)
            self.assertEqual(host in chosen, len(links) == count - 1)

    @expand(
        [
            ('even', {'a': 20, 'b': 20, 'c': 20}, {'a': 6, 'b': 5, 'c': 5}),
            ('a small zone', {'a': 40, 'b': 3}, {'a': 13, 'b': 3}),
        ]
    )
    def test_zones_give_as_many(self, _, counts, expected):
        hosts = [
            core.CoreHost(f'{zone}-{number}', zone, {'a': 2.0}.get(zone, 1.0))
            for zone, count in counts.items()
            for number in range(count)
        ]
        chosen = core.choose(hosts)
        found = collections.Counter(host[0] for host in chosen)
        if len(counts) == 2:
            self.assertEqual(expected, found)
        self.assertEqual(
            sorted(expected.values()), sorted(found.values()), chosen
        )

    def test_the_largest_come_first(self):
        hosts = [
            core.CoreHost(f'host-{number}', 'a', float(number))
            for number in range(40)
        ]
        self.assertEqual(
            [f'host-{number}' for number in range(39, 23, -1)],
            core.choose(hosts),
        )


class TestWaiting(unittest.TestCase):
    @expand(
        [
            ('the first', (0, 1.0, 9.0), (0, 2.0, 9.0)),
            ('the urgent', (0, 2.0, 9.0), (1, 1.0, 9.0)),
            ('on time before late', (1, 4.0, 9.0), (0, 1.0, 2.0)),
            ('begun before all', (1, 4.0, 2.0, True), (0, 1.0, 9.0)),
        ]
    )
    def test_rank(self, _, first, second):
        ranks = [
            queueing.rank(queueing.QueuedRequest(*row), 5.0)
            for row in (first, second)
        ]
        self.assertLess(*ranks)

    @expand(
        [
            ('free', 0, 8, 0.8, 0.1),
            ('behind a round', 8, 8, 0.8, 0.9),
            ('no target', 0, 0, 0.8, float('inf')),
        ]
    )
    def test_expected_wait(self, _, ahead, slots, seconds, expected):
        wait = queueing.expected_wait(ahead, slots, seconds)
        self.assertAlmostEqual(expected, wait)

    @expand(
        [
            ('short', 0.01, 0.5, 0.2),
            ('spread low', 1.0, 0.0, 0.5),
            ('spread high', 1.0, 1.0, 1.5),
            ('long', 60.0, 0.5, 3.0),
        ]
    )
    def test_retry_after(self, _, wait, drawn, expected):
        self.assertEqual(expected, queueing.retry_after(wait, drawn))

    @expand(
        [
            ('time', 0.3, 0.2, 2.0),
            ('objective', 0.8, 0.2, 3.2),
            ('pause', 0.3, 0.5, 4.0),
        ]
    )
    def test_patience(self, _, objective, gap, expected):
        self.assertEqual(
            expected, queueing.first_event_timeout(objective, gap)
        )

    def test_overload_makes_few_late(self):
        """A peak of 1.25 times what the slots serve, for two seconds.

        Slots serve 40 requests a second, 50 come. On time are those that are
        placed by 0.2 s after they came; the others are served after the peak.
        """
        served = {}
        queue = []
        for tick in range(100):
            now = tick * 0.025
            if now < 2:
                for _ in range(tick % 4 and 1 or 2):
                    queue.append(
                        queueing.QueuedRequest(
                            0, now, queueing.placement_deadline(now, 0.3, 0.1)
                        )
                    )
            queue.sort(key=lambda one: queueing.rank(one, now))
            if queue:
                first = queue.pop(0)
                served[first] = served.get(first, []) + [now]
        on_time = sum(
            now <= waiter.placement_deadline
            for waiter, times in served.items()
            for now in times
        )
        total = sum(len(times) for times in served.values())
        self.assertEqual([], queue)
        self.assertGreaterEqual(on_time / total, 0.8)


class TestWork(unittest.TestCase):
    @expand(
        [
            ('empty', place(), 7),
            ('beside online', place(online=3), 4),
            ('full of batch', place(batch=7), 0),
            ('full of online', place(online=8), -1),
            ('slow', place(slowdown=4.0), 0),
        ]
    )
    def test_free(self, _, at, expected):
        self.assertEqual(expected, batch_scheduling.free_slots(at))

    @expand(
        [
            ('room', place(online=1, batch=7), 0),
            ('one too many', place(online=2, batch=7), 1),
            ('a step', place(online=6, batch=7), 5),
            ('all', place(online=10, batch=3), 3),
        ]
    )
    def test_surplus(self, _, at, expected):
        self.assertEqual(expected, batch_scheduling.excess_items(at))

    def test_pick(self):
        places = [place('x', 4, 2), place('y', 1, 1), place('z', 0, 7)]
        self.assertEqual('y', batch_scheduling.pick_target(places))
        self.assertIsNone(batch_scheduling.pick_target([place('z', 8)]))
        self.assertIsNone(batch_scheduling.pick_target([]))

    def test_taken(self):
        places = [place('x', 4, 2), place('y', 1, 1)]
        self.assertEqual(
            [place('x', 4, 2), place('y', 1, 2)],
            batch_scheduling.with_item_added(places, 'y'),
        )

    def test_rank_puts_late_items_last(self):
        rows = [
            batch_scheduling.Pending('late', 0, 10.0, 8.0, 0),
            batch_scheduling.Pending('later', 0, 30.0, 5.0, 2),
            batch_scheduling.Pending('soon', 1, 16.0, 5.0, 1),
            batch_scheduling.Pending('soon', 0, 16.0, 5.0, 1),
        ]
        rows.sort(key=lambda row: batch_scheduling.rank(row, 5.0))
        self.assertEqual(
            [('soon', 0), ('soon', 1), ('later', 0), ('late', 0)],
            [(row.job, row.item) for row in rows],
        )

    def test_victims_lose_least(self):
        running = [
            batch_scheduling.Running(('early', 0), 10.0, 3),
            batch_scheduling.Running(('late', 0), 20.0, 90),
            batch_scheduling.Running(('late', 1), 20.0, 2),
        ]
        self.assertEqual(
            [('late', 1), ('late', 0)], batch_scheduling.victims(running, 2)
        )


if __name__ == '__main__':
    unittest.main()
