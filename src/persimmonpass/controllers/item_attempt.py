"""Runs one item of a batch job at one target."""

import anyio
import httpx
import result

from persimmonpass import blackboard
from persimmonpass.controllers import target_stats
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass import routes
from persimmonpass.targets import opaque
from persimmonpass import verdicts

ITEM_SECONDS = 60.0
STALL_SECONDS = 1.0
FIRST_EVENT_SECONDS = 2.0
RETRY_SECONDS = 0.1
FULL_RETRY_SECONDS = 0.3
# An item on which targets broke so often without an event is left alone for
# longer than the others: it may be what breaks them.
MAX_BREAKS = 3
BREAK_RETRY_SECONDS = 15.0
UNPROCESSABLE = 422
SERVER_ERROR = 500
SUCCESS = 200


class Item:
    """What this host knows of an item that is not done."""

    def __init__(self) -> None:
        self.text = item_text.ItemText()
        self.failures = 0
        self.breaks = 0
        self.not_before = 0.0
        self.target: str | None = None
        self.scope: anyio.CancelScope | None = None
        self.outcome: job_records.ItemResult | None = None
        self.done_at = 0.0
        self.route_missing_at: float | None = None


class Attempts:
    """Runs of items at targets."""

    def __init__(
        self,
        host: str,
        targets: opaque.TargetClient,
        stats: target_stats.TargetStats,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._host = host
        self._targets = targets
        self._target_stats = stats
        self._metrics = metrics

    async def run(
        self,
        key: tuple[str, int],
        item: Item,
        job: job_records.Job,
        route: routes.Route,
        target: blackboard.Target,
    ) -> str:
        """Run an item at a target.

        :param key: id of the job and number of the item
        :returns: why it ended without a result; empty if it has one
        """
        wanted = job.items[key[1]]
        call = exchange.Call(
            wanted.id,
            'POST',
            job.host,
            wanted.path.encode(),
            [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in wanted.headers
            ],
            wanted.content,
        )
        had = len(item.text.texts)
        async with self._targets.open(
            call,
            target,
            ITEM_SECONDS,
            item.text.last_id,
            repeatable=True,
            head_seconds=FIRST_EVENT_SECONDS,
        ) as opened:
            if isinstance(opened, result.Err):
                return self._failed(item, target, opened.err_value, had)
            answer = opened.ok_value
            head = answer.head
            if head.other_target:
                self._target_stats.record_replaced(target.name)
                return 'another target'
            if head.not_run:
                item.not_before = anyio.current_time() + FULL_RETRY_SECONDS
                self._target_stats.record_failure(target.name, 'refused')
                return 'refused'
            if head.status == UNPROCESSABLE:
                self.finish(
                    key,
                    item,
                    job_records.ItemResult(
                        wanted.id, job_records.State.FAILED
                    ),
                    'can not be done',
                )
                return ''
            if head.status != SUCCESS:
                return self._count_failure(
                    key, item, wanted.id, route, head.status
                )
            try:
                await self._collect(item, answer)
            except (httpx.HTTPError, TimeoutError, ValueError) as error:
                failure = verdicts.Failure(
                    verdicts.Verdict.MAY_HAVE_RUN,
                    events.TARGET_FAILED,
                    type(error).__name__,
                )
                return self._failed(item, target, failure, had)
        output = '\n'.join(item.text.texts)
        self.finish(
            key,
            item,
            job_records.ItemResult(
                wanted.id, job_records.State.COMPLETED, output
            ),
            '',
        )
        return ''

    async def _collect(self, item: Item, answer: opaque.Answer) -> None:
        """Add the events of an answer to an item's text.

        :raises ValueError: if an event is missing or cut
        """
        reader = exchange.EventReader()
        limit = FIRST_EVENT_SECONDS
        while True:
            with anyio.fail_after(limit):
                chunk = await anext(answer.chunks, None)
            limit = STALL_SECONDS
            if chunk is None:
                break
            for event in reader.feed(chunk):
                if event.id is not None and item.text.last_id is not None:
                    if event.id <= item.text.last_id:
                        continue
                    if event.id != item.text.last_id + 1:
                        raise ValueError('an event is missing')
                item.text.add(event.data.decode(), event.id)
        if reader.has_rest:
            raise ValueError('the last event is cut')

    def _failed(
        self,
        item: Item,
        target: blackboard.Target,
        failure: verdicts.Failure,
        had: int,
    ) -> str:
        not_run = failure.verdict is verdicts.Verdict.NOT_RUN
        self._target_stats.record_failure(
            target.name, failure.message, unreachable=not_run
        )
        pause = RETRY_SECONDS
        if not not_run:
            item.breaks = item.breaks + 1 if len(item.text.texts) == had else 0
            if item.breaks >= MAX_BREAKS:
                pause = BREAK_RETRY_SECONDS
        item.not_before = anyio.current_time() + pause
        return failure.message

    def _count_failure(
        self,
        key: tuple[str, int],
        item: Item,
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
                    f'failed {item.failures} times',
                )
                return ''
        return f'status {status}'

    def finish(
        self,
        key: tuple[str, int],
        item: Item,
        outcome: job_records.ItemResult,
        cause: str,
    ) -> None:
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
