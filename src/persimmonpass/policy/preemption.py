"""Decides how many batch streams run beside online requests."""

import collections.abc
import typing

MAX_WIDTH = 32
HOLD_SECONDS = 0.1
QUIET_PERCENT2_SECONDS = 50.0
GROW_STEPS = 4
RECOVER_SECONDS = 10.0
MIN_SAMPLES = 24
MIN_FIRST_SAMPLES = 6
PROBE_WIDTH = 1


class Limits(typing.NamedTuple):
    """Widths that the measured delay of online requests has left.

    :ivar shared: batch streams while online requests run
    :ivar idle: batch streams just after the last online request
    """

    shared: int = 0
    idle: int = 0


class Delay(typing.NamedTuple):
    """Mean delays of online requests in seconds, and their samples."""

    alone_seconds: float
    alone_samples: int
    beside_seconds: float
    beside_samples: int


class Stream(typing.NamedTuple):
    """A running batch stream.

    :ivar tokens: tokens that it has produced, which a resume reads again
    :ivar left_seconds: time until its job is due
    """

    attempt: str
    tokens: int
    left_seconds: float


def allowed_width(
    limits: Limits,
    online: int,
    quiet_seconds: float,
    harm_percent: float,
    is_certain: bool,
) -> int:
    """Return the number of batch streams that may run on a target.

    A request that arrives at an idle target waits for the step that batch
    is in. The longer the target was quiet, the rarer such requests are, so
    the width doubles in steps. A bound that is twice as high allows twice
    the width and twice the requests that meet it, so the steps shrink with
    the square of the bound.

    :param online: online requests at the target
    :param quiet_seconds: time since the last of them ended
    :param is_certain: whether every host that may send there is heard
    """
    if online or not is_certain or quiet_seconds < HOLD_SECONDS:
        return limits.shared
    width = max(limits.shared, limits.idle)
    if harm_percent <= 0:
        return width
    quiet_needed = QUIET_PERCENT2_SECONDS / harm_percent**2
    if quiet_seconds < quiet_needed:
        return width
    grown = (quiet_seconds / quiet_needed - 1) * GROW_STEPS
    steps = 1 + int(min(grown, MAX_WIDTH))
    doubled = max(width, PROBE_WIDTH) << steps
    return min(MAX_WIDTH, doubled)


def victims(
    streams: collections.abc.Iterable[Stream], width: int
) -> list[str]:
    """Return the attempts to cancel so that a width is kept.

    Those go that lose least: the latest due first, of these the one with
    the shortest text, which is the cheapest to read again.
    """
    ranked = sorted(
        streams, key=lambda stream: (stream.left_seconds, -stream.tokens)
    )
    return [stream.attempt for stream in ranked[width:]]


def harm(delay: Delay, share: float = 1.0) -> float:
    """Return by how many percent batch delays online requests.

    :param share: share of the requests that are delayed
    """
    return share * 100 * (delay.beside_seconds / delay.alone_seconds - 1)


def adjust(
    width: int,
    delay: Delay,
    harm_percent: float,
    since_shrink_seconds: float,
) -> int:
    """Return the next width beside requests: one more, or half at once.

    The width grows only if the delay, drawn on in a straight line, stays
    within the bound.

    :param delay: of times between tokens
    :param harm_percent: how much batch may delay online requests
    :param since_shrink_seconds: time since the width last went down
    """
    if delay.alone_samples < MIN_SAMPLES:
        return width
    if width == 0:
        return PROBE_WIDTH if since_shrink_seconds >= RECOVER_SECONDS else 0
    if delay.beside_samples < MIN_SAMPLES or delay.alone_seconds <= 0:
        return width
    present = harm(delay)
    if present > harm_percent:
        return width // 2
    expected = max(present, 0.0) * (width + 1) / width
    is_recovered = since_shrink_seconds >= RECOVER_SECONDS
    if expected <= harm_percent and is_recovered:
        return min(width + 1, MAX_WIDTH)
    return width


def adjust_idle(
    width: int,
    delay: Delay,
    harm_percent: float,
    share: float,
    since_shrink_seconds: float,
) -> int:
    """Return the next width of an idle target: twice, or half at once.

    :param delay: of first tokens of requests that arrive there
    :param share: share of all requests that arrive at an idle target; the
        others are not delayed
    :param since_shrink_seconds: time since the width last went down
    """
    if delay.alone_samples < MIN_FIRST_SAMPLES or delay.alone_seconds <= 0:
        return width
    is_recovered = since_shrink_seconds >= RECOVER_SECONDS
    if width == 0:
        return PROBE_WIDTH if is_recovered else 0
    if delay.beside_samples < MIN_FIRST_SAMPLES:
        return width
    present = harm(delay, share)
    if present > harm_percent:
        return width // 2
    if 2 * present <= harm_percent and is_recovered:
        return min(2 * width, MAX_WIDTH)
    return width
