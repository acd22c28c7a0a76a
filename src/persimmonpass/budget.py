"""Shares the object store's rate between hosts and classes of calls.

Reads and writes have a token bucket each. A host's share is the fleet's rate
divided by the most hosts that were live within :data:`HOLD_SECONDS`: hosts
that a cut hides still call the store, so that their share is not taken over
at once. A host starts as one of many hosts, halves its pace while the store
refuses or stays silent and doubles it, in steps of random length, while the
store answers; hosts that retry after an outage therefore come back gradually
and not together.
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

HOLD_SECONDS = 3600.0
# A host that starts does not know yet how many others there are. It takes
# so many for granted, and fewer once the store has answered for a while.
START_HOSTS = 32
START_SECONDS = 2.0
MIN_PACE = 1 / 8
MIN_RATE_PER_SECOND = 0.5
PACE_SECONDS = 0.5
# The bucket's contents and its refill together stay within the share in any
# second.
BURST_SECONDS = 0.2
MAX_WAIT_SECONDS = 5.0
# Calls of earlier classes may arrive after the wait was estimated.
MAX_DELAY_SECONDS = 15.0
MAX_SLEEP_SECONDS = 0.25
# A shorter sleep may round to none and would not let the clock advance.
MIN_SLEEP_SECONDS = 0.001
# One call in so many goes to the longest waiter, whatever its class.
FAIR_CALLS = 8


class Priority(enum.IntEnum):
    """Class of a store call; a lower value goes first."""

    RESERVATION = 0
    RESULT = 1
    CLAIM = 2
    STATUS = 3


def exhausted(retry_after_seconds: float) -> verdicts.Failure:
    """Return the failure of a call that would wait too long to be made."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_BUDGET_EXHAUSTED,
        "this host's share of the object store's rate is used up",
        503,
        retry_after_seconds,
    )


class _Waiter:
    """A call that waits for its turn."""

    def __init__(self, priority: Priority, number: int) -> None:
        self.priority = priority
        self.number = number
        self.turn = anyio.Event()


class _Bucket:
    """Token bucket whose waiters are served by class."""

    def __init__(
        self, rate: collections.abc.Callable[[], float], share: float
    ) -> None:
        self.waiters: list[_Waiter] = []
        self._rate = rate
        self._tokens = share
        self._filled_at: float | None = None
        self._arrived = 0
        self._served = 0

    @property
    def capacity(self) -> float:
        """Calls that may go at once."""
        return max(1.0, self._rate() * BURST_SECONDS)

    @property
    def refill_rate(self) -> float:
        """Calls a second that the bucket lets through in the long run."""
        return self._rate() * (1 - BURST_SECONDS)

    def estimate_wait(self, priority: Priority) -> float:
        """Return the seconds that a new call of a class would wait."""
        self._refill()
        ahead = sum(waiter.priority <= priority for waiter in self.waiters)
        return max(0.0, ahead + 1 - self._tokens) / self.refill_rate

    async def acquire(self, priority: Priority) -> None:
        """Wait for a token."""
        self._arrived += 1
        waiter = _Waiter(priority, self._arrived)
        self.waiters.append(waiter)
        try:
            while not self._may_go(waiter):
                await self._sleep(waiter)
            self._tokens -= 1
            self._served += 1
        finally:
            self.waiters.remove(waiter)
            if self.waiters:
                self._first().turn.set()

    def _first(self) -> _Waiter:
        fair = self._served % FAIR_CALLS == FAIR_CALLS - 1
        if fair:
            return self.waiters[0]
        return min(
            self.waiters, key=lambda waiter: (waiter.priority, waiter.number)
        )

    def _may_go(self, waiter: _Waiter) -> bool:
        self._refill()
        return self._tokens >= 1 and self._first() is waiter

    async def _sleep(self, waiter: _Waiter) -> None:
        if self._first() is not waiter:
            waiter.turn = anyio.Event()
            await waiter.turn.wait()
            return
        missing = max(0.0, 1 - self._tokens) / self.refill_rate
        missing = min(max(missing, MIN_SLEEP_SECONDS), MAX_SLEEP_SECONDS)
        await anyio.sleep(missing)

    def _refill(self) -> None:
        now = anyio.current_time()
        if self._filled_at is None:
            self._tokens *= self.capacity
        else:
            self._tokens += (now - self._filled_at) * self.refill_rate
        self._tokens = min(self._tokens, self.capacity)
        self._filled_at = now


class Budget:
    """This host's share of the store's rate.

    :ivar fleet_rate: reads a second that the whole fleet may make
    :ivar fleet_write_rate: writes a second that the whole fleet may make
    :ivar calls: calls made so far, by class
    :ivar exhausted: calls that were given up before they were made, by class
    """

    def __init__(
        self,
        fleet_rate: float,
        fleet_write_rate: float | None = None,
        draw: collections.abc.Callable[[], float] = random.random,
    ) -> None:
        self.fleet_rate = fleet_rate
        self.fleet_write_rate = fleet_write_rate or fleet_rate
        self.calls = dict.fromkeys(Priority, 0)
        self.exhausted = dict.fromkeys(Priority, 0)
        self._draw = draw
        self._hosts: collections.deque[tuple[float, int]] = collections.deque()
        self._pace = 1.0
        self._assumed_hosts = START_HOSTS
        self._next_step: float | None = None
        self._reads = _Bucket(lambda: self.rate, draw())
        self._writes = _Bucket(lambda: self.write_rate, draw())

    @property
    def rate(self) -> float:
        """Reads a second that this host may make now."""
        return self._paced(self.fleet_rate)

    @property
    def write_rate(self) -> float:
        """Writes a second that this host may make now."""
        return self._paced(self.fleet_write_rate)

    @property
    def rate_factor(self) -> float:
        """Part of the share that is used now, up to 1."""
        return self._pace

    @property
    def hosts(self) -> int:
        """Hosts between which the rate is shared."""
        oldest = anyio.current_time() - HOLD_SECONDS
        # A number holds until the next one was set.
        while len(self._hosts) > 1 and self._hosts[1][0] < oldest:
            self._hosts.popleft()
        return self._hosts[0][1] if self._hosts else 1

    def _paced(self, fleet_rate: float) -> float:
        """Return the part of this host's share that is used now.

        A host keeps trying a little: a pace that let no call through would
        never be raised again.
        """
        share = fleet_rate / max(self.hosts, self._assumed_hosts)
        return max(share * self._pace, min(share, MIN_RATE_PER_SECOND))

    def count_waiting(self, priority: Priority) -> int:
        """Return the number of calls of a class that wait."""
        waiters = self._reads.waiters + self._writes.waiters
        return sum(waiter.priority == priority for waiter in waiters)

    def set_hosts(self, hosts: int) -> None:
        """Say how many hosts are live from now on."""
        hosts = max(1, hosts)
        while self._hosts and self._hosts[-1][1] <= hosts:
            self._hosts.pop()
        self._hosts.append((anyio.current_time(), hosts))

    async def acquire(
        self, priority: Priority, *, write: bool = False
    ) -> result.Result[None, verdicts.Failure]:
        """Wait for the right to make one call.

        Calls of a class go before those of later classes, but for one call
        in :data:`FAIR_CALLS`, which goes to the longest waiter, so that no
        class waits for ever.

        :param priority: class of the call
        :param write: whether the call is a write
        :returns: a failure with the time to wait, if that is too long
        """
        bucket = self._writes if write else self._reads
        wait = bucket.estimate_wait(priority)
        if wait <= MAX_WAIT_SECONDS:
            with anyio.move_on_after(MAX_DELAY_SECONDS):
                await bucket.acquire(priority)
                self.calls[priority] += 1
                return result.Ok(None)
        self.exhausted[priority] += 1
        return result.Err(exhausted(math.ceil(max(wait, 1.0))))

    def record_answer(self) -> None:
        """Take note that the store answered a call."""
        if self._step_is_due():
            self._pace = min(1.0, self._pace * 2)
            self._assumed_hosts = max(1, self._assumed_hosts // 2)

    def record_refusal(self) -> None:
        """Take note that the store refused a call or did not answer it."""
        if self._step_is_due():
            self._pace = max(MIN_PACE, self._pace / 2)

    def _step_is_due(self) -> bool:
        now = anyio.current_time()
        if self._next_step is None:
            self._next_step = now + START_SECONDS
        if now < self._next_step:
            return False
        self._next_step = now + PACE_SECONDS * (0.5 + self._draw())
        return True
