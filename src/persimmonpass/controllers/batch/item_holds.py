"""Holds items with a refused part of a prompt until its next trial is due."""

import collections.abc

from persimmonpass.controllers.targets import crash_parts
from persimmonpass import job_records
from persimmonpass.policy import batch_scheduling

ReadParts = collections.abc.Callable[[job_records.Item], tuple[str, ...]]


class ItemHolds:
    """The items that wait for a trial.

    :ivar waiting: number of items that waited at the last look
    :ivar trials: items that might start at the last look, and whose run is the
        trial of a part
    """

    def __init__(
        self, crashes: crash_parts.CrashParts, read_parts: ReadParts
    ) -> None:
        """Create an empty list.

        :param read_parts: returns the ids of the parts of an item's prompt
        """
        self.waiting = 0
        self.trials: set[tuple[str, int]] = set()
        self._crash_parts = crashes
        self._read_parts = read_parts
        # Reading the parts of all items at each look would take too long.
        self._parts: dict[tuple[str, int], tuple[str, ...]] = {}

    def without_held(
        self,
        pending: list[batch_scheduling.Pending],
        find_job: collections.abc.Callable[[str], job_records.Job | None],
        count_crashes: collections.abc.Callable[
            [batch_scheduling.Pending], int
        ] = lambda row: 0,
    ) -> list[batch_scheduling.Pending]:
        """Return the items that may start, in the same order.

        Of the items with a part whose trial is due only one may start: the
        first of those under which the fewest targets have crashed. It is the
        item itself that crashes targets if others with the part do not.

        :param pending: items in the order in which they should start
        :param find_job: returns a job by its id
        :param count_crashes: returns how often in a row a target crashed
            under an item
        """
        self.waiting = 0
        self.trials = set()
        if not self._crash_parts.refused_count:
            self._parts.clear()
            return pending
        tried: set[str] = set()
        held: set[tuple[str, int]] = set()
        for row in sorted(pending, key=count_crashes):
            job = find_job(row.job)
            parts = self._find_parts(row, job) if job is not None else ()
            refused = self._crash_parts.refused_among(parts)
            if refused and (
                tried & refused or self._crash_parts.is_refused(parts)
            ):
                held.add((row.job, row.item))
                continue
            if refused:
                tried |= refused
                self.trials.add((row.job, row.item))
        self.waiting = len(held)
        return [row for row in pending if (row.job, row.item) not in held]

    def _find_parts(
        self, row: batch_scheduling.Pending, job: job_records.Job
    ) -> tuple[str, ...]:
        key = (row.job, row.item)
        if key not in self._parts:
            try:
                self._parts[key] = self._read_parts(job.items[row.item])
            except ValueError:
                # Its headers cannot be sent; the run ends with that result.
                self._parts[key] = ()
        return self._parts[key]
