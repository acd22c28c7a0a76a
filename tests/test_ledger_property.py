"""Property test of several writers of one ledger with random faults."""

import collections
import typing
import unittest
from unittest import mock

import anyio
import hypothesis
from hypothesis import strategies
import result

from persimmonpass import heads
from persimmonpass import ledger
from persimmonpass.policy import compaction
from persimmonpass import verdicts
from tests import fakes

PATH = 'keys/00001'
EXAMPLES = 120
INLINE_BYTES = 120
LIMIT_SECONDS = 600.0

FAULTS = [
    *(None, None, None),
    fakes.LOST_ANSWER,
    fakes.LOST_REQUEST,
    fakes.DELAYED,
    fakes.OUTAGE,
]
# One more than the attempts after which the outcome stays unknown.
REPEATS = [1, 1, 1, heads.WRITE_ATTEMPTS + 1]
STEPS = ['append'] * 4 + [
    'burst',
    'cancel',
    'churn',
    'open',
    'close',
    'land',
    'heal',
]


class Step(typing.NamedTuple):
    """A step of a writer.

    :ivar action: an element of ``STEPS``
    :ivar pause: seconds to wait before the step
    """

    action: str
    pause: int


def count(value: int | None, record: ledger.Record) -> int:
    """Merge by counting the records of a key."""
    return (value or 0) + 1


class Run:
    """Writers with their faulty store.

    :ivar outcomes: result of each append by key; ``None`` until it has
        returned
    :ivar numbers: number of appends by writer
    """

    def __init__(self, delays, faults):
        self.store = fakes.MemoryStore()
        self.store.faults.extend(faults)
        self.delays = delays
        self.outcomes = {}
        self.numbers = collections.Counter()

    async def write(self, name, steps):
        owned_ledger = ledger.Ledger(self.store.port, PATH, name, count)
        for index, step in enumerate(steps):
            # Distinct times keep the order of steps the same in each run.
            await anyio.sleep(step.pause + int(name[-1]) / 1e4)
            self.store.delay_seconds = self.delays[index % len(self.delays)]
            if step.action == 'open':
                await owned_ledger.open()
            elif step.action == 'close':
                owned_ledger.close()
            elif step.action == 'land':
                self.store.apply_delayed_writes()
            elif step.action == 'heal':
                self.store.faults.clear()
            else:
                await self.append(owned_ledger, name, step.action)

    async def append(self, owned_ledger, name, action):
        if not owned_ledger.is_open:
            await owned_ledger.open()
        async with anyio.create_task_group() as tasks:
            for _ in range(1 if action == 'append' else 3):
                tasks.start_soon(self.append_one, owned_ledger, name)
                await anyio.sleep(0.05)
            if action == 'churn':
                owned_ledger.close()
                await owned_ledger.open()
            if action == 'cancel':
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()

    async def append_one(self, owned_ledger, name):
        self.numbers[name] += 1
        key = f'{name}-{self.numbers[name]}'
        self.outcomes[key] = None
        record = ledger.Record(key, 'x', owned_ledger.epoch)
        self.outcomes[key] = await owned_ledger.append([record])


def check(case, run, records, values, written):
    """Compare the stored records with the outcomes of the appends."""
    stored_counts = collections.Counter(record.key for record in records)
    case.assertEqual(dict(stored_counts), values)
    case.assertLessEqual(set(stored_counts.values()), {1})
    for key, outcome in run.outcomes.items():
        if isinstance(outcome, result.Ok):
            case.assertIn(key, stored_counts)
        elif outcome is not None:
            if outcome.err_value.verdict == verdicts.Verdict.NOT_RUN:
                case.assertNotIn(key, stored_counts)
    epochs = [record.body for record in records]
    case.assertEqual(sorted(epochs), epochs)
    owners = {}
    last = 0
    for head in written:
        case.assertGreaterEqual(head.epoch, last)
        last = head.epoch
        case.assertEqual(head.owner, owners.setdefault(last, head.owner))


class TestLedgerProperty(unittest.TestCase):
    """No record is lost or duplicated and no previous owner commits."""

    @hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        writers=strategies.lists(
            strategies.lists(
                strategies.builds(
                    Step,
                    strategies.sampled_from(STEPS),
                    strategies.integers(0, 4),
                ),
                min_size=2,
                max_size=14,
            ),
            min_size=2,
            max_size=3,
        ),
        delays=strategies.lists(
            strategies.sampled_from([0.0, 0.1, 0.7, 2.3]),
            min_size=1,
            max_size=5,
        ),
        faults=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(FAULTS),
                strategies.sampled_from(REPEATS),
            ),
            max_size=20,
        ),
    )
    @mock.patch.object(compaction, 'MERGE_SEGMENTS', 2)
    @mock.patch.object(ledger, 'MAX_INLINE_BYTES', INLINE_BYTES)
    def test_faults_in_any_order(self, writers, delays, faults):
        async def main():
            flat = [fault for fault, times in faults for _ in range(times)]
            run = Run(delays, flat)
            with anyio.fail_after(LIMIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for index, steps in enumerate(writers):
                        tasks.start_soon(run.write, f'host-{index}', steps)
            run.store.faults.clear()
            run.store.apply_delayed_writes()
            port = run.store.port
            records = (await ledger.read(port, PATH)).unwrap()
            owned_ledger = ledger.Ledger(port, PATH, 'reader', count)
            (await owned_ledger.open()).unwrap()
            changes = (await port.watch(PATH, 0)).unwrap().changes
            written = [
                heads.decode_head(stored.data)
                for stored in changes
                if stored.key == PATH
            ]
            check(self, run, records, owned_ledger.values(), written)

        fakes.run(main)
