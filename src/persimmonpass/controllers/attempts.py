"""What the attempts of all online requests have in common."""

import collections.abc
import contextlib
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers import health
from persimmonpass.controllers import online_requests
from persimmonpass.controllers import quarantine
from persimmonpass.controllers import target_chooser
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass import metrics
from persimmonpass.policy import retry
from persimmonpass.targets import engine
from persimmonpass import verdicts

ALONE_POLL_SECONDS = 0.02
# Share of the time left that a suspect may wait for a target of its own.
ALONE_WAIT_SHARE = 0.5

# Failures after which a request is not tried again.
FINAL = (events.REQUEST_QUARANTINED, events.DEADLINE_EXCEEDED)

MarkLeaving = collections.abc.Callable[[str, str], None]


class Work(typing.NamedTuple):
    """What an attempt is about.

    :ivar digest: names the body across callers and keys
    :ivar blocks: hashes of the prompt's leading blocks
    """

    online: online_requests.OnlineRequest
    digest: str
    blocks: target_chooser.Blocks = ()


class Slot(typing.NamedTuple):
    """A target for one attempt.

    :ivar reserved: context that keeps the target for a suspect
    """

    target: blackboard.Target
    reserved: contextlib.AbstractContextManager[None]


SlotResult = result.Result[Slot, verdicts.Failure]


class Attempts:
    """Chooses targets, allows retries and learns from failures."""

    def __init__(
        self,
        chooser: target_chooser.Chooser,
        healths: health.Health,
        suspects: quarantine.Quarantine,
        sent: in_flight.InFlight,
        counters: metrics.Metrics,
        mark_leaving: MarkLeaving,
    ) -> None:
        self._chooser = chooser
        self._healths = healths
        self._suspects = suspects
        self._sent = sent
        self._counters = counters
        self._mark_leaving = mark_leaving
        self._budgets: dict[str, retry.RetryBudget] = {}

    def check(self, work: Work) -> verdicts.Failure | None:
        """Return the failure of a body that must not run again."""
        if self._suspects.is_quarantined(work.digest):
            return online_requests.quarantined(work.online.service)
        return None

    def allow(self, service: str, number: int) -> bool:
        """Return whether an attempt may be sent now.

        :param number: 0 for a request's first attempt, which earns a share
            of a retry
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

    async def pick(
        self,
        work: Work,
        tried: set[str],
        deadline: online_requests.Deadline,
    ) -> SlotResult:
        """Return a target; a suspect waits for one of its own."""
        online = work.online
        if deadline.left <= 0:
            failure = online_requests.deadline_exceeded(online.service)
            return result.Err(failure)
        if self._suspects.must_isolate(work.digest):
            return await self._pick_alone(work, tried, deadline)
        target = self._chooser.choose(online.spec, tried, work.blocks)
        if target is None:
            return result.Err(online_requests.no_target(online.service))
        return result.Ok(Slot(target, contextlib.nullcontext()))

    @contextlib.contextmanager
    def run_at(
        self, slot: Slot, work: Work
    ) -> collections.abc.Iterator[quarantine.Run]:
        """Count an attempt while the context is open."""
        target = slot.target
        self._chooser.record_sent(target.name, work.blocks)
        with (
            self._sent.track(self._sent.online, target.name),
            self._suspects.running(work.digest, target) as run,
        ):
            yield run

    def record_success(self, run: quarantine.Run) -> None:
        """Learn from an attempt that ended well."""
        self._healths.record_success(run.target)
        self._suspects.record_finished(run.digest)

    async def record_failure(
        self, run: quarantine.Run, failure: verdicts.Failure
    ) -> None:
        """Learn from an attempt that failed."""
        target = run.target
        events.log(
            events.TARGET_FAILED, target=target.name, message=failure.message
        )
        if failure.event == events.TARGET_LEAVING:
            self._mark_leaving(target.name, target.address)
            return
        if failure.event == events.DEADLINE_EXCEEDED:
            return
        refused = engine.is_unreachable(failure)
        self._healths.record_failure(target, refused=refused)
        if refused:
            self._chooser.forget(target.name)
        elif failure.verdict != verdicts.Verdict.NOT_RUN:
            await self._suspects.record_broken_run(run)

    async def _pick_alone(
        self,
        work: Work,
        tried: set[str],
        deadline: online_requests.Deadline,
    ) -> SlotResult:
        """Keep a target for a suspect once nothing else runs there."""
        online = work.online
        give_up = deadline.left * (1 - ALONE_WAIT_SHARE)
        while deadline.left > give_up:
            if self._suspects.is_quarantined(work.digest):
                failure = online_requests.quarantined(online.service)
                return result.Err(failure)
            target = self._chooser.choose_for_suspect(online.spec, tried)
            if target is not None:
                reserved = self._suspects.reserve(target.name)
                with contextlib.ExitStack() as stack:
                    stack.enter_context(reserved)
                    if await self._wait_idle(target, deadline, give_up):
                        return result.Ok(Slot(target, stack.pop_all()))
            await anyio.sleep(ALONE_POLL_SECONDS)
        return result.Err(online_requests.no_target(online.service))

    async def _wait_idle(
        self,
        target: blackboard.Target,
        deadline: online_requests.Deadline,
        give_up: float,
    ) -> bool:
        while self._sent.count_known_online(target.name):
            if deadline.left <= give_up:
                return False
            await anyio.sleep(ALONE_POLL_SECONDS)
        return True


def last_failure(
    earlier: verdicts.Failure | None, latest: verdicts.Failure
) -> verdicts.Failure:
    """Return how a request ends that is not tried again.

    The end says why the last attempt failed rather than that none is left.
    """
    if earlier is not None and latest.event == events.NO_TARGET:
        return earlier
    return online_requests.combine(earlier, latest)
