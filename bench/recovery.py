"""Kills, freezes and cuts targets under load and measures the recovery."""

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
    """Callers that send one request after the other.

    :ivar done: start, end, whether it was a completion, status, and what
        was wrong with the answer
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._stop = threading.Event()
        self.done = []
        self.calls = []
        self._threads = [
            threading.Thread(target=self._work, args=(index,))
            for index in range(WORKERS)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(40)

    def _work(self, index):
        host = self._fleet.hosts[index % len(self._fleet.hosts)]
        with httpx.Client(trust_env=False, timeout=40) as client:
            while not self._stop.is_set():
                started = time.monotonic()
                if index % 4:
                    answer, wrong = self._complete(client, host)
                else:
                    answer, wrong = self._call(client, host)
                self.done.append(
                    (started, time.monotonic(), answer.status_code, wrong)
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
        whole = engine.full_text(prompt, TOKENS)
        return answer, None if text == whole else 'text'

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


def settle(load, inject):
    """Inject a fault and wait.

    :returns: the most seconds that a request took from the fault or its own
        start on, of those in progress then or begun within a second
    """
    time.sleep(QUIET_SECONDS)
    fault = time.monotonic()
    inject()
    time.sleep(SETTLE_SECONDS)
    return max(
        end - max(started, fault)
        for started, end, _, _ in list(load.done)
        if started < fault + 1.0 and end > fault
    )


def scrape(fleet, name):
    """Return the sum of a counter over hosts."""
    total = 0.0
    for host in fleet.hosts:
        text = processes.CLIENT.get(f'{host.operator}/metrics').text
        for line in text.splitlines():
            if line.startswith(name):
                total += float(line.split()[-1])
    return total


def storm(fleet):
    """Kill engines one after the other, each replaced by a new one."""
    for number in range(STORM_KILLS):
        victim = fleet.engines[f'storm-{number}']
        victim.send(signal.SIGKILL)
        time.sleep(1.0)
        name = f'storm-{number + 2}'
        if name not in fleet.engines:
            fleet.start_engine(name, ZONES[number % 2], 'pumpread@3')
        time.sleep(1.0)


def count_runs(fleet):
    """Return how often each call ran."""
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
    """Run all faults under load.

    :returns: the figures by name
    """
    load = Load(fleet)
    load.start()
    engines = fleet.engines
    figures = {
        'settle_kill_s': settle(
            load, lambda: engines['engine-0'].send(signal.SIGKILL)
        ),
        'settle_freeze_s': settle(
            load, lambda: engines['engine-1'].send(signal.SIGSTOP)
        ),
        'settle_cut_s': settle(
            load, lambda: engines['engine-2'].set_faults(silent=True)
        ),
    }
    engines['engine-1'].send(signal.SIGCONT)
    engines['engine-2'].set_faults()
    time.sleep(QUIET_SECONDS)
    requests = scrape(fleet, 'persimmonpass_requests_total')
    retries = scrape(fleet, 'persimmonpass_retries_total')
    storm(fleet)
    sent = scrape(fleet, 'persimmonpass_requests_total') - requests
    again = scrape(fleet, 'persimmonpass_retries_total') - retries
    load.stop()
    runs = count_runs(fleet)
    ends = [wrong for _, _, _, wrong in load.done if wrong]
    return figures | {
        'storm_retry_share': again / sent,
        'answers': len(load.done),
        'failed': {wrong: ends.count(wrong) for wrong in set(ends)},
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
    """Print the figures and one line of JSON."""
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
