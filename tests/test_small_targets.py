"""Batch items on targets that run few requests at once."""

import unittest

import anyio
import parameterized

from persimmonpass.policy import batch_scheduling
from tests import platform_fakes

expand = parameterized.parameterized.expand
# Objective of the online route for the time to the first event.
OBJECTIVE_SECONDS = 0.3
EVENT_SECONDS = 0.2
ITEMS = 6


def load(name='t', slots=1, online=0, batch=0, **terms):
    return batch_scheduling.TargetLoad(name, slots, online, batch, **terms)


class TestPickTarget(unittest.TestCase):
    """Guards against a reserve that takes all slots of a small target."""

    @expand(
        [
            ('only target', [load()], 't'),
            ('only target, online there', [load(online=1)], None),
            ('only target, item there', [load(batch=1)], None),
            ('two slots', [load(slots=2)], 't'),
            ('two slots, one taken', [load(slots=2, online=1)], None),
            ('both free', [load('a'), load('b')], 'a'),
            ('last free slot', [load('a', batch=1), load('b')], None),
            ('other one busy', [load('a', online=1), load('b')], None),
            (
                'one of three left',
                [load('a', batch=1), load('b'), load('c')],
                'b',
            ),
            (
                'reserve of a larger target',
                [load('a'), load('b', slots=8, batch=7)],
                'a',
            ),
            (
                'larger target full',
                [load('a'), load('b', slots=8, online=8)],
                None,
            ),
            (
                'larger target preferred',
                [load('a'), load('b', slots=8, batch=2)],
                'b',
            ),
            ('slow target', [load(slowdown=3.0)], None),
            ('target on trial', [load(is_on_trial=True)], None),
        ]
    )
    def test_pick_target(self, _, loads, expected):
        self.assertEqual(expected, batch_scheduling.pick_target(loads))

    @expand(
        [
            ('only target', [load()], None),
            ('both free', [load('a'), load('b')], None),
            ('own reserve', [load(slots=2)], 't'),
        ]
    )
    def test_online_requests_wait(self, _, loads, expected):
        """A slot that is just free goes to the requests that wait for it."""
        self.assertEqual(
            expected, batch_scheduling.pick_target(loads, waiting=1)
        )

    @expand(
        [
            ('version has a free slot', 'v1', 'a'),
            ('version is full', 'v2', None),
        ]
    )
    def test_resume_leaves_the_reserve_of_the_service(
        self, _, software, expected
    ):
        """The reserve is one of all versions, not one of each."""
        loads = [
            load('a', software='v1'),
            load('b', software='v2', batch=1),
            load('c', software='v3'),
        ]
        choice = batch_scheduling.choose_to_resume(
            loads, software, is_listed=True, waited_seconds=0.0
        )
        self.assertEqual(expected, choice.target)


class TestFleet(unittest.TestCase):
    @expand(
        [
            ('one target of one slot', [1]),
            ('two targets of one slot', [1, 1]),
            ('three targets of one slot', [1, 1, 1]),
            ('one target of two slots', [2]),
            ('one slot beside eight', [1, 8]),
        ]
    )
    def test_items_run(self, _, slots):
        """Guards against items that never run on targets of one slot."""

        async def test():
            async with small_fleet(slots) as fleet:
                body = platform_fakes.submission(ITEMS)
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                page = await fleet.results('j', ITEMS)
                states = [row['state'] for row in page['results']]
                self.assertEqual(['completed'] * ITEMS, states)

        platform_fakes.run(test)

    @expand(
        [
            ('one target of one slot', [1]),
            ('two targets of one slot', [1, 1]),
            ('one target of two slots', [2]),
        ]
    )
    def test_online_does_not_wait_for_items(self, _, slots):
        """Requests that come one after the other pass the running items."""

        async def test():
            async with small_fleet(slots) as fleet:
                set_pace(fleet, EVENT_SECONDS)
                body = platform_fakes.submission(ITEMS)
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                for number in range(4):
                    with anyio.fail_after(5):
                        while not any(s.busy for s in fleet.servers):
                            await anyio.sleep(0.005)
                    seconds = await first_event_seconds(fleet, f'r{number}')
                    self.assertLess(seconds, OBJECTIVE_SECONDS)
                set_pace(fleet, 0.002)
                await fleet.results('j', ITEMS)

        platform_fakes.run(test)

    @expand([('one', 'two'), ('two', 'one')])
    def test_waiting_requests_go_before_items(self, first, other):
        """A slot that a request leaves goes to one that waits elsewhere."""

        async def test():
            async with small_fleet([1], hosts=('one', 'two')) as fleet:
                set_pace(fleet, 0.05)
                body = platform_fakes.submission(ITEMS)
                ids = [f'r{number}' for number in range(5)]
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(post, fleet, ids[0], first)
                    await anyio.sleep(0.03)
                    for request_id in ids[1:]:
                        tasks.start_soon(post, fleet, request_id, other)
                    await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                runs = [request_id for request_id, _ in fleet.servers[0].runs]
                self.assertEqual(set(ids), set(runs[: len(ids)]))
                await fleet.results('j', ITEMS)

        platform_fakes.run(test)


def small_fleet(slots, hosts=('one',)):
    """Run a deployment with targets of some numbers of slots."""
    return platform_fakes.fleet(
        hosts,
        slots=slots,
        config=platform_fakes.configuration(
            1,
            [
                platform_fakes.route('/notes/', sloMs=4000),
                platform_fakes.route('/jobs/', 'batch', maxAttempts=3),
            ],
        ),
    )


def set_pace(fleet, seconds):
    for server in fleet.servers:
        server.pace_seconds = seconds


async def post(fleet, request_id, host):
    answer = await fleet.post('/notes/a', 'x', host, **{
        'Request-Id': request_id, 'Deadline-Ms': '5000'
    })  # fmt: skip
    answer.raise_for_status()


async def first_event_seconds(fleet, request_id):
    """Return the time from a request to the first event of its answer."""
    began = anyio.current_time()
    async with fleet.client.stream(
        'POST',
        f'http://{fleet.addresses["one"]}/notes/a',
        content='x',
        headers={'Host': platform_fakes.HOST, 'Request-Id': request_id},
    ) as answer:
        answer.raise_for_status()
        async for _ in answer.aiter_bytes():
            return anyio.current_time() - began
    raise AssertionError('expected an event, got an empty answer')


if __name__ == '__main__':
    unittest.main()
