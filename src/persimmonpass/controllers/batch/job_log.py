"""Accepts jobs, stores their results and serves reads on replica hosts.

A replica host keeps a copy of the jobs. On the other hosts,
:mod:`controllers.batch.job_access` forwards calls to it.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass.controllers.batch import copy_checks
from persimmonpass.controllers.batch import job_accounts
from persimmonpass.controllers.fleet import mirror
from persimmonpass import events
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import records
from persimmonpass import verdicts

# A job's results are not even checked if the copy was not complete within this
# time: the hosts that watch the store are lost for good, and this host does
# not reach the store either.
MAX_COPY_AGE_SECONDS = 2.6
# Nor is a job's end reported if the copy has lacked a known change for longer
# than this. A result that was read at one host must be visible at all within a
# second.
MAX_BEHIND_SECONDS = 0.4
# A job that was accepted at another host a moment ago arrives with the copy in
# this time. Only then is the store asked for it.
COPY_WAIT_SECONDS = 0.25
# Delays after which the record of a job is sent, counted from the first send,
# as long as no answer has come. The store normally answers within
# milliseconds, and the caller's objective is a few hundred milliseconds.
# Sending the same record again is harmless: a name is created only once.
SEND_DELAYS_SECONDS = (0.0, 0.12, 0.3)
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.4
# While the store refuses a job, the job is refused after this share of its
# time, so that the caller can retry at another host.
REFUSE_AFTER_SHARE = 0.5
# With no more time than this the caller cannot retry, so the store is called
# until the deadline.
LAST_ATTEMPT_SECONDS = 2.0
# Time for the answer to reach the caller.
ANSWER_SECONDS = 0.1
RETRY_AFTER_SECONDS = 0.4
MAX_PAGE_BYTES = 900_000
# Above this share of a limit, waiting tokens are counted on a current copy.
COUNT_CHECK_SHARE = 0.5
NOT_FOUND = 404
TOO_MANY = 429
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Causes of a refusal by waiting tokens. A host of an older build knows only
# the first one, which counts the tokens of all accounts.
QUOTA = 'quota'
ACCOUNT_QUOTA = 'quota of the account'


class Page(typing.NamedTuple):
    """Results of a job from a position on.

    :ivar total: number of items of the job
    :ivar next: position after the last of ``results``
    """

    total: int
    next: int
    results: list[job_records.ItemResult]


class JobLog:
    """The jobs of the fleet, built from the records in the store.

    :ivar jobs: state of each job by id
    :ivar changed: callbacks that run after each change
    :ivar accounts: accounts of the jobs
    """

    def __init__(
        self,
        host: str,
        port: records.RecordPort,
        copy: collections.abc.Callable[[], mirror.Mirror],
        accounts: job_accounts.AccountPort = job_accounts.NO_ACCOUNTS,
    ) -> None:
        """Create the log.

        :param copy: returns this host's copy of the records
        :param accounts: reads the accounts of jobs
        """
        self.jobs: dict[str, job_state.JobState] = {}
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._host = host
        self._port = port
        self._copy = copy
        self._job_count = 0
        self.accounts = job_accounts.JobAccounts(self.jobs, accounts)
        self._applied = anyio.Event()

    def apply(self, changed: list[records.Record]) -> None:
        """Apply records that were created, changed or deleted."""
        for record in changed:
            if record.deleted:
                # The cleanup removes only expired jobs, and the record that
                # holds the job goes first.
                self.jobs.pop(job_records.job_id_of(record.name) or '', None)
                continue
            change = job_records.read(record)
            if change is None:
                records.log_unreadable(self._host, record)
                continue
            state = self.jobs.get(change.job_id)
            if state is None:
                self._job_count += 1
                state = self.accounts.make_state(self._job_count)
                self.jobs[change.job_id] = state
            state.apply(change)
        self._notify()

    def _notify(self) -> None:
        self._applied.set()
        self._applied = anyio.Event()
        for callback in self.changed:
            callback()

    def waiting_tokens(self, route: str, account: str | None = None) -> int:
        """Return the tokens that wait on a route.

        :param account: whose tokens to count; ``None`` for all
        """
        return self.accounts.waiting_tokens(route, account)

    async def accept(
        self, job: job_records.Job, max_waiting_tokens: int, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """Store a job durably.

        :param max_waiting_tokens: limit of the tokens that wait on the job's
            route; 0 for no limit
        :param deadline: when the caller gives up, in seconds of the event
            loop's clock
        :returns: success also if the job was stored before; otherwise a
            failure of status 429, 503 or 504. After 504 the job may have been
            stored.
        """
        if self._has_job(job.id):
            return await self._report_stored(job, 'known')
        account = self.accounts.account_of(job)
        tokens = job_state.count_tokens(job.items)
        waiting = self.accounts.waiting_tokens(job.route, account, job.id)
        if waiting + tokens > COUNT_CHECK_SHARE * max_waiting_tokens > 0:
            await copy_checks.make_current(self._copy())
            if self._has_job(job.id):
                return await self._report_stored(job, 'known')
            waiting = self.accounts.waiting_tokens(job.route, account, job.id)
        if max_waiting_tokens and waiting + tokens > max_waiting_tokens:
            if account is None:
                return self._refuse(
                    job, TOO_MANY, QUOTA, waiting, max_waiting_tokens
                )
            # The job may have been accepted at another host a moment ago.
            await self._wait_for_copy(job.id, None)
            if self._has_job(job.id):
                return await self._report_stored(job, 'known')
            return self._refuse(
                job, TOO_MANY, ACCOUNT_QUOTA, waiting, max_waiting_tokens
            )
        self.accounts.begin(job, account)
        try:
            return await self._create(job, deadline)
        finally:
            self.accounts.finish(job.id)

    async def _create(
        self, job: job_records.Job, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        started_at = anyio.current_time()
        pause = RETRY_SECONDS
        unknown = False
        data = job_records.encode_job(job)
        name = job_records.job_name(job.id)
        allowed = deadline - started_at
        refuse_at = deadline
        if allowed > LAST_ATTEMPT_SECONDS:
            refuse_at = started_at + REFUSE_AFTER_SHARE * allowed
        while True:
            written = await self._create_with_resends(name, data)
            if isinstance(written, result.Ok):
                self._add_to_copy(name, written.ok_value, data)
                return self._report_accepted(job, 'created')
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                stored = await self._report_stored(job, 'created before')
                if stored.is_ok() or stored.err_value.status == NOT_FOUND:
                    return stored
                failure = stored.err_value
            if failure.event == events.STORE_REJECTED:
                return self._refuse(job, UNAVAILABLE, failure.message)
            unknown = unknown or (
                failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
            )
            now = anyio.current_time()
            left = deadline - now
            if left <= ANSWER_SECONDS:
                # A write that may still take effect must not be reported as
                # refused.
                return self._refuse(
                    job,
                    GATEWAY_TIMEOUT if unknown else UNAVAILABLE,
                    failure.message,
                )
            if not unknown and now >= refuse_at:
                return self._refuse(job, UNAVAILABLE, failure.message)
            await anyio.sleep(min(pause, left / 2))
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _create_with_resends(
        self, name: str, data: records.Data
    ) -> result.Result[int, verdicts.Failure]:
        """Create a record; send it again as long as no answer comes.

        :returns: the first answer that shows that the record exists;
            otherwise a failure, whose outcome is unknown if any of the writes
            may have taken effect
        """
        outcomes: list[result.Result[int, verdicts.Failure]] = []

        in_flight = 0

        async def send(delay: float) -> None:
            nonlocal in_flight
            await anyio.sleep(delay)
            in_flight += 1
            outcome = await self._port.create(job_records.KIND, name, data)
            in_flight -= 1
            outcomes.append(outcome)
            # A write that is cancelled in flight may still take effect, so a
            # refusal cancels only the writes that were not sent yet.
            refused = not in_flight and not _is_unknown(outcome)
            if _is_created(outcome) or refused:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for delay in SEND_DELAYS_SECONDS:
                tasks.start_soon(send, delay)
        return max(
            outcomes,
            key=lambda outcome: (_is_created(outcome), _is_unknown(outcome)),
        )

    def _add_to_copy(
        self, name: str, version: int, data: records.Data
    ) -> None:
        if version:
            self._copy().apply_record(records.Record(name, version, data, {}))

    async def _report_stored(
        self, job: job_records.Job, how: str
    ) -> result.Result[None, verdicts.Failure]:
        """Accept a job whose id is stored, unless it is another account's.

        :returns: otherwise a failure of status 404, or one with an unknown
            outcome if it could not be found out whose job is stored
        """
        account = self.accounts.account_of(job)
        if account is None:
            return self._report_accepted(job, how)
        await self._wait_for_copy(job.id, None)
        state = self.jobs.get(job.id)
        stored = state.job if state is not None else None
        if stored is None:
            found = await self._port.get(
                job_records.KIND, job_records.job_name(job.id)
            )
            if isinstance(found, result.Err):
                return result.Err(
                    found.err_value._replace(
                        verdict=verdicts.Verdict.MAY_HAVE_RUN
                    )
                )
            change = job_records.read(found.ok_value)
            stored = change.job if change is not None else None
        if stored is None or self.accounts.account_of(stored) != account:
            return self._refuse(job, NOT_FOUND, 'job of another account')
        return self._report_accepted(job, how)

    def _report_accepted(
        self, job: job_records.Job, how: str
    ) -> result.Result[None, verdicts.Failure]:
        events.log(
            events.JOB_ACCEPTED,
            host=self._host,
            job=job.id,
            route=job.route,
            items=len(job.items),
            how=how,
            account=self.accounts.account_of(job),
        )
        return result.Ok(None)

    def _refuse(
        self,
        job: job_records.Job,
        status: int,
        cause: str,
        waiting: int | None = None,
        limit: int | None = None,
    ) -> result.Result[None, verdicts.Failure]:
        events.log(
            events.JOB_REFUSED,
            host=self._host,
            job=job.id,
            status=status,
            cause=cause,
            waiting_tokens=waiting,
            limit=limit,
            account=self.accounts.account_of(job),
        )
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.MAY_HAVE_RUN
                if status == GATEWAY_TIMEOUT
                else verdicts.Verdict.NOT_RUN,
                events.JOB_REFUSED,
                cause,
                status,
                None if status == NOT_FOUND else RETRY_AFTER_SECONDS,
            )
        )

    async def read(
        self,
        job_id: str,
        after: int,
        wait_seconds: float,
        account: str | None = None,
    ) -> result.Result[Page, verdicts.Failure]:
        """Return results from a position on; wait until there is one.

        :param after: number of results to skip
        :param wait_seconds: how long to wait for a result
        :param account: account of the caller; ``None`` if there are none
        :returns: a page, empty if no result came in time or if ``after`` is
            the end of the job; a failure if the job does not exist or if this
            host's copy is too old to tell that there are no more results
        """
        found = await self._find(job_id, account)
        if isinstance(found, result.Err):
            return found
        state = found.ok_value
        with anyio.move_on_after(wait_seconds):
            while len(state.results) <= after and not self._is_complete(state):
                await state.changed.wait()
        if len(state.results) <= after and not (
            self._is_complete(state)
            or (
                self._is_current()
                and await copy_checks.confirm(self._copy(), state, after)
            )
        ):
            return result.Err(
                self._report_uncertain(
                    job_id, 'the copy of the jobs is out of date'
                )
            )
        results: list[job_records.ItemResult] = []
        size = 0
        for item_result in state.results[after:]:
            size += item_result.encoded_bytes
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(item_result)
        total = len(state.job.items) if state.job is not None else 0
        return result.Ok(Page(total, after + len(results), results))

    async def body(
        self, job_id: str, item_id: str, account: str | None = None
    ) -> result.Result[bytes, verdicts.Failure]:
        """Return the request body of an item."""
        found = await self._find(job_id, account)
        if isinstance(found, result.Err):
            return found
        job = found.ok_value.job
        for item in job.items if job is not None else []:
            if item.id == item_id:
                return result.Ok(item.content)
        return result.Err(_not_found(f'item {item_id}'))

    async def end(
        self, job_id: str, deadline: float, account: str | None = None
    ) -> result.Result[None, verdicts.Failure]:
        """End a job durably, so that its remaining items do not run."""
        found = await self._find(job_id, account)
        if isinstance(found, result.Err):
            return found
        pause = RETRY_SECONDS
        name = job_records.end_name(job_id)
        while not found.ok_value.ended:
            written = await self._port.create(job_records.KIND, name, {})
            if isinstance(written, result.Ok):
                self._add_to_copy(name, written.ok_value, {})
                break
            failure = written.err_value
            if failure.event == events.STORE_CONFLICT:
                found.ok_value.apply(job_records.Change(job_id, ended=True))
                self._notify()
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
        """Append results to a job's log, except those that it contains.

        Results that the store rejects are too large together, so that half of
        them are stored first. An output that is too large alone fails.

        :returns: ``True`` if the log contains all results or the job is
            gone; ``False`` if the caller has to try again
        """
        state = self.jobs.get(job_id)
        if state is None:
            return True
        missing = [
            item_result
            for item_result in results
            if item_result.item not in state.done
        ]
        if not missing:
            return True
        number = state.groups
        name = job_records.results_name(job_id, number)
        data = job_records.encode_results(missing)
        written = await self._port.create(job_records.KIND, name, data)
        if isinstance(written, result.Ok):
            self._add_to_copy(name, written.ok_value, data)
            events.log(
                events.RESULTS_COMMITTED,
                host=self._host,
                job=job_id,
                group=number,
                items=len(missing),
                version=written.ok_value,
            )
            return True
        if written.err_value.event == events.STORE_REJECTED:
            return await self._commit_rejected(job_id, missing)
        if written.err_value.event != events.STORE_CONFLICT:
            return False
        found = await self._port.get(job_records.KIND, name)
        if isinstance(found, result.Err):
            return False
        self._copy().apply_record(found.ok_value)
        return False

    async def _commit_rejected(
        self, job_id: str, rejected: list[job_records.ItemResult]
    ) -> bool:
        """Append a part of the results that the store has rejected."""
        events.log(
            events.RESULTS_REJECTED,
            host=self._host,
            job=job_id,
            items=len(rejected),
            bytes=sum(row.encoded_bytes for row in rejected),
        )
        if len(rejected) > 1:
            await self.commit(job_id, rejected[: len(rejected) // 2])
            return False
        if not rejected[0].output:
            return False
        failed = job_records.ItemResult(
            rejected[0].item, job_records.State.FAILED
        )
        return await self.commit(job_id, [failed])

    async def _find(
        self, job_id: str, account: str | None
    ) -> result.Result[job_state.JobState, verdicts.Failure]:
        """Find a job that a caller may use.

        The job of another account takes the same time and the same calls as
        one that does not exist.

        :param account: account of the caller; ``None`` if there are none
        """
        await self._wait_for_copy(job_id, account)
        state = self.jobs.get(job_id)
        if state is not None and self._may_use(job_id, account):
            return result.Ok(state)
        found = await self._port.get(
            job_records.KIND,
            job_records.absent_name(job_id)
            if self._has_job(job_id)
            else job_records.job_name(job_id),
        )
        if isinstance(found, result.Ok):
            change = job_records.read(found.ok_value)
            stored = change.job if change is not None else None
            if account is not None and (
                stored is None or self.accounts.account_of(stored) != account
            ):
                return result.Err(_not_found(f'job {job_id}'))
            # This host does not have the results yet; they arrive with the
            # copy soon.
            return result.Err(
                self._report_uncertain(
                    job_id, 'the job is stored but not yet copied to this host'
                )
            )
        if found.err_value.event == events.STORE_NOT_FOUND:
            return result.Err(_not_found(f'job {job_id}'))
        return result.Err(
            self._report_uncertain(job_id, found.err_value.message)
        )

    async def _wait_for_copy(self, job_id: str, account: str | None) -> None:
        """Wait a moment for a job that was accepted at another host."""
        with anyio.move_on_after(COPY_WAIT_SECONDS):
            while not self._may_use(job_id, account):
                await self._applied.wait()

    def _may_use(self, job_id: str, account: str | None) -> bool:
        """Return whether this host has a job that belongs to an account.

        :param account: ``None`` for any
        """
        state = self.jobs.get(job_id)
        return (
            state is not None
            and state.job is not None
            and (
                account is None
                or 0 < len(account)
                and account == state.account
            )
        )

    def _has_job(self, job_id: str) -> bool:
        return self._may_use(job_id, None)

    def _is_complete(self, state: job_state.JobState) -> bool:
        job = state.job
        return job is not None and len(state.results) >= len(job.items)

    def _is_current(self) -> bool:
        copy = self._copy()
        return (
            copy.age_seconds <= MAX_COPY_AGE_SECONDS
            and copy.behind_seconds <= MAX_BEHIND_SECONDS
        )

    def _report_uncertain(self, job_id: str, cause: str) -> verdicts.Failure:
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


def _is_created(outcome: result.Result[int, verdicts.Failure]) -> bool:
    """Return whether the record certainly exists after a create."""
    return (
        isinstance(outcome, result.Ok)
        or outcome.err_value.event == events.STORE_CONFLICT
    )


def _is_unknown(outcome: result.Result[int, verdicts.Failure]) -> bool:
    return (
        isinstance(outcome, result.Err)
        and outcome.err_value.verdict is verdicts.Verdict.MAY_HAVE_RUN
    )


def _not_found(what: str) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_NOT_FOUND,
        f'{what} does not exist',
        NOT_FOUND,
    )
