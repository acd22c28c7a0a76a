"""Chooses the target of a request."""

import collections.abc
import typing


class Candidate(typing.NamedTuple):
    """A target that may take a request.

    :ivar work: estimated requests in progress
    """

    name: str
    availability_zone: str
    work: float


def choose(
    candidates: collections.abc.Sequence[Candidate],
    availability_zone: str,
    draw: collections.abc.Callable[[int], int],
) -> str | None:
    """Return the less loaded of two random targets.

    :param candidates: targets that may take the request
    :param availability_zone: zone of this host, which is preferred
    :param draw: random number below its argument
    :returns: name of the target, or ``None`` if there is no candidate
    """
    if not candidates:
        return None
    first = candidates[draw(len(candidates))]
    second = candidates[draw(len(candidates))]

    def rank(candidate: Candidate) -> tuple[float, bool]:
        return candidate.work, candidate.availability_zone != availability_zone

    return min(first, second, key=rank).name
