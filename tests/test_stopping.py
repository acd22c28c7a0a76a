"""Which requests a host takes while it stops."""

import unittest

import anyio
import parameterized

from persimmonpass.controllers.fleet import drain
from persimmonpass.policy import stopping
from tests import fakes

expand = parameterized.parameterized.expand

GRACE = 7.0
KEPT = 3.0


class TestAccepts(unittest.TestCase):
    @expand(
        [
            # elapsed, whether published, longest time, may repeat, accepted
            ('fits', 1.0, True, 6.0, False, True),
            ('fits, repeatable', 1.0, True, 6.0, True, True),
            ('does not fit', 1.1, True, 6.0, False, False),
            ('does not fit, repeatable', 1.1, True, 6.0, True, False),
            ('fits, caller could know', 3.1, True, 3.0, False, True),
            ('forgotten', 3.6, False, 0.1, False, False),
            ('forgotten, repeatable', 3.6, False, 0.1, True, False),
            ('longer than a stop', 0.0, True, 8.0, False, False),
            ('longer, repeatable', 3.0, True, 8.0, True, True),
            ('longer, caller could know', 3.1, True, 8.0, True, False),
            ('no limit', 0.0, True, float('inf'), False, False),
            ('no limit, repeatable', 0.0, True, float('inf'), True, True),
        ]
    )
    def test_row(self, _, elapsed, published, allowed, may_repeat, expected):
        stop = stopping.Stop(elapsed, GRACE, KEPT, published)
        self.assertEqual(
            expected, stopping.accepts(stop, allowed, may_repeat=may_repeat)
        )


class TestCallersThatStay(unittest.TestCase):
    """Requests that go on coming until the host has stopped."""

    @expand(
        [
            # seconds that each request takes and may take, may repeat
            ('short', 0.2, 0.2, True),
            ('shorter than allowed', 0.2, 5.0, False),
            ('long', 4.5, 5.0, False),
            ('long, repeatable', 4.5, 5.0, True),
            ('longer than the stop', 9.0, 10.0, False),
            ('mostly short, repeatable', 0.2, 10.0, True),
        ]
    )
    def test_no_request_that_was_taken_is_cut(
        self, _, takes, allowed, may_repeat
    ):
        cut, refused, served = [], [], []
        reports = []

        async def body():
            in_progress = 0
            ports = drain.DrainPorts(
                lambda: True, list, None, lambda: in_progress
            )
            tested = drain.Drain('me', ports, KEPT, GRACE)
            began = anyio.current_time()

            async def call():
                nonlocal in_progress
                sent_at = anyio.current_time() - began
                if not tested.accepts(allowed, may_repeat=may_repeat):
                    refused.append(sent_at)
                    return
                in_progress += 1
                with tested.cancelled_at_end() as scope:
                    await anyio.sleep(takes)
                in_progress -= 1
                (cut if scope.cancelled_caught else served).append(sent_at)

            async def keep_calling(tasks):
                while not reports:
                    tasks.start_soon(call)
                    await anyio.sleep(0.1)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keep_calling, tasks)
                tested.started.set()
                reports.append(await tested.run())

        fakes.run(body)
        self.assertEqual([], cut)
        self.assertTrue(refused)
        self.assertEqual(may_repeat or allowed <= GRACE, bool(served))
        self.assertLess(reports[0].seconds, GRACE + 0.1)


if __name__ == '__main__':
    unittest.main()
