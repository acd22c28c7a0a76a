"""Tracks the latency and the failures of each target as seen by one host.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`controllers.targets.health`.
"""

import collections.abc
import math
import statistics

import anyio

from persimmonpass import blackboard
from persimmonpass.controllers.targets import error_answers
from persimmonpass.controllers.targets import target_paths
from persimmonpass import events
from persimmonpass.policy import backoff
from persimmonpass.policy import error_answers as error_policy
from persimmonpass.policy import refusals

# Weight of a new sample in the moving mean of a target.
SAMPLE_WEIGHT = 0.25
# The measured slowness of a target decays within this time, so that a slow
# target is tried again.
DECAY_SECONDS = 3.0
MAX_SLOWDOWN = 8.0
# Used until a first event was received.
DEFAULT_FIRST_EVENT_SECONDS = 0.1
# Ratio of the time to a first event at a busy target to the typical time.
FIRST_EVENT_MARGIN = 1.8
MIN_BLOCK_SECONDS = 0.25
MAX_BLOCK_SECONDS = 2.0
# Block after another target took the address. The target list will show this
# within seconds.
REPLACED_BLOCK_SECONDS = 3.0
FAILURE_RESET_SECONDS = 5.0
CHANGED_INTERVAL_SECONDS = 0.25


class _Record:
    """Measurements of one target."""

    def __init__(self) -> None:
        self.mean_seconds: float | None = None
        self.sampled_at = 0.0
        self.failures = 0
        self.failed_at = 0.0
        self.blocked_until = 0.0
        self.refused: refusals.Table = {}
        # Size of the largest request that it has taken.
        self.taken = 0


class TargetStats:
    """Outcomes of this host's requests by target.

    :ivar changed: callbacks that are called at intervals, as targets may have
        become usable
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        paths: target_paths.TargetPaths,
        errors: error_answers.ErrorAnswers,
    ) -> None:
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._host = host
        self._board = board
        self._paths = paths
        self._errors = errors
        paths.changed.append(self._call_listeners)
        paths.lost.append(self._forget_failures)
        self._records: dict[str, _Record] = {}
        self._typical_seconds = 0.0
        self._service_seconds = 0.8
        self._has_records = anyio.Event()

    @property
    def first_event_seconds(self) -> float:
        """Time in which most targets send the first event, in seconds."""
        return FIRST_EVENT_MARGIN * (
            self._typical_seconds or DEFAULT_FIRST_EVENT_SECONDS
        )

    @property
    def service_seconds(self) -> float:
        """Mean duration of an online request, in seconds."""
        return self._service_seconds

    def is_usable(self, target: str, tokens: int = 0) -> bool:
        """Return whether a request may be sent to a target now.

        :param target: name of the target
        :param tokens: size of the request; 0 if it is not known
        """
        if not self._paths.is_reachable(target):
            return False
        if self._errors.standing(target) is error_policy.Standing.HELD:
            return False
        record = self._records.get(target)
        if record is None:
            return True
        return (
            anyio.current_time() >= record.blocked_until
            and tokens < self.refuses_from(target)
        )

    def refuses_from(self, target: str) -> float:
        """Return the size from which on a target gets no requests now.

        :param target: name of the target
        :returns: tokens, infinite for a target that has not refused any
        """
        record = self._records.get(target)
        if record is None or not record.refused:
            return math.inf
        return refusals.smallest_blocked(record.refused, anyio.current_time())

    def is_on_trial(self, target: str) -> bool:
        """Return whether a target gets one request at a time."""
        return self._errors.standing(target) is error_policy.Standing.TRIAL

    def slowdown(self, target: str) -> float:
        """Return the ratio of a target's time to a first event to the typical.

        The ratio is at least 1 and decays towards 1 with the age of the last
        sample.
        """
        record = self._records.get(target)
        if (
            record is None
            or record.mean_seconds is None
            or not self._typical_seconds
        ):
            return 1.0
        age = anyio.current_time() - record.sampled_at
        ratio = record.mean_seconds / self._typical_seconds
        weight = max(0.0, 1 - age / DECAY_SECONDS)
        return min(MAX_SLOWDOWN, max(1.0, 1 + (ratio - 1) * weight))

    def is_too_large(self, target: str, tokens: int) -> bool:
        """Return whether a target refuses a size that it has never taken.

        :param target: name of the target
        :param tokens: size of a request
        """
        record = self._records.get(target)
        return (
            record is not None
            and record.taken < tokens
            and tokens >= self.refuses_from(target)
        )

    def record_first_event(self, target: str, seconds: float) -> None:
        """Record the time from sending a request to its first event.

        :param target: name of the target
        :param seconds: measured time
        """
        record = self._get(target)
        if record.mean_seconds is None:
            record.mean_seconds = seconds
        else:
            record.mean_seconds += SAMPLE_WEIGHT * (
                seconds - record.mean_seconds
            )
        record.sampled_at = anyio.current_time()
        means = [
            other.mean_seconds
            for other in self._records.values()
            if other.mean_seconds is not None
        ]
        self._typical_seconds = statistics.median_low(means)

    def record_completion(self, target: str, seconds: float) -> None:
        """Record the duration of a request that ran to its end.

        An error is no such end: it would make all targets look free sooner.

        :param target: name of the target
        :param seconds: duration of the run
        """
        self._service_seconds += 0.05 * (seconds - self._service_seconds)
        record = self._get(target)
        if anyio.current_time() - record.failed_at > FAILURE_RESET_SECONDS:
            record.failures = 0

    def record_refusal(self, target: str, request: str, tokens: int) -> None:
        """Record that a target stated that it did not run a request.

        :param target: name of the target
        :param request: id of the request
        :param tokens: size of the request; 0 if it is not known
        """
        record = self._get(target)
        before = self.refuses_from(target)
        record.refused = refusals.with_refusal(
            record.refused, request, tokens, anyio.current_time()
        )
        if self.refuses_from(target) < before:
            events.log(
                events.TARGET_REFUSES,
                host=self._host,
                target=target,
                request=request,
                tokens=tokens,
            )

    def record_answer(
        self,
        target: str,
        status: int,
        errors_at: list[str],
        tokens: int = 0,
    ) -> None:
        """Record the status with which a target answered a request.

        If two targets fail at the same request, it is probably the request.

        :param target: name of the target
        :param tokens: size of the request; 0 if it is not known
        :param errors_at: targets that answered the request with errors; this
            one is added if it does
        """
        record = self._get(target) if tokens else self._records.get(target)
        if record is not None:
            record.taken = max(record.taken, tokens)
            record.refused = refusals.without_taken(record.refused, tokens)
        if not error_policy.is_error(status):
            self._errors.record_answer(target, is_error=False)
            return
        before = set(errors_at)
        errors_at.append(target)
        if before <= {target}:
            self._errors.record_answer(target, is_error=True)
        elif len(before) == 1:
            for name in errors_at[:-1]:
                self._errors.retract_error(name)

    def record_failure(
        self, target: str, cause: str, *, unreachable: bool = False
    ) -> None:
        """Record a failed request, which may block the target for a while.

        :param target: name of the target
        :param cause: reason for the log
        :param unreachable: whether no connection could be made; this says
            nothing about a target that can be reached through a peer
        """
        if unreachable and self._paths.is_reachable(target):
            return
        record = self._get(target)
        now = anyio.current_time()
        if now - record.failed_at > FAILURE_RESET_SECONDS:
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        block = backoff.doubled(
            MIN_BLOCK_SECONDS, record.failures, MAX_BLOCK_SECONDS
        )
        # A single broken answer says little about the target.
        if unreachable or record.failures > 1:
            self._block(target, record, now + block, cause)

    def record_replaced(self, target: str) -> None:
        """Record that another target has taken the address of a target.

        :param target: name of the target
        """
        until = anyio.current_time() + REPLACED_BLOCK_SECONDS
        self._block(target, self._get(target), until, 'another target')

    def forget(self, target: str) -> None:
        """Forget the measurements of a target that has started again.

        :param target: name of the target
        """
        self._records.pop(target, None)

    async def run(self) -> None:
        """Drop targets that are not listed, until cancelled."""
        while True:
            if not self._records:
                self._has_records = anyio.Event()
                await self._has_records.wait()
            await anyio.sleep(CHANGED_INTERVAL_SECONDS)
            listed = {row.name for row in self._board.targets.rows()}
            for name in set(self._records) - listed:
                del self._records[name]
            self._call_listeners()

    def _call_listeners(self) -> None:
        for callback in self.changed:
            callback()

    def _forget_failures(self, target: str) -> None:
        """Drop the failures of a target whose link turned out to be lost.

        They were the link's, and requests go through a peer now.
        """
        record = self._records.get(target)
        if record is not None and self._paths.is_reachable(target):
            record.failures = 0
            record.blocked_until = 0.0

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
        self._has_records.set()
        return self._records.setdefault(target, _Record())
