"""Requests that are in progress while targets crash for other reasons."""

import unittest

import anyio
import parameterized

from persimmonpass.controllers.targets import crash_watch
from tests import fakes

expand = parameterized.parameterized.expand
REQUEST = 'path and body'
HOSTS = ('one', 'two')


def run(test):
    """Run ``test(first, second)`` with the tables of two hosts."""

    async def main():
        network = fakes.Network()
        async with anyio.create_task_group() as tasks:
            tables = [
                crash_watch.CrashWatch(host, network.port(host, tasks))
                for host in HOSTS
            ]
            for host, table in zip(HOSTS, tables, strict=True):
                network.handlers[host] = table.handlers
            await test(*tables)
            tasks.cancel_scope.cancel()

    fakes.run(main)


class TestCrashWatch(unittest.TestCase):
    @expand(
        [
            # what happens in order: the crash of a target or an answer
            ('crashes only', ['a', 'b', 'c'], True),
            ('two crashes', ['a', 'b'], False),
            ('same target', ['a', 'a', 'a'], False),
            ('answer between', ['a', 'b', None, 'c'], False),
            ('answer before', [None, 'a', 'b', 'c'], True),
            ('answer after', ['a', 'b', 'c', None], False),
            ('three later', ['a', None, 'b', 'c', 'd'], True),
        ]
    )
    def test_answered_request_is_not_refused(self, _, steps, expected):
        """Crashes of a busy service turned off a lookup for all callers."""

        async def test(first, second):
            for target in steps:
                # The crash is seen at one host and the answer at the other.
                if target is None:
                    second.record_answer(REQUEST)
                else:
                    first.record_crash(REQUEST, target)
                await anyio.sleep(7)
            found = [
                table.is_quarantined(REQUEST) for table in (first, second)
            ]
            self.assertEqual([expected] * 2, found)

        run(test)

    def test_answers_of_sound_requests_are_not_told(self):
        network = fakes.Network()
        network.handlers = dict.fromkeys(HOSTS, {})
        table = crash_watch.CrashWatch('one', network.port('one'))
        for _ in range(100):
            table.record_answer(REQUEST)
        self.assertEqual([], network.notices)


if __name__ == '__main__':
    unittest.main()
