"""Decides which appends to a ledger share a write."""

import result

from persimmonpass import heads
from persimmonpass import verdicts

MAX_LINGER_SECONDS = 0.05
LINGER_SHARE = 0.9
SMOOTHING = 0.2


class Batch:
    """Appends that one write commits together.

    :ivar epoch: ownership under which their callers decided on them
    :ivar sealed: no append may join or leave any more
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.appends: list[list[heads.Record]] = []
        self.size = 0
        self.sealed = False
        self.outcome: result.Result[None, verdicts.Failure] = result.Ok(None)

    @property
    def records(self) -> list[heads.Record]:
        """All records in order."""
        return [record for records in self.appends for record in records]

    def remove(self, records: list[heads.Record], size: int) -> None:
        """Take an append out that nobody waits for any more."""
        self.appends = [one for one in self.appends if one is not records]
        self.size -= size


class Pace:
    """Decides how long a write waits for more appends.

    A write that takes longer than the fastest one was held up by the store
    or by its budget; waiting then costs little and saves writes.
    """

    def __init__(self) -> None:
        self._fastest: float | None = None
        self._smoothed = 0.0

    @property
    def linger_seconds(self) -> float:
        """Time for which the next write should wait."""
        if self._fastest is None:
            return 0.0
        excess = self._smoothed - self._fastest
        return min(MAX_LINGER_SECONDS, max(0.0, excess * LINGER_SHARE))

    def saw(self, seconds: float) -> None:
        """Learn how long a write took."""
        if self._fastest is None:
            self._fastest = self._smoothed = seconds
        self._fastest = min(self._fastest, seconds)
        self._smoothed += (seconds - self._smoothed) * SMOOTHING
