"""Decides at which targets a stream that broke off may go on.

Answers the load of a release, when targets of several software versions serve
side by side. What two versions write does not fit together, and targets do not
check this, so that a stream goes on only at the software that began it.
"""

import collections.abc
import typing

# Software of a target that named no version and has left. It is not known to
# be the software of any other target.
UNKNOWN_SOFTWARE = ''


class Origin(typing.NamedTuple):
    """The software that produced the first event of a stream or an item.

    :ivar service: service of the target
    :ivar software: see :attr:`persimmonpass.blackboard.Target.software`
    """

    service: str
    software: str


def sole_origin(
    services: collections.abc.Iterable[str],
    serving: collections.abc.Mapping[str, collections.abc.Collection[str]],
) -> Origin | None:
    """Return the only software that can have begun a stream.

    :param services: services to which the route of the stream may send it
    :param serving: software that serves now or served until recently, by
        service
    :returns: ``None`` if there are several or none, or if it has no name
    """
    found = {
        Origin(service, software)
        for service in services
        for software in serving.get(service, ())
    }
    if len(found) != 1:
        return None
    sole = found.pop()
    return None if sole.software == UNKNOWN_SOFTWARE else sole
