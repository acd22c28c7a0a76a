"""Puts a gateway together: a host that serves opaque requests by routes."""

import collections.abc
import random
import typing
import uuid

import anyio
import anyio.abc
import httpx
import result
from starlette import types

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import admission_line
from persimmonpass.controllers import catalog
from persimmonpass.controllers import conduct
from persimmonpass.controllers import crash_watch
from persimmonpass.controllers import drain
from persimmonpass.controllers import membership
from persimmonpass.controllers import mirror
from persimmonpass.controllers import occupancy
from persimmonpass.controllers import passing
from persimmonpass.controllers import store_relay
from persimmonpass.controllers import work_log
from persimmonpass.controllers import work_role
from persimmonpass.controllers import work_runner
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import gateway_ports
from persimmonpass import gateway_settings
from persimmonpass.peers import link
from persimmonpass.peers import listener
from persimmonpass.policy import entry
from persimmonpass import records
from persimmonpass import routes
from persimmonpass import servers
from persimmonpass.targets import opaque
from persimmonpass import verdicts
from persimmonpass import work

RUN_DIGITS = 12
MAX_ADDRESSES = 64
# Short, so that callers leave a stopping host within its grace.
ENTRY_TTL_SECONDS = 1.0
# Some callers keep an answer for so many times its life.
KEPT_ANSWERS = 3
# Left of the grace when what is in progress has to have ended.
STOP_MARGIN_SECONDS = 0.8
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_JOB_SECONDS = 4.0
MAX_CONNECTIONS = 200


class PlatformPorts(typing.NamedTuple):
    """What a platform brings.

    :ivar connect: client, address, budget -> its store
    :ivar wire: how requests look on the wire
    :ivar kinds: names of the kinds of configuration and of targets
    :ivar read: how their records are read
    :ivar caller_app: ports -> application for callers
    :ivar ready_app: readiness -> application for its checks
    :ivar entry_app: entry answers -> application that gives them
    """

    connect: collections.abc.Callable[
        [httpx.AsyncClient, str, budget.Budget], records.RecordPort
    ]
    wire: exchange.WirePort
    configuration_kind: str
    configuration_name: str
    targets_kind: str
    read_configuration: collections.abc.Callable[
        [records.Record], routes.Configuration | None
    ]
    read_target: collections.abc.Callable[
        [records.Record], blackboard.Target | None
    ]
    caller_app: collections.abc.Callable[
        [gateway_ports.GatewayPorts], types.ASGIApp
    ]
    ready_app: collections.abc.Callable[
        [collections.abc.Callable[[], bool]], types.ASGIApp
    ]
    entry_app: collections.abc.Callable[
        [collections.abc.Callable[[str], gateway_ports.Entry | None]],
        types.ASGIApp,
    ]


class Gateway:
    """One gateway."""

    def __init__(
        self, options: gateway_settings.Settings, platform: PlatformPorts
    ) -> None:
        """Bind all addresses.

        :raises OSError: if one is taken or not this machine's
        """
        self._options = options
        self._platform = platform
        self._stopped = anyio.Event()
        self.board = blackboard.Blackboard()
        self.metrics = gateway_metrics.GatewayMetrics()
        self._sockets = {
            name: servers.listen(address)
            for name, address in (
                ('caller', options.caller_listen),
                ('ready', options.ready_listen),
                ('entry', options.entry_listen),
                ('seed', options.seed_listen),
                ('peer', options.peer_listen),
                ('metrics', options.metrics_listen),
            )
            if address
        }
        self._drain = drain.Drain(
            options.host,
            drain.DrainPorts(
                lambda: self._membership.leave(),
                lambda: self._membership.other_hosts(),
                lambda host: self._membership.confirm_leaving(host),
                lambda: self._in_progress,
            ),
            KEPT_ANSWERS * ENTRY_TTL_SECONDS,
            options.grace_seconds - STOP_MARGIN_SECONDS,
        )
        self._in_progress = 0

    @property
    def is_draining(self) -> bool:
        """Whether this host is leaving."""
        return self._drain.started.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether this host knows enough to serve and is not leaving."""
        return (
            not self.is_draining
            and self._mirrors[self._platform.configuration_kind].ready.is_set()
            and self._mirrors[self._platform.targets_kind].ready.is_set()
            and self.board.routes.get(catalog.ROUTES_KEY) is not None
        )

    def drain(self) -> None:
        """Leave the entry answers, finish what is in progress and stop."""
        self._drain.started.set()

    def stop(self) -> None:
        """End a drain at once."""
        self._drain.stop()

    async def run(self) -> None:
        """Serve until a drain has ended."""
        options = self._options
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=10.0
        )
        self._targets = opaque.TargetClient(self._platform.wire)
        async with (
            httpx.AsyncClient(limits=limits, trust_env=False) as client,
            anyio.create_task_group() as tasks,
        ):
            self._build_fleet(client)
            self._build_work()
            await tasks.start(self._peers.serve, self._sockets['peer'])
            for job in self._jobs():
                tasks.start_soon(servers.keep_running, job, options.host)
            for name, app in self._apps().items():
                if name in self._sockets:
                    tasks.start_soon(
                        servers.serve_http,
                        app,
                        self._sockets[name],
                        self._stopped,
                    )
            events.log(
                events.DAEMON_STARTED,
                host=options.host,
                caller=options.caller_listen,
                peer=options.peer_listen,
                zone=options.availability_zone,
                run=self._membership.me.run,
            )
            tasks.start_soon(self._announce_ready)
            await self._drain.started.wait()
            await self._drain.run()
            self._stopped.set()
            await self._membership.depart()
            tasks.cancel_scope.cancel()
        await self._targets.aclose()

    def _build_fleet(self, client: httpx.AsyncClient) -> None:
        """Make the controllers of hosts, configuration and targets."""
        options, platform = self._options, self._platform
        calls = budget.Budget(options.store_rate, options.store_write_rate)
        self._handlers: dict[str, typing.Any] = {}
        self._peers = link.Peers(
            listener.Identity(options.host, ''), self._handlers
        )
        port = self._peers.port
        self._relay = store_relay.StoreRelay(
            options.host,
            platform.connect(client, options.store_address, calls),
            port,
        )
        self._catalog = catalog.Catalog(
            options.host,
            self.board,
            catalog.CatalogPorts(
                platform.read_configuration,
                platform.read_target,
                platform.configuration_name,
                lambda: self._relay.trouble_age_seconds,
            ),
        )
        self._log = work_log.WorkLog(
            options.host,
            self._relay.port,
            lambda: self._mirrors[work.KIND],
            options.quota_overage,
        )
        kinds = {
            platform.configuration_kind: self._catalog.take_configuration,
            platform.targets_kind: self._catalog.take_targets,
            work.KIND: self._log.take,
        }
        self._mirrors = {
            kind: mirror.Mirror(
                options.host, kind, self._relay.port, port, take
            )
            for kind, take in kinds.items()
        }
        self._membership = membership.Membership(
            blackboard.Member(
                options.host,
                0,
                options.availability_zone,
                options.caller_listen,
                options.peer_listen,
                state='starting',
                run=uuid.uuid4().hex[:RUN_DIGITS],
            ),
            self.board,
            membership.MembershipPorts(
                records.as_store(self._relay.port),
                port,
                self._peers.follow,
                calls,
                lambda: self._in_progress,
                lambda: 0,
                lambda host, digest: None,
                KEPT_ANSWERS * ENTRY_TTL_SECONDS,
                options.seed_peers,
            ),
        )
        self._occupied = occupancy.Occupancy(port)
        self._role = work_role.WorkRole(
            options.host,
            self.board,
            port,
            lambda: self.is_ready,
            self._occupied.hears,
        )
        self._crashes = crash_watch.CrashWatch(options.host, port)
        self._conduct = conduct.Conduct(options.host, self.board)
        self._line = admission_line.AdmissionLine(
            options.host,
            options.availability_zone,
            self.board,
            self._occupied,
            self._conduct,
        )
        self._handlers |= self._relay.handlers
        self._handlers |= mirror.handlers(self._mirrors)
        self._handlers |= self._membership.handlers
        self._handlers |= self._occupied.handlers
        self._handlers |= self._role.handlers
        self._handlers |= self._crashes.handlers

    def _build_work(self) -> None:
        """Make the controllers of requests and jobs."""
        self._passing = passing.Passing(
            self._options.host,
            passing.PassingPorts(
                self.board,
                self._line,
                self._occupied,
                self._conduct,
                self._targets,
                self._crashes,
                self.metrics,
            ),
        )
        self._runner = work_runner.WorkRunner(
            self._options.host,
            work_runner.RunnerPorts(
                self.board,
                self._log,
                self._line,
                self._occupied,
                self._conduct,
                self._targets,
                self._peers.port,
                self.metrics,
                self._role,
            ),
        )
        self._handlers |= self._runner.handlers

    def _jobs(
        self,
    ) -> list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]:
        follow = [
            job
            for copy in self._mirrors.values()
            for job in (copy.run, copy.tell)
        ]
        return [
            *follow,
            self._relay.run,
            self._membership.run,
            self._catalog.run,
            self._occupied.run,
            self._conduct.run,
            self._line.run,
            self._runner.run,
            self._follow_members,
        ]

    def _apps(self) -> dict[str, types.ASGIApp]:
        platform = self._platform
        caller = platform.caller_app(
            gateway_ports.GatewayPorts(
                self._max_body_bytes,
                self._find_route,
                self._passing.serve,
                self._accept,
                self._log.read,
                self._log.body,
                self._end,
            )
        )
        return {
            'caller': self._count(caller),
            'ready': platform.ready_app(lambda: self.is_ready),
            'entry': platform.entry_app(self._give_entry),
            'seed': platform.ready_app(lambda: self.is_ready),
            'metrics': self._serve_metrics,
        }

    def _count(self, app: types.ASGIApp) -> types.ASGIApp:
        """Count requests; while leaving, tell callers not to come back."""

        async def counted(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            async def send_closing(message: types.Message) -> None:
                if self.is_draining and (
                    message['type'] == 'http.response.start'
                ):
                    headers = [
                        *message.get('headers', []),
                        (b'connection', b'close'),
                    ]
                    message = {**message, 'headers': headers}
                await send(message)

            self._in_progress += 1
            try:
                await app(scope, receive, send_closing)
            finally:
                self._in_progress -= 1

        return counted

    def _max_body_bytes(self) -> int:
        known = self._passing.configuration()
        return known.limits.body_bytes if known else DEFAULT_BODY_BYTES

    def _find_route(
        self, call: exchange.Call
    ) -> result.Result[routes.Route, verdicts.Failure]:
        known = self._passing.configuration()
        if known is None:
            return result.Err(
                verdicts.Failure(
                    verdicts.Verdict.NOT_RUN,
                    events.REQUEST_REFUSED,
                    'no configuration is known yet',
                    passing.UNAVAILABLE,
                    passing.NO_CONFIG_RETRY_SECONDS,
                )
            )
        route = routes.find(known.routes, call.host, call.route_path)
        if route is not None:
            return result.Ok(route)
        events.log(
            events.ROUTE_MISSING,
            host=self._options.host,
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
                passing.NOT_FOUND,
            )
        )

    async def _accept(
        self, job: work.Job, route: routes.Route, seconds: float | None
    ) -> result.Result[None, verdicts.Failure]:
        return await self._log.accept(job, route, _deadline(seconds))

    async def _end(
        self, job_id: str, seconds: float | None
    ) -> result.Result[None, verdicts.Failure]:
        return await self._log.end(job_id, _deadline(seconds))

    def _give_entry(self, zone: str) -> gateway_ports.Entry | None:
        """Return the hosts that callers should use."""
        hosts = [
            entry.EntryHost(
                member.host,
                member.caller_address,
                member.availability_zone,
                member.state,
                self.board.host_loads.get(member.host),
            )
            for member in self.board.members.rows()
            if member.caller_address
        ]
        addresses = entry.order(hosts, zone, random.random, MAX_ADDRESSES)
        if not addresses:
            return None
        return gateway_ports.Entry(addresses, ENTRY_TTL_SECONDS)

    async def _serve_metrics(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        self._measure()
        body = self.metrics.render()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-type', b'text/plain; version=0.0.4'),
                    (b'content-length', str(len(body)).encode()),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    def _measure(self) -> None:
        """Set the gauges that are read at a scrape only."""
        self.metrics.waiting.set(self._occupied.waiting)
        self.metrics.store_lost.set(not self._relay.reaches_store)
        self.metrics.jobs_open.set(
            sum(state.is_open for state in self._log.jobs.values())
        )
        for kind, copy in self._mirrors.items():
            self.metrics.record_age.labels(kind).set(copy.age_seconds)

    async def _announce_ready(self) -> None:
        await self._mirrors[self._platform.configuration_kind].ready.wait()
        await self._mirrors[self._platform.targets_kind].ready.wait()
        while self.board.routes.get(catalog.ROUTES_KEY) is None:
            await self.board.routes.wait(self.board.routes.version)
        self._membership.enter()
        events.log(events.DAEMON_READY, host=self._options.host)

    async def _follow_members(self) -> None:
        """Forget what hosts ran that have ended."""
        version = 0
        while True:
            version = await self.board.members.wait(version)
            for member in self.board.members.rows():
                if member.state == 'dead':
                    self._occupied.forget(member.host)


def _deadline(seconds: float | None) -> float:
    allowed = DEFAULT_JOB_SECONDS if seconds is None else seconds
    return anyio.current_time() + allowed
