"""Decides which account, job and chunk of batch work runs next."""

import collections.abc
import typing


class Candidate(typing.NamedTuple):
    """A job that may have items to run.

    :ivar left_seconds: time until the job is due, negative if it is overdue
    :ivar age_seconds: time since the job was accepted
    """

    account: str
    job: str
    left_seconds: float
    age_seconds: float


class Share(typing.NamedTuple):
    """State of start-time fair queueing between accounts.

    :ivar virtual: virtual time, the start tag of the last served item
    :ivar finish: finish tag of the last item of each account
    """

    virtual: float = 0.0
    finish: dict[str, float] = {}


def start_tag(share: Share, account: str) -> float:
    """Return the start tag of an account's next item.

    The tag is never earlier than the current virtual time, so an idle
    account does not accumulate credit.
    """
    return max(share.virtual, share.finish.get(account, 0.0))


def record_served(share: Share, account: str, tokens: int) -> Share:
    """Return the state after an item of an account was served.

    :param tokens: cost of the item
    """
    start = start_tag(share, account)
    finish = {name: tag for name, tag in share.finish.items() if tag > start}
    return Share(start, {**finish, account: start + tokens})


def order_accounts(
    share: Share, accounts: collections.abc.Iterable[str]
) -> list[str]:
    """Return accounts sorted by start tag, least served first."""
    return sorted(accounts, key=lambda name: (start_tag(share, name), name))


def order_jobs(
    candidates: collections.abc.Iterable[Candidate],
) -> list[Candidate]:
    """Return jobs of one account sorted by due time, then oldest first."""
    return sorted(
        candidates,
        key=lambda job: (job.left_seconds, -job.age_seconds, job.job),
    )


def pick_part(
    parts: int, start: int, is_open: collections.abc.Callable[[int], bool]
) -> int | None:
    """Return the first open part at or after ``start``, wrapping around.

    Hosts start at different parts, so they rarely claim the same one.

    :param parts: number of parts
    :param start: number of the part at which this host starts
    :param is_open: returns whether the part with a number can be claimed
    :returns: number of the part, or ``None`` if no part is open
    """
    for step in range(parts):
        number = (start + step) % parts
        if is_open(number):
            return number
    return None


def estimate_seconds(
    items: int, finished: int, rate_per_second: float
) -> float | None:
    """Return the remaining run time of a job in seconds.

    :param rate_per_second: items that finish per second
    :returns: seconds, or ``None`` if no item has finished lately
    """
    if finished >= items:
        return 0.0
    if rate_per_second <= 0:
        return None
    return (items - finished) / rate_per_second
