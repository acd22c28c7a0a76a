"""Which route the items of a job take while the configuration changes."""

import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.controllers.batch import item_runner
from persimmonpass import routes
from tests import platform_fakes

expand = parameterized.parameterized.expand
HOST = platform_fakes.HOST


def make_route(name, prefix, service, kind=routes.Kind.JOB, host=HOST):
    return routes.Route(
        name, host, prefix, kind, (routes.Share(service, 1.0),), 1.0, 0.3
    )


JOBS = make_route('jobs', '/jobs/', 'notes')
PART = make_route('part', '/jobs/3/', 'chat')
STREAMS = make_route('streams', '/jobs/3/', 'chat', routes.Kind.STREAM)


class TestFind(unittest.TestCase):
    """Guards against items that follow the path of another item."""

    @expand(
        [
            ('only route', [JOBS], '/jobs/4/a', 'jobs'),
            ('longer prefix added', [JOBS, PART], '/jobs/3/a', 'jobs'),
            ('streams added', [STREAMS, JOBS], '/jobs/3/a', 'jobs'),
            ('beside the added route', [PART, JOBS], '/jobs/4/a', 'jobs'),
            (
                'renamed',
                [JOBS._replace(name='new')],
                '/jobs/4/a',
                'new',
            ),
            (
                'split into two',
                [PART, make_route('rest', '/jobs/4/', 'notes')],
                '/jobs/3/a',
                'part',
            ),
            (
                'name given to another prefix',
                [
                    JOBS._replace(path_prefix='/other/'),
                    make_route('new', '/jobs/', 'chat'),
                ],
                '/jobs/4/a',
                'new',
            ),
            (
                'path outside of its route',
                [JOBS, make_route('else', '/b/', 'chat')],
                '/c/1',
                'jobs',
            ),
            (
                'host moved',
                [JOBS._replace(host='other.example')],
                '/jobs/4/a',
                None,
            ),
            ('removed', [make_route('else', '/b/', 'chat')], '/jobs/4', None),
            ('only streams left', [STREAMS], '/jobs/3/a', None),
            ('query', [JOBS, PART], '/jobs/4/a?b=/jobs/3/', 'jobs'),
        ]
    )
    def test_find_for_item(self, _, present, path, expected):
        index = routes.JobRoutes(present)
        found = index.find('jobs', HOST, path)
        self.assertEqual(expected, found and found.name)


class TestFleet(unittest.TestCase):
    @expand(
        [
            ('first item', (3, 4, 5), 'batch'),
            ('last item', (4, 5, 3), 'batch'),
            ('first item, streams', (3, 4, 5), 'streaming'),
        ]
    )
    def test_longer_prefix_is_added(self, _, numbers, kind):
        """Guards against a job that follows a route added below its own.

        The route that was added covers the path of one item only.
        """

        async def test():
            async with two_services() as fleet:
                fleet.store.memory.put(
                    'config', 'main', configuration(2, added=kind)
                )
                await anyio.sleep(0.5)
                await submit(fleet, numbers)
                page = await fleet.results('j', len(numbers))
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * len(numbers), states)
                self.assertEqual([], fleet.servers[1].runs)

        platform_fakes.run(test)

    def test_route_moves_while_items_wait(self):
        """Items that start after a version go to the service that it names."""

        async def test():
            async with two_services() as fleet:
                fleet.servers[0].refuses_all = True
                await submit(fleet, (3, 4))
                await anyio.sleep(0.3)
                fleet.store.memory.put(
                    'config', 'main', configuration(2, service='chat')
                )
                page = await fleet.results('j', 2)
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * 2, states)
                self.assertEqual([], fleet.servers[0].runs)

        platform_fakes.run(test)

    @expand(
        [
            ('twice for a moment', (0.6, 0.6), 'completed'),
            ('for longer than the limit', (2.0,), 'dead_letter'),
        ]
    )
    def test_route_is_missing(self, _, gaps, expected):
        """An item fails after its route was missing without a break."""

        async def test():
            async with two_services() as fleet:
                await run_one_job(fleet)
                fleet.servers[0].refuses_all = True
                await submit(fleet, (3,))
                version = 1
                for gap in gaps:
                    for service, seconds in ((None, gap), ('notes', 0.4)):
                        version += 1
                        fleet.store.memory.put(
                            'config', 'main', configuration(version, service)
                        )
                        await anyio.sleep(seconds)
                fleet.servers[0].refuses_all = False
                page = await fleet.results('j', 1)
                self.assertEqual(expected, page['results'][0]['state'])

        with mock.patch.object(
            item_runner, 'ROUTE_MISSING_TIMEOUT_SECONDS', 0.9
        ):
            platform_fakes.run(test)


def configuration(version, service='notes', added=None):
    """Return a configuration with a job route and one that was added.

    :param service: service of the job route; ``None`` for no such route
    :param added: type of the added route, ``None`` for no such route
    """
    present = [platform_fakes.route('/chat/', service='chat')]
    if service is not None:
        present.append(
            platform_fakes.route('/jobs/', 'batch', service=service)
        )
    if added is not None:
        present.append(platform_fakes.route('/jobs/3/', added, service='chat'))
    return platform_fakes.configuration(version, present) | {
        'services': [
            {'name': name, 'engine': {'slots': 8}}
            for name in ('notes', 'chat')
        ]
    }


def two_services():
    return platform_fakes.fleet(
        slots=[8, 8],
        services=('notes', 'chat'),
        config=configuration(1),
    )


async def run_one_job(fleet):
    """Run a job, after which a host is the batch runner."""
    await submit(fleet, (4,), 'first')
    await fleet.results('first', 1)


async def submit(fleet, numbers, job_id='j'):
    """Submit a job with an item for each number, which begins its path."""
    body = platform_fakes.submission_of(
        [f'/jobs/{number}/91c4' for number in numbers]
    )
    answer = await fleet.post('/jobs/j', body, **{'Request-Id': job_id})
    answer.raise_for_status()


if __name__ == '__main__':
    unittest.main()
