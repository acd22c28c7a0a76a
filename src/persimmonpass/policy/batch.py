"""Decides what batch work runs next."""

import collections.abc
import typing


class Candidate(typing.NamedTuple):
    """A job that has items to run.

    :ivar left_seconds: time until it is due, negative if it is late
    :ivar age_seconds: time since it was accepted
    """

    account: str
    job: str
    left_seconds: float
    age_seconds: float


def admit(
    served: dict[str, float], active: collections.abc.Iterable[str]
) -> dict[str, float]:
    """Return what each active account was served.

    An account that becomes active starts level with the least served one,
    so that a pause earns it no credit.

    :param served: tokens served to the accounts that were active before
    :param active: accounts with items to run now
    """
    wanted = set(active)
    known = [tokens for name, tokens in served.items() if name in wanted]
    floor = min(known, default=0.0)
    return {name: served.get(name, floor) for name in wanted}


def order(
    candidates: collections.abc.Iterable[Candidate],
    served: collections.abc.Mapping[str, float],
) -> list[Candidate]:
    """Sort jobs: least served account, then earliest due, then oldest."""
    return sorted(
        candidates,
        key=lambda job: (
            served.get(job.account, 0.0),
            job.account,
            job.left_seconds,
            -job.age_seconds,
            job.job,
        ),
    )


def pick_part(
    parts: int, start: int, is_open: collections.abc.Callable[[int], bool]
) -> int | None:
    """Return the first open part from a place on, around the end.

    Hosts start at different places, so that they seldom meet.

    :param parts: number of parts
    :param start: where this host starts
    """
    for step in range(parts):
        number = (start + step) % parts
        if is_open(number):
            return number
    return None


def estimate_seconds(
    items: int, finished: int, rate_per_second: float
) -> float | None:
    """Return how long a job still takes, or ``None`` if that is unknown."""
    if finished >= items:
        return 0.0
    if rate_per_second <= 0:
        return None
    return (items - finished) / rate_per_second
