"""Tests of batch jobs on real processes, some of which are killed."""

import collections
import json
import socket
import unittest
import urllib.parse

import cbor2

from persimmonpass import ledger
from persimmonpass.standins import engine
from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
COUNT = 300
TOKENS = 12


def _body(count=COUNT, crash_at=None):
    lines = []
    for number in range(count):
        mark = engine.CRASH_MARK if number == crash_at else ''
        item = {'id': f'item-{number}', 'prompt': f'{mark}digest {number}'}
        lines.append(json.dumps({**item, 'max_tokens': TOKENS}))
    return '\n'.join(lines)


class TestProcesses(unittest.TestCase):
    """Each test starts three daemons and three engines."""

    def setUp(self):
        self.fleet = processes.Fleet(ZONES)
        self.addCleanup(self.fleet.close)
        for index in range(3):
            self.fleet.start_engine(
                f'engine-{index}', ZONES[index], 'pumpread@3'
            )
        examples = processes.ROOT / 'examples' / 'athi'
        applied = self.fleet.run_tool('apply', '-f', str(examples))
        self.assertEqual(0, applied.returncode, applied.stderr)
        self.fleet.wait_ready()

    def _call(self, method, path, host=0, **options):
        url = f'{self.fleet.hosts[host].caller}/v1/jobs/{path}'
        return processes.CLIENT.request(
            method, url, headers=ACCOUNT, **options
        )

    def _submit(self, name, host=0, **options):
        path = f'{name}?service=pumpread&due_seconds=600'
        return self._call('PUT', path, host, content=_body(**options))

    def _status(self, name, host=0):
        return self._call('GET', name, host).json()

    def _wait(self, name, host, seconds=90):
        processes.wait_until(
            lambda: self._status(name, host).get('state') == 'finished',
            seconds,
        )

    def _alive(self):
        engines = self.fleet.engines.values()
        return sum(started.process.poll() is None for started in engines)

    def _committed(self):
        """Return how many committed results each item has in the store."""
        url = f'http://{self.fleet.platform.address}/v1/objects'
        params = {'prefix': 'results/'}
        page = cbor2.loads(processes.CLIENT.get(url, params=params).content)
        counts = collections.Counter()
        stored = {key: data for key, _, data in page['objects']}
        self.assertFalse(page['more'])
        for key, data in stored.items():
            if '.segment-' in key:
                continue
            head = ledger.decode_head(data)
            records = list(head.records)
            for segment in head.segments:
                rows = cbor2.loads(stored[segment.key])
                records += [ledger.Record(*row) for row in rows]
            for record in records:
                counts[record.key] += record.kind in ('done', 'failed')
        return counts

    def test_host_and_engine_killed_during_a_job(self):
        self.assertEqual(202, self._submit('lot').status_code)
        processes.wait_until(lambda: self._status('lot', 1)['done'])
        self.fleet.hosts[0].process.kill()
        self.fleet.engines['engine-0'].process.kill()
        repeated = self._submit('lot', 1)
        self.assertEqual(
            (202, COUNT), (repeated.status_code, repeated.json()['items'])
        )
        self._wait('lot', 1)
        lines = self._call('GET', 'lot/results', 2).text.splitlines()
        rows = {row['id']: row for row in map(json.loads, lines)}
        self.assertEqual(COUNT, len(lines))
        for number in range(COUNT):
            row = rows[f'item-{number}']
            expected = engine.full_text(f'digest {number}', TOKENS)
            self.assertEqual(('done', expected), (row['status'], row['text']))
        counts = self._committed()
        self.assertEqual({1}, {counts[f'item-{n}'] for n in range(COUNT)})
        row = self._call('GET', 'lot/items/item-7', 1).json()
        self.assertEqual(rows['item-7'], row)
        missing = self._call('GET', 'lot/items/none', 1)
        self.assertEqual(404, missing.status_code)

    def test_crashing_item_and_cancel(self):
        self.assertEqual(202, self._submit('bad', crash_at=5).status_code)
        self._wait('bad', 1)
        status = self._status('bad', 2)
        self.assertEqual((COUNT - 1, 1), (status['done'], status['failed']))
        self.assertEqual({'lost_targets': 1}, status['causes'])
        # The process of a crashed engine takes a moment to exit.
        processes.wait_until(lambda: self._alive() <= 1, 10)
        self.assertEqual(1, self._alive())
        row = self._call('GET', 'bad/items/item-5', 2).json()
        self.assertEqual(
            ('failed', 'lost_targets'), (row['status'], row['cause'])
        )
        self._submit('withdrawn', count=2000)
        cancelled = self._call('POST', 'withdrawn/cancel', 1)
        self.assertEqual('cancelled', cancelled.json()['state'])
        text = self._call('GET', 'withdrawn/results', 2).text
        states = {json.loads(line)['status'] for line in text.splitlines()}
        self.assertLessEqual(states, {'cancelled', 'done'})
        self.assertIn('cancelled', states)
        self.assertEqual(text, self._call('GET', 'withdrawn/results', 0).text)

    def test_refused_and_broken_submissions(self):
        self.fleet.platform.set_faults(outage=True)
        refused = self._submit('refused')
        self.assertEqual(503, refused.status_code, refused.text)
        self.assertEqual('not_run', refused.json()['verdict'])
        self.assertIn('retry-after', refused.headers)
        self.fleet.platform.set_faults()
        parts = urllib.parse.urlsplit(self.fleet.hosts[0].caller)
        body = _body().encode()
        request = (
            f'PUT /v1/jobs/broken?service=pumpread HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: {ACCOUNT["Authorization"]}\r\n'
            f'Content-Length: {len(body) + 1}\r\n\r\n'
        )
        with socket.create_connection((parts.hostname, parts.port)) as sock:
            sock.sendall(request.encode() + body)
        self.assertEqual(202, self._submit('whole', count=8).status_code)
        for name in ('refused', 'broken'):
            answer = self._call('GET', name)
            self.assertEqual(404, answer.status_code, name)
