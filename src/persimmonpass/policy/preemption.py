"""Decides how many batch streams a target runs beside online requests.

``persimmonpassd`` uses this module; ``persimmonpass-gateway`` uses
:mod:`policy.batch_scheduling`.
"""

import collections.abc
import typing

MAX_WIDTH = 32
HOLD_SECONDS = 0.1
# The width grows after an idle time, in seconds, of this value divided by the
# square of ``harm_percent``.
QUIET_SECONDS_PERCENT2 = 50.0
GROW_STEPS = 4
RECOVER_SECONDS = 10.0
MIN_SAMPLES = 24
MIN_FIRST_SAMPLES = 6
PROBE_WIDTH = 1


class Limits(typing.NamedTuple):
    """Numbers of batch streams that the measured delays permit.

    :ivar shared: batch streams while online requests run
    :ivar idle: batch streams right after the last online request ended
    """

    shared: int = 0
    idle: int = 0


class Delay(typing.NamedTuple):
    """Mean delays of online requests without and with batch.

    :ivar baseline_seconds: mean delay without batch
    :ivar baseline_samples: number of samples without batch
    :ivar with_batch_seconds: mean delay with batch
    :ivar with_batch_samples: number of samples with batch
    """

    baseline_seconds: float
    baseline_samples: int
    with_batch_seconds: float
    with_batch_samples: int


class Stream(typing.NamedTuple):
    """A running batch stream.

    :ivar attempt: id of the attempt
    :ivar tokens: tokens produced so far, which a resumed attempt has to read
        again
    :ivar left_seconds: time until the job is due
    """

    attempt: str
    tokens: int
    left_seconds: float


def allowed_width(
    limits: Limits,
    online: int,
    quiet_seconds: float,
    harm_percent: float,
    is_fully_connected: bool,
) -> int:
    """Return the number of batch streams that may run on a target.

    A request that arrives at an idle target waits for the current decoding
    step of batch. The longer the target has been idle, the rarer such
    requests are, so the width doubles in steps. Twice the ``harm_percent``
    permits twice the width and twice the share of delayed requests. Therefore
    the length of the steps is inversely proportional to its square.

    :param limits: widths that the measured delays permit
    :param online: online requests in progress at the target
    :param quiet_seconds: time since the last online request ended
    :param harm_percent: maximum delay of online requests caused by batch, in
        percent
    :param is_fully_connected: whether every live host can report its online
        requests to this one
    """
    if online or not is_fully_connected or quiet_seconds < HOLD_SECONDS:
        return limits.shared
    width = max(limits.shared, limits.idle)
    if harm_percent <= 0:
        return width
    quiet_needed = QUIET_SECONDS_PERCENT2 / harm_percent**2
    if quiet_seconds < quiet_needed:
        return width
    extra_steps = (quiet_seconds / quiet_needed - 1) * GROW_STEPS
    steps = 1 + int(min(extra_steps, MAX_WIDTH))
    grown_width = max(width, PROBE_WIDTH) << steps
    return min(MAX_WIDTH, grown_width)


def victims(
    streams: collections.abc.Iterable[Stream], width: int
) -> list[str]:
    """Return the attempts to cancel to get down to a width.

    The streams that lose least are cancelled: those due last, and of these
    the ones with the shortest text, which is the cheapest to read again.

    :param width: number of streams that may go on
    """
    ranked = sorted(
        streams, key=lambda stream: (stream.left_seconds, -stream.tokens)
    )
    return [stream.attempt for stream in ranked[width:]]


def slowdown_percent(delay: Delay, share: float = 1.0) -> float:
    """Return by how many percent batch delays online requests.

    :param share: share of the requests that batch can delay, 0 to 1
    """
    return (
        share * 100 * (delay.with_batch_seconds / delay.baseline_seconds - 1)
    )


def adjust(
    width: int,
    delay: Delay,
    harm_percent: float,
    since_shrink_seconds: float,
) -> int:
    """Return the next width beside online requests.

    The width is halved if the delay exceeds ``harm_percent``. It grows by one
    if the linearly extrapolated delay does not exceed it.

    :param width: current number of batch streams
    :param delay: mean times between tokens
    :param harm_percent: maximum delay of online requests caused by batch, in
        percent
    :param since_shrink_seconds: time since the width was last reduced
    """
    if delay.baseline_samples < MIN_SAMPLES:
        return width
    if width == 0:
        return PROBE_WIDTH if since_shrink_seconds >= RECOVER_SECONDS else 0
    if delay.with_batch_samples < MIN_SAMPLES or delay.baseline_seconds <= 0:
        return width
    measured_percent = slowdown_percent(delay)
    if measured_percent > harm_percent:
        return width // 2
    expected_percent = max(measured_percent, 0.0) * (width + 1) / width
    is_recovered = since_shrink_seconds >= RECOVER_SECONDS
    if expected_percent <= harm_percent and is_recovered:
        return min(width + 1, MAX_WIDTH)
    return width


def adjust_idle(
    width: int,
    delay: Delay,
    harm_percent: float,
    share: float,
    since_shrink_seconds: float,
) -> int:
    """Return the next width of an idle target.

    The width is halved if the delay exceeds ``harm_percent``, and doubled if
    twice the delay does not exceed it.

    :param width: current number of batch streams
    :param delay: mean times to the first token of requests that arrive at an
        idle target
    :param harm_percent: maximum delay of online requests caused by batch, in
        percent
    :param share: share of all requests that arrive at an idle target; the
        others are not delayed
    :param since_shrink_seconds: time since the width was last reduced
    """
    if (
        delay.baseline_samples < MIN_FIRST_SAMPLES
        or delay.baseline_seconds <= 0
    ):
        return width
    is_recovered = since_shrink_seconds >= RECOVER_SECONDS
    if width == 0:
        return PROBE_WIDTH if is_recovered else 0
    if delay.with_batch_samples < MIN_FIRST_SAMPLES:
        return width
    measured_percent = slowdown_percent(delay, share)
    if measured_percent > harm_percent:
        return width // 2
    if 2 * measured_percent <= harm_percent and is_recovered:
        return min(2 * width, MAX_WIDTH)
    return width
