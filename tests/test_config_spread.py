"""How soon a version of the configuration is known on all hosts.

The bounds are those of the deployments: a host whose connections were reset
has to have all versions after 3 s in a small fleet and 4 s in a large one, and
undisturbed hosts after 2 s and 3 s.
"""

import random
import unittest

import anyio
import parameterized

from tests import fakes
from tests import spread_fakes

expand = parameterized.parameterized.expand
SMALL = (6, 6)
MEDIUM = (8, 8)
LARGE = (53, 10)
SETTLE_SECONDS = 5.0


class TestConfigSpread(unittest.TestCase):
    def run_fleet(self, size, seed, test):
        async def run():
            random.seed(seed)
            fleet = spread_fakes.Fleet(*size)
            async with anyio.create_task_group() as tasks:
                fleet.start(tasks)
                await anyio.sleep(SETTLE_SECONDS + 3 * random.random())
                await test(fleet)
                tasks.cancel_scope.cancel()

        fakes.run(run)

    def check_all_in_time(self, size, seeds, bound_seconds, disturb, count=0):
        """Check that a version that is written in a disturbance arrives.

        :param disturb: disturbs a fleet and writes version 1
        :param count: number of hosts, the first ones, that need not have it
        """
        late = {}

        async def test(fleet):
            await disturb(fleet)
            await anyio.sleep(bound_seconds)
            hosts = fleet.late_hosts(1, fleet.names[count:])
            if hosts:
                late[seed] = hosts

        for seed in range(seeds):
            self.run_fleet(size, seed, test)
        self.assertEqual({}, late)

    @expand(
        [
            ('small', SMALL, 3.0, 40),
            ('medium', MEDIUM, 3.0, 40),
            ('large', LARGE, 4.0, 10),
        ]
    )
    def test_version_arrives_after_open_connections_go_silent(
        self, _, size, bound_seconds, seeds
    ):
        async def disturb(fleet):
            fleet.silence_open_connections()
            await anyio.sleep(0.05)
            fleet.write(1)

        self.check_all_in_time(size, seeds, bound_seconds, disturb)

    @expand(
        [
            ('small, the watchers', SMALL, 2, 2.0, 40),
            ('small, half', SMALL, 3, 2.0, 40),
            ('medium, the watchers', MEDIUM, 2, 2.0, 40),
            ('large, the watchers', LARGE, 2, 3.0, 4),
            ('large, half of the core', LARGE, 5, 3.0, 4),
        ]
    )
    def test_version_arrives_while_the_watchers_lose_the_store(
        self, _, size, count, bound_seconds, seeds
    ):
        async def disturb(fleet):
            for name in fleet.names[:count]:
                fleet.access[name].is_silent = True
            fleet.write(1)

        self.check_all_in_time(size, seeds, bound_seconds, disturb, count)

    @expand(
        [
            ('small', SMALL, 3.0, 20),
            ('medium', MEDIUM, 3.0, 20),
            ('large', LARGE, 4.0, 3),
        ]
    )
    def test_version_arrives_after_history_is_dropped(
        self, _, size, bound_seconds, seeds
    ):
        """Watches bring nothing for a second; then their history is gone."""

        async def disturb(fleet):
            fleet.memory.silent_watches = True
            await anyio.sleep(random.random())
            fleet.write(1)
            await anyio.sleep(1 - random.random())
            fleet.memory.forget_history()
            fleet.memory.silent_watches = False

        self.check_all_in_time(size, seeds, bound_seconds, disturb)

    @expand(
        [
            ('small', SMALL, 3.0, 20),
            ('medium', MEDIUM, 3.0, 20),
            ('large', LARGE, 4.0, 3),
        ]
    )
    def test_version_arrives_after_silence_and_a_dropped_history(
        self, _, size, bound_seconds, seeds
    ):
        """Links go silent while the store is slow and holds its watches."""

        async def disturb(fleet):
            fleet.slow_store(0.3)
            await anyio.sleep(random.random())
            fleet.silence_open_connections(kept_connections=2)
            await anyio.sleep(0.3 * random.random())
            fleet.memory.holds_watches = True
            written_after = random.random()
            await anyio.sleep(written_after)
            fleet.write(1)
            await anyio.sleep(1 - written_after)
            fleet.memory.forget_history()
            fleet.slow_store()

        self.check_all_in_time(size, seeds, bound_seconds, disturb)


if __name__ == '__main__':
    unittest.main()
