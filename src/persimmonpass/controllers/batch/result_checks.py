"""Finds out whether the store has results of a job that the copy here lacks.

A caller that has read a result at one host must find it at all hosts soon
after. A copy that was complete a moment ago shows this by itself, and an older
one mostly becomes current while a caller waits a little. Only while the hosts
that watch the store are lost is the store asked for the job's next results.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass.controllers.fleet import mirror
from persimmonpass import events
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import records

# Time after which all hosts show a result that one of them has shown.
SETTLE_SECONDS = 1.0
# Part of it that is left for notices between hosts and for the answer.
MARGIN_SECONDS = 0.2
# A copy or a check of the store within this time shows that there are no
# further results.
MAX_AGE_SECONDS = SETTLE_SECONDS - MARGIN_SECONDS
# Longest wait for the next report on the copies. Without changes a copy is
# confirmed once a second, which is mostly reported within this time. A read
# that another host forwards must still be answered in time.
REPORT_WAIT_SECONDS = 0.35
POLL_SECONDS = 0.02
# Time limit of a check. Callers wait longer than they ask to.
CHECK_SECONDS = 0.5
# After a check that was not answered, the store is asked again after this
# time: an outage must not cost a call for each read.
RETRY_SECONDS = 0.5


class ResultChecks:
    """Checks of the jobs whose copy on this host may be old."""

    def __init__(
        self,
        host: str,
        port: records.RecordPort,
        copy: collections.abc.Callable[[], mirror.Mirror],
    ) -> None:
        """Create the checks.

        :param host: id of this host
        :param copy: returns this host's copy of the records
        """
        self._host = host
        self._port = port
        self._copy = copy
        # When a job was last known to have no further results, by its id.
        self._confirmed_at: dict[str, float] = {}
        self._running: dict[str, anyio.Event] = {}
        self._failed_at = -RETRY_SECONDS

    async def confirm(
        self, job_id: str, state: job_state.JobState, position: int
    ) -> bool:
        """Confirm that a job has no result at a position, or find it.

        :returns: whether the results in ``state`` are all that another host
            may have shown; ``False`` if this is unknown
        """
        with anyio.move_on_after(REPORT_WAIT_SECONDS):
            while not self._is_settled(job_id, state, position):
                await anyio.sleep(POLL_SECONDS)
        while not self._is_settled(job_id, state, position):
            running = self._running.get(job_id)
            if running is not None:
                await running.wait()
            elif not await self._check(job_id, state):
                return False
        return True

    def _is_settled(
        self, job_id: str, state: job_state.JobState, position: int
    ) -> bool:
        """Return whether a job's results here are all that was shown."""
        if len(state.results) > position:
            return True
        confirmed_at = self._confirmed_at.get(job_id, float('-inf'))
        checked_seconds = anyio.current_time() - confirmed_at
        return min(self._copy().age_seconds, checked_seconds) < MAX_AGE_SECONDS

    async def _check(self, job_id: str, state: job_state.JobState) -> bool:
        """Ask the store for the next results of a job.

        :returns: whether the store has answered
        """
        began = anyio.current_time()
        if began - self._failed_at < RETRY_SECONDS:
            return False
        self._drop_old(began)
        done = self._running[job_id] = anyio.Event()
        found: result.Result[records.Record, typing.Any] | None = None
        try:
            with anyio.move_on_after(CHECK_SECONDS):
                found = await self._port.get(
                    job_records.KIND,
                    job_records.results_name(job_id, state.groups),
                )
        finally:
            del self._running[job_id]
            done.set()
        outcome, is_answered = 'none', True
        if isinstance(found, result.Ok):
            known = state.groups
            self._copy().apply_record(found.ok_value)
            is_answered = state.groups > known
            outcome = 'found' if is_answered else 'unreadable'
        elif found is None or found.err_value.event != events.STORE_NOT_FOUND:
            self._failed_at = anyio.current_time()
            outcome, is_answered = 'no answer', False
        else:
            self._confirmed_at[job_id] = began
        events.log(
            events.RESULTS_CHECKED,
            host=self._host,
            job=job_id,
            group=state.groups,
            outcome=outcome,
            copy_age_seconds=round(min(self._copy().age_seconds, 1e6), 2),
            ms=round(1000 * (anyio.current_time() - began)),
        )
        return is_answered

    def _drop_old(self, now: float) -> None:
        self._confirmed_at = {
            job_id: confirmed_at
            for job_id, confirmed_at in self._confirmed_at.items()
            if now - confirmed_at < MAX_AGE_SECONDS
        }
