"""Stops of ``persimmonpassd`` under callers that stay until it is gone."""

import collections
import concurrent.futures
import signal
import time
import unittest

import httpx

from tests import processes

CALLERS = 6
DELAY_SECONDS = 0.1
DEADLINE_SECONDS = 1.0
DRAIN_SECONDS = 6.0
WARM_UP_SECONDS = 0.5
NOT_RUN_STATUSES = frozenset((429, 503))


class Caller:
    """Calls one host again and again, with one key for each call.

    :ivar answers: status and verdict by key
    :ivar cut: errors by key; the outcome is not known from the connection
    """

    def __init__(self, url, name, keeps):
        self._url = url
        self._name = name
        self._keeps = keeps
        self.answers = {}
        self.cut = {}

    def call_until_gone(self):
        """Call until the host takes no connection any more."""
        client = httpx.Client(trust_env=False, timeout=10.0)
        number = 0
        while True:
            number += 1
            key = f'{self._name}-{number}'
            try:
                answer = client.post(
                    f'{self._url}/v1/services/crews/dispatch',
                    content=key.encode(),
                    headers={
                        'Authorization': 'Bearer athi-desk-token',
                        'Idempotency-Key': key,
                        'Persimmonpass-Deadline-Seconds': (
                            f'{DEADLINE_SECONDS}'
                        ),
                    },
                )
            except httpx.ConnectError:
                return
            except httpx.TransportError as error:
                self.cut[key] = repr(error)
                continue
            verdict = answer.headers.get('persimmonpass-verdict')
            self.answers[key] = (answer.status_code, verdict)
            if not self._keeps:
                client.close()
                client = httpx.Client(trust_env=False, timeout=10.0)


class TestCallersThatStay(unittest.TestCase):
    def test_stop_ends_and_cuts_no_call(self):
        """Guards against calls that a stop cuts because callers go on."""
        fleet = processes.Fleet(
            ('ruai', 'kasarani'), '--drain-limit', f'{DRAIN_SECONDS:.0f}s'
        )
        self.addCleanup(fleet.close)
        service = fleet.start_service('crews', 'ruai')
        applied = fleet.run_tool(
            'apply', '-f', str(processes.ROOT / 'examples' / 'athi')
        )
        assert applied.returncode == 0, applied.stderr
        fleet.wait_ready()
        service.set_faults(delay_seconds=DELAY_SECONDS)
        stopped = fleet.hosts[1]
        callers = [
            Caller(stopped.caller, f'caller-{number}', number % 2)
            for number in range(CALLERS)
        ]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
            calls = [
                threads.submit(caller.call_until_gone) for caller in callers
            ]
            time.sleep(WARM_UP_SECONDS)
            stopped.send(signal.SIGTERM)
            began = time.monotonic()
            processes.wait_until(
                lambda: stopped.process.poll() is not None, 2 * DRAIN_SECONDS
            )
            seconds = time.monotonic() - began
            for call in calls:
                call.result()
        self._check(service, stopped, callers)
        self.assertEqual(0, stopped.process.returncode)
        self.assertIsNone(stopped.find_event('drain_unconfirmed'))
        self.assertLess(seconds, DRAIN_SECONDS)

    def _check(self, service, stopped, callers):
        service.set_faults()
        counted = processes.CLIENT.get(
            f'http://{service.address}/control/runs'
        ).json()
        runs = collections.Counter(
            {call.split()[-1]: count for call, count in counted.items()}
        )
        for caller in callers:
            self.assertTrue(caller.answers)
            for key, (status, verdict) in caller.answers.items():
                self.assertIn(status, (200, *NOT_RUN_STATUSES), key)
                self.assertEqual(int(status == 200), runs[key], key)
                if status != 200:
                    self.assertEqual('not_run', verdict, key)
            for key, error in caller.cut.items():
                # It crossed the close, before it was read.
                self.assertEqual(0, runs[key], f'{key} {error}')
                unanswered = [
                    line for line in stopped.events() if line.get('key') == key
                ]
                self.assertEqual([], unanswered, key)


if __name__ == '__main__':
    unittest.main()
