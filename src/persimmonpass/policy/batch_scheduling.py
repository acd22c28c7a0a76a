"""Orders batch items and sizes batch beside online requests.

Traffic jumps to several times its valley within a second, and a target
admits requests in order of arrival. Batch fills the slots that online
requests leave but for a reserve; a step is met by stopping items, which go on
elsewhere from their last event for the price of reading their text again.
"""

import collections.abc
import typing

# Slots of each target that batch leaves free, so that a request finds one
# while an item is being stopped.
RESERVE_SLOTS = 1
# A target this much slower than the others gets no batch.
MAX_SLOWDOWN = 2.5


class Pending(typing.NamedTuple):
    """An item that could run.

    :ivar due_at: when its result is due, in seconds
    :ivar left_seconds: how long the rest of it probably runs
    :ivar job_order: lower for jobs that came first
    """

    job: str
    item: int
    due_at: float
    left_seconds: float
    job_order: int


class TargetLoad(typing.NamedTuple):
    """A target as batch sees it.

    :ivar online: online requests of all hosts
    :ivar batch: items of all hosts
    """

    name: str
    slots: int
    online: int
    batch: int
    slowdown: float = 1.0


class Running(typing.NamedTuple):
    """An item in progress.

    :ivar events: events that it has, which a resume reads again
    """

    key: tuple[str, int]
    due_at: float
    events: int


def rank(pending: Pending, now: float) -> tuple[bool, float, int, int]:
    """Return the place of an item in the queue; lower ones go first.

    What can still be in time goes before what is late already.
    """
    is_late = now + pending.left_seconds > pending.due_at
    return is_late, pending.due_at, pending.job_order, pending.item


def left_seconds(
    run_seconds: float, typical_events: float, have: int
) -> float:
    """Return how long the rest of an item probably runs.

    :param run_seconds: how long a whole one runs
    :param typical_events: events of a whole one
    :param have: events that it has
    """
    if typical_events <= 0:
        return run_seconds
    # One that is longer than the others is probably near its end.
    return run_seconds * max(0.1, 1 - have / typical_events)


def free_slots(place: TargetLoad) -> int:
    """Return how many more items a target should get."""
    if place.slowdown > MAX_SLOWDOWN:
        return 0
    return place.slots - RESERVE_SLOTS - place.online - place.batch


def pick_target(places: collections.abc.Iterable[TargetLoad]) -> str | None:
    """Return the target that has most room, or ``None`` if none has any."""
    best = max(places, key=free_slots, default=None)
    return best.name if best is not None and free_slots(best) > 0 else None


def with_item_added(
    places: collections.abc.Iterable[TargetLoad], name: str
) -> list[TargetLoad]:
    """Return the places once one more item runs at a target."""
    return [
        place._replace(batch=place.batch + 1) if place.name == name else place
        for place in places
    ]


def excess_items(place: TargetLoad) -> int:
    """Return how many items stand in the way of online requests."""
    return max(0, min(place.batch, place.online + place.batch - place.slots))


def victims(
    running: collections.abc.Iterable[Running], count: int
) -> list[tuple[str, int]]:
    """Return the items to stop: the latest due, then the shortest."""
    ranked = sorted(running, key=lambda item: (-item.due_at, item.events))
    return [item.key for item in ranked[:count]]
