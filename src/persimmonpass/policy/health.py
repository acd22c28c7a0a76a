"""Decides which targets are ejected and when they are probed."""

import collections.abc
import math
import typing

FIRST_PROBE_SECONDS = 0.25
MAX_PROBE_SECONDS = 4.0
MAX_EJECTED_SHARE = 0.5


class TargetHealth(typing.NamedTuple):
    """What the last attempts at a target showed.

    :ivar failures: failures since the last success
    :ivar ejected: whether it gets probes only
    :ivar probe_time: local clock of the next probe, in seconds
    :ivar refused: whether it took no connection at all
    """

    failures: int = 0
    ejected: bool = False
    probe_time: float = 0.0
    refused: bool = False


def on_failure(
    health: TargetHealth, now: float, refused: bool = False
) -> TargetHealth:
    """Return the health after a failed attempt or probe.

    :param refused: whether the target took no connection
    """
    failures = health.failures + 1
    doublings = min(failures - 1, 8)
    wait = min(MAX_PROBE_SECONDS, FIRST_PROBE_SECONDS * 2**doublings)
    return TargetHealth(failures, True, now + wait, refused)


def on_probe_success(health: TargetHealth) -> TargetHealth:
    """Return the health after a good probe.

    The failures stay until a request succeeds: a target that answers probes
    and fails requests is ejected for longer each time.
    """
    return health._replace(ejected=False, refused=False)


def usable(
    names: collections.abc.Sequence[str],
    healths: collections.abc.Mapping[str, TargetHealth],
) -> set[str]:
    """Return the targets that get requests.

    :param names: targets that could serve a request
    :returns: those not ejected, and those with the fewest failures where
        more than a bounded share would be ejected; those that take no
        connection could not serve anyway and do not count
    """
    known = {name: healths.get(name, TargetHealth()) for name in names}
    there = [name for name in names if not known[name].refused]
    ejected = [name for name in there if known[name].ejected]
    limit = math.floor(len(there) * MAX_EJECTED_SHARE)
    ejected.sort(key=lambda name: (-known[name].failures, name))
    return set(there) - set(ejected[:limit])
