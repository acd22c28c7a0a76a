"""Groups appends to a ledger so that they share one write."""

import result

from persimmonpass import heads
from persimmonpass import verdicts

MAX_LINGER_SECONDS = 0.05
LINGER_FRACTION = 0.9
SMOOTHING_FACTOR = 0.2


class Batch:
    """Appends that are committed together by one write.

    :ivar epoch: epoch of the ledger when the appends were made
    :ivar appends: the records of each append
    :ivar size: total length of the encoded records in bytes
    :ivar is_sealed: no more appends can be added or removed
    :ivar outcome: result of the write
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.appends: list[list[heads.Record]] = []
        self.size = 0
        self.is_sealed = False
        self.outcome: result.Result[None, verdicts.Failure] = result.Ok(None)

    @property
    def records(self) -> list[heads.Record]:
        """All records of the batch in order."""
        return [record for records in self.appends for record in records]

    def remove(self, records: list[heads.Record], size: int) -> None:
        """Remove an append whose caller was cancelled.

        :param records: the list that was appended
        :param size: length of the encoded records in bytes
        """
        self.appends = [
            appended for appended in self.appends if appended is not records
        ]
        self.size -= size


class LingerEstimator:
    """Estimates how long a write should wait for more appends.

    A write that takes longer than the fastest one was delayed by the store or
    by the rate limit of store calls. Waiting then adds little delay and saves
    writes.
    """

    def __init__(self) -> None:
        self._fastest_seconds: float | None = None
        self._smoothed_seconds = 0.0

    @property
    def linger_seconds(self) -> float:
        """Seconds that the next write should wait."""
        if self._fastest_seconds is None:
            return 0.0
        excess = self._smoothed_seconds - self._fastest_seconds
        return min(MAX_LINGER_SECONDS, max(0.0, excess * LINGER_FRACTION))

    def record_write(self, seconds: float) -> None:
        """Record the duration of a write."""
        if self._fastest_seconds is None:
            self._fastest_seconds = self._smoothed_seconds = seconds
        self._fastest_seconds = min(self._fastest_seconds, seconds)
        self._smoothed_seconds += (
            seconds - self._smoothed_seconds
        ) * SMOOTHING_FACTOR
