"""Keeps the sends of all hosts within the rate that a target names.

Answers the load at targets that name how many requests a second they take from
all hosts together, less than their slots could run. Each host counts its own
sends and those that its peers report in a token bucket. Sends that a host has
not heard of yet leave the bucket overdrawn, so that the mean rate holds. A
host that hears from only some of the others uses a share of the rate.

``persimmonpass-gateway`` uses this module for online requests and batch items.
"""

import collections.abc
import math
import typing

from persimmonpass.policy import shards
from persimmonpass.policy import token_buckets

# Sends that a target may get at once, in seconds of its rate.
BURST_SECONDS = 1.0
# Tokens that batch items leave for online requests, in seconds of the rate.
ONLINE_RESERVE_SECONDS = 0.5
# Requests a second that a target gets at least. Its answers are the only way
# to learn that its limit has changed.
MIN_RATE = 0.25
# Time in which a notice of a send reaches the peers. Hosts that wait for the
# same token take turns at this interval instead of all sending at once.
TURN_SECONDS = 0.015
# The order of the hosts changes this often, in case that the first of them has
# no requests.
ROTATION_SECONDS = 1.0


# A bucket of a lower capacity is open to no more hosts than it holds tokens.
# Above it, the slack of the limit covers what hosts send at the same moment.
MIN_OPEN_CAPACITY = 3.0
Bucket = token_buckets.Bucket


class Statement(typing.NamedTuple):
    """What an answer says about the limit of its target.

    :ivar rate: requests a second from all hosts; ``None`` for no limit
    """

    rate: float | None


class Allowance(typing.NamedTuple):
    """What a limited target takes at present.

    :ivar rate: requests a second that this host may count on
    :ivar room: requests that this host may send now
    :ivar capacity: highest possible room
    """

    rate: float
    room: float
    capacity: float

    @property
    def may_send(self) -> bool:
        """Whether an online request may be sent now."""
        return self.room >= 1

    @property
    def may_send_batch(self) -> bool:
        """Whether a batch item may be sent now."""
        return self.room >= 1 + ONLINE_RESERVE_SECONDS * self.rate


def read(
    values: collections.abc.Sequence[float], *, is_run: bool
) -> Statement | None:
    """Return what an answer says about the limit of its target.

    Of several limits the lowest one counts. Values that are no limit say
    nothing, and neither does a refusal without a value, which may come from
    the target's queue.

    :param values: requests a second that the answer names; not a number for
        each value that cannot be read
    :param is_run: whether the target ran the request
    """
    valid = [rate for rate in values if math.isfinite(rate) and rate >= 0]
    if valid:
        return Statement(min(valid))
    return Statement(None) if is_run and not values else None


def share(
    host: str,
    members: collections.abc.Collection[str],
    heard: collections.abc.Collection[str],
) -> float:
    """Return the part of each limit that a host may use.

    Hosts that do not hear from each other cannot count each other's sends. If
    each of them uses its part of the limit, the sum stays within the limit.
    Hosts that serve few callers, as they are not members, have no part: they
    are many, hear of no sends, and would all hold a token after a quiet time.

    :param members: hosts that serve callers
    :param heard: hosts whose sends this host knows
    """
    if host not in members:
        return 0.0
    return len({host, *heard} & set(members)) / len(members)


def effective_rate(rate: float, part: float) -> float:
    """Return the requests a second that a host may count on.

    :param rate: requests a second that the target named
    :param part: see :func:`share`
    """
    return max(MIN_RATE, rate) * part


def capacity(rate: float) -> float:
    """Return the highest level of a bucket.

    :param rate: requests a second that the host may count on
    """
    return 1 + BURST_SECONDS * rate


def refill(bucket: Bucket, rate: float, now: float) -> Bucket:
    """Return a bucket after the time since its last change.

    :param rate: requests a second that the host may count on
    :param now: local clock in seconds
    """
    return token_buckets.refill(bucket, rate, capacity(rate), now)


def take(bucket: Bucket, sends: int) -> Bucket:
    """Return a bucket after sends of any host."""
    return token_buckets.take(bucket, sends)


def turn(
    target: str,
    sends: int,
    host: str,
    members: collections.abc.Collection[str],
    rotation: int,
) -> int:
    """Return a host's place in the order in which hosts take the next token.

    The order changes with each send, so that all hosts get their share.

    :param sends: number of sends of all hosts so far
    :param rotation: see :func:`rotation`
    """
    if host not in members:
        return len(members)
    key = f'{target}/{sends}/{rotation}'
    return list(shards.ranked(key, members)).index(host)


def rotation(now: float) -> int:
    """Return a number that changes at each rotation of the hosts.

    The clocks of hosts differ, so that two may take themselves for the first.

    :param now: local clock in seconds
    """
    return int(now / ROTATION_SECONDS)


def allow(bucket: Bucket, rate: float, place: int) -> Allowance:
    """Return what a target takes from a host.

    :param bucket: the present level
    :param rate: requests a second that the host may count on
    :param place: see :func:`turn`
    """
    highest = capacity(rate)
    room = bucket.level - TURN_SECONDS * place * rate
    if highest < MIN_OPEN_CAPACITY and place >= int(highest):
        # The tokens are for the hosts before it, however long it has waited.
        room = min(room, 0.0)
    return Allowance(rate, room, highest)
