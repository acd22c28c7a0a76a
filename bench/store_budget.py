"""Measures a fleet's store calls per second around an outage.

Run it with ``python -m bench.store_budget``. The hosts run on a mock clock.
Each one constantly requests more calls of each class than its budget allows.
"""

import collections
import json
import random
import sys

import anyio
import trio
import trio.testing

from persimmonpass import budget

FLEET_RATE = 400.0
FLEETS = (3, 8, 32, 128)
OUTAGE_START_SECONDS = 10
OUTAGE_END_SECONDS = 20
RUN_SECONDS = 30
RETRY_SECONDS = 0.1
LOOPS_PER_CLASS = 1
PHASES = (
    ('before', 7, OUTAGE_START_SECONDS),
    ('outage', 13, OUTAGE_END_SECONDS),
    ('after', OUTAGE_END_SECONDS, 23),
    ('recovered', 25, RUN_SECONDS),
)

Calls = list[tuple[float, budget.Priority]]


async def make_calls(
    call_budget: budget.Budget, priority: budget.Priority, recorded: Calls
) -> None:
    """Make calls of one class as fast as the budget allows.

    :param recorded: list to which the time and class of each call are added
    """
    start = anyio.current_time()
    while True:
        allowed = await call_budget.acquire(priority, write=True)
        if allowed.is_err():
            await anyio.sleep(RETRY_SECONDS)
            continue
        now = anyio.current_time() - start
        recorded.append((now, priority))
        if OUTAGE_START_SECONDS <= now < OUTAGE_END_SECONDS:
            call_budget.record_refusal()
        else:
            call_budget.record_answer()


async def run_fleet(hosts: int) -> Calls:
    """Run a fleet through the outage and return its calls."""
    recorded: Calls = []
    async with anyio.create_task_group() as tasks:
        for number in range(hosts):
            draw = random.Random(number).random
            call_budget = budget.Budget(FLEET_RATE, FLEET_RATE, draw)
            call_budget.set_hosts(hosts)
            for priority in budget.Priority:
                for _ in range(LOOPS_PER_CLASS):
                    tasks.start_soon(
                        make_calls, call_budget, priority, recorded
                    )
        await anyio.sleep(RUN_SECONDS)
        tasks.cancel_scope.cancel()
    return recorded


def peak_per_second(recorded: Calls) -> int:
    """Return the largest number of calls within any second."""
    window: collections.deque[float] = collections.deque()
    peak = 0
    for time, _ in recorded:
        window.append(time)
        while window[0] <= time - 1:
            window.popleft()
        peak = max(peak, len(window))
    return peak


def measure(hosts: int) -> list[dict[str, object]]:
    """Return a row for each phase of a fleet.

    :param hosts: number of hosts
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    recorded = trio.run(run_fleet, hosts, clock=clock)
    rows = []
    for phase, start, end in PHASES:
        phase_calls = [row for row in recorded if start <= row[0] < end]
        count = collections.Counter(priority for _, priority in phase_calls)
        rates = {
            priority.name.lower(): round(count[priority] / (end - start), 1)
            for priority in budget.Priority
        }
        ratio = round(peak_per_second(phase_calls) / FLEET_RATE, 3)
        rows.append(
            {'hosts': hosts, 'phase': phase, **rates, 'peak/allowed': ratio}
        )
    return rows


def main() -> None:
    """Measure all fleets and print a table and JSON."""
    rows = [row for hosts in FLEETS for row in measure(hosts)]
    print('  '.join(f'{name:>12}' for name in rows[0]))
    for row in rows:
        print('  '.join(f'{value!s:>12}' for value in row.values()))
    json.dump(rows, sys.stdout)
    print()


if __name__ == '__main__':
    main()
