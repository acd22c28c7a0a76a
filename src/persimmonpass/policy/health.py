"""Decides which targets are ejected and when they are probed."""

import collections.abc
import math
import typing

from persimmonpass.policy import backoff

FIRST_PROBE_SECONDS = 0.25
MAX_PROBE_SECONDS = 4.0
MAX_EJECTED_SHARE = 0.5


class TargetHealth(typing.NamedTuple):
    """Health of a target according to recent attempts.

    :ivar failures: failures since the last success
    :ivar ejected: whether the target gets probes but no requests
    :ivar probe_time: local clock of the next probe, in seconds
    :ivar refused: whether the target refused the connection
    """

    failures: int = 0
    ejected: bool = False
    probe_time: float = 0.0
    refused: bool = False


def on_failure(
    health: TargetHealth, now: float, refused: bool = False
) -> TargetHealth:
    """Return the health after a failed attempt or probe.

    The interval until the next probe doubles with each failure.

    :param now: local clock in seconds
    :param refused: whether the target refused the connection
    """
    failures = health.failures + 1
    wait = backoff.doubled(FIRST_PROBE_SECONDS, failures, MAX_PROBE_SECONDS)
    return TargetHealth(failures, True, now + wait, refused)


def on_probe_success(health: TargetHealth) -> TargetHealth:
    """Return the health after a successful probe.

    The failure count is kept until a request succeeds, so a target that
    answers probes but fails requests is ejected for longer each time.
    """
    return health._replace(ejected=False, refused=False)


def usable(
    names: collections.abc.Sequence[str],
    healths: collections.abc.Mapping[str, TargetHealth],
) -> set[str]:
    """Return the targets that may get requests.

    Ejected targets get no requests. If more than ``MAX_EJECTED_SHARE`` of the
    targets are ejected, those with the fewest failures get requests
    nevertheless. Targets that refuse connections are left out and do not
    count towards that share, as they cannot serve requests anyway.

    :param names: targets that could serve a request
    :param healths: health by target; a missing target is healthy
    """
    known = {name: healths.get(name, TargetHealth()) for name in names}
    reachable = [name for name in names if not known[name].refused]
    ejected = [name for name in reachable if known[name].ejected]
    limit = math.floor(len(reachable) * MAX_EJECTED_SHARE)
    ejected.sort(key=lambda name: (-known[name].failures, name))
    return set(reachable) - set(ejected[:limit])
