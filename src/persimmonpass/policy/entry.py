"""Selects and orders the entry addresses that are offered to a caller."""

import collections.abc
import typing

from persimmonpass import blackboard

MAX_ADDRESSES = 32


class EntryHost(typing.NamedTuple):
    """A host that may accept callers.

    :ivar address: address for callers
    :ivar state: membership state, such as ``alive``
    :ivar load: requests in progress, or ``None`` if unknown
    :ivar seconds_in_state: time since the host was seen to enter its state
    """

    host: str
    address: str
    availability_zone: str
    state: str
    load: int | None
    seconds_in_state: float = 0.0


def hosts_of(
    members: collections.abc.Iterable[blackboard.Member],
    loads: collections.abc.Callable[[str], int | None],
    seconds_in_state: collections.abc.Callable[[str], float],
) -> list[EntryHost]:
    """Return the members as hosts that may accept callers.

    :param loads: returns the requests in progress at a host, or ``None`` if
        unknown
    :param seconds_in_state: returns the time since a host was seen to enter
        its state
    """
    return [
        EntryHost(
            member.host,
            member.caller_address,
            member.availability_zone,
            member.state,
            loads(member.host),
            seconds_in_state(member.host),
        )
        for member in members
    ]


def without_silent(
    alive: collections.abc.Sequence[EntryHost],
    me: str,
    heard: collections.abc.Collection[str],
) -> list[EntryHost]:
    """Return the hosts of which something was heard lately.

    A host that loses its power says nothing. It takes seconds until it counts
    as suspect, since a slow host may only have missed a heartbeat; a caller
    that is sent elsewhere meanwhile loses nothing, and one that is sent there
    loses a second.

    :param alive: live hosts
    :param me: this host
    :param heard: hosts of which something was heard lately
    :returns: all hosts if this host hears of none, as it may be cut off
    """
    found = [row for row in alive if row.host == me or row.host in heard]
    return found if any(row.host != me for row in found) else list(alive)


PREFERRED_STATES = ('alive', 'suspect', 'leaving')
# A host that stops takes requests only while they can end before it does.
# Hosts that began to leave this much before the last one have less time.
LEAVING_SPREAD_SECONDS = 0.5


def order(
    hosts: collections.abc.Iterable[EntryHost],
    availability_zone: str,
    draw: collections.abc.Callable[[], float],
    limit: int = MAX_ADDRESSES,
) -> list[str]:
    """Return addresses in random order, those in the caller's zone first.

    Hosts with less load are more likely to come early. Suspect hosts are
    returned only if no host is alive, and leaving hosts only if no host is
    alive or suspect; of these, the ones that began to leave last. Starting and
    dead hosts are never returned.

    :param hosts: all known hosts
    :param availability_zone: zone of the caller, or empty
    :param draw: returns a random number in [0, 1)
    :param limit: maximum number of addresses
    """
    usable: list[EntryHost] = []
    known = list(hosts)
    for state in PREFERRED_STATES:
        usable = [host for host in known if host.state == state]
        if usable:
            break
    if usable and usable[0].state == 'leaving':
        usable = _newest(usable)
    loads = [host.load for host in usable if host.load is not None]
    mean = sum(loads) / len(loads) if loads else 0.0

    def rank(host: EntryHost) -> tuple[bool, float]:
        far = host.availability_zone != availability_zone
        load = mean if host.load is None else host.load
        return far, -((1 - draw()) ** (load + 1))

    return [host.address for host in sorted(usable, key=rank)][:limit]


def _newest(leaving: list[EntryHost]) -> list[EntryHost]:
    """Return the hosts that began to leave last."""
    least = min(host.seconds_in_state for host in leaving)
    return [
        host
        for host in leaving
        if host.seconds_in_state <= least + LEAVING_SPREAD_SECONDS
    ]
