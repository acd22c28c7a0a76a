"""Chooses the peers to which a host keeps links.

A small fleet is fully meshed. In a large fleet each host has links to its
successors on a hash ring, so that every host is monitored. It also has links
to a few hosts chosen by rendezvous hashing, and to one relay of its
availability zone. Relays link the zones to each other. Hashing keeps most
links unchanged when hosts join or leave.
"""

import collections.abc
import heapq

from persimmonpass.policy import shards

MESH_HOSTS = 32
SUCCESSORS = 2
HASHED_LINKS = 6
RELAYS_PER_ZONE = 3

# Availability zone by host.
Zones = collections.abc.Mapping[str, str]


def links(host: str, zones: Zones) -> set[str]:
    """Return the peers to which a host keeps links.

    :param host: a host of ``zones``
    :param zones: availability zone of every host that is not dead
    """
    others = [other for other in zones if other != host]
    if len(zones) <= MESH_HOSTS:
        return set(others)
    chosen = set(_successors(host, others))
    chosen.update(_top(f'link/{host}', others, HASHED_LINKS))
    own = relays(zones[host], zones)
    chosen.update(_top(f'link/{host}', own, 1))
    if host in own:
        for zone in set(zones.values()) - {zones[host]}:
            far = relays(zone, zones)
            chosen.update(_top(f'link/{host}', far, 1))
    chosen.discard(host)
    return chosen


def relays(zone: str, zones: Zones) -> list[str]:
    """Return the hosts that link an availability zone to the others."""
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
