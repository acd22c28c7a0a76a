"""Queues online requests until a target has a free slot, or refuses them."""

import collections.abc
import math
import random

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.accounts import shares as account_shares
from persimmonpass.controllers.online import waiting_requests
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import target_limits
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass.policy import fair_shares
from persimmonpass.policy import queueing
from persimmonpass.policy import refusals
from persimmonpass.policy import request_placement
from persimmonpass import verdicts

# A request without a slot this long before its deadline is refused.
MIN_SERVICE_SECONDS = 0.25
# Slots of a target that has not reported how many it has.
DEFAULT_SLOTS = 8
TRIAL_SLOTS = 1
DISPATCH_INTERVAL_SECONDS = 0.05
# A target that has failed a request gets it again after this time, if no other
# one has become usable.
FAILED_TARGET_PAUSE_SECONDS = 0.25
MISSING_VERSION_RETRY_SECONDS = 1.0


class AdmissionQueue:
    """Queue of the online requests of one host."""

    def __init__(
        self,
        host: str,
        availability_zone: str,
        board: blackboard.Blackboard,
        occupied: occupancy.Occupancy,
        stats: target_stats.TargetStats,
        limits: target_limits.TargetLimits,
        shares: account_shares.AccountShares | None = None,
    ) -> None:
        """Create an empty queue.

        :param shares: shares of client accounts, ``None`` for none
        """
        self._shares = shares
        self._host = host
        self._zone = availability_zone
        self._board = board
        self._occupied = occupied
        self._target_stats = stats
        self._limits = limits
        self._requests: list[waiting_requests.WaitingRequest] = []
        self._is_dispatching = False
        self._stalls: dict[str, queueing.Stall] = {}
        occupied.changed.append(self.dispatch)
        stats.changed.append(self.dispatch)

    async def run(self) -> None:
        """Assign slots to waiting requests whenever targets change.

        Runs until it is cancelled.
        """
        version = 0
        while True:
            with anyio.move_on_after(
                DISPATCH_INTERVAL_SECONDS if self._requests else 1.0
            ):
                version = await self._board.targets.wait(version)
            self.dispatch()
            self._update_waiting()
            if self._shares is not None:
                self._shares.tick()

    def capacity(
        self, service: str, tokens: int = 0
    ) -> request_placement.Capacity:
        """Return the capacity of the usable targets of a service.

        :param tokens: size of the requests; 0 if it is not known
        """
        candidates = self.candidates(service, tokens=tokens)
        return request_placement.Capacity(
            len(candidates),
            sum(
                request_placement.effective_slots(
                    candidate, self._target_stats.service_seconds
                )
                for candidate in candidates
            ),
        )

    def candidates(
        self,
        service: str,
        excluded: collections.abc.Collection[str] = (),
        software: str | None = None,
        tokens: int = 0,
    ) -> list[request_placement.Candidate]:
        """Return the usable targets of a service with their load.

        :param excluded: names of targets to leave out
        :param software: software that the targets must have, ``None`` for any
        :param tokens: size of the request; 0 if it is not known
        """
        found = []
        for row in self._board.targets.rows():
            if row.service != service or row.leaving:
                continue
            if software is not None and row.software != software:
                continue
            if row.name in excluded or not self._target_stats.is_usable(
                row.name, tokens
            ):
                continue
            counts = self._occupied.counts_at(row.name)
            slots = row.slots or DEFAULT_SLOTS
            is_on_trial = self._target_stats.is_on_trial(row.name)
            if is_on_trial:
                slots = min(slots, TRIAL_SLOTS)
            found.append(
                request_placement.Candidate(
                    row.name,
                    row.availability_zone,
                    slots,
                    counts.online,
                    counts.batch,
                    self._target_stats.slowdown(row.name),
                    row.software,
                    self._limits.allowance(row.name),
                    is_on_trial,
                    self._target_stats.refuses_from(row.name),
                )
            )
        return found

    def has_other_target(
        self,
        services: collections.abc.Iterable[str],
        target: str,
        software: str | None = None,
        tokens: int = 0,
    ) -> bool:
        """Return whether a usable target could take over from another one.

        :param services: services whose targets may run the request
        :param target: name of the target that has the request
        :param software: software that the target must have, ``None`` for any
        :param tokens: size of the request; 0 if it is not known
        """
        return any(
            self.candidates(service, (target,), software, tokens)
            for service in services
        )

    async def acquire_slot(
        self,
        services: tuple[str, ...],
        queued: queueing.QueuedRequest,
        deadline: float,
        excluded: collections.abc.Sequence[str] = (),
        software: str | None = None,
    ) -> result.Result[blackboard.Target, verdicts.Failure]:
        """Wait for a slot at a target.

        The slot is counted in the occupancy; the caller of this method has to
        release it there.

        :param services: services whose targets may run the request; one is
            used only while those before it have no usable target
        :param queued: priority and times of the request
        :param deadline: local clock at which the caller gives up, in seconds
        :param excluded: targets that have failed the request, in order; they
            are used only if there is no other usable one
        :param software: software that the target must have, ``None`` for any
        :returns: the target, or a failure that says when to retry
        """
        request = waiting_requests.WaitingRequest(
            services, queued, excluded, software
        )
        service = request.service
        self._requests.append(request)
        if self._shares is not None:
            self._shares.record_request(service, queued.account)
        try:
            self.dispatch()
            if request.target is None:
                failure = self._refuse_unservable(request, deadline)
                if failure is not None:
                    return result.Err(failure)
                self._update_waiting()
                failure = await self._wait(request, deadline)
                if failure is not None:
                    return result.Err(failure)
        except BaseException:
            self._release_slot(request)
            raise
        finally:
            if request in self._requests:
                self._requests.remove(request)
            self._update_waiting()
            if self._shares is not None:
                self._shares.record_wait(queued)
        if request.target is not None:
            return result.Ok(request.target)
        ahead = self._occupied.waiting(service).total
        wait = self._wait_seconds(ahead, service)
        return result.Err(self._refusal(wait, 'no place in time'))

    async def _wait(
        self, request: waiting_requests.WaitingRequest, deadline: float
    ) -> verdicts.Failure | None:
        """Wait for a slot, and refuse early a request that will get none."""
        queued = request.queued
        last = deadline - MIN_SERVICE_SECONDS
        if queued.account and not queued.started:
            decide_at = queued.arrived_at + (
                fair_shares.DECISION_SHARE * queued.objective_seconds
            )
            if not await self._wait_until(request, min(decide_at, last)):
                failure = self._refuse_past_share(request, last)
                if failure is not None:
                    return failure
        if not queued.started and queued.placement_deadline < last:
            if not await self._wait_until(request, queued.placement_deadline):
                failure = self._refuse_late(request.service, deadline)
                if failure is not None and not self._is_shared(request):
                    return failure
        await self._wait_until(request, last)
        return None

    async def _wait_until(
        self, request: waiting_requests.WaitingRequest, until: float
    ) -> bool:
        """Return whether a slot was assigned by a time of the local clock."""
        with anyio.CancelScope(deadline=until):
            await request.placed.wait()
        return request.target is not None

    def _refuse_late(
        self, service: str, deadline: float
    ) -> verdicts.Failure | None:
        """Record a late request, and refuse it if late ones get no slots."""
        now = anyio.current_time()
        stall = self._stalls.get(service, queueing.Stall())
        stall = queueing.record_late(stall, now)
        self._stalls[service] = stall
        stalled = queueing.stalled_seconds(stall, now)
        if not queueing.will_time_out(deadline - now, stalled):
            return None
        return self._refusal(stalled, 'late requests get no place')

    def _is_shared(self, request: waiting_requests.WaitingRequest) -> bool:
        """Return whether an account is not refused for a long queue.

        While another account is past its share, those within theirs are not
        refused because of it.
        """
        shares, account = self._shares, request.queued.account
        return bool(
            shares
            and account
            and shares.holds_any(request.service)
            and not shares.is_past(request.service, account)
        )

    def _refuse_past_share(
        self, request: waiting_requests.WaitingRequest, last: float
    ) -> verdicts.Failure | None:
        """Refuse a new request of an account past its share, if it has to.

        Older requests of the account are decided on already, so that the
        newest ones are refused.

        :param last: local clock until which it has to be placed, in seconds
        """
        service = request.service
        if self._shares is None or request_placement.choose(
            self.candidates(service, tokens=request.queued.tokens),
            self._zone,
            random.random,
        ):
            return None
        stall = self._stalls.get(service, queueing.Stall())
        now = anyio.current_time()
        return self._shares.refuse(
            service,
            request.queued,
            account_shares.Backlog(
                waiting_requests.count_newer(self._requests, request),
                self._target_stats.service_seconds,
                queueing.stalled_seconds(stall, now),
                last - now,
            ),
        )

    def _update_waiting(self) -> None:
        now = anyio.current_time()
        found: dict[str, occupancy.Waiting] = {}
        for request in self._requests:
            total, on_time = found.get(request.service, occupancy.Waiting())
            on_time += not queueing.is_late(request.queued, now)
            found[request.service] = occupancy.Waiting(total + 1, on_time)
        self._occupied.set_waiting(found)
        if self._shares is not None:
            self._shares.set_waiting(
                waiting_requests.count_by_account(self._requests)
            )

    def _release_slot(self, request: waiting_requests.WaitingRequest) -> None:
        """Release the slot of a request that was cancelled."""
        if request.target is not None:
            self._occupied.add_online(request.target.name, -1)

    def _wait_seconds(self, ahead: int, service: str) -> float:
        return queueing.expected_wait(
            ahead,
            self.capacity(service).slots,
            self._target_stats.service_seconds,
        )

    def _refuse_unservable(
        self, request: waiting_requests.WaitingRequest, deadline: float
    ) -> verdicts.Failure | None:
        """Refuse a request that cannot start before its deadline."""
        left = deadline - anyio.current_time()
        if request.software is not None and not self._has_software(request):
            return self._refusal(
                MISSING_VERSION_RETRY_SECONDS, 'no target of the version'
            )
        if self._is_too_large(request):
            return self._refusal(
                refusals.MAX_BLOCK_SECONDS, 'too large for all targets'
            )
        service = self._serving(request)
        if not self.capacity(service, request.queued.tokens).targets:
            # Excluded and blocked targets may be usable within milliseconds.
            known = any(
                row.service in request.services and not row.leaving
                for row in self._board.targets.rows()
            )
            if not known:
                return self._refusal(1.0, 'no target')
            return None
        if request.queued.started or self._is_shared(request):
            return None
        ahead = self._occupied.waiting(service)
        wait = self._wait_seconds(ahead.on_time, service)
        now = anyio.current_time()
        if now + wait <= request.queued.placement_deadline:
            return None
        wait = self._wait_seconds(ahead.total, service)
        if wait > left - MIN_SERVICE_SECONDS:
            return self._refusal(wait, 'the queue is longer than the deadline')
        return self._refuse_late(request.service, deadline)

    def _is_too_large(self, request: waiting_requests.WaitingRequest) -> bool:
        """Return whether no target has ever taken a request of its size.

        They all refuse such requests at present. Waiting for one of them
        would only make the queue look longer to others.
        """
        queued = request.queued
        targets = [
            row.name
            for row in self._board.targets.rows()
            if row.service in request.services and not row.leaving
        ]
        return (
            bool(targets)
            and not queued.started
            and all(
                self._target_stats.is_too_large(name, queued.tokens)
                for name in targets
            )
        )

    def _has_software(self, request: waiting_requests.WaitingRequest) -> bool:
        """Return whether a target of the request's software may serve it."""
        return any(
            row.service in request.services
            and row.software == request.software
            and not row.leaving
            and (
                row.name not in request.excluded
                or self._target_stats.is_usable(
                    row.name, request.queued.tokens
                )
            )
            for row in self._board.targets.rows()
        )

    def _refusal(self, wait: float, message: str) -> verdicts.Failure:
        """Return a failure that asks the caller to retry.

        :param wait: expected wait in seconds
        :param message: cause; it is a label value of the refusals metric, so
            its wording must not change
        """
        return verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.REQUEST_REFUSED,
            message,
            503,
            queueing.retry_after(min(wait, 10.0), random.random()),
        )

    def dispatch(self) -> None:
        """Assign free slots to waiting requests, best ranked first."""
        if self._is_dispatching or not self._requests:
            return
        self._is_dispatching = True
        try:
            now = anyio.current_time()
            # Smallest request that found no free slot, by services. A larger
            # one finds none either.
            full_for: dict[tuple[str, ...], int] = {}
            ranked = self._rank(now)
            # Slots are left to peers whose requests can still be on time
            # rather than given to late requests here.
            reserved_services = {
                service
                for service in {request.service for request in ranked}
                if self._occupied.waiting_at_peers(service).on_time
            }
            for request in ranked:
                if request.service in reserved_services and queueing.is_late(
                    request.queued, now
                ):
                    continue
                any_target = request.may_use_any_target
                tokens = request.queued.tokens
                if any_target and tokens >= full_for.get(
                    request.services, math.inf
                ):
                    continue
                if not self._place(request) and any_target:
                    full_for[request.services] = tokens
        finally:
            self._is_dispatching = False

    def _rank(self, now: float) -> list[waiting_requests.WaitingRequest]:
        """Return the waiting requests, best ranked first."""
        past: collections.abc.Collection[tuple[str, str]] = ()
        if self._shares is not None:
            past = self._shares.past_pairs(
                {(row.service, row.queued.account) for row in self._requests},
                lambda service: self.capacity(service).slots,
                self._target_stats.service_seconds,
            )
        return sorted(
            self._requests,
            key=lambda row: queueing.rank(
                row.queued,
                now,
                is_past_share=(row.service, row.queued.account) in past,
            ),
        )

    def _serving(self, request: waiting_requests.WaitingRequest) -> str:
        """Return the first service of a request that has a usable target."""
        if len(request.services) == 1:
            return request.service
        return next(
            (
                name
                for name in request.services
                if self.candidates(name, tokens=request.queued.tokens)
            ),
            request.service,
        )

    def _candidates_for(
        self, request: waiting_requests.WaitingRequest
    ) -> list[request_placement.Candidate]:
        """Return the usable targets of the first service that has any.

        Targets that have failed the request are tried again if there is no
        other usable one for a moment, the last of them only if it is the only
        one.
        """
        exclusions = [request.excluded]
        waited = anyio.current_time() - request.queued_at
        if request.excluded and waited >= FAILED_TARGET_PAUSE_SECONDS:
            exclusions += [request.excluded[-1:], ()]
        for excluded in exclusions:
            for service in request.services:
                found = self.candidates(
                    service, excluded, request.software, request.queued.tokens
                )
                if found:
                    return found
        return []

    def _place(self, request: waiting_requests.WaitingRequest) -> bool:
        name = request_placement.choose(
            self._candidates_for(request), self._zone, random.random
        )
        if name is None:
            return False
        request.target = self._board.targets.get(name)
        if request.target is None:
            return False
        self._requests.remove(request)
        if queueing.is_late(request.queued, anyio.current_time()):
            self._stalls.pop(request.service, None)
        self._limits.record_send(name)
        self._occupied.add_online(name, 1)
        request.placed.set()
        return True
