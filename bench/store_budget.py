"""Store calls a second of a fleet before, in and after an outage.

Run as ``python -m bench.store_budget``. The hosts run on a paused clock; all
of them always want more calls of each class than they may make.
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


async def want_calls(
    calls: budget.Budget, priority: budget.Priority, made: Calls
) -> None:
    """Make calls of one class as fast as the budget lets."""
    start = anyio.current_time()
    while True:
        taken = await calls.acquire(priority, write=True)
        if taken.is_err():
            await anyio.sleep(RETRY_SECONDS)
            continue
        now = anyio.current_time() - start
        made.append((now, priority))
        if OUTAGE_START_SECONDS <= now < OUTAGE_END_SECONDS:
            calls.record_refusal()
        else:
            calls.record_answer()


async def run_fleet(hosts: int) -> Calls:
    """Run a fleet through the outage and return its calls."""
    made: Calls = []
    async with anyio.create_task_group() as tasks:
        for number in range(hosts):
            draw = random.Random(number).random
            calls = budget.Budget(FLEET_RATE, FLEET_RATE, draw)
            calls.set_hosts(hosts)
            for priority in budget.Priority:
                for _ in range(LOOPS_PER_CLASS):
                    tasks.start_soon(want_calls, calls, priority, made)
        await anyio.sleep(RUN_SECONDS)
        tasks.cancel_scope.cancel()
    return made


def peak_per_second(made: Calls) -> int:
    """Return the most calls in any second."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for time, _ in made:
        window.append(time)
        while window[0] <= time - 1:
            window.popleft()
        most = max(most, len(window))
    return most


def measure(hosts: int) -> list[dict[str, object]]:
    """Return a row for each phase of one fleet."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    made = trio.run(run_fleet, hosts, clock=clock)
    rows = []
    for phase, start, end in PHASES:
        part = [row for row in made if start <= row[0] < end]
        count = collections.Counter(priority for _, priority in part)
        rates = {
            priority.name.lower(): round(count[priority] / (end - start), 1)
            for priority in budget.Priority
        }
        ratio = round(peak_per_second(part) / FLEET_RATE, 3)
        rows.append(
            {'hosts': hosts, 'phase': phase, **rates, 'peak/allowed': ratio}
        )
    return rows


def main() -> None:
    """Print a table, then the same rows as JSON."""
    rows = [row for hosts in FLEETS for row in measure(hosts)]
    print('  '.join(f'{name:>12}' for name in rows[0]))
    for row in rows:
        print('  '.join(f'{value!s:>12}' for value in row.values()))
    json.dump(rows, sys.stdout)
    print()


if __name__ == '__main__':
    main()
