"""End-to-end tests: callers, daemons, targets and the tool as processes."""

import json
import signal
import tempfile
import unittest

import parameterized

from persimmonpass.standins import engine
from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
EXAMPLES = processes.ROOT / 'examples'


class TestWholePath(unittest.TestCase):
    """Tests against a fleet of three daemons, two engines and a service."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = processes.Fleet(ZONES)
        cls.addClassCleanup(cls.fleet.close)
        for index in range(2):
            cls.fleet.start_engine(
                f'engine-{index}', ZONES[index], 'pumpread@3'
            )
        cls.fleet.start_service('crews', 'ruai')
        applied = cls.fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        assert applied.returncode == 0, applied.stderr
        cls.fleet.wait_ready()
        for host in cls.fleet.hosts:
            processes.wait_until(lambda host=host: cls._serves(host))

    @classmethod
    def _serves(cls, host):
        answer = cls._complete(host, 'ready?')
        return answer.status_code == 200

    @staticmethod
    def _complete(host, prompt, headers=None, **body):
        return processes.CLIENT.post(
            f'{host.caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': prompt, **body},
            headers={**ACCOUNT, **(headers or {})},
        )

    @parameterized.parameterized.expand([(0,), (1,), (2,)])
    def test_completion_through_each_host(self, index):
        prompt = f'pump 7 through host {index}'
        answer = self._complete(self.fleet.hosts[index], prompt, max_tokens=5)
        self.assertEqual(200, answer.status_code)
        text = answer.json()['choices'][0]['text']
        self.assertEqual(engine.full_text(prompt, 5), text)
        self.assertEqual('true', answer.headers['persimmonpass-recorded'])

    def test_stream(self):
        answer = self._complete(
            self.fleet.hosts[0], 'stream', max_tokens=5, stream=True
        )
        lines = [line for line in answer.text.splitlines() if line]
        self.assertEqual('data: [DONE]', lines[-1])
        events = [json.loads(line[6:]) for line in lines[:-1]]
        text = ''.join(event['choices'][0]['text'] for event in events)
        self.assertEqual(engine.full_text('stream', 5), text)
        self.assertIs(True, events[-1]['recorded'])

    def test_result_is_read_from_another_host(self):
        key = {'Idempotency-Key': 'reading-1'}
        first = self._complete(self.fleet.hosts[0], 'reading', key)
        repeated = self._complete(self.fleet.hosts[1], 'reading', key)
        self.assertEqual(first.content, repeated.content)
        url = f'{self.fleet.hosts[2].caller}/v1/requests/reading-1'
        read = processes.CLIENT.get(url, headers=ACCOUNT)
        self.assertEqual(first.content, read.content)
        other = self._complete(self.fleet.hosts[2], 'other body', key)
        self.assertEqual(422, other.status_code)
        self.assertEqual('not_run', other.json()['verdict'])

    def test_non_idempotent_call_runs_once(self):
        headers = {**ACCOUNT, 'Idempotency-Key': 'crew-1'}
        path = '/v1/services/crews/dispatch'
        bodies = set()
        for host in self.fleet.hosts:
            answer = processes.CLIENT.post(
                host.caller + path, content=b'station 9', headers=headers
            )
            self.assertEqual(200, answer.status_code, answer.text)
            bodies.add(answer.content)
        self.assertEqual(1, len(bodies))
        self.assertEqual(1, json.loads(bodies.pop())['runs'])

    def test_job_gives_each_item_one_result(self):
        count = 40
        lines = [
            json.dumps({'id': f'item-{n}', 'prompt': f'digest {n}'})
            for n in range(count)
        ]
        with tempfile.NamedTemporaryFile('w', suffix='.ndjson') as file:
            file.write('\n'.join(lines))
            file.flush()
            submitted = self.fleet.run_tool(
                *('--output', 'json', 'job', 'submit', 'shift-1'),
                *('--service', 'pumpread', '-f', file.name),
                token='athi-desk-token',
            )
        self.assertEqual(0, submitted.returncode, submitted.stderr)
        self.assertEqual(count, json.loads(submitted.stdout)[0]['items'])
        processes.wait_until(self._job_finished)
        read = self.fleet.run_tool(
            'job', 'results', 'shift-1', token='athi-desk-token', host=1
        )
        results = [json.loads(line) for line in read.stdout.splitlines()]
        self.assertEqual(
            [f'item-{n}' for n in range(count)],
            [row['id'] for row in results],
        )
        for number, row in enumerate(results):
            expected = engine.full_text(f'digest {number}', 64)
            self.assertEqual(('done', expected), (row['status'], row['text']))

        item = self.fleet.run_tool(
            *('--output', 'json', 'job', 'item', 'shift-1', 'item-7'),
            token='athi-desk-token',
        )
        self.assertEqual(
            results[7]['text'], json.loads(item.stdout)[0]['text']
        )

    def _job_finished(self):
        url = f'{self.fleet.hosts[2].caller}/v1/jobs/shift-1'
        return (
            processes.CLIENT.get(url, headers=ACCOUNT).json()['state']
            == 'finished'
        )

    @parameterized.parameterized.expand(
        [
            ('field', {'model': 'pumpread', 'prompt': 'x', 'n': 1}, 400, 'n'),
            ('missing', {'model': 'pumpread'}, 400, 'prompt'),
            ('model', {'model': 'no', 'prompt': 'x'}, 404, 'model'),
        ]
    )
    def test_bad_completion(self, name, body, status, field):
        answer = processes.CLIENT.post(
            f'{self.fleet.hosts[0].caller}/v1/completions',
            json=body,
            headers=ACCOUNT,
        )
        self.assertEqual(status, answer.status_code, answer.text)
        self.assertEqual(field, answer.json()['field'])
        self.assertEqual('not_run', answer.json()['verdict'])

    @parameterized.parameterized.expand(
        [
            ('cut', b'{"model": '),
            ('not_utf8', b'{"model": "\xff", "prompt": "x"}'),
            ('list', b'[]'),
        ]
    )
    def test_broken_body(self, name, content):
        answer = processes.CLIENT.post(
            f'{self.fleet.hosts[0].caller}/v1/completions',
            content=content,
            headers=ACCOUNT,
        )
        self.assertEqual(400, answer.status_code, answer.text)
        self.assertEqual('body', answer.json()['field'])
        self.assertEqual('not_run', answer.json()['verdict'])

    def test_wrong_token_is_refused(self):
        answer = processes.CLIENT.post(
            f'{self.fleet.hosts[0].caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': 'x'},
            headers={'Authorization': 'Bearer wrong'},
        )
        self.assertEqual(401, answer.status_code)

    def test_drain_ends_the_process(self):
        host = self.fleet.start_host('host-9', 'ruai')
        self.fleet.hosts.append(host)
        try:
            self.fleet.wait_ready()
        finally:
            self.fleet.hosts.remove(host)
        host.send(signal.SIGTERM)
        self.assertEqual(0, host.process.wait(processes.START_SECONDS))
        self.assertIsNotNone(host.find_event('drain_finished'))
