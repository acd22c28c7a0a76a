"""Measures how much batch work slows online requests, and its throughput.

Usage: ``python -m bench.preemption [--harm PERCENT] [--seconds N]``. It runs
one engine in this process and two daemons as processes. Each mode serves the
same arrivals: a steady rate with bursts of ten times that rate.
"""

import argparse
import functools
import json
import random
import time
import typing

import anyio
import httpx

from bench import fleets
from persimmonpass.standins import engine

HOSTS = 2
RATE_PER_SECOND = 3.0
BURST_FACTOR = 10
BURST_EVERY_SECONDS = 3.0
BURST_SECONDS = 0.5
TOKENS = 12
BATCH_TOKENS = 40
BATCH_ITEMS = 8_000
WARM_UP_SECONDS = 4.0
SEED = 7
MODES = ('off', 'preemption', 'fixed_share', 'no_preemption')


class Sample(typing.NamedTuple):
    """Times of an online request in seconds.

    :ivar sent_at: monotonic time
    :ivar first: time to the first token
    :ivar gaps: times between its tokens
    :ivar ended_at: monotonic time
    """

    sent_at: float
    first: float
    gaps: list[float]
    ended_at: float


class Run(typing.NamedTuple):
    """Measurements of a mode.

    :ivar first_p50: time to the first token in seconds
    :ivar gap_p50: time between tokens in seconds
    :ivar preempted: times from the first request of a burst to the last batch
        stream that was cancelled for it
    :ivar idle_share: share of the time without an online request
    """

    first_p50: float
    first_p99: float
    gap_p50: float
    gap_p99: float
    requests: int
    batch_tokens_per_second: float
    idle_share: float
    preempted: list[float]


def make_arrivals(seconds: float, steady_rate: float) -> list[float]:
    """Return the arrival times in seconds, the same in each run."""
    rng = random.Random(SEED)
    times, now = [], 0.0
    while now < seconds:
        in_burst = now % BURST_EVERY_SECONDS > (
            BURST_EVERY_SECONDS - BURST_SECONDS
        )
        rate = steady_rate * (BURST_FACTOR if in_burst else 1)
        now += rng.expovariate(rate)
        times.append(now)
    return times


async def send_request(
    client: httpx.AsyncClient, url: str, number: int, samples: list[Sample]
) -> None:
    """Run a streamed completion and add its times to the samples."""
    sent_at = last = time.monotonic()
    first, gaps = 0.0, []
    body = {
        'model': 'pumpread',
        'prompt': f'alarm {number}',
        'max_tokens': TOKENS,
        'stream': True,
    }
    async with client.stream(
        'POST',
        f'{url}/v1/completions',
        json=body,
        headers=fleets.ACCOUNT,
        timeout=20,
    ) as answer:
        answer.raise_for_status()
        async for line in answer.aiter_lines():
            if not line.startswith('data: ') or '"text":""' in line:
                continue
            now = time.monotonic()
            if not first:
                first = now - sent_at
            elif len(gaps) < TOKENS - 1:
                gaps.append(now - last)
            last = now
    samples.append(Sample(sent_at, first, gaps, last))


async def send_requests(
    fleet: fleets.Fleet, times: list[float], samples: list[Sample]
) -> None:
    """Send a request at each arrival time, through the hosts in turn."""
    started = time.monotonic()
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number, arrival in enumerate(times):
            await anyio.sleep(max(0.0, started + arrival - time.monotonic()))
            url = fleet.hosts[number % HOSTS].caller
            tasks.start_soon(send_request, client, url, number, samples)


def preemption_times(
    samples: list[Sample], cancelled_at: list[float]
) -> list[float]:
    """Return the time from each first request to its last cancelled stream.

    A request is a first request if no other was running when it was sent.
    """
    times = []
    ordered = sorted(samples)
    busy_until = 0.0
    for index, sample in enumerate(ordered):
        later_sends = [other.sent_at for other in ordered[index + 1 :]]
        end = min([sample.ended_at, *later_sends[:1]])
        own_cancels = [
            cancel
            for cancel in cancelled_at
            if sample.sent_at <= cancel <= end
        ]
        if sample.sent_at > busy_until and own_cancels:
            times.append(max(own_cancels) - sample.sent_at)
        busy_until = max(busy_until, sample.ended_at)
    return times


def idle_share(samples: list[Sample], start: float, end: float) -> float:
    """Return the share of a period without an online request."""
    busy, counted_until = 0.0, start
    for sample in sorted(samples):
        started_at = max(sample.sent_at, counted_until)
        busy += max(0.0, min(sample.ended_at, end) - started_at)
        counted_until = max(counted_until, min(sample.ended_at, end))
    return 1 - busy / (end - start)


async def measure(mode: str, options: argparse.Namespace) -> Run:
    """Run a mode; ``alone`` is batch without online requests."""
    variant = mode if mode in MODES[1:] else 'preemption'
    make = functools.partial(fleets.Fleet, variant, HOSTS, options.harm)
    fleet = await anyio.to_thread.run_sync(make)
    try:
        speed = engine.Speed(step_seconds=options.step)
        async with fleets.run_engines(fleet, 1, speed) as (model_engine,):
            await anyio.sleep(2)
            if mode != 'off':
                await anyio.to_thread.run_sync(
                    fleet.submit, 'lot', BATCH_ITEMS, BATCH_TOKENS
                )
            await anyio.sleep(2)
            times = make_arrivals(
                options.seconds + WARM_UP_SECONDS, options.rate
            )
            samples: list[Sample] = []
            start = time.monotonic() + WARM_UP_SECONDS
            end = start + options.seconds
            async with anyio.create_task_group() as tasks:
                if mode != 'alone':
                    tasks.start_soon(send_requests, fleet, times, samples)
                await anyio.sleep(WARM_UP_SECONDS)
                tokens_before = model_engine.batch_tokens
                await anyio.sleep(end - time.monotonic())
                tokens = model_engine.batch_tokens - tokens_before
            measured = [row for row in samples if start <= row.sent_at < end]
            firsts = [row.first for row in measured]
            gaps = [gap for row in measured for gap in row.gaps]
            return Run(
                fleets.quantile(firsts, 0.5),
                fleets.quantile(firsts, 0.99),
                fleets.quantile(gaps, 0.5),
                fleets.quantile(gaps, 0.99),
                len(measured),
                tokens / options.seconds,
                idle_share(measured, start, end),
                preemption_times(samples, model_engine.cancelled_at),
            )
    finally:
        await anyio.to_thread.run_sync(fleet.close)


async def main() -> None:
    """Measure the selected modes and print a table and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--harm', type=float, default=5.0)
    parser.add_argument('--seconds', type=float, default=9.0)
    parser.add_argument('--rate', type=float, default=RATE_PER_SECOND)
    parser.add_argument('--step', type=float, default=0.01)
    parser.add_argument('--modes', default='off,preemption,alone')
    options = parser.parse_args()
    runs: dict[str, Run] = {}
    for mode in options.modes.split(','):
        runs[mode] = await measure(mode, options)
    off, alone = runs.get('off'), runs.get('alone')
    print('mode           first p50  p99   gap p50  p99   batch tok/s  idle')
    for mode, run in runs.items():
        baseline = off or run
        print(
            f'{mode:14} {run.first_p50 / baseline.first_p50:6.2f}'
            f' {run.first_p99 / baseline.first_p99:6.2f}'
            f' {run.gap_p50 / baseline.gap_p50:6.2f}'
            f' {run.gap_p99 / baseline.gap_p99:6.2f}'
            f' {run.batch_tokens_per_second:10.0f} {run.idle_share:6.2f}'
        )
        if alone and mode not in ('off', 'alone') and run.idle_share:
            ideal = alone.batch_tokens_per_second * run.idle_share
            share = run.batch_tokens_per_second / ideal if ideal else 0.0
            print(f'{"":14} of batch alone on the idle share: {share:.2f}')
    preempted = runs['preemption'].preempted if 'preemption' in runs else []
    if preempted:
        print(
            f'last stream cancelled after {len(preempted)} first requests: '
            f'p50 {1000 * fleets.quantile(preempted, 0.5):.1f} ms, '
            f'p99 {1000 * fleets.quantile(preempted, 0.99):.1f} ms'
        )
    rows = {mode: run._asdict() for mode, run in runs.items()}
    print(json.dumps(rows))


if __name__ == '__main__':
    anyio.run(main)
