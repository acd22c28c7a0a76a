"""Schedules batch items on the slots that online requests leave free.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`policy.preemption`.

Online traffic can rise to a multiple of its minimum within a second, and a
target admits requests in order of arrival. Batch fills the free slots except
for a reserve, which targets of one slot share. When online traffic rises,
items are stopped. They continue on another target from their last event, at
the cost of reading their text again.
"""

import collections.abc
import math
import typing

from persimmonpass.policy import backoff
from persimmonpass.policy import batch
from persimmonpass.policy import rate_limits

# Slots of each target that batch leaves free, so that an online request finds
# a free slot while an item is being stopped. Targets without that many slots
# to spare share a reserve with the other targets of their service.
RESERVE_SLOTS = 1
# A target that is slower than the others by this factor gets no batch items.
MAX_SLOWDOWN = 2.5
# Ratio of the time in which an item finishes to its run time. Online traffic
# peaks for two fifths of the time, and items are stopped meanwhile.
FINISH_FACTOR = 2.0
# How long an item that has begun waits for a free slot at its software version
# before it starts again at another one. A run takes several times as long.
MAX_RESUME_WAIT_SECONDS = 1.5
# Pause of an item after a broken run. It doubles with each run in a row that
# brought no event, so that an item cannot keep breaking all targets.
BROKEN_RETRY_SECONDS = 0.1
MAX_BROKEN_RETRY_SECONDS = 2.0


# After so many crashes in a row before its first event, an item runs apart
# from others until it has one. A burst of crashes mostly ends before that.
MIN_SUSPECT_CRASHES = 2
# Pause of an item after a crash that no other item can have caused.
SUSPECT_PAUSE_SECONDS = 4.0
MAX_SUSPECT_PAUSE_SECONDS = 60.0


# Duration of an item before any run has shown it.
DEFAULT_RUN_SECONDS = 5.0
# Weight of a new sample in the means of items.
PACE_WEIGHT = 0.1
# A run with fewer events mostly shows the time to the first one.
MIN_RUN_EVENTS = 10


class Pending(typing.NamedTuple):
    """An item that waits to run.

    :ivar job: id of the job
    :ivar item: number of the item in the job
    :ivar due_at: local clock when its result is due, in seconds
    :ivar left_seconds: estimated remaining run time
    :ivar job_order: lower for jobs that were accepted earlier
    :ivar account_tag: start tag of its account, see
        :func:`policy.batch.start_tag`; 0 if there are no accounts
    :ivar is_set_back: whether it comes after the items of other jobs, as
        targets have refused items of its job
    """

    job: str
    item: int
    due_at: float
    left_seconds: float
    job_order: int
    account_tag: float = 0.0
    is_set_back: bool = False


class TargetLoad(typing.NamedTuple):
    """Requests and items in progress at a target.

    :ivar slots: requests that the target runs concurrently
    :ivar online: online requests of all hosts in progress
    :ivar batch: batch items of all hosts in progress
    :ivar slowdown: ratio of the target's time to a first event to the typical
        one
    :ivar software: equal for targets of the same software version
    :ivar allowance: what it takes if it has named a limit, else ``None``
    :ivar is_on_trial: whether it gets one request at a time after errors
    :ivar refuses_from: size in tokens from which on it gets no items, as it
        has refused such; infinite for none
    """

    name: str
    slots: int
    online: int
    batch: int
    slowdown: float = 1.0
    software: str = ''
    allowance: rate_limits.Allowance | None = None
    is_on_trial: bool = False
    refuses_from: float = math.inf


class ResumeChoice(typing.NamedTuple):
    """Where an item that has begun goes on.

    :ivar target: name of the target, ``None`` if the item waits
    :ivar restarts: whether the item starts again from its first event
    """

    target: str | None
    restarts: bool


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


def rank(
    pending: Pending, now: float
) -> tuple[bool, bool, float, float, float, int, int]:
    """Return the sort key of an item; the lowest runs first.

    Items of jobs that targets do not refuse go first; among them those that
    can still finish in time; among them those of the
    account that was served least, then those due soonest. Of an account's late
    items, those nearest to their end go first.

    The order answers a load near or above what the free slots can do. There,
    by due time alone, every slot goes to items that just fail to finish in
    time. An item therefore counts as late as soon as an online peak before its
    due time would make it late.

    :param now: local clock in seconds
    """
    is_late = now + FINISH_FACTOR * pending.left_seconds > pending.due_at
    return (
        pending.is_set_back,
        is_late,
        pending.account_tag,
        pending.left_seconds if is_late else 0.0,
        pending.due_at,
        pending.job_order,
        pending.item,
    )


def tag_items(
    found: collections.abc.Iterable[tuple[Pending, str, int]],
    share: batch.Share,
    now: float,
) -> list[Pending]:
    """Return items with the start tags that follow from the order to run.

    The tag of an account's second item follows the cost of its first one, so
    that one pass over the items divides many slots fairly.

    :param found: items, each with its account and its tokens; an item without
        an account belongs to the account with the empty name
    :param share: tokens that accounts were served so far
    :param now: local clock in seconds
    """
    tags: dict[str, float] = {}
    tagged = []
    for pending, account, tokens in sorted(
        found, key=lambda row: rank(row[0], now)
    ):
        tag = tags.get(account)
        if tag is None:
            tag = batch.start_tag(share, account)
        tags[account] = tag + tokens
        tagged.append(pending._replace(account_tag=tag))
    return tagged


class ItemPace(typing.NamedTuple):
    """How long items take, as far as runs have shown.

    :ivar seconds_per_event: mean time between events, 0 before the first run
    :ivar events: mean number of events of an item, 0 before one has finished
    """

    seconds_per_event: float = 0.0
    events: float = 0.0


def with_run(pace: ItemPace, seconds: float, events: int) -> ItemPace:
    """Return the pace after a run, also one that was stopped.

    In steps of online traffic nearly every item is stopped once, so that whole
    runs alone would show nothing for a long time.

    :param seconds: duration of the run
    :param events: events that it brought
    """
    if events < MIN_RUN_EVENTS:
        return pace
    sample = seconds / events
    before = pace.seconds_per_event or sample
    return pace._replace(
        seconds_per_event=before + PACE_WEIGHT * (sample - before)
    )


def with_finished(pace: ItemPace, events: int) -> ItemPace:
    """Return the pace after an item has finished.

    :param events: all its events
    """
    before = pace.events or events
    return pace._replace(events=before + PACE_WEIGHT * (events - before))


def run_seconds(pace: ItemPace) -> float:
    """Return the mean duration of a whole item."""
    return pace.seconds_per_event * pace.events or DEFAULT_RUN_SECONDS


def left_share(pace: ItemPace, received: int) -> float:
    """Return which part of an item's run is left.

    :param received: number of events of this item so far
    """
    if not pace.seconds_per_event:
        return 1.0
    typical = pace.events or DEFAULT_RUN_SECONDS / pace.seconds_per_event
    # An item that is longer than the others is probably near its end.
    return max(0.1, 1 - received / typical)


def own_reserve(load: TargetLoad) -> int:
    """Return how many slots of a target itself batch leaves free.

    A target of one slot has none to leave, or it would never run an item.
    """
    return max(0, min(RESERVE_SLOTS, load.slots - 1))


def free_slots(load: TargetLoad) -> int:
    """Return how many more items a target should get.

    The number is negative if online requests occupy the reserve.
    """
    if load.slowdown > MAX_SLOWDOWN or load.is_on_trial:
        return 0
    if load.allowance is not None and not load.allowance.may_send_batch:
        return 0
    return load.slots - own_reserve(load) - load.online - load.batch


def free_online_slots(load: TargetLoad) -> int:
    """Return how many slots of a target an online request finds free."""
    if load.allowance is not None and not load.allowance.may_send:
        return 0
    return max(0, load.slots - load.online - load.batch)


def pick_target(
    loads: collections.abc.Iterable[TargetLoad],
    software: str | None = None,
    waiting: int = 0,
    tokens: int = 0,
) -> str | None:
    """Return the target with the most free slots, or ``None`` if all are full.

    A target without a reserve of its own relies on the free slots of the other
    targets. If there is no other target, an online request has to wait until
    the item is stopped; items would never run otherwise.

    :param loads: load of all usable targets of the service
    :param software: software that the target must have, ``None`` for any
    :param waiting: online requests of all hosts that wait for a slot
    :param tokens: size of the item; 0 if it is not known
    """
    loads = list(loads)
    spare = sum(map(free_online_slots, loads))

    def leaves_reserve(load: TargetLoad) -> bool:
        if own_reserve(load):
            return True
        if len(loads) == 1:
            return not waiting
        return spare - free_online_slots(load) >= RESERVE_SLOTS + waiting

    best = max(
        (
            load
            for load in loads
            if software in (None, load.software)
            and tokens < load.refuses_from
            and free_slots(load) > 0
            and leaves_reserve(load)
        ),
        key=free_slots,
        default=None,
    )
    return best.name if best is not None else None


def choose_to_resume(
    loads: collections.abc.Iterable[TargetLoad],
    software: str | None,
    *,
    is_listed: bool,
    waited_seconds: float,
    waiting: int = 0,
    tokens: int = 0,
) -> ResumeChoice:
    """Return where an item that has begun goes on.

    Answers a release, when targets of several software versions serve. What
    two versions write does not fit together, so that an item goes on at the
    version that began it or starts again. Waiting keeps its work, but a
    version that leaves may have no slot again.

    :param loads: load of the usable targets
    :param software: software that began the item; ``None`` if its service has
        changed since
    :param is_listed: whether a target of that software stays
    :param waited_seconds: how long the item has waited for such a target
    :param waiting: online requests of all hosts that wait for a slot
    :param tokens: size of the item; 0 if it is not known
    """
    loads = list(loads)
    if software is not None:
        target = pick_target(loads, software, waiting, tokens)
        if target is not None:
            return ResumeChoice(target, False)
    if is_listed and waited_seconds < MAX_RESUME_WAIT_SECONDS:
        return ResumeChoice(None, False)
    target = pick_target(loads, waiting=waiting, tokens=tokens)
    return ResumeChoice(target, target is not None)


def retry_pause(broken_runs: int) -> float:
    """Return how long an item waits after a broken run, in seconds.

    Answers a burst of crashes. Targets that crash under an item say nothing
    about the item, so that the pause stays short compared with the time until
    the item is due.

    :param broken_runs: number of runs in a row that brought no event
    """
    return backoff.doubled(
        BROKEN_RETRY_SECONDS, broken_runs, MAX_BROKEN_RETRY_SECONDS
    )


def suspect_pause(crashes: int) -> float:
    """Return how long an item waits that has crashed targets, in seconds.

    Answers items that crash each target that begins them. A target is back
    after seconds; the pauses leave it time for the other items.

    :param crashes: crashes in a row before the item had an event
    """
    as_suspect = crashes - MIN_SUSPECT_CRASHES
    if as_suspect <= 0:
        return 0.0
    return backoff.doubled(
        SUSPECT_PAUSE_SECONDS, as_suspect, MAX_SUSPECT_PAUSE_SECONDS
    )


def apart(
    loads: collections.abc.Iterable[TargetLoad],
    waiting: collections.abc.Mapping[str, bool],
    *,
    is_suspect: bool,
) -> list[TargetLoad]:
    """Return the loads with no free slots where an item must not start.

    A suspect starts where no other item waits for its first event, and no
    item starts where a suspect does, so that a crash shows which item caused
    it. Items with an event go on after a crash.

    :param loads: load of the targets
    :param waiting: targets at which an item waits for its first event, and
        whether a suspect does
    :param is_suspect: whether the item that is to start is one
    """
    return [
        load._replace(batch=max(load.batch, load.slots))
        if waiting.get(load.name, False)
        or (is_suspect and load.name in waiting)
        else load
        for load in loads
    ]


def with_item_added(
    loads: collections.abc.Iterable[TargetLoad], name: str
) -> list[TargetLoad]:
    """Return the loads with one more item at a target.

    :param loads: load of the targets
    :param name: target that gets the item
    """
    return [
        load._replace(
            batch=load.batch + 1,
            allowance=load.allowance
            and load.allowance._replace(room=load.allowance.room - 1),
        )
        if load.name == name
        else load
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
