"""Decides which hosts call the store, and which follow the copies of others.

Few hosts watch the store and report how complete their copies are; the others
rely on these reports. Answers a store or a watcher that is slow: if all hosts
called the store as soon as a copy is a little old, their calls would delay the
watchers further. They take over one after the other instead.
"""

import collections.abc
import typing

from persimmonpass.policy import shards

# Number of hosts that watch the store. There are two because one may lose its
# connection to the store without anyone noticing. They watch all kinds, so
# that one notice can report on all of them.
WATCHERS = 2
WATCH_KEY = 'watch'
# A host relies on a copy as long as it was known to be complete within this
# time.
MAX_COPY_AGE_SECONDS = 1.6
# A host that has sent no report for this long no longer counts as a watcher.
WATCHER_TIMEOUT_SECONDS = 0.8
# Of two successive hosts in the order of preference, the second one waits this
# much longer before it calls the store in place of the watchers.
FALLBACK_STEP_SECONDS = 0.3
MAX_SILENCE_STEPS = 3


class PeerCopy(typing.NamedTuple):
    """State of a peer's copy, as the peer reported it.

    :ivar version: the store's counter up to which the copy is complete
    :ivar received_at: local clock when the report arrived, in seconds
    :ivar fresh_at: local clock when the copy was last known to be complete,
        in seconds
    :ivar last_change_version: version of the last change of this kind; nothing
        changed between it and ``version``
    """

    version: int
    received_at: float
    fresh_at: float
    last_change_version: int


Copies = collections.abc.Mapping[str, PeerCopy]


def hosts_before(
    host: str,
    connected: collections.abc.Iterable[str],
    candidates: list[str] | None,
) -> list[str]:
    """Return the hosts that are to call the store before a host.

    :param connected: peers to which the host has a link
    :param candidates: hosts that may watch, in order of preference; ``None``
        for all connected hosts
    """
    hosts = {host, *connected}
    ranked = list(shards.preferred(WATCH_KEY, hosts, candidates))
    return ranked[: ranked.index(host)] if host in ranked else ranked


def patience_seconds(count_before: int) -> float:
    """Return up to which age a host relies on the copies of others.

    :param count_before: number of hosts that are to call the store first
    """
    steps = max(0, count_before - WATCHERS)
    return MAX_COPY_AGE_SECONDS + FALLBACK_STEP_SECONDS * steps


def current(copies: Copies, now: float) -> dict[str, PeerCopy]:
    """Return the copies that can be relied on, by host.

    :param now: local clock in seconds
    """
    return {
        host: copy
        for host, copy in copies.items()
        if now - copy.received_at < WATCHER_TIMEOUT_SECONDS
        and now - copy.fresh_at < MAX_COPY_AGE_SECONDS
    }


def can_follow(
    copies: Copies,
    before: collections.abc.Collection[str],
    now: float,
    *,
    reads_store: bool,
) -> bool:
    """Return whether a host can follow others instead of calling the store.

    Silence is answered sooner than reports of an old copy: watchers that
    report are alive, and probably no host reaches the store.

    :param before: hosts that are to call the store first
    :param now: local clock in seconds
    :param reads_store: whether the host calls the store now. It then follows
        only hosts before it, as otherwise two hosts would follow each other.
    """
    steps = len(before) - WATCHERS
    if steps < 0:
        return False
    followed = [
        copy
        for host, copy in copies.items()
        if not reads_store or host in before
    ]
    if not followed:
        return False
    silent_steps = min(steps, MAX_SILENCE_STEPS)
    timeout = WATCHER_TIMEOUT_SECONDS + FALLBACK_STEP_SECONDS * silent_steps
    if now - max(copy.received_at for copy in followed) >= timeout:
        return False
    fresh_at = max(copy.fresh_at for copy in followed)
    return now - fresh_at < patience_seconds(len(before))


def next_check_at(copies: Copies, count_before: int) -> float:
    """Return when the copies may no longer be relied on.

    :returns: local clock in seconds
    """
    rows = copies.values()
    received_at = max((copy.received_at for copy in rows), default=0.0)
    fresh_at = max((copy.fresh_at for copy in rows), default=0.0)
    return min(
        received_at + WATCHER_TIMEOUT_SECONDS,
        fresh_at + patience_seconds(count_before),
    )
