"""Tests of one run of a batch item at a target."""

import contextlib
import unittest

import anyio
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.controllers import item_attempt
from persimmonpass.controllers import target_stats
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass import routes
from persimmonpass.targets import opaque
from tests import fakes

expand = parameterized.parameterized.expand
TARGET = blackboard.Target('t', '10.0.0.1:80', 'engine', 'a', {})
ROUTE = routes.Route('jobs', 'h', '/jobs/', routes.Kind.JOB, (), 15.0, 0.4, 3)
JOB = job_records.Job(
    'j',
    'jobs',
    'h',
    0.0,
    [job_records.Item('j-0', '/jobs/x', [], 'eA==', 10)],
)


class _Targets:
    """A target whose events arrive at a steady pace.

    A read returns all events that have arrived since the last one.

    :ivar reads: number of reads
    """

    def __init__(self, count, pace_seconds):
        self.reads = 0
        self._count = count
        self._pace_seconds = pace_seconds

    @contextlib.asynccontextmanager
    async def open(self, call, target, seconds, resume_after=None, **_):
        head = exchange.ResponseHead(200, [], False, False, True, True)
        first = (resume_after or 0) + 1
        yield result.Ok(opaque.Answer(head, self._read(first)))

    async def _read(self, first):
        began = anyio.current_time()
        sent = first - 1
        while sent < self._count:
            arrived = (
                first
                - 1
                + int(
                    (anyio.current_time() - began) / self._pace_seconds + 1e-9
                )
            )
            if arrived <= sent:
                await anyio.sleep(self._pace_seconds / 10)
                continue
            arrived = min(arrived, self._count)
            numbers = range(sent + 1, arrived + 1)
            sent = arrived
            self.reads += 1
            events = [f'id: {n}\ndata: x-{n}\n\n' for n in numbers]
            yield ''.join(events).encode()


class TestItemAttempt(unittest.TestCase):
    @expand(
        [
            # events, pace, most reads
            ('fast events', 60, 0.01, 8),
            ('events as in production', 60, 0.032, 25),
            ('slow events', 10, 0.3, 10),
        ]
    )
    def test_events_are_read_together(self, _, count, pace, most_reads):
        targets = _Targets(count, pace)

        async def test():
            attempts = item_attempt.ItemAttempts(
                'host',
                targets,
                target_stats.TargetStats('host', blackboard.Blackboard()),
                gateway_metrics.GatewayMetrics(),
            )
            item = item_attempt.LocalItem()
            item.text.claim(item_text.Source(1, 'host'))
            began = anyio.current_time()
            cause = await attempts.run(('j', 0), item, JOB, ROUTE, TARGET)
            self.assertEqual('', cause)
            self.assertEqual(
                '\n'.join(f'x-{n}' for n in range(1, count + 1)),
                item.outcome.output,
            )
            self.assertLessEqual(targets.reads, most_reads)
            late = anyio.current_time() - began - count * pace
            self.assertLessEqual(late, 2 * item_attempt.READ_INTERVAL_SECONDS)

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
