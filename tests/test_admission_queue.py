"""Simulates the queue of online requests on a paused clock."""

import collections
import typing
import unittest

import anyio
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import target_limits
from persimmonpass.policy import queueing
from tests import fakes
from tests import platform_fakes

SERVICE = 'notes'
OTHER = 'letters'
SLOTS = 8
OBJECTIVE_SECONDS = 0.3
FIRST_SECONDS = 0.1
RUN_SECONDS = 0.4
CALLER_TIMEOUT_SECONDS = 2.0


class Ended(typing.NamedTuple):
    """How a request left the queue.

    :ivar outcome: ``on time``, ``late`` or ``refused``
    :ivar arrived_at: clock at its arrival, in seconds
    :ivar waited: time in the queue, in seconds
    """

    outcome: str
    arrived_at: float
    waited: float


class Hosts:
    """Hosts with one queue each that share the same targets."""

    def __init__(self, count, targets, tasks):
        network = fakes.Network()
        self.queues = []
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
            other_target = blackboard.Target('o-1', '', 'engine', 'a', {})
            board.targets.put(
                'o-1', other_target._replace(service=OTHER, slots=1)
            )
            occupied = occupancy.Occupancy(network.port(name, tasks))
            network.handlers[name] = occupied.handlers
            self.occupied.append(occupied)
            stats = platform_fakes.target_stats_of(name, board)
            limits = target_limits.TargetLimits(
                name,
                target_limits.LimitPorts(
                    board,
                    network.port(name),
                    lambda: list(network.handlers),
                    lambda: list(network.handlers),
                    lambda: None,
                ),
            )
            self.queues.append(
                admission_queue.AdmissionQueue(
                    name, 'a', board, occupied, stats, limits
                )
            )
        self.ended = []

    async def send(self, number):
        """Run a request at one of the hosts."""
        queue = self.queues[number % len(self.queues)]
        occupied = self.occupied[number % len(self.queues)]
        arrived_at = anyio.current_time()
        queued = queueing.QueuedRequest(
            0,
            arrived_at,
            queueing.placement_deadline(
                arrived_at, OBJECTIVE_SECONDS, FIRST_SECONDS
            ),
        )
        placed = await queue.acquire_slot(
            (SERVICE,), queued, arrived_at + CALLER_TIMEOUT_SECONDS
        )
        waited = anyio.current_time() - arrived_at
        if isinstance(placed, result.Err):
            self.ended.append(Ended('refused', arrived_at, waited))
            return
        late = anyio.current_time() > queued.placement_deadline
        outcome = 'late' if late else 'on time'
        self.ended.append(Ended(outcome, arrived_at, waited))
        await anyio.sleep(RUN_SECONDS)
        occupied.add_online(placed.ok_value.name, -1)


async def _release_later(occupied):
    await anyio.sleep(1)
    occupied.add_online('o-1', -1)


async def _run_load(count, loads):
    """Send requests at given rates and return how they ended.

    :param count: number of hosts
    :param loads: pairs of a duration in seconds and requests per second
    """
    async with anyio.create_task_group() as tasks:
        hosts = Hosts(count, 2, tasks)
        for row in (*hosts.queues, *hosts.occupied):
            tasks.start_soon(row.run)
        async with anyio.create_task_group() as requests:
            number = 0
            for seconds, rate in loads:
                for _ in range(int(seconds * rate)):
                    requests.start_soon(hosts.send, number)
                    number += 1
                    await anyio.sleep(1 / rate)
        tasks.cancel_scope.cancel()
    return hosts.ended


class TestLoads(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            # Two targets serve 40 requests per second.
            ('calm', 1, [(5, 30)], (1.0, 1.0)),
            ('a short peak', 1, [(1.5, 60), (4, 15)], (1.0, 0.6)),
            ('overload', 1, [(20, 100)], (0.38, 0.36)),
            ('overload of four hosts', 4, [(20, 100)], (0.38, 0.34)),
        ]
    )
    def test_served(self, _, count, loads, expected):
        """Most requests that fit into the slots are served, and on time.

        :param expected: minimum shares of requests that are served and that
            are served on time
        """

        async def test():
            ended = await _run_load(count, loads)
            outcomes = collections.Counter(row.outcome for row in ended)
            total = outcomes.total()
            self.assertGreaterEqual(
                (total - outcomes['refused']) / total, expected[0], outcomes
            )
            self.assertGreaterEqual(
                outcomes['on time'] / total, expected[1], outcomes
            )

        fakes.run(test, seed=5)

    def test_overload_of_one_service_does_not_affect_another(self):
        """A request of the other service waits for its only slot.

        The slot is occupied for a second while the first service is
        overloaded. Late requests of the first service must not cause the
        refusal of this one.
        """

        async def test():
            async with anyio.create_task_group() as tasks:
                hosts = Hosts(1, 1, tasks)
                queue, occupied = hosts.queues[0], hosts.occupied[0]
                for row in (queue, occupied):
                    tasks.start_soon(row.run)
                occupied.add_online('i-0', SLOTS)
                occupied.add_online('o-1', 1)
                for number in range(60):
                    tasks.start_soon(hosts.send, number)
                    await anyio.sleep(0.05)
                refused = [row for row in hosts.ended if row.waited < 0.3]
                self.assertNotEqual([], refused)
                now = anyio.current_time()
                tasks.start_soon(_release_later, occupied)
                placed = await queue.acquire_slot(
                    (OTHER,),
                    queueing.QueuedRequest(0, now, now + 0.2),
                    now + 2,
                )
                self.assertTrue(placed.is_ok(), placed)
                tasks.cancel_scope.cancel()

        fakes.run(test)

    def test_lasting_overload_refuses_early(self):
        """Requests that cannot get a slot are refused soon after arrival.

        Once the overload has lasted longer than callers wait, nine in ten
        refusals come within the time in which a request would have to be
        placed to be on time.
        """

        async def test():
            refused = sorted(
                row.waited
                for row in await _run_load(4, [(20, 100)])
                if row.outcome == 'refused'
                and row.arrived_at > 2 * CALLER_TIMEOUT_SECONDS
            )
            self.assertGreater(len(refused), 100)
            slack = OBJECTIVE_SECONDS - FIRST_SECONDS
            self.assertLessEqual(
                refused[int(0.9 * len(refused))], slack + 0.01
            )

        fakes.run(test, seed=5)


if __name__ == '__main__':
    unittest.main()
