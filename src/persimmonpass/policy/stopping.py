"""Decides which requests a host takes while it stops."""

import typing


class Stop(typing.NamedTuple):
    """State of a planned stop.

    :ivar elapsed_seconds: time since the stop began
    :ivar limit_seconds: time from its beginning until requests in progress
        are ended
    :ivar kept_seconds: how long callers may keep an entry answer
    :ivar is_published: whether a caller may still hold an entry answer with
        the address of this host
    """

    elapsed_seconds: float
    limit_seconds: float
    kept_seconds: float
    is_published: bool


def accepts(stop: Stop, allowed_seconds: float, *, may_repeat: bool) -> bool:
    """Return whether a host that stops takes a new request.

    It takes a request that is certain to end in time. A request that may take
    longer than a whole stop is never certain to. If it may be repeated, it is
    taken from callers that cannot know of the stop yet; otherwise all callers
    of its route would be turned away at once.

    :param allowed_seconds: the longest that the request may take
    :param may_repeat: whether the request may run more than once
    """
    if not stop.is_published:
        return False
    if allowed_seconds > stop.limit_seconds:
        return may_repeat and stop.elapsed_seconds <= stop.kept_seconds
    return allowed_seconds <= stop.limit_seconds - stop.elapsed_seconds
