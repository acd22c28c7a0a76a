"""Runs batch jobs on the targets that this host coordinates.

The controller accepts and cancels jobs, reports their progress and starts a
runner for each target of which this host is the coordinator.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch_claims
from persimmonpass.controllers.batch import batch_jobs
from persimmonpass.controllers.batch import batch_runner
from persimmonpass.controllers.batch import preemption
from persimmonpass import in_flight
from persimmonpass import job_results
from persimmonpass import jobs
from persimmonpass import metrics
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import batch
from persimmonpass import store
from persimmonpass import submissions
from persimmonpass.targets import engine
from persimmonpass import verdicts

TARGET_SCAN_SECONDS = 0.25


class JobStatus(typing.TypedDict):
    """Progress of a job.

    :ivar items: number of items in the job
    :ivar done: items that succeeded
    :ivar failed: items that failed
    :ivar causes: number of failed items by cause
    :ivar rate_per_second: results per second since the job was accepted
    :ivar end_seconds: estimated seconds until the job ends, ``None`` if
        unknown or if it has ended
    :ivar due_in_seconds: seconds until the job is due, negative if it is
        late, ``None`` if it has ended
    """

    job: str
    service: str
    state: str
    items: int
    done: int
    failed: int
    causes: dict[str, int]
    rate_per_second: float
    end_seconds: float | None
    due_in_seconds: float | None


class Batch:
    """Batch controller of one daemon.

    :ivar preemption: reports online requests to the targets' coordinators
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        engines: engine.EnginePort,
        request_counts: in_flight.InFlight,
        counters: metrics.Metrics,
        live_hosts: collections.abc.Callable[[], list[str]],
        peers: peer_port.PeerPort,
    ) -> None:
        """Create the controller.

        :param host: name of this host
        :param board: targets and configuration as this host knows them
        :param port: client of the object store
        :param engines: client of the model engines
        :param request_counts: counters of requests in progress
        :param counters: metrics of this daemon
        :param live_hosts: returns the hosts that are alive, this one included
        :param peers: calls to the other hosts
        """
        self.preemption = preemption.Preemption(host, board, peers, live_hosts)
        self._host = host
        self._board = board
        self._port = port
        self._peers = peers
        self._table = batch_jobs.JobTable(host, port, peers)
        self._claims = batch_claims.Claims(host, port, self._table, live_hosts)

        def count_result(service: str, status: str) -> None:
            counters.batch_items.labels(service, status).inc()

        self._ports = batch_runner.RunnerPorts(
            board,
            engines,
            request_counts,
            self._claims,
            self.preemption,
            count_result,
        )
        self._runners: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls and notices from peers, by method."""
        table = self._table.handlers
        record_claim = table[batch_jobs.METHOD_CLAIMED]

        async def handle_claimed(
            peer: str, payload: typing.Any
        ) -> result.Result[typing.Any, verdicts.Failure]:
            account, job, number = payload
            self._claims.check_claim(jobs.JobKey(account, job), number)
            return await record_claim(peer, payload)

        return {
            **table,
            **self._claims.handlers,
            **self.preemption.handlers,
            batch_jobs.METHOD_CLAIMED: handle_claimed,
        }

    async def run(self) -> None:
        """Follow the jobs and run their items until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._table.run)
            tasks.start_soon(self._claims.run)
            tasks.start_soon(self.preemption.run)
            while True:
                for target in self._board.targets.rows():
                    name = target.name
                    if name not in self._runners and self._is_coordinator(
                        name
                    ):
                        self._runners.add(name)
                        tasks.start_soon(self._run_target, name)
                await anyio.sleep(TARGET_SCAN_SECONDS)

    async def submit(
        self,
        key: jobs.JobKey,
        service: str,
        due_seconds: float,
        lines: collections.abc.AsyncIterator[bytes],
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        """Accept a job; see :func:`submissions.submit`."""
        return await submissions.submit(
            self._port, key, service, due_seconds, lines
        )

    async def cancel(
        self, key: jobs.JobKey
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        """Cancel a job unless it has ended.

        :returns: the job in its final state
        """
        return await self._table.cancel(key)

    async def read_status(
        self, key: jobs.JobKey
    ) -> result.Result[JobStatus, verdicts.Failure]:
        """Return the progress of a job.

        Finished parts are counted by their stored summaries, the others by
        what the hosts that run them report.
        """
        found = await jobs.read_head(self._port, key)
        if isinstance(found, result.Err):
            return found
        job = found.ok_value
        summaries = await jobs.read_summaries(self._port, key)
        if isinstance(summaries, result.Err):
            return summaries
        counted = dict(summaries.ok_value)
        age = 0.0
        for progress in await self._collect_progress(key):
            age = max(age, progress['age_seconds'])
            for number, summary in progress['held']:
                counted.setdefault(number, summary)
        total = jobs.Summary()
        for summary in counted.values():
            total = jobs.add(total, summary)
        return result.Ok(_status(job, total, age))

    def read_results(
        self, job: jobs.Job
    ) -> collections.abc.AsyncGenerator[
        result.Result[job_results.ItemRow, verdicts.Failure], None
    ]:
        """Yield each item of a job with its result or state, in order."""
        return job_results.read_all(self._port, self._host, job)

    async def read_item(
        self, key: jobs.JobKey, item_id: str
    ) -> result.Result[job_results.ItemRow, verdicts.Failure]:
        """Return one item of a job with its result or state."""
        found = await jobs.read_head(self._port, key)
        if isinstance(found, result.Err):
            return found
        return await job_results.read_item_result(
            self._port, self._host, found.ok_value, item_id
        )

    async def read_job(
        self, key: jobs.JobKey
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        """Return a job as the store has it."""
        return await jobs.read_head(self._port, key)

    async def _collect_progress(
        self, key: jobs.JobKey
    ) -> list[batch_jobs.Progress]:
        """Return the progress reported by this host and all peers."""
        found = [self._claims.progress(key)]

        async def request_progress(host: str) -> None:
            progress = await self._table.request_progress(host, key)
            if progress is not None:
                found.append(progress)

        async with anyio.create_task_group() as tasks:
            for host in self._peers.connected():
                tasks.start_soon(request_progress, host)
        return found

    def _is_coordinator(self, name: str) -> bool:
        """Return whether this host runs batch items on a target."""
        target = self._board.targets.get(name)
        return (
            target is not None
            and target.kind == 'engine'
            and not target.leaving
            and self.preemption.coordinator(name) == self._host
        )

    async def _run_target(self, name: str) -> None:
        try:
            runner = batch_runner.Runner(name, self._ports)
            await runner.run(self._is_coordinator, self._table.changed.wait)
        finally:
            self._runners.discard(name)


def _status(job: jobs.Job, total: jobs.Summary, age: float) -> JobStatus:
    rate = total.finished / age if age else 0.0
    state = job.state
    if state == jobs.ACCEPTED and total.finished >= job.items:
        state = jobs.FINISHED
    is_open = state == jobs.ACCEPTED
    return JobStatus(
        job=job.job,
        service=job.service,
        state=state,
        items=job.items,
        done=total.done,
        failed=total.failed,
        causes=total.causes,
        rate_per_second=rate,
        end_seconds=(
            batch.estimate_seconds(job.items, total.finished, rate)
            if is_open
            else None
        ),
        due_in_seconds=job.due_seconds - age if is_open else None,
    )
