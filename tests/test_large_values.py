"""Values that are larger than the store or peers accept."""

import json
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.controllers.batch import item_runner
from persimmonpass.controllers.fleet import mirror
from persimmonpass.controllers.fleet import store_relay
from persimmonpass import events
from persimmonpass import job_records
from persimmonpass.peers import messages
from persimmonpass import records
from persimmonpass import verdicts
from tests import fakes
from tests import platform_fakes
from tests import record_fakes
from tests import test_job_log
from tests import test_odd_entries

expand = parameterized.parameterized.expand
VALUE_BYTES = 20_000
# A letter takes one byte of UTF-8, three bytes, or two of JSON.
LETTERS = [('Latin', 'x'), ('Sinhala', '\u0d9a'), ('escaped', '"')]


class TestStoreClient(unittest.TestCase):
    @expand([(413,), (400,)])
    def test_rejected_call_is_no_outage(self, status):
        """Peers are not asked to make a call that the store rejects."""

        async def test():
            async with test_odd_entries.connected(['{}'], status=status) as (
                port,
                asked,
            ):
                network = fakes.Network()
                relay = store_relay.StoreRelay('a', port, network.port('a'))
                network.handlers['b'] = store_relay.StoreRelay(
                    'b', port, network.port('b')
                ).handlers
                found = await relay.port.create('k', 'n', {})
                self.assertIs(events.STORE_REJECTED, found.err_value.event)
                self.assertIs(
                    verdicts.Verdict.NOT_RUN, found.err_value.verdict
                )
                self.assertEqual(1, len(asked))
                self.assertTrue(relay.can_reach_store)

        anyio.run(test)


class TestJobLog(unittest.TestCase):
    def test_job_that_the_store_rejects_is_refused_at_once(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            memory.value_bytes = 100
            host = test_job_log.Host(memory)
            began = anyio.current_time()
            found = await host.log.accept(
                test_job_log.make_job(), 0, anyio.current_time() + 4
            )
            self.assertEqual(503, found.err_value.status)
            self.assertIs(verdicts.Verdict.NOT_RUN, found.err_value.verdict)
            self.assertLess(anyio.current_time() - began, 0.5)

        fakes.run(test)

    @expand([(1,), (2,), (3,), (8,)])
    def test_results_that_are_too_large_together(self, fitting):
        """Guards against a group of results that is refused for ever."""

        async def test():
            memory = record_fakes.MemoryRecords()
            host = test_job_log.Host(memory)
            count = 8
            await host.log.accept(test_job_log.make_job(count=count), 0, 4.0)
            results = [
                test_job_log.done(f'j-{number}', 'x' * 1000)
                for number in range(count)
            ]
            memory.value_bytes = fitting * 1100
            with anyio.fail_after(5):
                while not await host.log.commit('j', results):
                    pass
            self.assertEqual(results, host.log.jobs['j'].results)

        fakes.run(test)

    def test_output_that_is_too_large_alone(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            host = test_job_log.Host(memory)
            await host.log.accept(test_job_log.make_job(count=2), 0, 4.0)
            memory.value_bytes = 500
            results = [
                test_job_log.done('j-0', 'x' * 1000),
                test_job_log.done('j-1', 'x'),
            ]
            with anyio.fail_after(5):
                while not await host.log.commit('j', results):
                    pass
            states = [row.state for row in host.log.jobs['j'].results]
            self.assertEqual(
                [job_records.State.FAILED, job_records.State.COMPLETED],
                states,
            )

        fakes.run(test)

    @expand(LETTERS)
    def test_page_has_a_limit_in_bytes(self, _, letter):
        async def test():
            host = test_job_log.Host(record_fakes.MemoryRecords())
            await host.log.accept(test_job_log.make_job(count=9), 0, 4.0)
            for number in range(9):
                output = letter * 200_000
                await host.log.commit(
                    'j', [test_job_log.done(f'j-{number}', output)]
                )
            position = 0
            while position < 9:
                page = (await host.log.read('j', position, 0.0)).unwrap()
                text = json.dumps(
                    [row.output for row in page.results], ensure_ascii=False
                )
                self.assertLessEqual(len(text.encode()), 1_000_000)
                self.assertGreater(page.next, position)
                position = page.next

        fakes.run(test)


class TestFleet(unittest.TestCase):
    @expand(LETTERS)
    def test_results_that_pile_up_while_the_store_is_down(self, _, letter):
        """Guards against a limit that counts letters and not bytes."""

        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                memory = fleet.store.memory
                count = 12
                # Four events repeat the body.
                body = letter * 600
                await fleet.post(
                    '/jobs/j',
                    platform_fakes.submission(
                        count, body=platform_fakes.encode_body(body)
                    ),
                    **{'Request-Id': 'j'},
                )
                with anyio.fail_after(5):
                    while not fleet.servers[0].runs:
                        await anyio.sleep(0.01)
                memory.outage = True
                fleet.store.error_status = 503
                with anyio.fail_after(10):
                    while len(fleet.servers[0].finished_ids) < count:
                        await anyio.sleep(0.01)
                memory.value_bytes = VALUE_BYTES
                memory.outage = False
                fleet.store.error_status = None
                page = await fleet.results('j', count)
                self.assertEqual(
                    {'completed'}, {row['state'] for row in page['results']}
                )

        with mock.patch.object(item_runner, 'MAX_GROUP_BYTES', 12_000):
            platform_fakes.run(test)


class TestUpdates(unittest.TestCase):
    @expand([(1,), (5,), (30,)])
    def test_updates_fit_into_frames(self, count):
        """Guards against an update that peers do not accept."""

        async def test():
            memory = record_fakes.MemoryRecords()
            sent = []
            network = fakes.Network()
            port = network.port('a')._replace(
                notify_many=lambda hosts, method, payload: sent.append(payload)
            )
            copy = mirror.Mirror(
                'a', 'k', memory.port, port, lambda rows: None
            )
            rows = [
                records.Record(
                    f'n{number}', number + 2, {'x': 'y' * 900_000}, {}
                )
                for number in range(count)
            ]
            copy.version = 1
            copy._apply(records.Snapshot(count + 5, rows), is_complete=False)
            other = mirror.Mirror(
                'b', 'k', memory.port, port, lambda rows: None
            )
            other.version = 1
            for payload in sent:
                frame = messages.Frame(
                    messages.FrameKind.NOTICE, 0, 'm', payload
                )
                self.assertLess(
                    len(messages.encode(frame)), messages.MAX_FRAME_BYTES
                )
                _, before, version, changed = payload
                other.apply_updates(
                    before,
                    version,
                    [records.Record(*row) for row in changed],
                )
            self.assertEqual(count, len(other.records))
            self.assertEqual(copy.version, other.version)

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
