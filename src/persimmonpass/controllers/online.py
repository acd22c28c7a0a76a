"""Runs online requests: routing, retries and one kept result each."""

import collections.abc
import contextlib
import random
import typing
import uuid

import anyio
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass.controllers import keys as key_controller
from persimmonpass.controllers import targets
from persimmonpass import events
from persimmonpass import keys
from persimmonpass import metrics
from persimmonpass import objects
from persimmonpass.policy import routing
from persimmonpass import sends
from persimmonpass.targets import engine
from persimmonpass.targets import service
from persimmonpass import tracing
from persimmonpass import verdicts

RECORD_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
JSON = 'application/json'


class OnlineRequest(typing.NamedTuple):
    """An online request that passed all checks.

    :ivar name: account and idempotency key
    :ivar fingerprint: digest of the body
    :ivar service: name of the service
    :ivar limit_seconds: time until it must be answered
    :ivar headers: headers with the trace context
    """

    name: key_controller.KeyName
    fingerprint: str
    service: str
    spec: objects.ServiceSpec
    limit_seconds: float
    headers: dict[str, str]


class CompletionRequest(typing.NamedTuple):
    """An online completion."""

    online: OnlineRequest
    prompt: str
    max_tokens: int


class Finished(typing.NamedTuple):
    """The end of a request.

    :ivar recorded: whether the answer is committed
    """

    answer: keys.Answer
    recorded: bool


Update = result.Result[engine.Piece | Finished, verdicts.Failure]
Updates = collections.abc.AsyncGenerator[Update, None]


class CompletionBody(typing.TypedDict):
    """Body of a finished completion."""

    id: str
    model: str
    choices: list[dict[str, typing.Any]]


class Online:
    """The online controller of one daemon."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        key_calls: key_controller.Keys,
        engines: engine.EnginePort,
        services: service.ServicePort,
        sent: sends.Sends,
        counters: metrics.Metrics,
        spans: tracing.Tracing,
        availability_zone: str,
    ) -> None:
        self._board = board
        self._keys = key_calls
        self._engines = engines
        self._services = services
        self._sent = sent
        self._counters = counters
        self._spans = spans
        self._zone = availability_zone

    async def complete(self, request: CompletionRequest) -> Updates:
        """Run a completion.

        :returns: pieces, then how it finished, or a failure
        """
        online = request.online
        attempt = uuid.uuid4().hex
        with self._spans.span('store.begin', online.headers):
            earlier = await self._begin(online, attempt, durable=False)
        if earlier is not None:
            yield earlier
            return
        text = ''
        finished = False
        try:
            async with contextlib.aclosing(
                self._attempts(request, attempt)
            ) as updates:
                async for update in updates:
                    yield update
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
        yield await self._record(online, attempt, answer)

    async def call(
        self, online: OnlineRequest, request: service.ServiceCall
    ) -> result.Result[Finished, verdicts.Failure]:
        """Pass a call on to a plain service.

        A call that is not idempotent is reserved first and sent once.
        """
        once = is_non_idempotent(online.spec, request)
        attempt = uuid.uuid4().hex
        earlier = await self._begin(online, attempt, durable=once)
        if earlier is not None:
            return typing.cast(
                result.Result[Finished, verdicts.Failure], earlier
            )
        limit = 1 if once else online.spec.max_attempts
        outcome = await self._call_targets(online, request, limit)
        if isinstance(outcome, result.Ok):
            return typing.cast(
                result.Result[Finished, verdicts.Failure],
                await self._record(online, attempt, outcome.ok_value),
            )
        failure = outcome.err_value
        if failure.verdict == verdicts.Verdict.NOT_RUN or not once:
            await self._keys.release(online.name, attempt, RECORD_SECONDS)
            return result.Err(failure)
        unknown = failure._replace(event=events.OUTCOME_UNKNOWN)
        return result.Err(unknown._replace(retry_after_seconds=None))

    async def _begin(
        self, online: OnlineRequest, attempt: str, *, durable: bool
    ) -> Update | None:
        """Start a request, or return what its key led to before."""
        started = anyio.current_time()
        while True:
            left = online.limit_seconds - (anyio.current_time() - started)
            begun = await self._keys.begin(
                online.name, online.fingerprint, attempt, durable, left
            )
            if isinstance(begun, result.Ok):
                if begun.ok_value['state'] == keys.STARTED:
                    return None
                if begun.ok_value['state'] == keys.RUNNING:
                    begun = await self._keys.look_up(online.name, left)
            if isinstance(begun, result.Err):
                return result.Err(begun.err_value)
            if begun.ok_value['state'] != keys.RELEASED:
                return _earlier(begun.ok_value)

    async def _attempts(
        self, request: CompletionRequest, attempt: str
    ) -> collections.abc.AsyncGenerator[engine.PieceResult, None]:
        """Try targets until one finishes the text."""
        online = request.online
        started = anyio.current_time()
        text = ''
        tried: set[str] = set()
        failure = no_target(online.service)
        for number in range(online.spec.max_attempts):
            left = online.limit_seconds - (anyio.current_time() - started)
            target = self._choose(online.spec, tried)
            if target is None or left <= 0:
                break
            if number:
                self._counters.retries.labels(online.service).inc()
            tried.add(target.name)
            completion = engine.Completion(
                f'{attempt}-{number}',
                online.spec.model,
                online.spec.version,
                online.spec.adapter,
                request.prompt,
                request.max_tokens,
                text,
            )
            stream = self._stream(target, completion, online.headers)
            with self._sent.track(self._sent.online, target.name):
                async with contextlib.aclosing(stream):
                    async for piece in stream:
                        if isinstance(piece, result.Err):
                            failure = piece.err_value
                            break
                        text += piece.ok_value.text
                        yield piece
                        if piece.ok_value.finish_reason is not None:
                            return
            events.log(
                events.REQUEST_RETRIED,
                target=target.name,
                message=failure.message,
            )
        yield result.Err(failure)

    async def _stream(
        self,
        target: blackboard.Target,
        completion: engine.Completion,
        headers: dict[str, str],
    ) -> collections.abc.AsyncGenerator[engine.PieceResult, None]:
        with self._spans.span(
            'target.complete', headers, target=target.name
        ) as onwards:
            pieces = self._engines.stream(target, completion, onwards)
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    yield piece

    async def _call_targets(
        self, online: OnlineRequest, request: service.ServiceCall, limit: int
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        tried: set[str] = set()
        failure = no_target(online.service)
        for _ in range(limit):
            target = self._choose(online.spec, tried)
            if target is None:
                break
            tried.add(target.name)
            with (
                self._sent.track(self._sent.online, target.name),
                self._spans.span(
                    'target.call', online.headers, target=target.name
                ) as onwards,
            ):
                sent = request._replace(headers=request.headers | onwards)
                answered = await self._services.call(
                    target, sent, online.limit_seconds
                )
            if isinstance(answered, result.Ok):
                return result.Ok(keys.Answer(*answered.ok_value))
            failure = answered.err_value
        return result.Err(failure)

    async def _record(
        self, online: OnlineRequest, attempt: str, answer: keys.Answer
    ) -> Update:
        with self._spans.span('store.finish', online.headers):
            kept = await self._keys.finish(
                online.name,
                online.fingerprint,
                attempt,
                answer,
                RECORD_SECONDS,
            )
        if isinstance(kept, result.Ok):
            return result.Ok(Finished(kept.ok_value, True))
        events.log(
            events.RESULT_UNRECORDED,
            key=online.name.key,
            message=kept.err_value.message,
        )
        return result.Ok(Finished(answer, False))

    def _choose(
        self, spec: objects.ServiceSpec, tried: set[str]
    ) -> blackboard.Target | None:
        candidates = []
        for target in targets.matching(self._board, spec):
            if target.name in tried:
                continue
            load = self._board.loads.get(target.name)
            reported = load.reported if load else 0
            work = max(reported, self._sent.at(target.name))
            candidates.append(
                routing.Candidate(target.name, target.availability_zone, work)
            )
        name = routing.choose(candidates, self._zone, random.randrange)
        return self._board.targets.get(name) if name else None


def is_non_idempotent(
    spec: objects.ServiceSpec, request: service.ServiceCall
) -> bool:
    """Return whether a service declares that a call may run only once."""
    call = f'{request.method} {request.path}'
    return any(call.startswith(prefix) for prefix in spec.non_idempotent)


def no_target(name: str) -> verdicts.Failure:
    """Return the failure of a request that no target can take now."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.NO_TARGET,
        f'no target can take a request of service {name!r} now',
        503,
        RETRY_AFTER_SECONDS,
    )


def _earlier(begun: keys.Begun) -> Update:
    """Answer a request whose key was used before."""
    answer = begun['answer']
    if answer is not None:
        return result.Ok(Finished(keys.Answer(*answer), begun['recorded']))
    if begun['state'] == keys.RUNNING:
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.MAY_HAVE_RUN,
                events.REQUEST_IN_PROGRESS,
                'a request with this key is in progress',
                409,
                RETRY_AFTER_SECONDS,
            )
        )
    return result.Err(
        verdicts.Failure(
            verdicts.Verdict.MAY_HAVE_RUN,
            events.OUTCOME_UNKNOWN,
            'a request with this key was sent and its outcome is unknown; '
            'it is not sent again',
            409,
        )
    )


def _completion_answer(request: CompletionRequest, text: str) -> keys.Answer:
    choice = {'index': 0, 'text': text, 'finish_reason': 'length'}
    body = CompletionBody(
        id=request.online.name.key,
        model=request.online.spec.model,
        choices=[choice],
    )
    return keys.Answer(200, JSON, msgspec.json.encode(body))
