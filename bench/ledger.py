"""Measures cost and latency of ledger appends with a rate-limited store.

Run it with ``python -m bench.ledger``. It uses a mock clock, so that latencies
depend on the design and not on the machine. Only the processor time depends on
the machine.
"""

import json
import statistics
import time
import typing
from unittest import mock

import anyio

from persimmonpass import budget
from persimmonpass import group_commit
from persimmonpass import ledger
from tests import fakes

SECONDS = 5.0
BODY_BYTES = 1_000
FAST_SECONDS = 0.005
SLOW_SECONDS = 0.2
AMPLE_RATE = 1_000.0
TIGHT_RATE = 20.0


class Case(typing.NamedTuple):
    """A load on a ledger.

    :ivar name: title of the case
    :ivar appends: appends per second
    :ivar delay: duration of each store call in seconds
    :ivar rate: allowed store calls per second
    :ivar linger: longest time in seconds that a write waits for more appends
    :ivar inline_bytes: size of the records that the head may hold
    """

    name: str
    appends: float
    delay: float
    rate: float
    linger: float = group_commit.MAX_LINGER_SECONDS
    inline_bytes: int = ledger.MAX_INLINE_BYTES


class Row(typing.NamedTuple):
    """Measurements of a case.

    :ivar appends_per_call: number of appends per store call
    :ivar p50_delays: median latency as a multiple of the store's delay
    :ivar p99_delays: 99th percentile as a multiple of the store's delay
    :ivar bytes_ratio: bytes written per byte of the records
    :ivar cpu_microseconds: processor time per append
    """

    name: str
    appends_per_call: float
    p50_delays: float
    p99_delays: float
    bytes_ratio: float
    cpu_microseconds: float


class _MeteredStore:
    """A store port that counts calls and bytes and limits the rate."""

    def __init__(self, memory: fakes.MemoryStore, rate: float) -> None:
        self.calls = 0
        self.bytes = 0
        self._port = memory.port
        self._budget = budget.Budget(rate)
        self.port = memory.port._replace(
            put=self._put, get=self._get, delete=self._delete
        )

    async def _put(self, key, data, version, priority):
        await self._budget.acquire(priority)
        self.calls += 1
        self.bytes += len(data)
        return await self._port.put(key, data, version, priority)

    async def _get(self, key, priority):
        await self._budget.acquire(priority)
        self.calls += 1
        return await self._port.get(key, priority)

    async def _delete(self, key, version, priority):
        await self._budget.acquire(priority)
        self.calls += 1
        return await self._port.delete(key, version, priority)


def keep_last(value: str | None, record: ledger.Record) -> str:
    """Merge records: the value of a key is the kind of its last record."""
    return record.kind


async def _run_case(case: Case) -> Row:
    memory = fakes.MemoryStore()
    metered = _MeteredStore(memory, case.rate)
    memory.delay_seconds = case.delay
    bench_ledger = ledger.Ledger(metered.port, 'bench', 'host', keep_last)
    (await bench_ledger.open()).unwrap()
    metered.calls = metered.bytes = 0
    latencies: list[float] = []
    body = bytes(BODY_BYTES)

    async def append(number: int) -> None:
        started = anyio.current_time()
        row = ledger.Record(f'key-{number}', f'{number}', body)
        (await bench_ledger.append([row])).unwrap()
        latencies.append(anyio.current_time() - started)

    count = int(case.appends * SECONDS)
    cpu_seconds = time.process_time()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(append, number)
            await anyio.sleep(1 / case.appends)
    cpu_seconds = time.process_time() - cpu_seconds
    percentiles = statistics.quantiles(latencies, n=100)
    return Row(
        case.name,
        round(count / metered.calls, 2),
        round(percentiles[49] / case.delay, 2),
        round(percentiles[98] / case.delay, 2),
        round(metered.bytes / (count * BODY_BYTES), 1),
        round(cpu_seconds / count * 1e6, 0),
    )


def measure(case: Case) -> Row:
    """Run a case on a mock clock and return its measurements."""
    rows: list[Row] = []

    async def main() -> None:
        rows.append(await _run_case(case))

    with (
        mock.patch.object(group_commit, 'MAX_LINGER_SECONDS', case.linger),
        mock.patch.object(ledger, 'MAX_INLINE_BYTES', case.inline_bytes),
    ):
        fakes.run(main)
    return rows[0]


def cases() -> list[Case]:
    """Return the cases; those to compare are next to each other."""
    collected = []
    for name, delay, rate in (
        ('fast store', FAST_SECONDS, AMPLE_RATE),
        ('tight budget', FAST_SECONDS, TIGHT_RATE),
        ('slow store', SLOW_SECONDS, AMPLE_RATE),
    ):
        for appends in (20.0, 100.0, 500.0):
            for linger_name, linger in (
                ('linger', group_commit.MAX_LINGER_SECONDS),
                ('none', 0.0),
            ):
                title = f'{name}, {appends:.0f}/s, {linger_name}'
                collected.append(Case(title, appends, delay, rate, linger))
    for inline in (16_000, 64_000, 256_000):
        title = f'fast store, 100/s, inline {inline // 1000} KB'
        collected.append(
            Case(
                title,
                100.0,
                FAST_SECONDS,
                AMPLE_RATE,
                inline_bytes=inline,
            )
        )
    return collected


def main() -> None:
    """Measure all cases; print a table and JSON."""
    rows = [measure(case) for case in cases()]
    print(f'{"case":40}' + ''.join(f'{name:>18}' for name in Row._fields[1:]))
    for row in rows:
        print(f'{row.name:40}' + ''.join(f'{value:18}' for value in row[1:]))
    print(json.dumps([row._asdict() for row in rows]))


if __name__ == '__main__':
    main()
