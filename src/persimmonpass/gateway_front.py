"""Serves callers, the platform's checks and scrapes of a gateway."""

import collections.abc
import random
import typing

import anyio
import result
from starlette import types

from persimmonpass.api import drain_middleware
from persimmonpass import blackboard
from persimmonpass.controllers import job_access
from persimmonpass.controllers import mirror
from persimmonpass.controllers import occupancy
from persimmonpass.controllers import route_proxy
from persimmonpass.controllers import store_relay
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import gateway_ports
from persimmonpass import job_records
from persimmonpass import job_state
from persimmonpass import metrics
from persimmonpass.policy import entry
from persimmonpass import routes
from persimmonpass import verdicts

MAX_ADDRESSES = 64
# Short, so that callers leave a stopping host within its grace.
ENTRY_TTL_SECONDS = 1.0
# How long a request waits at a host that has just started.
SETTLE_SECONDS = 0.5
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_JOB_SECONDS = 4.0


class FrontPorts(typing.NamedTuple):
    """What the front works with.

    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar jobs: those that this host follows, by id
    :ivar mirrors: copies of records by kind
    :ivar settled: set once the configuration and targets are known
    :ivar core: hosts to which callers are sent
    """

    host: str
    entry_ttl_seconds: float
    board: blackboard.Blackboard
    platform: gateway_ports.PlatformPorts
    route_proxy: route_proxy.RouteProxy
    access: job_access.JobAccess
    jobs: collections.abc.Mapping[str, job_state.JobState]
    metrics: gateway_metrics.GatewayMetrics
    occupied: occupancy.Occupancy
    relay: store_relay.StoreRelay
    mirrors: collections.abc.Mapping[str, mirror.Mirror]
    is_ready: collections.abc.Callable[[], bool]
    is_draining: collections.abc.Callable[[], bool]
    settled: anyio.Event
    core: collections.abc.Callable[[], collections.abc.Collection[str]]


class Front:
    """The applications of one gateway.

    :ivar drain_middleware: the application for callers, which counts requests
    """

    def __init__(self, ports: FrontPorts) -> None:
        self._ports = ports

    def apps(self) -> dict[str, types.ASGIApp]:
        """Return the applications by the socket that they serve."""
        platform = self._ports.platform
        caller = platform.caller_app(
            gateway_ports.GatewayPorts(
                self._max_body_bytes,
                self._find_route,
                self._ports.route_proxy.serve,
                self._accept,
                self._ports.access.read,
                self._ports.access.body,
                self._end,
            )
        )
        self.drain_middleware = drain_middleware.DrainMiddleware(
            caller, self._ports.is_draining
        )
        return {
            'caller': self.drain_middleware,
            'ready': platform.ready_app(self._ports.is_ready),
            'entry': platform.entry_app(self._give_entry),
            'seed': platform.ready_app(self._ports.is_ready),
            'metrics': self._serve_metrics,
        }

    def _max_body_bytes(self) -> int:
        known = self._ports.route_proxy.configuration()
        return known.limits.body_bytes if known else DEFAULT_BODY_BYTES

    async def _find_route(
        self, call: exchange.Call
    ) -> result.Result[routes.Route, verdicts.Failure]:
        # A host that has just started learns its configuration and targets in
        # milliseconds, if the store or a peer answers.
        with anyio.move_on_after(SETTLE_SECONDS):
            await self._ports.settled.wait()
        known = self._ports.route_proxy.configuration()
        if known is None:
            return result.Err(
                verdicts.Failure(
                    verdicts.Verdict.NOT_RUN,
                    events.REQUEST_REFUSED,
                    'no configuration is known yet',
                    route_proxy.UNAVAILABLE,
                    route_proxy.NO_CONFIG_RETRY_SECONDS,
                )
            )
        route = routes.find(known.routes, call.host, call.route_path)
        if route is not None:
            return result.Ok(route)
        events.log(
            events.ROUTE_MISSING,
            host=self._ports.host,
            key=call.id,
            name=call.host,
            path=call.route_path,
            version=known.version,
        )
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.NOT_RUN,
                events.ROUTE_MISSING,
                'no route matches',
                route_proxy.NOT_FOUND,
            )
        )

    async def _accept(
        self, job: job_records.Job, route: routes.Route, seconds: float | None
    ) -> result.Result[None, verdicts.Failure]:
        return await self._ports.access.accept(job, route, _deadline(seconds))

    async def _end(
        self, job_id: str, seconds: float | None
    ) -> result.Result[None, verdicts.Failure]:
        return await self._ports.access.end(job_id, _deadline(seconds))

    def _give_entry(self, zone: str) -> gateway_ports.Entry | None:
        """Return the hosts that callers should use."""
        board = self._ports.board
        rows = [row for row in board.members.rows() if row.caller_address]
        hosts = entry.hosts_of(rows, board.host_loads.get)
        chosen = set(self._ports.core())
        alive = [
            one for one in hosts if one.host in chosen and one.state == 'alive'
        ]
        addresses = entry.order(
            alive or hosts, zone, random.random, MAX_ADDRESSES
        )
        if not addresses:
            return None
        return gateway_ports.Entry(addresses, self._ports.entry_ttl_seconds)

    async def _serve_metrics(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        self._measure()
        body = self._ports.metrics.render()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-type', metrics.CONTENT_TYPE.encode()),
                    (b'content-length', str(len(body)).encode()),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    def _measure(self) -> None:
        """Set the gauges that are read at a scrape only."""
        self._ports.metrics.waiting.set(self._ports.occupied.total_waiting)
        self._ports.metrics.store_lost.set(
            not self._ports.relay.can_reach_store
        )
        self._ports.metrics.jobs_open.set(
            sum(state.is_open for state in self._ports.jobs.values())
        )
        for kind, copy in self._ports.mirrors.items():
            if copy.is_kept:
                age = self._ports.metrics.record_age.labels(kind)
                age.set(copy.age_seconds)


def _deadline(seconds: float | None) -> float:
    allowed = DEFAULT_JOB_SECONDS if seconds is None else seconds
    return anyio.current_time() + allowed
