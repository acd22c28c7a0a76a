"""Routes: which service answers a host and path, and under which terms."""

import collections.abc
import enum
import typing

import xxhash


class Kind(enum.Enum):
    """What the requests of a route allow.

    ``IDEMPOTENT`` ones may run more than once, ``NON_IDEMPOTENT`` ones at
    most once for each attempt of a caller. ``STREAM`` answers with events
    and may be repeated only where the route is resumable. ``JOB`` takes
    batch jobs.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    JOB = 'job'


class Share(typing.NamedTuple):
    """A service's part of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Terms for requests to a host and path prefix.

    :ivar path_prefix: begins and ends with a slash
    :ivar timeout_seconds: longest time that a caller is kept waiting
    :ivar objective_seconds: time to the first event that earns full credit
    :ivar max_attempts: targets at which one request may run
    :ivar priority: 0 is the most urgent
    :ivar gap_seconds: longest pause between events that is on time
    :ivar due_seconds: time in which all results of a job are due
    :ivar retention_seconds: age at which an item may be given up
    :ivar max_waiting_tokens: tokens of a job route that may wait; 0 for any
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_seconds: float
    objective_seconds: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    gap_seconds: float = 0.0
    due_seconds: float = 0.0
    retention_seconds: float = 0.0
    max_waiting_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


class Service(typing.NamedTuple):
    """A group of equal targets.

    :ivar slots: requests that a target runs at once, 0 if unknown
    :ivar max_connections: connections that a target accepts, 0 if unknown
    """

    name: str
    slots: int = 0
    max_connections: int = 0


class Limits(typing.NamedTuple):
    """What callers may send.

    :ivar body_bytes: largest body
    :ivar idle_seconds: how long a connection may stay unused
    """

    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


class Configuration(typing.NamedTuple):
    """Everything that operators have configured, at one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()


def find(
    routes: collections.abc.Iterable[Route], host: str, path: str
) -> Route | None:
    """Return the route of the host with the longest prefix of the path."""
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(
        matching, key=lambda route: len(route.path_prefix), default=None
    )


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request by the weights of its route.

    The same request goes to the same service at each host.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    drawn = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for share in route.shares:
        drawn -= share.weight
        if drawn < 0:
            return share.service
    return route.shares[-1].service
