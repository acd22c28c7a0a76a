"""Decides whether a request is admitted, waits or is refused."""

import typing

SMOOTHING = 0.1


class Bucket(typing.NamedTuple):
    """A token bucket.

    :ivar tokens: requests that may start now
    :ivar time: local clock of the last change, in seconds
    """

    tokens: float
    time: float


class Load(typing.NamedTuple):
    """Work behind one limit.

    :ivar running: requests in progress
    :ivar waiting: requests in the queue
    :ivar concurrency: requests that may be in progress
    :ivar mean_seconds: mean duration of requests, 0 while unknown
    """

    running: int
    waiting: int
    concurrency: int
    mean_seconds: float


class Taken(typing.NamedTuple):
    """Outcome of taking a token.

    :ivar wait_seconds: 0 if a token was taken, else when there is one
    """

    bucket: Bucket
    wait_seconds: float


def take_token(bucket: Bucket, now: float, rate: float, burst: float) -> Taken:
    """Take a token.

    :param rate: tokens a second
    :param burst: tokens that the bucket holds
    """
    grown = bucket.tokens + (now - bucket.time) * rate
    tokens = min(max(1.0, burst), grown)
    if tokens >= 1:
        return Taken(Bucket(tokens - 1, now), 0.0)
    return Taken(Bucket(tokens, now), (1 - tokens) / rate)


def expected_wait(load: Load) -> float:
    """Return the seconds until a request that comes now would start."""
    if load.running < load.concurrency and not load.waiting:
        return 0.0
    return (load.waiting + 1) * load.mean_seconds / load.concurrency


def meets_deadline(load: Load, left_seconds: float) -> bool:
    """Return whether a request that comes now would end in time."""
    return expected_wait(load) + load.mean_seconds < left_seconds


def smooth(mean_seconds: float, seconds: float) -> float:
    """Return the moving mean after one more duration."""
    if mean_seconds == 0:
        return seconds
    return mean_seconds + SMOOTHING * (seconds - mean_seconds)
