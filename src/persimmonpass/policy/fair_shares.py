"""Divides the slots of a service between client accounts.

The slots are divided into max-min fair shares by weight over the accounts that
have demand now. The division matters only while requests wait: an account may
use more than its share of slots that no other account asks for.

Requests hold whole slots, and the share of a small account may be a fraction
of one. An account is therefore judged by what it has used beyond its share
over time, not by the slots that it holds at one moment.
"""

import collections.abc
import typing

from persimmonpass import accounts

# An account may use this many whole requests more than its share before it
# counts as past it. Two requests that arrive together are usual for an account
# that sends two a second. An allowance that grows with the share is too much
# for an account that holds nearly all slots: with a quarter of a request's
# duration at its share, a small account beside it had 3 of 10 requests late.
ALLOWED_REQUESTS = 2.0
# It counts as past its share until this part of the allowance is free again.
RELEASE_SHARE = 0.5
# Requests are refused within a quarter of their objective. The rest is kept
# for timers that fire late.
DECISION_SHARE = 0.2
MAX_RETRY_SECONDS = 3.0
MIN_RETRY_SECONDS = 0.2
# Smallest share, which keeps expected waits finite.
MIN_SHARE = 1e-3


class Weights(typing.NamedTuple):
    """Weights of accounts.

    :ivar by_name: weight by account
    :ivar default: weight of accounts that the configuration does not have
    """

    by_name: dict[str, float]
    default: float

    def of(self, name: str) -> float:
        """Return the weight of an account."""
        return self.by_name.get(name, self.default)


class Standing(typing.NamedTuple):
    """What an account has used in comparison with its share.

    :ivar excess: slot-seconds that it has used beyond its share, negative if
        it has used less
    :ivar is_past: whether it counts as past its share
    """

    excess: float
    is_past: bool = False


def weigh(table: collections.abc.Mapping[str, accounts.Account]) -> Weights:
    """Return the weights of accounts: their rate limits, else the mean limit.

    :param table: accounts by name
    """
    rates = [row.rate_per_second for row in table.values() if row.is_limited]
    default = sum(rates) / len(rates) if rates else 1.0
    return Weights(
        {
            name: row.rate_per_second if row.is_limited else default
            for name, row in table.items()
        },
        default,
    )


def water_level(
    demands: collections.abc.Mapping[str, float],
    weights: Weights,
    slots: float,
) -> float:
    """Return the slots per unit of weight up to which demands are met.

    If all demands fit, the slots that are left raise the level.

    :param demands: slots that each account could use now
    :param slots: slots to divide
    """
    weighed = sorted(
        (demand / weights.of(name), weights.of(name))
        for name, demand in demands.items()
        if demand > 0
    )
    total_weight = sum(weight for _, weight in weighed)
    if not total_weight:
        return float('inf')
    left, left_weight = slots, total_weight
    for ratio, weight in weighed:
        if ratio * left_weight > left:
            return max(0.0, left) / left_weight
        left -= ratio * weight
        left_weight -= weight
    return weighed[-1][0] + left / total_weight


def judge(
    before: Standing | None,
    running: float,
    entitled: float,
    service_seconds: float,
    elapsed: float,
) -> Standing:
    """Return the standing of an account after some time.

    :param before: earlier standing, ``None`` if requests did not wait
    :param running: slots that the account has used since
    :param entitled: slots that it may use
    :param service_seconds: mean duration of a request
    :param elapsed: time since the earlier standing, in seconds
    """
    allowed = ALLOWED_REQUESTS * service_seconds
    if before is None:
        before = Standing(-allowed)
    excess = before.excess + (running - entitled) * elapsed
    excess = min(allowed, max(-allowed, excess))
    limit = -RELEASE_SHARE * allowed if before.is_past else 0.0
    return Standing(excess, excess > limit)


def backlog_seconds(
    ahead: float, entitled: float, service_seconds: float
) -> float:
    """Return the expected wait behind requests of the same account.

    :param ahead: waiting requests of the account that are placed earlier
    :param entitled: slots that the account may use
    :param service_seconds: mean duration of a request
    """
    return (ahead + 1) * service_seconds / max(MIN_SHARE, entitled)


def should_refuse(
    backlog: float, left: float, slack: float, stalled: float
) -> bool:
    """Return whether a request of an account past its share is refused.

    A request that is served late is worth more to its caller than one that is
    refused, comes back behind newer ones and is refused again. A request that
    will be late therefore waits for the end of a short peak. It is refused if
    its account's share does not reach it before its deadline, or if late
    requests have got no slot for longer than its caller waits: such an
    overload will probably not end in time, and the caller learns it now.

    :param backlog: expected wait behind requests of the same account
    :param left: time until the request has to be placed at the latest
    :param slack: time until it has to be placed to be on time
    :param stalled: time for which late requests have got no slot
    """
    return backlog > left or (backlog > slack and stalled > left)


def retry_after(backlog: float, drawn: float) -> float:
    """Return after how many seconds a refused caller should come back.

    By then the account's share has served most of its backlog. The delay is
    jittered below its limit, because a peak of refused requests would
    otherwise come back as one.

    :param backlog: expected wait behind requests of the same account
    :param drawn: random number in [0, 1)
    """
    longest = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, backlog))
    return round(max(MIN_RETRY_SECONDS, longest * (0.7 + 0.3 * drawn)), 2)
