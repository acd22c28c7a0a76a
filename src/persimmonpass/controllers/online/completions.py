"""Streams completions from engines.

If an engine fails, the completion is resumed at another one.
"""

import collections.abc
import contextlib

import anyio
import result

from persimmonpass.controllers.online import attempts
from persimmonpass.controllers.online import online_requests
from persimmonpass.controllers.targets import quarantine
from persimmonpass import events
from persimmonpass.policy import prefixes
from persimmonpass.targets import engine
from persimmonpass import tracing
from persimmonpass import verdicts

# If an engine has sent nothing for this long, a request for its load report
# checks whether it is alive.
FIRST_CHECK_SECONDS = 1.0
CHECK_SECONDS = 0.3

Pieces = collections.abc.AsyncGenerator[engine.PieceResult, None]


class Completions:
    """The controller of completions."""

    def __init__(
        self,
        attempt_controller: attempts.Attempts,
        engines: engine.EnginePort,
        spans: tracing.Tracing,
    ) -> None:
        self._attempts = attempt_controller
        self._engines = engines
        self._spans = spans

    def check(
        self, request: online_requests.CompletionRequest
    ) -> verdicts.Failure | None:
        """Return a failure if the prompt is quarantined, else ``None``."""
        return self._attempts.check(make_context(request))

    async def stream(
        self,
        request: online_requests.CompletionRequest,
        attempt: str,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        """Run a completion.

        A stream that breaks is resumed at another engine with the text that
        was received so far.

        :param attempt: id of the attempt; each target gets its own id,
            which is derived from this one
        :returns: pieces up to one with a finish reason, or up to a failure
        """
        context = make_context(request)
        online = request.online
        text = ''
        tried: set[str] = set()
        failure: verdicts.Failure | None = self._attempts.check(context)
        number = 0
        while failure is None or self._should_retry(online, failure, number):
            picked = await self._attempts.pick(context, tried, deadline)
            if isinstance(picked, result.Err):
                failure = attempts.last_failure(failure, picked.err_value)
                break
            slot = picked.ok_value
            tried.add(slot.target.name)
            if number == 0:
                self._attempts.allow(online.service, number)
            completion = _make_completion(request, attempt, number, text)
            number += 1
            pieces = self._attempt(slot, context, completion, deadline)
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    if isinstance(piece, result.Err):
                        failure = online_requests.combine(
                            failure, piece.err_value
                        )
                        break
                    text += piece.ok_value.text
                    yield piece
                    if piece.ok_value.finish_reason is not None:
                        return
        yield result.Err(failure)

    def _should_retry(
        self,
        online: online_requests.OnlineRequest,
        failure: verdicts.Failure,
        number: int,
    ) -> bool:
        """Return whether to retry a failed request, and log it if so."""
        if failure.event in attempts.FINAL_EVENTS:
            return False
        if number >= online.spec.max_attempts:
            return False
        if not self._attempts.allow(online.service, number):
            return False
        events.log(
            events.REQUEST_RETRIED,
            key=online.name.key,
            message=failure.message,
        )
        return True

    async def _attempt(
        self,
        slot: attempts.Slot,
        context: attempts.RequestContext,
        completion: engine.Completion,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        target = slot.target
        with (
            slot.reserved,
            self._attempts.track_attempt(slot, context) as run,
            self._spans.span(
                'target.complete', context.online.headers, target=target.name
            ) as trace_headers,
        ):
            pieces = self._limit_time(
                self._engines.stream(target, completion, trace_headers),
                run,
                deadline,
            )
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    if isinstance(piece, result.Err):
                        await self._attempts.record_failure(
                            run, context, piece.err_value
                        )
                        yield self._final_failure(context, piece.err_value)
                        return
                    run.has_output = True
                    if piece.ok_value.finish_reason is not None:
                        self._attempts.record_success(run, context)
                    yield piece

    def _final_failure(
        self, context: attempts.RequestContext, failure: verdicts.Failure
    ) -> engine.PieceResult:
        """Return the failure; if the body is quarantined, one that says so."""
        return result.Err(self._attempts.check(context) or failure)

    async def _limit_time(
        self,
        pieces: Pieces,
        run: quarantine.Run,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        """Pass pieces on until the deadline.

        The engine client ends a stream that makes no progress, so that a
        stream with output needs a time limit only near the deadline.
        """
        failure = online_requests.deadline_exceeded(
            run.target.name, verdicts.Verdict.MAY_HAVE_RUN
        )
        async with contextlib.aclosing(pieces):
            while True:
                piece = None
                if not run.has_output:
                    with anyio.move_on_after(deadline.left) as scope:
                        piece = await self._read_first(pieces, run)
                elif deadline.left > engine.PROGRESS_TIMEOUT_SECONDS:
                    piece = await anext(pieces, None)
                else:
                    with anyio.move_on_after(deadline.left) as scope:
                        piece = await anext(pieces, None)
                if piece is None:
                    break
                yield piece
                if isinstance(piece, result.Err):
                    return
        if scope.cancelled_caught:
            yield result.Err(failure)

    async def _read_first(
        self, pieces: Pieces, run: quarantine.Run
    ) -> engine.PieceResult | None:
        """Return the first piece, or a failure if the engine is unresponsive.

        A busy engine may take long to send its first piece. The engine is
        therefore unresponsive only if a request for its load report, on a
        new connection, gets no answer either.
        """
        failure = engine.target_failed(
            run.target,
            verdicts.Verdict.MAY_HAVE_RUN,
            'no output and no load report',
        )
        piece: engine.PieceResult | None = result.Err(failure)

        async def check() -> None:
            await anyio.sleep(FIRST_CHECK_SECONDS)
            with anyio.move_on_after(CHECK_SECONDS):
                reported = await self._engines.report(run.target)
                if reported.is_ok():
                    return
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(check)
            piece = await anext(pieces, None)
            tasks.cancel_scope.cancel()
        return piece


def make_context(
    request: online_requests.CompletionRequest,
) -> attempts.RequestContext:
    """Return the context of a completion for its attempts."""
    online = request.online
    return attempts.RequestContext(
        online,
        online_requests.content_digest(online.service, request.prompt),
        prefixes.hash_blocks(request.prompt),
        len(request.prompt) + request.max_tokens,
    )


def _make_completion(
    request: online_requests.CompletionRequest,
    attempt: str,
    number: int,
    text: str,
) -> engine.Completion:
    spec = request.online.spec
    return engine.Completion(
        f'{attempt}-{number}',
        spec.model,
        spec.version,
        spec.adapter,
        request.prompt,
        request.max_tokens,
        text,
    )
