"""Merges successive reads of the target list, which lags behind changes."""

import collections.abc
import typing

DROP_AFTER_READS = 3

# Name and address of a target.
Identity = tuple[str, str]


class Listing(typing.NamedTuple):
    """A target as this host last saw it in the list.

    :ivar address: ``ip:port``
    :ivar missed_reads: later reads of the list that did not contain it
    """

    address: str
    missed_reads: int = 0


def merge_list(
    present: collections.abc.Mapping[str, Listing],
    read: collections.abc.Mapping[str, str],
    leaving: collections.abc.Container[Identity],
) -> dict[str, Listing]:
    """Return the listed targets after one more read of the list.

    The list may lag behind. A target is therefore dropped only after several
    consecutive reads without it. A read of an older list that still contains
    the leaving predecessor of a target counts as a read without the target.

    :param present: targets listed so far, by name
    :param read: addresses in the latest read, by name
    :param leaving: names and addresses of targets that are leaving
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
    """Return the interval between two reads of the list by one host.

    :param hosts: number of live hosts, each of which reads the list
    :param reads_per_second: maximum rate of reads by the whole fleet
    :param shortest_seconds: minimum interval, used in a small fleet
    :returns: interval in seconds
    """
    return max(shortest_seconds, hosts / reads_per_second)
