"""Reaches the log of jobs, here or at a host that keeps a copy of it.

In a large fleet few hosts follow the jobs, whose texts are most of what the
store holds. The others pass on what a caller asks of a job.
"""

import collections.abc
import typing

import anyio
import msgspec
import result

from persimmonpass.controllers import job_log
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
# One that stands still is passed over in time for two others.
MAX_KEEPERS = 3
# How long reads take beyond what their callers wait; keepers answer within
# milliseconds, and one that stands still costs half of the time.
ANSWER_SECONDS = 2.0
# What an answer needs on its way from a keeper.
LINK_SECONDS = 0.1

Answer = result.Result[typing.Any, verdicts.Failure]


class JobAccess:
    """Calls to the log of jobs, which every host offers to its callers."""

    def __init__(
        self,
        host: str,
        log: job_log.JobLog,
        peers: peer_port.PeerPort,
        keepers: peer_port.Audience,
    ) -> None:
        """Make the access.

        :param keepers: hosts that follow the jobs
        """
        self._host = host
        self._log = log
        self._peers = peers
        self._keepers = keepers

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_ACCEPT: self._take_accept,
            METHOD_READ: self._take_read,
            METHOD_BODY: self._take_body,
            METHOD_END: self._take_end,
        }

    async def accept(
        self, job: job_records.Job, route: routes.Route, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """Keep a job for good.

        :param deadline: when the caller gives up, in seconds
        """
        limit = route.max_waiting_tokens
        if self._is_keeper():
            return await self._log.accept(job, limit, deadline)

        def make(left: float) -> list[typing.Any]:
            return [msgspec.to_builtins(job), limit, left]

        return await self._ask(METHOD_ACCEPT, job.id, make, deadline)

    async def read(
        self, job_id: str, after: int, wait_seconds: float
    ) -> result.Result[job_log.Page, verdicts.Failure]:
        """Return results from a position on; wait until there is one."""
        if self._is_keeper():
            return await self._log.read(job_id, after, wait_seconds)
        found = await self._ask(
            METHOD_READ,
            job_id,
            lambda left: [job_id, after, min(wait_seconds, left)],
            anyio.current_time() + wait_seconds + ANSWER_SECONDS,
        )
        return found.map(lambda row: msgspec.convert(row, job_log.Page))

    async def body(
        self, job_id: str, item_id: str
    ) -> result.Result[bytes, verdicts.Failure]:
        """Return the body of an item."""
        if self._is_keeper():
            return await self._log.body(job_id, item_id)
        return await self._ask(
            METHOD_BODY,
            job_id,
            lambda left: [job_id, item_id],
            anyio.current_time() + ANSWER_SECONDS,
        )

    async def end(
        self, job_id: str, deadline: float
    ) -> result.Result[None, verdicts.Failure]:
        """End a job for good."""
        if self._is_keeper():
            return await self._log.end(job_id, deadline)
        return await self._ask(
            METHOD_END, job_id, lambda left: [job_id, left], deadline
        )

    def _is_keeper(self) -> bool:
        return peer_port.includes(self._keepers(), self._host)

    async def _ask(
        self,
        method: str,
        job_id: str,
        make: collections.abc.Callable[[float], list[typing.Any]],
        deadline: float,
    ) -> Answer:
        """Ask keepers in turn until one answers.

        Asking twice does no harm: a job is taken once under its id. After a
        call without an answer a later refusal does not say that no job runs.

        :param make: seconds that the keeper has -> what is sent
        """
        keepers = set(self._peers.connected()) & set(self._keepers() or ())
        chosen = shards.ranked(job_id, keepers)[:MAX_KEEPERS]
        unknown = False
        for index, keeper in enumerate(chosen):
            left = deadline - anyio.current_time()
            if left <= 0:
                break
            # All but the last one leave time for another.
            wait = left / 2 if index < len(chosen) - 1 else left
            answered = await self._peers.call(
                keeper, method, make(max(0.0, wait - LINK_SECONDS)), wait
            )
            if isinstance(answered, result.Ok):
                return answered
            failure = answered.err_value
            self._note(method, job_id, keeper, failure)
            if failure.event != events.PEER_UNREACHABLE:
                if unknown:
                    break
                return answered
            if method == METHOD_ACCEPT:
                unknown |= failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
        return result.Err(_unanswered(unknown))

    def _note(
        self, method: str, job_id: str, keeper: str, failure: verdicts.Failure
    ) -> None:
        events.log(
            events.JOB_CALL_FAILED,
            host=self._host,
            job=job_id,
            method=method,
            keeper=keeper,
            status=failure.status,
            verdict=failure.verdict.value,
            cause=failure.message,
        )

    async def _take_accept(self, peer: str, payload: typing.Any) -> Answer:
        row, limit, left = payload
        return await self._log.accept(
            msgspec.convert(row, job_records.Job),
            limit,
            anyio.current_time() + left,
        )

    async def _take_read(self, peer: str, payload: typing.Any) -> Answer:
        job_id, after, wait_seconds = payload
        found = await self._log.read(job_id, after, wait_seconds)
        return found.map(msgspec.to_builtins)

    async def _take_body(self, peer: str, payload: typing.Any) -> Answer:
        job_id, item_id = payload
        return await self._log.body(job_id, item_id)

    async def _take_end(self, peer: str, payload: typing.Any) -> Answer:
        job_id, left = payload
        return await self._log.end(job_id, anyio.current_time() + left)


def _unanswered(unknown: bool) -> verdicts.Failure:
    """Return the failure of a call that no keeper has answered.

    :param unknown: whether it may have taken effect
    """
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN if unknown else verdicts.Verdict.NOT_RUN,
        events.JOB_CALL_FAILED,
        'no host that follows the jobs answered',
        job_log.GATEWAY_TIMEOUT if unknown else job_log.UNAVAILABLE,
        job_log.RETRY_AFTER_SECONDS,
    )
