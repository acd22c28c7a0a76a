"""Places online requests on targets, for loads around what slots allow.

Targets admit requests in order of arrival and run a fixed number at once.
A request that finds a free slot begins at once; batch items in other slots
can be stopped within milliseconds; a request behind other online ones waits
for a whole run of one of them.
"""

import collections.abc
import typing

# Costs are in typical times to a first event.
RUNNING_COST = 0.02
DISPLACE_COST = 0.15
QUEUED_COST = 1.3
FAR_COST = 0.05
# Online requests that may wait inside a target beyond its slots. None: the
# queue is kept at the hosts, where the order can still change, and a slot that
# falls free is known within milliseconds.
QUEUE_DEPTH = 0


class Candidate(typing.NamedTuple):
    """A target that may take a request.

    :ivar online: online requests in progress there
    :ivar batch: batch items in progress there
    :ivar slowdown: its time to a first event against the typical one
    """

    name: str
    availability_zone: str
    slots: int
    online: int
    batch: int
    slowdown: float = 1.0


def cost(spot: Candidate, availability_zone: str) -> float:
    """Return the expected time to the first event, in typical ones."""
    running = min(spot.online + spot.batch, spot.slots)
    queued = max(0, spot.online + 1 - spot.slots)
    value = spot.slowdown * (1 + RUNNING_COST * running + QUEUED_COST * queued)
    if spot.online + spot.batch >= spot.slots:
        value += DISPLACE_COST
    if spot.availability_zone != availability_zone:
        value += FAR_COST
    return value


def choose(
    spots: collections.abc.Iterable[Candidate],
    availability_zone: str,
    draw: collections.abc.Callable[[], float],
    depth: int = QUEUE_DEPTH,
) -> str | None:
    """Return the target at which a request begins soonest.

    :param availability_zone: zone of this host
    :param draw: random numbers in [0, 1), for ties
    :param depth: online requests that may wait inside a target
    :returns: its name, or ``None`` if all are full
    """
    best = min(
        (spot for spot in spots if spot.online < spot.slots + depth),
        key=lambda spot: (cost(spot, availability_zone), draw()),
        default=None,
    )
    return best.name if best is not None else None
