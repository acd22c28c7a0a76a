"""Chooses the target of a request by load, zone and cached prefix."""

import collections.abc
import typing

# A request in progress delays a new one as much as the computation of this
# many prompt blocks.
BLOCKS_PER_REQUEST = 4.0
OTHER_ZONE_REQUESTS = 1.0
RANDOM_CHOICES = 2


class Candidate(typing.NamedTuple):
    """A target that may receive a request.

    :ivar work: estimated number of requests in progress
    :ivar cached_blocks: leading blocks of the prompt that are probably in
        the target's cache
    """

    name: str
    availability_zone: str
    work: float
    cached_blocks: int = 0


# Signature of :func:`choose`.
Choose = collections.abc.Callable[
    [
        collections.abc.Sequence[Candidate],
        str,
        collections.abc.Callable[[int], int],
    ],
    str | None,
]


def estimate_work(reported: int, known_then: int, known_now: int) -> int:
    """Return the estimated number of requests in progress at a target.

    :param reported: count in the last report of the target, which lags
    :param known_then: requests known to be in progress when the report
        arrived
    :param known_now: requests known to be in progress now
    :returns: the known requests, plus those that only the report included
    """
    return max(0, reported - known_then) + known_now


def choose(
    candidates: collections.abc.Sequence[Candidate],
    availability_zone: str,
    draw: collections.abc.Callable[[int], int],
) -> str | None:
    """Return the cheapest of a few random targets and the best cached one.

    Comparing only a few random targets prevents hosts that see the same old
    reports from all sending to the same target.

    :param candidates: targets that may receive the request
    :param availability_zone: zone of this host, which is preferred
    :param draw: returns a random integer in [0, argument)
    :returns: name of the target, or ``None`` if there is no candidate
    """
    if not candidates:
        return None
    drawn = [candidates[draw(len(candidates))] for _ in range(RANDOM_CHOICES)]
    near = [
        candidate
        for candidate in candidates
        if candidate.availability_zone == availability_zone
    ]
    if near:
        drawn.append(near[draw(len(near))])
    best = max(
        candidates,
        key=lambda candidate: (candidate.cached_blocks, -candidate.work),
    )
    if best.cached_blocks:
        drawn.append(best)

    def cost(candidate: Candidate) -> float:
        far = candidate.availability_zone != availability_zone
        requests = candidate.work + OTHER_ZONE_REQUESTS * far
        return BLOCKS_PER_REQUEST * requests - candidate.cached_blocks

    return min(drawn, key=cost).name
