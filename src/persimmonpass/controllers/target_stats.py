"""Keeps what was seen of each target: how fast it is, whether it answers."""

import collections.abc
import statistics

import anyio

from persimmonpass import blackboard
from persimmonpass import events

# A new sample's part of the mean of a target.
SAMPLE_WEIGHT = 0.25
# A slow target is tried again after its mean has decayed for some seconds.
DECAY_SECONDS = 3.0
MAX_SLOWDOWN = 8.0
# Until a first event was seen.
TYPICAL_FIRST_SECONDS = 0.1
# First events of busy targets come so much later than typical ones.
FIRST_MARGIN = 1.8
MIN_BLOCK_SECONDS = 0.25
MAX_BLOCK_SECONDS = 2.0
# Another target has the address; the list will say so within seconds.
GONE_SECONDS = 3.0
FORGIVE_SECONDS = 5.0
PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 0.25


class _Record:
    """What is known of one target."""

    def __init__(self) -> None:
        self.mean: float | None = None
        self.sampled_at = 0.0
        self.failures = 0
        self.failed_at = 0.0
        self.blocked_until = 0.0
        self.unreachable = False


class TargetStats:
    """Outcomes of sends by target, as this host saw them.

    :ivar changed: called when a target becomes usable again
    """

    def __init__(self, host: str, board: blackboard.Blackboard) -> None:
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._host = host
        self._board = board
        self._records: dict[str, _Record] = {}
        self._typical = 0.0
        self._service_seconds = 0.8

    @property
    def first_event_seconds(self) -> float:
        """Time from a send to the first event that most targets keep."""
        return FIRST_MARGIN * (self._typical or TYPICAL_FIRST_SECONDS)

    @property
    def service_seconds(self) -> float:
        """How long an online request runs, on the average."""
        return self._service_seconds

    def is_usable(self, target: str) -> bool:
        """Whether requests may be sent to a target now."""
        record = self._records.get(target)
        if record is None:
            return True
        return (
            not record.unreachable
            and anyio.current_time() >= record.blocked_until
        )

    def slowdown(self, target: str) -> float:
        """Return a target's time to a first event against the typical one."""
        record = self._records.get(target)
        if record is None or record.mean is None or not self._typical:
            return 1.0
        age = anyio.current_time() - record.sampled_at
        ratio = record.mean / self._typical
        fade = max(0.0, 1 - age / DECAY_SECONDS)
        return min(MAX_SLOWDOWN, max(1.0, 1 + (ratio - 1) * fade))

    def record_first_event(self, target: str, seconds: float) -> None:
        """Take the time from a send to the first event."""
        record = self._get(target)
        if record.mean is None:
            record.mean = seconds
        else:
            record.mean += SAMPLE_WEIGHT * (seconds - record.mean)
        record.sampled_at = anyio.current_time()
        means = [
            other.mean
            for other in self._records.values()
            if other.mean is not None
        ]
        self._typical = statistics.median_low(means)

    def record_completion(self, target: str, seconds: float) -> None:
        """Take the time of a whole run."""
        self._service_seconds += 0.05 * (seconds - self._service_seconds)
        record = self._get(target)
        if anyio.current_time() - record.failed_at > FORGIVE_SECONDS:
            record.failures = 0

    def record_failure(
        self, target: str, cause: str, *, unreachable: bool = False
    ) -> None:
        """Take a send that failed; the target is left alone for a while.

        :param unreachable: no connection could be made; it is used again
            once one can
        """
        record = self._get(target)
        now = anyio.current_time()
        if now - record.failed_at > FORGIVE_SECONDS:
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        block = min(
            MAX_BLOCK_SECONDS, MIN_BLOCK_SECONDS * 2 ** (record.failures - 1)
        )
        # One broken answer of several says little about the target.
        if unreachable or record.failures > 1:
            self._block(target, record, now + block, cause)
        record.unreachable = record.unreachable or unreachable

    def record_replaced(self, target: str) -> None:
        """Take that another target has the address."""
        until = anyio.current_time() + GONE_SECONDS
        self._block(target, self._get(target), until, 'another target')

    async def run(self) -> None:
        """Probe targets that could not be reached, for ever."""
        while True:
            await anyio.sleep(PROBE_SECONDS)
            listed = {row.name for row in self._board.targets.rows()}
            for name in set(self._records) - listed:
                del self._records[name]
            async with anyio.create_task_group() as tasks:
                for name, record in self._records.items():
                    if record.unreachable:
                        tasks.start_soon(self._probe, name, record)
            for callback in self.changed:
                callback()

    async def _probe(self, name: str, record: _Record) -> None:
        row = self._board.targets.get(name)
        if row is None:
            return
        ip, _, port = row.address.rpartition(':')
        try:
            with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
                connection = await anyio.connect_tcp(ip, int(port))
                await connection.aclose()
        except (OSError, TimeoutError):
            # Still unreachable: this is what the next probe asks again.
            return
        record.unreachable = False
        events.log(events.TARGET_RESTORED, host=self._host, target=name)

    def _block(
        self, target: str, record: _Record, until: float, cause: str
    ) -> None:
        if anyio.current_time() >= record.blocked_until:
            events.log(
                events.TARGET_SUSPECT,
                host=self._host,
                target=target,
                cause=cause,
                seconds=round(until - anyio.current_time(), 3),
                failures=record.failures,
            )
        record.blocked_until = max(record.blocked_until, until)

    def _get(self, target: str) -> _Record:
        return self._records.setdefault(target, _Record())
