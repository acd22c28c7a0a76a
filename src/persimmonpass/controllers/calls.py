"""Passes calls on to plain services."""

import result

from persimmonpass.controllers import attempts
from persimmonpass.controllers import online_requests
from persimmonpass import keys
from persimmonpass.targets import service
from persimmonpass import tracing
from persimmonpass import verdicts

AnswerResult = result.Result[keys.Answer, verdicts.Failure]


class Calls:
    """Sends calls to plain services."""

    def __init__(
        self,
        tries: attempts.Attempts,
        services: service.ServicePort,
        spans: tracing.Tracing,
    ) -> None:
        self._tries = tries
        self._services = services
        self._spans = spans

    def check(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
    ) -> verdicts.Failure | None:
        """Return the failure of a call that must not run again."""
        return self._tries.check(make_work(online, request))

    async def send(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
        deadline: online_requests.Deadline,
        *,
        once: bool,
    ) -> AnswerResult:
        """Send a call to one target, or to others where the first fails.

        :param once: never send it a second time, whatever happened
        """
        work = make_work(online, request)
        limit = 1 if once else online.spec.max_attempts
        tried: set[str] = set()
        failure = self._tries.check(work)
        for number in range(limit):
            if failure is not None and (
                failure.event in attempts.FINAL
                or not self._tries.allow(online.service, number)
            ):
                break
            picked = await self._tries.pick(work, tried, deadline)
            if isinstance(picked, result.Err):
                failure = attempts.last_failure(failure, picked.err_value)
                break
            tried.add(picked.ok_value.target.name)
            if number == 0:
                self._tries.allow(online.service, number)
            # A silent target leaves time for the others.
            time_limit = deadline.left / (limit - number)
            answered = await self._attempt(
                picked.ok_value, work, request, time_limit, once
            )
            if isinstance(answered, result.Ok):
                return answered
            failure = online_requests.combine(failure, answered.err_value)
            if deadline.left <= 0:
                failure = online_requests.deadline_exceeded(
                    online.service, failure.verdict
                )
        assert failure is not None  # noqa: S101
        return result.Err(failure)

    async def _attempt(
        self,
        slot: attempts.Slot,
        work: attempts.Work,
        request: service.ServiceCall,
        time_limit: float,
        once: bool,
    ) -> AnswerResult:
        target = slot.target
        with (
            slot.reserved,
            self._tries.run_at(slot, work) as run,
            self._spans.span(
                'target.call', work.online.headers, target=target.name
            ) as trace_headers,
        ):
            sent = request._replace(headers=request.headers | trace_headers)
            answered = await self._services.call(
                target, sent, time_limit, once
            )
            if isinstance(answered, result.Err):
                await self._tries.record_failure(run, answered.err_value)
                blamed = self._tries.check(work)
                return result.Err(blamed or answered.err_value)
            self._tries.record_success(run)
            return result.Ok(keys.Answer(*answered.ok_value))


def make_work(
    online: online_requests.OnlineRequest, request: service.ServiceCall
) -> attempts.Work:
    """Return what the attempts of a call are about."""
    call = f'{request.method} {request.path} {request.body!r}'
    digest = online_requests.content_digest(online.service, call)
    return attempts.Work(online, digest)
