"""Services with fewer targets than a request may be sent to."""

import contextlib
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.controllers.batch import item_attempt
from persimmonpass.controllers.online import route_proxy
from persimmonpass import objects
from tests import online_fakes
from tests import platform_fakes

expand = parameterized.parameterized.expand
# Longer than a first event may take while another target can be tried.
SLOW_SECONDS = 1.5 * route_proxy.FIRST_EVENT_SECONDS


async def slow(fleet):
    """Each target takes long, but answers well before the deadline."""
    for server in fleet.servers:
        server.wait_seconds = SLOW_SECONDS


async def silent(fleet):
    """One target takes long, the others never answer."""
    await slow(fleet)
    for server in fleet.servers[1:]:
        server.wait_seconds = 60.0


async def refusing(fleet):
    """All targets refuse requests for a moment."""
    for server in fleet.servers:
        server.refuses_all = True
    fleet.tasks.start_soon(_accept_later, fleet)


async def _accept_later(fleet):
    await anyio.sleep(0.1)
    for server in fleet.servers:
        server.refuses_all = False


async def breaking(fleet):
    """Each target breaks off one answer before its first event."""
    for server in fleet.servers:
        server.cut_after = 0
        server.cuts_left = 1


FAULTS = [slow, silent, refusing, breaking]


class TestGateway(unittest.TestCase):
    """Guards against requests that wait for a target which does not exist."""

    @expand(
        [
            (f'{fault.__name__}, {count} targets, {kind}', fault, count, kind)
            for fault in FAULTS
            for count in (1, 2)
            for kind in ('idempotent', 'streaming')
        ]
    )
    def test_request_is_served(self, _, fault, count, kind):
        async def test():
            async with few_targets(count, kind) as fleet:
                await fault(fleet)
                answers = [
                    await fleet.post(
                        '/notes/a', **{'Request-Id': f'r{number}'}
                    )
                    for number in range(3)
                ]
                self.assertEqual(
                    [200] * 3, [answer.status_code for answer in answers]
                )

        platform_fakes.run(test)

    @expand([('one target', 1), ('two targets', 2)])
    def test_targets_that_are_slow_get_each_request_once(self, _, count):
        """A long objective tells that a target may take long."""

        async def test():
            async with few_targets(count, sloMs=2000) as fleet:
                await slow(fleet)
                await fleet.post('/notes/a', **{'Request-Id': 'r'})
                runs = sum(len(server.arrivals) for server in fleet.servers)
                self.assertEqual(1, runs)

        platform_fakes.run(test)

    def test_error_of_the_only_target_is_the_answer(self):
        """Guards against an error held back until the deadline."""

        async def test():
            async with few_targets(1) as fleet:
                fleet.servers[0].status = 500
                began = anyio.current_time()
                answer = await fleet.post('/notes/a', **{'Request-Id': 'r'})
                self.assertEqual(500, answer.status_code)
                self.assertLess(anyio.current_time() - began, 1.0)

        platform_fakes.run(test)

    def test_items_that_begin_late_are_finished(self):
        """Guards against items cut before their first event without end."""

        async def test():
            async with few_targets(1) as fleet:
                fleet.servers[0].wait_seconds = 0.7
                body = platform_fakes.submission(3)
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                page = await fleet.results('j', 3)
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * 3, states)

        with mock.patch.object(
            item_attempt, 'FIRST_EVENT_TIMEOUT_SECONDS', 0.3
        ):
            platform_fakes.run(test)


class TestDaemon(unittest.TestCase):
    @expand(
        [
            ('one target', ('s1',), 0.9),
            ('two targets', ('s1', 's2'), 0.45),
            ('more targets than attempts', ('s1', 's2', 's3', 's4'), 0.3),
        ]
    )
    def test_call_may_take_its_share_of_the_deadline(self, _, names, share):
        """Guards against calls cut for attempts that have no target."""

        async def test(fleet):
            deadline = online_fakes.STEP_SECONDS / share
            answered = await fleet.hosts['h1'].call(
                limit_seconds=deadline,
                spec=objects.ServiceSpec(
                    selector='serves=crews', type='plain', max_attempts=3
                ),
            )
            self.assertTrue(answered.is_ok(), answered)

        online_fakes.run(test, targets=names)


@contextlib.asynccontextmanager
async def few_targets(count, kind='idempotent', **terms):
    """Run a deployment whose requests may go to three targets."""
    route = platform_fakes.route('/notes/', kind, maxAttempts=3, **terms)
    config = platform_fakes.configuration(
        1, [route, platform_fakes.route('/jobs/', 'batch')]
    )
    async with (
        platform_fakes.fleet(count=count, config=config) as fleet,
        anyio.create_task_group() as fleet.tasks,
    ):
        yield fleet
        fleet.tasks.cancel_scope.cancel()


if __name__ == '__main__':
    unittest.main()
