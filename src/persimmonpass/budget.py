"""Shares the object store's rate between hosts and classes of calls."""

import enum

import anyio

BURST_SECONDS = 0.5
MIN_RATE_PER_SECOND = 1.0
MIN_SLEEP_SECONDS = 0.001


class Priority(enum.IntEnum):
    """Class of a store call; a lower value goes first."""

    RESERVATION = 0
    RESULT = 1
    CLAIM = 2
    STATUS = 3


class Budget:
    """Token bucket whose waiters are served by class.

    :ivar fleet_rate: calls a second that the whole fleet may make
    """

    def __init__(self, fleet_rate: float) -> None:
        self.fleet_rate = fleet_rate
        self._hosts = 1
        self._tokens = self._burst
        self._filled_at: float | None = None
        self._waiting = dict.fromkeys(Priority, 0)
        self.calls = dict.fromkeys(Priority, 0)

    @property
    def rate(self) -> float:
        """Calls a second that this host may make."""
        return max(self.fleet_rate / self._hosts, MIN_RATE_PER_SECOND)

    @property
    def _burst(self) -> float:
        return max(1.0, self.rate * BURST_SECONDS)

    def set_hosts(self, hosts: int) -> None:
        """Share the fleet's rate between a number of live hosts."""
        self._hosts = max(1, hosts)

    async def take(self, priority: Priority) -> None:
        """Wait for the right to make one call.

        :param priority: class of the call; no call of a class goes while one
            of a class before it waits
        """
        self._waiting[priority] += 1
        try:
            while not self._may_go(priority):
                missing = max(0.0, 1 - self._tokens) / self.rate
                await anyio.sleep(max(missing, MIN_SLEEP_SECONDS))
            self._tokens -= 1
            self.calls[priority] += 1
        finally:
            self._waiting[priority] -= 1

    def _may_go(self, priority: Priority) -> bool:
        self._refill()
        before = sum(
            self._waiting[other] for other in Priority if other < priority
        )
        return self._tokens >= 1 and before == 0

    def _refill(self) -> None:
        now = anyio.current_time()
        if self._filled_at is not None:
            self._tokens += (now - self._filled_at) * self.rate
        self._tokens = min(self._tokens, self._burst)
        self._filled_at = now
