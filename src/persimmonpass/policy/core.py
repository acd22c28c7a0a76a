"""Chooses the hosts that act for a large fleet.

In a small fleet every host has links to all others. In a large one each has
links to some and to the core, and the core has links to all: callers are sent
to the core, and whoever watches the store, runs batch or takes it over is one
of it. A host that takes a small part of the requests only would know little
of what runs where.
"""

import collections
import collections.abc
import typing

from persimmonpass.policy import shards

KEY = 'core'
# Losing several of them at once is borne; each keeps a link to every host. A
# request costs a host about 0.03 s of a processor, batch with it.
CORE_HOSTS = 16


class CoreHost(typing.NamedTuple):
    """A host that may be of the core.

    :ivar cores: processors that it may use
    """

    host: str
    availability_zone: str
    cores: float


def choose(hosts: collections.abc.Iterable[CoreHost]) -> list[str]:
    """Return the core of a fleet, the largest hosts first.

    Each availability zone gives as many as the others.

    :param hosts: those that live
    """
    ranked = sorted(
        hosts,
        key=lambda one: (one.cores, shards.score(KEY, one.host), one.host),
        reverse=True,
    )
    taken: collections.Counter[str] = collections.Counter()
    turns: list[tuple[int, int]] = []
    for index, one in enumerate(ranked):
        turns.append((taken[one.availability_zone], index))
        taken[one.availability_zone] += 1
    chosen = sorted(index for _, index in sorted(turns)[:CORE_HOSTS])
    return [ranked[index].host for index in chosen]


def watch_order(
    chosen: collections.abc.Sequence[str],
) -> list[str]:
    """Return the hosts of the core in the order in which they watch.

    What a watcher hears it sends to all of the core, some tens of Mbit/s in
    a large fleet. That needs a large host, and the first one runs batch.

    :param chosen: the core, the largest hosts first
    """
    return [*chosen[1:], *chosen[:1]]


def links(
    me: str,
    chosen: collections.abc.Collection[str],
    hosts: collections.abc.Set[str],
    kept: collections.abc.Collection[str],
) -> set[str]:
    """Return the hosts to which a host keeps links.

    :param chosen: the core
    :param hosts: those that live and can be called
    :param kept: what it would keep in any case
    """
    wanted = hosts if me in chosen else hosts & set(chosen)
    return (set(kept) | wanted) - {me}
