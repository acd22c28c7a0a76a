"""Target choice, retry limits and failure tracking of online requests.

The controllers of completions and of service calls share this module.
"""

import collections.abc
import contextlib
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.online import online_requests
from persimmonpass.controllers.targets import health
from persimmonpass.controllers.targets import quarantine
from persimmonpass.controllers.targets import target_chooser
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass import metrics
from persimmonpass.policy import retry
from persimmonpass.targets import engine
from persimmonpass import verdicts

ISOLATION_POLL_SECONDS = 0.02
# Share of the time left for which a request that is suspected of crashing
# targets may wait until a target is reserved for it.
ISOLATION_WAIT_SHARE = 0.5

# Failures after which a request is not retried.
FINAL_EVENTS = (events.REQUEST_QUARANTINED, events.DEADLINE_EXCEEDED)

MarkLeaving = collections.abc.Callable[[str, str], None]


class RequestContext(typing.NamedTuple):
    """A request with the data that its attempts need.

    :ivar digest: digest of the service and the body; the same for all
        callers and idempotency keys
    :ivar blocks: hashes of the prompt's leading blocks
    :ivar size: characters of the prompt and tokens of the answer, which tell
        large requests from small ones; 0 if they are not known
    """

    online: online_requests.OnlineRequest
    digest: str
    blocks: target_chooser.Blocks = ()
    size: int = 0


class Slot(typing.NamedTuple):
    """A target for one attempt.

    :ivar reserved: context that reserves the target while it is open, if the
        request is suspected of crashing targets; otherwise it does nothing
    """

    target: blackboard.Target
    reserved: contextlib.AbstractContextManager[None]


SlotResult = result.Result[Slot, verdicts.Failure]


class Attempts:
    """Chooses targets, limits retries and records how attempts end."""

    def __init__(
        self,
        chooser: target_chooser.Chooser,
        target_health: health.Health,
        suspects: quarantine.Quarantine,
        sent: in_flight.InFlight,
        counters: metrics.Metrics,
        mark_leaving: MarkLeaving,
    ) -> None:
        self._chooser = chooser
        self._target_health = target_health
        self._suspects = suspects
        self._sent = sent
        self._counters = counters
        self._mark_leaving = mark_leaving
        self._budgets: dict[str, retry.RetryBudget] = {}

    def check(self, context: RequestContext) -> verdicts.Failure | None:
        """Return a failure if the body is quarantined, else ``None``."""
        if self._suspects.is_quarantined(context.digest):
            return online_requests.quarantined(context.online.service)
        return None

    def allow(self, service: str, number: int) -> bool:
        """Return whether an attempt may be sent now.

        A first attempt is always allowed and adds to the retry budget of the
        service. Each later attempt takes one retry from that budget.

        :param service: name of the service
        :param number: number of the attempt, 0 for the first one
        """
        budget = self._budgets.get(service, retry.RetryBudget())
        if number == 0:
            self._budgets[service] = retry.earn(budget)
            return True
        left = retry.spend(budget)
        if left is None:
            return False
        self._budgets[service] = left
        self._counters.retries.labels(service).inc()
        return True

    def count_left(
        self, context: RequestContext, tried: set[str], limit: int
    ) -> int:
        """Return how many further attempts have a target now.

        :param tried: names of the targets that were already tried
        :param limit: number of further attempts that are allowed
        """
        spec = context.online.spec
        return min(limit, self._chooser.count_usable(spec, tried))

    async def pick(
        self,
        context: RequestContext,
        tried: set[str],
        deadline: online_requests.Deadline,
    ) -> SlotResult:
        """Return a target for the next attempt.

        A request that is suspected of crashing targets waits for a target on
        which no other online request runs.

        :param tried: names of the targets that were already tried
        :returns: a failure if the deadline was reached, the body is
            quarantined or no target is available
        """
        online = context.online
        if deadline.left <= 0:
            failure = online_requests.deadline_exceeded(online.service)
            return result.Err(failure)
        if self._suspects.must_isolate(context.digest):
            return await self._pick_isolated(context, tried, deadline)
        target = self._chooser.choose(
            online.spec, tried, context.blocks, context.size
        )
        if target is None:
            return result.Err(online_requests.no_target(online.service))
        return result.Ok(Slot(target, contextlib.nullcontext()))

    @contextlib.contextmanager
    def track_attempt(
        self, slot: Slot, context: RequestContext
    ) -> collections.abc.Iterator[quarantine.Run]:
        """Count an attempt as running while the context is open."""
        target = slot.target
        self._chooser.record_sent(target.name, context.blocks)
        with (
            self._sent.track(self._sent.online, target.name),
            self._suspects.running(context.digest, target) as run,
        ):
            yield run

    def record_success(
        self, run: quarantine.Run, context: RequestContext
    ) -> None:
        """Record that an attempt succeeded."""
        self._target_health.record_success(run.target, context.size)
        self._suspects.record_finished(run.digest)

    async def record_failure(
        self,
        run: quarantine.Run,
        context: RequestContext,
        failure: verdicts.Failure,
    ) -> None:
        """Record that an attempt failed.

        A target that is leaving or a deadline that was reached says nothing
        about the health of the target, nor does a single refusal.
        """
        target = run.target
        events.log(
            events.TARGET_FAILED, target=target.name, message=failure.message
        )
        if failure.event == events.TARGET_LEAVING:
            self._mark_leaving(target.name, target.address)
            return
        if failure.event == events.DEADLINE_EXCEEDED:
            return
        if engine.is_refused(failure):
            self._target_health.record_refusal(
                target, context.digest, context.size
            )
            return
        refused = engine.is_unreachable(failure)
        self._target_health.record_failure(target, refused=refused)
        if refused:
            self._chooser.forget(target.name)
        elif failure.verdict != verdicts.Verdict.NOT_RUN:
            await self._suspects.record_broken_run(run)

    async def _pick_isolated(
        self,
        context: RequestContext,
        tried: set[str],
        deadline: online_requests.Deadline,
    ) -> SlotResult:
        """Reserve a target and wait until no online request runs there."""
        online = context.online
        min_left_seconds = deadline.left * (1 - ISOLATION_WAIT_SHARE)
        while deadline.left > min_left_seconds:
            if self._suspects.is_quarantined(context.digest):
                failure = online_requests.quarantined(online.service)
                return result.Err(failure)
            target = self._chooser.choose_for_suspect(online.spec, tried)
            if target is not None:
                reserved = self._suspects.reserve(target.name)
                with contextlib.ExitStack() as stack:
                    stack.enter_context(reserved)
                    if await self._wait_idle(
                        target, deadline, min_left_seconds
                    ):
                        return result.Ok(Slot(target, stack.pop_all()))
            await anyio.sleep(ISOLATION_POLL_SECONDS)
        return result.Err(online_requests.no_target(online.service))

    async def _wait_idle(
        self,
        target: blackboard.Target,
        deadline: online_requests.Deadline,
        min_left_seconds: float,
    ) -> bool:
        while self._sent.count_known_online(target.name):
            if deadline.left <= min_left_seconds:
                return False
            await anyio.sleep(ISOLATION_POLL_SECONDS)
        return True


def last_failure(
    earlier: verdicts.Failure | None, latest: verdicts.Failure
) -> verdicts.Failure:
    """Return the failure of a request that is not retried.

    The reason why the last attempt failed says more than the fact that no
    other target is left.
    """
    if earlier is not None and latest.event == events.NO_TARGET:
        return earlier
    return online_requests.combine(earlier, latest)
