"""Measures the resources that idle daemons use for coordination.

``python -m bench.control [--hosts 3,8,16] [--seconds 20]`` starts fleets and
reads the processor time and memory of its child processes, their traffic with
peers and the calls that reached the store. Bytes include both directions and
the WebSocket, TCP and IP headers of each frame.
"""

import argparse
import json
import os
import pathlib
import re
import statistics
import time
import typing

from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
SETTLE_SECONDS = 10.0
HEADER_BYTES_PER_FRAME = 66 + 8
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
BYTES_PER_MB = 1_000_000


class Sample(typing.NamedTuple):
    """Resources that a daemon has used since its start.

    :ivar time: monotonic time of the sample in seconds
    :ivar cpu_seconds: processor time in user and system mode
    :ivar peer_bytes: traffic with peers in both directions
    :ivar frames: number of WebSocket frames
    """

    time: float
    cpu_seconds: float
    peer_bytes: float
    frames: float


def take_sample(host: processes.Host) -> Sample:
    """Read a daemon's counters from ``/proc`` and from its metrics."""
    stat = pathlib.Path(f'/proc/{host.process.pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    cpu_ticks = int(fields[11]) + int(fields[12])
    text = processes.CLIENT.get(f'{host.operator}/metrics').text
    traffic = dict(
        re.findall(r'persimmonpass_peer_traffic\{unit="(\w+)"\} (\S+)', text)
    )
    frames = float(traffic['frames'])
    sizes = float(traffic['sent_bytes']) + float(traffic['received_bytes'])
    return Sample(
        time.monotonic(),
        cpu_ticks / TICKS_PER_SECOND,
        sizes + frames * HEADER_BYTES_PER_FRAME,
        frames,
    )


def peak_memory_mb(host: processes.Host) -> float:
    """Return the peak resident memory of a daemon in MB."""
    text = pathlib.Path(f'/proc/{host.process.pid}/status').read_text()
    kilobytes = re.search(r'VmHWM:\s+(\d+)', text)
    return int(kilobytes[1]) * 1024 / BYTES_PER_MB


def count_calls(fleet: processes.Fleet) -> dict[str, int]:
    """Return the number of store calls by operation."""
    url = f'http://{fleet.platform.address}/control/calls'
    return processes.CLIENT.get(url).json()


def measure(count: int, seconds: float) -> dict[str, typing.Any]:
    """Measure an idle fleet.

    :param count: number of hosts
    :param seconds: duration of the measurement
    """
    zones = tuple(ZONES[number % len(ZONES)] for number in range(count))
    fleet = processes.Fleet(zones)
    try:
        fleet.wait_ready()
        time.sleep(SETTLE_SECONDS)
        calls_before = count_calls(fleet)
        first = [take_sample(host) for host in fleet.hosts]
        time.sleep(seconds)
        last = [take_sample(host) for host in fleet.hosts]
        calls_after = count_calls(fleet)
        peak_mb = max(peak_memory_mb(host) for host in fleet.hosts)
    finally:
        fleet.close()
    pairs = list(zip(first, last, strict=True))

    def rates(name: str) -> list[float]:
        return [
            (getattr(end, name) - getattr(begin, name))
            / (end.time - begin.time)
            for begin, end in pairs
        ]

    cpu = [100 * rate for rate in rates('cpu_seconds')]
    sizes = rates('peer_bytes')
    return {
        'hosts': count,
        'cpu_percent_mean': round(statistics.mean(cpu), 2),
        'cpu_percent_max': round(max(cpu), 2),
        'memory_mb_max': round(peak_mb, 1),
        'bytes_per_second_mean': round(statistics.mean(sizes)),
        'bytes_per_second_max': round(max(sizes)),
        'frames_per_second_mean': round(statistics.mean(rates('frames')), 1),
        'store_calls_per_second': {
            name: round(
                (calls_after[name] - calls_before.get(name, 0)) / seconds, 2
            )
            for name in sorted(calls_after)
        },
    }


def main() -> None:
    """Measure fleets of several sizes; print each result and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', default='3,8,16')
    parser.add_argument('--seconds', type=float, default=5.0)
    options = parser.parse_args()
    rows = []
    for count in options.hosts.split(','):
        rows.append(measure(int(count), options.seconds))
        print(rows[-1], flush=True)
    print(json.dumps(rows))


if __name__ == '__main__':
    main()
