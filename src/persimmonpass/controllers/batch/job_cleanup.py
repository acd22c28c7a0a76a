"""Removes jobs from the store when their retention period has passed."""

import collections.abc

import anyio
import result

from persimmonpass import events
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import records

CHECK_SECONDS = 10.0
# Hosts learn of a job at different times, and their clocks differ.
MARGIN_SECONDS = 60.0
# Limits the share of the store's rate that the removals of one check use.
MAX_REMOVALS_PER_CHECK = 20


class JobCleanup:
    """Removes expired jobs while this host is the batch runner.

    A job that still has items to run is kept, however old it is.
    """

    def __init__(
        self,
        host: str,
        port: records.RecordPort,
        jobs: collections.abc.Mapping[str, job_state.JobState],
        keep_seconds: float,
        is_runner: collections.abc.Callable[[], bool],
    ) -> None:
        """Create the controller.

        :param jobs: jobs of the fleet by id
        :param keep_seconds: how long a job stays readable after it was
            accepted
        :param is_runner: returns whether this host runs batch items
        """
        self._host = host
        self._port = port
        self._jobs = jobs
        self._retention_seconds = keep_seconds + MARGIN_SECONDS
        self._is_runner = is_runner
        # Records that remain of a job whose own record has been removed.
        self._remaining: dict[str, list[str]] = {}

    async def run(self) -> None:
        """Remove expired jobs until cancelled."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            if self._is_runner():
                for job_id in list(self._remaining):
                    await self._remove_records(job_id)
                for job_id in self._find_expired()[:MAX_REMOVALS_PER_CHECK]:
                    await self._remove(job_id)

    def _find_expired(self) -> list[str]:
        now = anyio.current_time()
        return [
            job_id
            for job_id, state in self._jobs.items()
            if not state.is_open
            and now - state.seen_at + state.age_seconds
            > self._retention_seconds
        ]

    async def _remove(self, job_id: str) -> None:
        """Remove the records of a job.

        The record that holds the job goes first, so that no read sees a
        partly removed job.
        """
        state = self._jobs.get(job_id)
        if state is None:
            return
        names = [
            job_records.job_name(job_id),
            *(
                job_records.results_name(job_id, number)
                for number in range(state.groups)
            ),
        ]
        if state.ended:
            names.append(job_records.end_name(job_id))
        self._remaining[job_id] = names
        await self._remove_records(job_id)

    async def _remove_records(self, job_id: str) -> None:
        names = self._remaining[job_id]
        count = len(names)
        while names:
            removed = await self._port.delete(job_records.KIND, names[0])
            if isinstance(removed, result.Err) and (
                removed.err_value.event != events.STORE_NOT_FOUND
            ):
                # The next check continues. Without the job's own record, no
                # host could find the others again.
                return
            del names[0]
        del self._remaining[job_id]
        events.log(
            events.JOB_REMOVED, host=self._host, job=job_id, records=count
        )
