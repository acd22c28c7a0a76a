"""Ledgers with a single fault, each at the most critical moment."""

import unittest
from unittest import mock

import anyio
import parameterized
import result

from persimmonpass import events
from persimmonpass import heads
from persimmonpass import ledger
from persimmonpass.policy import compaction
from persimmonpass import segments
from persimmonpass import store
from persimmonpass import verdicts
from tests import fakes

PATH = 'keys/00001'
SLOW_SECONDS = 1.0
ALWAYS = heads.WRITE_ATTEMPTS
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def collect(value, record):
    """Merge by collecting the kinds of a key's records."""
    return [*(value or []), record.kind]


def make_ledger(memory, owner='host-0', **options):
    return ledger.Ledger(memory.port, PATH, owner, collect, **options)


def record(key='k', kind='x', body=None):
    return ledger.Record(key, kind, body)


async def open_ledger(memory, owner='host-0', **options):
    owned_ledger = make_ledger(memory, owner, **options)
    (await owned_ledger.open()).unwrap()
    return owned_ledger


async def kinds(memory):
    return [row.kind for row in (await ledger.read(memory.port, PATH)).ok()]


def with_paused_clock(test):
    """Run a coroutine test on a paused clock."""

    def wrapper(*arguments):
        async def main():
            await test(*arguments)

        fakes.run(main)

    wrapper.__name__ = test.__name__
    return wrapper


class TestAppend(unittest.TestCase):
    """The outcome of an append and the stored records for each fault."""

    @parameterized.parameterized.expand(
        [
            ('no_fault', [], None, ['x'], True),
            ('refused', [fakes.OUTAGE], NOT_RUN, [], True),
            ('answer_lost', [fakes.LOST_ANSWER], None, ['x'], True),
            ('request_lost', [fakes.LOST_REQUEST], None, ['x'], True),
            ('delayed', [fakes.DELAYED], None, ['x'], True),
            (
                'request_lost_then_refused',
                [fakes.LOST_REQUEST] + [fakes.OUTAGE] * ALWAYS,
                MAY_HAVE_RUN,
                [],
                False,
            ),
            (
                'requests_lost',
                [fakes.LOST_REQUEST] * ALWAYS,
                MAY_HAVE_RUN,
                [],
                False,
            ),
            (
                'delayed_long',
                [fakes.DELAYED] * ALWAYS,
                MAY_HAVE_RUN,
                [],
                False,
            ),
        ]
    )
    @with_paused_clock
    async def test_fault(
        self, name, faults, verdict, stored_kinds, stays_open
    ):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.faults.extend(faults)
        outcome = await owned_ledger.append([record()])
        memory.faults.clear()
        actual_verdict = (
            outcome.err_value.verdict if outcome.is_err() else None
        )
        self.assertEqual(verdict, actual_verdict)
        self.assertEqual(stored_kinds, await kinds(memory))
        self.assertIs(stays_open, owned_ledger.is_open)
        if not stays_open:
            refused = await owned_ledger.append([record('other')])
            self.assertEqual(NOT_RUN, refused.err_value.verdict)

    @parameterized.parameterized.expand(
        [('before_open', True, ['x']), ('after_open', False, [])]
    )
    @with_paused_clock
    async def test_delayed_write_takes_effect(
        self, name, before, stored_kinds
    ):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.faults.extend([fakes.DELAYED] * ALWAYS)
        await owned_ledger.append([record()])
        if before:
            memory.apply_delayed_writes()
        (await owned_ledger.open()).unwrap()
        memory.apply_delayed_writes()
        self.assertEqual(stored_kinds, await kinds(memory))
        self.assertEqual(stored_kinds, owned_ledger.get('k') or [])
        (await owned_ledger.append([record('l', 'y')])).unwrap()
        self.assertEqual([*stored_kinds, 'y'], await kinds(memory))

    @with_paused_clock
    async def test_old_owner_fails_after_take_over(self):
        memory = fakes.MemoryStore()
        old_owner = await open_ledger(memory)
        new_owner = await open_ledger(memory, 'host-1')
        outcome = await old_owner.append([record()])
        self.assertEqual(events.LEDGER_LOST, outcome.err_value.event)
        self.assertEqual(NOT_RUN, outcome.err_value.verdict)
        self.assertFalse(old_owner.is_open)
        self.assertEqual(2, new_owner.epoch)

    @with_paused_clock
    async def test_commit_seen_only_by_the_next_owner(self):
        memory = fakes.MemoryStore()
        old_owner = await open_ledger(memory)
        memory.faults.append(fakes.LOST_ANSWER)
        outcomes = []

        async def append():
            outcomes.append(await old_owner.append([record()]))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append)
            await anyio.sleep(heads.WRITE_BACKOFF_SECONDS / 2)
            await open_ledger(memory, 'host-1')
        self.assertEqual(MAY_HAVE_RUN, outcomes[0].err_value.verdict)
        self.assertEqual(['x'], await kinds(memory))

    @with_paused_clock
    async def test_cancelled_waiter_leaves_the_batch(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owned_ledger.append, [record('k', 'first')])
            await anyio.sleep(SLOW_SECONDS / 4)
            tasks.start_soon(owned_ledger.append, [record('k', 'stays')])
            with anyio.move_on_after(SLOW_SECONDS / 4):
                await owned_ledger.append([record('k', 'cancelled')])
        self.assertEqual(['first', 'stays'], await kinds(memory))

    @with_paused_clock
    async def test_cancelled_writer_completes_its_write(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        with anyio.move_on_after(SLOW_SECONDS / 2):
            await owned_ledger.append([record()])
        self.assertEqual(['x'], owned_ledger.get('k'))
        self.assertEqual(['x'], await kinds(memory))

    @with_paused_clock
    async def test_reopened_while_an_append_waits(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        outcomes = {}

        async def append(kind):
            outcomes[kind] = await owned_ledger.append([record('k', kind)])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append, 'first')
            await anyio.sleep(SLOW_SECONDS / 4)
            tasks.start_soon(owned_ledger.open)
            await anyio.sleep(SLOW_SECONDS / 4)
            tasks.start_soon(append, 'queued')
        self.assertTrue(outcomes['first'].is_ok())
        self.assertEqual(NOT_RUN, outcomes['queued'].err_value.verdict)
        self.assertEqual(['first'], await kinds(memory))

    @parameterized.parameterized.expand([('append',), ('open',)])
    @with_paused_clock
    async def test_close_during_a_call(self, name):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        arguments = ([record()],) if name == 'append' else ()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(getattr(owned_ledger, name), *arguments)
            await anyio.sleep(SLOW_SECONDS / 2)
            owned_ledger.close()
        self.assertFalse(owned_ledger.is_open)
        self.assertEqual({}, owned_ledger.values())

    @with_paused_clock
    async def test_appends_share_a_write(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(owned_ledger.append, [record(f'k{number}')])
        self.assertEqual(50, len(owned_ledger.values()))
        self.assertLessEqual(owned_ledger.writes, 2)


class TestOpen(unittest.TestCase):
    """Faults while a ledger is taken over."""

    @parameterized.parameterized.expand(
        [
            ('refused', [fakes.OUTAGE], NOT_RUN),
            ('answer_lost', [fakes.LOST_ANSWER], None),
            ('request_lost', [fakes.LOST_REQUEST], None),
            ('unknown', [fakes.LOST_REQUEST] * ALWAYS, MAY_HAVE_RUN),
            ('delayed', [fakes.DELAYED] * ALWAYS, MAY_HAVE_RUN),
        ]
    )
    @with_paused_clock
    async def test_fault(self, name, faults, verdict):
        memory = fakes.MemoryStore()
        await open_ledger(memory, 'host-1')
        memory.faults.extend(faults)
        owned_ledger = make_ledger(memory)
        outcome = await owned_ledger.open()
        actual_verdict = (
            outcome.err_value.verdict if outcome.is_err() else None
        )
        self.assertEqual(verdict, actual_verdict)
        self.assertIs(verdict is None, owned_ledger.is_open)
        memory.apply_delayed_writes()
        (await owned_ledger.open()).unwrap()
        (await owned_ledger.append([record()])).unwrap()

    @with_paused_clock
    async def test_segment_cannot_be_read(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        await fill(owned_ledger, 4)
        lost = [key for key in memory.objects if 'segment' in key][0]
        segment = memory.objects.pop(lost)
        self.assertTrue((await owned_ledger.open()).is_err())
        self.assertFalse(owned_ledger.is_open)
        memory.objects[lost] = segment
        (await owned_ledger.open()).unwrap()
        self.assertEqual(4, len(owned_ledger.values()))


async def fill(owned_ledger, appends, size=ledger.MAX_INLINE_BYTES):
    """Append records, each of which fills the head."""
    for number in range(appends):
        row = record(f'k{number}', f'x{number}', b'-' * size)
        (await owned_ledger.append([row])).unwrap()


def find_segments(memory):
    return {key for key in memory.objects if 'segment' in key}


def find_head(memory):
    return heads.decode_head(memory.objects[PATH].data)


class TestSegments(unittest.TestCase):
    """Size limits, merging, retention and deletion of segments."""

    @with_paused_clock
    async def test_record_larger_than_a_value(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        large = record(body=b'-' * ledger.MAX_APPEND_BYTES)
        outcome = await owned_ledger.append([large])
        self.assertEqual(events.LEDGER_FULL, outcome.err_value.event)
        self.assertEqual(NOT_RUN, outcome.err_value.verdict)
        self.assertEqual(413, outcome.err_value.status)
        (await owned_ledger.append([record()])).unwrap()

    @with_paused_clock
    async def test_values_stay_below_the_limit(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        memory.delay_seconds = SLOW_SECONDS
        async with anyio.create_task_group() as tasks:
            for number in range(10):
                body = b'-' * (ledger.MAX_APPEND_BYTES // 2 - 1000)
                tasks.start_soon(
                    owned_ledger.append, [record(f'k{number}', body=body)]
                )
        self.assertEqual(10, len(await kinds(memory)))
        changes = (await memory.port.watch('', 0)).unwrap().changes
        largest = max(len(stored.data) for stored in changes)
        self.assertLess(largest, store.MAX_VALUE_BYTES)

    @with_paused_clock
    async def test_small_segments_are_merged(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        await fill(owned_ledger, 100, ledger.MAX_INLINE_BYTES // 4)
        head = find_head(memory)
        self.assertLess(len(head.segments), compaction.MERGE_SEGMENTS * 2)
        self.assertEqual([f'x{n}' for n in range(100)], await kinds(memory))
        named = {segment.key for segment in head.segments}
        self.assertEqual(named | set(head.removed), find_segments(memory))

    @with_paused_clock
    async def test_append_fails_at_the_segment_limit(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        with mock.patch.object(compaction, 'MAX_SEGMENTS', 2):
            await fill(owned_ledger, 3)
            outcome = await owned_ledger.append(
                [record('y', body=b'-' * 64_000)]
            )
        self.assertEqual(events.LEDGER_FULL, outcome.err_value.event)
        self.assertEqual(['x0', 'x1', 'x2'], await kinds(memory))

    @with_paused_clock
    async def test_segment_answer_lost_and_head_refused(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        await fill(owned_ledger, 1)
        memory.faults.extend([fakes.LOST_ANSWER, None, fakes.OUTAGE])
        row = record('y', 'y', b'-' * ledger.MAX_INLINE_BYTES)
        first = await owned_ledger.append([row])
        self.assertEqual(NOT_RUN, first.err_value.verdict)
        second = await owned_ledger.append([row])
        self.assertEqual(NOT_RUN, second.err_value.verdict)
        (await owned_ledger.append([row])).unwrap()
        self.assertEqual(['x0', 'y'], await kinds(memory))
        self.assertEqual(1, len(find_segments(memory)))

    @with_paused_clock
    async def test_segment_of_a_previous_owner_is_deleted(self):
        memory = fakes.MemoryStore()
        old_owner = await open_ledger(memory)
        await fill(old_owner, 1)
        new_owner = await open_ledger(memory, 'host-1')
        row = record('y', 'y', b'-' * ledger.MAX_INLINE_BYTES)
        outcome = await old_owner.append([row])
        self.assertEqual(NOT_RUN, outcome.err_value.verdict)
        self.assertEqual(1, len(find_segments(memory)))
        await fill(new_owner, 2)
        head = find_head(memory)
        named = {segment.key for segment in head.segments}
        self.assertEqual(named, find_segments(memory))

    @with_paused_clock
    async def test_reader_retries_after_a_merge(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory)
        await fill(owned_ledger, 3)
        stale = find_head(memory)
        with mock.patch.object(compaction, 'MERGE_SEGMENTS', 2):
            for number in range(3):
                row = record(f'y{number}', 'y', b'-' * 64_000)
                (await owned_ledger.append([row])).unwrap()
        outcome = await segments.read_records(memory.port, stale)
        self.assertEqual(events.STORE_NOT_FOUND, fakes.failure_event(outcome))
        real_get, answers = memory.port.get, [memory.objects[PATH]]
        answers[0] = answers[0]._replace(data=heads.encode_head(stale))

        async def get(key, priority=None):
            if key == PATH and answers:
                return result.Ok(answers.pop())
            return await real_get(key, priority)

        port = memory.port._replace(get=get)
        records = (await ledger.read(port, PATH)).unwrap()
        self.assertEqual(6, len(records))

    @with_paused_clock
    async def test_retention(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory, retention_seconds=100.0)
        await fill(owned_ledger, 1)
        await anyio.sleep(99)
        (
            await owned_ledger.append([record('late', 'l', b'-' * 64_000)])
        ).unwrap()
        await fill_more(owned_ledger, 'm')
        self.assertIn('k0', owned_ledger.values())
        await anyio.sleep(2)
        await fill_more(owned_ledger, 'n')
        await fill_more(owned_ledger, 'o')
        self.assertNotIn('k0', owned_ledger.values())
        self.assertIn('late', owned_ledger.values())
        reopened = await open_ledger(memory, 'host-1', retention_seconds=100.0)
        self.assertEqual(owned_ledger.values(), reopened.values())

    @with_paused_clock
    async def test_time_without_an_owner_does_not_count(self):
        memory = fakes.MemoryStore()
        owned_ledger = await open_ledger(memory, retention_seconds=100.0)
        await fill(owned_ledger, 2)
        await anyio.sleep(1000)
        owned_ledger = await open_ledger(
            memory, 'host-1', retention_seconds=100.0
        )
        await fill_more(owned_ledger, 'm')
        await fill_more(owned_ledger, 'n')
        self.assertIn('k0', owned_ledger.values())


async def fill_more(owned_ledger, key):
    row = record(key, key, b'-' * ledger.MAX_INLINE_BYTES)
    (await owned_ledger.append([row])).unwrap()
