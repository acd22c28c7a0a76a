"""Reads of results at hosts whose copy of the jobs may be old."""

import unittest

import anyio
import parameterized

from persimmonpass.controllers.batch import job_log
from persimmonpass.controllers.fleet import mirror
from persimmonpass.controllers.fleet import store_relay
from persimmonpass import events
from persimmonpass import job_records
from tests import fakes
from tests import record_fakes
from tests import test_job_log

expand = parameterized.parameterized.expand
# A result that was read at one host is shown by all within this time.
SETTLE_SECONDS = 1.0
# The first hosts that watch the store, and those that follow them.
LOST = ('w1', 'w2', 'w3', 'w4')
HOSTS = (*LOST, 'writer', 'reader', 'other')
# Time over which calm hosts are observed.
CALM_SECONDS = 20.0


class Fleet:
    """Job logs of several hosts that share a store.

    :ivar cut_from_store: hosts whose calls to the store fail
    :ivar silent_store: hosts whose calls to the store are not answered
    """

    def __init__(self):
        self.memory = record_fakes.MemoryRecords()
        self.network = fakes.Network()
        self.cut_from_store = set()
        self.silent_store = set()
        self.calls = dict.fromkeys(HOSTS, 0)
        self.logs = {}
        self.copies = {}

    def start(self, tasks):
        for name in HOSTS:
            port = self.network.port(name, tasks)
            relay = store_relay.StoreRelay(name, self._direct(name), port)
            log = job_log.JobLog(
                name, relay.port, lambda name=name: self.copies[name]
            )
            copy = mirror.Mirror(
                name,
                job_records.KIND,
                relay.port,
                port,
                log.apply,
                lambda: list(HOSTS),
            )
            self.logs[name], self.copies[name] = log, copy
            mirrors = {job_records.KIND: copy}
            self.network.handlers[name] = relay.handlers | mirror.handlers(
                mirrors
            )
            tasks.start_soon(mirror.broadcast_freshness, mirrors, port)
        for copy in self.copies.values():
            tasks.start_soon(copy.run)

    def _direct(self, name):
        def wrap(call):
            async def wrapped(*args):
                self.calls[name] += 1
                if name in self.silent_store:
                    await anyio.sleep_forever()
                if name in self.cut_from_store:
                    return record_fakes.refused()
                return await call(*args)

            return wrapped

        return type(self.memory.port)(*map(wrap, self.memory.port))

    async def commit(self, item):
        """Let the writer store the result of an item, and read it there."""
        log = self.logs['writer']
        position = len(log.jobs['j'].results)
        while not await log.commit('j', [test_job_log.done(item)]):
            pass
        page = (await log.read('j', position, 0.0)).unwrap()
        assert page.results, 'the writer does not show its own result'
        return position


def lose_power(fleet):
    fleet.network.silent |= set(LOST)
    fleet.silent_store |= set(LOST)


def cut_from_store(fleet):
    fleet.cut_from_store |= set(LOST)


def silence_store(fleet):
    fleet.silent_store |= set(LOST)


class TestReads(unittest.TestCase):
    @expand(
        [
            (f'{trouble.__name__}_{offset}_{wait}', trouble, offset, wait)
            for trouble in (lose_power, cut_from_store, silence_store)
            for offset in (0.0, 0.3, 0.6, 0.9)
            for wait in (0.0, 0.5)
        ]
    )
    def test_result_that_was_read_elsewhere(self, _, trouble, offset, wait):
        """Guards against an empty page from a copy that no one updates.

        The hosts that watch the store are lost, and the host that runs the
        items goes on to store results and to show them.
        """

        async def test(fleet):
            await anyio.sleep(offset)
            trouble(fleet)
            for number in range(3):
                position = await fleet.commit(f'j-{number}')
                await anyio.sleep(SETTLE_SECONDS)
                for name in ('reader', 'other'):
                    found = await fleet.logs[name].read('j', position, wait)
                    if found.is_ok():
                        self.assertTrue(
                            found.ok_value.results,
                            f'{name} has nothing at position {position}',
                        )
                    else:
                        self.assertEqual(503, found.err_value.status)

        self.run_fleet(test)

    def test_results_are_shown_while_the_watchers_are_lost(self):
        """The store is asked, rather than the caller refused."""

        async def test(fleet):
            lose_power(fleet)
            position = await fleet.commit('j-0')
            await anyio.sleep(SETTLE_SECONDS)
            found = await fleet.logs['reader'].read('j', position, 0.0)
            self.assertEqual(1, len(found.unwrap().results))

        self.run_fleet(test)

    def test_calm_hosts_do_not_ask_the_store(self):
        """Callers that find nothing new cost no calls, and get their page."""

        async def test(fleet):
            before = fleet.memory.calls['get']
            end = anyio.current_time() + CALM_SECONDS
            while anyio.current_time() < end:
                for name in HOSTS:
                    began = anyio.current_time()
                    found = await fleet.logs[name].read('j', 0, 0.0)
                    self.assertEqual([], found.unwrap().results)
                    self.assertLess(anyio.current_time() - began, 0.6)
                await anyio.sleep(0.07)
            self.assertEqual(before, fleet.memory.calls['get'])

        self.run_fleet(test)

    def test_end_of_a_finished_job_is_certain(self):
        """What follows the last result does not depend on the copy's age."""

        async def test(fleet):
            for number in range(3):
                await fleet.commit(f'j-{number}')
            await anyio.sleep(1.0)
            lose_power(fleet)
            fleet.cut_from_store |= set(HOSTS)
            await anyio.sleep(5.0)
            found = await fleet.logs['reader'].read('j', 3, 0.0)
            self.assertEqual((3, 3, []), found.unwrap())

        self.run_fleet(test)

    def test_callers_cost_few_calls_while_the_store_is_down(self):
        async def test(fleet):
            fleet.memory.outage = True
            await anyio.sleep(1.0)
            before = sum(fleet.calls.values())
            for _ in range(20):
                async with anyio.create_task_group() as tasks:
                    for _ in range(10):
                        tasks.start_soon(
                            fleet.logs['reader'].read, 'j', 0, 0.0
                        )
                await anyio.sleep(0.05)
            # Two checks a second, each by this host and two peers, beside
            # what the copies call.
            asked = sum(fleet.calls.values()) - before
            self.assertLess(asked, 60)

        self.run_fleet(test)

    @expand([(0.0,), (0.4,), (0.9,)])
    def test_jobs_accepted_elsewhere_count(self, offset):
        """Guards against a limit that is counted on an old copy."""

        async def test(fleet):
            await anyio.sleep(offset)
            lose_power(fleet)
            limit = test_job_log.MAX_WAITING_TOKENS
            for number in range(2):
                accepted = await fleet.logs['writer'].accept(
                    test_job_log.make_job(f'more{number}'),
                    limit,
                    anyio.current_time() + 4,
                )
                self.assertTrue(accepted.is_ok())
            await anyio.sleep(SETTLE_SECONDS)
            refused = await fleet.logs['reader'].accept(
                test_job_log.make_job('last'), limit, anyio.current_time() + 4
            )
            self.assertEqual(429, refused.err_value.status)

        self.run_fleet(test)

    def test_results_stored_elsewhere_count(self):
        """A job that fits is not refused for items that are done."""

        async def test(fleet):
            limit = 40
            lose_power(fleet)
            for number in range(3):
                await fleet.commit(f'j-{number}')
            await anyio.sleep(SETTLE_SECONDS)
            accepted = await fleet.logs['reader'].accept(
                test_job_log.make_job('next'), limit, anyio.current_time() + 4
            )
            self.assertTrue(accepted.is_ok())

        self.run_fleet(test)

    def test_refused_read_is_logged(self):
        async def test(fleet):
            fleet.memory.outage = True
            await anyio.sleep(1.7)
            found = await fleet.logs['reader'].read('j', 0, 0.0)
            self.assertIs(events.JOB_READ_UNCERTAIN, found.err_value.event)

        self.run_fleet(test)

    def run_fleet(self, test):
        async def run():
            fleet = Fleet()
            async with anyio.create_task_group() as tasks:
                fleet.start(tasks)
                for copy in fleet.copies.values():
                    await copy.ready.wait()
                await fleet.logs['writer'].accept(
                    test_job_log.make_job(),
                    test_job_log.MAX_WAITING_TOKENS,
                    anyio.current_time() + 4,
                )
                await anyio.sleep(5.0)
                await test(fleet)
                tasks.cancel_scope.cancel()

        fakes.run(run)


if __name__ == '__main__':
    unittest.main()
