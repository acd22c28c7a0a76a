"""Pauses after any number of failures in a row."""

import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.controllers.batch import item_attempt
from persimmonpass.controllers.online import route_proxy
from persimmonpass.controllers.targets import target_stats
from persimmonpass.policy import backoff
from persimmonpass.policy import batch_scheduling
from persimmonpass.policy import health
from persimmonpass.policy import refusals
from persimmonpass.policy import target_paths
from persimmonpass import request_state
from tests import fakes
from tests import platform_fakes

expand = parameterized.parameterized.expand
MANY = 5_000


def first_event_timeout(late_runs):
    """Return the time of an item's next run."""
    item = item_attempt.LocalItem()
    item.late_runs = late_runs
    return item.first_event_timeout


def patience(runs):
    """Return the factor by which a request's next run takes longer."""
    request = mock.Mock(spec=request_state.RequestState)
    request.runs = runs
    return route_proxy._patience(request) * 0.4


class TestManyFailures(unittest.TestCase):
    """Powers of two beyond those of a float ended all batch work."""

    @expand([(0, 0.5), (1, 0.5), (2, 1.0), (3, 2.0), (4, 3.0), (MANY, 3.0)])
    def test_doubled(self, events, seconds):
        self.assertEqual(seconds, backoff.doubled(0.5, events, 3.0))

    def test_target_that_fails_without_end_stays_blocked(self):
        async def test():
            stats = platform_fakes.target_stats_of()
            for _ in range(MANY):
                stats.record_failure('i-1', 'broken')
            self.assertFalse(stats.is_usable('i-1'))
            await anyio.sleep(target_stats.MAX_BLOCK_SECONDS)
            self.assertTrue(stats.is_usable('i-1'))

        fakes.run(test)

    @expand(
        [
            (first_event_timeout,),
            (patience,),
            (batch_scheduling.retry_pause,),
            (refusals.item_pause,),
            (refusals.request_pause,),
            (target_paths.hold_seconds,),
        ]
    )
    def test_pause_has_a_limit(self, pause):
        self.assertEqual(pause(MANY), pause(2 * MANY))

    def test_target_is_probed_at_a_least_rate(self):
        state = health.TargetHealth()
        for _ in range(MANY):
            state = health.on_failure(state, 0.0)
        self.assertEqual(health.MAX_PROBE_SECONDS, state.probe_time)


if __name__ == '__main__':
    unittest.main()
