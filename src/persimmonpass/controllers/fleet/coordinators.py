"""Caches which hosts coordinate which targets.

The order of hosts is that of :func:`shards.ranked`. Each host asks for all
targets once a second, so an order is computed again only if a change of the
live hosts affects it.
"""

import collections.abc
import heapq

from persimmonpass.policy import shards

RANKED_HOSTS = 2

_Ranked = list[tuple[int, str]]


def coordinator_key(name: str) -> str:
    """Return the hashing key by which a target's coordinator is chosen."""
    return f'target/{name}'


class Coordinators:
    """The coordinator of each target and the host that would succeed it."""

    def __init__(
        self, live_hosts: collections.abc.Callable[[], list[str]]
    ) -> None:
        """Create an empty cache.

        :param live_hosts: returns the hosts that are alive, this one included
        """
        self._live_hosts = live_hosts
        self._hosts: frozenset[str] = frozenset()
        self._ranked: dict[str, _Ranked] = {}

    def refresh(self, names: collections.abc.Collection[str]) -> None:
        """Update the cache to the hosts that are alive now.

        :param names: names of the present targets; others are dropped from
            the cache
        """
        hosts = frozenset(self._live_hosts())
        added = hosts - self._hosts
        removed = self._hosts - hosts
        self._hosts = hosts
        wanted = set(names)
        self._ranked = {
            name: self._update_ranking(name, ranked, added, removed)
            for name, ranked in self._ranked.items()
            if name in wanted
        }

    def first(self, name: str) -> list[str]:
        """Return the first hosts in a target's order.

        :returns: the coordinator and the host that would succeed it, or
            fewer if fewer hosts are alive
        """
        if name not in self._ranked:
            self._ranked[name] = _rank(name, self._hosts)
        return [host for _, host in self._ranked[name]]

    def _update_ranking(
        self,
        name: str,
        ranked: _Ranked,
        added: frozenset[str],
        removed: frozenset[str],
    ) -> _Ranked:
        """Return a target's order after hosts were added or removed."""
        if any(host in removed for _, host in ranked):
            return _rank(name, self._hosts)
        if not added:
            return ranked
        return heapq.nlargest(RANKED_HOSTS, [*ranked, *_rank(name, added)])


def _rank(name: str, hosts: collections.abc.Iterable[str]) -> _Ranked:
    """Return the first hosts in a target's order with their scores."""
    key = coordinator_key(name)
    scored = [(shards.score(key, host), host) for host in hosts]
    return heapq.nlargest(RANKED_HOSTS, scored)
