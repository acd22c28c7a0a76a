"""Checks how items of jobs are divided between client accounts."""

import collections
import unittest

from persimmonpass.policy import batch
from persimmonpass.policy import batch_scheduling as policy


def _pending(job, number, due_at=100.0, left=5.0):
    return policy.Pending(job, number, due_at, left, 0)


def _run(waiting, slots, now=0.0):
    """Start items one step at a time and return their accounts in order.

    :param waiting: items, each with its account and its tokens
    :param slots: items that start at each step
    """
    share = batch.Share()
    started = []
    while waiting:
        ranked = sorted(
            policy.tag_items(waiting, share, now),
            key=lambda row: policy.rank(row, now),
        )
        by_key = {(row.job, row.item): (row, *rest) for row, *rest in waiting}
        for pending in ranked[:slots]:
            found = by_key[pending.job, pending.item]
            waiting.remove(found)
            started.append(found[1])
            share = batch.record_served(share, found[1], found[2])
    return started


class TestItems(unittest.TestCase):
    def test_large_job_does_not_hold_up_another_account(self):
        """By due time alone, all items of the earlier job went first."""
        for slots in (1, 8):
            waiting = [(_pending('a', n), 'a', 10) for n in range(100)]
            waiting += [
                (_pending('b', n, due_at=101.0), 'b', 10) for n in range(20)
            ]
            first = collections.Counter(_run(waiting, slots)[:40])
            self.assertEqual({'a': 20, 'b': 20}, first)

    def test_tokens_count(self):
        """An account with items of twice the tokens gets half as many."""
        waiting = [(_pending('a', n), 'a', 20) for n in range(60)]
        waiting += [(_pending('b', n), 'b', 10) for n in range(60)]
        first = collections.Counter(_run(waiting, 4)[:60])
        self.assertLessEqual(abs(first['a'] - 20), 1, first)

    def test_items_that_can_finish_in_time_go_first(self):
        """An account does not get ahead of these by late items."""
        waiting = [(_pending('a', n), 'a', 10) for n in range(5)]
        waiting += [(_pending('b', n, due_at=1.0), 'b', 10) for n in range(5)]
        self.assertEqual(['a'] * 5 + ['b'] * 5, _run(waiting, 1))

    def test_without_accounts_nothing_changes(self):
        """The order is by due time, as it was."""
        rows = [_pending('a', n, due_at=100.0 - n) for n in range(5)]
        self.assertEqual(
            [4, 3, 2, 1, 0],
            [
                row.item
                for row in sorted(rows, key=lambda row: policy.rank(row, 0.0))
            ],
        )


if __name__ == '__main__':
    unittest.main()
