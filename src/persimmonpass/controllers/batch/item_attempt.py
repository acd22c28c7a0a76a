"""Runs one item of a batch job at one target.

An item that was interrupted resumes after the last event that this host has
of it.
"""

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import target_ends
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass.policy import backoff
from persimmonpass.policy import batch_scheduling
from persimmonpass.policy import refusals
from persimmonpass.policy import stream_versions
from persimmonpass import routes
from persimmonpass.targets import connections
from persimmonpass.targets import opaque
from persimmonpass import verdicts

ITEM_TIMEOUT_SECONDS = 60.0
EVENT_GAP_TIMEOUT_SECONDS = 1.0
# Doubles with each run in a row that had no event in time, so that items
# which take all targets longer are finished, too.
FIRST_EVENT_TIMEOUT_SECONDS = 2.0
MAX_FIRST_EVENT_TIMEOUT_SECONDS = 16.0
RETRY_SECONDS = 0.1
UNPROCESSABLE = 422
SERVER_ERROR = 500
SUCCESS = 200
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# A result must fit into a value of the store, which has a megabyte.
MAX_OUTPUT_BYTES = 900_000
# An item with a refused part stays owed; it looks this often whether the part
# may be tried.
REFUSED_PART_RETRY_SECONDS = 1.0


class LocalItem:
    """State on this host of an item whose result is not in the store.

    :ivar text: output so far
    :ivar failures: answers of status 500
    :ivar refusals: consecutive runs that targets refused
    :ivar errors_at: targets that answered it with an error, in order
    :ivar crashed_at: when a target probably crashed under it, without an
        answer since then, in seconds of the event loop's clock
    :ivar is_trial: whether its run is the trial of a refused part
    :ivar waits_for_event: whether a run is in progress that has no event yet
    :ivar broken_runs: consecutive runs that broke off without an event
    :ivar late_runs: consecutive runs that had no event in time
    :ivar not_before: when the item may run again, unless it pauses for
        crashes, in seconds of the event loop's clock
    :ivar waits_since: since when the item waits for a free slot at the
        software version that began it; ``None`` if it does not wait
    :ivar target: target at which the item takes up a slot
    :ivar scope: cancels the current run; ``None`` while the item does not run
    :ivar outcome: result that has to be stored
    :ivar done_at: when ``outcome`` was set
    :ivar route_missing_at: since when the item has no route; ``None`` if it
        has one
    """

    def __init__(self) -> None:
        self.text = item_text.ItemText()
        self.failures = 0
        self.refusals = 0
        self.errors_at: list[str] = []
        self.crashed_at: list[float] = []
        self.is_trial = False
        self.waits_for_event = False
        self.broken_runs = 0
        self.late_runs = 0
        self.not_before = 0.0
        self.waits_since: float | None = None
        self.target: str | None = None
        self.scope: anyio.CancelScope | None = None
        self.outcome: job_records.ItemResult | None = None
        self.done_at = 0.0
        self.route_missing_at: float | None = None

    @property
    def crashes(self) -> int:
        """Number of consecutive runs under which a target crashed."""
        return len(self.crashed_at)

    @property
    def is_suspect(self) -> bool:
        """Whether it may be what crashes targets."""
        return self.crashes >= batch_scheduling.MIN_SUSPECT_CRASHES

    @property
    def ready_at(self) -> float:
        """When it may run again, in seconds of the event loop's clock."""
        if not self.crashed_at:
            return self.not_before
        pause = batch_scheduling.suspect_pause(self.crashes)
        return max(self.not_before, self.crashed_at[-1] + pause)

    @property
    def first_event_timeout(self) -> float:
        """Time in which the next run must have an event, in seconds."""
        return backoff.doubled(
            FIRST_EVENT_TIMEOUT_SECONDS,
            self.late_runs + 1,
            MAX_FIRST_EVENT_TIMEOUT_SECONDS,
        )


class ItemAttempts:
    """Runs items at targets."""

    def __init__(
        self,
        host: str,
        targets: opaque.TargetClient,
        stats: target_stats.TargetStats,
        paths: target_paths.TargetPaths,
        crashes: crash_parts.CrashParts,
        metrics: gateway_metrics.GatewayMetrics,
        ends: target_ends.Ends | None = None,
    ) -> None:
        """Create the attempts of a host.

        :param ends: tells ends of targets from broken links
        """
        self._ends = ends or target_ends.AllEnd()
        self._host = host
        self._targets = targets
        self._crash_parts = crashes
        self._target_stats = stats
        self._target_paths = paths
        self._metrics = metrics

    async def run(
        self,
        key: tuple[str, int],
        item: LocalItem,
        job: job_records.Job,
        route: routes.Route,
        target: blackboard.Target,
        account: str | None = None,
    ) -> str:
        """Run an item at a target.

        Sets the item's outcome if the run gives it a result.

        :param key: id of the job and position of the item in it
        :param account: account of the job, empty for none; ``None`` if there
            are no accounts
        :returns: why the run ended without a result; empty if it gave one
        """
        job_item = job.items[key[1]]
        try:
            headers = encode_headers(job_item, account or '')
            call = exchange.Call(
                job_item.id,
                'POST',
                job.host,
                job_item.path.encode(),
                headers,
                job_item.content,
                prompt_parts=self._targets.read_prompt_parts(headers),
                account=account or '',
                has_accounts=account is not None,
                tokens=max(0, job_item.tokens),
            )
        except ValueError as error:
            # A job that another build accepted; no target can be sent it.
            self.finish(
                key,
                item,
                job_records.ItemResult(job_item.id, job_records.State.FAILED),
                f'item cannot be sent: {type(error).__name__}',
            )
            return ''
        if self._crash_parts.admit(call.prompt_parts):
            with self._crash_parts.recallable(call.prompt_parts) as recall:
                return await self._run(key, item, call, route, target, recall)
        item.not_before = anyio.current_time() + REFUSED_PART_RETRY_SECONDS
        return 'a part of the prompt crashes targets'

    async def _run(
        self,
        key: tuple[str, int],
        item: LocalItem,
        call: exchange.Call,
        route: routes.Route,
        target: blackboard.Target,
        recall: crash_parts.Recall,
    ) -> str:
        """Run an item; see :meth:`run`.

        :param recall: cancels the run while it has no event
        """
        events_before = len(item.text.texts)
        began = anyio.current_time()
        async with self._targets.open(
            call,
            target,
            ITEM_TIMEOUT_SECONDS,
            item.text.last_id,
            repeatable=True,
            head_seconds=item.first_event_timeout,
        ) as opened:
            if isinstance(opened, result.Err):
                verdict = opened.err_value.verdict
                recall.not_run = verdict is verdicts.Verdict.NOT_RUN
                return self._record_failure(
                    call, item, target, opened.err_value, events_before, began
                )
            return await self._take_answer(
                key, item, call, route, target, opened.ok_value, recall, began
            )

    async def _take_answer(
        self,
        key: tuple[str, int],
        item: LocalItem,
        call: exchange.Call,
        route: routes.Route,
        target: blackboard.Target,
        answer: opaque.Answer,
        recall: crash_parts.Recall,
        began: float,
    ) -> str:
        """Collect an answer whose head has arrived; see :meth:`run`.

        :param recall: cancels the run while it has no event
        :param began: local clock when the run was sent, in seconds
        """
        events_before = len(item.text.texts)
        head = answer.head
        if head.is_misdirected:
            self._target_stats.record_replaced(target.name)
            recall.not_run = True
            return 'another target has the address'
        if head.not_run:
            recall.not_run = True
            item.refusals += 1
            pause = refusals.item_pause(item.refusals)
            item.not_before = anyio.current_time() + pause
            self._target_stats.record_refusal(
                target.name, call.id, call.tokens
            )
            return 'refused'
        item.refusals = 0
        self._target_stats.record_answer(
            target.name, head.status, item.errors_at, call.tokens
        )
        if head.status == UNPROCESSABLE:
            self.finish(
                key,
                item,
                job_records.ItemResult(call.id, job_records.State.FAILED),
                'target reported that the item is invalid',
            )
            return ''
        if head.status != SUCCESS:
            return self._record_status(key, item, call.id, route, head.status)
        try:
            origin = stream_versions.Origin(target.service, target.software)
            await self._collect(call, item, answer, origin, recall)
        except exceptions.NotContinuedError as error:
            failure = verdicts.Failure(
                verdicts.Verdict.RAN,
                events.TARGET_FAILED,
                f'did not continue the text: {error}',
                BAD_GATEWAY,
            )
            return self._record_failure(
                call, item, target, failure, events_before, began
            )
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            failure = verdicts.Failure(
                verdicts.Verdict.MAY_HAVE_RUN,
                events.TARGET_FAILED,
                type(error).__name__,
                GATEWAY_TIMEOUT
                if isinstance(
                    error, TimeoutError | connections.RelayBrokenError
                )
                else BAD_GATEWAY,
            )
            return self._record_failure(
                call, item, target, failure, events_before, began
            )
        output = '\n'.join(item.text.texts)
        self.finish(
            key,
            item,
            job_records.ItemResult(
                call.id, job_records.State.COMPLETED, output
            ),
            '',
        )
        return ''

    async def _collect(
        self,
        call: exchange.Call,
        item: LocalItem,
        answer: opaque.Answer,
        origin: stream_versions.Origin,
        recall: crash_parts.Recall,
    ) -> None:
        """Append the events of an answer to an item's text.

        Events that a run repeats are skipped.

        :param origin: software of the target
        :raises NotContinuedError: if the answer is no stream, or if its first
            event does not follow the text
        :raises ValueError: if an event is missing or incomplete, or if the
            output is too long
        :raises TimeoutError: if the next event does not arrive in time
        """
        reader = exchange.EventReader(item.text.last_id)
        next_event_by = anyio.current_time() + item.first_event_timeout
        is_answered = False
        size = sum(len(text.encode()) for text in item.text.texts)
        while True:
            left = next_event_by - anyio.current_time()
            with anyio.fail_after(max(0.0, left)):
                chunk = await anext(answer.chunks, None)
            if chunk is None:
                break
            size += len(chunk)
            if size > MAX_OUTPUT_BYTES:
                item.text.restart()
                raise ValueError(
                    f'output too long: got {size} bytes, the limit is '
                    f'{MAX_OUTPUT_BYTES}'
                )
            found = reader.feed(chunk)
            if found:
                # Bytes without a whole event are no progress: a stalled
                # target may go on sending some.
                next_event_by = (
                    anyio.current_time() + EVENT_GAP_TIMEOUT_SECONDS
                )
            for event in found:
                if event.id is None and not answer.head.is_stream:
                    raise exceptions.NotContinuedError('not a stream')
                if event.id is not None and item.text.last_id is not None:
                    if event.id <= item.text.last_id:
                        continue
                    if event.id != item.text.last_id + 1:
                        raise ValueError(
                            f'expected event {item.text.last_id + 1},'
                            f' got event {event.id}'
                        )
                item.text.add(event.data.decode(), event.id, origin)
                if not is_answered:
                    is_answered = recall.is_answered = True
                    item.crashed_at.clear()
                    item.waits_for_event = False
                    self._crash_parts.record_answer(call.prompt_parts)
        if reader.has_partial_event:
            raise ValueError('answer ended within an event')
        if not is_answered and not answer.head.is_stream:
            raise exceptions.NotContinuedError('not a stream')
        if reader.waits_for_first and not answer.head.states_end:
            raise exceptions.NotContinuedError('no event and no stated end')

    def _record_failure(
        self,
        call: exchange.Call,
        item: LocalItem,
        target: blackboard.Target,
        failure: verdicts.Failure,
        events_before: int,
        began: float,
    ) -> str:
        not_run = failure.verdict is verdicts.Verdict.NOT_RUN
        self._target_stats.record_failure(
            target.name, failure.message, unreachable=not_run
        )
        pause = RETRY_SECONDS
        may_have_run = failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
        if may_have_run:
            self._target_paths.record_broken(target.name)
        if not not_run:
            has_answered = len(item.text.texts) > events_before
            is_crash = may_have_run and failure.status == BAD_GATEWAY
            if not has_answered and is_crash:
                self._record_crash(item, target.name)
                self._crash_parts.record_crash(
                    call.id,
                    target.name,
                    call.prompt_parts,
                    anyio.current_time() - began,
                )
            is_late = failure.status == GATEWAY_TIMEOUT
            item.broken_runs = 0 if has_answered else item.broken_runs + 1
            if has_answered:
                item.late_runs = 0
            elif is_late:
                item.late_runs += 1
            pause = batch_scheduling.retry_pause(item.broken_runs)
        item.not_before = anyio.current_time() + pause
        return failure.message

    def _record_crash(self, item: LocalItem, target: str) -> None:
        """Count a crash under an item, unless only its connection broke.

        It counts until that is known, as a target may be back before.

        :param target: name of the target
        """
        crashed_at = anyio.current_time()
        item.crashed_at.append(crashed_at)

        def decide(has_ended: bool) -> None:
            if not has_ended and crashed_at in item.crashed_at:
                item.crashed_at.remove(crashed_at)

        self._ends.confirm(target, decide)

    def _record_status(
        self,
        key: tuple[str, int],
        item: LocalItem,
        item_id: str,
        route: routes.Route,
        status: int,
    ) -> str:
        item.not_before = anyio.current_time() + RETRY_SECONDS
        if status == SERVER_ERROR:
            item.failures += 1
            if item.failures >= max(1, route.max_attempts):
                self.finish(
                    key,
                    item,
                    job_records.ItemResult(item_id, job_records.State.FAILED),
                    f'target answered {status} in {item.failures} attempts',
                )
                return ''
        return f'target answered {status}'

    def finish(
        self,
        key: tuple[str, int],
        item: LocalItem,
        outcome: job_records.ItemResult,
        cause: str,
    ) -> None:
        """Set and log the outcome of an item.

        :param key: id of the job and position of the item in it
        :param cause: why the item failed; empty for a completed one
        """
        item.outcome = outcome
        item.done_at = anyio.current_time()
        self._metrics.items.labels(outcome.state.value).inc()
        events.log(
            events.ITEM_FINISHED,
            host=self._host,
            job=key[0],
            item=outcome.item,
            state=outcome.state.value,
            cause=cause,
            events=len(item.text.texts),
        )


def encode_headers(
    item: job_records.Item, account: str, errors: str = 'strict'
) -> exchange.Headers:
    """Return the headers of an item as a request carries them.

    :param account: account of the job, which a header of the item names;
        empty for none
    :param errors: what becomes of characters that Latin-1 lacks, in other
        values than the account's name
    :raises ValueError: for such a character, unless ``errors`` says otherwise
    """
    return [
        (
            name.encode('latin-1', errors),
            exchange.encode_name(value)
            if account and value == account
            else value.encode('latin-1', errors),
        )
        for name, value in item.headers
    ]
