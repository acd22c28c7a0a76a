"""Streams a completion from engines, from the next one where one fails."""

import collections.abc
import contextlib

import anyio
import result

from persimmonpass.controllers import attempts
from persimmonpass.controllers import online_requests
from persimmonpass.controllers import quarantine
from persimmonpass import events
from persimmonpass.policy import prefixes
from persimmonpass.targets import engine
from persimmonpass import tracing
from persimmonpass import verdicts

# An engine that has not begun by then is asked whether it is alive.
FIRST_CHECK_SECONDS = 1.0
CHECK_SECONDS = 0.3

Pieces = collections.abc.AsyncGenerator[engine.PieceResult, None]


class Completions:
    """Runs completions at engines."""

    def __init__(
        self,
        tries: attempts.Attempts,
        engines: engine.EnginePort,
        spans: tracing.Tracing,
    ) -> None:
        self._tries = tries
        self._engines = engines
        self._spans = spans

    def check(
        self, request: online_requests.CompletionRequest
    ) -> verdicts.Failure | None:
        """Return the failure of a completion that must not run again."""
        return self._tries.check(make_work(request))

    async def stream(
        self,
        request: online_requests.CompletionRequest,
        attempt: str,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        """Run a completion.

        A stream that breaks goes on at another engine with the text so far.

        :param attempt: id of the attempt; each target gets one of its own
        :returns: pieces up to one with a finish reason, or a failure
        """
        work = make_work(request)
        online = request.online
        text = ''
        tried: set[str] = set()
        failure: verdicts.Failure | None = self._tries.check(work)
        number = 0
        while failure is None or self._goes_on(online, failure, number):
            picked = await self._tries.pick(work, tried, deadline)
            if isinstance(picked, result.Err):
                failure = attempts.last_failure(failure, picked.err_value)
                break
            slot = picked.ok_value
            tried.add(slot.target.name)
            if number == 0:
                self._tries.allow(online.service, number)
            completion = _make_completion(request, attempt, number, text)
            number += 1
            pieces = self._attempt(slot, work, completion, deadline)
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

    def _goes_on(
        self,
        online: online_requests.OnlineRequest,
        failure: verdicts.Failure,
        number: int,
    ) -> bool:
        """Return whether a failed request is tried again."""
        if failure.event in attempts.FINAL:
            return False
        if number >= online.spec.max_attempts:
            return False
        if not self._tries.allow(online.service, number):
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
        work: attempts.Work,
        completion: engine.Completion,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        target = slot.target
        with (
            slot.reserved,
            self._tries.run_at(slot, work) as run,
            self._spans.span(
                'target.complete', work.online.headers, target=target.name
            ) as trace_headers,
        ):
            pieces = self._limit(
                self._engines.stream(target, completion, trace_headers),
                run,
                deadline,
            )
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    if isinstance(piece, result.Err):
                        await self._tries.record_failure(run, piece.err_value)
                        yield self._blame(work, piece.err_value)
                        return
                    run.has_output = True
                    if piece.ok_value.finish_reason is not None:
                        self._tries.record_success(run)
                    yield piece

    def _blame(
        self, work: attempts.Work, failure: verdicts.Failure
    ) -> engine.PieceResult:
        """Return the failure, or that the body is now quarantined."""
        return result.Err(self._tries.check(work) or failure)

    async def _limit(
        self,
        pieces: Pieces,
        run: quarantine.Run,
        deadline: online_requests.Deadline,
    ) -> Pieces:
        """Give a stream up that is out of time.

        The engines' client sees to it that a silent stream ends, so that a
        time limit is needed only near the deadline.
        """
        failure = online_requests.deadline_exceeded(
            run.target.name, verdicts.Verdict.MAY_HAVE_RUN
        )
        async with contextlib.aclosing(pieces):
            while True:
                piece = None
                if not run.has_output:
                    with anyio.move_on_after(deadline.left) as scope:
                        piece = await self._first(pieces, run)
                elif deadline.left > engine.PROGRESS_SECONDS:
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

    async def _first(
        self, pieces: Pieces, run: quarantine.Run
    ) -> engine.PieceResult | None:
        """Return a first piece, or a failure if the engine is silent.

        A busy engine may take long to begin, so that silence counts only
        where a new connection is silent too.
        """
        failure = engine.target_failed(
            run.target, verdicts.Verdict.MAY_HAVE_RUN, 'silent'
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


def make_work(
    request: online_requests.CompletionRequest,
) -> attempts.Work:
    """Return what the attempts of a completion are about."""
    online = request.online
    return attempts.Work(
        online,
        online_requests.content_digest(online.service, request.prompt),
        prefixes.hash_blocks(request.prompt),
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
