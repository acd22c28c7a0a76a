"""Remembers which hosts coordinate which targets.

The order of hosts is that of :func:`shards.ranked`. It is worked out anew only
for the targets that a change of hosts concerns, since each host asks for all
targets once a second.
"""

import collections.abc
import heapq

from persimmonpass.policy import shards

RANKS = 2

_Ranked = list[tuple[int, str]]


def coordinator_key(name: str) -> str:
    """Return the key under which a target's coordinator is chosen."""
    return f'target/{name}'


class Coordinators:
    """First hosts of each target."""

    def __init__(
        self, live_hosts: collections.abc.Callable[[], list[str]]
    ) -> None:
        self._live_hosts = live_hosts
        self._hosts: frozenset[str] = frozenset()
        self._ranked: dict[str, _Ranked] = {}

    def refresh(self, names: collections.abc.Collection[str]) -> None:
        """Follow the live hosts.

        :param names: targets that are remembered from now on
        """
        hosts = frozenset(self._live_hosts())
        added = hosts - self._hosts
        removed = self._hosts - hosts
        self._hosts = hosts
        wanted = set(names)
        self._ranked = {
            name: self._follow(name, ranked, added, removed)
            for name, ranked in self._ranked.items()
            if name in wanted
        }

    def first(self, name: str) -> list[str]:
        """Return the coordinator of a target and the host after it."""
        if name not in self._ranked:
            self._ranked[name] = _rank(name, self._hosts)
        return [host for _, host in self._ranked[name]]

    def _follow(
        self,
        name: str,
        ranked: _Ranked,
        added: frozenset[str],
        removed: frozenset[str],
    ) -> _Ranked:
        if any(host in removed for _, host in ranked):
            return _rank(name, self._hosts)
        if not added:
            return ranked
        return heapq.nlargest(RANKS, [*ranked, *_rank(name, added)])


def _rank(name: str, hosts: collections.abc.Iterable[str]) -> _Ranked:
    key = coordinator_key(name)
    scored = [(shards.score(key, host), host) for host in hosts]
    return heapq.nlargest(RANKS, scored)
