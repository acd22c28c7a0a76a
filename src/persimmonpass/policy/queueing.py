"""Orders and refuses requests that find no place, for loads above capacity.

Those that can still be on time go first, the more urgent of them before the
others; late ones take what is left, so that a short peak makes few late and
loses none. An answer that has begun goes on before any other begins: its
caller hears a pause. What can not be served before its deadline is refused at
once.
"""

import typing

# Callers leave a stream that stays silent for the longest of a time, a
# multiple of the objective and a multiple of the allowed pause. A caller that
# has left can not be told that its request did not run.
MIN_FIRST_EVENT_TIMEOUT_SECONDS = 2.0
LEAVE_OBJECTIVES = 4.0
LEAVE_GAPS = 8.0
# An overload without a late request for so long is over.
STALL_QUIET_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 3.0


class QueuedRequest(typing.NamedTuple):
    """A request that waits.

    :ivar priority: 0 is the most urgent
    :ivar arrived_at: in seconds
    :ivar placement_deadline: when it has to be placed to meet its
        objective, in seconds
    :ivar begun: whether its caller has part of the answer
    """

    priority: int
    arrived_at: float
    placement_deadline: float
    begun: bool = False


def first_event_timeout(objective_seconds: float, gap_seconds: float) -> float:
    """Return how long callers wait for the first event of a stream.

    :param gap_seconds: longest pause between events that is on time
    """
    return max(
        MIN_FIRST_EVENT_TIMEOUT_SECONDS,
        LEAVE_OBJECTIVES * objective_seconds,
        LEAVE_GAPS * gap_seconds,
    )


def placement_deadline(
    arrived_at: float, objective_seconds: float, first_event_seconds: float
) -> float:
    """Return until when a request has to be placed to be on time.

    A queue that holds each request until its objective has passed would make
    all of them late.

    :param first_event_seconds: time from a send to the first event
    """
    return arrived_at + max(0.0, objective_seconds - first_event_seconds)


def is_late(waiter: QueuedRequest, now: float) -> bool:
    """Return whether a request can not meet its objective any more."""
    return not waiter.begun and now >= waiter.placement_deadline


def rank(waiter: QueuedRequest, now: float) -> tuple[bool, bool, int, float]:
    """Return the place of a request in the queue; lower ones go first."""
    return (
        is_late(waiter, now),
        not waiter.begun,
        waiter.priority,
        waiter.arrived_at,
    )


def expected_wait(ahead: int, slots: int, service_seconds: float) -> float:
    """Return how long a request waits behind others, in seconds.

    :param ahead: requests that go first
    :param slots: requests that all targets together run at once
    :param service_seconds: how long one of them runs
    """
    if slots <= 0:
        return float('inf')
    return (ahead + 1) * service_seconds / slots


class Stall(typing.NamedTuple):
    """For how long no late request has got a place, in seconds of a clock.

    :ivar since: when the first of them was passed over, ``None`` if none was
    :ivar seen_at: when the last of them was passed over
    """

    since: float | None = None
    seen_at: float = 0.0


def pass_over(stall: Stall, now: float) -> Stall:
    """Note that a request has become late."""
    if stall.since is None or now - stall.seen_at > STALL_QUIET_SECONDS:
        return Stall(now, now)
    return stall._replace(seen_at=now)


def stalled_seconds(stall: Stall, now: float) -> float:
    """Return for how long late requests have got no place."""
    if stall.since is None or now - stall.seen_at > STALL_QUIET_SECONDS:
        return 0.0
    return now - stall.since


def is_hopeless(left_seconds: float, stall_seconds: float) -> bool:
    """Return whether a late request will get no place before its caller goes.

    What has lasted for some time lasts about as long again: in a short peak
    late requests wait for the end of it, in an overload that lasts they are
    told so at once.

    :param left_seconds: time until its caller leaves
    """
    return stall_seconds > left_seconds


def retry_after(wait_seconds: float, drawn: float) -> float:
    """Return when a refused caller should come back, in seconds.

    The returns are spread, so that they don't come as a peak of their own.

    :param drawn: random number in [0, 1)
    """
    spread = wait_seconds * (0.5 + drawn)
    return round(min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, spread)), 2)
