"""Tests of the job log, the batch role, the cleanup and item texts.

A job is stored once, each position has one result that never changes, and one
host runs the items.
"""

import time
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch_role
from persimmonpass.controllers.batch import job_cleanup
from persimmonpass.controllers.batch import job_log
from persimmonpass.controllers.fleet import mirror
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass.policy import stream_versions
from persimmonpass import records
from persimmonpass import store
from tests import fakes
from tests import record_fakes

expand = parameterized.parameterized.expand
MAX_WAITING_TOKENS = 100
OBJECTIVE_SECONDS = 0.4


def make_job(job_id='j', count=3, tokens=10):
    items = [
        job_records.Item(
            f'{job_id}-{number}', '/jobs/x', [('a', 'b')], 'eA==', tokens
        )
        for number in range(count)
    ]
    return job_records.Job(job_id, 'jobs', 'h', 0.0, items)


def done(item, output='x'):
    return job_records.ItemResult(item, job_records.State.COMPLETED, output)


class Host:
    """A job log with its copy of the records."""

    def __init__(self, memory, name='host'):
        self.memory = memory
        self.log = job_log.JobLog(name, memory.port, lambda: self.copy)
        network = fakes.Network()
        self.copy = mirror.Mirror(
            name,
            job_records.KIND,
            memory.port,
            network.port(name),
            self.log.apply,
        )


class TestAccept(unittest.TestCase):
    @expand(
        [
            ('calm', [], 202),
            ('answer lost', [fakes.LOST_ANSWER], 202),
            ('request lost', [fakes.LOST_REQUEST], 202),
            ('both', [fakes.LOST_REQUEST, fakes.LOST_ANSWER], 202),
            ('lands later', [fakes.DELAYED], 202),
            ('never known', [fakes.LOST_REQUEST] * 99, 504),
        ]
    )
    def test_accept_under_faults(self, _, faults, expected):
        async def test():
            memory = record_fakes.MemoryRecords()
            memory.faults.extend(faults)
            host = Host(memory)
            deadline = anyio.current_time() + 4
            outcome = await host.log.accept(
                make_job(), MAX_WAITING_TOKENS, deadline
            )
            status = 202 if outcome.is_ok() else outcome.err_value.status
            self.assertEqual(expected, status)
            memory.apply_delayed_writes()
            stored = [name for _, name in memory.rows]
            self.assertEqual(['j.j'] if status == 202 else [], stored)

        fakes.run(test)

    def test_late_answer_does_not_exceed_the_objective(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            create = memory.port.create
            calls = []

            async def silent_first(kind, name, data):
                calls.append(name)
                outcome = await create(kind, name, data)
                if len(calls) == 1:
                    await anyio.sleep(1.5)
                return outcome

            memory.port = memory.port._replace(create=silent_first)
            host = Host(memory)
            started_at = anyio.current_time()
            outcome = await host.log.accept(
                make_job(), MAX_WAITING_TOKENS, started_at + 4
            )
            self.assertTrue(outcome.is_ok())
            self.assertLess(
                anyio.current_time() - started_at, OBJECTIVE_SECONDS
            )

        fakes.run(test)

    def test_outage_refuses_the_job_and_stores_nothing(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            memory.outage = True
            host = Host(memory)
            started_at = anyio.current_time()
            outcome = await host.log.accept(
                make_job(), MAX_WAITING_TOKENS, started_at + 4
            )
            self.assertEqual(503, outcome.err_value.status)
            self.assertLess(anyio.current_time() - started_at, 3)
            self.assertEqual({}, memory.rows)

        fakes.run(test)

    @expand(
        [
            ('first try', 4.0, 1.8, 202),
            ('second try', 1.6, 1.4, 202),
            ('too long', 4.0, 3.0, 503),
        ]
    )
    def test_job_survives_a_short_outage(self, _, allowed, outage, expected):
        async def test():
            memory = record_fakes.MemoryRecords()
            memory.outage = True
            host = Host(memory)

            async def end_outage():
                await anyio.sleep(outage)
                memory.outage = False

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(end_outage)
                deadline = anyio.current_time() + allowed
                outcome = await host.log.accept(
                    make_job(), MAX_WAITING_TOKENS, deadline
                )
                status = 202 if outcome.is_ok() else outcome.err_value.status
                self.assertEqual(expected, status)

        fakes.run(test)

    def test_same_job_at_two_hosts_at_once(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            hosts = [Host(memory), Host(memory)]
            outcomes = []

            async def accept(host):
                outcomes.append(
                    await host.log.accept(
                        make_job(),
                        MAX_WAITING_TOKENS,
                        anyio.current_time() + 4,
                    )
                )

            async with anyio.create_task_group() as tasks:
                for host in hosts:
                    tasks.start_soon(accept, host)
            self.assertEqual(
                [True, True], [outcome.is_ok() for outcome in outcomes]
            )
            self.assertEqual(1, len(memory.rows))

        fakes.run(test)

    @expand([('fits', 10, 202), ('too many', 11, 429)])
    def test_quota_counts_only_waiting_tokens(self, _, count, expected):
        async def test():
            host = Host(record_fakes.MemoryRecords())
            deadline = anyio.current_time() + 4
            first = make_job('a', 2)
            await host.log.accept(first, MAX_WAITING_TOKENS, deadline)
            await host.log.commit('a', [done('a-0'), done('a-1')])
            job = make_job('b', count)
            outcome = await host.log.accept(job, MAX_WAITING_TOKENS, deadline)
            status = 202 if outcome.is_ok() else outcome.err_value.status
            self.assertEqual(expected, status)

        fakes.run(test)


class TestResults(unittest.TestCase):
    def test_stale_writer_does_not_duplicate_results(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            hosts = [Host(memory), Host(memory)]
            deadline = anyio.current_time() + 4
            for host in hosts:
                await host.log.accept(make_job(), MAX_WAITING_TOKENS, deadline)
            # The second host knows the job, but none of its results.
            hosts[1].log.apply([memory.rows[job_records.KIND, 'j.j']])
            await hosts[0].log.commit('j', [done('j-0', 'first')])
            late = [done('j-0', 'second'), done('j-1', 'other')]
            self.assertFalse(await hosts[1].log.commit('j', late))
            self.assertTrue(await hosts[1].log.commit('j', late))
            state = hosts[1].log.jobs['j']
            self.assertEqual(
                [done('j-0', 'first'), done('j-1', 'other')], state.results
            )

        fakes.run(test)

    def test_read_waits_for_a_result(self):
        async def test():
            host = Host(record_fakes.MemoryRecords())
            deadline = anyio.current_time() + 4
            await host.log.accept(make_job(), MAX_WAITING_TOKENS, deadline)
            pages = []

            async def read():
                pages.append(await host.log.read('j', 0, 1.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.copy.run)
                tasks.start_soon(read)
                await anyio.sleep(0.3)
                await host.log.commit('j', [done('j-2')])
                await anyio.sleep(0.1)
                self.assertEqual((3, 1), pages[0].ok_value[:2])
                rest = await host.log.read('j', 1, 0.2)
                self.assertEqual((3, 1, []), rest.ok_value)
                tasks.cancel_scope.cancel()

        fakes.run(test)

    @expand(
        [
            # when the job arrives with the copy, calls of the store, known
            ('with the copy', 0.1, 0, True),
            ('too late', 5.0, 1, False),
        ]
    )
    def test_job_accepted_elsewhere_a_moment_ago(self, _, delay, calls, known):
        """A caller reads the job at a host that does not have it yet."""

        async def test():
            memory = record_fakes.MemoryRecords()
            host = Host(memory)
            await Host(memory, 'other').log.accept(
                make_job(), MAX_WAITING_TOKENS, anyio.current_time() + 4
            )
            async with anyio.create_task_group() as tasks:

                async def copy_later():
                    await anyio.sleep(delay)
                    for row in memory.rows.values():
                        host.copy.apply_record(row)

                tasks.start_soon(copy_later)
                found = await host.log.body('j', 'j-0')
                self.assertEqual(known, found.is_ok())
                self.assertEqual(calls, memory.calls['get'])
                tasks.cancel_scope.cancel()

        fakes.run(test)

    def test_copy_that_lacks_a_change_does_not_report_an_empty_page(self):
        """Another host may have served a result that this copy lacks."""

        async def test():
            memory = record_fakes.MemoryRecords()
            host = Host(memory)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.copy.run)
                deadline = anyio.current_time() + 4
                await host.log.accept(make_job(), MAX_WAITING_TOKENS, deadline)
                await anyio.sleep(2)
                self.assertTrue((await host.log.read('j', 0, 0.0)).is_ok())
                memory.silent_watches = True
                memory.put(job_records.KIND, 'e.other', {})
                host.copy.handle_freshness(
                    'peer', memory.version, 0.0, memory.version
                )
                await anyio.sleep(0.5)
                outcome = await host.log.read('j', 0, 0.0)
                self.assertEqual(503, outcome.err_value.status)
                memory.silent_watches = False
                memory.put(job_records.KIND, 'e.another', {})
                await anyio.sleep(0.2)
                self.assertTrue((await host.log.read('j', 0, 0.0)).is_ok())
                tasks.cancel_scope.cancel()

        fakes.run(test)

    def test_old_copy_does_not_report_an_empty_page(self):
        async def test():
            host = Host(record_fakes.MemoryRecords())
            deadline = anyio.current_time() + 4
            await host.log.accept(make_job(), MAX_WAITING_TOKENS, deadline)
            outcome = await host.log.read('j', 0, 0.2)
            self.assertEqual(503, outcome.err_value.status)

        fakes.run(test)

    def test_groups_of_results_out_of_order(self):
        state = None

        async def test():
            nonlocal state
            state = job_state.JobState(1)
            state.apply(job_records.Change('j', job=make_job()))
            state.apply(
                job_records.Change('j', number=1, results=[done('j-1')])
            )
            self.assertEqual([], state.results)
            state.apply(
                job_records.Change('j', number=0, results=[done('j-0')])
            )
            state.apply(
                job_records.Change('j', number=1, results=[done('j-9')])
            )
            self.assertEqual([done('j-0'), done('j-1')], state.results)

        fakes.run(test)

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 1),
                strategies.sets(strategies.integers(0, 5), max_size=4),
                strategies.sampled_from(
                    [
                        None,
                        fakes.LOST_ANSWER,
                        fakes.LOST_REQUEST,
                        fakes.DELAYED,
                        'land',
                        'restart',
                    ]
                ),
            ),
            max_size=12,
        )
    )
    def test_result_of_an_item_never_changes(self, steps):
        async def test():
            memory = record_fakes.MemoryRecords()
            hosts = [Host(memory), Host(memory)]
            deadline = anyio.current_time() + 4
            job = make_job('j', 6)
            for host in hosts:
                await host.log.accept(job, MAX_WAITING_TOKENS, deadline)
                host.log.apply([memory.rows[job_records.KIND, 'j.j']])
            shown = []
            for turn, (index, numbers, fault) in enumerate(steps):
                if fault == 'land':
                    memory.apply_delayed_writes()
                elif fault == 'restart':
                    hosts[index] = Host(memory)
                    listed = await memory.port.list(job_records.KIND)
                    hosts[index].log.apply(listed.ok_value.records)
                else:
                    memory.faults.append(fault)
                results = [
                    done(f'j-{number}', f'{turn}') for number in numbers
                ]
                await hosts[index].log.commit('j', results)
                memory.faults.clear()
                for host in hosts:
                    stored = host.log.jobs['j'].results
                    common = min(len(stored), len(shown))
                    self.assertEqual(shown[:common], stored[:common])
                    if len(stored) > len(shown):
                        shown = list(stored)
            memory.apply_delayed_writes()
            fresh = Host(memory)
            listed = await memory.port.list(job_records.KIND)
            fresh.log.apply(listed.ok_value.records)
            final = fresh.log.jobs['j'].results
            self.assertEqual(shown, final[: len(shown)])
            items = [item_result.item for item_result in final]
            self.assertEqual(len(items), len(set(items)))

        fakes.run(test)


class Roles:
    """Batch roles of several hosts on a fake network."""

    def __init__(self, names, core=None):
        self.network = fakes.Network()
        self.names = names
        self.core = core
        self.roles = {}
        self.down = set()
        self.frozen = set()

    def start(self, tasks):
        for name in self.names:
            board = blackboard.Blackboard()
            for other in self.names:
                board.members.put(
                    other, blackboard.Member(other, 1, 'a', '', '')
                )
            role = batch_role.BatchRole(
                name,
                board,
                self.network.port(name, tasks),
                lambda name=name: name not in self.down,
                lambda: set(self.names) - self.frozen,
                None if self.core is None else lambda: list(self.core),
                lambda: self.core,
            )
            self.network.handlers[name] = role.handlers
            self.roles[name] = role
        tasks.start_soon(self._update_roles)

    async def _update_roles(self):
        while True:
            for name, role in self.roles.items():
                if name not in self.frozen:
                    role.update()
            await anyio.sleep(0.05)

    def runners(self):
        return [name for name, role in self.roles.items() if role.is_runner]

    def cut(self, name):
        for other in self.names:
            if other != name:
                self.network.cut.add(frozenset((name, other)))


class TestRole(unittest.TestCase):
    def run_with_roles(self, test, count=4, core=None):
        roles = Roles([f'host-{number}' for number in range(count)], core)

        async def run():
            async with anyio.create_task_group() as tasks:
                roles.start(tasks)
                await anyio.sleep(3)
                await test(roles)
                tasks.cancel_scope.cancel()

        fakes.run(run)

    def test_only_one_host_is_runner(self):
        async def test(roles):
            self.assertEqual(1, len(roles.runners()))

        self.run_with_roles(test)

    def test_leaving_runner_hands_over_and_does_not_reclaim(self):
        async def test(roles):
            first = roles.runners()
            roles.down.update(first)
            await anyio.sleep(0.5)
            second = roles.runners()
            self.assertEqual(1, len(second))
            self.assertNotEqual(first, second)
            roles.down.clear()
            await anyio.sleep(5)
            self.assertEqual(second, roles.runners())

        self.run_with_roles(test)

    def test_isolated_runner_gives_up_the_role(self):
        async def test(roles):
            (first,) = roles.runners()
            roles.cut(first)
            await anyio.sleep(1)
            (second,) = roles.runners()
            self.assertNotEqual(first, second)
            roles.network.cut.clear()
            await anyio.sleep(2)
            self.assertEqual([second], roles.runners())

        self.run_with_roles(test)

    def test_runner_that_hangs_is_replaced_within_two_seconds(self):
        async def test(roles):
            (first,) = roles.runners()
            roles.frozen.add(first)
            await anyio.sleep(1.5)
            second = set(roles.runners()) - {first}
            self.assertEqual(1, len(second))
            roles.frozen.clear()
            await anyio.sleep(0.5)
            self.assertEqual(second, set(roles.runners()))

        self.run_with_roles(test)

    def test_only_core_hosts_claim_and_get_claims(self):
        core_hosts = ['host-2', 'host-1']

        async def test(roles):
            self.assertEqual(core_hosts[:1], roles.runners())
            receivers = {row[1] for row in roles.network.notices}
            self.assertEqual({'host-1'}, receivers)
            roles.down.add('host-2')
            await anyio.sleep(2)
            self.assertEqual(core_hosts[1:], roles.runners())
            roles.down.add('host-1')
            await anyio.sleep(2)
            self.assertEqual([], roles.runners())

        self.run_with_roles(test, core=core_hosts)

    def test_runner_outside_a_changed_core_hands_over_and_stays_out(self):
        async def test(roles):
            self.assertEqual(['host-0'], roles.runners())
            roles.core = ['host-1', 'host-2']
            await anyio.sleep(0.2)
            self.assertEqual(['host-1'], roles.runners())
            roles.core = ['host-0', 'host-1']
            await anyio.sleep(5)
            self.assertEqual(['host-1'], roles.runners())

        self.run_with_roles(test, core=['host-0', 'host-1'])

    def test_conflicting_claims_leave_one_runner(self):
        async def test(roles):
            for role in roles.roles.values():
                role.is_runner = True
                role._claim = batch_role.Claim(7, role._host)
            await anyio.sleep(1)
            self.assertEqual(1, len(roles.runners()))

        self.run_with_roles(test)


class TestCleanup(unittest.TestCase):
    @expand(
        [
            ('young', 100, True, 5),
            ('old and open', 300, False, 2),
            ('old and done', 300, True, 0),
        ]
    )
    def test_old_jobs_are_removed(self, _, age, finished, remaining):
        async def test():
            memory = record_fakes.MemoryRecords()
            host = Host(memory)
            cleanup = job_cleanup.JobCleanup(
                'host', memory.port, host.log.jobs, 120.0, lambda: True
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.copy.run)
                deadline = anyio.current_time() + 4
                job = make_job()._replace(accepted_at=time.time())
                await host.log.accept(job, MAX_WAITING_TOKENS, deadline)
                await host.log.commit('j', [done('j-0')])
                if finished:
                    await host.log.commit('j', [done('j-1'), done('j-2')])
                    await host.log.end('j', deadline)
                    memory.put(job_records.KIND, 'r.j.000002', {'results': []})
                tasks.start_soon(cleanup.run)
                await anyio.sleep(age)
                self.assertEqual(remaining, len(memory.rows))
                self.assertEqual(remaining > 0, 'j' in host.log.jobs)
                self.assertEqual(remaining, len(host.copy.records))
                tasks.cancel_scope.cancel()

        fakes.run(test)

    def test_failed_removal_is_continued(self):
        """The store fails after the job's own record has been removed."""

        async def test():
            memory = record_fakes.MemoryRecords()
            host = Host(memory)
            delete = memory.port.delete
            failures = [None, 'outage', 'outage']

            async def delete_with_outage(*args):
                if failures and failures.pop(0):
                    return result.Err(store.unavailable('outage'))
                return await delete(*args)

            cleanup = job_cleanup.JobCleanup(
                'host',
                memory.port._replace(delete=delete_with_outage),
                host.log.jobs,
                120.0,
                lambda: True,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.copy.run)
                deadline = anyio.current_time() + 4
                job = make_job()._replace(accepted_at=time.time())
                await host.log.accept(job, MAX_WAITING_TOKENS, deadline)
                names = [item.id for item in job.items]
                await host.log.commit('j', [done(name) for name in names])
                tasks.start_soon(cleanup.run)
                await anyio.sleep(300)
                self.assertEqual([], failures)
                self.assertEqual({}, memory.rows)
                tasks.cancel_scope.cancel()

        fakes.run(test)


class TestRecords(unittest.TestCase):
    def test_round_trip(self):
        job = make_job()
        name = job_records.job_name('j')
        stored = job_records.read(
            records.Record(name, 1, job_records.encode_job(job), {})
        )
        self.assertEqual(job, stored.job)
        results = [
            done('a', 'x\ny'),
            job_records.ItemResult('b', job_records.State.FAILED),
        ]
        name = job_records.results_name('j', 3)
        data = job_records.encode_results(results)
        stored = job_records.read(records.Record(name, 1, data, {}))
        self.assertEqual((3, results), (stored.number, stored.results))

    @expand(
        [
            ('other', 'x.j', {}),
            ('empty', 'j.j', {}),
            ('results', 'r.j.000001', {'results': 3}),
            ('number', 'r.j.x', {'results': []}),
        ]
    )
    def test_unreadable(self, _, name, data):
        self.assertIsNone(job_records.read(records.Record(name, 1, data, {})))


OLD = item_text.Source(1, 'a')
NEW = item_text.Source(2, 'b')


class TestItemText(unittest.TestCase):
    @expand(
        [
            ('in order', [(OLD, 0, ['a1']), (OLD, 1, ['a2'])], ['a1', 'a2']),
            ('again', [(OLD, 0, ['a1']), (OLD, 0, ['a1', 'a2'])],
             ['a1', 'a2']),
            ('with a gap', [(OLD, 0, ['a1']), (OLD, 2, ['a3'])], ['a1']),
            (
                'two runs are never joined',
                [(OLD, 0, ['a1', 'a2', 'a3']), (NEW, 2, ['b3', 'b4'])],
                ['a1', 'a2', 'a3'],
            ),
            (
                'a later run replaces the text',
                [(OLD, 0, ['a1', 'a2', 'a3']), (NEW, 0, ['a1', 'b2'])],
                ['a1', 'b2'],
            ),
            (
                'an earlier run comes too late',
                [(NEW, 0, ['b1']), (OLD, 0, ['a1', 'a2'])],
                ['b1'],
            ),
        ]
    )  # fmt: skip
    def test_apply(self, _, messages, expected):
        text = item_text.ItemText()
        for source, count, texts in messages:
            text.apply(source, count, count + len(texts), texts)
        self.assertEqual(expected, text.texts)
        self.assertEqual(len(expected), text.last_id)

    def test_texts_of_two_software_versions_are_never_joined(self):
        first, second = (
            stream_versions.Origin('notes', version) for version in ('1', '2')
        )
        text = item_text.ItemText()
        self.assertTrue(text.apply(OLD, 0, 1, ['a1'], first))
        self.assertFalse(text.apply(OLD, 1, 2, ['b2'], second))
        self.assertTrue(text.apply(OLD, 0, 2, ['b1', 'b2'], second))
        self.assertEqual((['b1', 'b2'], second), (text.texts, text.origin))
        text.restart()
        self.assertEqual(
            ([], None, None), (text.texts, text.last_id, text.origin)
        )

    def test_late_update_of_an_earlier_runner_is_refused(self):
        text = item_text.ItemText()
        text.apply(OLD, 0, 1, ['a1'])
        text.claim(NEW)
        text.add('b2', 2)
        self.assertFalse(text.apply(OLD, 1, 3, ['a2', 'a3']))
        self.assertEqual(['a1', 'b2'], text.texts)


class TestEnd(unittest.TestCase):
    def test_end_survives_a_lost_answer(self):
        async def test():
            memory = record_fakes.MemoryRecords()
            host = Host(memory)
            deadline = anyio.current_time() + 4
            await host.log.accept(make_job(), MAX_WAITING_TOKENS, deadline)
            memory.faults.append(fakes.LOST_ANSWER)
            for _ in range(2):
                ended = await host.log.end('j', deadline)
                self.assertIsInstance(ended, result.Ok)
            self.assertFalse(host.log.jobs['j'].is_open)
            self.assertEqual(0, host.log.waiting_tokens('jobs'))

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
