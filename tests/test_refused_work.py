"""Requests that no target takes, beside others that all of them take."""

import json
import unittest

import anyio
import parameterized

from persimmonpass.controllers.batch import batch_chunk
from persimmonpass import jobs
from persimmonpass.policy import batch_scheduling
from persimmonpass.policy import refusals
from persimmonpass import verdicts
from tests import batch_fakes
from tests import online_fakes
from tests import platform_fakes

expand = parameterized.parameterized.expand
MEMORY = 1_000
LARGE = 1_500
SMALL = 100
LARGE_ITEMS = 14
SOUND_ITEMS = 10
# A sound item takes some milliseconds here; the limit is the deadline of an
# online request.
FINISH_SECONDS = 3.0
# Hosts of the daemon collect results for five seconds.
DAEMON_FINISH_SECONDS = 5.0 + batch_chunk.LINGER_SECONDS
LARGE_STREAMS_PER_SECOND = 7
STREAM_SECONDS = 4.0
SOUND_STREAMS = 20


def add(table, *rows):
    """Return a table with refusals.

    :param rows: request, tokens and time of each refusal
    """
    for row in rows:
        table = refusals.with_refusal(table, *row)
    return table


class TestPolicy(unittest.TestCase):
    @expand(
        [
            # refusals of requests: id, tokens, time; blocked size at time 1
            ('none', [], None),
            ('one', [('a', 50, 1.0)], None),
            ('same request', [('a', 50, 1.0)] * 9, None),
            ('two', [('a', 50, 1.0), ('b', 40, 1.0)], 40),
            ('two of other sizes', [('a', 50, 1.0), ('b', 9, 1.0)], None),
            ('long ago', [('a', 50, -5.0), ('b', 50, 1.0)], None),
            ('over', [('a', 50, 0.0), ('b', 50, 0.4)], None),
            ('size unknown', [('a', 0, 1.0), ('b', 0, 1.0)], 0),
            ('below zero', [('a', -9, 1.0), ('b', -5, 1.0)], 0),
        ]
    )
    def test_smallest_blocked(self, _, rows, expected):
        found = refusals.smallest_blocked(add({}, *rows), 1.0)
        self.assertEqual(float('inf') if expected is None else expected, found)

    def test_blocks_get_longer_up_to_a_limit(self):
        table, lengths, now = {}, [], 0.0
        for number in range(2_000):
            table = add(table, (str(number), 50, now))
            [row] = table.values()
            lengths.append(row.blocked_until - now)
            now = row.blocked_until
        self.assertEqual([0.25, 0.5, 1.0, 2.0], lengths[1:5])
        self.assertEqual({refusals.MAX_BLOCK_SECONDS}, set(lengths[4:]))
        self.assertLessEqual(len(row.requests), refusals.MAX_REQUESTS)

    def test_requests_that_were_sent_before_a_block_make_it_no_longer(self):
        rows = [(str(number), 50, 1.0) for number in range(8)]
        [row] = add({}, *rows).values()
        self.assertEqual(1.25, row.blocked_until)

    @expand([(49, 50), (50, None), (5_000, None)])
    def test_taken_request_ends_blocks_up_to_its_size(self, taken, expected):
        table = add({}, ('a', 50, 1.0), ('b', 50, 1.0))
        table = refusals.without_taken(table, taken)
        found = refusals.smallest_blocked(table, 1.0)
        self.assertEqual(float('inf') if expected is None else expected, found)

    @expand([(1, 0.3), (2, 0.6), (5, 4.8), (6, 8.0), (5_000, 8.0)])
    def test_item_pause(self, count, seconds):
        self.assertAlmostEqual(seconds, refusals.item_pause(count))

    @expand([(1, 0.02), (2, 0.25), (5, 2.0), (5_000, 2.0)])
    def test_request_pause(self, count, seconds):
        self.assertAlmostEqual(seconds, refusals.request_pause(count))

    def test_set_back_items_come_last(self):
        rows = [
            batch_scheduling.Pending('j', n, 100.0 - n, 1.0, 1, 0.0, n > 1)
            for n in range(4)
        ]
        rows.sort(key=lambda row: batch_scheduling.rank(row, 0.0))
        self.assertEqual([1, 0, 3, 2], [row.item for row in rows])

    @expand([(99, 'full'), (100, 'other'), (101, 'other')])
    def test_item_goes_where_it_is_not_refused(self, tokens, expected):
        loads = [
            batch_scheduling.TargetLoad('full', 9, 0, 0, refuses_from=100),
            batch_scheduling.TargetLoad('other', 5, 0, 0),
        ]
        found = batch_scheduling.pick_target(loads, tokens=tokens)
        self.assertEqual(expected, found)


class TestItems(unittest.TestCase):
    """Items of other jobs were never sent, beside idle targets."""

    @expand(
        [
            (f'{name} {count} {large}', count, large, by_size)
            for name, by_size in (('too large', True), ('odd', False))
            for count in (1, 2)
            for large in (LARGE_ITEMS, 8 * LARGE_ITEMS)
        ]
    )
    def test_sound_items_of_other_jobs_run(self, _, count, large, by_size):
        async def test():
            config = platform_fakes.configuration(
                1, [platform_fakes.route('/jobs/', 'batch', maxCount=0)]
            )
            async with platform_fakes.fleet(
                count=count, config=config
            ) as fleet:
                for server in fleet.servers:
                    if by_size:
                        server.memory = MEMORY
                    else:
                        server.refused_path = '/odd/'
                await submit(fleet, 'large', large, by_size, '/jobs/odd/')
                await submit(fleet, 'sound', SOUND_ITEMS, False, '/jobs/')
                with anyio.fail_after(FINISH_SECONDS):
                    page = await fleet.results('sound', SOUND_ITEMS)
                self.assertEqual(SOUND_ITEMS, page['next'])

        anyio.run(test)

    def test_sound_items_of_the_same_job_run(self):
        async def test():
            async with platform_fakes.fleet() as fleet:
                for server in fleet.servers:
                    server.refused_path = '/odd/'
                paths = [
                    f'/jobs/{"odd/" * (number < LARGE_ITEMS)}{number}'
                    for number in range(LARGE_ITEMS + SOUND_ITEMS)
                ]
                await fleet.post(
                    '/jobs/x',
                    platform_fakes.submission_of(paths),
                    **{'Request-Id': 'job'},
                )
                with anyio.fail_after(FINISH_SECONDS):
                    page = await fleet.results('job', SOUND_ITEMS)
                self.assertEqual(SOUND_ITEMS, page['next'])

        anyio.run(test)

    def test_refused_items_are_tried_ever_more_rarely(self):
        async def test():
            async with platform_fakes.fleet() as fleet:
                for server in fleet.servers:
                    server.memory = MEMORY
                await submit(fleet, 'large', 4, True, '/jobs/')
                await anyio.sleep(FINISH_SECONDS)
                tried = sum(server.refused for server in fleet.servers)
                # After 0, 0.3, 0.9 and 2.1 s.
                self.assertLessEqual(tried, 4 * 4)
                for server in fleet.servers:
                    server.memory = None
                with anyio.fail_after(10):
                    await fleet.results('large', 4)

        anyio.run(test)


class TestStreams(unittest.TestCase):
    """Streams of others were refused or late."""

    @expand(
        [
            ('one target', 1, LARGE_STREAMS_PER_SECOND),
            ('two targets', 2, LARGE_STREAMS_PER_SECOND),
            ('five targets', 5, LARGE_STREAMS_PER_SECOND),
            ('many at one target', 1, 8 * LARGE_STREAMS_PER_SECOND),
            ('many at two targets', 2, 8 * LARGE_STREAMS_PER_SECOND),
        ]
    )
    def test_other_streams_are_served(self, _, count, rate):
        statuses = []

        async def send(fleet, name, tokens):
            answer = await fleet.post(
                '/notes/x',
                **{'Request-Id': name, 'Token-Usage': f'{tokens - 1},1'},
            )
            if tokens == SMALL:
                statuses.append(answer.status_code)
            else:
                self.assertEqual(503, answer.status_code)

        async def test():
            async with platform_fakes.fleet(count=count) as fleet:
                for server in fleet.servers:
                    server.memory = MEMORY
                async with anyio.create_task_group() as tasks:
                    for kind, tokens, number in (
                        ('large', LARGE, rate),
                        ('small', SMALL, SOUND_STREAMS / STREAM_SECONDS),
                    ):
                        tasks.start_soon(send_all, fleet, kind, tokens, number)

        async def send_all(fleet, kind, tokens, rate):
            async with anyio.create_task_group() as tasks:
                for number in range(round(STREAM_SECONDS * rate)):
                    tasks.start_soon(send, fleet, f'{kind}-{number}', tokens)
                    await anyio.sleep(1 / rate)

        anyio.run(test)
        self.assertEqual([200] * SOUND_STREAMS, statuses)

    def test_target_that_takes_nothing_gets_few_requests(self):
        async def test():
            async with platform_fakes.fleet() as fleet:
                odd, sound = fleet.servers
                odd.refuses_all = True
                for number in range(60):
                    answer = await fleet.post(
                        '/notes/x', **{'Request-Id': f'r{number}'}
                    )
                    self.assertEqual(200, answer.status_code)
                self.assertEqual(60, len(sound.runs))
                self.assertLess(odd.refused, 60 / 2)

        anyio.run(test)


class TestDaemon(unittest.TestCase):
    """The same at persimmonpassd."""

    def test_completions_run_at_all_targets(self):
        """Each refusal ejected its target."""

        async def test(fleet):
            fleet.targets.refuses = lambda prompt: len(prompt) > MEMORY
            host = fleet.hosts['h1']
            for number in range(40):
                large = f'{number}' + 'x' * LARGE
                _, last = await host.complete(large, f'large-{number}')
                self.assertEqual(503, last.err_value.status)
                self.assertIs(verdicts.Verdict.NOT_RUN, last.err_value.verdict)
                _, last = await host.complete('pump', f'small-{number}')
                self.assertTrue(last.is_ok())
            ran = [len(runs) for runs in fleet.targets.runs.values()]
            self.assertEqual(4, len(ran))
            self.assertGreater(min(ran), 2)
            self.assertNotIn(
                ('h1', 'h2', 'health.suspect'), fleet.network.notices
            )

        online_fakes.run(
            test, targets=('e1', 'e2', 'e3', 'e4'), hosts=('h1', 'h2')
        )

    @expand(
        [
            # prompt and number of refused items, seconds until the others
            ('too large', 'x' * LARGE, 8 * LARGE_ITEMS, 5),
            ('too large, at once', 'x' * LARGE, 600, 1),
            ('odd', 'odd', 600, 5),
        ]
    )
    def test_sound_items_of_other_jobs_run(self, _, prompt, count, seconds):
        """Each refusal paused its target for up to 8 s."""
        sound = jobs.JobKey('desk', 'sound')

        async def test(fleet):
            fleet.engines.refuses = lambda found: prompt in found
            host = fleet.hosts[0]
            (await host.submit(count, prompt=prompt)).unwrap()
            await anyio.sleep(seconds)
            (await host.submit(SOUND_ITEMS, sound, prompt='p')).unwrap()
            began = anyio.current_time()
            await fleet.wait(
                lambda: len(fleet.records(key=sound)) == SOUND_ITEMS
            )
            elapsed = anyio.current_time() - began
            self.assertLess(elapsed, DAEMON_FINISH_SECONDS)
            self.assertEqual([], fleet.records())

        batch_fakes.run(test)

    def test_refused_items_run_once_they_are_taken(self):
        async def test(fleet):
            fleet.engines.refuses = lambda found: True
            (await fleet.hosts[0].submit(4)).unwrap()
            await anyio.sleep(8)
            # After 0, 0.3, 0.9, 2.1 and 4.5 s at one host.
            self.assertLessEqual(fleet.engines.refusals, 4 * 6)
            fleet.engines.refuses = lambda found: False
            results, duplicates = await fleet.finish(4)
            self.assertEqual(4, len(results))
            self.assertEqual(0, duplicates)

        batch_fakes.run(test)


async def submit(fleet, name, count, is_large, path):
    """Submit a job."""
    tokens = LARGE if is_large else SMALL
    body = json.loads(
        platform_fakes.submission_of(
            [f'{path}{number}' for number in range(count)],
            headers={'Token-Usage': f'{tokens - 1},1'},
            tokens=tokens,
        )
    )
    for number, item in enumerate(body['items']):
        item['id'] = f'{name}-{number}'
    answer = await fleet.post(
        '/jobs/x', json.dumps(body), **{'Request-Id': name}
    )
    if answer.status_code != 202:
        raise AssertionError(f'expected 202, got {answer.status_code}')


if __name__ == '__main__':
    unittest.main()
