"""The queue of online requests, played on a paused clock."""

import collections
import random
import typing
import unittest

import anyio
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.controllers import admission_queue
from persimmonpass.controllers import occupancy
from persimmonpass.controllers import target_stats
from persimmonpass.policy import queueing
from tests import fakes

SERVICE = 'notes'
OTHER = 'letters'
SLOTS = 8
OBJECTIVE_SECONDS = 0.3
FIRST_SECONDS = 0.1
RUN_SECONDS = 0.4
PATIENCE_SECONDS = 2.0


class Ended(typing.NamedTuple):
    """How a request left the queue.

    :ivar waited: in seconds
    """

    outcome: str
    came_at: float
    waited: float


class Hosts:
    """Hosts with a queue each, in front of the same targets."""

    def __init__(self, count, targets, tasks):
        network = fakes.Network()
        self.lines = []
        self.occupied = []
        for number in range(count):
            name = f'host-{number}'
            board = blackboard.Blackboard()
            for target in range(targets):
                row = blackboard.Target(
                    f'i-{target}', '', 'engine', 'a', {}, False, False
                )
                board.targets.put(
                    row.name, row._replace(service=SERVICE, slots=SLOTS)
                )
            other = blackboard.Target('o-1', '', 'engine', 'a', {})
            board.targets.put('o-1', other._replace(service=OTHER, slots=1))
            counts = occupancy.Occupancy(network.port(name, tasks))
            network.handlers[name] = counts.handlers
            self.occupied.append(counts)
            seen = target_stats.TargetStats(name, board)
            self.lines.append(
                admission_queue.AdmissionQueue(name, 'a', board, counts, seen)
            )
        self.ended = []

    async def send(self, number):
        """Run a request at one of the hosts."""
        line = self.lines[number % len(self.lines)]
        counts = self.occupied[number % len(self.lines)]
        came_at = anyio.current_time()
        waiter = queueing.QueuedRequest(
            0,
            came_at,
            queueing.placement_deadline(
                came_at, OBJECTIVE_SECONDS, FIRST_SECONDS
            ),
        )
        placed = await line.acquire_slot(
            SERVICE, waiter, came_at + PATIENCE_SECONDS
        )
        waited = anyio.current_time() - came_at
        if isinstance(placed, result.Err):
            self.ended.append(Ended('refused', came_at, waited))
            return
        late = anyio.current_time() > waiter.placement_deadline
        outcome = 'late' if late else 'on time'
        self.ended.append(Ended(outcome, came_at, waited))
        await anyio.sleep(RUN_SECONDS)
        counts.add_online(placed.ok_value.name, -1)


async def _free(counts):
    await anyio.sleep(1)
    counts.add_online('o-1', -1)


async def _play(count, loads):
    """Send requests.

    :param count: of the hosts
    :param loads: pairs of seconds and of requests a second
    """
    async with anyio.create_task_group() as tasks:
        hosts = Hosts(count, 2, tasks)
        for one in (*hosts.lines, *hosts.occupied):
            tasks.start_soon(one.run)
        async with anyio.create_task_group() as sends:
            number = 0
            for seconds, rate in loads:
                for _ in range(int(seconds * rate)):
                    sends.start_soon(hosts.send, number)
                    number += 1
                    await anyio.sleep(1 / rate)
        tasks.cancel_scope.cancel()
    return hosts.ended


class TestLoads(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            # Two targets serve 40 requests a second.
            ('calm', 1, [(5, 30)], (1.0, 1.0)),
            ('a short peak', 1, [(1.5, 60), (4, 15)], (1.0, 0.6)),
            ('overload', 1, [(20, 100)], (0.38, 0.36)),
            ('overload of four hosts', 4, [(20, 100)], (0.38, 0.34)),
        ]
    )
    def test_served(self, _, count, loads, expected):
        """Most of what slots allow is served, and on time.

        :param expected: least shares that are served and served on time
        """
        random.seed(5)

        async def test():
            ended = await _play(count, loads)
            outcomes = collections.Counter(one.outcome for one in ended)
            total = outcomes.total()
            self.assertGreaterEqual(
                (total - outcomes['refused']) / total, expected[0], outcomes
            )
            self.assertGreaterEqual(
                outcomes['on time'] / total, expected[1], outcomes
            )

        fakes.run(test)

    def test_overload_of_a_service_refuses_no_other(self):
        """Its one slot is taken for a second; the request waits for it."""

        async def test():
            async with anyio.create_task_group() as tasks:
                hosts = Hosts(1, 1, tasks)
                line, counts = hosts.lines[0], hosts.occupied[0]
                for one in (line, counts):
                    tasks.start_soon(one.run)
                counts.add_online('i-0', SLOTS)
                counts.add_online('o-1', 1)
                for number in range(60):
                    tasks.start_soon(hosts.send, number)
                    await anyio.sleep(0.05)
                refused = [one for one in hosts.ended if one.waited < 0.3]
                self.assertNotEqual([], refused)
                now = anyio.current_time()
                tasks.start_soon(_free, counts)
                placed = await line.acquire_slot(
                    OTHER, queueing.QueuedRequest(0, now, now + 0.2), now + 2
                )
                self.assertTrue(placed.is_ok(), placed)
                tasks.cancel_scope.cancel()

        fakes.run(test)

    def test_overload_that_lasts_is_told_at_once(self):
        """A caller is not kept for what it will not get.

        After the time that callers stay, nine in ten refusals come within
        the time in which a request would have to be placed to be on time.
        """
        random.seed(5)

        async def test():
            refused = sorted(
                one.waited
                for one in await _play(4, [(20, 100)])
                if one.outcome == 'refused'
                and one.came_at > 2 * PATIENCE_SECONDS
            )
            self.assertGreater(len(refused), 100)
            slack = OBJECTIVE_SECONDS - FIRST_SECONDS
            self.assertLessEqual(
                refused[int(0.9 * len(refused))], slack + 0.01
            )

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
