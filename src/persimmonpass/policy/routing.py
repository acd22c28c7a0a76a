"""Chooses the target of a request."""

import collections.abc
import typing

# A request in progress slows a new one down as much as the computation of
# this many prompt blocks.
BLOCKS_PER_REQUEST = 4.0
FAR_ZONE_REQUESTS = 1.0
DRAWS = 2


class Candidate(typing.NamedTuple):
    """A target that may take a request.

    :ivar work: estimated requests in progress
    :ivar cached_blocks: leading prompt blocks that it probably has cached
    """

    name: str
    availability_zone: str
    work: float
    cached_blocks: int = 0


Choose = collections.abc.Callable[
    [
        collections.abc.Sequence[Candidate],
        str,
        collections.abc.Callable[[int], int],
    ],
    str | None,
]


def estimate_work(reported: int, known_then: int, known_now: int) -> int:
    """Return the requests that are probably in progress at a target.

    :param reported: count of the target's last report, which lags
    :param known_then: sends of all hosts in progress when it arrived
    :param known_now: sends of all hosts in progress now
    :returns: what we know of now, and what the report had beyond that
    """
    return max(0, reported - known_then) + known_now


def choose(
    candidates: collections.abc.Sequence[Candidate],
    availability_zone: str,
    draw: collections.abc.Callable[[int], int],
) -> str | None:
    """Return the cheapest of two random targets and the best cached one.

    Few random choices keep hosts that see the same old reports from all
    sending to the same target.

    :param candidates: targets that may take the request
    :param availability_zone: zone of this host, which is preferred
    :param draw: random number below its argument
    :returns: name of the target, or ``None`` if there is no candidate
    """
    if not candidates:
        return None
    drawn = [candidates[draw(len(candidates))] for _ in range(DRAWS)]
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
        requests = candidate.work + FAR_ZONE_REQUESTS * far
        return BLOCKS_PER_REQUEST * requests - candidate.cached_blocks

    return min(drawn, key=cost).name
