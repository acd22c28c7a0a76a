"""The daemon of one host, which serves callers, peers and operators.

Makes the controllers of the host, connects them and runs them until the host
has been drained.
"""

import collections.abc
import functools
import typing
import uuid

import anyio
import anyio.abc
import httpx
from starlette import types

from persimmonpass.api import caller
from persimmonpass.api import drain_middleware
from persimmonpass.api import operator
from persimmonpass.api import ports
from persimmonpass.api import stops
from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.batch import batch
from persimmonpass.controllers.fleet import config
from persimmonpass.controllers.fleet import drain
from persimmonpass.controllers.fleet import explain
from persimmonpass.controllers.fleet import membership
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online_factory
from persimmonpass.controllers.targets import orders
from persimmonpass.controllers.targets import reports
from persimmonpass.controllers.targets import targets
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass import intake
from persimmonpass import key_shards
from persimmonpass import metrics
from persimmonpass.peers import link
from persimmonpass.peers import listener
from persimmonpass import servers
from persimmonpass import settings
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass.targets import orders as target_orders
from persimmonpass.targets import pools
from persimmonpass.targets import service
from persimmonpass import tls
from persimmonpass import tracing
from persimmonpass import transports

MAX_CONNECTIONS = 10_000
RUN_ID_DIGITS = 12
MEGABYTE = 1_000_000


class Addresses(typing.NamedTuple):
    """Where a running daemon listens, each as ``ip:port``."""

    caller: str
    peer: str
    operator: str


def make_store_client(limits: httpx.Limits) -> httpx.AsyncClient:
    """Return an HTTP client for the platform and for orders."""
    return httpx.AsyncClient(
        transport=transports.BoundedTransport(
            httpx.AsyncHTTPTransport(limits=limits, trust_env=False)
        ),
        trust_env=False,
    )


class Daemon:
    """The daemon of one host.

    :ivar addresses: where the daemon listens
    :ivar board: shared tables of members, objects, targets and loads
    :ivar counters: metrics of this host
    :ivar spans: tracing of this host
    """

    def __init__(self, options: settings.Settings) -> None:
        """Load the TLS files and bind the listening addresses.

        :raises OSError: if an address is in use or is not an address of this
            machine
        :raises SettingsError: if a TLS file cannot be read or is not valid
        """
        self._options = options
        self._tls = None
        if options.tls_cert:
            files = tls.PemFiles(
                options.tls_cert, options.tls_key, options.tls_ca
            )
            self._tls = tls.TlsContexts(options.host, files)
        self._stopped = anyio.Event()
        self._sockets = [
            servers.listen(options.listen),
            servers.listen(options.peer_listen),
            servers.listen(options.operator_listen),
        ]
        self.addresses = Addresses(*(map(servers.address_of, self._sockets)))
        for listening in (self._sockets[0], self._sockets[2]):
            servers.limit_callers(listening)
        self._callers = intake.Intake(
            intake.limits_for(
                options.memory_mb * MEGABYTE, options.max_descriptors
            )
        )
        self._drain = drain.Drain(
            options.host,
            drain.DrainPorts(
                lambda: self._membership.leave(),
                lambda: self._membership.other_hosts(),
                lambda host: self._membership.confirm_leaving(host),
                lambda: (
                    self._drain_middleware.in_progress + self._keys.uncommitted
                ),
            ),
            options.entry_ttl_seconds,
            options.drain_seconds,
        )
        self.board = blackboard.Blackboard()
        self.counters = metrics.Metrics()
        self.spans = tracing.Tracing(options.host, options.trace)

    @property
    def is_ready(self) -> bool:
        """Whether this host has a configuration and is not leaving."""
        return self._config.ready.is_set() and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether this host is leaving."""
        return self._drain.started.is_set()

    def drain(self) -> None:
        """Start a drain.

        This host is removed from entry answers, finishes the requests in
        progress and stops.
        """
        self._drain.started.set()

    def stop(self) -> None:
        """End a drain at once, without waiting for requests in progress."""
        self._drain.stop()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[Addresses] = (
            anyio.TASK_STATUS_IGNORED
        ),
    ) -> None:
        """Serve until a drain, which :meth:`drain` starts, has ended.

        :param task_status: is given the addresses once the daemon listens
        """
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
        )
        async with (
            make_store_client(limits) as client,
            pools.make_client(keep_connections=True) as target_client,
            pools.make_client(keep_connections=False) as fresh_client,
            anyio.create_task_group() as tasks,
        ):
            self._build_ports(client, target_client, fresh_client)
            self._build_fleet_controllers(client)
            self._build_request_controllers(target_client)
            self._drain_middleware = drain_middleware.DrainMiddleware(
                self._caller_app(),
                lambda: self.is_draining,
                self._options.host,
                caller.read_key,
            )
            await tasks.start(self._peers.serve, self._sockets[1])
            for task in self._background_tasks():
                tasks.start_soon(
                    servers.keep_running, task, self._options.host
                )
            # Requests need the controllers until the servers have closed.
            async with anyio.create_task_group() as fronts:
                fronts.start_soon(self._serve, self._drain_middleware, 0)
                fronts.start_soon(self._serve, self._operator_app(), 2)
                events.log(
                    events.DAEMON_STARTED,
                    host=self._options.host,
                    **self.addresses._asdict(),
                )
                task_status.started(self.addresses)
                tasks.start_soon(self._announce_ready)
                await self._drain.started.wait()
                await self._drain.run()
                self._stopped.set()
                await self._membership.deregister()
            tasks.cancel_scope.cancel()
        self.spans.shut_down()

    def _build_ports(
        self,
        client: httpx.AsyncClient,
        target_client: httpx.AsyncClient,
        fresh_client: httpx.AsyncClient,
    ) -> None:
        """Make the ports to the store, the targets and the peers."""
        options = self._options
        self._calls = budget.Budget(
            options.store_rate, options.store_write_rate
        )
        self.counters.export_budget(self._calls)
        self._store = store.connect(
            client, options.store_url, self._calls, self.spans
        )
        self._engines = engine.connect(target_client)
        self._services = service.connect(target_client, fresh_client)
        self._in_flight = in_flight.InFlight()
        self._handlers: dict[str, typing.Any] = {}
        self._peers = link.Peers(
            listener.Identity(options.host, options.peer_secret),
            self._handlers,
            self._tls,
            self.spans,
        )
        self._export_peer_traffic()

    def _build_fleet_controllers(self, client: httpx.AsyncClient) -> None:
        """Make the controllers of membership, configuration and targets."""
        options = self._options
        self._config = config.Config(
            options.host,
            self.board,
            self._store,
            self._peers.port,
            lambda: self._membership.other_hosts(),
        )
        self._membership = membership.Membership(
            self._describe_host(),
            self.board,
            membership.MembershipPorts(
                self._store,
                self._peers.port,
                self._peers.update_links,
                self._calls,
                lambda: self._drain_middleware.in_progress,
                lambda: self._config.digest,
                self._config.check_peer_digest,
                options.entry_ttl_seconds,
                options.seed_peers,
            ),
        )
        self._targets = targets.Targets(
            options.host,
            self.board,
            targets.make_list_call(client, options.store_url, self._calls),
            self._peers.port,
            self._membership.live_hosts,
        )
        self._reports = reports.Reports(
            options.host,
            self.board,
            self._engines,
            self._peers.port,
            self._membership.live_hosts,
        )
        self._orders = orders.Orders(
            options.host,
            self.board,
            self._store,
            target_orders.connect(client),
            self._membership.live_hosts,
            options.model_loads,
        )
        self._handlers |= self._membership.handlers
        self._handlers |= self._config.handlers
        self._handlers |= self._targets.handlers
        self._handlers |= self._reports.handlers
        self._handlers |= explain.handlers(options.host)

    def _build_request_controllers(
        self, target_client: httpx.AsyncClient
    ) -> None:
        """Make the controllers of online requests and batch jobs."""
        options = self._options
        self._keys = key_controller.Keys(
            options.host,
            key_shards.KeyShards(
                self._store, options.host, self._membership.is_ended
            ),
            self._peers.port,
            self._membership.live_hosts,
            options.key_shards,
            self._backup_hosts,
            self._membership.me.run,
        )
        self._batch = batch.Batch(
            options.host,
            self.board,
            self._store,
            self._engines,
            self._in_flight,
            self.counters,
            self._membership.live_hosts,
            self._peers.port,
        )
        self._online = online_factory.make(
            online_factory.OnlinePorts(
                self.board,
                self._store,
                self._keys,
                self._peers.port,
                self._batch.preemption.observe(self._engines),
                engine.connect_cache_events(target_client),
                self._services,
                self._in_flight,
                self.counters,
                self.spans,
                self._targets.mark_leaving,
            ),
            options.availability_zone,
        )
        self._handlers |= self._keys.handlers
        self._handlers |= self._batch.handlers
        self._handlers |= self._online.handlers

    def _describe_host(self) -> blackboard.Member:
        """Return the member row with which this host starts."""
        options = self._options
        return blackboard.Member(
            options.host,
            0,
            options.availability_zone,
            options.caller_address or self.addresses.caller,
            options.peer_address or self.addresses.peer,
            state='starting',
            run=uuid.uuid4().hex[:RUN_ID_DIGITS],
        )

    def _export_peer_traffic(self) -> None:
        """Export the traffic with peers as metrics."""
        traffic = self._peers.traffic
        for unit in ('frames', 'sent_bytes', 'received_bytes'):
            self.counters.peer_traffic.labels(unit).set_function(
                functools.partial(getattr, traffic, unit)
            )

    def _background_tasks(
        self,
    ) -> list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]:
        reloads = [self._tls.run] if self._tls else []
        return [
            *reloads,
            self._membership.run,
            self._config.run,
            self._targets.run,
            self._reports.run,
            self._orders.run,
            self._batch.run,
            *self._online.background_tasks,
            self._update_owned_shards,
            self._keys.run,
        ]

    def _backup_hosts(self) -> list[str]:
        """Return the other alive hosts, those of other zones first."""
        zone = self._options.availability_zone
        members = [
            member
            for member in self.board.members.rows()
            if member.state == 'alive' and member.host != self._options.host
        ]
        members.sort(key=lambda member: member.availability_zone == zone)
        return [member.host for member in members]

    def _caller_app(self) -> types.ASGIApp:
        app = caller.make_app(
            ports.CallerPorts(
                self.board,
                self._online.online,
                self._keys,
                self._batch,
                self.counters,
                self.spans,
                self._options.entry_ttl_seconds,
                self._accepts,
                self._membership.seconds_in_state,
                self._options.max_body_bytes,
            )
        )
        return stops.make_app(
            app,
            lambda: self._accepts(0.0, True),
            self._drain.cancelled_at_end,
            caller.read_key,
        )

    def _accepts(self, allowed_seconds: float, may_repeat: bool) -> bool:
        return self._drain.accepts(allowed_seconds, may_repeat=may_repeat)

    def _operator_app(self) -> types.ASGIApp:
        return operator.make_app(
            ports.OperatorPorts(
                self.board,
                self._config,
                self._store,
                self.counters,
                self._options.admin_token_sha256,
                self.drain,
                lambda: self.is_ready,
                self._options.host,
                self._peers.port,
            )
        )

    async def _announce_ready(self) -> None:
        await self._config.ready.wait()
        self._membership.mark_alive()
        events.log(events.DAEMON_READY, host=self._options.host)

    async def _update_owned_shards(self) -> None:
        """Update the key shards that this host owns when members change."""
        version = 0
        while True:
            version = await self.board.members.wait(version)
            self._keys.update_owned_shards()

    async def _serve(self, app: types.ASGIApp, index: int) -> None:
        context = self._tls.server if self._tls else None
        await servers.serve_http(
            app,
            self._sockets[index],
            self._stopped,
            context=context,
            callers=self._callers,
        )
