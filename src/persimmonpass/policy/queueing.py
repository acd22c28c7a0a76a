"""Orders the requests that wait for a free slot, and refuses some of them.

Requests that can still meet their objective go first, the more urgent ones
before the others. Late requests get the remaining slots, so a short peak makes
few requests late and loses none. A stream that was interrupted goes before new
requests, because its caller notices the pause. A request that cannot be served
before its deadline is refused at once.
"""

import typing

# Callers close a stream without events after the longest of a fixed time, a
# multiple of the objective and a multiple of the allowed pause. A request has
# to be refused earlier: a caller that has closed the stream cannot be notified
# that its request did not run.
MIN_FIRST_EVENT_TIMEOUT_SECONDS = 2.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4.0
FIRST_EVENT_TIMEOUT_GAPS = 8.0
# An overload has ended when no request became late for this long.
STALL_QUIET_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 3.0


class QueuedRequest(typing.NamedTuple):
    """A request that waits for a slot.

    :ivar priority: 0 is the most urgent
    :ivar arrived_at: local clock at its arrival, in seconds
    :ivar placement_deadline: local clock until which it has to be placed to
        meet its objective, in seconds
    :ivar started: whether its caller already has a part of the answer
    :ivar account: name of the caller's account; empty for none
    :ivar objective_seconds: objective for the time to the first event
    :ivar tokens: tokens of the prompt plus the maximum output; 0 if they are
        not known
    """

    priority: int
    arrived_at: float
    placement_deadline: float
    started: bool = False
    account: str = ''
    objective_seconds: float = 0.0
    tokens: int = 0


def first_event_timeout(objective_seconds: float, gap_seconds: float) -> float:
    """Return how long callers wait for the first event of a stream.

    :param objective_seconds: objective for the time to the first event
    :param gap_seconds: longest pause between events within the objective
    :returns: time in seconds
    """
    return max(
        MIN_FIRST_EVENT_TIMEOUT_SECONDS,
        FIRST_EVENT_TIMEOUT_OBJECTIVES * objective_seconds,
        FIRST_EVENT_TIMEOUT_GAPS * gap_seconds,
    )


def placement_deadline(
    arrived_at: float, objective_seconds: float, first_event_seconds: float
) -> float:
    """Return until when a request has to be placed to meet its objective.

    The time to the first event is subtracted: a queue that held each request
    until its objective has passed would make all requests late.

    :param arrived_at: local clock at the arrival, in seconds
    :param objective_seconds: objective for the time to the first event
    :param first_event_seconds: time from a send to the first event
    :returns: local clock in seconds
    """
    return arrived_at + max(0.0, objective_seconds - first_event_seconds)


def is_late(request: QueuedRequest, now: float) -> bool:
    """Return whether a request can no longer meet its objective."""
    return not request.started and now >= request.placement_deadline


def rank(
    request: QueuedRequest, now: float, *, is_past_share: bool = False
) -> tuple[bool, bool, int, bool, float]:
    """Return the sort key of a request; the lowest is placed first.

    :param now: local clock in seconds
    :param is_past_share: whether its account is past its share
    """
    return (
        is_late(request, now),
        not request.started,
        request.priority,
        is_past_share,
        request.arrived_at,
    )


def expected_wait(ahead: int, slots: float, service_seconds: float) -> float:
    """Return the expected wait behind other requests, in seconds.

    :param ahead: requests that are placed earlier
    :param slots: requests that all targets together run concurrently
    :param service_seconds: mean duration of a request
    """
    if slots <= 0:
        return float('inf')
    return (ahead + 1) * service_seconds / slots


class Stall(typing.NamedTuple):
    """Period in which no late request got a slot, by the local clock.

    :ivar since: when the first request became late, in seconds, or ``None``
        if none did
    :ivar last_late_at: when the last request became late, in seconds
    """

    since: float | None = None
    last_late_at: float = 0.0


def record_late(stall: Stall, now: float) -> Stall:
    """Return the stall after a request became late.

    :param now: local clock in seconds
    """
    if stall.since is None or now - stall.last_late_at > STALL_QUIET_SECONDS:
        return Stall(now, now)
    return stall._replace(last_late_at=now)


def stalled_seconds(stall: Stall, now: float) -> float:
    """Return for how many seconds late requests have got no slot."""
    if stall.since is None or now - stall.last_late_at > STALL_QUIET_SECONDS:
        return 0.0
    return now - stall.since


def will_time_out(left_seconds: float, stall_seconds: float) -> bool:
    """Return whether a late request will probably get no slot in time.

    A stall is expected to last as long again as it has lasted so far. In a
    short peak late requests therefore wait for its end, and in a lasting
    overload they are refused at once.

    :param left_seconds: time until its caller gives up
    :param stall_seconds: time for which late requests have got no slot
    """
    return stall_seconds > left_seconds


def retry_after(wait_seconds: float, drawn: float) -> float:
    """Return after how many seconds a refused caller should retry.

    The delay is jittered, so that retries do not cause another peak.

    :param wait_seconds: expected wait
    :param drawn: random number in [0, 1)
    """
    jittered = wait_seconds * (0.5 + drawn)
    return round(min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, jittered)), 2)
