"""The controller of online requests.

It applies limits, commits one answer per idempotency key and returns the
final answer of each request.
"""

import contextlib
import typing
import uuid

import anyio
import msgspec
import result

from persimmonpass.controllers.online import admission
from persimmonpass.controllers.online import calls
from persimmonpass.controllers.online import completions
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online_requests
from persimmonpass import events
from persimmonpass import keys
from persimmonpass.targets import service
from persimmonpass import tracing
from persimmonpass import verdicts

RECORD_SECONDS = 2.0
ABANDON_SECONDS = 0.5
JSON = 'application/json'


class CompletionBody(typing.TypedDict):
    """Body of a finished completion."""

    id: str
    object: str
    model: str
    choices: list[dict[str, typing.Any]]


class Online:
    """The online controller of one daemon."""

    def __init__(
        self,
        key_calls: key_controller.Keys,
        limits: admission.Admission,
        completion_controller: completions.Completions,
        call_controller: calls.Calls,
        spans: tracing.Tracing,
    ) -> None:
        self._keys = key_calls
        self._limits = limits
        self._completions = completion_controller
        self._calls = call_controller
        self._spans = spans

    async def complete(
        self, request: online_requests.CompletionRequest
    ) -> online_requests.Updates:
        """Run a completion.

        :returns: pieces, followed by the finished answer or a failure
        """
        quarantined = self._completions.check(request)
        if quarantined is not None:
            yield result.Err(quarantined)
            return
        deadline = online_requests.Deadline(request.online.limit_seconds)
        admitted = await self._limits.acquire(request.online, deadline)
        if isinstance(admitted, result.Err):
            yield admitted
            return
        answered = False
        try:
            async with contextlib.aclosing(
                self._complete(request, deadline)
            ) as updates:
                async for update in updates:
                    answered = isinstance(update, result.Ok)
                    yield update
        finally:
            self._limits.release(admitted.ok_value, answered=answered)

    async def call(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
    ) -> online_requests.FinishedResult:
        """Send a call to a plain service.

        If the call is not idempotent, a reservation is committed first and
        the call is sent only once.
        """
        quarantined = self._calls.check(online, request)
        if quarantined is not None:
            return result.Err(quarantined)
        deadline = online_requests.Deadline(online.limit_seconds)
        admitted = await self._limits.acquire(online, deadline)
        if isinstance(admitted, result.Err):
            return admitted
        answered = False
        try:
            outcome = await self._call(online, request, deadline)
            answered = outcome.is_ok()
            return outcome
        finally:
            self._limits.release(admitted.ok_value, answered=answered)

    async def _complete(
        self,
        request: online_requests.CompletionRequest,
        deadline: online_requests.Deadline,
    ) -> online_requests.Updates:
        online = request.online
        attempt = uuid.uuid4().hex
        earlier = await self._begin(online, attempt, deadline, durable=False)
        if earlier is not None:
            yield typing.cast(online_requests.Update, earlier)
            return
        text = ''
        finished = False
        try:
            async with contextlib.aclosing(
                self._completions.stream(request, attempt, deadline)
            ) as updates:
                async for update in updates:
                    yield typing.cast(online_requests.Update, update)
                    if isinstance(update, result.Err):
                        return
                    text += update.ok_value.text
            finished = True
        finally:
            if not finished:
                with anyio.CancelScope(shield=True):
                    await self._keys.release(
                        online.name, attempt, RECORD_SECONDS
                    )
        answer = _completion_answer(request, text)
        committed = await self._record(online, attempt, answer)
        yield typing.cast(online_requests.Update, committed)

    async def _call(
        self,
        online: online_requests.OnlineRequest,
        request: service.ServiceCall,
        deadline: online_requests.Deadline,
    ) -> online_requests.FinishedResult:
        once = online_requests.is_non_idempotent(online.spec, request)
        attempt = uuid.uuid4().hex
        earlier = await self._begin(online, attempt, deadline, durable=once)
        if earlier is not None:
            return earlier
        outcome = await self._calls.send(online, request, deadline, once=once)
        if isinstance(outcome, result.Ok):
            return await self._record(online, attempt, outcome.ok_value)
        failure = outcome.err_value
        if failure.verdict == verdicts.Verdict.NOT_RUN or not once:
            await self._keys.release(online.name, attempt, RECORD_SECONDS)
            return result.Err(failure)
        with anyio.move_on_after(ABANDON_SECONDS):
            await self._keys.abandon(online.name, attempt)
        if failure.event == events.REQUEST_QUARANTINED:
            return result.Err(failure)
        unknown = failure._replace(event=events.OUTCOME_UNKNOWN)
        return result.Err(unknown._replace(retry_after_seconds=None))

    async def _begin(
        self,
        online: online_requests.OnlineRequest,
        attempt: str,
        deadline: online_requests.Deadline,
        *,
        durable: bool,
    ) -> online_requests.FinishedResult | None:
        """Start a request, or return the result of an earlier one.

        :returns: ``None`` if the request was started
        """
        with self._spans.span('keys.begin', online.headers):
            while True:
                begun = await self._keys.begin(
                    online.name,
                    online.fingerprint,
                    attempt,
                    durable,
                    deadline.left,
                )
                if isinstance(begun, result.Ok):
                    if begun.ok_value['state'] == keys.STARTED:
                        return None
                    if begun.ok_value['state'] == keys.RUNNING:
                        begun = await self._keys.look_up(
                            online.name, deadline.left
                        )
                if isinstance(begun, result.Err):
                    return result.Err(begun.err_value)
                if begun.ok_value['state'] != keys.RELEASED:
                    return online_requests.find_earlier(begun.ok_value)

    async def _record(
        self,
        online: online_requests.OnlineRequest,
        attempt: str,
        answer: keys.Answer,
    ) -> online_requests.FinishedResult:
        with self._spans.span('keys.finish', online.headers):
            committed = await self._keys.finish(
                online.name,
                online.fingerprint,
                attempt,
                answer,
                RECORD_SECONDS,
            )
        if isinstance(committed, result.Ok):
            events.log(
                events.REQUEST_FINISHED,
                key=online.name.key,
                service=online.service,
                status=committed.ok_value.status,
            )
            finished = online_requests.Finished(committed.ok_value, True)
            return result.Ok(finished)
        events.log(
            events.RESULT_UNRECORDED,
            key=online.name.key,
            message=committed.err_value.message,
        )
        return result.Ok(online_requests.Finished(answer, False))


def _completion_answer(
    request: online_requests.CompletionRequest, text: str
) -> keys.Answer:
    choice = {'index': 0, 'text': text, 'finish_reason': 'length'}
    body = CompletionBody(
        id=request.online.name.key,
        object='text_completion',
        model=request.online.spec.model,
        choices=[choice],
    )
    return keys.Answer(200, JSON, msgspec.json.encode(body))
