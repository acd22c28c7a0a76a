"""Keeps the requests of an account on all hosts within its rate.

Each core host has a bucket of the full rate, from which it deducts the sends
of all core hosts. A host that hears only some of the core uses its share of
the rate, so that the parts of a divided fleet stay within the rate together.
"""

import collections.abc
import math
import typing

from persimmonpass.policy import shards
from persimmonpass.policy import token_buckets

MAX_RETRY_SECONDS = 3.0
# Callers that were refused together return over up to this part of the wait.
RETRY_JITTER = 0.2
# Core hosts that are asked for a token at most.
MAX_ASKED_HOSTS = 2


class Limit(typing.NamedTuple):
    """The limit of an account over all hosts.

    :ivar rate: requests a second
    :ivar burst: requests that may exceed the rate at once
    """

    rate: float
    burst: float

    def capacity(self, part: float = 1.0) -> float:
        """Return the highest level of a bucket at a part of the limit."""
        return max(1.0, part * self.burst)


class Admission(typing.NamedTuple):
    """Result of an attempt to take a token.

    :ivar bucket: bucket after the attempt
    :ivar wait_seconds: 0 if a token was taken, otherwise the time until the
        bucket has one
    """

    bucket: token_buckets.Bucket
    wait_seconds: float


def start(limit: Limit, part: float, now: float) -> token_buckets.Bucket:
    """Return the bucket of a host that has just started.

    Its level is this host's share of the burst, so that a restart of all hosts
    allows no second burst.

    :param part: share of the rate that the host may use
    """
    return token_buckets.Bucket(limit.capacity(part), now)


def refill(
    bucket: token_buckets.Bucket, limit: Limit, part: float, now: float
) -> token_buckets.Bucket:
    """Return a bucket after the time since its last change.

    :param part: share of the rate that the host may use
    """
    return token_buckets.refill(
        bucket, part * limit.rate, limit.capacity(part), now
    )


def admit(
    bucket: token_buckets.Bucket, limit: Limit, part: float
) -> Admission:
    """Take a token from a bucket if there is one.

    :param bucket: the present level
    :param part: share of the rate that the host may use
    """
    if bucket.level >= 1:
        return Admission(token_buckets.take(bucket, 1), 0.0)
    rate = max(part, 1e-3) * limit.rate
    wait = token_buckets.seconds_until_token(bucket, rate)
    return Admission(bucket, max(wait, 1e-3))


def reduce(
    bucket: token_buckets.Bucket, before: float, part: float, recent: float
) -> token_buckets.Bucket:
    """Return a bucket after the host's share became smaller.

    Until the host noticed that it does not hear some others, all of them used
    the same tokens. What they held, and not only what is left of it, is
    divided.

    :param before: share of the rate so far
    :param part: share of the rate from now on
    :param recent: tokens taken since the last notices of the unheard hosts
    """
    held = max(0.0, bucket.level + recent)
    return token_buckets.take(bucket, (1 - part / before) * held)


def promise(promised_at: float, wait: float, rate: float, now: float) -> float:
    """Return when a refused request will find a token, by the local clock.

    :param promised_at: the same for the request refused before it
    :param wait: time until the bucket has a token, in seconds
    :param rate: tokens a second for the requests of this host
    """
    at = max(now + wait, promised_at + 1 / rate)
    return min(at, now + MAX_RETRY_SECONDS)


def retry_after(wait: float, drawn: float) -> float:
    """Return after how many seconds a refused caller should retry.

    :param wait: time until there is a token for its request, in seconds
    :param drawn: random number in [0, 1)
    """
    jittered = min(MAX_RETRY_SECONDS, wait * (1 + RETRY_JITTER * drawn))
    return math.ceil(100 * jittered) / 100


def hosts_to_ask(
    account: str, core: collections.abc.Collection[str]
) -> collections.abc.Sequence[str]:
    """Return the core hosts that a host outside the core asks, in order."""
    return shards.ranked(account, core)[:MAX_ASKED_HOSTS]
