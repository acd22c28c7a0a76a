"""An item that crashes each target that begins to run it, beside others."""

import json
import unittest

import anyio
import parameterized

from persimmonpass.policy import batch_scheduling as policy
from tests import platform_fakes

expand = parameterized.parameterized.expand
ITEMS = 10
DEADLY = 'dead'
# When the results of the route of the tests are due.
FINISH_SECONDS = 18.0


def load(name, slots=8, batch=0):
    return policy.TargetLoad(name, slots, 0, batch)


class TestPolicy(unittest.TestCase):
    @expand(
        [
            # targets where items wait, whether the item is a suspect; targets
            ('nothing', {}, True, {'a', 'b'}),
            ('suspect beside an item', {'a': False}, True, {'b'}),
            ('suspect beside a suspect', {'a': True}, True, {'b'}),
            ('item beside a suspect', {'a': True}, False, {'b'}),
            ('item beside an item', {'a': False}, False, {'a', 'b'}),
            ('everywhere', {'a': True, 'b': False}, True, set()),
        ]
    )
    def test_apart(self, _, waiting, is_suspect, expected):
        loads = policy.apart(
            [load('a'), load('b')], waiting, is_suspect=is_suspect
        )
        free = {row.name for row in loads if policy.free_slots(row) > 0}
        self.assertEqual(expected, free)

    @expand([(0, 0), (2, 0), (3, 4), (4, 8), (7, 60), (5_000, 60)])
    def test_suspect_pause(self, crashes, seconds):
        self.assertEqual(seconds, policy.suspect_pause(crashes))


class TestFleet(unittest.TestCase):
    """Sound items of the same job were never run."""

    @expand([('first', 0, 1), ('last', ITEMS - 1, 1), ('two', 0, 2)])
    def test_sound_items_are_done(self, _, position, count):
        async def test():
            async with platform_fakes.fleet(count=count) as fleet:
                for server in fleet.servers:
                    server.deadly_part = DEADLY
                    server.crash_ends_all = True
                    server.read_seconds = 0.1
                    server.pace_seconds = 0.05
                answer = await fleet.post(
                    '/jobs/x', job(position), **{'Request-Id': 'job'}
                )
                self.assertEqual(202, answer.status_code)
                with anyio.fail_after(FINISH_SECONDS):
                    page = await fleet.results('job', ITEMS - 1)
                done = {row['id'] for row in page['results']}
                self.assertNotIn(f'item-{position}', done)
                before = sum(server.crashes for server in fleet.servers)
                await anyio.sleep(policy.SUSPECT_PAUSE_SECONDS)
                after = sum(server.crashes for server in fleet.servers)
                self.assertLessEqual(after - before, 1)

        anyio.run(test)


def job(position):
    """Return a job whose items share the first part of their prompts.

    :param position: position of the item that crashes targets
    """
    body = json.loads(platform_fakes.submission(ITEMS))
    for number, item in enumerate(body['items']):
        part = DEADLY if number == position else f'own{number}'
        item['headers']['Prompt-Prefix'] = f'shared:100,{part}:50'
    return json.dumps(body)


if __name__ == '__main__':
    unittest.main()
