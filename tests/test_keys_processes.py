"""Idempotency keys while daemons are killed and the store fails."""

import concurrent.futures
import signal
import time
import unittest

import httpx
import parameterized

from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
EXAMPLES = processes.ROOT / 'examples'
SLOW_SECONDS = 3.0


class TestKeysProcesses(unittest.TestCase):
    """A fleet of three daemons, an engine and a plain service."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = processes.Fleet(ZONES)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_engine('engine-0', 'ruai', 'pumpread@3')
        cls.service = cls.fleet.start_service('crews', 'ruai')
        applied = cls.fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        assert applied.returncode == 0, applied.stderr
        cls.fleet.wait_ready()
        for host in cls.fleet.hosts:
            processes.wait_until(
                lambda host=host: cls.complete(host).status_code == 200
            )
            processes.wait_until(
                lambda host=host: (
                    cls.dispatch(host, f'ready-{host.host}') is not None
                )
            )

    def setUp(self):
        self.addCleanup(self.fleet.platform.set_faults)
        self.addCleanup(self.service.set_faults)

    @staticmethod
    def complete(host, key=None, prompt='pump 7'):
        headers = ACCOUNT | ({'Idempotency-Key': key} if key else {})
        return processes.CLIENT.post(
            f'{host.caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': prompt},
            headers=headers,
        )

    @staticmethod
    def dispatch(host, key):
        return processes.CLIENT.post(
            f'{host.caller}/v1/services/crews/dispatch',
            content=key.encode(),
            headers=ACCOUNT | {'Idempotency-Key': key},
        )

    @staticmethod
    def read(host, key):
        url = f'{host.caller}/v1/requests/{key}'
        return processes.CLIENT.get(url, headers=ACCOUNT)

    def runs(self, key):
        url = f'http://{self.service.address}/control/runs'
        counts = processes.CLIENT.get(url).json()
        return counts.get(f'POST /dispatch {key}', 0)

    def start_extra(self, name):
        host = self.fleet.start_host(name, 'ruai')
        processes.wait_until(host.is_ready)
        processes.wait_until(lambda: self.complete(host).status_code == 200)
        return host

    @parameterized.parameterized.expand([('dispatch',), ('complete',)])
    def test_same_key_through_all_hosts_at_once(self, call):
        key = f'at-once-{call}'
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            calls = [
                pool.submit(getattr(self, call), host, key)
                for host in self.fleet.hosts * 2
            ]
            answers = [row.result() for row in calls]
        self.assertEqual({200}, {row.status_code for row in answers})
        self.assertEqual(1, len({row.content for row in answers}))
        if call == 'dispatch':
            self.assertEqual(1, self.runs(key))

    def test_answer_is_readable_after_its_host_is_lost(self):
        host = self.start_extra('host-8')
        first = self.complete(host, 'outlives')
        self.assertEqual(200, first.status_code)
        host.close()
        reader = self.fleet.hosts[1]
        processes.wait_until(
            lambda: self.read(reader, 'outlives').status_code == 200
        )
        read = self.read(reader, 'outlives')
        self.assertEqual(first.content, read.content)

    @parameterized.parameterized.expand(
        [('at_once', 0.0), ('after_it_was_sent', SLOW_SECONDS / 3)]
    )
    def test_dispatch_whose_host_dies_runs_at_most_once(self, name, pause):
        key = f'dies-{name}'
        host = self.start_extra(f'host-{name.replace("_", "-")}')
        self.service.set_faults(delay_seconds=SLOW_SECONDS)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            call = pool.submit(self.dispatch, host, key)
            processes.wait_until(
                lambda: self.read(self.fleet.hosts[0], key).status_code == 202
            )
            time.sleep(pause)
            host.close()
            with self.assertRaises(httpx.TransportError):
                call.result()
        self.service.set_faults()
        statuses = set()
        for other in self.fleet.hosts:
            repeated = self.dispatch(other, key)
            statuses.add(repeated.status_code)
            if repeated.status_code != 200:
                self.assertEqual('may_have_run', repeated.json()['verdict'])
        # A call whose connection closed may still run at the service.
        time.sleep(SLOW_SECONDS)
        self.assertLessEqual(self.runs(key), 1)
        if pause:
            self.assertNotIn(200, statuses)
        if 200 in statuses:
            self.assertEqual(1, self.runs(key))

    def test_store_loses_answers(self):
        for number, host in enumerate(self.fleet.hosts):
            self.fleet.platform.set_faults(lose_answers=2)
            answer = self.dispatch(host, f'lost-{number}')
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(1, self.runs(f'lost-{number}'))

    def test_store_outage(self):
        first, second, third = self.fleet.hosts
        self.fleet.platform.set_faults(outage=True)
        answer = self.complete(first, 'outage')
        self.assertEqual(200, answer.status_code, answer.text)
        self.assertEqual('false', answer.headers['persimmonpass-recorded'])
        repeated = self.complete(second, 'outage')
        self.assertEqual(answer.content, repeated.content)
        self.assertEqual('false', repeated.headers['persimmonpass-recorded'])
        refused = self.dispatch(third, 'outage-once')
        self.assertEqual(503, refused.status_code)
        self.assertEqual('not_run', refused.json()['verdict'])
        self.assertIn('Retry-After', refused.headers)
        self.assertEqual(0, self.runs('outage-once'))
        self.fleet.platform.set_faults()
        processes.wait_until(
            lambda: (
                self.complete(third, 'outage').headers[
                    'persimmonpass-recorded'
                ]
                == 'true'
            )
        )
        recorded = self.complete(third, 'outage')
        self.assertEqual(answer.content, recorded.content)
        for host in self.fleet.hosts:
            processes.wait_until(
                lambda host=host: (
                    self.dispatch(host, 'outage-once').status_code == 200
                )
            )
        self.assertEqual(1, self.runs('outage-once'))


class TestLastHost(unittest.TestCase):
    """A fleet of one daemon; no other host can commit its answers."""

    def test_drain_commits_answers_first(self):
        fleet = processes.Fleet(('ruai',))
        self.addCleanup(fleet.close)
        fleet.start_engine('engine-0', 'ruai', 'pumpread@3')
        fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        host = fleet.hosts[0]
        complete = TestKeysProcesses.complete
        processes.wait_until(lambda: complete(host).status_code == 200)
        fleet.platform.set_faults(outage=True)
        answer = complete(host, 'last')
        self.assertEqual('false', answer.headers['persimmonpass-recorded'])
        host.send(signal.SIGTERM)
        processes.wait_until(lambda: host.find_event('drain_started'))
        time.sleep(SLOW_SECONDS)
        fleet.platform.set_faults()
        self.assertEqual(0, host.process.wait(processes.START_SECONDS))
        later = fleet.start_host('host-1', 'ruai')
        processes.wait_until(later.is_ready)
        processes.wait_until(
            lambda: TestKeysProcesses.read(later, 'last').status_code != 503
        )
        read = TestKeysProcesses.read(later, 'last')
        self.assertEqual(answer.content, read.content)
