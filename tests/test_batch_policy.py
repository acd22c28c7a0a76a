"""Tests the policies for the order of batch work and for preemption."""

import unittest

import parameterized

from persimmonpass.policy import batch
from persimmonpass.policy import preemption


class TestOrder(unittest.TestCase):
    """Fair order of accounts and jobs."""

    @parameterized.parameterized.expand(
        [
            ('due', [('late', 100, 9), ('soon', 5, 1)], 'soon'),
            ('overdue', [('due', 0, 9), ('over', -5, 9)], 'over'),
            ('age', [('young', 50, 1), ('old', 50, 9)], 'old'),
            ('name', [('b', 50, 1), ('a', 50, 1)], 'a'),
        ]
    )
    def test_jobs(self, name, rows, first):
        jobs = [batch.Candidate('x', *row) for row in rows]
        self.assertEqual(first, batch.order_jobs(jobs)[0].job)

    @parameterized.parameterized.expand(
        [
            ('equal_cost', {'a': 10, 'b': 10}, 200, {'a': 100, 'b': 100}),
            ('by_tokens', {'a': 30, 'b': 10}, 200, {'a': 50, 'b': 150}),
            ('alone', {'a': 10}, 50, {'a': 50}),
        ]
    )
    def test_accounts_share_tokens(self, name, costs, rounds, expected):
        share = batch.Share()
        counts = dict.fromkeys(costs, 0)
        for _ in range(rounds):
            account = batch.order_accounts(share, costs)[0]
            counts[account] += 1
            share = batch.record_served(share, account, costs[account])
        self.assertEqual(expected, counts)

    def test_pause_earns_no_credit(self):
        share = batch.Share()
        for _ in range(1000):
            share = batch.record_served(share, 'busy', 10)
        served = []
        for _ in range(10):
            account = batch.order_accounts(share, ['busy', 'back'])[0]
            served.append(account)
            share = batch.record_served(share, account, 10)
        # Start-time fair queueing is exact up to one item.
        self.assertAlmostEqual(5, served.count('busy'), delta=1)

    @parameterized.parameterized.expand(
        [
            ('start', 5, 3, set(), 3),
            ('next', 5, 3, {3}, 4),
            ('wrap_around', 5, 3, {3, 4}, 0),
            ('none', 2, 0, {0, 1}, None),
        ]
    )
    def test_pick_part(self, name, parts, start, taken, expected):
        picked = batch.pick_part(parts, start, lambda part: part not in taken)
        self.assertEqual(expected, picked)

    @parameterized.parameterized.expand(
        [(100, 50, 5.0, 10.0), (100, 100, 0.0, 0.0), (100, 0, 0.0, None)]
    )
    def test_estimate(self, items, finished, rate, expected):
        actual = batch.estimate_seconds(items, finished, rate)
        self.assertEqual(expected, actual)


class TestPreemption(unittest.TestCase):
    """Number of batch streams that may run beside online requests."""

    @parameterized.parameterized.expand(
        [
            # name, online, quiet seconds, bound, certain, width
            ('online', 1, 0.0, 10, True, 2),
            ('just_ended', 0, 0.05, 10, True, 2),
            ('short_pause', 0, 0.4, 10, True, 6),
            ('quiet', 0, 0.5, 10, True, 12),
            ('quiet_longer', 0, 0.625, 10, True, 24),
            ('quiet_long', 0, 10**6, 10, True, preemption.MAX_WIDTH),
            ('low_bound', 0, 1.9, 5, True, 6),
            ('high_bound', 0, 0.11, 25, True, 24),
            ('no_bound_given', 0, 10**6, 0, True, 6),
            ('host_without_report', 0, 10**6, 10, False, 2),
        ]
    )
    def test_allowed(self, name, online, quiet, bound, certain, expected):
        limits = preemption.Limits(shared=2, idle=6)
        actual = preemption.allowed_width(
            limits, online, quiet, bound, certain
        )
        self.assertEqual(expected, actual)

    @parameterized.parameterized.expand(
        [
            # name, width, baseline, with_batch, samples, share, since,
            # next width
            ('not_measured', 0, 10.0, 0.0, 5, 1.0, 99, 0),
            ('probe', 0, 10.0, 0.0, 6, 1.0, 99, 1),
            ('wait_to_probe', 0, 10.0, 0.0, 6, 1.0, 9, 0),
            ('no_harm', 4, 10.0, 10.0, 9, 1.0, 99, 8),
            ('rare', 4, 10.0, 14.0, 9, 0.1, 99, 8),
            ('often', 4, 10.0, 14.0, 9, 0.5, 0, 2),
            ('near_the_bound', 4, 10.0, 10.8, 9, 1.0, 99, 4),
            ('recovering', 4, 10.0, 10.0, 9, 1.0, 9, 4),
            ('harm_at_one', 1, 10.0, 20.0, 9, 1.0, 99, 0),
            ('widest', 32, 10.0, 10.0, 9, 1.0, 99, 32),
        ]
    )
    def test_adjust_idle(
        self,
        name,
        width,
        baseline,
        with_batch,
        samples,
        share,
        since,
        expected,
    ):
        delay = preemption.Delay(baseline, samples, with_batch, samples)
        actual = preemption.adjust_idle(width, delay, 10.0, share, since)
        self.assertEqual(expected, actual)

    def test_victims_lose_least(self):
        streams = [
            preemption.Stream('soon', 1, 10),
            preemption.Stream('late-long', 50, 99),
            preemption.Stream('late-short', 2, 99),
        ]
        self.assertEqual(['late-short'], preemption.victims(streams, 2))
        self.assertEqual(
            ['late-long', 'late-short'], preemption.victims(streams, 1)
        )
        self.assertEqual([], preemption.victims(streams, 3))
        self.assertEqual(3, len(preemption.victims(streams, 0)))

    @parameterized.parameterized.expand(
        [
            # name, width, baseline, with_batch, samples, since shrink,
            # next width
            ('no_baseline', 4, 10.0, 10.0, 1, 99, 4),
            ('probe', 0, 10.0, 0.0, 99, 99, 1),
            ('wait_to_probe', 0, 10.0, 0.0, 99, 1, 0),
            ('no_harm', 4, 10.0, 10.0, 99, 99, 5),
            ('faster', 4, 10.0, 9.0, 99, 99, 5),
            ('would_harm', 4, 10.0, 10.9, 99, 99, 4),
            ('just_fits', 4, 10.0, 10.79, 99, 99, 5),
            ('harm', 4, 10.0, 11.1, 99, 0, 2),
            ('harm_at_one', 1, 10.0, 11.1, 99, 99, 0),
            ('recovering', 4, 10.0, 10.0, 99, 1, 4),
            ('widest', 32, 10.0, 10.0, 99, 99, 32),
        ]
    )
    def test_adjust(
        self, name, width, baseline, with_batch, samples, since, expected
    ):
        delay = preemption.Delay(baseline, samples, with_batch, samples)
        actual = preemption.adjust(width, delay, 10.0, since)
        self.assertEqual(expected, actual)

    @parameterized.parameterized.expand([(5.0,), (10.0,), (25.0,), (50.0,)])
    def test_width_converges_below_the_bound(self, harm_percent):
        """The width settles at the highest value within the bound.

        Each batch stream adds about 4.7% to the time between tokens.
        """
        width, since, widths = 0, 99.0, []
        for _ in range(60):
            with_batch = 10.5 + 0.5 * width
            delay = preemption.Delay(10.5, 99, with_batch, 99)
            following = preemption.adjust(width, delay, harm_percent, since)
            since = 0.0 if following < width else since + 10.0
            width = following
            widths.append(width)
        settled = set(widths[-20:])
        self.assertEqual(1, len(settled))
        harm = 100 * 0.5 * settled.pop() / 10.5
        self.assertLessEqual(harm, harm_percent)
        self.assertGreater(harm + 100 * 0.5 / 10.5, harm_percent)
