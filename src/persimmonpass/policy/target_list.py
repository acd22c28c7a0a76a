"""Decides which targets are listed and which are leaving."""

import collections.abc
import typing

DROP_AFTER_READS = 3

Identity = tuple[str, str]


class Listing(typing.NamedTuple):
    """A target as this host last saw it in the list.

    :ivar address: ``ip:port``
    :ivar missed_reads: reads of the list since then that lacked it
    """

    address: str
    missed_reads: int = 0


def merge_list(
    present: collections.abc.Mapping[str, Listing],
    read: collections.abc.Mapping[str, str],
    leaving: collections.abc.Container[Identity],
) -> dict[str, Listing]:
    """Return the listed targets after one more read of the lagging list.

    A target is dropped only once several reads in a row lacked it. An older
    list that shows the leaving predecessor of a target counts as a read that
    lacked the target.

    :param present: listed targets by name until now
    :param read: addresses by name that the read showed
    :param leaving: names and addresses that are leaving
    """
    merged = {name: Listing(address) for name, address in read.items()}
    for name, listing in present.items():
        address = read.get(name)
        if address == listing.address:
            continue
        superseded = address is not None and (name, address) not in leaving
        kept = listing._replace(missed_reads=listing.missed_reads + 1)
        if not superseded and kept.missed_reads < DROP_AFTER_READS:
            merged[name] = kept
    return merged


def list_interval(
    hosts: int, reads_per_second: float, shortest_seconds: float
) -> float:
    """Return the seconds between two reads of the list by one host.

    :param hosts: live hosts, which all read it
    :param reads_per_second: reads of the whole fleet
    :param shortest_seconds: interval of a small fleet
    """
    return max(shortest_seconds, hosts / reads_per_second)
