"""Runs batch jobs on the targets that this host coordinates."""

import collections.abc
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers import batch_claims
from persimmonpass.controllers import batch_jobs
from persimmonpass.controllers import batch_runner
from persimmonpass.controllers import preemption
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

FIND_SECONDS = 0.25


class JobStatus(typing.TypedDict):
    """Progress of a job.

    :ivar rate_per_second: results a second since the job was accepted
    :ivar end_seconds: estimated time until its end, ``None`` if unknown
    :ivar due_in_seconds: time until it is due, ``None`` if it has ended
    :ivar causes: failed items by cause
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
    """The batch controller of one daemon.

    :ivar preemption: tells coordinators of online requests
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        engines: engine.EnginePort,
        sent: in_flight.InFlight,
        counters: metrics.Metrics,
        live_hosts: collections.abc.Callable[[], list[str]],
        peers: peer_port.PeerPort,
    ) -> None:
        self.preemption = preemption.Preemption(host, board, peers, live_hosts)
        self._host = host
        self._board = board
        self._port = port
        self._peers = peers
        self._table = batch_jobs.JobTable(host, port, peers)
        self._claims = batch_claims.Claims(host, port, self._table, live_hosts)

        def observe(service: str, status: str) -> None:
            counters.batch_items.labels(service, status).inc()

        self._ports = batch_runner.RunnerPorts(
            board, engines, sent, self._claims, self.preemption, observe
        )
        self._runners: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls and notices."""
        table = self._table.handlers
        taken = table[batch_jobs.METHOD_CLAIMED]

        async def take_claimed(
            peer: str, payload: typing.Any
        ) -> result.Result[typing.Any, verdicts.Failure]:
            account, job, number = payload
            self._claims.check_claim(jobs.JobKey(account, job), number)
            return await taken(peer, payload)

        return {
            **table,
            **self._claims.handlers,
            **self.preemption.handlers,
            batch_jobs.METHOD_CLAIMED: take_claimed,
        }

    async def run(self) -> None:
        """Follow the jobs and run their items for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._table.run)
            tasks.start_soon(self._claims.run)
            tasks.start_soon(self.preemption.run)
            while True:
                for target in self._board.targets.rows():
                    name = target.name
                    if name not in self._runners and self._coordinates(name):
                        self._runners.add(name)
                        tasks.start_soon(self._run_target, name)
                await anyio.sleep(FIND_SECONDS)

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
        """Cancel a job unless it is finished; return it as it is then."""
        return await self._table.cancel(key)

    async def read_status(
        self, key: jobs.JobKey
    ) -> result.Result[JobStatus, verdicts.Failure]:
        """Return a job's progress from summaries and its owners' counts."""
        found = await jobs.read_head(self._port, key)
        if isinstance(found, result.Err):
            return found
        job = found.ok_value
        summaries = await jobs.read_summaries(self._port, key)
        if isinstance(summaries, result.Err):
            return summaries
        counted = dict(summaries.ok_value)
        age = 0.0
        for progress in await self._ask_all(key):
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
        """Read all items of a job."""
        return job_results.read_all(self._port, self._host, job)

    async def read_item(
        self, key: jobs.JobKey, item_id: str
    ) -> result.Result[job_results.ItemRow, verdicts.Failure]:
        """Read one item of a job."""
        found = await jobs.read_head(self._port, key)
        if isinstance(found, result.Err):
            return found
        return await job_results.read_one(
            self._port, self._host, found.ok_value, item_id
        )

    async def read_job(
        self, key: jobs.JobKey
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        """Read a job's head."""
        return await jobs.read_head(self._port, key)

    async def _ask_all(self, key: jobs.JobKey) -> list[batch_jobs.Progress]:
        found = [self._claims.progress(key)]

        async def ask(host: str) -> None:
            progress = await self._table.ask(host, key)
            if progress is not None:
                found.append(progress)

        async with anyio.create_task_group() as tasks:
            for host in self._peers.connected():
                tasks.start_soon(ask, host)
        return found

    def _coordinates(self, name: str) -> bool:
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
            await runner.run(self._coordinates, self._table.changed.wait)
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
