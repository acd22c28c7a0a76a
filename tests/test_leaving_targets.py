"""Tests of targets that state in an answer that they are leaving."""

import unittest

import anyio
import parameterized

from tests import platform_fakes

expand = parameterized.parameterized.expand
REQUESTS = 12


async def _send(fleet, host, prefix='r', path='/notes/a'):
    """Send requests at the same time, so that all usable servers get some.

    :returns: their statuses
    """
    statuses = []

    async def send_one(number):
        answer = await fleet.post(
            path, host=host, **{'Request-Id': f'{prefix}-{number}'}
        )
        statuses.append(answer.status_code)

    async with anyio.create_task_group() as tasks:
        for number in range(REQUESTS):
            tasks.start_soon(send_one, number)
    return statuses


class TestLeavingTargets(unittest.TestCase):
    @expand(
        [
            # answer of the leaving server
            ('stream', {}),
            ('error', {'status': 500}),
            ('refusal', {'refuses_all': True}),
            ('cut stream', {'cut_after': 1}),
            ('answer to another request', {'foreign': True}),
        ]
    )
    def test_gets_nothing_after_its_answer(self, _, behaviour):
        """Its entry in the store still says that it is ready."""

        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                leaving, other = fleet.servers
                leaving.leaving = True
                for name, value in behaviour.items():
                    setattr(leaving, name, value)
                while leaving.headers == {}:
                    await _send(fleet, 'one', 'before')
                leaving.runs.clear()
                leaving.headers = {}
                self.assertEqual([200] * REQUESTS, await _send(fleet, 'one'))
                self.assertEqual(({}, []), (leaving.headers, leaving.runs))
                self.assertGreaterEqual(len(other.runs), REQUESTS)

        platform_fakes.run(test)

    def test_holds_without_store_and_peers(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), count=2) as fleet:
                leaving = fleet.servers[0]
                leaving.leaving = True
                fleet.store.silent = True
                fleet.hosts['two'].stop()
                while not leaving.runs:
                    await _send(fleet, 'one', 'before')
                leaving.runs.clear()
                await _send(fleet, 'one')
                self.assertEqual([], leaving.runs)

        platform_fakes.run(test)

    def test_peers_are_notified(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), count=2) as fleet:
                leaving = fleet.servers[0]
                leaving.leaving = True
                while not leaving.runs:
                    await _send(fleet, 'one', 'before')
                await anyio.sleep(0.1)
                leaving.runs.clear()
                await _send(fleet, 'two')
                self.assertEqual([], leaving.runs)

        platform_fakes.run(test)

    def test_resumed_streams_go_elsewhere(self):
        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                leaving = fleet.servers[0]
                leaving.leaving = True
                leaving.cut_after = 2
                statuses = await _send(fleet, 'one', 'before')
                self.assertEqual([200] * REQUESTS, statuses)
                self.assertTrue(leaving.runs)
                self.assertEqual({1}, {first for _, first in leaving.runs})

        platform_fakes.run(test)

    def test_items_go_elsewhere(self):
        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                leaving = fleet.servers[0]
                leaving.leaving = True
                while not leaving.runs:
                    await _send(fleet, 'one', 'before')
                leaving.runs.clear()
                answer = await fleet.post(
                    '/jobs/a',
                    platform_fakes.submission(count=8),
                    **{'Request-Id': 'job-1'},
                )
                self.assertEqual(202, answer.status_code)
                page = await fleet.results('job-1', 8)
                self.assertEqual(8, len(page['results']))
                self.assertEqual([], leaving.runs)

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()
