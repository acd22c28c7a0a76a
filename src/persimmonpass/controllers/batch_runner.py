"""Runs batch items on one target that this host coordinates."""

import collections.abc
import contextlib
import typing
import uuid

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass.controllers import batch_chunk
from persimmonpass.controllers import batch_claims
from persimmonpass.controllers import config
from persimmonpass.controllers import preemption as preemption_controller
from persimmonpass.controllers import targets
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass import jobs
from persimmonpass import objects
from persimmonpass.policy import preemption
from persimmonpass.targets import engine
from persimmonpass import verdicts

TICK_SECONDS = 0.1
BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
LOST_TARGETS = 'lost_targets'

Outcome = result.Result[None, verdicts.Failure]


class _Running:
    """A batch stream."""

    def __init__(
        self, chunk: batch_chunk.Chunk, work: batch_chunk.Work
    ) -> None:
        self.chunk = chunk
        self.work = work
        self.scope = anyio.CancelScope()
        self.tokens = 0


class RunnerPorts(typing.NamedTuple):
    """What a runner works with.

    :ivar observed: called with the service and status of each result
    """

    board: blackboard.Blackboard
    engines: engine.EnginePort
    sent: in_flight.InFlight
    claims: batch_claims.Claims
    preemption: preemption_controller.Preemption
    observed: collections.abc.Callable[[str, str], None]


class Runner:
    """Runs batch items on one target."""

    def __init__(self, target: str, ports: RunnerPorts) -> None:
        self._name = target
        self._ports = ports
        self._running: dict[str, _Running] = {}
        self._is_alone = False
        self._is_lost = False
        self._retry_at = 0.0
        self._backoff = BACKOFF_SECONDS
        self._state = ports.preemption.start(target, self._preempt)

    async def run(
        self,
        coordinates: collections.abc.Callable[[str], bool],
        wait: collections.abc.Callable[[float], collections.abc.Awaitable],
    ) -> None:
        """Run items for as long as this host coordinates the target.

        :param coordinates: whether it still does
        :param wait: waits for new work, at most some seconds
        """
        try:
            async with anyio.create_task_group() as tasks:
                while coordinates(self._name):
                    self._state.adjust(
                        self._harm_percent(), anyio.current_time()
                    )
                    self._preempt()
                    self._fill(tasks)
                    await wait(TICK_SECONDS)
                self._cancel(list(self._running))
        finally:
            self._ports.preemption.stop(self._name)

    def _width(self) -> int:
        return self._state.width(
            anyio.current_time(),
            self._harm_percent(),
            self._ports.preemption.is_certain(),
        )

    def _harm_percent(self) -> float:
        """Return the lowest bound of the services on the target."""
        bounds = [
            spec.harm_percent
            for _, spec in _specs(self._ports.board, self._name)
        ]
        return min(bounds, default=0.0)

    def _preempt(self) -> None:
        """Cancel at once what runs beyond the allowed width."""
        width = self._width()
        if len(self._running) <= width:
            return
        streams = [
            preemption.Stream(
                attempt,
                running.tokens,
                self._ports.claims.left_seconds(running.chunk.job),
            )
            for attempt, running in self._running.items()
            if not running.scope.cancel_called
        ]
        cancelled = preemption.victims(streams, width)
        if cancelled:
            self._cancel(cancelled)
            events.log(
                events.BATCH_PREEMPTED,
                target=self._name,
                cancelled=len(cancelled),
                width=width,
            )

    def _cancel(self, attempts: list[str]) -> None:
        for attempt in attempts:
            self._running[attempt].scope.cancel()

    def _fill(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start items up to the allowed width."""
        target = self._ports.board.targets.get(self._name)
        if target is None or target.leaving or self._is_alone:
            return
        if anyio.current_time() < self._retry_at:
            return
        if self._is_lost:
            self._back_off()
            tasks.start_soon(self._probe, target)
            return
        specs = dict(_specs(self._ports.board, self._name))
        services = frozenset(specs)
        width = self._width()
        if self._running and self._ports.claims.wants_alone(services):
            return
        while len(self._running) < width and not self._is_alone:
            alone = not self._running
            found = self._ports.claims.next_work(services, alone=alone)
            if found is None:
                return
            chunk, work = found
            self._is_alone = bool(work.lost)
            attempt = uuid.uuid4().hex
            running = _Running(chunk, work)
            self._running[attempt] = running
            self._note_batch()
            spec = specs[chunk.job.service]
            tasks.start_soon(self._run_item, target, spec, attempt, running)

    def _note_batch(self) -> None:
        self._state.set_batch(len(self._running), anyio.current_time())

    async def _run_item(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        attempt: str,
        running: _Running,
    ) -> None:
        chunk, work = running.chunk, running.work
        outcome: Outcome | None = None
        chunk.scopes.add(running.scope)
        try:
            with (
                running.scope,
                self._ports.sent.track(self._ports.sent.batch, target.name),
            ):
                outcome = await self._stream(target, spec, attempt, running)
        finally:
            chunk.scopes.discard(running.scope)
            self._running.pop(attempt, None)
            self._is_alone = self._is_alone and not work.lost
            self._note_batch()
            if outcome is None:
                chunk.give_back(work)
        if outcome is not None and not chunk.is_closed:
            await self._settle(target, spec, chunk, work, outcome)

    async def _stream(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        attempt: str,
        running: _Running,
    ) -> Outcome:
        """Run an item from where its last attempt stopped."""
        work = running.work
        completion = engine.Completion(
            attempt,
            spec.model,
            spec.version,
            spec.adapter,
            work.item.prompt,
            work.item.max_tokens,
            work.text,
        )
        pieces = self._ports.engines.stream(target, completion, {})
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                if isinstance(piece, result.Err):
                    return piece
                work.text += piece.ok_value.text
                running.tokens += 1
                running.chunk.note_progress()
                if piece.ok_value.finish_reason is not None:
                    break
        return result.Ok(None)

    async def _settle(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        chunk: batch_chunk.Chunk,
        work: batch_chunk.Work,
        outcome: Outcome,
    ) -> None:
        """Keep the result of an attempt or queue the item again."""
        if isinstance(outcome, result.Ok):
            self._backoff = BACKOFF_SECONDS
            work.attempts += 1
            self._finish(chunk, work, jobs.ITEM_DONE, work.text)
            return
        failure = outcome.err_value
        self._back_off()
        if failure.verdict == verdicts.Verdict.NOT_RUN:
            chunk.give_back(work)
            return
        work.attempts += 1
        # A target that does not answer may have died of the item.
        report = await self._ports.engines.report(target)
        if isinstance(report, result.Err):
            self._is_lost = True
            work.lost += 1
        if work.lost >= batch_chunk.MAX_LOST_TARGETS:
            message = f'{work.lost} targets died on it'
            self._finish(chunk, work, jobs.ITEM_FAILED, message, LOST_TARGETS)
        elif work.attempts >= spec.max_attempts and not work.lost:
            cause = failure.event.name
            message = failure.message
            self._finish(chunk, work, jobs.ITEM_FAILED, message, cause)
        elif isinstance(report, result.Err):
            if await chunk.note_lost_target(work):
                chunk.give_back(work)
        else:
            chunk.note_attempt(work)
            chunk.give_back(work)

    async def _probe(self, target: blackboard.Target) -> None:
        """Give a lost target work again once it answers.

        A target that is about to end may still take a connection; an item
        would count that as a second loss.
        """
        report = await self._ports.engines.report(target)
        self._is_lost = isinstance(report, result.Err)

    def _finish(
        self,
        chunk: batch_chunk.Chunk,
        work: batch_chunk.Work,
        status: str,
        text: str,
        cause: str = '',
    ) -> None:
        chunk.finish(work, jobs.ItemResult(status, text, work.attempts, cause))
        self._ports.observed(chunk.job.service, status)

    def _back_off(self) -> None:
        """Leave a target that failed alone for a while."""
        now = anyio.current_time()
        if now < self._retry_at:
            return
        self._retry_at = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)


def _specs(
    board: blackboard.Blackboard, name: str
) -> list[tuple[str, objects.ServiceSpec]]:
    """Return the engine services that a target serves now."""
    found = []
    for item in config.live_objects(board, 'service'):
        spec = typing.cast(objects.ServiceSpec, item.spec)
        if spec.type == 'engine' and any(
            target.name == name
            for target in targets.find_matching(board, spec)
        ):
            found.append((item.name, spec))
    return found
