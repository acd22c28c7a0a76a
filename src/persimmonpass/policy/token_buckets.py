"""Token buckets, which limit a rate and allow short bursts above it."""

import typing


class Bucket(typing.NamedTuple):
    """A token bucket.

    :ivar level: tokens that may be taken now; negative if overdrawn
    :ivar at: local clock of the level, in seconds
    """

    level: float
    at: float


def refill(bucket: Bucket, rate: float, capacity: float, now: float) -> Bucket:
    """Return a bucket after the time since its last change.

    :param rate: tokens added per second
    :param capacity: highest level
    :param now: local clock in seconds
    """
    level = bucket.level + rate * max(0.0, now - bucket.at)
    return Bucket(min(level, capacity), now)


def take(bucket: Bucket, tokens: float) -> Bucket:
    """Return a bucket after tokens were taken, which may overdraw it."""
    return bucket._replace(level=bucket.level - tokens)


def seconds_until_token(bucket: Bucket, rate: float) -> float:
    """Return the time until the bucket has a token, in seconds.

    :param rate: tokens added per second, more than 0
    """
    return max(0.0, 1 - bucket.level) / rate
