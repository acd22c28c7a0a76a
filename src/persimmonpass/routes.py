"""Routes, which assign hosts and paths of requests to services."""

import collections.abc
import enum
import typing

import xxhash

from persimmonpass import accounts


class Kind(enum.Enum):
    """The kind of requests that a route serves.

    ``IDEMPOTENT`` requests may run more than once, ``NON_IDEMPOTENT``
    requests at most once for each attempt of a caller. ``STREAM`` requests
    are answered with events and may run again only if the route is
    resumable. ``JOB`` requests submit batch jobs.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    JOB = 'job'


class Share(typing.NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Rules for requests to a host and path prefix.

    :ivar path_prefix: prefix of the paths; begins and ends with a slash
    :ivar shares: services among which requests are divided by weight
    :ivar timeout_seconds: longest time that a caller waits for its answer
    :ivar objective_seconds: objective for the time to the first event
    :ivar max_attempts: maximum number of runs of one request or job item
    :ivar priority: priority in the queue; 0 is the most urgent
    :ivar resumable: whether a stream can be resumed after an event
    :ivar gap_seconds: objective for the time between two events of a stream
    :ivar due_seconds: objective for the time until a job has all its results
    :ivar retention_seconds: age at which an item of a job may be abandoned
    :ivar max_waiting_tokens: limit on the tokens of items that wait on a job
        route; 0 for no limit. If there are accounts, it is the limit of each
        of them.
    :ivar is_public: whether callers need no key
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
    is_public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable

    @property
    def services(self) -> tuple[str, ...]:
        """Services that may run a request; the last one if none has a weight.

        A service without a weight is only listed.
        """
        weighted = [row.service for row in self.shares if row.weight > 0]
        return tuple(weighted) or (self.shares[-1].service,)


class Service(typing.NamedTuple):
    """A group of equivalent targets.

    :ivar slots: number of requests that a target runs at once, 0 if unknown
    :ivar max_connections: number of connections that a target accepts, 0 if
        unknown
    """

    name: str
    slots: int = 0
    max_connections: int = 0


class Limits(typing.NamedTuple):
    """Limits on what callers send.

    :ivar body_bytes: size of the largest body
    :ivar idle_seconds: how long a connection of a caller may stay unused
    """

    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


class Configuration(typing.NamedTuple):
    """One version of the configuration that operators write.

    :ivar client_accounts: accounts of callers; ``None`` if callers need none
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()
    client_accounts: accounts.Accounts | None = None


def find(
    routes: collections.abc.Iterable[Route], host: str, path: str
) -> Route | None:
    """Return the route of a host with the longest prefix of a path.

    :returns: ``None`` if no route matches
    """
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(
        matching, key=lambda route: len(route.path_prefix), default=None
    )


class JobRoutes:
    """The routes of one configuration, by which the items of jobs run."""

    def __init__(self, present: collections.abc.Iterable[Route]) -> None:
        """Create an index of routes.

        :param present: all routes of the configuration
        """
        self._job_routes = tuple(
            route for route in present if route.kind is Kind.JOB
        )
        self._by_name = {
            (route.host, route.name): route for route in self._job_routes
        }

    def find(self, name: str, host: str, path: str) -> Route | None:
        """Return the route of an item.

        It is the route that accepted the job, even if another one has a longer
        prefix of the item's path. A route that was renamed, or whose name has
        been given to other paths, is found by the path of the item.

        :param name: name of the route that accepted the job
        :param host: host name of that route
        :param path: path and query string of the item
        :returns: ``None`` if the route was removed
        """
        path = path.partition('?')[0]
        named = self._by_name.get((host, name))
        if named is not None and path.startswith(named.path_prefix):
            return named
        return find(self._job_routes, host, path) or named


def order_services(route: Route, request_id: str) -> tuple[str, ...]:
    """Return the services of a request, the one that serves it first.

    They are drawn by the weights of the route: the first among all services,
    the next among the others, as a substitute for one without targets. The
    draw depends only on the request's id, so that all hosts choose the same
    service for a request.
    """
    if len(route.shares) == 1:
        return (route.shares[0].service,)
    left = [share for share in route.shares if share.weight > 0]
    if not left:
        return route.services
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64
    found = []
    while left:
        share, point = _draw(left, point)
        left.remove(share)
        found.append(share.service)
    return tuple(found)


def pick_service(
    route: Route,
    request_id: str,
    usable: collections.abc.Container[str] | None = None,
) -> str:
    """Return the service that serves a request; see :func:`order_services`.

    :param usable: services that have targets, ``None`` for all. If it has no
        service of the route, it is as if all had targets.
    """
    order = order_services(route, request_id)
    if usable is None:
        return order[0]
    return next((name for name in order if name in usable), order[0])


def _draw(
    shares: collections.abc.Sequence[Share], point: float
) -> tuple[Share, float]:
    """Return the share that a point falls into, and where within the share.

    :param point: uniform in [0, 1), as is the returned one
    """
    point *= sum(share.weight for share in shares)
    for share in shares:
        if point < share.weight:
            return share, point / share.weight
        point -= share.weight
    # Sums of weights are rounded.
    return shares[-1], 0.0
