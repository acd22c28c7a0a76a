"""Lets online requests wait for a place at a target, or refuses them."""

import collections.abc
import random
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers import occupancy
from persimmonpass.controllers import target_stats
from persimmonpass import events
from persimmonpass.policy import queueing
from persimmonpass.policy import request_placement
from persimmonpass import verdicts

# A request that has no place by so long before its deadline gets none.
MIN_SERVICE_SECONDS = 0.25
# Targets of an unknown size.
DEFAULT_SLOTS = 8
PUMP_SECONDS = 0.05


class Capacity(typing.NamedTuple):
    """What the usable targets of a service run at once."""

    targets: int
    slots: int


class _Entry:
    """A request that waits for a place."""

    def __init__(
        self,
        service: str,
        waiter: queueing.QueuedRequest,
        excluded: collections.abc.Collection[str],
    ) -> None:
        self.service = service
        self.waiter = waiter
        self.excluded = excluded
        self.placed = anyio.Event()
        self.target: blackboard.Target | None = None


class AdmissionQueue:
    """The queue of one host's online requests."""

    def __init__(
        self,
        host: str,
        availability_zone: str,
        board: blackboard.Blackboard,
        occupied: occupancy.Occupancy,
        stats: target_stats.TargetStats,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._board = board
        self._occupied = occupied
        self._target_stats = stats
        self._entries: list[_Entry] = []
        self._pumping = False
        self._stalls: dict[str, queueing.Stall] = {}
        occupied.changed.append(self.pump)
        stats.changed.append(self.pump)

    async def run(self) -> None:
        """Try to place what waits after the targets changed, for ever."""
        version = 0
        while True:
            with anyio.move_on_after(PUMP_SECONDS if self._entries else 1.0):
                version = await self._board.targets.wait(version)
            self.pump()
            self._tell_waiting()

    def capacity(self, service: str) -> Capacity:
        """Return what the usable targets of a service run at once."""
        candidates = self.candidates(service)
        return Capacity(
            len(candidates), sum(spot.slots for spot in candidates)
        )

    def candidates(
        self,
        service: str,
        excluded: collections.abc.Collection[str] = (),
    ) -> list[request_placement.Candidate]:
        """Return the targets of a service that may take work."""
        found = []
        for row in self._board.targets.rows():
            if row.service != service or row.leaving:
                continue
            if row.name in excluded or not self._target_stats.is_usable(
                row.name
            ):
                continue
            counts = self._occupied.counts_at(row.name)
            found.append(
                request_placement.Candidate(
                    row.name,
                    row.availability_zone,
                    row.slots or DEFAULT_SLOTS,
                    counts.online,
                    counts.batch,
                    self._target_stats.slowdown(row.name),
                )
            )
        return found

    async def acquire_slot(
        self,
        service: str,
        waiter: queueing.QueuedRequest,
        deadline: float,
        excluded: collections.abc.Collection[str] = (),
    ) -> result.Result[blackboard.Target, verdicts.Failure]:
        """Get a place, which has to be given back to the occupancy.

        :param service: whose targets may run the request
        :param deadline: when the caller gives up, in seconds
        :param excluded: targets that have failed the request
        :returns: the target, or a failure that says when to come back
        """
        entry = _Entry(service, waiter, excluded)
        self._entries.append(entry)
        try:
            self.pump()
            if entry.target is None:
                refused = self._refuse_hopeless(entry, deadline)
                if refused is not None:
                    return result.Err(refused)
                self._tell_waiting()
                refused = await self._wait(entry, deadline)
                if refused is not None:
                    return result.Err(refused)
        except BaseException:
            self._give_back(entry)
            raise
        finally:
            if entry in self._entries:
                self._entries.remove(entry)
            self._tell_waiting()
        if entry.target is not None:
            return result.Ok(entry.target)
        ahead = self._occupied.waiting(service).total
        wait = self._wait_seconds(ahead, service)
        return result.Err(self._refusal(wait, 'no place in time'))

    async def _wait(
        self, entry: _Entry, deadline: float
    ) -> verdicts.Failure | None:
        """Wait for a place; refuse at once what will get none."""
        waiter = entry.waiter
        last = deadline - MIN_SERVICE_SECONDS
        if not waiter.begun and waiter.placement_deadline < last:
            if not await self._is_placed_by(entry, waiter.placement_deadline):
                refused = self._pass_over(entry.service, deadline)
                if refused is not None:
                    return refused
        await self._is_placed_by(entry, last)
        return None

    async def _is_placed_by(self, entry: _Entry, until: float) -> bool:
        with anyio.CancelScope(deadline=until):
            await entry.placed.wait()
        return entry.target is not None

    def _pass_over(
        self, service: str, deadline: float
    ) -> verdicts.Failure | None:
        """Take that a request is late; refuse it if late ones get no place."""
        now = anyio.current_time()
        stall = self._stalls.get(service, queueing.Stall())
        stall = queueing.pass_over(stall, now)
        self._stalls[service] = stall
        stalled = queueing.stalled_seconds(stall, now)
        if not queueing.is_hopeless(deadline - now, stalled):
            return None
        return self._refusal(stalled, 'late requests get no place')

    def _tell_waiting(self) -> None:
        now = anyio.current_time()
        found: dict[str, occupancy.Waiting] = {}
        for entry in self._entries:
            total, on_time = found.get(entry.service, occupancy.Waiting())
            on_time += not queueing.is_late(entry.waiter, now)
            found[entry.service] = occupancy.Waiting(total + 1, on_time)
        self._occupied.set_waiting(found)

    def _give_back(self, entry: _Entry) -> None:
        """Return a place that a cancelled request got."""
        if entry.target is not None:
            self._occupied.add_online(entry.target.name, -1)

    def _wait_seconds(self, ahead: int, service: str) -> float:
        return queueing.expected_wait(
            ahead,
            self.capacity(service).slots,
            self._target_stats.service_seconds,
        )

    def _refuse_hopeless(
        self, entry: _Entry, deadline: float
    ) -> verdicts.Failure | None:
        """Refuse at once what can not begin before its deadline."""
        left = deadline - anyio.current_time()
        capacity = self.capacity(entry.service)
        if not capacity.targets:
            # Excluded and blocked targets may come back in milliseconds.
            known = any(
                row.service == entry.service and not row.leaving
                for row in self._board.targets.rows()
            )
            if not known:
                return self._refusal(1.0, 'no target')
            return None
        if entry.waiter.begun:
            return None
        ahead = self._occupied.waiting(entry.service)
        wait = self._wait_seconds(ahead.on_time, entry.service)
        now = anyio.current_time()
        if now + wait <= entry.waiter.placement_deadline:
            return None
        wait = self._wait_seconds(ahead.total, entry.service)
        if wait > left - MIN_SERVICE_SECONDS:
            return self._refusal(wait, 'the queue is longer than the deadline')
        return self._pass_over(entry.service, deadline)

    def _refusal(self, wait: float, message: str) -> verdicts.Failure:
        return verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.REQUEST_REFUSED,
            message,
            503,
            queueing.retry_after(min(wait, 10.0), random.random()),
        )

    def pump(self) -> None:
        """Place as many waiting requests as fit, best ranked first."""
        if self._pumping or not self._entries:
            return
        self._pumping = True
        try:
            now = anyio.current_time()
            full: set[str] = set()
            ranked = sorted(
                self._entries,
                key=lambda entry: queueing.rank(entry.waiter, now),
            )
            # Where a peer's request makes better use of a place than a late
            # one.
            held = {
                service
                for service in {entry.service for entry in ranked}
                if self._occupied.waiting_at_peers(service).on_time
            }
            for entry in ranked:
                if entry.service in held and queueing.is_late(
                    entry.waiter, now
                ):
                    continue
                if entry.service in full and not entry.excluded:
                    continue
                if not self._place(entry) and not entry.excluded:
                    full.add(entry.service)
        finally:
            self._pumping = False

    def _place(self, entry: _Entry) -> bool:
        candidates = self.candidates(entry.service, entry.excluded)
        name = request_placement.choose(candidates, self._zone, random.random)
        if name is None:
            return False
        entry.target = self._board.targets.get(name)
        if entry.target is None:
            return False
        self._entries.remove(entry)
        if queueing.is_late(entry.waiter, anyio.current_time()):
            self._stalls.pop(entry.service, None)
        self._occupied.add_online(name, 1)
        entry.placed.set()
        return True
