"""Reverse proxy for the online requests of routes.

It sends each request to a target and passes the answer back to the caller. If
a target fails, the request is sent to another one where that is allowed.
"""

import enum
import math
import typing

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass.controllers.accounts import requests
from persimmonpass.controllers.fleet import catalog
from persimmonpass.controllers.fleet import drain
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.online import stream_origins
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import crash_watch
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass.policy import backoff
from persimmonpass.policy import queueing
from persimmonpass.policy import refusals
from persimmonpass.policy import stream_versions
from persimmonpass import request_state
from persimmonpass import routes
from persimmonpass.targets import connections
from persimmonpass.targets import opaque
from persimmonpass import tracing
from persimmonpass import transports
from persimmonpass import verdicts

NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_SERVER_ERROR = 500
# A repeatable request without an event after this time is sent to another
# target, if there is one. It is several times what a free target takes.
FIRST_EVENT_SECONDS = 0.4
# A request at the only target looks this often whether there is another one.
OTHER_TARGET_POLL_SECONDS = 0.05
# Share of a long objective that may pass until then. Another target can still
# meet the objective in the rest.
FIRST_EVENT_SHARE = 0.5
# Share of the allowed pause between events after which a stalled stream is
# resumed at another target, so that its next event can still be on time.
STALL_SHARE = 0.55
MIN_STALL_SECONDS = 0.1
# Refusals by targets that one request may get. A refusal costs nothing, since
# the target did not run the request.
MAX_REFUSALS = 6
NO_CONFIG_RETRY_SECONDS = 0.5
UNKNOWN_ORIGIN_RETRY_SECONDS = 0.5
# A request that crashes targets will not succeed soon; a long delay keeps
# callers from retrying it.
QUARANTINE_RETRY_SECONDS = 30.0
# Length of an answer without events, and of all those that a host collects at
# the same time, together with incomplete events. The smallest hosts have
# 128 MB of memory.
MAX_BODY_BYTES = 4_194_304
MAX_COLLECTED_BYTES = 16_777_216


class _End(enum.Enum):
    """How a send to a target ended."""

    FINISHED = 'finished'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    REFUSED = 'refused'


class RouteProxyPorts(typing.NamedTuple):
    """Dependencies of :class:`RouteProxy`.

    :ivar cancelled_at_stop: returns a scope that is cancelled when this host
        ends the requests in progress, because it stops
    """

    board: blackboard.Blackboard
    queue: admission_queue.AdmissionQueue
    target_occupancy: occupancy.Occupancy
    target_stats: target_stats.TargetStats
    target_paths: target_paths.TargetPaths
    targets: opaque.TargetClient
    crashes: crash_watch.CrashWatch
    crash_parts: crash_parts.CrashParts
    origins: stream_origins.StreamOrigins
    metrics: gateway_metrics.GatewayMetrics
    spans: tracing.Tracing
    accounts: requests.AccountRequests
    cancelled_at_stop: drain.CancelledAtEnd


class RouteProxy:
    """The proxy for the online requests of all routes."""

    def __init__(self, host: str, ports: RouteProxyPorts) -> None:
        self._host = host
        self._ports = ports
        self._collected = transports.Collected(MAX_COLLECTED_BYTES)

    def configuration(self) -> routes.Configuration | None:
        """Return the current configuration, ``None`` if there is none yet."""
        return self._ports.board.routes.get(catalog.ROUTES_KEY)

    async def serve(
        self,
        call: exchange.Call,
        route: routes.Route,
        caller: exchange.CallerPort,
    ) -> None:
        """Answer a request.

        :param call: the request
        :param route: route that it matched
        :param caller: connection that takes the answer
        :raises BrokenAnswerError: if an answer that has begun cannot be
            finished; the connection must be closed
        """
        request = request_state.RequestState(
            call, route, caller, anyio.current_time()
        )
        outcome = 'abandoned'
        try:
            with self._ports.spans.span(
                'request', request=call.id, route=route.name
            ):
                with self._ports.cancelled_at_stop(call.id) as scope:
                    outcome = await self._serve(request)
                if scope.cancelled_caught:
                    outcome = 'abandoned'
                    outcome = await self._end_at_stop(request)
        except exceptions.CallerStalledError:
            events.log(
                events.CALLER_STALLED,
                host=self._host,
                key=request.call.id,
                after=request.last_id,
            )
            raise
        finally:
            self._ports.accounts.settle(request)
            # The end of its answer ends a request, also before it has cleaned
            # up.
            if request.is_answered:
                outcome = 'answered'
            self._record_outcome(request, outcome)

    async def _serve(self, request: request_state.RequestState) -> str:
        if self._ports.crashes.is_quarantined(
            request.call.fingerprint
        ) or self._ports.crash_parts.is_refused(request.call.prompt_parts):
            await _refuse(request, UNAVAILABLE, QUARANTINE_RETRY_SECONDS)
            return 'quarantined'
        if request.call.resume_after is not None:
            if not await self._find_origin(request):
                return await self._send_failure(request)
        request.failure = await self._ports.accounts.admit(request)
        if request.failure is not None:
            await _refuse(
                request,
                TOO_MANY_REQUESTS,
                request.failure.retry_after_seconds,
            )
            return 'refused'
        while request.can_run_again and request.remaining_seconds > 0:
            admitted = await self._acquire_slot(request)
            if isinstance(admitted, result.Err):
                request.failure = request.failure or admitted.err_value
                if not request.runs:
                    request.failure = admitted.err_value
                break
            target = admitted.ok_value
            self._ports.accounts.begin_send(request)
            try:
                with self._ports.spans.inner_span(
                    'target.send', target=target.name
                ):
                    end = await self._send(request, target)
            finally:
                self._ports.target_occupancy.add_online(target.name, -1)
                self._ports.accounts.end_send(request)
            if end is _End.FINISHED:
                return 'answered'
            request.may_run = False
            if end is _End.REFUSED:
                break
            if end is _End.BROKEN:
                request.runs += 1
            elif request.refusals > MAX_REFUSALS:
                break
            elif request.pause_seconds:
                # A refused request holds no slot while it waits.
                left = max(0.0, request.remaining_seconds)
                await anyio.sleep(min(request.pause_seconds, left))
                request.pause_seconds = 0.0
        return await self._send_failure(request)

    async def _end_at_stop(self, request: request_state.RequestState) -> str:
        """Answer a request that was cancelled because this host stops.

        :returns: the outcome
        :raises BrokenAnswerError: if the caller has part of an answer
        """
        if request.may_run:
            request.runs += 1
            request.may_run = False
        request.failure = verdicts.Failure(
            verdicts.Verdict.MAY_HAVE_RUN
            if request.runs
            else verdicts.Verdict.NOT_RUN,
            events.REQUEST_TURNED_AWAY,
            'the host stops',
            UNAVAILABLE,
            0.0,
        )
        return await self._send_failure(request)

    async def _acquire_slot(
        self, request: request_state.RequestState
    ) -> result.Result[blackboard.Target, verdicts.Failure]:
        """Wait for a slot at a target of the request's service."""
        return await self._ports.queue.acquire_slot(
            request.services,
            queueing.QueuedRequest(
                self._ports.accounts.priority(request),
                request.started_at,
                queueing.placement_deadline(
                    request.started_at,
                    request.route.objective_seconds,
                    self._ports.target_stats.first_event_seconds,
                ),
                request.started,
                request.call.account,
                request.route.objective_seconds,
                request.call.tokens,
            ),
            request.answer_deadline,
            request.excluded,
            request.origin.software if request.origin else None,
        )

    async def _find_origin(self, request: request_state.RequestState) -> bool:
        """Set the software at which a resumed stream has to go on.

        :returns: whether it is known and the route still allows its service
        """
        origin = await self._ports.origins.find(
            request.call.resumes, request.route
        )
        allowed = {share.service for share in request.route.shares}
        if origin is None or origin.service not in allowed:
            request.failure = stream_origins.unknown_origin(
                UNKNOWN_ORIGIN_RETRY_SECONDS
            )
            return False
        request.origin = origin
        return True

    async def _send(
        self, request: request_state.RequestState, target: blackboard.Target
    ) -> _End:
        """Send a request to a target, unless its prompt crashes targets."""
        parts = request.call.prompt_parts
        if not self._ports.crash_parts.admit(parts):
            request.failure = _refused_part()
            return _End.REFUSED
        with self._ports.crash_parts.recallable(parts) as recall:
            end = await self._send_recallable(request, target, recall)
            recall.not_run = end is _End.NOT_RUN
            return end
        # It was recalled, and may have run.
        request.failure = _refused_part()
        return _End.BROKEN

    async def _send_recallable(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        recall: crash_parts.Recall,
    ) -> _End:
        """Send a request to a target and pass the answer to the caller.

        :param recall: cancels the run while it has no event
        """
        counts = self._ports.target_occupancy.counts_at(target.name)
        events.log(
            events.REQUEST_SENT,
            host=self._host,
            key=request.call.id,
            target=target.name,
            version=target.software_version,
            resumes=request.call.resumes,
            online=counts.online,
            batch=counts.batch,
            pace=round(self._ports.target_stats.slowdown(target.name), 2),
            after=request.last_id,
            waited_ms=round(
                1000 * (anyio.current_time() - request.started_at), 1
            ),
        )
        self._ports.metrics.sends.labels(request.route.kind.value).inc()
        request.sent_at = anyio.current_time()
        may_repeat = (
            request.route.repeatable
            and request.runs + 1 < request.route.max_attempts
        )
        if may_repeat and not self._has_other_target(request, target):
            return await self._run_while_alone(request, target, recall)
        return await self._run(request, target, may_repeat, recall)

    async def _run_while_alone(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        recall: crash_parts.Recall,
    ) -> _End:
        """Run a request at the only target, until there is another one.

        If its next event is late then, it goes on at the other target.
        """
        end: _End | None = None
        error: Exception | None = None

        async def watch() -> None:
            while True:
                left = request.event_due_at - anyio.current_time()
                await anyio.sleep(max(OTHER_TARGET_POLL_SECONDS, left))
                is_late = anyio.current_time() >= request.event_due_at
                if is_late and request.is_waiting:
                    if self._has_other_target(request, target):
                        tasks.cancel_scope.cancel()
                        return

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            try:
                end = await self._run(request, target, False, recall)
            except Exception as raised:
                # The group would raise it within a group of exceptions.
                error = raised
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if end is not None:
            return end
        return self._handle_failure(
            request, target, _incomplete_answer(target, TimeoutError())
        )

    async def _run(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        can_resend: bool,
        recall: crash_parts.Recall,
    ) -> _End:
        """Send a request and pass the answer on; see :meth:`_send`.

        :param can_resend: whether another target may answer instead
        """
        request.is_waiting = True
        request.event_due_at = request.sent_at + _first_event_timeout(request)
        async with self._ports.targets.open(
            request.call,
            target,
            request.remaining_seconds,
            request.last_id,
            repeatable=request.route.repeatable,
            head_seconds=min(
                request.remaining_seconds,
                _first_event_timeout(request) if can_resend else 1e9,
            ),
        ) as opened:
            if isinstance(opened, result.Err):
                return self._handle_failure(request, target, opened.err_value)
            return await self._pass_answer(
                request, target, opened.ok_value, can_resend, recall
            )

    def _has_other_target(
        self, request: request_state.RequestState, target: blackboard.Target
    ) -> bool:
        """Return whether another target may answer instead of this one."""
        return self._ports.queue.has_other_target(
            request.services,
            target.name,
            request.origin.software if request.origin else None,
            request.call.tokens,
        )

    async def _pass_answer(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        answer: opaque.Answer,
        can_resend: bool,
        recall: crash_parts.Recall,
    ) -> _End:
        """Pass an answer whose head has arrived to the caller.

        :param can_resend: whether another target may answer instead
        :param recall: cancels the run while it has no event
        """
        head = answer.head
        if head.is_misdirected:
            self._ports.target_stats.record_replaced(target.name)
            request.excluded.append(target.name)
            request.refusals += 1
            return _End.NOT_RUN
        if head.not_run:
            return self._handle_refusal(request, target, head)
        self._ports.target_stats.record_answer(
            target.name,
            head.status,
            request.errors_at,
            request.call.tokens,
        )
        if head.status >= MIN_SERVER_ERROR and can_resend:
            # The target ran the request, but the request is repeatable.
            # The answer of another target is used instead.
            return self._handle_failure(
                request, target, _server_error(target, head.status)
            )
        if request.started and not head.is_stream:
            return self._handle_failure(
                request,
                target,
                _no_continuation(target, f'status {head.status}'),
            )
        try:
            if head.is_stream:
                await self._forward_events(
                    request, target, answer, can_resend, recall
                )
            else:
                await self._forward_body(request, answer, recall)
        except exceptions.NotContinuedError as error:
            return self._handle_failure(
                request, target, _no_continuation(target, str(error))
            )
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            return self._handle_failure(
                request, target, _incomplete_answer(target, error)
            )
        if head.status < MIN_SERVER_ERROR:
            seconds = anyio.current_time() - request.sent_at
            self._ports.target_stats.record_completion(target.name, seconds)
        return _End.FINISHED

    async def _forward_events(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        answer: opaque.Answer,
        can_resend: bool,
        recall: crash_parts.Recall,
    ) -> None:
        reader = exchange.EventReader(request.last_id)
        try:
            await self._forward_from(
                reader, request, target, answer, can_resend, recall
            )
        finally:
            self._collected.remove(reader.partial_bytes)

    async def _forward_from(
        self,
        reader: exchange.EventReader,
        request: request_state.RequestState,
        target: blackboard.Target,
        answer: opaque.Answer,
        can_resend: bool,
        recall: crash_parts.Recall,
    ) -> None:
        """Forward events; an incomplete one counts as collected.

        :param reader: splits the answer into events
        """
        route = request.route
        stall_seconds = _patience(request) * max(
            MIN_STALL_SECONDS, STALL_SHARE * route.gap_seconds
        )
        first = True
        while True:
            until = (
                min(request.event_due_at, request.deadline)
                if can_resend
                else (request.deadline)
            )
            request.is_waiting = True
            with anyio.fail_after(max(0.0, until - anyio.current_time())):
                chunk = await anext(answer.chunks, None)
            request.is_waiting = False
            if chunk is None:
                break
            partial = reader.partial_bytes
            found = reader.feed(chunk)
            self._collected.add(reader.partial_bytes - partial)
            for event in found:
                if first:
                    first = False
                    recall.is_answered = True
                    self._record_answer(request)
                    self._ports.target_stats.record_first_event(
                        target.name, anyio.current_time() - request.sent_at
                    )
                await self._forward_event(request, target, answer.head, event)
            if found:
                # Bytes without a whole event are no progress: a stalled
                # target may go on sending some.
                request.event_due_at = anyio.current_time() + stall_seconds
        if reader.has_partial_event:
            raise ValueError('the stream ended within an event')
        if reader.waits_for_first and not answer.head.states_end:
            raise exceptions.NotContinuedError('no event and no stated end')
        if not request.started:
            await self._start(request, answer.head)
        await request.caller.send(b'', False)
        request.is_answered = True

    async def _forward_event(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        head: exchange.ResponseHead,
        event: exchange.Event,
    ) -> None:
        if event.id is not None and request.last_id is not None:
            if event.id <= request.last_id:
                return
        now = anyio.current_time()
        if request.last_event_at is not None:
            self._ports.metrics.between_events.labels(
                request.route.kind.value
            ).observe(now - request.last_event_at)
        request.last_event_at = now
        if request.origin is None:
            request.origin = stream_versions.Origin(
                target.service, target.software
            )
            self._ports.origins.record(request.call.id, request.origin)
        if not request.started:
            await self._start(request, head)
            seconds = anyio.current_time() - request.started_at
            request.first_event_seconds = seconds
            self._ports.metrics.first_event.labels(
                request.route.kind.value
            ).observe(seconds)
        await request.caller.send(event.raw, True)
        if not event.is_comment:
            request.last_id = event.id

    async def _forward_body(
        self,
        request: request_state.RequestState,
        answer: opaque.Answer,
        recall: crash_parts.Recall,
    ) -> None:
        """Pass an answer to the caller once all of it has arrived.

        :raises ValueError: if this host would collect too many bytes
        """
        body = bytearray()
        try:
            with anyio.fail_after(max(0.0, request.remaining_seconds)):
                async for chunk in answer.chunks:
                    body += chunk
                    self._collected.add(len(chunk))
                    if len(body) > MAX_BODY_BYTES:
                        raise ValueError(
                            f'body too long: got {len(body)} bytes, the limit '
                            f'is {MAX_BODY_BYTES}'
                        )
        finally:
            self._collected.remove(len(body))
        request.is_waiting = False
        recall.is_answered = True
        self._record_answer(request)
        request.started = True
        await request.caller.start(
            answer.head.status,
            [
                *answer.head.headers,
                (b'content-length', str(len(body)).encode()),
            ],
        )
        await request.caller.send(bytes(body), False)
        request.is_answered = True

    def _record_answer(self, request: request_state.RequestState) -> None:
        """Record that neither a request nor its prompt crashed a target."""
        if self._ports.crashes.has_crashes:
            self._ports.crashes.record_answer(request.call.fingerprint)
        self._ports.crash_parts.record_answer(request.call.prompt_parts)

    async def _start(
        self, request: request_state.RequestState, head: exchange.ResponseHead
    ) -> None:
        request.started = True
        await request.caller.start(head.status, head.headers)

    def _handle_refusal(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        head: exchange.ResponseHead,
    ) -> _End:
        """Handle an answer saying that the target did not run the request."""
        request.refusals += 1
        request.may_run = False
        request.refused_by.append(target.name)
        request.pause_seconds = refusals.request_pause(
            request.refused_by.count(target.name)
        )
        if target.name in request.excluded:
            request.excluded.remove(target.name)
        request.excluded.append(target.name)
        self._ports.target_stats.record_refusal(
            target.name, request.call.id, request.call.tokens
        )
        events.log(
            events.REQUEST_RETRIED,
            host=self._host,
            key=request.call.id,
            target=target.name,
            status=head.status,
            cause='the target reported that it did not run the request',
        )
        return _End.NOT_RUN

    def _handle_failure(
        self,
        request: request_state.RequestState,
        target: blackboard.Target,
        failure: verdicts.Failure,
    ) -> _End:
        not_run = failure.verdict is verdicts.Verdict.NOT_RUN
        self._ports.target_stats.record_failure(
            target.name, failure.message, unreachable=not_run
        )
        # Another way to the target may have been found.
        if not not_run or not self._ports.target_paths.is_reachable(
            target.name
        ):
            request.excluded.append(target.name)
        if failure.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._ports.target_paths.record_broken(target.name)
        if not not_run:
            request.failure = failure
            is_crash = (
                failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
                and failure.status == BAD_GATEWAY
            )
            if is_crash and not request.started:
                self._ports.crashes.record_crash(
                    request.call.fingerprint, target.name
                )
                self._ports.crash_parts.record_crash(
                    request.call.id,
                    target.name,
                    request.call.prompt_parts,
                    anyio.current_time() - request.sent_at,
                )
        events.log(
            events.REQUEST_RESUMED
            if request.started
            else events.REQUEST_RETRIED,
            host=self._host,
            key=request.call.id,
            target=target.name,
            verdict=failure.verdict.value,
            cause=failure.message,
            after=request.last_id,
            runs=request.runs,
        )
        return _End.NOT_RUN if not_run else _End.BROKEN

    async def _send_failure(self, request: request_state.RequestState) -> str:
        """Send the final answer of a request that no target has served.

        :raises BrokenAnswerError: if the caller has part of an answer
        """
        if request.started:
            events.log(
                events.REQUEST_BROKEN,
                host=self._host,
                key=request.call.id,
                after=request.last_id,
                runs=request.runs,
                left_ms=round(1000 * request.remaining_seconds),
            )
            raise exceptions.BrokenAnswerError
        failure = request.failure
        if request.runs:
            status = (
                GATEWAY_TIMEOUT
                if request.remaining_seconds <= 0
                else BAD_GATEWAY
            )
            await _refuse(request, status)
            return 'failed'
        retry_after = 0.5
        if failure is not None and failure.retry_after_seconds is not None:
            retry_after = failure.retry_after_seconds
        await _refuse(request, UNAVAILABLE, retry_after)
        return 'refused'

    def _record_outcome(
        self, request: request_state.RequestState, outcome: str
    ) -> None:
        self._ports.metrics.requests.labels(
            request.route.kind.value, outcome
        ).inc()
        event = {
            'refused': events.REQUEST_REFUSED,
            'abandoned': events.REQUEST_ABANDONED,
        }.get(outcome, events.REQUEST_FINISHED)
        failure = request.failure
        cause = ''
        if outcome == 'refused':
            cause = failure.message if failure else 'no time left'
            self._ports.metrics.refusals.labels(cause).inc()
        if request.call.account:
            self._ports.metrics.count_account(
                request.call.account, outcome, cause
            )
        events.log(
            event,
            host=self._host,
            key=request.call.id,
            route=request.route.name,
            outcome=outcome,
            runs=request.runs,
            refusals=request.refusals,
            first_ms=(
                None
                if request.first_event_seconds is None
                else round(1000 * request.first_event_seconds, 1)
            ),
            ms=round(1000 * (anyio.current_time() - request.started_at), 1),
            cause=failure.message if failure else '',
            **self._ports.accounts.fields(request),
            **(failure.details if failure else {}),
        )


async def _refuse(
    request: request_state.RequestState,
    status: int,
    retry_after_seconds: float | None = None,
) -> None:
    """Send the final answer of a request that has none yet."""
    request.started = True
    await exchange.refuse(request.caller, status, retry_after_seconds)


def _patience(request: request_state.RequestState) -> float:
    """Return by which factor the time limits of a run are longer.

    They double with each run. If all targets are slow, a run gets to its end
    before the attempts are used up.
    """
    return backoff.doubled(1.0, request.runs + 1, math.inf)


def _first_event_timeout(request: request_state.RequestState) -> float:
    """Return after which time a run without an event goes elsewhere."""
    usual = max(
        FIRST_EVENT_SECONDS,
        FIRST_EVENT_SHARE * request.route.objective_seconds,
    )
    return _patience(request) * usual


def _server_error(target: blackboard.Target, status: int) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.RAN,
        events.TARGET_FAILED,
        f'target {target.name} answered with status {status}',
        BAD_GATEWAY,
    )


def _no_continuation(
    target: blackboard.Target, detail: str
) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.RAN,
        events.TARGET_FAILED,
        f'target {target.name} did not continue a stream: {detail}',
        BAD_GATEWAY,
    )


def _refused_part() -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.PART_REFUSED,
        'a part of the prompt crashes targets',
        UNAVAILABLE,
        QUARANTINE_RETRY_SECONDS,
    )


def _incomplete_answer(
    target: blackboard.Target, error: Exception
) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.TARGET_FAILED,
        f'incomplete answer of target {target.name}: {type(error).__name__}',
        GATEWAY_TIMEOUT
        if isinstance(error, TimeoutError | connections.RelayBrokenError)
        else BAD_GATEWAY,
    )
