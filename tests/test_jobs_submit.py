"""Submissions of jobs: validation of items and size limits of objects."""

import json
import unittest

import parameterized

from persimmonpass import jobs
from persimmonpass import submissions
from persimmonpass import verdicts
from tests import batch_fakes
from tests import fakes

MAX_PART_BYTES = 512_000
MAX_HEAD_BYTES = 1_000_000
ITEMS = 750_000


def _line(**fields):
    return json.dumps({'id': 'a', 'prompt': 'p', **fields}).encode()


async def _submit(store, lines):
    async def iterate():
        for line in lines:
            yield line

    return await submissions.submit(
        store.port, batch_fakes.KEY, 'digest', 60.0, iterate()
    )


class TestSubmit(unittest.TestCase):
    """Submissions to a store in memory."""

    @parameterized.parameterized.expand(
        [
            ('empty', [], 'items'),
            ('no_json', [b'{'], 'line 1'),
            ('no_prompt', [b'{"id": "a"}'], 'line 1'),
            ('no_id', [_line(id='')], 'line 1'),
            ('long_id', [_line(id='x' * 201)], 'line 1'),
            ('unknown', [_line(), _line(id='b', n=1)], 'line 2'),
            ('no_tokens', [_line(max_tokens=0)], 'line 1'),
            ('long', [_line(prompt='x' * 64_000)], 'line 1'),
            ('twice', [_line(), _line(id='b'), _line()], 'line 3.id'),
            (
                'twice_far_apart',
                [_line(id=str(n)) for n in range(500)] + [_line(id='3')],
                'line 501.id',
            ),
        ]
    )
    def test_bad_items(self, name, lines, field):
        async def scenario():
            store = fakes.MemoryStore()
            failure = (await _submit(store, lines)).unwrap_err()
            self.assertEqual(field, failure.field)
            self.assertEqual(verdicts.Verdict.NOT_RUN, failure.verdict)
            head = jobs.head_key(batch_fakes.KEY)
            self.assertNotIn(head, store.objects)

        fakes.run(scenario)

    @parameterized.parameterized.expand(
        [('small', 20, 5000), ('usual', 900, 3000), ('large', 60_000, 40)]
    )
    def test_parts_are_bounded_and_complete(self, name, size, count):
        async def scenario():
            store = fakes.MemoryStore()
            lines = [
                _line(id=str(n), prompt='é' * (size // 6))
                for n in range(count)
            ]
            job = (await _submit(store, lines)).unwrap()
            self.assertEqual(count, job.items)
            ids = []
            for part in job.parts:
                key = jobs.items_key(job.key, part.digest)
                data = store.objects[key].data
                self.assertLessEqual(len(data), MAX_PART_BYTES)
                ids += [item.id for item in jobs.decode_items(data)]
            self.assertEqual([str(n) for n in range(count)], ids)

        fakes.run(scenario)

    def test_head_of_the_largest_job_fits(self):
        """The head fits even with items of 4,000 bytes, 128 in each part."""
        part = jobs.Part(b'0' * 16, 128)
        job = jobs.Job('a', 'j', 's', 'd', 60.0, [part] * (ITEMS // 128 + 9))
        self.assertGreater(job.items, ITEMS)
        self.assertLess(len(jobs.encode(job)), MAX_HEAD_BYTES)

    def test_caller_disconnects(self):
        """A job is not accepted if the stream of its items breaks off."""

        async def scenario():
            store = fakes.MemoryStore()

            async def broken_stream():
                for number in range(100):
                    yield _line(id=str(number))
                raise ConnectionResetError

            with self.assertRaises(ConnectionResetError):
                await submissions.submit(
                    store.port,
                    batch_fakes.KEY,
                    'digest',
                    60.0,
                    broken_stream(),
                )
            head = jobs.head_key(batch_fakes.KEY)
            self.assertNotIn(head, store.objects)

        fakes.run(scenario)
