"""Schedules batch items on the slots that online requests leave free.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`policy.preemption`.

Online traffic can rise to a multiple of its minimum within a second, and a
target admits requests in order of arrival. Batch fills the free slots except
for a reserve. When online traffic rises, items are stopped. They continue on
another target from their last event, at the cost of reading their text again.
"""

import collections.abc
import typing

# Slots of each target that batch leaves free, so that an online request finds
# a free slot while an item is being stopped.
RESERVE_SLOTS = 1
# A target that is slower than the others by this factor gets no batch items.
MAX_SLOWDOWN = 2.5
# Ratio of the time in which an item finishes to its run time. Online traffic
# peaks for two fifths of the time, and items are stopped meanwhile.
FINISH_FACTOR = 2.0


class Pending(typing.NamedTuple):
    """An item that waits to run.

    :ivar job: id of the job
    :ivar item: number of the item in the job
    :ivar due_at: local clock when its result is due, in seconds
    :ivar left_seconds: estimated remaining run time
    :ivar job_order: lower for jobs that were accepted earlier
    """

    job: str
    item: int
    due_at: float
    left_seconds: float
    job_order: int


class TargetLoad(typing.NamedTuple):
    """Requests and items in progress at a target.

    :ivar slots: requests that the target runs concurrently
    :ivar online: online requests of all hosts in progress
    :ivar batch: batch items of all hosts in progress
    :ivar slowdown: ratio of the target's time to a first event to the typical
        one
    """

    name: str
    slots: int
    online: int
    batch: int
    slowdown: float = 1.0


class Running(typing.NamedTuple):
    """An item in progress.

    :ivar key: id of the job and number of the item
    :ivar due_at: local clock when its result is due, in seconds
    :ivar events: events received so far, whose text has to be read again
        when the item is resumed
    """

    key: tuple[str, int]
    due_at: float
    events: int


def rank(pending: Pending, now: float) -> tuple[bool, float, float, int, int]:
    """Return the sort key of an item; the lowest runs first.

    Items that can still finish in time go first, those due soonest before the
    others. Of the late items, those nearest to their end go first.

    The order answers a load near or above what the free slots can do. There,
    by due time alone, every slot goes to items that just fail to finish in
    time. An item therefore counts as late as soon as an online peak before its
    due time would make it late.

    :param now: local clock in seconds
    """
    is_late = now + FINISH_FACTOR * pending.left_seconds > pending.due_at
    return (
        is_late,
        pending.left_seconds if is_late else 0.0,
        pending.due_at,
        pending.job_order,
        pending.item,
    )


def left_seconds(
    run_seconds: float, typical_events: float, received: int
) -> float:
    """Return the estimated remaining run time of an item, in seconds.

    :param run_seconds: mean duration of an item
    :param typical_events: mean number of events of an item
    :param received: number of events of this item so far
    """
    if typical_events <= 0:
        return run_seconds
    # An item that is longer than the others is probably near its end.
    return run_seconds * max(0.1, 1 - received / typical_events)


def free_slots(load: TargetLoad) -> int:
    """Return how many more items a target should get.

    The number is negative if online requests occupy the reserve.
    """
    if load.slowdown > MAX_SLOWDOWN:
        return 0
    return load.slots - RESERVE_SLOTS - load.online - load.batch


def pick_target(loads: collections.abc.Iterable[TargetLoad]) -> str | None:
    """Return the target with the most free slots, or ``None`` if all are full.

    :param loads: load of the targets
    """
    best = max(loads, key=free_slots, default=None)
    return best.name if best is not None and free_slots(best) > 0 else None


def with_item_added(
    loads: collections.abc.Iterable[TargetLoad], name: str
) -> list[TargetLoad]:
    """Return the loads with one more item at a target.

    :param loads: load of the targets
    :param name: target that gets the item
    """
    return [
        load._replace(batch=load.batch + 1) if load.name == name else load
        for load in loads
    ]


def excess_items(load: TargetLoad) -> int:
    """Return how many items use slots that online requests need."""
    return max(0, min(load.batch, load.online + load.batch - load.slots))


def victims(
    running: collections.abc.Iterable[Running], count: int
) -> list[tuple[str, int]]:
    """Return the items to stop: those due last, then the shortest ones.

    Short items are the cheapest to resume.

    :param count: number of items to stop
    :returns: keys of the items
    """
    ranked = sorted(running, key=lambda item: (-item.due_at, item.events))
    return [item.key for item in ranked[:count]]
