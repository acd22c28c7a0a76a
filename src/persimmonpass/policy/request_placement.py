"""Chooses the target of an online request by its expected latency.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`policy.routing`.

The cost model is meant for loads near the capacity of the slots. Targets
admit requests in order of arrival and run a fixed number concurrently. A
request that finds a free slot starts at once. Batch items in the slots can be
stopped within milliseconds. A request behind other online requests waits until
one of them has finished its whole run.
"""

import collections.abc
import math
import typing

from persimmonpass.policy import rate_limits

# Costs are multiples of the typical time to a first event.
RUNNING_COST = 0.02
PREEMPTION_COST = 0.15
QUEUED_COST = 1.3
OTHER_ZONE_COST = 0.05
# Cost of a limited target that has used up its rate. It makes a target without
# a limit preferable as long as a request does not queue there.
LIMITED_COST = 0.5
# Online requests that may wait inside a target beyond its slots. It is zero
# because hosts keep the queue: there the order can still change, and a freed
# slot is known within milliseconds.
QUEUE_DEPTH = 0


class Candidate(typing.NamedTuple):
    """A target that may receive a request.

    :ivar slots: requests that the target runs concurrently
    :ivar online: online requests in progress at the target
    :ivar batch: batch items in progress at the target
    :ivar slowdown: ratio of the target's time to a first event to the typical
        one
    :ivar software: equal for targets of the same software version
    :ivar allowance: what it takes if it has named a limit, else ``None``
    :ivar is_on_trial: whether it gets one request at a time after errors;
        ``slots`` is then 1
    :ivar refuses_from: size in tokens from which on it gets no requests, as it
        has refused such; infinite for none
    """

    name: str
    availability_zone: str
    slots: int
    online: int
    batch: int
    slowdown: float = 1.0
    software: str = ''
    allowance: rate_limits.Allowance | None = None
    is_on_trial: bool = False
    refuses_from: float = math.inf

    @property
    def has_room(self) -> bool:
        """Whether the target's limit leaves room for a request now."""
        return self.allowance is None or self.allowance.may_send


class Capacity(typing.NamedTuple):
    """Capacity of the usable targets of a service.

    :ivar targets: number of targets
    :ivar slots: requests that all of them together run concurrently, as far
        as the limits of targets allow
    """

    targets: int
    slots: float


def effective_slots(candidate: Candidate, service_seconds: float) -> float:
    """Return how many requests a target can run concurrently.

    A limit keeps some of the slots of a target empty.

    :param service_seconds: mean duration of a request
    """
    if candidate.allowance is None:
        return candidate.slots
    return min(candidate.slots, candidate.allowance.rate * service_seconds)


def cost(candidate: Candidate, availability_zone: str) -> float:
    """Return the expected time to the first event.

    :param availability_zone: zone of this host
    :returns: multiple of the typical time to a first event
    """
    running = min(candidate.online + candidate.batch, candidate.slots)
    queued = max(0, candidate.online + 1 - candidate.slots)
    value = candidate.slowdown * (
        1 + RUNNING_COST * running + QUEUED_COST * queued
    )
    if candidate.online + candidate.batch >= candidate.slots:
        value += PREEMPTION_COST
    if candidate.availability_zone != availability_zone:
        value += OTHER_ZONE_COST
    if candidate.allowance is not None:
        room = max(0.0, candidate.allowance.room)
        value += LIMITED_COST * (1 - room / candidate.allowance.capacity)
    return value


def choose(
    candidates: collections.abc.Iterable[Candidate],
    availability_zone: str,
    draw: collections.abc.Callable[[], float],
    depth: int = QUEUE_DEPTH,
) -> str | None:
    """Return the target with the lowest expected time to the first event.

    :param availability_zone: zone of this host
    :param draw: returns a random number in [0, 1) to break ties
    :param depth: online requests that may wait inside a target
    :returns: name of the target, or ``None`` if all targets are full
    """
    best = min(
        (
            candidate
            for candidate in candidates
            if candidate.online < candidate.slots + depth
            and candidate.has_room
        ),
        key=lambda candidate: (cost(candidate, availability_zone), draw()),
        default=None,
    )
    return best.name if best is not None else None
