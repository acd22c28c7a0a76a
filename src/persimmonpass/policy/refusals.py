"""Decides what a target gets after it has refused requests without a run.

A target refuses a request if it is full, and in the same way one that is too
large for it. It may therefore be blocked after refusals, but not for smaller
requests, nor for the repeated refusals of the same one: work that no target
takes would otherwise keep work from running that all of them take.

Answers a load with requests that no target takes, alone or beside others, and
targets that are full or take nothing.
"""

import collections.abc
import math
import typing

from persimmonpass.policy import backoff

MIN_BLOCK_SECONDS = 0.25
MAX_BLOCK_SECONDS = 2.0
# Refusals that are older say nothing about the target.
RESET_SECONDS = 5.0
# A single refusal may have met a target that was full for a moment.
MIN_REQUESTS = 2
# Kept of each size.
MAX_REQUESTS = 8
# Pause of a batch item after a refusal. It doubles with each one in a row.
MIN_ITEM_PAUSE_SECONDS = 0.3
MAX_ITEM_PAUSE_SECONDS = 8.0
# How long the items of a job come after those of others, as a multiple of the
# pause.
SET_BACK_FACTOR = 2.0
# Pause of an online request until it is sent to another target.
MIN_REQUEST_PAUSE_SECONDS = 0.02


class Refused(typing.NamedTuple):
    """Requests of about the same size that a target has refused in a row.

    :ivar size: size of the smallest one
    :ivar requests: ids of different ones, at most ``MAX_REQUESTS``
    :ivar blocks: how often the target was blocked for them
    :ivar refused_at: local clock of the last refusal, in seconds
    :ivar blocked_until: local clock until which the target gets no requests
        of this size or larger ones, in seconds
    """

    size: int
    requests: frozenset[str]
    blocks: int
    refused_at: float
    blocked_until: float = 0.0


# By the binary logarithm of the size, so that the refusal of a small request
# blocks nothing because of those of large ones.
Table = collections.abc.Mapping[int, Refused]


def with_refusal(
    table: Table, request: str, size: int, now: float
) -> dict[int, Refused]:
    """Return the refusals of a target after another one.

    :param request: id of the refused request
    :param size: its size in any unit, the same for all requests; 0 if it is
        not known
    :param now: local clock in seconds
    """
    size = max(0, size)
    known = table.get(size.bit_length())
    if known is None or now - known.refused_at > RESET_SECONDS:
        known = Refused(size, frozenset(), 0, now)
    is_new = request not in known.requests
    requests = known.requests
    if is_new and len(requests) < MAX_REQUESTS:
        requests |= {request}
    changed = known._replace(
        size=min(known.size, size), requests=requests, refused_at=now
    )
    # Refusals during a block are of requests that were sent before it.
    if is_new and len(requests) >= MIN_REQUESTS and now >= known.blocked_until:
        blocks = known.blocks + 1
        changed = changed._replace(
            blocks=blocks, blocked_until=now + _block_seconds(blocks)
        )
    return {**table, size.bit_length(): changed}


def without_taken(table: Table, size: int) -> dict[int, Refused]:
    """Return the refusals of a target after it has taken a request.

    :param size: size of the request; 0 if it is not known
    """
    return {key: row for key, row in table.items() if row.size > size}


def smallest_blocked(table: Table, now: float) -> float:
    """Return the size from which on a target gets no requests at present.

    :param now: local clock in seconds
    :returns: infinite if the target is not blocked
    """
    return min(
        (row.size for row in table.values() if now < row.blocked_until),
        default=math.inf,
    )


def item_pause(refusals: int) -> float:
    """Return how long a refused batch item waits, in seconds.

    :param refusals: number of refusals in a row, at least 1
    """
    return backoff.doubled(
        MIN_ITEM_PAUSE_SECONDS, refusals, MAX_ITEM_PAUSE_SECONDS
    )


def set_back_seconds(refusals: int) -> float:
    """Return how long the items of a job come after those of other jobs.

    They take the slots that others leave meanwhile. The time is limited, as
    the targets may have been full.

    :param refusals: refusals of items of the job in a row, at least 1
    """
    return SET_BACK_FACTOR * item_pause(refusals)


def request_pause(refusals: int) -> float:
    """Return how long a refused online request waits, in seconds.

    A target that refuses a request once more was not full for a moment only.

    :param refusals: refusals of the request by the same target, at least 1
    """
    if refusals <= 1:
        return MIN_REQUEST_PAUSE_SECONDS
    return _block_seconds(refusals - 1)


def _block_seconds(blocks: int) -> float:
    return backoff.doubled(MIN_BLOCK_SECONDS, blocks, MAX_BLOCK_SECONDS)
