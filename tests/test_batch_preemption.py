"""Tests that online requests take precedence over batch streams."""

import collections
import unittest

import anyio
import parameterized

from persimmonpass import jobs
from persimmonpass.policy import preemption
from tests import batch_fakes

COUNT = 300
QUIET_SECONDS = 6
FULL = preemption.MAX_WIDTH


class TestPreemption(unittest.TestCase):
    """Batch streams are cancelled for online requests and resumed later."""

    def _fleet(self, scenario, **options):
        batch_fakes.run(scenario, targets=1, **options)

    async def _fill(self, fleet, **options):
        options = {'max_tokens': 40, **options}
        (await fleet.hosts[0].submit(COUNT, **options)).unwrap()
        running = fleet.engines.running
        await fleet.wait(lambda: running['engine-0'] == FULL)

    async def _check_full(self, fleet):
        """Check that batch fills the target once no online request runs."""
        await anyio.sleep(QUIET_SECONDS)
        fleet.engines.peak.clear()
        await anyio.sleep(3)
        self.assertEqual(FULL, fleet.engines.peak['engine-0'])

    @parameterized.parameterized.expand([('local', True), ('peer', False)])
    def test_streams_are_cancelled_and_resumed(self, name, is_local):
        async def scenario(fleet):
            await self._fill(fleet)
            owner = fleet.coordinator()
            sender = next(
                host for host in fleet.hosts if (host is owner) == is_local
            )
            before = anyio.current_time()
            fleet.tasks.start_soon(sender.online, 'engine-0', 3.0)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(before, anyio.current_time())
            running = fleet.engines.running['engine-0']
            shared = owner.batch.preemption._coordinated['engine-0'].limits
            self.assertEqual(1 + shared.shared, running)
            results, duplicates = await fleet.finish(COUNT)
            self.assertEqual(0, duplicates)
            for number in range(COUNT):
                expected = batch_fakes.text_of(f'p{number}', 40)
                self.assertEqual(expected, results[f'i{number}'].text)
            # Tokens from before the cancellation are not produced again.
            self.assertEqual(COUNT * 40, fleet.engines.tokens['batch'])

        self._fleet(scenario)

    def test_unreachable_host_counts_as_online(self):
        async def scenario(fleet):
            await self._fill(fleet)
            names = frozenset(host.name for host in fleet.hosts)
            fleet.network.cut.add(names)
            await anyio.sleep(1)
            self.assertEqual(0, fleet.engines.running['engine-0'])
            fleet.set_live([fleet.coordinator().name])
            await self._check_full(fleet)

        self._fleet(scenario)

    def test_coordinator_changes_during_a_burst(self):
        """The new coordinator starts no item before the burst is reported."""

        async def scenario(fleet):
            await self._fill(fleet)
            owner = fleet.coordinator()
            sender = next(host for host in fleet.hosts if host is not owner)
            for _ in range(5):
                fleet.tasks.start_soon(sender.online, 'engine-0', 8.0)
            await anyio.sleep(0.5)
            fleet.set_live([sender.name])
            fleet.engines.peak.clear()
            await anyio.sleep(7)
            limits = sender.batch.preemption._coordinated['engine-0'].limits
            self.assertLessEqual(
                fleet.engines.peak['engine-0'], 5 + limits.shared + 1
            )
            await self._check_full(fleet)

        self._fleet(scenario)

    def test_report_of_a_dead_host_expires(self):
        """A host that died with requests in progress blocks batch briefly."""

        async def scenario(fleet):
            await self._fill(fleet, max_tokens=400)
            owner = fleet.coordinator()
            sender = next(host for host in fleet.hosts if host is not owner)
            fleet.tasks.start_soon(sender.online, 'engine-0', 100.0)
            await anyio.sleep(1)
            sender.kill()
            fleet.network.handlers.pop(sender.name, None)
            await anyio.sleep(3 + QUIET_SECONDS)
            self.assertGreater(fleet.engines.running['engine-0'], FULL // 2)

        self._fleet(scenario)

    @parameterized.parameterized.expand([(5.0,), (25.0,), (60.0,)])
    def test_width_follows_the_measured_delay(self, harm_percent):
        """Each stream slows the engine by 4% of a step."""

        async def scenario(fleet):
            fleet.engines.slowdown = 0.04
            (await fleet.hosts[0].submit(COUNT, max_tokens=4000)).unwrap()
            sender = fleet.hosts[0]
            fleet.tasks.start_soon(sender.online, 'engine-0', 400.0)
            await anyio.sleep(390)
            width = fleet.engines.running['engine-0'] - 1
            step = 1.04
            self.assertLessEqual(100 * 0.04 * width / step, harm_percent)
            self.assertGreater(
                100 * 0.04 * (width + 1) / step, harm_percent * 0.9
            )

        spec = batch_fakes.SPEC
        spec = type(spec)(
            spec.selector, model='m', version='1', harm_percent=harm_percent
        )
        self._fleet(scenario, spec=spec)


class TestFairness(unittest.TestCase):
    """Jobs and accounts share the idle capacity."""

    def test_job_that_is_due_sooner_runs_first(self):
        async def scenario(fleet):
            (await fleet.hosts[0].submit(2000, due_seconds=9000)).unwrap()
            await anyio.sleep(5)
            small = jobs.JobKey('desk', 'small')
            host = fleet.hosts[1]
            (await host.submit(30, key=small, due_seconds=60)).unwrap()
            await fleet.finish(30, key=small, seconds=20)
            self.assertLess(len(fleet.records()), 2000)

        batch_fakes.run(scenario, targets=1)

    def test_accounts_share_equally(self):
        async def scenario(fleet):
            keys = [jobs.JobKey(name, 'job') for name in ('a', 'b')]
            for key, due in zip(keys, (100.0, 9000.0), strict=True):
                submitted = await fleet.hosts[0].submit(
                    1500, key=key, prompt=key.account, due_seconds=due
                )
                submitted.unwrap()
            await fleet.wait(
                lambda: sum(fleet.engines.started.values()) > 1000
            )
            started = collections.Counter()
            for prompt, count in fleet.engines.started.items():
                started[prompt[0]] += count
            ratio = started['a'] / started['b']
            self.assertAlmostEqual(1.0, ratio, delta=0.2)

        batch_fakes.run(scenario, targets=1)
