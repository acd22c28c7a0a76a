"""Compares one host with a bare relay: latency and streams a CPU-second."""

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
    """The bare relay as a process."""

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
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


async def stream(client, url, body, times):
    """Read one stream; note its first and its last byte."""
    started = time.perf_counter()
    first = None
    done = False
    async with client.stream('POST', url, json=body, headers=ACCOUNT) as got:
        async for chunk in got.aiter_raw():
            first = first or time.perf_counter()
            done = done or b'[DONE]' in chunk
    if not done:
        raise ValueError(f'{url}: status {got.status_code}, cut short')
    times.append((first - started, time.perf_counter() - started))


async def load(url, make_body):
    """Send all streams and return the times of each."""
    times = []
    limiter = anyio.CapacityLimiter(CONCURRENCY)
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        trust_env=False, timeout=30, limits=limits
    ) as client:

        async def one():
            async with limiter:
                await stream(client, url, make_body(), times)

        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(one)
    return times


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    return sorted(values)[int(len(values) * share)]


def measure(pid, url, make_body):
    """Run the load once.

    :returns: p50 and p99 of the first byte, p50 of the whole stream, streams
        a CPU-second of the process
    """
    before = cpu_seconds(pid)
    times = anyio.run(functools.partial(load, url, make_body))
    spent = cpu_seconds(pid) - before
    firsts = [first for first, _ in times]
    wholes = [whole for _, whole in times]
    return (
        percentile(firsts, 0.5),
        percentile(firsts, 0.99),
        percentile(wholes, 0.5),
        STREAMS / spent,
    )


def engine_body():
    """Return a body as engines take it."""
    return {
        'attempt': uuid.uuid4().hex,
        'model': 'pumpread',
        'version': '3',
        'prompt': 'pump ' * 20,
        'max_tokens': TOKENS,
    }


def caller_body():
    """Return a body as callers send it."""
    return {
        'model': 'pumpread',
        'prompt': 'pump ' * 20,
        'max_tokens': TOKENS,
        'stream': True,
    }


def main() -> None:
    """Print a table and one line of JSON."""
    fleet = processes.Fleet(('ruai',))
    try:
        engine = fleet.start_engine(
            'engine-0', 'ruai', 'pumpread@3', '--step', STEP
        )
        relay = fleet._add(Relay(engine.address))
        fleet.run_tool('apply', '-f', str(EXAMPLES / 'athi'))
        fleet.wait_ready()
        host = fleet.hosts[0]
        ways = {
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
        rows = {way: [] for way in ways}
        for _ in range(ROUNDS):
            for way, arguments in ways.items():
                rows[way].append(measure(*arguments))
    finally:
        fleet.close()
    report(rows)


def report(rows) -> None:
    """Print each round and the medians' ratios."""
    names = ('first_p50', 'first_p99', 'whole_p50', 'streams_per_cpu_second')
    medians = {}
    for way, rounds in rows.items():
        for values in rounds:
            print(way, *(f'{value:10.4f}' for value in values))
        columns = list(zip(*rounds, strict=True))
        medians[way] = [percentile(column, 0.5) for column in columns]
    ratios = {
        name: round(host / relay, 3)
        for name, host, relay in zip(
            names, medians['host'], medians['relay'], strict=True
        )
    }
    print(json.dumps({'host_to_relay': ratios}))


if __name__ == '__main__':
    main()
