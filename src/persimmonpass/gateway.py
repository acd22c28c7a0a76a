"""The gateway daemon, which routes opaque requests to targets.

Makes the controllers of one host, connects them and runs them until the host
has been drained.
"""

import collections.abc
import functools
import socket
import typing
import uuid

import anyio
import anyio.abc
import httpx

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.accounts import access
from persimmonpass.controllers.accounts import limits as account_limits
from persimmonpass.controllers.accounts import requests as account_requests
from persimmonpass.controllers.accounts import shares as account_shares
from persimmonpass.controllers.accounts import usage
from persimmonpass.controllers.batch import batch_role
from persimmonpass.controllers.batch import item_runner
from persimmonpass.controllers.batch import job_access
from persimmonpass.controllers.batch import job_accounts
from persimmonpass.controllers.batch import job_cleanup
from persimmonpass.controllers.batch import job_log
from persimmonpass.controllers.fleet import catalog
from persimmonpass.controllers.fleet import drain
from persimmonpass.controllers.fleet import membership
from persimmonpass.controllers.fleet import mirror
from persimmonpass.controllers.fleet import store_relay
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.online import route_proxy
from persimmonpass.controllers.online import stream_origins
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import crash_watch
from persimmonpass.controllers.targets import error_answers
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import software_history
from persimmonpass.controllers.targets import target_ends
from persimmonpass.controllers.targets import target_limits
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass import gateway_front
from persimmonpass import gateway_metrics
from persimmonpass import gateway_ports
from persimmonpass import gateway_settings
from persimmonpass import intake
from persimmonpass import job_records
from persimmonpass.peers import link
from persimmonpass.peers import listener
from persimmonpass.peers import port as peer_port
from persimmonpass.peers import tunnel
from persimmonpass.policy import core
from persimmonpass.policy import membership as membership_policy
from persimmonpass.policy import watching
from persimmonpass import records
from persimmonpass import routes
from persimmonpass import servers
from persimmonpass.targets import opaque
from persimmonpass.targets import pools
from persimmonpass import tracing
from persimmonpass import transports

RUN_ID_DIGITS = 12
# Some callers keep an entry answer for up to three times its TTL.
ENTRY_TTL_FACTOR = 3
# Part of the grace period that is kept back: requests in progress have to end
# this long before the host is killed.
STOP_MARGIN_SECONDS = 0.8
# Both run at the same time, within that part. Requests have their final answer
# before; callers that have not read it then are cut.
HTTP_GRACE_SECONDS = 0.4
DEREGISTER_SECONDS = 0.4
MAX_STORE_CONNECTIONS = 200
# Of all answers that arrive at the same time; a page has about a megabyte.
MAX_STORE_ANSWER_BYTES = 16_777_216
# How long a host that has just started waits for the list of members, to know
# whether it belongs to the core.
MEMBERS_WAIT_SECONDS = 0.5


class _CoreChoice(typing.NamedTuple):
    """The core hosts for one version of the table of members.

    :ivar live_count: number of live hosts, from which the core was chosen
    :ivar core: ids of the core hosts, see :mod:`persimmonpass.policy.core`
    """

    version: int
    live_count: int
    core: list[str]


class Gateway:
    """The daemon of one gateway host.

    :ivar board: shared tables of members, routes, targets and loads
    :ivar metrics: metrics of this host
    """

    def __init__(
        self,
        options: gateway_settings.Settings,
        platform: gateway_ports.PlatformPorts,
        bound: collections.abc.Mapping[str, socket.socket] | None = None,
    ) -> None:
        """Bind the listening addresses.

        :param platform: formats and applications of the platform
        :param bound: sockets that are already listening, by address
        :raises OSError: if an address is in use or is not an address of this
            machine
        """
        self._options = options
        self._platform = platform
        self._stopped = anyio.Event()
        self._initialized = anyio.Event()
        self._spans = tracing.Tracing(options.host, options.trace)
        self.board = blackboard.Blackboard()
        self.metrics = gateway_metrics.GatewayMetrics()
        self._core_choice = _CoreChoice(-1, 0, [])
        self._sockets = {
            name: (bound or {}).get(address) or servers.listen(address)
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
        for listening in self._sockets.values():
            servers.limit_callers(listening)
        self._callers = intake.Intake(
            intake.limits_for(options.memory_bytes, options.descriptors)
        )
        self._drain = drain.Drain(
            options.host,
            drain.DrainPorts(
                lambda: self._membership.leave(),
                lambda: self._membership.other_hosts(),
                lambda host: self._membership.confirm_leaving(host),
                self._requests_in_progress,
            ),
            ENTRY_TTL_FACTOR * gateway_front.ENTRY_TTL_SECONDS,
            options.grace_seconds - STOP_MARGIN_SECONDS,
        )

    @property
    def is_draining(self) -> bool:
        """Whether this host is leaving."""
        return self._drain.started.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether this host can serve and is not leaving.

        It can serve once it has its configuration, targets and routes.
        """
        return (
            not self.is_draining
            and self._mirrors[self._platform.configuration_kind].ready.is_set()
            and self._mirrors[self._platform.targets_kind].ready.is_set()
            and self.board.routes.get(catalog.ROUTES_KEY) is not None
        )

    def drain(self) -> None:
        """Start a drain.

        This host is removed from entry answers, finishes the requests in
        progress and stops.
        """
        self._drain.started.set()

    def stop(self) -> None:
        """End a drain at once, without waiting for requests in progress."""
        self._drain.stop()

    async def run(self) -> None:
        """Serve until a drain, which :meth:`drain` starts, has ended."""
        options = self._options
        self._started_at = anyio.current_time()
        limits = httpx.Limits(
            max_connections=MAX_STORE_CONNECTIONS, keepalive_expiry=10.0
        )
        context = pools.make_plain_http_context()

        def make_store_pool() -> httpx.AsyncHTTPTransport:
            return transports.BoundedTransport(
                httpx.AsyncHTTPTransport(
                    verify=context, limits=limits, trust_env=False
                ),
                MAX_STORE_ANSWER_BYTES,
            )

        async with (
            httpx.AsyncClient(
                transport=transports.RenewingTransport(make_store_pool)
            ) as client,
            anyio.create_task_group() as tasks,
        ):
            self._build_fleet_controllers(client)
            self._build_target_controllers()
            self._build_request_controllers()
            self._build_front_end()
            await tasks.start(self._peers.serve, self._sockets['peer'])
            for task in self._background_tasks():
                tasks.start_soon(servers.keep_running, task, options.host)
            await self._serve_until_stopped(tasks)
            await self._targets.aclose()
            tasks.cancel_scope.cancel()
        self._spans.shut_down()

    async def _serve_until_stopped(self, tasks: anyio.abc.TaskGroup) -> None:
        """Serve HTTP until the drain has ended and all servers are closed.

        Requests need the controllers and the connections to targets until
        the last server has closed.

        :param tasks: runs the controllers
        """
        options = self._options
        async with anyio.create_task_group() as fronts:
            for name, app in self._front_end.apps().items():
                if name in self._sockets:
                    fronts.start_soon(
                        servers.serve_http,
                        app,
                        self._sockets[name],
                        self._stopped,
                        self._http_grace_seconds,
                        None,
                        self._callers,
                        self._idle_seconds if name == 'caller' else None,
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
            with anyio.move_on_after(DEREGISTER_SECONDS):
                await self._membership.deregister()

    def _idle_seconds(self) -> float:
        """Return how long connections of callers may stay unused.

        A caller may send its next request until then. If the connection were
        closed sooner, the request could cross the close.
        """
        known = self.board.routes.get(catalog.ROUTES_KEY)
        limits = known.limits if known is not None else routes.Limits()
        if limits.idle_seconds > 0:
            return limits.idle_seconds
        return routes.Limits().idle_seconds

    def _http_grace_seconds(self) -> float:
        """Return how long callers may go on to read answers after the drain.

        A drain that ends before its limit leaves them the rest of that time.
        """
        if self._drain.was_stopped or not self._drain.has_ended:
            return HTTP_GRACE_SECONDS
        return max(0.0, self._drain.left_seconds) + HTTP_GRACE_SECONDS

    def _build_fleet_controllers(self, client: httpx.AsyncClient) -> None:
        """Make the controllers of peers, records, jobs and membership."""
        options, platform = self._options, self._platform
        calls = budget.Budget(options.store_rate, options.store_write_rate)
        self._handlers: dict[str, typing.Any] = {}
        self._peers = link.Peers(
            listener.Identity(options.host, ''),
            self._handlers,
            spans=self._spans,
        )
        port = self._peers.port
        self._relay = store_relay.StoreRelay(
            options.host,
            platform.connect(client, options.store_address, calls),
            port,
            lambda *labels: self.metrics.store_calls.labels(*labels).inc(),
            platform.clean_record,
        )
        self._catalog = catalog.Catalog(
            options.host,
            self.board,
            catalog.CatalogPorts(
                platform.read_configuration,
                platform.read_target,
                platform.configuration_name,
                lambda: self._relay.seconds_since_failure,
                port,
            ),
        )
        self._log = job_log.JobLog(
            options.host,
            self._relay.port,
            lambda: self._mirrors[job_records.KIND],
            job_accounts.AccountPort(
                platform.wire.read_account, self._has_accounts
            ),
        )
        kinds = {
            platform.configuration_kind: self._catalog.apply_configuration,
            platform.targets_kind: self._catalog.apply_targets,
            job_records.KIND: self._log.apply,
        }
        self._mirrors = {
            kind: mirror.Mirror(
                options.host,
                kind,
                self._relay.port,
                port,
                apply,
                lambda: core.watch_order(self._core()),
                self._job_copy_hosts
                if kind == job_records.KIND
                else peer_port.all_hosts,
                self._first_report_seconds,
            )
            for kind, apply in kinds.items()
        }
        self._access = job_access.JobAccess(
            options.host, self._log, port, self._replica_hosts
        )
        self._membership = membership.Membership(
            blackboard.Member(
                options.host,
                0,
                options.availability_zone,
                options.caller_listen,
                options.peer_listen,
                state='starting',
                run=uuid.uuid4().hex[:RUN_ID_DIGITS],
                cores=options.cores,
            ),
            self.board,
            membership.MembershipPorts(
                records.as_store(self._relay.port),
                port,
                self._update_links,
                calls,
                lambda: self._front_end.drain_middleware.in_progress,
                lambda: 0,
                lambda host, digest: None,
                ENTRY_TTL_FACTOR * gateway_front.ENTRY_TTL_SECONDS,
                options.seed_peers,
                self._heartbeats_per_tick,
            ),
        )
        self._handlers |= self._relay.handlers
        self._handlers |= mirror.handlers(self._mirrors, platform.clean_record)
        self._handlers |= self._catalog.handlers
        self._handlers |= self._access.handlers
        self._handlers |= self._membership.handlers

    def _build_target_controllers(self) -> None:
        """Make the controllers of what hosts know of targets and requests."""
        options, port = self._options, self._peers.port
        self._occupied = occupancy.Occupancy(
            port, self._replica_hosts, options.host
        )
        self._role = batch_role.BatchRole(
            options.host,
            self.board,
            port,
            lambda: self.is_ready,
            self._occupied.recent_peers,
            self._core,
            self._replica_hosts,
        )
        self._software = software_history.SoftwareHistory(
            options.host,
            software_history.HistoryPorts(
                self.board,
                self._relay.port,
                port,
                self._job_copy_hosts,
                self._count_writers_before,
                lambda since: self._mirrors[
                    self._platform.targets_kind
                ].confirm(since),
            ),
            is_first_start=options.is_first_start,
        )
        self._origins = stream_origins.StreamOrigins(
            self._software, port, self._replica_hosts, self._recent_core
        )
        self._paths = target_paths.TargetPaths(
            options.host,
            options.availability_zone,
            target_paths.PathPorts(self.board, port, self._core),
        )
        self._ends = target_ends.TargetEnds(self._paths.has_ended)
        self._crashes = crash_watch.CrashWatch(options.host, port, self._ends)
        self._crash_parts = crash_parts.CrashParts(
            options.host, port, self._core, self._replica_hosts, self._ends
        )
        self._tunnels = tunnel.Tunnels(
            options.host,
            lambda address: any(
                row.address == address for row in self.board.targets.rows()
            ),
        )
        self._errors = error_answers.ErrorAnswers(
            options.host, self.board, port, self._replica_hosts
        )
        self._target_stats = target_stats.TargetStats(
            options.host, self.board, self._paths, self._errors
        )
        self._limits = target_limits.TargetLimits(
            options.host,
            target_limits.LimitPorts(
                self.board,
                port,
                self._core,
                self._occupied.recent_peers,
                self._replica_hosts,
            ),
        )
        self._account_usage = usage.AccountUsage(
            options.host,
            usage.UsagePorts(
                self.board, port, self._core, self._replica_hosts
            ),
        )
        self._account_limits = account_limits.AccountLimits(
            options.host,
            account_limits.LimitPorts(self._account_usage, port, self._core),
        )
        self.metrics.account_levels = self._account_limits.levels
        self._shares = account_shares.AccountShares(
            options.host, self.board, self._account_usage, self.metrics
        )
        self._catalog.listed.append(self._software.record_listed)
        self._catalog.restarted += [
            self._target_stats.forget,
            self._errors.forget,
            self._limits.forget,
        ]
        self._queue = admission_queue.AdmissionQueue(
            options.host,
            options.availability_zone,
            self.board,
            self._occupied,
            self._target_stats,
            self._limits,
            self._shares,
        )
        self._handlers |= self._occupied.handlers
        self._handlers |= self._role.handlers
        self._handlers |= self._crashes.handlers
        self._handlers |= self._crash_parts.handlers
        self._handlers |= self._software.handlers
        self._handlers |= self._origins.handlers
        self._handlers |= self._errors.handlers
        self._handlers |= self._limits.handlers
        self._handlers |= self._account_usage.handlers
        self._handlers |= self._account_limits.handlers
        self._handlers |= self._paths.handlers
        self._handlers |= self._tunnels.handlers

    def _build_request_controllers(self) -> None:
        """Make the controllers of online requests and batch jobs."""
        self._targets = opaque.TargetClient(
            self._platform.wire,
            self._catalog.mark_leaving,
            self._limits.record_answer,
            self._paths.port,
            lambda host, address: self._peers.open_stream(
                host, tunnel.METHOD_OPEN, address
            ),
        )
        self._route_proxy = route_proxy.RouteProxy(
            self._options.host,
            route_proxy.RouteProxyPorts(
                self.board,
                self._queue,
                self._occupied,
                self._target_stats,
                self._paths,
                self._targets,
                self._crashes,
                self._crash_parts,
                self._origins,
                self.metrics,
                self._spans,
                account_requests.AccountRequests(
                    self._account_limits, self._account_usage
                ),
                self._drain.cancelled_at_end,
            ),
        )
        self._runner = item_runner.ItemRunner(
            self._options.host,
            item_runner.RunnerPorts(
                self.board,
                self._log,
                self._queue,
                self._occupied,
                self._target_stats,
                self._limits,
                self._paths,
                self._targets,
                self._crash_parts,
                self._peers.port,
                self.metrics,
                self._role,
                self._ends,
                self._read_account,
            ),
        )
        self._handlers |= self._runner.handlers
        self._cleanup = job_cleanup.JobCleanup(
            self._options.host,
            self._relay.port,
            self._log.jobs,
            self._options.job_status_seconds,
            lambda: self._role.is_runner,
        )

    def _build_front_end(self) -> None:
        """Make the HTTP front end, whose ports need all controllers."""
        self._key_access = access.KeyAccess(
            self._options.host,
            access.AccessPorts(
                self._route_proxy.configuration,
                self._mirrors[self._platform.configuration_kind],
                self._platform.configuration_name,
                functools.partial(
                    self._platform.clean_record,
                    self._platform.configuration_kind,
                ),
                self._peers.port,
                self._core,
                lambda cause: self.metrics.key_refusals.labels(cause).inc(),
            ),
            self._options.revocation_seconds
            if self._options.strict_revocation
            else None,
        )
        self._handlers |= self._key_access.handlers
        self._front_end = gateway_front.FrontEnd(
            gateway_front.FrontEndPorts(
                self._options.host,
                min(
                    gateway_front.ENTRY_TTL_SECONDS,
                    self._options.max_entry_ttl_seconds,
                ),
                self.board,
                self._platform,
                self._route_proxy,
                self._key_access,
                self._access,
                self._log.jobs,
                self._log.accounts,
                self.metrics,
                self._occupied,
                self._relay,
                self._mirrors,
                lambda: self.is_ready,
                lambda: self.is_draining,
                lambda seconds, may_repeat: self._drain.accepts(
                    seconds, may_repeat=may_repeat
                ),
                self._drain.cancelled_at_end,
                self._initialized,
                self._core,
                self._membership.seconds_in_state,
                self._paths,
                self._errors,
                self._tunnels,
                self._shares,
            )
        )

    def _read_account(self, job: job_records.Job) -> str:
        """Return the account of a job, which each of its items names."""
        if not job.items:
            return ''
        return self._platform.wire.read_account(job.items[0].headers)

    def _requests_in_progress(self) -> int:
        """Return how many requests of callers and peers are not finished."""
        own = self._front_end.drain_middleware.in_progress
        return own + self._tunnels.in_use

    def _background_tasks(
        self,
    ) -> list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]:
        return [
            *(copy.run for copy in self._mirrors.values()),
            self._broadcast_freshness,
            self._relay.run,
            self._membership.run,
            self._catalog.run,
            self._crash_parts.run,
            self._ends.run,
            self._software.run,
            self._occupied.run,
            self._errors.run,
            self._limits.run,
            self._account_usage.run,
            self._account_limits.run,
            self._target_stats.run,
            self._paths.run,
            self._queue.run,
            self._runner.run,
            self._cleanup.run,
            self._forget_dead_hosts,
        ]

    def _live_hosts(self) -> list[core.CoreHost]:
        """Return the live hosts, from which the core is chosen.

        This host comes first and is included whatever its state is.
        """
        options = self._options
        others = [
            core.CoreHost(row.host, row.availability_zone, row.cores)
            for row in self.board.members.rows()
            if row.state in membership.LIVE_STATES and row.host != options.host
        ]
        me = core.CoreHost(
            options.host, options.availability_zone, options.cores
        )
        return [me, *others]

    def _choose_core(self) -> _CoreChoice:
        """Return the core for the present members.

        The choice is cached until the members change, because it is read
        whenever a count of requests in progress changes.
        """
        version = self.board.members.version
        if version != self._core_choice.version:
            hosts = self._live_hosts()
            self._core_choice = _CoreChoice(
                version, len(hosts), core.choose(hosts)
            )
        return self._core_choice

    def _has_accounts(self) -> bool:
        known = self.board.routes.get(catalog.ROUTES_KEY)
        return known is not None and known.client_accounts is not None

    def _core(self) -> list[str]:
        return self._choose_core().core

    def _recent_core(self) -> set[str]:
        """Return the core and the hosts that were lost a moment ago."""
        lost = self._membership.lost_within(software_history.RETENTION_SECONDS)
        return {*self._core(), *lost}

    def _replica_hosts(self) -> collections.abc.Collection[str] | None:
        """Return the hosts that keep a copy of the records of jobs.

        These hosts are also told at once when a count of requests in progress
        changes.

        :returns: ids of the hosts, ``None`` for all hosts
        """
        chosen = self._choose_core()
        return chosen.core if core.is_needed(chosen.live_count) else None

    def _job_copy_hosts(self) -> collections.abc.Collection[str] | None:
        """Return the hosts that copy the records of jobs and of software.

        None does before it knows the members, as it may be outside the core.
        """
        elapsed = anyio.current_time() - self._started_at
        if elapsed < MEMBERS_WAIT_SECONDS and not self._membership.has_listed:
            return ()
        return self._replica_hosts()

    def _count_writers_before(self) -> int:
        """Return how many hosts write shared records before this one."""
        return len(
            watching.hosts_before(
                self._options.host,
                self._peers.port.connected(),
                core.watch_order(self._core()),
            )
        )

    def _first_report_seconds(self) -> float:
        """Return how long a new copy waits for the watchers' reports."""
        if self._replica_hosts() is None:
            return mirror.FIRST_REPORT_SECONDS
        return mirror.LARGE_FLEET_FIRST_REPORT_SECONDS

    def _heartbeats_per_tick(self) -> int:
        """Return to how many hosts this host sends heartbeats at a time."""
        if peer_port.includes(self._replica_hosts(), self._options.host):
            return membership_policy.HEARTBEATS_PER_TICK
        return core.OUTSIDE_HEARTBEATS

    def _update_links(
        self,
        addresses: collections.abc.Mapping[str, str],
        kept: collections.abc.Collection[str],
    ) -> None:
        """Update the links to peers.

        Each host has links to the core, and the core has links to all hosts.

        :param addresses: ``ip:port`` for peers, by host
        :param kept: hosts that membership needs a link to in any case
        """
        live = {row.host for row in self._live_hosts()}
        links = core.links(
            self._options.host, self._core(), live & addresses.keys(), kept
        )
        self._peers.update_links(addresses, links)

    async def _broadcast_freshness(self) -> None:
        await mirror.broadcast_freshness(
            self._mirrors, self._peers.port, self._replica_hosts
        )

    async def _announce_ready(self) -> None:
        await self._mirrors[self._platform.configuration_kind].ready.wait()
        await self._mirrors[self._platform.targets_kind].ready.wait()
        while self.board.routes.get(catalog.ROUTES_KEY) is None:
            await self.board.routes.wait(self.board.routes.version)
        self._initialized.set()
        self._membership.mark_alive()
        events.log(events.DAEMON_READY, host=self._options.host)

    async def _forget_dead_hosts(self) -> None:
        """Drop the counts of requests in progress that dead hosts reported."""
        version = 0
        while True:
            version = await self.board.members.wait(version)
            for member in self.board.members.rows():
                if member.state == 'dead':
                    self._occupied.forget(member.host)
                    self._account_usage.forget(member.host)
