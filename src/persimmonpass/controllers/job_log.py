"""Accepts jobs, keeps their results and lets any host read them."""

import collections.abc
import typing

import anyio
import result

from persimmonpass.controllers import mirror
from persimmonpass import events
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import records
from persimmonpass import verdicts

# A copy that was complete within this time may say that there is no more:
# a watch that hears nothing returns sooner.
FRESH_SECONDS = 2.6
# One that has lacked a change for longer may not: a position that was read
# somewhere is seen by all within a second.
BEHIND_SECONDS = 0.4
# When a job's write is sent again while its answer is out, since it began.
# A calm store answers in milliseconds, and the caller's objective is some
# hundreds of them.
# Sending the same record again is harmless: the name is taken once.
AGAIN_SECONDS = (0.0, 0.12, 0.3)
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.4
# A job that the store refuses is given back after this part of its time, so
# that the caller can come again, to another host; with little time left there
# is no other try and the store is asked until the end.
REFUSE_AFTER_SHARE = 0.5
LAST_TRY_SECONDS = 2.0
# What the answer needs on its way.
ANSWER_SECONDS = 0.1
RETRY_AFTER_SECONDS = 0.4
MAX_PAGE_BYTES = 900_000
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Page(typing.NamedTuple):
    """Results of a job from a position on."""

    total: int
    next: int
    results: list[job_records.ItemResult]


class JobLog:
    """The jobs of the fleet, as the store's records tell them.

    :ivar jobs: by id
    :ivar changed: called after each change
    """

    def __init__(
        self,
        host: str,
        port: records.RecordPort,
        copy: collections.abc.Callable[[], mirror.Mirror],
    ) -> None:
        self.jobs: dict[str, job_state.JobState] = {}
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._host = host
        self._port = port
        self._copy = copy
        self._orders = 0
        self._accepting: dict[str, tuple[str, int]] = {}

    def apply(self, changed: list[records.Record]) -> None:
        """Take records that came or changed."""
        for record in changed:
            if record.deleted:
                # Only what is past its time is removed, the job first.
                self.jobs.pop(job_records.job_of(record.name) or '', None)
                continue
            change = job_records.read(record)
            if change is None:
                records.note_unreadable(self._host, record)
                continue
            state = self.jobs.get(change.job_id)
            if state is None:
                self._orders += 1
                state = job_state.JobState(self._orders)
                self.jobs[change.job_id] = state
            state.apply(change)
        self._tell()

    def _tell(self) -> None:
        for callback in self.changed:
            callback()

    def waiting_tokens(self, route: str) -> int:
        """Return the tokens that wait on a route."""
        waiting = sum(
            state.waiting_tokens
            for state in self.jobs.values()
            if state.job is not None and state.job.route == route
        )
        return waiting + sum(
            tokens
            for job_id, (name, tokens) in self._accepting.items()
            if name == route and job_id not in self.jobs
        )

    async def accept(
        self, job: job_records.Job, max_waiting_tokens: int, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """Keep a job for good.

        :param max_waiting_tokens: tokens that may wait on the job's route; 0
            for any number
        :param deadline: when the caller gives up, in seconds
        """
        known = self.jobs.get(job.id)
        if known is not None and known.job is not None:
            return self._accepted(job, 'known')
        tokens = sum(item.tokens for item in job.items)
        waiting = self.waiting_tokens(job.route)
        if max_waiting_tokens and waiting + tokens > max_waiting_tokens:
            return self._refused(job, 429, 'quota', waiting)
        self._accepting[job.id] = (job.route, tokens)
        try:
            return await self._create(job, deadline)
        finally:
            del self._accepting[job.id]

    async def _create(
        self, job: job_records.Job, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        began = anyio.current_time()
        pause = RETRY_SECONDS
        unknown = False
        data = job_records.encode_job(job)
        name = job_records.job_name(job.id)
        allowed = deadline - began
        refuse_at = deadline
        if allowed > LAST_TRY_SECONDS:
            refuse_at = began + REFUSE_AFTER_SHARE * allowed
        while True:
            written = await self._create_soon(name, data)
            if isinstance(written, result.Ok):
                self._learn(name, written.ok_value, data)
                return self._accepted(job, 'created')
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                return self._accepted(job, 'created before')
            unknown = unknown or (
                failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
            )
            now = anyio.current_time()
            left = deadline - now
            if left <= ANSWER_SECONDS:
                # A write that may still take effect promises nothing.
                return self._refused(
                    job,
                    GATEWAY_TIMEOUT if unknown else UNAVAILABLE,
                    failure.message,
                )
            if not unknown and now >= refuse_at:
                return self._refused(job, UNAVAILABLE, failure.message)
            await anyio.sleep(min(pause, left / 2))
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _create_soon(
        self, name: str, data: records.Data
    ) -> result.Result[int, verdicts.Failure]:
        """Create a record and send it again while no answer comes.

        :returns: the first answer that settles it; otherwise a failure that
            is unknown if any of the writes may have taken effect
        """
        outcomes: list[result.Result[int, verdicts.Failure]] = []

        flying = 0

        async def send(delay: float) -> None:
            nonlocal flying
            await anyio.sleep(delay)
            flying += 1
            outcome = await self._port.create(job_records.KIND, name, data)
            flying -= 1
            outcomes.append(outcome)
            # One that is given up on its way may still take effect, so that
            # a refusal ends the others only before they were sent.
            refused = not flying and not _is_unknown(outcome)
            if _is_settled(outcome) or refused:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for delay in AGAIN_SECONDS:
                tasks.start_soon(send, delay)
        return max(
            outcomes, key=lambda one: (_is_settled(one), _is_unknown(one))
        )

    def _learn(self, name: str, version: int, data: records.Data) -> None:
        if version:
            self._copy().apply_record(records.Record(name, version, data, {}))

    def _accepted(
        self, job: job_records.Job, how: str
    ) -> result.Result[None, verdicts.Failure]:
        events.log(
            events.JOB_ACCEPTED,
            host=self._host,
            job=job.id,
            route=job.route,
            items=len(job.items),
            how=how,
        )
        return result.Ok(None)

    def _refused(
        self,
        job: job_records.Job,
        status: int,
        cause: str,
        waiting: int | None = None,
    ) -> result.Result[None, verdicts.Failure]:
        events.log(
            events.JOB_REFUSED,
            host=self._host,
            job=job.id,
            status=status,
            cause=cause,
            waiting_tokens=waiting,
        )
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.MAY_HAVE_RUN
                if status == GATEWAY_TIMEOUT
                else verdicts.Verdict.NOT_RUN,
                events.JOB_REFUSED,
                cause,
                status,
                RETRY_AFTER_SECONDS,
            )
        )

    async def read(
        self, job_id: str, after: int, wait_seconds: float
    ) -> result.Result[Page, verdicts.Failure]:
        """Return results from a position on; wait until there is one."""
        found = await self._find(job_id)
        if isinstance(found, result.Err):
            return found
        state = found.ok_value
        with anyio.move_on_after(wait_seconds):
            while len(state.results) <= after and not self._is_whole(state):
                await state.changed.wait()
        if len(state.results) <= after and not self._is_fresh():
            return result.Err(self._uncertain(job_id, 'the copy is old'))
        results: list[job_records.ItemResult] = []
        size = 0
        for one in state.results[after:]:
            size += len(one.output)
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(one)
        total = len(state.job.items) if state.job is not None else 0
        return result.Ok(Page(total, after + len(results), results))

    async def body(
        self, job_id: str, item_id: str
    ) -> result.Result[bytes, verdicts.Failure]:
        """Return the body of an item."""
        found = await self._find(job_id)
        if isinstance(found, result.Err):
            return found
        job = found.ok_value.job
        for item in job.items if job is not None else []:
            if item.id == item_id:
                return result.Ok(item.content)
        return result.Err(_missing(f'item {item_id}'))

    async def end(
        self, job_id: str, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """End a job for good."""
        found = await self._find(job_id)
        if isinstance(found, result.Err):
            return found
        pause = RETRY_SECONDS
        name = job_records.end_name(job_id)
        while not found.ok_value.ended:
            written = await self._port.create(job_records.KIND, name, {})
            if isinstance(written, result.Ok):
                self._learn(name, written.ok_value, {})
                break
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                found.ok_value.apply(job_records.Change(job_id, ended=True))
                self._tell()
                break
            if anyio.current_time() + pause >= deadline:
                return result.Err(failure)
            await anyio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_SECONDS)
        events.log(events.JOB_CANCELLED, host=self._host, job=job_id)
        return result.Ok(None)

    async def commit(
        self, job_id: str, results: list[job_records.ItemResult]
    ) -> bool:
        """Add results to a job's log; those that it has are left out.

        :returns: whether the log was written or read; otherwise the caller
            tries again
        """
        state = self.jobs.get(job_id)
        if state is None:
            return True
        missing = [one for one in results if one.item not in state.done]
        if not missing:
            return True
        number = state.groups
        name = job_records.results_name(job_id, number)
        data = job_records.encode_results(missing)
        written = await self._port.create(job_records.KIND, name, data)
        if isinstance(written, result.Ok):
            self._learn(name, written.ok_value, data)
            events.log(
                events.RESULTS_COMMITTED,
                host=self._host,
                job=job_id,
                group=number,
                items=len(missing),
                version=written.ok_value,
            )
            return True
        if written.err_value.event != events.STORE_CONFLICT:
            return False
        found = await self._port.get(job_records.KIND, name)
        if isinstance(found, result.Err):
            return False
        self._copy().apply_record(found.ok_value)
        return False

    async def _find(
        self, job_id: str
    ) -> result.Result[job_state.JobState, verdicts.Failure]:
        state = self.jobs.get(job_id)
        if state is not None and state.job is not None:
            return result.Ok(state)
        found = await self._port.get(
            job_records.KIND, job_records.job_name(job_id)
        )
        if isinstance(found, result.Ok):
            # Its results are not known yet; the copy has them in a moment.
            return result.Err(self._uncertain(job_id, 'not copied yet'))
        if found.err_value.event == events.STORE_NOT_FOUND:
            return result.Err(_missing(f'job {job_id}'))
        return result.Err(self._uncertain(job_id, found.err_value.message))

    def _is_whole(self, state: job_state.JobState) -> bool:
        job = state.job
        return job is not None and len(state.results) >= len(job.items)

    def _is_fresh(self) -> bool:
        copy = self._copy()
        return (
            copy.age_seconds <= FRESH_SECONDS
            and copy.behind_seconds <= BEHIND_SECONDS
        )

    def _uncertain(self, job_id: str, cause: str) -> verdicts.Failure:
        events.log(
            events.JOB_READ_UNCERTAIN,
            host=self._host,
            job=job_id,
            cause=cause,
            copy_age_seconds=round(min(self._copy().age_seconds, 1e6), 2),
            copy_behind_seconds=round(self._copy().behind_seconds, 2),
        )
        return verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.JOB_READ_UNCERTAIN,
            cause,
            UNAVAILABLE,
            RETRY_AFTER_SECONDS,
        )


def _is_settled(outcome: result.Result[int, verdicts.Failure]) -> bool:
    """Return whether a create has certainly taken effect."""
    return (
        isinstance(outcome, result.Ok)
        or outcome.err_value.event == events.STORE_CONFLICT
    )


def _is_unknown(outcome: result.Result[int, verdicts.Failure]) -> bool:
    return (
        isinstance(outcome, result.Err)
        and outcome.err_value.verdict is verdicts.Verdict.MAY_HAVE_RUN
    )


def _missing(what: str) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_NOT_FOUND,
        f'there is no {what}',
        404,
    )
