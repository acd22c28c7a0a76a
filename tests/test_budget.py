"""This host's share of the store's rate: classes, limits and faults."""

import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import parameterized

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import metrics
from tests import fakes

RATE = 400.0
Priority = budget.Priority


class CountingStore:
    """Store that records when calls arrive and refuses them in outages.

    :ivar times: times at which calls arrived, in order
    :ivar outages: start and end of each outage, in seconds since the start
    """

    def __init__(self):
        self.times = []
        self.outages = []

    def is_down(self):
        now = anyio.current_time() - self.started
        return any(start <= now < end for start, end in self.outages)

    def call(self, calls):
        self.times.append(anyio.current_time())
        if self.is_down():
            calls.record_refusal()
        else:
            calls.record_answer()

    def peak(self, start=0.0):
        """Return the most calls within any second.

        :param start: seconds since the start of the run that are left out
        """
        times = [t for t in self.times if t >= self.started + start]
        most, first = 0, 0
        for last, time in enumerate(times):
            while times[first] <= time - 1:
                first += 1
            most = max(most, last + 1 - first)
        return most

    def count(self, start, end):
        return sum(start <= t - self.started < end for t in self.times)


async def call_continuously(
    store, calls, priority=Priority.STATUS, counts=None
):
    """Call as often as the budget allows, like a loop of retries."""
    while True:
        taken = await calls.acquire(priority, write=True)
        if taken.is_err():
            await anyio.sleep(0.1)
            continue
        store.call(calls)
        if counts is not None:
            counts[priority] += 1


async def run_fleet(store, hosts, seconds, live=lambda host, now: 0):
    """Run hosts that all try to make more calls than their share.

    :param live: returns the number of live hosts that a host sees at a time;
        0 for all hosts
    """
    store.started = anyio.current_time()
    budgets = []
    async with anyio.create_task_group() as tasks:
        for number in range(hosts):
            draw = random.Random(number).random
            calls = budget.Budget(RATE, RATE, draw)
            budgets.append(calls)
            for _ in range(2):
                tasks.start_soon(call_continuously, store, calls)
        for _ in range(int(seconds / 0.5)):
            now = anyio.current_time() - store.started
            for number, calls in enumerate(budgets):
                calls.set_hosts(live(number, now) or hosts)
            await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    return budgets


def sees_one_host_at_first(host, now):
    return 1 if now < 2 else 0


def partition_hosts(host, now):
    return 4 if now > 10 else 0


class TestFleetRate(unittest.TestCase):
    """The fleet stays within its rate in every second, also during faults."""

    @parameterized.parameterized.expand(
        [
            ('quiet', 8, [], None),
            ('outage', 8, [(8, 12)], None),
            ('long outage', 8, [(5, 17)], None),
            ('flapping', 8, [(t, t + 1) for t in range(6, 18, 2)], None),
            ('down at start', 8, [(0, 8)], None),
            ('cut in two', 8, [], partition_hosts),
            ('cut in two in an outage', 8, [(8, 12)], partition_hosts),
            ('start with peers unknown', 8, [], sees_one_host_at_first),
            ('many hosts', 32, [(8, 12)], None),
        ]
    )
    def test_no_second_above_the_rate(self, _, hosts, outages, live):
        async def test():
            store = CountingStore()
            store.outages = outages
            await run_fleet(store, hosts, 18, live or (lambda host, now: 0))
            self.assertLessEqual(store.peak(), RATE)

        fakes.run(test)

    def test_calls_fall_during_an_outage_and_come_back_gradually(self):
        async def test():
            store = CountingStore()
            store.outages = [(10, 16)]
            await run_fleet(store, 32, 24)
            usual = store.count(8, 10) / 2
            during_outage = store.count(14, 16) / 2
            self.assertLess(during_outage, usual / 4)
            # Hosts do not all return at once: no tenth of a second after the
            # outage has many more calls than a tenth of the rate.
            tenths = [
                store.count(16 + n / 10, 16.1 + n / 10) for n in range(50)
            ]
            self.assertLessEqual(max(tenths), RATE / 10 * 1.5)
            self.assertGreater(store.count(21, 23) / 2, usual * 0.9)

        fakes.run(test)

    @parameterized.parameterized.expand([(1,), (8,), (128,), (900,)])
    def test_rate_rises_to_the_whole_share(self, hosts):
        async def test():
            calls = budget.Budget(RATE, RATE, lambda: 0.5)
            calls.set_hosts(hosts)
            store = CountingStore()
            store.started = anyio.current_time()
            with anyio.move_on_after(30):
                await call_continuously(store, calls)
            self.assertEqual(RATE / hosts, calls.write_rate)
            share = min(RATE / hosts, 10)
            self.assertGreater(store.count(20, 30), share * 10 * 0.7)

        fakes.run(test)

    def test_share_of_a_missing_host_is_released_after_an_hour(self):
        async def test():
            calls = budget.Budget(RATE)
            calls.set_hosts(8)
            await anyio.sleep(10 * budget.HOST_COUNT_HOLD_SECONDS)
            calls.set_hosts(4)
            await anyio.sleep(budget.HOST_COUNT_HOLD_SECONDS - 1)
            self.assertEqual(8, calls.hosts)
            await anyio.sleep(2)
            self.assertEqual(4, calls.hosts)

        fakes.run(test)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), min_size=1, max_size=50)
    )
    def test_share_follows_the_most_live_hosts(self, host_counts):
        async def test():
            calls = budget.Budget(RATE)
            for index, hosts in enumerate(host_counts):
                calls.set_hosts(hosts)
                await anyio.sleep(60)
                self.assertEqual(max(host_counts[: index + 1]), calls.hosts)
            await anyio.sleep(budget.HOST_COUNT_HOLD_SECONDS)
            self.assertEqual(host_counts[-1], calls.hosts)

        fakes.run(test)


class TestClasses(unittest.TestCase):
    """Classes are served in order, and the lowest one is not starved."""

    def test_order_and_no_starvation(self):
        async def test():
            store = CountingStore()
            store.started = anyio.current_time()
            calls = budget.Budget(RATE, RATE, lambda: 0.5)
            counts = dict.fromkeys(Priority, 0)
            async with anyio.create_task_group() as tasks:
                for priority in Priority:
                    for _ in range(5):
                        tasks.start_soon(
                            call_continuously, store, calls, priority, counts
                        )
                await anyio.sleep(20)
                tasks.cancel_scope.cancel()
            total = sum(counts.values())
            self.assertGreater(counts[Priority.RESERVATION], total * 0.8)
            # The waiting calls of lower classes share one call in eight.
            least = total / budget.FAIR_CALL_INTERVAL / len(Priority) / 2
            self.assertGreater(counts[Priority.STATUS], least)
            self.assertEqual(counts, calls.calls)

        fakes.run(test)

    def test_wait_beyond_the_limit_is_refused_at_once(self):
        async def test():
            calls = budget.Budget(8.0, 8.0, lambda: 0.5)
            rejections = []

            async def call_once():
                taken = await calls.acquire(Priority.STATUS, write=True)
                if taken.is_err():
                    rejections.append((anyio.current_time(), taken.err_value))

            start = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(call_once)
            at_once = [f for at, f in rejections if at == start]
            self.assertGreater(len(at_once), 10)
            for _, failure in rejections:
                self.assertEqual(events.STORE_BUDGET_EXHAUSTED, failure.event)
                self.assertEqual('not_run', failure.verdict.value)
                self.assertGreaterEqual(failure.retry_after_seconds, 1)
            self.assertEqual(len(rejections), calls.exhausted[Priority.STATUS])
            limit = start + budget.MAX_ESTIMATED_WAIT_SECONDS
            self.assertLessEqual(anyio.current_time(), limit)

        fakes.run(test)

    def test_cancelled_waiter_passes_its_turn_on(self):
        async def test():
            calls = budget.Budget(80.0, 80.0, lambda: 0.0)
            with anyio.move_on_after(0.05):
                await calls.acquire(Priority.RESERVATION)
            self.assertTrue((await calls.acquire(Priority.STATUS)).is_ok())

        fakes.run(test)

    def test_metrics_report_each_class(self):
        async def test():
            calls = budget.Budget(RATE, RATE, lambda: 0.99)
            counters = metrics.Metrics()
            counters.export_budget(calls)
            await calls.acquire(Priority.RESERVATION)
            with anyio.move_on_after(0.001):
                await calls.acquire(Priority.STATUS)
                await calls.acquire(Priority.STATUS)
            text = counters.render().decode()
            for name in ('calls', 'calls_exhausted', 'calls_waiting'):
                for priority in Priority:
                    label = f'{{priority="{priority.name.lower()}"}}'
                    self.assertIn(f'persimmonpass_store_{name}{label}', text)
            line = 'persimmonpass_store_calls{priority="reservation"} 1.0'
            self.assertIn(line, text)

        fakes.run(test)

    def test_reads_do_not_wait_for_writes(self):
        async def test():
            calls = budget.Budget(RATE, 1.0, lambda: 0.99)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: calls.acquire(Priority.STATUS, write=True)
                )
                await anyio.sleep(0)
                start = anyio.current_time()
                await calls.acquire(Priority.STATUS)
                self.assertLess(anyio.current_time() - start, 0.1)
                tasks.cancel_scope.cancel()

        fakes.run(test)
