"""Orders the entry addresses that a caller should use."""

import collections.abc
import typing


class EntryHost(typing.NamedTuple):
    """A host that may take callers.

    :ivar load: requests in progress
    """

    host: str
    address: str
    availability_zone: str
    load: int


def order(
    hosts: collections.abc.Iterable[EntryHost],
    availability_zone: str,
    draw: collections.abc.Callable[[], float],
) -> list[str]:
    """Return addresses, those in the caller's zone first.

    :param hosts: hosts that are alive and not leaving
    :param availability_zone: the caller's zone, or empty
    :param draw: random numbers in [0, 1)
    """

    def rank(host: EntryHost) -> tuple[bool, float]:
        far = host.availability_zone != availability_zone
        return far, (host.load + 1) * draw()

    return [host.address for host in sorted(hosts, key=rank)]
