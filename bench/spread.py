"""Measures how soon a configuration change is in force on all hosts.

``python -m bench.spread [--hosts 8] [--changes 30]`` changes an object through
each host in turn. The time is measured from sending the change until the host
that wrote it reports that all live hosts have it. Afterwards, a host that was
considered dead during a change returns, and changes are sent while the store
is unavailable.
"""

import argparse
import json
import signal
import statistics
import time
import typing

from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
ADMIN = {'Authorization': f'Bearer {processes.ADMIN_TOKEN}'}
POLL_SECONDS = 0.002
FROZEN_CHANGES = 2
FREEZE_SECONDS = 6.0
REFUSED_CHANGES = 5


def send_change(host: processes.Host, number: int) -> processes.httpx.Response:
    """Change the object through a host and return the answer."""
    return processes.CLIENT.put(
        f'{host.operator}/v1/objects',
        json={
            'kind': 'target',
            'name': 'engine-1',
            'labels': {'number': str(number)},
            'spec': {},
        },
        headers=ADMIN,
    )


def outdated_hosts(host: processes.Host, version: int) -> list[str]:
    """Return the hosts on which a version is not in force."""
    answer = processes.CLIENT.get(
        f'{host.operator}/v1/config/spread/target/engine-1',
        params={'version': version},
        headers=ADMIN,
    )
    return answer.json()['waiting']


def read_version(host: processes.Host) -> int:
    """Return the version of the object that a host has."""
    url = f'{host.operator}/v1/objects/target/engine-1'
    return processes.CLIENT.get(url, headers=ADMIN).json()['version']


def wait_for_all(host: processes.Host, version: int) -> None:
    """Wait until a version is in force everywhere."""
    while outdated_hosts(host, version):
        time.sleep(POLL_SECONDS)


def measure_spread(host: processes.Host, number: int) -> float:
    """Change the object; return the seconds until all hosts have it."""
    started_at = time.monotonic()
    answer = send_change(host, number)
    answer.raise_for_status()
    wait_for_all(host, answer.json()['version'])
    return time.monotonic() - started_at


def measure_catch_up(fleet: processes.Fleet, number: int) -> float:
    """Return the seconds that an unfrozen host needs to get a change."""
    writer, frozen = fleet.hosts[0], fleet.hosts[-1]
    frozen.send(signal.SIGSTOP)
    time.sleep(FREEZE_SECONDS)
    answer = send_change(writer, number)
    answer.raise_for_status()
    version = answer.json()['version']
    frozen.send(signal.SIGCONT)
    started_at = time.monotonic()
    while read_version(frozen) < version:
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


def change_during_outage(fleet: processes.Fleet) -> dict[str, int]:
    """Return the number of answers by status during a store outage."""
    fleet.platform.set_faults(outage=True)
    answers: dict[str, int] = {}
    for number in range(REFUSED_CHANGES):
        answer = send_change(fleet.hosts[0], -1 - number)
        name = f'{answer.status_code} {answer.json().get("verdict")}'
        answers[name] = answers.get(name, 0) + 1
    fleet.platform.set_faults()
    return answers


def measure(count: int, changes: int) -> dict[str, typing.Any]:
    """Measure a fleet.

    :param count: number of hosts
    :param changes: number of changes to measure
    """
    zones = tuple(ZONES[number % len(ZONES)] for number in range(count))
    fleet = processes.Fleet(zones)
    try:
        fleet.wait_ready()
        times = [
            measure_spread(fleet.hosts[number % count], number)
            for number in range(changes)
        ]
        frozen = [
            measure_catch_up(fleet, changes + number)
            for number in range(FROZEN_CHANGES)
        ]
        answers = change_during_outage(fleet)
    finally:
        fleet.close()
    return {
        'hosts': count,
        'changes': changes,
        'seconds_median': round(statistics.median(times), 4),
        'seconds_max': round(max(times), 4),
        'seconds_after_freeze': [round(value, 3) for value in frozen],
        'answers_in_outage': answers,
    }


def main() -> None:
    """Run the measurements; print each result and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', default='3,8')
    parser.add_argument('--changes', type=int, default=30)
    options = parser.parse_args()
    rows = []
    for count in options.hosts.split(','):
        rows.append(measure(int(count), options.changes))
        print(rows[-1], flush=True)
    print(json.dumps(rows))


if __name__ == '__main__':
    main()
