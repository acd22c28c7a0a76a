"""Removes jobs from the store once nobody may read them any more."""

import collections.abc

import anyio
import result

from persimmonpass import events
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import records

CHECK_SECONDS = 10.0
# Hosts learn of a job at different times and their clocks differ.
MARGIN_SECONDS = 60.0
# Removals in one check, so that they take little of the store's rate.
MAX_JOBS = 20


class JobCleanup:
    """Removes old jobs while this host runs batch."""

    def __init__(
        self,
        host: str,
        port: records.RecordPort,
        jobs: collections.abc.Mapping[str, job_state.JobState],
        keep_seconds: float,
        is_runner: collections.abc.Callable[[], bool],
    ) -> None:
        """Make the controller.

        :param jobs: those of the fleet, by id
        :param keep_seconds: how long a job stays readable after it came
        """
        self._host = host
        self._port = port
        self._jobs = jobs
        self._keep = keep_seconds + MARGIN_SECONDS
        self._is_runner = is_runner

    async def run(self) -> None:
        """Remove what is old, for ever."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            if self._is_runner():
                for job_id in self._old()[:MAX_JOBS]:
                    await self._remove(job_id)

    def _old(self) -> list[str]:
        now = anyio.current_time()
        return [
            job_id
            for job_id, state in self._jobs.items()
            if not state.is_open
            and now - state.seen_at + state.age_seconds > self._keep
        ]

    async def _remove(self, job_id: str) -> None:
        """Remove a job, its own record first: no read sees half of it."""
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
        for name in names:
            removed = await self._port.delete(job_records.KIND, name)
            if isinstance(removed, result.Err):
                # The next check, here or at another host, goes on.
                return
        events.log(
            events.JOB_REMOVED,
            host=self._host,
            job=job_id,
            records=len(names),
        )
