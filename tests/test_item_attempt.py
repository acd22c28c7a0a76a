"""Tests of one run of a batch item at a target."""

import contextlib
import unittest

import anyio
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.controllers.batch import item_attempt
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import target_paths
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass.platform import wire
from persimmonpass import routes
from persimmonpass.targets import opaque
from tests import fakes
from tests import platform_fakes

expand = parameterized.parameterized.expand
TARGET = blackboard.Target('t', '10.0.0.1:80', 'engine', 'a', {})
ROUTE = routes.Route('jobs', 'h', '/jobs/', routes.Kind.JOB, (), 15.0, 0.4, 3)
CALL = exchange.Call('c', 'POST', 'h', b'/jobs/x', [], b'')
JOB = job_records.Job(
    'j',
    'jobs',
    'h',
    0.0,
    [job_records.Item('j-0', '/jobs/x', [], 'eA==', 10)],
)


class _Targets:
    """A target whose events arrive at a steady pace.

    Each event is a chunk of its own in the answer. The HTTP client returns one
    chunk at each read, however many have arrived.
    """

    def __init__(self, count, pace_seconds):
        self._count = count
        self._pace_seconds = pace_seconds

    def read_prompt_parts(self, headers):
        return ()

    @contextlib.asynccontextmanager
    async def open(self, call, target, seconds, resume_after=None, **_):
        self.call = call
        head = exchange.ResponseHead(200, [], False, False, True, True)
        first = (resume_after or 0) + 1
        yield result.Ok(opaque.Answer(head, self._read(first)))

    async def _read(self, first):
        began = anyio.current_time()
        for number in range(first, self._count + 1):
            await anyio.sleep_until(
                began + (number - first + 1) * self._pace_seconds
            )
            yield f'id: {number}\ndata: x-{number}\n\n'.encode()


def make_attempts(targets):
    """Return the attempts of a host that reaches all targets."""
    paths = target_paths.PathPorts(
        blackboard.Blackboard(),
        fakes.Network().port('host'),
        lambda: ['host'],
    )
    return item_attempt.ItemAttempts(
        'host',
        targets,
        platform_fakes.target_stats_of(),
        target_paths.TargetPaths('host', 'a', paths),
        crash_parts.CrashParts(
            'host', fakes.Network().port('host'), lambda: ['host']
        ),
        gateway_metrics.GatewayMetrics(),
    )


class TestItemAttempt(unittest.TestCase):
    @expand(
        [
            # events, seconds between them
            ('fast events', 60, 0.01),
            ('events as in production', 60, 0.032),
            ('slow events', 10, 0.3),
        ]
    )
    def test_item_is_as_fast_as_its_target(self, _, count, pace):
        """A reader that lags holds a slot that the target has freed."""

        async def test():
            attempts = make_attempts(_Targets(count, pace))
            item = item_attempt.LocalItem()
            item.text.claim(item_text.Source(1, 'host'))
            began = anyio.current_time()
            cause = await attempts.run(('j', 0), item, JOB, ROUTE, TARGET)
            self.assertEqual('', cause)
            self.assertEqual(
                '\n'.join(f'x-{n}' for n in range(1, count + 1)),
                item.outcome.output,
            )
            elapsed = anyio.current_time() - began
            self.assertLessEqual(elapsed, count * pace + 0.1)

        fakes.run(test)


class TestAccountOfItem(unittest.TestCase):
    @expand(
        [('Latin', 'acme'), ('accent', '\xe9t\xe9'), ('not', 'Glynd\u0175r')]
    )
    def test_item_of_an_account_is_run(self, _, account):
        """Guards against items that fail for the name of their account."""

        async def test():
            targets = _Targets(1, 0.01)
            attempts = make_attempts(targets)
            item = item_attempt.LocalItem()
            item.text.claim(item_text.Source(1, 'host'))
            headers = wire.item_headers(
                CALL._replace(account=account, has_accounts=True),
                {'Model': 'm'},
            )
            job = JOB._replace(items=[JOB.items[0]._replace(headers=headers)])
            await attempts.run(('j', 0), item, job, ROUTE, TARGET, account)
            self.assertIs(job_records.State.COMPLETED, item.outcome.state)
            self.assertEqual(account, targets.call.account)
            sent = dict(wire.encode(targets.call, TARGET, 1.0, None))
            online = CALL._replace(account=account, has_accounts=True)
            self.assertEqual(
                dict(wire.encode(online, TARGET, 1.0, None))[b'Tenant'],
                sent[b'Tenant'],
            )

        fakes.run(test)


class TestMalformedItem(unittest.TestCase):
    @expand(
        [
            ('header', {'headers': [('Model', '\u65e5')]}),
            ('body', {'body': 'x'}),
        ]
    )
    def test_item_that_cannot_be_sent_fails(self, _, terms):
        """The error ended all tasks of the batch runner."""

        async def test():
            attempts = item_attempt.ItemAttempts(
                'host',
                _Targets(1, 0.01),
                platform_fakes.target_stats_of(),
                None,
                None,
                gateway_metrics.GatewayMetrics(),
            )
            item = item_attempt.LocalItem()
            job = JOB._replace(items=[JOB.items[0]._replace(**terms)])
            await attempts.run(('j', 0), item, job, ROUTE, TARGET)
            self.assertIs(job_records.State.FAILED, item.outcome.state)

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
