"""Measures the store writes of a batch job and the memory of a submission.

Usage: ``python -m bench.batch [--items N]``. The job runs on two daemons as
processes and four engines in this process. The submissions go to a store that
discards what is written.
"""

import argparse
import json
import time
import tracemalloc
import typing

import anyio
import result

from bench import fleets
from persimmonpass import jobs
from persimmonpass.standins import engine
from persimmonpass import store
from persimmonpass import submissions

HOSTS = 2
ENGINES = 4
TOKENS = 2
STEP_SECONDS = 0.002
SUBMITTED_ITEMS = (50_000, 100_000)
LARGEST_JOB_ITEMS = 750_000


async def measure_writes(items: int) -> dict[str, typing.Any]:
    """Run a job and count the store writes from its submission to its end."""

    def start() -> fleets.Fleet:
        return fleets.Fleet('preemption', HOSTS, 25.0)

    fleet = await anyio.to_thread.run_sync(start)
    try:
        speed = engine.Speed(
            step_seconds=STEP_SECONDS, step_seconds_per_sequence=0.0
        )
        async with fleets.run_engines(fleet, ENGINES, speed):
            await anyio.sleep(2)
            writes_before = await anyio.to_thread.run_sync(fleet.count_puts)
            started = time.monotonic()
            await anyio.to_thread.run_sync(fleet.submit, 'lot', items, TOKENS)
            while True:
                status = await anyio.to_thread.run_sync(fleet.status, 'lot')
                if status['state'] == jobs.FINISHED:
                    break
                await anyio.sleep(0.2)
            seconds = time.monotonic() - started
            await anyio.sleep(1)
            writes_after = await anyio.to_thread.run_sync(fleet.count_puts)
    finally:
        await anyio.to_thread.run_sync(fleet.close)
    return {
        'items': items,
        'done': status['done'],
        'items_per_second': round(items / seconds),
        'writes_per_1000_items': round(
            1000 * (writes_after - writes_before) / items, 2
        ),
    }


def discarding_store() -> tuple[store.StorePort, list[int]]:
    """Return a store that discards writes, and a list of their sizes."""
    sizes: list[int] = []

    async def put(
        key: str, data: bytes, version: int | None = None, priority: int = 0
    ) -> result.Result[int, typing.Any]:
        sizes.append(len(data))
        return result.Ok(len(sizes))

    async def refuse(*arguments: object) -> result.Result[typing.Any, str]:
        return result.Err('the store discards all data')

    return store.StorePort(refuse, put, refuse, refuse, refuse), sizes


async def measure_memory(items: int) -> tuple[int, int]:
    """Return the peak of allocated memory and the head's size, in bytes.

    :param items: number of items that are submitted
    """
    port, sizes = discarding_store()

    async def lines() -> typing.AsyncGenerator[bytes, None]:
        for number in range(items):
            row = {'id': f'item-{number}', 'prompt': f'digest {number} ' * 9}
            yield json.dumps(row).encode()

    tracemalloc.start()
    key = jobs.JobKey('bench', 'lot')
    accepted = await submissions.submit(port, key, 'digest', 60.0, lines())
    accepted.unwrap()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak, sizes[-1]


async def main() -> None:
    """Run the measurements and print them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--items', type=int, default=6_000)
    options = parser.parse_args()
    writes = await measure_writes(options.items)
    peaks = [await measure_memory(items) for items in SUBMITTED_ITEMS]
    bytes_per_item = (peaks[1][0] - peaks[0][0]) / (
        SUBMITTED_ITEMS[1] - SUBMITTED_ITEMS[0]
    )
    extra_items = LARGEST_JOB_ITEMS - SUBMITTED_ITEMS[1]
    print(json.dumps(writes))
    print(
        json.dumps(
            {
                'submitted_items': SUBMITTED_ITEMS,
                'peak_bytes': [peak for peak, _ in peaks],
                'head_bytes': [head for _, head in peaks],
                'bytes_per_item': round(bytes_per_item, 1),
                'peak_bytes_at_750000': round(
                    peaks[1][0] + bytes_per_item * extra_items
                ),
            }
        )
    )


if __name__ == '__main__':
    anyio.run(main)
