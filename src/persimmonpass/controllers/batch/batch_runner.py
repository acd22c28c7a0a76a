"""Runs batch items on one target that this host coordinates.

The runner keeps as many batch streams running as the preemption controller
allows and cancels the excess as soon as online requests arrive.

``persimmonpassd`` uses this module; ``persimmonpass-gateway`` uses
:mod:`controllers.batch.item_runner`.
"""

import collections.abc
import contextlib
import typing
import uuid

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch_chunk
from persimmonpass.controllers.batch import batch_claims
from persimmonpass.controllers.batch import preemption as preemption_controller
from persimmonpass.controllers.fleet import config
from persimmonpass.controllers.targets import targets
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass import jobs
from persimmonpass import objects
from persimmonpass.policy import preemption
from persimmonpass.policy import refusals
from persimmonpass.targets import engine
from persimmonpass import verdicts

TICK_SECONDS = 0.1
BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
LOST_TARGETS = 'lost_targets'

Outcome = result.Result[None, verdicts.Failure]


class _RunningItem:
    """A batch item that runs on the target.

    :ivar tokens: number of pieces of text received in this attempt
    """

    def __init__(
        self, chunk: batch_chunk.Chunk, pending: batch_chunk.PendingItem
    ) -> None:
        self.chunk = chunk
        self.pending = pending
        self.scope = anyio.CancelScope()
        self.tokens = 0


class RunnerPorts(typing.NamedTuple):
    """Dependencies of a runner.

    :ivar board: targets and configuration as this host knows them
    :ivar engines: client of the model engines
    :ivar request_counts: counters of requests in progress
    :ivar claims: source of the items to run
    :ivar preemption: source of the number of batch streams allowed
    :ivar count_result: called with the service and status of each result
    """

    board: blackboard.Blackboard
    engines: engine.EnginePort
    request_counts: in_flight.InFlight
    claims: batch_claims.Claims
    preemption: preemption_controller.Preemption
    count_result: collections.abc.Callable[[str, str], None]


class Runner:
    """Runs batch items on one target."""

    def __init__(self, target: str, ports: RunnerPorts) -> None:
        self._name = target
        self._ports = ports
        self._running: dict[str, _RunningItem] = {}
        self._runs_suspect = False
        self._is_target_lost = False
        self._retry_at = 0.0
        self._backoff = BACKOFF_SECONDS
        self._refused: refusals.Table = {}
        self._state = ports.preemption.start(target, self._preempt)

    async def run(
        self,
        is_coordinator: collections.abc.Callable[[str], bool],
        wait: collections.abc.Callable[[float], collections.abc.Awaitable],
    ) -> None:
        """Run items for as long as this host coordinates the target.

        :param is_coordinator: returns whether this host still coordinates
            the target
        :param wait: waits for new items, at most for some seconds
        """
        try:
            async with anyio.create_task_group() as tasks:
                while is_coordinator(self._name):
                    self._state.adjust(
                        self._harm_percent(), anyio.current_time()
                    )
                    self._preempt()
                    self._start_items(tasks)
                    await wait(TICK_SECONDS)
                self._cancel(list(self._running))
        finally:
            self._ports.preemption.stop(self._name)

    def _width(self) -> int:
        """Return the number of batch streams that may run now."""
        return self._state.width(
            anyio.current_time(),
            self._harm_percent(),
            self._ports.preemption.is_fully_connected(),
        )

    def _harm_percent(self) -> float:
        """Return the lowest ``harm_percent`` of the services on the target.

        It is 0 if the target serves none.
        """
        bounds = [
            spec.harm_percent
            for _, spec in _engine_specs(self._ports.board, self._name)
        ]
        return min(bounds, default=0.0)

    def _preempt(self) -> None:
        """Cancel the batch streams that exceed the allowed width."""
        width = self._width()
        if len(self._running) <= width:
            return
        streams = [
            preemption.Stream(
                attempt,
                running.tokens,
                self._ports.claims.seconds_until_due(running.chunk.job),
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

    def _start_items(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start items up to the allowed width.

        A suspect runs alone, so no item is started while one runs, nor while
        one waits for the running items to end.
        """
        target = self._ports.board.targets.get(self._name)
        if target is None or target.leaving or self._runs_suspect:
            return
        if anyio.current_time() < self._retry_at:
            return
        if self._is_target_lost:
            self._back_off()
            tasks.start_soon(self._probe, target)
            return
        specs = dict(_engine_specs(self._ports.board, self._name))
        services = frozenset(specs)
        width = self._width()
        if self._running and self._ports.claims.has_suspects(services):
            return
        while len(self._running) < width and not self._runs_suspect:
            allow_suspects = not self._running
            found = self._ports.claims.next_item(
                services,
                allow_suspects=allow_suspects,
                below=refusals.smallest_blocked(
                    self._refused, anyio.current_time()
                ),
            )
            if found is None:
                return
            chunk, pending = found
            self._runs_suspect = bool(pending.lost)
            attempt = uuid.uuid4().hex
            running = _RunningItem(chunk, pending)
            self._running[attempt] = running
            self._update_running_count()
            spec = specs[chunk.job.service]
            tasks.start_soon(self._run_item, target, spec, attempt, running)

    def _update_running_count(self) -> None:
        self._state.set_batch_streams(len(self._running), anyio.current_time())

    async def _run_item(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        attempt: str,
        running: _RunningItem,
    ) -> None:
        chunk, pending = running.chunk, running.pending
        outcome: Outcome | None = None
        chunk.scopes.add(running.scope)
        try:
            with (
                running.scope,
                self._ports.request_counts.track(
                    self._ports.request_counts.batch, target.name
                ),
            ):
                outcome = await self._stream(target, spec, attempt, running)
        finally:
            chunk.scopes.discard(running.scope)
            self._running.pop(attempt, None)
            self._runs_suspect = self._runs_suspect and not pending.lost
            self._update_running_count()
            if outcome is None:
                chunk.enqueue(pending)
        if outcome is not None and not chunk.is_closed:
            await self._handle_outcome(target, spec, running, outcome)

    async def _stream(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        attempt: str,
        running: _RunningItem,
    ) -> Outcome:
        """Run an item, continuing the text of its earlier attempts."""
        pending = running.pending
        completion = engine.Completion(
            attempt,
            spec.model,
            spec.version,
            spec.adapter,
            pending.item.prompt,
            pending.item.max_tokens,
            pending.text,
        )
        pieces = self._ports.engines.stream(target, completion, {})
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                if isinstance(piece, result.Err):
                    return piece
                pending.text += piece.ok_value.text
                running.tokens += 1
                running.chunk.record_progress()
                if piece.ok_value.finish_reason is not None:
                    break
        return result.Ok(None)

    async def _handle_outcome(
        self,
        target: blackboard.Target,
        spec: objects.ServiceSpec,
        running: _RunningItem,
        outcome: Outcome,
    ) -> None:
        """Record the outcome of an attempt or queue the item again."""
        chunk, pending = running.chunk, running.pending
        if isinstance(outcome, result.Err) and engine.is_refused(
            outcome.err_value
        ):
            self._rest(chunk, pending)
            return
        pending.refusals = 0
        if isinstance(outcome, result.Ok) or running.tokens:
            self._refused = refusals.without_taken(self._refused, pending.size)
        if isinstance(outcome, result.Ok):
            self._backoff = BACKOFF_SECONDS
            pending.attempts += 1
            self._finish(chunk, pending, jobs.ITEM_DONE, pending.text)
            return
        failure = outcome.err_value
        self._back_off()
        if failure.verdict == verdicts.Verdict.NOT_RUN:
            chunk.enqueue(pending)
            return
        report = await self._ports.engines.report(target)
        is_lost = isinstance(report, result.Err)
        if is_lost:
            self._is_target_lost = True
            if running.tokens:
                # An item that crashes targets does so again where it resumes.
                # One that got on is sound, and its text grows each time.
                chunk.enqueue(pending)
                return
            pending.lost += 1
        pending.attempts += 1
        if pending.lost >= batch_chunk.MAX_LOST_TARGETS:
            message = f'{pending.lost} targets died on it'
            self._finish(
                chunk, pending, jobs.ITEM_FAILED, message, LOST_TARGETS
            )
        elif pending.attempts >= spec.max_attempts and not pending.lost:
            cause = failure.event.name
            message = failure.message
            self._finish(chunk, pending, jobs.ITEM_FAILED, message, cause)
        elif is_lost:
            if await chunk.commit_lost_target(pending):
                chunk.enqueue(pending)
        else:
            chunk.record_failed_attempt(pending)
            chunk.enqueue(pending)

    def _rest(
        self, chunk: batch_chunk.Chunk, pending: batch_chunk.PendingItem
    ) -> None:
        """Let a refused item wait, and not the others at once."""
        pending.refusals += 1
        self._refused = refusals.with_refusal(
            self._refused,
            f'{chunk.key}/{pending.item.id}',
            pending.size,
            anyio.current_time(),
        )
        chunk.rest(pending, refusals.item_pause(pending.refusals))

    async def _probe(self, target: blackboard.Target) -> None:
        """Mark a lost target as usable once it answers a report call.

        A target that is about to exit may still accept a connection. An item
        sent to it would count that as a second lost target.
        """
        report = await self._ports.engines.report(target)
        self._is_target_lost = isinstance(report, result.Err)

    def _finish(
        self,
        chunk: batch_chunk.Chunk,
        pending: batch_chunk.PendingItem,
        status: str,
        text: str,
        cause: str = '',
    ) -> None:
        chunk.add_result(
            pending, jobs.ItemResult(status, text, pending.attempts, cause)
        )
        self._ports.count_result(chunk.job.service, status)

    def _back_off(self) -> None:
        """Pause before the next item runs on a target that failed.

        The pause doubles with each failure up to ``MAX_BACKOFF_SECONDS``.
        """
        now = anyio.current_time()
        if now < self._retry_at:
            return
        self._retry_at = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)


def _engine_specs(
    board: blackboard.Blackboard, name: str
) -> list[tuple[str, objects.ServiceSpec]]:
    """Return the engine services of a target by name, with their specs."""
    found = []
    for item in config.live_objects(board, 'service'):
        spec = typing.cast(objects.ServiceSpec, item.spec)
        if spec.type == 'engine' and any(
            target.name == name
            for target in targets.find_matching(board, spec)
        ):
            found.append((item.name, spec))
    return found
