"""Kills, freezes and silences targets under load; measures recovery.

Run it with ``python -m bench.recovery``.
"""

import json
import signal
import threading
import time
import uuid

import httpx

from persimmonpass.standins import engine
from tests import processes

ZONES = ('ruai', 'kasarani')
ENGINES = 5
WORKERS = 16
TOKENS = 40
QUIET_SECONDS = 1.5
SETTLE_SECONDS = 4.0
STORM_KILLS = 4
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
EXAMPLES = processes.ROOT / 'examples'


class Load:
    """Callers that each send one request after the other.

    :ivar answers: start, end, status and problem of each answer; the problem
        is ``None`` if the answer was as expected
    :ivar calls: body and verdict of each call to the plain service
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._stop = threading.Event()
        self.answers = []
        self.calls = []
        self._threads = [
            threading.Thread(target=self._run_worker, args=(index,))
            for index in range(WORKERS)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(40)

    def _run_worker(self, index):
        host = self._fleet.hosts[index % len(self._fleet.hosts)]
        with httpx.Client(trust_env=False, timeout=40) as client:
            while not self._stop.is_set():
                started = time.monotonic()
                if index % 4:
                    answer, problem = self._complete(client, host)
                else:
                    answer, problem = self._call(client, host)
                self.answers.append(
                    (started, time.monotonic(), answer.status_code, problem)
                )
                if 'retry-after' in answer.headers:
                    self._stop.wait(float(answer.headers['retry-after']))

    def _complete(self, client, host):
        prompt = f'reading {uuid.uuid4().hex}'
        answer = client.post(
            f'{host.caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': prompt, 'max_tokens': TOKENS},
            headers=ACCOUNT,
        )
        if answer.status_code != 200:
            return answer, answer.json().get('error')
        text = answer.json()['choices'][0]['text']
        expected = engine.full_text(prompt, TOKENS)
        return answer, None if text == expected else 'text'

    def _call(self, client, host):
        body = uuid.uuid4().hex
        answer = client.post(
            f'{host.caller}/v1/services/crews/dispatch',
            content=body,
            headers={**ACCOUNT, 'Idempotency-Key': body},
        )
        verdict = 'ran'
        if answer.status_code != 200:
            verdict = answer.json()['verdict']
        self.calls.append((body, verdict))
        time.sleep(0.05)
        return answer, None if verdict == 'ran' else verdict


def measure_settling(load, inject):
    """Inject a fault and wait until requests have settled.

    :param inject: function that injects the fault
    :returns: the longest time in seconds to the end of a request, from the
        fault or from its own start if that was later; only requests that were
        in progress at the fault or started within a second of it count
    """
    time.sleep(QUIET_SECONDS)
    fault_at = time.monotonic()
    inject()
    time.sleep(SETTLE_SECONDS)
    return max(
        end - max(started, fault_at)
        for started, end, _, _ in list(load.answers)
        if started < fault_at + 1.0 and end > fault_at
    )


def sum_counter(fleet, name):
    """Return the sum of a counter over all hosts.

    :param name: prefix of the lines in the metrics
    """
    total = 0.0
    for host in fleet.hosts:
        text = processes.CLIENT.get(f'{host.operator}/metrics').text
        for line in text.splitlines():
            if line.startswith(name):
                total += float(line.split()[-1])
    return total


def kill_engines_in_turn(fleet):
    """Kill engines one after the other and start replacements."""
    for number in range(STORM_KILLS):
        engine_to_kill = fleet.engines[f'storm-{number}']
        engine_to_kill.send(signal.SIGKILL)
        time.sleep(1.0)
        name = f'storm-{number + 2}'
        if name not in fleet.engines:
            fleet.start_engine(name, ZONES[number % 2], 'pumpread@3')
        time.sleep(1.0)


def count_runs(fleet):
    """Return the number of runs of each call, by its body."""
    runs = {}
    for service in fleet.services.values():
        counts = processes.CLIENT.get(
            f'http://{service.address}/control/runs'
        ).json()
        for call, count in counts.items():
            body = call.rpartition(' ')[2]
            runs[body] = runs.get(body, 0) + count
    return runs


def measure(fleet):
    """Inject all faults under load.

    :returns: the results by name
    """
    load = Load(fleet)
    load.start()
    engines = fleet.engines
    figures = {
        'settle_kill_s': measure_settling(
            load, lambda: engines['engine-0'].send(signal.SIGKILL)
        ),
        'settle_freeze_s': measure_settling(
            load, lambda: engines['engine-1'].send(signal.SIGSTOP)
        ),
        'settle_cut_s': measure_settling(
            load, lambda: engines['engine-2'].set_faults(silent=True)
        ),
    }
    engines['engine-1'].send(signal.SIGCONT)
    engines['engine-2'].set_faults()
    time.sleep(QUIET_SECONDS)
    requests_before = sum_counter(fleet, 'persimmonpass_requests_total')
    retries_before = sum_counter(fleet, 'persimmonpass_retries_total')
    kill_engines_in_turn(fleet)
    storm_requests = (
        sum_counter(fleet, 'persimmonpass_requests_total') - requests_before
    )
    storm_retries = (
        sum_counter(fleet, 'persimmonpass_retries_total') - retries_before
    )
    load.stop()
    runs = count_runs(fleet)
    problems = [problem for _, _, _, problem in load.answers if problem]
    return figures | {
        'storm_retry_share': storm_retries / storm_requests,
        'answers': len(load.answers),
        'failed': {
            problem: problems.count(problem) for problem in set(problems)
        },
        'doubled': sum(count > 1 for count in runs.values()),
        'lost': sum(
            verdict == 'ran' and not runs.get(body)
            for body, verdict in load.calls
        ),
        'false_not_run': sum(
            verdict == 'not_run' and bool(runs.get(body))
            for body, verdict in load.calls
        ),
    }


def main() -> None:
    """Run the measurements and print the results as a table and JSON."""
    fleet = processes.Fleet(ZONES)
    try:
        for index in range(3):
            fleet.start_engine(
                f'engine-{index}', ZONES[index % 2], 'pumpread@3'
            )
        for index in range(ENGINES - 3):
            fleet.start_engine(
                f'storm-{index}', ZONES[index % 2], 'pumpread@3'
            )
        for index in range(2):
            fleet.start_service(f'crews-{index}', 'ruai', 'crews')
        fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        fleet.wait_ready()
        time.sleep(2)
        figures = measure(fleet)
    finally:
        fleet.close()
    for name, value in figures.items():
        print(f'{name:20} {value}')
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
