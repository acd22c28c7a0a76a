"""Measures how soon a lost host is given out no longer.

``python -m bench.detection [--hosts 6] [--faults 3]`` kills and freezes one
host after the other. Meanwhile callers ask the other hosts, keep the answer
for its TTL and open a connection to its first address every few milliseconds;
the table tells which share of them met the lost host.
"""

import argparse
import json
import random
import signal
import statistics
import time
import typing

from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
CALLERS = 60
POLL_SECONDS = 0.01
WINDOW_SECONDS = 8.0
TTL_SECONDS = 0.5


class Caller:
    """A caller that keeps an entry answer for its TTL."""

    def __init__(self, seed: int) -> None:
        self._draw = random.Random(seed)  # noqa: S311
        self._until = 0.0
        self.address = ''

    def next_address(self, hosts: list[processes.Host], now: float) -> str:
        """Return the address that the caller uses now."""
        if now >= self._until:
            answer = processes.CLIENT.get(
                f'{self._draw.choice(hosts).caller}/v1/entry'
            ).json()
            self.address = answer['addresses'][0]
            self._until = now + answer['ttl_seconds']
        return self.address


def lose(
    fleet: processes.Fleet, index: int, number: int
) -> dict[str, typing.Any]:
    """Kill or freeze a host and follow what callers are told.

    :param index: the host
    :param number: signal that it gets
    """
    lost = fleet.hosts[index]
    others = [host for host in fleet.hosts if host is not lost]
    address = lost.caller.removeprefix('http://')
    callers = [Caller(seed) for seed in range(CALLERS)]
    for caller in callers:
        caller.next_address(others, time.monotonic())
    lost.send(number)
    began = time.monotonic()
    calls = misses = 0
    last_miss = 0.0
    while time.monotonic() - began < WINDOW_SECONDS:
        now = time.monotonic()
        for caller in callers:
            calls += 1
            if caller.next_address(others, now) == address:
                misses += 1
                last_miss = now - began
        time.sleep(POLL_SECONDS)
    return {'seconds': last_miss, 'share': misses / calls}


def measure(count: int, faults: int) -> list[dict[str, typing.Any]]:
    """Measure kills and freezes in a fleet of a size."""
    zones = tuple(ZONES[number % len(ZONES)] for number in range(count))
    fleet = processes.Fleet(zones)
    rows = []
    try:
        fleet.wait_ready()
        for name, number in (
            ('freeze', signal.SIGSTOP),
            ('kill', signal.SIGKILL),
        ):
            found = []
            for index in range(faults):
                found.append(lose(fleet, index, number))
                if number == signal.SIGSTOP:
                    fleet.hosts[index].send(signal.SIGCONT)
                else:
                    lost = fleet.hosts[index]
                    zone = zones[index]
                    fleet.hosts[index] = fleet.start_host(lost.host, zone)
                fleet.wait_ready()
            seconds = [row['seconds'] for row in found]
            rows.append(
                {
                    'fault': name,
                    'hosts': count,
                    'faults': faults,
                    'last_seconds_median': round(
                        statistics.median(seconds), 2
                    ),
                    'last_seconds_max': round(max(seconds), 2),
                    'share_of_calls': [
                        round(row['share'], 4) for row in found
                    ],
                    'window_seconds': WINDOW_SECONDS,
                    'ttl_seconds': TTL_SECONDS,
                }
            )
            print(rows[-1], flush=True)
    finally:
        fleet.close()
    return rows


def main() -> None:
    """Measure and print a table and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--faults', type=int, default=2)
    options = parser.parse_args()
    print(json.dumps(measure(options.hosts, options.faults)))


if __name__ == '__main__':
    main()
