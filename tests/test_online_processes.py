"""Online requests while processes die or freeze and the store fails."""

import json
import signal
import threading
import unittest
import uuid

import httpx
import parameterized

from persimmonpass.policy import shards
from persimmonpass.standins import engine
from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
EXAMPLES = processes.ROOT / 'examples'
KEY_SHARDS = 64
SETTLE_SECONDS = 15.0


def send_call(host, key, body):
    """Send a call that may run only once."""
    return processes.CLIENT.post(
        f'{host.caller}/v1/services/crews/dispatch',
        content=body,
        headers={**ACCOUNT, 'Idempotency-Key': key},
    )


def count_runs(fleet, body):
    """Return how many times the services ran a body."""
    total = 0
    for service in fleet.services.values():
        counts = processes.CLIENT.get(
            f'http://{service.address}/control/runs'
        ).json()
        total += counts.get(f'POST /dispatch {body}', 0)
    return total


class TestProcesses(unittest.TestCase):
    """A fleet of three daemons, five engines and two plain services.

    The tests share the fleet. Engines that a test ends are not restarted: one
    is killed and two crash.
    """

    @classmethod
    def setUpClass(cls):
        cls.fleet = processes.Fleet(ZONES)
        cls.addClassCleanup(cls.fleet.close)
        for index in range(5):
            zone = ZONES[index % 3]
            cls.fleet.start_engine(f'engine-{index}', zone, 'pumpread@3')
        for index in range(2):
            name = f'crews-{index}'
            cls.fleet.start_service(name, 'ruai', 'crews')
        applied = cls.fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        assert applied.returncode == 0, applied.stderr
        cls.fleet.wait_ready()
        for host in cls.fleet.hosts:
            processes.wait_until(lambda host=host: cls._serves(host))

    @classmethod
    def _serves(cls, host):
        ready = uuid.uuid4().hex
        return (
            cls._complete(host, 'ready?').status_code == 200
            and send_call(host, ready, ready).status_code == 200
        )

    def _lost_engines(self):
        return [
            engine_process
            for engine_process in self.fleet.engines.values()
            if engine_process.process.poll() is not None
        ]

    @staticmethod
    def _complete(host, prompt, tokens=4, **headers):
        return processes.CLIENT.post(
            f'{host.caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': prompt, 'max_tokens': tokens},
            headers={**ACCOUNT, **headers},
        )

    def test_store_outage(self):
        """During an outage a non-idempotent call is refused and not run."""
        for host in self.fleet.hosts[:2]:
            # Opens the ledger of the key, so that the host knows that the key
            # was not used before.
            url = f'{host.caller}/v1/requests/outage-{host.host}'
            unused = processes.CLIENT.get(url, headers=ACCOUNT)
            self.assertEqual(404, unused.status_code, unused.text)
        self.fleet.platform.set_faults(outage=True)
        self.addCleanup(self.fleet.platform.set_faults)
        for host in self.fleet.hosts[:2]:
            refused = send_call(host, f'outage-{host.host}', 'outage')
            self.assertEqual(503, refused.status_code)
            self.assertEqual('not_run', refused.json()['verdict'])
            self.assertIn('retry-after', refused.headers)
            answer = self._complete(host, 'outage')
            self.assertEqual(200, answer.status_code, answer.text)
            recorded = answer.headers['persimmonpass-recorded']
            self.assertEqual('false', recorded)
        self.assertEqual(0, count_runs(self.fleet, 'outage'))

    def test_host_killed(self):
        """The owner of a key is killed while a call runs.

        The call runs only once, and committed answers stay readable.
        """
        names = [host.host for host in self.fleet.hosts]
        owner = {}
        for number in range(50):
            key = f'owner-{number}'
            shard = shards.shard('operations-desk', key, KEY_SHARDS)
            owner[shards.owner(f'keys/{shard}', names)] = key
        victim = self.fleet.hosts[2]
        key = owner[victim.host]
        for service in self.fleet.services.values():
            service.set_faults(delay_seconds=0.5)
        committed = self._complete(
            victim, 'kept', **{'Idempotency-Key': 'kept'}
        )
        answers = []
        sending = threading.Thread(
            target=lambda: answers.append(
                send_call(self.fleet.hosts[0], key, 'owner')
            )
        )
        sending.start()
        sending.join(0.25)
        victim.send(signal.SIGKILL)
        sending.join(30)
        (first,) = answers
        for service in self.fleet.services.values():
            service.set_faults()
        repeated = send_call(self.fleet.hosts[1], key, 'owner')
        self.assertEqual(1, count_runs(self.fleet, 'owner'))
        if first.status_code == 200:
            self.assertEqual(1, first.json()['runs'])
        for answer in (first, repeated):
            if answer.status_code != 200:
                self.assertEqual('may_have_run', answer.json()['verdict'])
        url = f'{self.fleet.hosts[1].caller}/v1/requests/kept'
        read = processes.wait_until(lambda: self._read(url))
        self.assertEqual(committed.content, read.content)
        self.assertEqual('kept', read.headers['persimmonpass-request-id'])
        self.assertEqual('ran', read.headers['persimmonpass-verdict'])
        self.assertEqual('text_completion', json.loads(read.content)['object'])

    @parameterized.parameterized.expand(
        [('kill', signal.SIGKILL), ('freeze', signal.SIGSTOP)]
    )
    def test_engine_lost(self, name, number):
        """Completions of a lost engine are resumed at others without a gap."""
        texts = {}

        def send(index):
            prompt = f'{name} {index}'
            host = self.fleet.hosts[index % 2]
            texts[prompt] = self._complete(host, prompt, 60)

        threads = [
            threading.Thread(target=send, args=(index,)) for index in range(9)
        ]
        for thread in threads:
            thread.start()
        threads[0].join(0.3)
        lost = self.fleet.engines[f'engine-{int(name == "kill")}']
        lost.send(number)
        self.addCleanup(lost.send, signal.SIGCONT)
        for thread in threads:
            thread.join(SETTLE_SECONDS)
        self.assertEqual(9, len(texts))
        for prompt, answer in texts.items():
            self.assertEqual(200, answer.status_code, answer.text)
            text = answer.json()['choices'][0]['text']
            self.assertEqual(engine.full_text(prompt, 60), text)

    def test_crashing_body_is_refused_on_every_host(self):
        prompt = f'{engine.CRASH_MARK} reading'
        before = len(self._lost_engines())
        for host in (*self.fleet.hosts[:2], self.fleet.hosts[0]):
            answer = self._complete(host, prompt)
            self.assertEqual(422, answer.status_code, answer.text)
            self.assertEqual('may_have_run', answer.json()['verdict'])
            self.assertEqual('request_quarantined', answer.json()['error'])
        processes.wait_until(lambda: len(self._lost_engines()) >= before + 2)
        self.assertEqual(before + 2, len(self._lost_engines()))

    def test_disconnect_frees_the_engine(self):
        body = {'model': 'pumpread', 'prompt': 'long', 'max_tokens': 9000}
        body['stream'] = True
        url = f'{self.fleet.hosts[0].caller}/v1/completions'
        with httpx.Client(trust_env=False) as client:
            with client.stream(
                'POST', url, json=body, headers=ACCOUNT
            ) as stream:
                next(stream.iter_lines())
        processes.wait_until(lambda: self._running() == 0)

    def _running(self):
        return sum(
            processes.CLIENT.get(
                f'http://{engine_process.address}/v1/load'
            ).json()['running']
            for engine_process in self.fleet.engines.values()
            if engine_process not in self._lost_engines()
        )

    def _read(self, url):
        read = processes.CLIENT.get(url, headers=ACCOUNT)
        return read if read.status_code == 200 else None
