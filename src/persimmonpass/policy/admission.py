"""Decides whether a request is admitted, queued or refused."""

import typing

from persimmonpass.policy import token_buckets

SMOOTHING_FACTOR = 0.1
Bucket = token_buckets.Bucket


class Load(typing.NamedTuple):
    """Requests that count towards one limit.

    :ivar running: requests in progress
    :ivar waiting: requests in the queue
    :ivar concurrency: maximum number of requests in progress
    :ivar mean_seconds: mean duration of a request, 0 while unknown
    """

    running: int
    waiting: int
    concurrency: int
    mean_seconds: float


class TokenResult(typing.NamedTuple):
    """Result of an attempt to take a token.

    :ivar bucket: bucket after the attempt
    :ivar wait_seconds: 0 if a token was taken, otherwise the time until the
        next token is available
    """

    bucket: Bucket
    wait_seconds: float


def take_token(
    bucket: Bucket, now: float, rate: float, burst: float
) -> TokenResult:
    """Take a token from a bucket if one is available.

    :param now: local clock in seconds
    :param rate: tokens added per second
    :param burst: capacity of the bucket, at least one token
    :returns: the updated bucket and the time until the next token
    """
    found = token_buckets.refill(bucket, rate, max(1.0, burst), now)
    if found.level >= 1:
        return TokenResult(token_buckets.take(found, 1), 0.0)
    return TokenResult(found, token_buckets.seconds_until_token(found, rate))


def expected_wait(load: Load) -> float:
    """Return the seconds until a request that arrives now would start."""
    if load.running < load.concurrency and not load.waiting:
        return 0.0
    return (load.waiting + 1) * load.mean_seconds / load.concurrency


def meets_deadline(load: Load, left_seconds: float) -> bool:
    """Return whether a request that arrives now would finish in time.

    :param left_seconds: time until the request's deadline
    """
    return expected_wait(load) + load.mean_seconds < left_seconds


def smooth(mean_seconds: float, seconds: float) -> float:
    """Return the exponential moving average with one more duration.

    :param mean_seconds: average so far, 0 if there is none
    :param seconds: duration to add
    """
    if mean_seconds == 0:
        return seconds
    return mean_seconds + SMOOTHING_FACTOR * (seconds - mean_seconds)
