"""Decides about requests by their keys."""

import enum

from persimmonpass import accounts
from persimmonpass.policy import watching

# Up to this age a copy of the configuration counts as confirmed. Freshness is
# reported by watchers, whose watches last a second: in a simulated calm fleet
# of 1 to 40 hosts, 99 in 100 ages were below 1.28 s. A smaller limit would
# make calm hosts ask peers about each unknown key.
CONFIRMED_SECONDS = watching.MAX_COPY_AGE_SECONDS
# Each host asks at most five questions a second.
QUESTION_INTERVAL_SECONDS = 0.2


class Decision(enum.Enum):
    """What happens to a request.

    :cvar SERVE: it is served, on behalf of its account if it has one
    :cvar ASK: a peer is asked for the newest configuration first
    :cvar REFUSE: the key is certainly not valid
    :cvar UNAVAILABLE: this host cannot decide now
    """

    SERVE = 'serve'
    ASK = 'ask'
    REFUSE = 'refuse'
    UNAVAILABLE = 'unavailable'


def is_confirmed(age: float, *, is_behind: bool) -> bool:
    """Return whether a copy of the configuration is up to date.

    :param age: seconds since the copy was known to be complete
    :param is_behind: whether a watcher reported a change that it lacks
    """
    return age < CONFIRMED_SECONDS and not is_behind


def decide(
    *,
    is_known: bool,
    needs_key: bool,
    has_key: bool,
    confirmed: bool,
    expired: bool,
    has_asked: bool,
) -> Decision:
    """Decide about a request.

    :param is_known: whether an account has its key
    :param needs_key: whether its route is not public
    :param has_key: whether it carries a key that may be valid
    :param confirmed: see :func:`is_confirmed`
    :param expired: whether revocation is strict and the copy is too old
    :param has_asked: whether a peer has been asked already
    """
    if not needs_key:
        return Decision.SERVE
    if not has_key:
        return Decision.REFUSE
    if is_known and not expired:
        return Decision.SERVE
    if not is_known and confirmed:
        return Decision.REFUSE
    return Decision.UNAVAILABLE if has_asked else Decision.ASK


def count_changes(
    before: accounts.Accounts | None, after: accounts.Accounts | None
) -> tuple[dict[str, int], dict[str, int]]:
    """Return how many keys came into force and went out of it, by account."""
    old, new = _valid_keys(before), _valid_keys(after)
    added = {
        name: len(keys - old.get(name, set())) for name, keys in new.items()
    }
    gone = {
        name: len(keys - new.get(name, set())) for name, keys in old.items()
    }
    return (
        {name: count for name, count in added.items() if count},
        {name: count for name, count in gone.items() if count},
    )


def _valid_keys(table: accounts.Accounts | None) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for digest, account in table.by_key.items() if table else ():
        found.setdefault(account.name, set()).add(digest)
    return found
