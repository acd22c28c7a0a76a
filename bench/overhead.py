"""Compares a host with a minimal relay: latency, streams per CPU second."""

import functools
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import uuid

import anyio
import httpx

from tests import processes

CONCURRENCY = 32
STREAMS = 96
TOKENS = 60
ROUNDS = 3
STEP = '10ms'
ACCOUNT = {'Authorization': 'Bearer athi-desk-token'}
EXAMPLES = processes.ROOT / 'examples'


class Relay(processes.Standin):
    """The minimal relay as a process.

    :param address: address of the engine
    """

    def __init__(self, address: str) -> None:
        self.output = tempfile.NamedTemporaryFile('w+', suffix='.out')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'bench.relay', address],
            stdout=self.output,
            cwd=processes.ROOT,
        )
        line = processes.wait_until(self._listening)
        self.address = line.split()[-1]


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


async def read_stream(client, url, body, times):
    """Read a stream to its end.

    :param times: list to which the seconds until the first and until the last
        byte are added
    :raises ValueError: if the stream ended before its last event
    """
    started = time.perf_counter()
    first_byte_at = None
    done = False
    async with client.stream(
        'POST', url, json=body, headers=ACCOUNT
    ) as response:
        async for chunk in response.aiter_raw():
            first_byte_at = first_byte_at or time.perf_counter()
            done = done or b'[DONE]' in chunk
    if not done:
        raise ValueError(
            f'{url}: expected [DONE] at the end of the stream, '
            f'got none; status {response.status_code}'
        )
    times.append((first_byte_at - started, time.perf_counter() - started))


async def run_load(url, make_body):
    """Read all streams and return the times of each.

    :param make_body: returns the body of a request
    """
    times = []
    limiter = anyio.CapacityLimiter(CONCURRENCY)
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        trust_env=False, timeout=30, limits=limits
    ) as client:

        async def send_one():
            async with limiter:
                await read_stream(client, url, make_body(), times)

        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(send_one)
    return times


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    return sorted(values)[int(len(values) * share)]


def measure(pid, url, make_body):
    """Run the load once.

    :param pid: process whose processor time is measured
    :returns: p50 and p99 of the time to the first byte, p50 of the time to the
        last byte, and streams per CPU second of the process
    """
    cpu_before = cpu_seconds(pid)
    times = anyio.run(functools.partial(run_load, url, make_body))
    cpu_used = cpu_seconds(pid) - cpu_before
    firsts = [first for first, _ in times]
    totals = [total for _, total in times]
    return (
        percentile(firsts, 0.5),
        percentile(firsts, 0.99),
        percentile(totals, 0.5),
        STREAMS / cpu_used,
    )


def engine_body():
    """Return the body of a request to an engine."""
    return {
        'attempt': uuid.uuid4().hex,
        'model': 'pumpread',
        'version': '3',
        'prompt': 'pump ' * 20,
        'max_tokens': TOKENS,
    }


def caller_body():
    """Return the body of a caller's request."""
    return {
        'model': 'pumpread',
        'prompt': 'pump ' * 20,
        'max_tokens': TOKENS,
        'stream': True,
    }


def main() -> None:
    """Measure both variants in turn and print a table and JSON."""
    fleet = processes.Fleet(('ruai',))
    try:
        engine = fleet.start_engine(
            'engine-0', 'ruai', 'pumpread@3', '--step', STEP
        )
        relay = fleet._add(Relay(engine.address))
        fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        fleet.wait_ready()
        host = fleet.hosts[0]
        variants = {
            'relay': (
                relay.process.pid,
                f'http://{relay.address}/v1/completions',
                engine_body,
            ),
            'host': (
                host.process.pid,
                f'{host.caller}/v1/completions',
                caller_body,
            ),
        }
        url = f'{host.caller}/v1/completions'
        processes.wait_until(
            lambda: (
                processes.CLIENT.post(
                    url, json=caller_body(), headers=ACCOUNT
                ).status_code
                == 200
            )
        )
        rows = {variant: [] for variant in variants}
        for _ in range(ROUNDS):
            for variant, arguments in variants.items():
                rows[variant].append(measure(*arguments))
    finally:
        fleet.close()
    report(rows)


def report(rows) -> None:
    """Print each round, and the ratios of the medians as JSON."""
    names = ('first_p50', 'first_p99', 'whole_p50', 'streams_per_cpu_second')
    medians = {}
    for variant, rounds in rows.items():
        for values in rounds:
            print(variant, *(f'{value:10.4f}' for value in values))
        columns = list(zip(*rounds, strict=True))
        medians[variant] = [percentile(column, 0.5) for column in columns]
    ratios = {
        name: round(host / relay, 3)
        for name, host, relay in zip(
            names, medians['host'], medians['relay'], strict=True
        )
    }
    print(json.dumps({'host_to_relay': ratios}))


if __name__ == '__main__':
    main()
