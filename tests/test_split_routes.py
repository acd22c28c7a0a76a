"""Routes that divide their requests and items among services."""

import collections
import unittest

import anyio
import parameterized

from persimmonpass import routes
from tests import platform_fakes

expand = parameterized.parameterized.expand
ITEMS = 12
REQUESTS = 16
IDS = [f'r{number}' for number in range(2000)]


def make_route(**weights):
    return routes.Route(
        'jobs',
        platform_fakes.HOST,
        '/jobs/',
        routes.Kind.JOB,
        tuple(routes.Share(*row) for row in weights.items()),
        1.0,
        0.3,
    )


class TestPickService(unittest.TestCase):
    @expand(
        [
            ('all usable', {'a': 3, 'b': 1}, 'ab', {'a': 0.75, 'b': 0.25}),
            ('one of two', {'a': 3, 'b': 1}, 'b', {'b': 1.0}),
            (
                'two of three',
                {'a': 4, 'b': 3, 'c': 1},
                'bc',
                {'b': 0.75, 'c': 0.25},
            ),
            ('none usable', {'a': 3, 'b': 1}, '', {'a': 0.75, 'b': 0.25}),
            ('without a weight', {'a': 1, 'b': 0}, 'b', {'a': 1.0}),
            ('only service', {'a': 1}, '', {'a': 1.0}),
        ]
    )
    def test_shares(self, _, weights, usable, expected):
        route = make_route(**weights)
        drawn = collections.Counter(
            routes.pick_service(route, request_id, usable)
            for request_id in IDS
        )
        self.assertEqual(set(expected), set(drawn))
        for service, share in expected.items():
            self.assertAlmostEqual(
                share, drawn[service] / len(IDS), delta=0.04
            )

    def test_a_loss_moves_no_request_of_other_services(self):
        route = make_route(a=2, b=1, c=1)
        moved = {
            routes.pick_service(route, request_id)
            for request_id in IDS
            if routes.pick_service(route, request_id, 'ab')
            != routes.pick_service(route, request_id)
        }
        self.assertEqual({'c'}, moved)


async def leave(fleet):
    fleet.store.memory.remove('servers', 'i-1')


async def crash(fleet):
    fleet.servers[1].down_until = anyio.current_time() + 60


LOSSES = [
    ('the only target leaves', leave),
    ('the only target crashes and stays listed', crash),
]


class TestFleet(unittest.TestCase):
    @expand(LOSSES)
    def test_items_run_at_the_other_service(self, _, lose):
        """Guards against items that wait for a service without targets."""

        async def test():
            async with split_fleet() as fleet:
                await lose(fleet)
                await submit(fleet)
                page = await fleet.results('j', ITEMS)
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * ITEMS, states)

        platform_fakes.run(test)

    @expand(LOSSES)
    def test_items_that_began_go_to_the_other_service(self, _, lose):
        """Guards against items that are bound to the service they began at."""

        async def test():
            async with split_fleet() as fleet:
                fleet.servers[1].pace_seconds = 0.2
                await submit(fleet)
                with anyio.fail_after(5):
                    while not fleet.servers[1].busy:
                        await anyio.sleep(0.01)
                await anyio.sleep(0.3)
                fleet.servers[1].cut_after = 0
                await lose(fleet)
                page = await fleet.results('j', ITEMS)
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * ITEMS, states)

        platform_fakes.run(test)

    @expand(LOSSES)
    def test_requests_are_served_by_the_other_service(self, _, lose):
        """Guards against requests refused for a service without targets."""

        async def test():
            async with split_fleet() as fleet:
                await lose(fleet)
                await anyio.sleep(0.2)
                statuses = []
                for number in range(REQUESTS):
                    answer = await fleet.post(
                        '/notes/a', **{'Request-Id': f'r{number}'}
                    )
                    statuses.append(answer.status_code)
                self.assertEqual([200] * REQUESTS, statuses)

        platform_fakes.run(test)

    def test_both_services_serve(self):
        """A service gets its share while it has a target."""

        async def test():
            async with split_fleet() as fleet:
                await submit(fleet)
                await fleet.results('j', ITEMS)
                for number in range(REQUESTS):
                    await fleet.post(
                        '/notes/a', **{'Request-Id': f'r{number}'}
                    )
                for server in fleet.servers:
                    ids = {request_id for request_id, _ in server.runs}
                    self.assertLess(REQUESTS / 4, len(ids))

        platform_fakes.run(test)


def split_fleet():
    """Run a deployment with two services of a target each."""
    split = [{'service': name, 'weight': 1} for name in ('notes', 'chat')]
    present = [
        platform_fakes.route('/notes/'),
        platform_fakes.route('/jobs/', 'batch', maxAttempts=3),
    ]
    for row in present:
        del row['service']
        row['split'] = split
    config = platform_fakes.configuration(1, present) | {
        'services': [
            {'name': name, 'engine': {'slots': 8}}
            for name in ('notes', 'chat')
        ]
    }
    return platform_fakes.fleet(
        slots=[8, 8], services=('notes', 'chat'), config=config
    )


async def submit(fleet):
    answer = await fleet.post(
        '/jobs/j', platform_fakes.submission(ITEMS), **{'Request-Id': 'j'}
    )
    answer.raise_for_status()


if __name__ == '__main__':
    unittest.main()
