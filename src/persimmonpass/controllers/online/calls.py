"""Sends calls to plain services, with retries at other targets."""

import result

from persimmonpass.controllers.online import attempts
from persimmonpass.controllers.online import online_requests
from persimmonpass import keys
from persimmonpass.targets import service
from persimmonpass import tracing
from persimmonpass import verdicts

AnswerResult = result.Result[keys.Answer, verdicts.Failure]


class Calls:
    """The controller of calls to plain services."""

    def __init__(
        self,
        attempt_controller: attempts.Attempts,
        services: service.ServicePort,
        spans: tracing.Tracing,
    ) -> None:
        self._attempts = attempt_controller
        self._services = services
        self._spans = spans

    def check(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
    ) -> verdicts.Failure | None:
        """Return a failure if the call is quarantined, else ``None``."""
        return self._attempts.check(make_context(online, request))

    async def send(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
        deadline: online_requests.Deadline,
        *,
        once: bool,
    ) -> AnswerResult:
        """Send a call to a target, and to others if that one fails.

        :param once: whether the call must not be sent a second time, even
            if the first attempt failed
        :returns: the answer, or the failure of the last attempt with the
            most severe verdict of all attempts
        """
        context = make_context(online, request)
        limit = 1 if once else online.spec.max_attempts
        tried: set[str] = set()
        failure = self._attempts.check(context)
        for number in range(limit):
            if failure is not None and (
                failure.event in attempts.FINAL_EVENTS
                or not self._attempts.allow(online.service, number)
            ):
                break
            picked = await self._attempts.pick(context, tried, deadline)
            if isinstance(picked, result.Err):
                failure = attempts.last_failure(failure, picked.err_value)
                break
            tried.add(picked.ok_value.target.name)
            if number == 0:
                self._attempts.allow(online.service, number)
            # Each attempt that has a target gets an equal share of the time
            # left, so that a target that does not answer leaves time for the
            # others.
            others = self._attempts.count_left(
                context, tried, limit - number - 1
            )
            time_limit = deadline.left / (1 + others)
            answered = await self._attempt(
                picked.ok_value, context, request, time_limit, once
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
        context: attempts.RequestContext,
        request: service.ServiceCall,
        time_limit: float,
        once: bool,
    ) -> AnswerResult:
        target = slot.target
        with (
            slot.reserved,
            self._attempts.track_attempt(slot, context) as run,
            self._spans.span(
                'target.call', context.online.headers, target=target.name
            ) as trace_headers,
        ):
            sent = request._replace(headers=request.headers | trace_headers)
            answered = await self._services.call(
                target, sent, time_limit, once
            )
            if isinstance(answered, result.Err):
                await self._attempts.record_failure(
                    run, context, answered.err_value
                )
                quarantined = self._attempts.check(context)
                return result.Err(quarantined or answered.err_value)
            self._attempts.record_success(run, context)
            return result.Ok(keys.Answer(*answered.ok_value))


def make_context(
    online: online_requests.OnlineRequest, request: service.ServiceCall
) -> attempts.RequestContext:
    """Return the context of a call for its attempts."""
    call = f'{request.method} {request.path} {request.body!r}'
    digest = online_requests.content_digest(online.service, call)
    return attempts.RequestContext(online, digest)
