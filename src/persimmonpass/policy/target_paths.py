"""Chooses the way to targets that a host cannot reach itself.

Answers the load at hosts that have lost their links to targets, up to all of
them, while other hosts still reach these targets. Callers keep sending to such
a host for seconds, so that it passes their requests through peers. A target
that no host reaches is down, and a way through a peer would not help.

``persimmonpass-gateway`` uses this module for online requests and batch items.
"""

import collections.abc
import typing

from persimmonpass.policy import backoff

# Cost of a peer in another zone, in relayed requests. It keeps the bytes in
# the zone unless the peers there have much more to relay.
OTHER_ZONE_COST = 4
# A host that has lost this many targets checks the others too.
MIN_LOST_TO_CHECK_ALL = 2
MIN_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 4.0
# A target that is lost again within this time has a link that comes and goes.
FLAPPING_SECONDS = 5.0


class Helper(typing.NamedTuple):
    """A peer through which requests can reach a target.

    :ivar relays: requests of this host that go through the peer at present
    """

    host: str
    availability_zone: str
    relays: int


def choose_helper(
    helpers: collections.abc.Iterable[Helper],
    availability_zone: str,
    draw: collections.abc.Callable[[], float],
) -> str | None:
    """Return the peer for the next relayed request, ``None`` without peers.

    :param availability_zone: zone of this host
    :param draw: returns a random number in [0, 1) to break ties
    """
    best = min(
        helpers,
        key=lambda helper: (
            helper.relays
            + OTHER_ZONE_COST
            * (helper.availability_zone != availability_zone),
            draw(),
        ),
        default=None,
    )
    return best.host if best is not None else None


def is_stranded(
    host: str,
    lost: collections.abc.Mapping[str, collections.abc.Collection[str]],
    targets: collections.abc.Collection[str],
) -> bool:
    """Return whether a host has lost most targets, but other hosts have not.

    :param lost: targets that each live host cannot reach, by host
    :param targets: all listed targets
    """
    others = [names for other, names in lost.items() if other != host]
    cut_off = [
        target
        for target in lost.get(host, ())
        if target in targets and any(target not in names for names in others)
    ]
    return 2 * len(cut_off) > len(targets)


def without_stranded(
    hosts: collections.abc.Collection[str],
    stranded: collections.abc.Collection[str],
) -> collections.abc.Collection[str]:
    """Return the hosts that callers should use.

    Stranded hosts serve their callers too, at the expense of others. They are
    left out unless the others are few: these relay their requests anyway, and
    would have to serve all callers as well.
    """
    reaching = [host for host in hosts if host not in stranded]
    return reaching if 2 * len(reaching) >= len(hosts) else hosts


def hold_seconds(losses: int) -> float:
    """Return how long a restored link must have worked before it is used.

    :param losses: how often in a row the link was lost shortly after it had
        been restored
    """
    if not losses:
        return 0.0
    return backoff.doubled(MIN_HOLD_SECONDS, losses, MAX_HOLD_SECONDS)
