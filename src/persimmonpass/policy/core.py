"""Chooses the hosts that act for a large fleet.

In a small fleet every host has links to all others. In a large one each has
links to some and to the core, and the core has links to all: whoever watches
the store, runs batch or takes it over is one of the core.
"""

import collections.abc

from persimmonpass.policy import shards

KEY = 'core'
# Losing several of them at once is borne; each keeps a link to every host.
CORE_HOSTS = 8


def choose(hosts: collections.abc.Iterable[str]) -> list[str]:
    """Return the core of a fleet.

    :param hosts: those that live
    """
    return list(shards.ranked(KEY, hosts))[:CORE_HOSTS]


def links(
    me: str,
    hosts: collections.abc.Collection[str],
    kept: collections.abc.Collection[str],
) -> set[str]:
    """Return the hosts to which a host keeps links.

    :param hosts: those that live, this one too
    :param kept: what it would keep in any case
    """
    core = choose(hosts)
    wanted = set(hosts) if me in core else set(core)
    return (set(kept) | wanted) - {me}
