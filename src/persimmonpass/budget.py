"""Shares the object store's rate between hosts and classes of calls.

Reads and writes have a token bucket each. A host's share is the fleet's rate
divided by the largest number of live hosts within the last
:data:`HOST_COUNT_HOLD_SECONDS`. Hosts that are hidden by a network partition
still call the store, so the other hosts do not take over their share at once.

A host assumes at first that there are many hosts. It halves its rate while the
store refuses calls or does not answer, and doubles it while the store answers.
The intervals between these steps are random. Hosts that retry after an outage
therefore return to their full rate gradually and not all at the same time.
"""

import collections
import collections.abc
import enum
import math
import random

import anyio
import result

from persimmonpass import events
from persimmonpass import verdicts

HOST_COUNT_HOLD_SECONDS = 3600.0
# A host that starts does not know yet how many other hosts there are. It
# assumes this number and lowers it while the store answers.
ASSUMED_HOSTS_AT_START = 32
STARTUP_SECONDS = 2.0
MIN_RATE_FACTOR = 1 / 8
MIN_RATE_PER_SECOND = 0.5
RATE_STEP_SECONDS = 0.5
# The capacity is this fraction of a second's calls and the refill rate is the
# rest, so that both together stay within the share in any second.
BURST_SECONDS = 0.2
MAX_ESTIMATED_WAIT_SECONDS = 5.0
# The actual wait may be longer than the estimate, because calls of higher
# priority may arrive after it was made.
MAX_ACTUAL_WAIT_SECONDS = 15.0
MAX_SLEEP_SECONDS = 0.25
# A shorter sleep may be rounded to 0 and would not let the clock advance.
MIN_SLEEP_SECONDS = 0.001
# One call in this many goes to the call that has waited longest, whatever its
# class.
FAIR_CALL_INTERVAL = 8


class Priority(enum.IntEnum):
    """Class of a store call; lower values have priority."""

    RESERVATION = 0
    RESULT = 1
    CLAIM = 2
    STATUS = 3


def exhausted(retry_after_seconds: float) -> verdicts.Failure:
    """Return the failure of a call whose wait would be too long.

    :param retry_after_seconds: when the call may be tried again
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_BUDGET_EXHAUSTED,
        "this host's share of the object store's rate is used up",
        503,
        retry_after_seconds,
    )


class _Waiter:
    """A call that waits for a token.

    :ivar arrival: number of the call in the order of arrival
    :ivar turn: set when the call may be the next one
    """

    def __init__(self, priority: Priority, arrival: int) -> None:
        self.priority = priority
        self.arrival = arrival
        self.turn = anyio.Event()


class _Bucket:
    """Token bucket that serves waiting calls by priority."""

    def __init__(
        self, rate: collections.abc.Callable[[], float], initial_fill: float
    ) -> None:
        """Make a bucket.

        :param rate: returns the present rate in calls a second
        :param initial_fill: fraction of the capacity that is filled at the
            first call
        """
        self.waiters: list[_Waiter] = []
        self._rate = rate
        self._tokens = initial_fill
        self._refilled_at: float | None = None
        self._arrival_count = 0
        self._served_count = 0

    @property
    def capacity(self) -> float:
        """Number of calls that can be made at once."""
        return max(1.0, self._rate() * BURST_SECONDS)

    @property
    def refill_rate(self) -> float:
        """Tokens added per second."""
        return self._rate() * (1 - BURST_SECONDS)

    def estimate_wait(self, priority: Priority) -> float:
        """Return how many seconds a new call of a class would wait."""
        self._refill()
        ahead = sum(waiter.priority <= priority for waiter in self.waiters)
        return max(0.0, ahead + 1 - self._tokens) / self.refill_rate

    async def acquire(self, priority: Priority) -> None:
        """Wait for a token."""
        self._arrival_count += 1
        waiter = _Waiter(priority, self._arrival_count)
        self.waiters.append(waiter)
        try:
            while not self._can_proceed(waiter):
                await self._sleep(waiter)
            self._tokens -= 1
            self._served_count += 1
        finally:
            self.waiters.remove(waiter)
            if self.waiters:
                self._next_waiter().turn.set()

    def _next_waiter(self) -> _Waiter:
        serve_oldest = (
            self._served_count % FAIR_CALL_INTERVAL == FAIR_CALL_INTERVAL - 1
        )
        if serve_oldest:
            return self.waiters[0]
        return min(
            self.waiters, key=lambda waiter: (waiter.priority, waiter.arrival)
        )

    def _can_proceed(self, waiter: _Waiter) -> bool:
        self._refill()
        return self._tokens >= 1 and self._next_waiter() is waiter

    async def _sleep(self, waiter: _Waiter) -> None:
        if self._next_waiter() is not waiter:
            waiter.turn = anyio.Event()
            await waiter.turn.wait()
            return
        seconds = max(0.0, 1 - self._tokens) / self.refill_rate
        seconds = min(max(seconds, MIN_SLEEP_SECONDS), MAX_SLEEP_SECONDS)
        await anyio.sleep(seconds)

    def _refill(self) -> None:
        now = anyio.current_time()
        if self._refilled_at is None:
            self._tokens *= self.capacity
        else:
            self._tokens += (now - self._refilled_at) * self.refill_rate
        self._tokens = min(self._tokens, self.capacity)
        self._refilled_at = now


class Budget:
    """Limits this host's store calls to its share of the fleet's rate.

    :ivar fleet_rate: reads per second allowed for the whole fleet
    :ivar fleet_write_rate: writes per second allowed for the whole fleet
    :ivar calls: number of calls made so far, by class
    :ivar exhausted: number of calls that were rejected before they were made,
        by class
    """

    def __init__(
        self,
        fleet_rate: float,
        fleet_write_rate: float | None = None,
        draw: collections.abc.Callable[[], float] = random.random,
    ) -> None:
        """Make a budget.

        :param fleet_rate: reads per second allowed for the whole fleet
        :param fleet_write_rate: writes per second allowed for the whole
            fleet; ``None`` for the same rate as reads
        :param draw: returns random numbers from 0 to 1
        """
        self.fleet_rate = fleet_rate
        self.fleet_write_rate = fleet_write_rate or fleet_rate
        self.calls = dict.fromkeys(Priority, 0)
        self.exhausted = dict.fromkeys(Priority, 0)
        self._draw = draw
        self._host_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._rate_factor = 1.0
        self._assumed_hosts = ASSUMED_HOSTS_AT_START
        self._next_step_at: float | None = None
        self._reads = _Bucket(lambda: self.rate, draw())
        self._writes = _Bucket(lambda: self.write_rate, draw())

    @property
    def rate(self) -> float:
        """Reads per second that this host may make now."""
        return self._scale_share(self.fleet_rate)

    @property
    def write_rate(self) -> float:
        """Writes per second that this host may make now."""
        return self._scale_share(self.fleet_write_rate)

    @property
    def rate_factor(self) -> float:
        """Fraction of the share that may be used now, at most 1."""
        return self._rate_factor

    @property
    def hosts(self) -> int:
        """Number of hosts that share the rate."""
        oldest = anyio.current_time() - HOST_COUNT_HOLD_SECONDS
        # A host count is valid until the next one was set.
        while len(self._host_counts) > 1 and self._host_counts[1][0] < oldest:
            self._host_counts.popleft()
        return self._host_counts[0][1] if self._host_counts else 1

    def _scale_share(self, fleet_rate: float) -> float:
        """Return the part of this host's share that may be used now.

        The rate never falls to 0: it rises only when calls are answered, so
        a rate at which no call is made would never rise again.

        :param fleet_rate: calls per second allowed for the whole fleet
        """
        share = fleet_rate / max(self.hosts, self._assumed_hosts)
        return max(share * self._rate_factor, min(share, MIN_RATE_PER_SECOND))

    def count_waiting(self, priority: Priority) -> int:
        """Return the number of waiting calls of a class."""
        waiters = self._reads.waiters + self._writes.waiters
        return sum(waiter.priority == priority for waiter in waiters)

    def set_hosts(self, hosts: int) -> None:
        """Set the number of live hosts."""
        hosts = max(1, hosts)
        while self._host_counts and self._host_counts[-1][1] <= hosts:
            self._host_counts.pop()
        self._host_counts.append((anyio.current_time(), hosts))

    async def acquire(
        self, priority: Priority, *, write: bool = False
    ) -> result.Result[None, verdicts.Failure]:
        """Wait until one call may be made.

        Calls are made in the order of their class. One call in
        :data:`FAIR_CALL_INTERVAL` instead goes to the call that has waited
        longest, so that no class is starved.

        :param priority: class of the call
        :param write: whether the call is a write
        :returns: a failure with the time after which to retry, if the wait
            would be too long
        """
        bucket = self._writes if write else self._reads
        wait_seconds = bucket.estimate_wait(priority)
        if wait_seconds <= MAX_ESTIMATED_WAIT_SECONDS:
            with anyio.move_on_after(MAX_ACTUAL_WAIT_SECONDS):
                await bucket.acquire(priority)
                self.calls[priority] += 1
                return result.Ok(None)
        self.exhausted[priority] += 1
        return result.Err(exhausted(math.ceil(max(wait_seconds, 1.0))))

    def record_answer(self) -> None:
        """Record that the store answered a call."""
        if self._step_is_due():
            self._rate_factor = min(1.0, self._rate_factor * 2)
            self._assumed_hosts = max(1, self._assumed_hosts // 2)

    def record_refusal(self) -> None:
        """Record that the store refused a call or did not answer it."""
        if self._step_is_due():
            self._rate_factor = max(MIN_RATE_FACTOR, self._rate_factor / 2)

    def _step_is_due(self) -> bool:
        now = anyio.current_time()
        if self._next_step_at is None:
            self._next_step_at = now + STARTUP_SECONDS
        if now < self._next_step_at:
            return False
        self._next_step_at = now + RATE_STEP_SECONDS * (0.5 + self._draw())
        return True
