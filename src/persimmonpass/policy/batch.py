"""Decides what batch work runs next."""

import collections.abc
import typing


class Candidate(typing.NamedTuple):
    """A job that may have items to run.

    :ivar left_seconds: time until it is due, negative if it is late
    :ivar age_seconds: time since it was accepted
    """

    account: str
    job: str
    left_seconds: float
    age_seconds: float


class Share(typing.NamedTuple):
    """State of start-time fair queueing between accounts.

    :ivar virtual: start tag of the item that was served last
    :ivar finish: finish tag of each account's last item
    """

    virtual: float = 0.0
    finish: dict[str, float] = {}


def start_tag(share: Share, account: str) -> float:
    """Return the start tag of an account's next item.

    It is never before the present virtual time, so that a pause earns an
    account no credit.
    """
    return max(share.virtual, share.finish.get(account, 0.0))


def record_served(share: Share, account: str, tokens: int) -> Share:
    """Return the state after an item was served to an account."""
    start = start_tag(share, account)
    finish = {name: tag for name, tag in share.finish.items() if tag > start}
    return Share(start, {**finish, account: start + tokens})


def order_accounts(
    share: Share, accounts: collections.abc.Iterable[str]
) -> list[str]:
    """Sort accounts: that which was served least goes first."""
    return sorted(accounts, key=lambda name: (start_tag(share, name), name))


def order_jobs(
    candidates: collections.abc.Iterable[Candidate],
) -> list[Candidate]:
    """Sort the jobs of an account: earliest due, then oldest."""
    return sorted(
        candidates,
        key=lambda job: (job.left_seconds, -job.age_seconds, job.job),
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
