"""Calls the job log, on this host or on a host that keeps a copy of it.

In a large fleet only a few hosts, the replica hosts, keep a copy of the jobs,
because the texts of jobs are most of the data in the store. The other hosts
forward the calls of their callers to replica hosts.
"""

import collections.abc
import typing

import anyio
import msgspec
import result

from persimmonpass.controllers.batch import job_log
from persimmonpass import events
from persimmonpass import job_records
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import routes
from persimmonpass import verdicts

METHOD_ACCEPT = 'work.accept'
METHOD_READ = 'work.read'
METHOD_BODY = 'work.body'
METHOD_END = 'work.end'
# The same calls with the account of the caller. An older build refuses them.
METHOD_ACCOUNT_READ = 'work.account.read'
METHOD_ACCOUNT_BODY = 'work.account.body'
METHOD_ACCOUNT_END = 'work.account.end'
# Longest wait for the host that counts the tokens of an account. Its answer
# normally takes milliseconds, and this host can accept the job itself.
COUNTING_SECONDS = 0.6
# Most replica hosts to which one call is sent. If the first one hangs, there
# is time for two others.
MAX_TRIED_HOSTS = 3
# Time limit of a read beyond the time that its caller waits. Replica hosts
# answer within milliseconds, and one that hangs uses up half of the time.
ANSWER_SECONDS = 2.0
# Time for an answer to arrive from a replica host.
LINK_SECONDS = 0.1

Answer = result.Result[typing.Any, verdicts.Failure]


class JobAccess:
    """Job calls that every host offers to its callers.

    A host without a copy of the jobs forwards them to a host with one.
    """

    def __init__(
        self,
        host: str,
        log: job_log.JobLog,
        peers: peer_port.PeerPort,
        replica_hosts: peer_port.Audience,
    ) -> None:
        """Create the access to the jobs.

        :param replica_hosts: returns the hosts that keep a copy of the jobs
        """
        self._host = host
        self._log = log
        self._peers = peers
        self._replica_hosts = replica_hosts

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls from peers, by method."""
        return {
            METHOD_ACCEPT: self._handle_accept,
            METHOD_READ: self._handle_read,
            METHOD_BODY: self._handle_body,
            METHOD_END: self._handle_end,
            METHOD_ACCOUNT_READ: self._handle_read,
            METHOD_ACCOUNT_BODY: self._handle_body,
            METHOD_ACCOUNT_END: self._handle_end,
        }

    async def accept(
        self, job: job_records.Job, route: routes.Route, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """Store a job durably.

        :param deadline: when the caller gives up, in seconds of the event
            loop's clock
        :returns: success also if the job was stored before. After a failure
            whose verdict is ``MAY_HAVE_RUN`` the job may have been stored.
        """
        limit = route.max_waiting_tokens
        account = self._log.accounts.account_of(job)
        # All jobs of an account on a route are counted by one host, so that
        # hosts that accept at the same time don't exceed the limit together.
        key = job.id if account is None else f'{account}/{job.route}'

        def make_payload(left_seconds: float) -> list[typing.Any]:
            return [msgspec.to_builtins(job), limit, left_seconds]

        if not self._has_copy():
            return await self._call(
                METHOD_ACCEPT, job.id, make_payload, deadline, key
            )
        unknown = False
        if account is not None and limit:
            answered = await self._ask_counting_host(
                job.id, key, make_payload, deadline
            )
            if answered.is_ok() or answered.err_value.status in (
                job_log.TOO_MANY,
                job_log.NOT_FOUND,
            ):
                return answered
            failure = answered.err_value
            unknown = failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
        accepted = await self._log.accept(job, limit, deadline)
        if unknown and accepted.is_err():
            return result.Err(_make_unanswered_failure(unknown))
        return accepted

    async def _ask_counting_host(
        self,
        job_id: str,
        key: str,
        make_payload: collections.abc.Callable[[float], list[typing.Any]],
        deadline: float,
    ) -> Answer:
        """Let the host that counts the tokens of an account accept a job.

        :param key: names the account and the route
        :param make_payload: returns the payload, given the seconds within
            which the host has to answer
        :returns: a failure of status 503 if this host has to accept the job
        """
        replica_hosts = self._connected_replica_hosts() | {self._host}
        counting_host = shards.ranked(key, replica_hosts)[0]
        if counting_host == self._host:
            return result.Err(_make_unanswered_failure(False))
        left = deadline - anyio.current_time()
        wait = min(left / 2, COUNTING_SECONDS)
        answered = await self._peers.call(
            counting_host,
            METHOD_ACCEPT,
            make_payload(max(0.0, wait - LINK_SECONDS)),
            wait,
        )
        if isinstance(answered, result.Err):
            failure = answered.err_value
            self._log_failure(METHOD_ACCEPT, job_id, counting_host, failure)
            if _is_quota_of_all(failure):
                return result.Err(_make_unanswered_failure(False))
        return answered

    async def read(
        self,
        job_id: str,
        after: int,
        wait_seconds: float,
        account: str | None = None,
    ) -> result.Result[job_log.Page, verdicts.Failure]:
        """Return results from a position on; wait until there is one.

        :param after: number of results to skip
        :param wait_seconds: how long to wait for a result
        :param account: account of the caller; ``None`` if there are none
        """
        if self._has_copy():
            return await self._log.read(job_id, after, wait_seconds, account)
        found = await self._call(
            METHOD_READ if account is None else METHOD_ACCOUNT_READ,
            job_id,
            lambda left_seconds: [
                job_id,
                after,
                min(wait_seconds, left_seconds),
                *_as_fields(account),
            ],
            anyio.current_time() + wait_seconds + ANSWER_SECONDS,
        )
        return found.map(lambda row: msgspec.convert(row, job_log.Page))

    async def body(
        self, job_id: str, item_id: str, account: str | None = None
    ) -> result.Result[bytes, verdicts.Failure]:
        """Return the request body of an item."""
        if self._has_copy():
            return await self._log.body(job_id, item_id, account)
        return await self._call(
            METHOD_BODY if account is None else METHOD_ACCOUNT_BODY,
            job_id,
            lambda left_seconds: [job_id, item_id, *_as_fields(account)],
            anyio.current_time() + ANSWER_SECONDS,
        )

    async def end(
        self, job_id: str, deadline: float, account: str | None = None
    ) -> result.Result[None, verdicts.Failure]:
        """End a job durably, so that its remaining items do not run.

        :param deadline: when the caller gives up, in seconds of the event
            loop's clock
        """
        if self._has_copy():
            return await self._log.end(job_id, deadline, account)
        return await self._call(
            METHOD_END if account is None else METHOD_ACCOUNT_END,
            job_id,
            lambda left_seconds: [job_id, left_seconds, *_as_fields(account)],
            deadline,
        )

    def _has_copy(self) -> bool:
        return peer_port.includes(self._replica_hosts(), self._host)

    async def _call(
        self,
        method: str,
        job_id: str,
        make_payload: collections.abc.Callable[[float], list[typing.Any]],
        deadline: float,
        key: str = '',
    ) -> Answer:
        """Call replica hosts in turn until one answers.

        Repeating a call is harmless, because a job is stored only once under
        its id. After a call without an answer, a refusal by the next host
        does not prove that the job was not stored.

        :param make_payload: returns the payload, given the seconds within
            which the replica host has to answer
        :param deadline: when the caller gives up, in seconds of the event
            loop's clock
        :param key: determines the order of the hosts; empty for the job's id
        """
        ranked = shards.ranked(key or job_id, self._connected_replica_hosts())
        unknown = False
        unanswered = 0
        for index, replica_host in enumerate(ranked):
            left = deadline - anyio.current_time()
            if left <= 0 or unanswered == MAX_TRIED_HOSTS:
                break
            # Each call but the last one leaves time for the next host.
            is_last = index == len(ranked) - 1
            is_last |= unanswered == MAX_TRIED_HOSTS - 1
            wait = left if is_last else left / 2
            answered = await self._peers.call(
                replica_host,
                method,
                make_payload(max(0.0, wait - LINK_SECONDS)),
                wait,
            )
            if isinstance(answered, result.Ok):
                return answered
            failure = answered.err_value
            self._log_failure(method, job_id, replica_host, failure)
            if _is_of_older_build(method, failure) or (
                key != job_id and _is_quota_of_all(failure)
            ):
                # The answer came at once, and took no other host's time.
                continue
            unanswered += 1
            if failure.event != events.PEER_UNREACHABLE:
                if unknown:
                    break
                return answered
            if method == METHOD_ACCEPT:
                unknown |= failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
        return result.Err(_make_unanswered_failure(unknown))

    def _connected_replica_hosts(self) -> set[str]:
        connected = set(self._peers.connected())
        replica_hosts = self._replica_hosts()
        if replica_hosts is None:
            return connected
        return connected & set(replica_hosts)

    def _log_failure(
        self,
        method: str,
        job_id: str,
        replica_host: str,
        failure: verdicts.Failure,
    ) -> None:
        events.log(
            events.JOB_CALL_FAILED,
            host=self._host,
            job=job_id,
            method=method,
            keeper=replica_host,
            status=failure.status,
            verdict=failure.verdict.value,
            cause=failure.message,
        )

    async def _handle_accept(self, peer: str, payload: typing.Any) -> Answer:
        row, limit, left_seconds = payload
        return await self._log.accept(
            msgspec.convert(row, job_records.Job),
            limit,
            anyio.current_time() + left_seconds,
        )

    async def _handle_read(self, peer: str, payload: typing.Any) -> Answer:
        job_id, after, wait_seconds, *account = payload
        found = await self._log.read(job_id, after, wait_seconds, *account)
        return found.map(msgspec.to_builtins)

    async def _handle_body(self, peer: str, payload: typing.Any) -> Answer:
        job_id, item_id, *account = payload
        return await self._log.body(job_id, item_id, *account)

    async def _handle_end(self, peer: str, payload: typing.Any) -> Answer:
        job_id, left_seconds, *account = payload
        deadline = anyio.current_time() + left_seconds
        return await self._log.end(job_id, deadline, *account)


def _as_fields(account: str | None) -> list[str]:
    """Return the last fields of a payload, none without accounts."""
    return [] if account is None else [account]


def _is_of_older_build(method: str, failure: verdicts.Failure) -> bool:
    """Return whether a host does not know a method with an account."""
    return (
        method
        in (METHOD_ACCOUNT_READ, METHOD_ACCOUNT_BODY, METHOD_ACCOUNT_END)
        and failure.event == events.REQUEST_INVALID
    )


def _is_quota_of_all(failure: verdicts.Failure) -> bool:
    """Return whether a host refused a job for the tokens of all accounts.

    A host of an older build, or one without the configuration of accounts,
    counts them together.
    """
    return (
        failure.status == job_log.TOO_MANY and failure.message == job_log.QUOTA
    )


def _make_unanswered_failure(unknown: bool) -> verdicts.Failure:
    """Return the failure of a call that no replica host has answered.

    :param unknown: whether the call may have taken effect
    """
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN if unknown else verdicts.Verdict.NOT_RUN,
        events.JOB_CALL_FAILED,
        'no host that keeps a copy of the jobs answered',
        job_log.GATEWAY_TIMEOUT if unknown else job_log.UNAVAILABLE,
        job_log.RETRY_AFTER_SECONDS,
    )
