"""Chooses the core hosts of a large fleet.

In a small fleet every host has links to all others. In a large fleet each
host has links to some hosts and to the core, and core hosts have links to all
hosts. Callers are sent to core hosts only: a host that receives a small part
of the requests would know too little about the load of the targets. Only core
hosts watch the store or run batch, and only they take these duties over.
"""

import collections
import collections.abc
import typing

from persimmonpass.policy import shards

KEY = 'core'
# A fleet of this size or less has no core: all hosts are linked to each other.
MAX_MESH_HOSTS = 16
# The fleet tolerates the loss of several core hosts at once, as each of them
# keeps a link to every host. Each core host notifies all others of each of its
# requests, so that the notices grow with the size of the core.
CORE_HOSTS = 10
# Heartbeats that a host outside the core sends at each tick of membership. Its
# failure affects few callers, so that it may be detected a little later.
OUTSIDE_HEARTBEATS = 1


class CoreHost(typing.NamedTuple):
    """A candidate for the core.

    :ivar cores: processors that the host may use
    """

    host: str
    availability_zone: str
    cores: float


def is_needed(count: int) -> bool:
    """Return whether a fleet has a core.

    :param count: number of live hosts
    """
    return count > MAX_MESH_HOSTS


def choose(hosts: collections.abc.Collection[CoreHost]) -> list[str]:
    """Return the core hosts of a fleet, the largest first.

    Availability zones contribute equally as far as they have enough hosts. In
    a small fleet all hosts are core hosts.

    :param hosts: live hosts
    """
    size = CORE_HOSTS if is_needed(len(hosts)) else len(hosts)
    ranked = sorted(
        hosts,
        key=lambda row: (row.cores, shards.score(KEY, row.host), row.host),
        reverse=True,
    )
    hosts_by_zone: collections.Counter[str] = collections.Counter()
    rounds: list[tuple[int, int]] = []
    for index, row in enumerate(ranked):
        rounds.append((hosts_by_zone[row.availability_zone], index))
        hosts_by_zone[row.availability_zone] += 1
    chosen = sorted(index for _, index in sorted(rounds)[:size])
    return [ranked[index].host for index in chosen]


def watch_order(
    chosen: collections.abc.Sequence[str],
) -> list[str]:
    """Return the core hosts in order of preference as watcher of the store.

    The watcher sends every update to all core hosts, some tens of Mbit/s in
    a large fleet. That needs a large host. The largest one comes last,
    because it runs batch.

    :param chosen: core hosts, the largest first
    """
    return [*chosen[1:], *chosen[:1]]


def links(
    me: str,
    chosen: collections.abc.Collection[str],
    hosts: collections.abc.Set[str],
    kept: collections.abc.Collection[str],
) -> set[str]:
    """Return the hosts to which a host keeps links.

    :param me: name of the host
    :param chosen: core hosts
    :param hosts: live hosts that can be reached
    :param kept: hosts to which it keeps links in any case
    """
    wanted = hosts if me in chosen else hosts & set(chosen)
    return (set(kept) | wanted) - {me}
