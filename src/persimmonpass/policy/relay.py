"""Chooses the peers to which a host keeps links.

A small fleet is fully meshed. In a large one each host links to its
successors on a ring, so that every host is watched, to a few hosts that
rendezvous hashing draws, and to one of its availability zone's relays, which
link the zones with each other. Hashing keeps the links when others come and
go.
"""

import collections.abc
import heapq

from persimmonpass.policy import shards

MESH_HOSTS = 32
SUCCESSORS = 2
DRAWN_LINKS = 6
RELAYS_PER_ZONE = 3

Zones = collections.abc.Mapping[str, str]


def links(host: str, zones: Zones) -> set[str]:
    """Return the peers of a host.

    :param host: a host of ``zones``
    :param zones: availability zone by host, of all hosts not dead
    """
    others = [other for other in zones if other != host]
    if len(zones) <= MESH_HOSTS:
        return set(others)
    chosen = set(_successors(host, others))
    chosen.update(_top(f'link/{host}', others, DRAWN_LINKS))
    own = relays(zones[host], zones)
    chosen.update(_top(f'link/{host}', own, 1))
    if host in own:
        for zone in set(zones.values()) - {zones[host]}:
            far = relays(zone, zones)
            chosen.update(_top(f'link/{host}', far, 1))
    chosen.discard(host)
    return chosen


def relays(zone: str, zones: Zones) -> list[str]:
    """Return the hosts that link an availability zone with the others."""
    inside = [host for host in zones if zones[host] == zone]
    return _top(f'relay/{zone}', inside, RELAYS_PER_ZONE)


def _successors(host: str, others: list[str]) -> list[str]:
    own = shards.score('ring', host)
    size = 1 << 64
    return heapq.nsmallest(
        SUCCESSORS,
        others,
        key=lambda other: ((shards.score('ring', other) - own) % size, other),
    )


def _top(key: str, hosts: list[str], count: int) -> list[str]:
    return heapq.nlargest(
        count, hosts, key=lambda host: (shards.score(key, host), host)
    )
