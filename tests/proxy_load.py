"""Plays loads on the route proxies of hosts, on a paused clock.

All decisions are the product's; only targets, callers and the links between
hosts are played. What counts is what callers get.
"""

import collections
import contextlib
import random
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.accounts import requests as account_requests
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.online import route_proxy
from persimmonpass.controllers.online import stream_origins
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import crash_watch
from persimmonpass.controllers.targets import error_answers
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import software_history
from persimmonpass.controllers.targets import target_limits
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import gateway_metrics
from persimmonpass import routes
from persimmonpass.targets import opaque
from persimmonpass import tracing
from tests import fakes
from tests import record_fakes

SERVICE = 'notes'
OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 5.0
EVENTS = 5
PACE_SECONDS = 0.04
ERROR_SECONDS = 0.001
# Not resumable, so that an error that a target answers is the caller's.
ROUTE = routes.Route(
    'chat',
    'notes.example',
    '/chat/',
    routes.Kind.STREAM,
    (routes.Share(SERVICE, 1.0),),
    DEADLINE_SECONDS,
    OBJECTIVE_SECONDS,
    1,
    gap_seconds=0.25,
)
RESUMABLE = ROUTE._replace(resumable=True, max_attempts=3)


class Ended(typing.NamedTuple):
    """What a caller got.

    :ivar outcome: ``in time``, ``late``, ``refused`` or ``failed``
    :ivar sent_at: clock when the request was sent, in seconds
    """

    outcome: str
    sent_at: float


class Target:
    """A target with a number of slots, which admits in order of arrival.

    :ivar fails: takes a request; returns whether it is answered with 500
    :ivar run_times: clock at the start of each run, in seconds
    """

    def __init__(self, name, slots=8):
        self.name = name
        self.fails = lambda call: False
        self.run_times = []
        self._slots = anyio.Semaphore(slots)

    async def answer(self, call):
        """Yield the parts of an answer; ``None`` is an error."""
        self.run_times.append(anyio.current_time())
        if self.fails(call):
            await anyio.sleep(ERROR_SECONDS)
            yield None
            return
        async with self._slots:
            for number in range(1, EVENTS + 1):
                await anyio.sleep(PACE_SECONDS)
                yield b'id: %d\ndata: x\n\n' % number


class Targets:
    """The way of one host to the targets."""

    def __init__(self, targets):
        self._targets = targets

    @contextlib.asynccontextmanager
    async def open(self, call, target, seconds, resume_after=None, **terms):
        parts = self._targets[target.name].answer(call)
        async with contextlib.aclosing(parts):
            first = await anext(parts)
            is_error = first is None
            head = exchange.ResponseHead(
                500 if is_error else 200, [], False, False, True, not is_error
            )
            yield result.Ok(
                opaque.Answer(head, _chain(None if is_error else first, parts))
            )


async def _chain(first, rest):
    if first is not None:
        yield first
    async for part in rest:
        yield part


class Play:
    """Hosts that serve callers with the same targets.

    :ivar targets: targets by name
    :ivar ended: what callers got
    """

    def __init__(self, hosts, targets, slots=8):
        self.targets = {
            f'i-{number:02}': Target(f'i-{number:02}', slots)
            for number in range(targets)
        }
        self.ended = []
        self.proxies = []
        self.queues = []
        self.boards = []
        self._hosts = hosts
        self._slots = slots

    def share(self, outcome, since=0.0, until=float('inf')):
        """Return the share of callers with an outcome in a span."""
        rows = [row for row in self.ended if since <= row.sent_at < until]
        return sum(row.outcome == outcome for row in rows) / len(rows)

    def runs(self, since=0.0):
        """Return the number of runs at each target, in their order."""
        return [
            sum(at - self.began >= since for at in target.run_times)
            for target in self.targets.values()
        ]

    def count(self):
        """Return the number of callers by outcome."""
        return collections.Counter(row.outcome for row in self.ended)

    async def run(self, load, changes=()):
        """Play a load.

        :param load: rows of a time, a host and a route
        :param changes: pairs of a time and a function that is then called
        """
        async with anyio.create_task_group() as tasks:
            network = fakes.Network()
            for number in range(self._hosts):
                self._add_host(network, f'host-{number}', tasks)
            await anyio.sleep(1)
            self.began = anyio.current_time()
            async with anyio.create_task_group() as requests:
                rows = [(at, None, change) for at, change in changes]
                rows += [(at, host, route) for at, host, route in load]
                rows.sort(key=lambda row: row[0])
                for number, (at, host, what) in enumerate(rows):
                    await anyio.sleep_until(self.began + at)
                    if host is None:
                        what()
                    else:
                        requests.start_soon(self._send, number, host, what)
            tasks.cancel_scope.cancel()
        return self

    async def _send(self, number, host, route):
        call = exchange.Call(
            f'r{number}',
            'POST',
            'notes.example',
            b'/chat/a',
            [],
            b'%d' % number,
            DEADLINE_SECONDS,
        )
        sent_at = anyio.current_time()
        status = None
        first_at = None

        async def start(answered, headers):
            nonlocal status
            status = answered

        async def send(body, more):
            nonlocal first_at
            if body and first_at is None:
                first_at = anyio.current_time()

        outcome = 'failed'
        try:
            await self.proxies[host].serve(
                call, route, exchange.CallerPort(start, send)
            )
        except exceptions.BrokenAnswerError:
            status = None
        if status == 503:
            outcome = 'refused'
        elif status == 200 and first_at is not None:
            in_time = first_at - sent_at <= OBJECTIVE_SECONDS
            outcome = 'in time' if in_time else 'late'
        self.ended.append(Ended(outcome, sent_at - self.began))

    def _add_host(self, network, name, tasks):
        board = blackboard.Blackboard()
        for target in self.targets:
            row = blackboard.Target(target, target, 'engine', 'a', {})
            board.targets.put(
                target,
                row._replace(
                    service=SERVICE, slots=self._slots, software_version='v1'
                ),
            )
        port = network.port(name, tasks)

        def core():
            return list(network.handlers)

        occupied = occupancy.Occupancy(port)
        paths = target_paths.TargetPaths(
            name, 'a', target_paths.PathPorts(board, port, core)
        )
        errors = error_answers.ErrorAnswers(name, board, port)
        stats = target_stats.TargetStats(name, board, paths, errors)
        history = software_history.SoftwareHistory(
            name,
            software_history.HistoryPorts(
                board,
                record_fakes.MemoryRecords().port,
                port,
                lambda: None,
                lambda: 0,
            ),
            is_first_start=True,
        )
        origins = stream_origins.StreamOrigins(history, port)
        parts = crash_parts.CrashParts(name, port, core)
        crashes = crash_watch.CrashWatch(name, port)
        limits = target_limits.TargetLimits(
            name,
            target_limits.LimitPorts(board, port, core, core, lambda: None),
        )
        queue = admission_queue.AdmissionQueue(
            name, 'a', board, occupied, stats, limits
        )
        network.handlers[name] = {
            **occupied.handlers,
            **paths.handlers,
            **errors.handlers,
            **history.handlers,
            **origins.handlers,
            **parts.handlers,
            **crashes.handlers,
            **limits.handlers,
        }
        self.boards.append(board)
        self.queues.append(queue)
        self.proxies.append(
            route_proxy.RouteProxy(
                name,
                route_proxy.RouteProxyPorts(
                    board,
                    queue,
                    occupied,
                    stats,
                    paths,
                    Targets(self.targets),
                    crashes,
                    parts,
                    origins,
                    gateway_metrics.GatewayMetrics(),
                    tracing.Tracing(name, ''),
                    account_requests.AccountRequests(None, None),
                    anyio.CancelScope,
                ),
            )
        )
        for row in (occupied, errors, stats, queue, history):
            tasks.start_soon(row.run)


def steady(rate, seconds, hosts, seed, since=0.0, route=ROUTE):
    """Return random arrivals at a rate a second, over all hosts."""
    rng = random.Random(f'{seed} {since}')
    found = []
    at = since + rng.expovariate(rate)
    while at < since + seconds:
        found.append((at, rng.randrange(hosts), route))
        at += rng.expovariate(rate)
    return found
