"""Measures how soon entry answers stop listing a lost host.

``python -m bench.detection [--hosts 6] [--faults 3]`` kills and freezes hosts
one after the other. Meanwhile simulated callers fetch entry answers from the
other hosts, keep each one for its TTL and select its first address every few
milliseconds. The result is the share of selections that were the lost host.
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
    """A caller that keeps an entry answer for its TTL.

    :ivar address: first address of the entry answer
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._expires_at = 0.0
        self.address = ''

    def next_address(self, hosts: list[processes.Host], now: float) -> str:
        """Return the address to use, after a new entry answer if needed.

        :param hosts: hosts that may be asked
        :param now: monotonic time in seconds
        """
        if now >= self._expires_at:
            answer = processes.CLIENT.get(
                f'{self._rng.choice(hosts).caller}/v1/entry'
            ).json()
            self.address = answer['addresses'][0]
            self._expires_at = now + answer['ttl_seconds']
        return self.address


def measure_fault(
    fleet: processes.Fleet, index: int, signal_number: int
) -> dict[str, typing.Any]:
    """Kill or freeze a host and follow the addresses that callers use.

    :param index: index of the host
    :param signal_number: signal that is sent to it
    :returns: ``seconds`` from the fault to the last use of the lost host and
        ``share`` of the selections that were the lost host
    """
    lost_host = fleet.hosts[index]
    others = [host for host in fleet.hosts if host is not lost_host]
    address = lost_host.caller.removeprefix('http://')
    callers = [Caller(seed) for seed in range(CALLERS)]
    for caller in callers:
        caller.next_address(others, time.monotonic())
    lost_host.send(signal_number)
    started_at = time.monotonic()
    calls = misses = 0
    last_miss = 0.0
    while time.monotonic() - started_at < WINDOW_SECONDS:
        now = time.monotonic()
        for caller in callers:
            calls += 1
            if caller.next_address(others, now) == address:
                misses += 1
                last_miss = now - started_at
        time.sleep(POLL_SECONDS)
    return {'seconds': last_miss, 'share': misses / calls}


def measure(count: int, faults: int) -> list[dict[str, typing.Any]]:
    """Measure kills and freezes in a fleet.

    :param count: number of hosts
    :param faults: number of faults of each kind
    """
    zones = tuple(ZONES[index % len(ZONES)] for index in range(count))
    fleet = processes.Fleet(zones)
    rows = []
    try:
        fleet.wait_ready()
        for name, signal_number in (
            ('freeze', signal.SIGSTOP),
            ('kill', signal.SIGKILL),
        ):
            results = []
            for index in range(faults):
                results.append(measure_fault(fleet, index, signal_number))
                if signal_number == signal.SIGSTOP:
                    fleet.hosts[index].send(signal.SIGCONT)
                else:
                    lost_host = fleet.hosts[index]
                    zone = zones[index]
                    fleet.hosts[index] = fleet.start_host(lost_host.host, zone)
                fleet.wait_ready()
            seconds = [row['seconds'] for row in results]
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
                        round(row['share'], 4) for row in results
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
    """Run the measurements; print each result and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--faults', type=int, default=2)
    options = parser.parse_args()
    print(json.dumps(measure(options.hosts, options.faults)))


if __name__ == '__main__':
    main()
