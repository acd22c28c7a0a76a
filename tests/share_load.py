"""Plays loads of client accounts on the queues of hosts, on a paused clock."""

import collections
import random
import typing

import anyio
import result

from persimmonpass import accounts
from persimmonpass import blackboard
from persimmonpass.controllers.accounts import shares
from persimmonpass.controllers.accounts import usage
from persimmonpass.controllers.fleet import catalog
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import target_limits
from persimmonpass import gateway_metrics
from persimmonpass.policy import queueing
from persimmonpass import routes
from tests import fakes
from tests import platform_fakes

SERVICE = 'notes'
SLOTS = 8
OBJECTIVE_SECONDS = 0.3
FIRST_SECONDS = 0.1
RUN_SECONDS = 0.4
DEADLINE_SECONDS = 5.1
# Limits of accounts: a few large ones, many tiny ones.
LARGEST, SMALLEST, ACCOUNTS = 70.0, 2.0, 81


class Ended(typing.NamedTuple):
    """How a request left the queue.

    :ivar outcome: ``on time``, ``late`` or ``refused``
    :ivar waited: time in the queue, in seconds
    :ivar cause: why it was refused
    """

    account: str
    outcome: str
    arrived_at: float
    waited: float
    cause: str = ''
    retry_after: float = 0.0


class Arrival(typing.NamedTuple):
    """A request that arrives at a host."""

    at: float
    account: str
    host: int


def make_accounts(count=ACCOUNTS):
    """Return accounts whose limits follow a steep law."""
    return [
        accounts.Account(
            f'a{number:02}',
            rate_per_second=max(SMALLEST, LARGEST / (number + 1)),
        )
        for number in range(count)
    ]


def arrivals(rates, seconds, hosts, seed, since=0.0):
    """Return random arrivals.

    :param rates: requests a second by account
    """
    found = []
    for name, rate in rates.items():
        rng = random.Random(f'{seed} {name} {since}')
        at = since + rng.expovariate(rate)
        while at < since + seconds:
            found.append(Arrival(at, name, rng.randrange(hosts)))
            at += rng.expovariate(rate)
    return sorted(found)


class Play:
    """Hosts that serve accounts with the same targets.

    :ivar ended: how requests ended
    :ivar idle: slot-seconds that were free while requests waited for longer
        than notices take
    """

    def __init__(self, hosts, targets, table, is_shared=True, deaf=()):
        self.ended = []
        self.idle = 0.0
        self._count = hosts
        self._targets = targets
        self._table = table
        self._is_shared = is_shared
        self._deaf = deaf
        self._boards = []
        self._queues = []
        self._occupied = []
        self._usage = []
        self._running = collections.Counter()

    def _build(self, tasks):
        network = fakes.Network()
        for number in self._deaf:
            network.silent.add(f'host-{number}')
        for number in range(self._count):
            self._add_host(network, f'host-{number}', tasks)

    def _add_host(self, network, name, tasks):
        board = blackboard.Blackboard()
        self._boards.append(board)
        for target in range(self._targets):
            self._list(board, f'i-{target}')
        board.routes.put(
            catalog.ROUTES_KEY,
            routes.Configuration(
                1,
                (),
                {SERVICE: routes.Service(SERVICE)},
                client_accounts=accounts.make_table(self._table),
            ),
        )
        port = network.port(name, tasks)
        occupied = occupancy.Occupancy(port)
        used = usage.AccountUsage(
            name,
            usage.UsagePorts(
                board, port, lambda: list(network.handlers), lambda: None
            ),
        )
        network.handlers[name] = {**occupied.handlers, **used.handlers}
        limits = target_limits.TargetLimits(
            name,
            target_limits.LimitPorts(
                board,
                network.port(name),
                lambda: list(network.handlers),
                lambda: list(network.handlers),
                lambda: None,
            ),
        )
        queue = admission_queue.AdmissionQueue(
            name,
            'a',
            board,
            occupied,
            platform_fakes.target_stats_of(name, board),
            limits,
            shares.AccountShares(
                name, board, used, gateway_metrics.GatewayMetrics()
            )
            if self._is_shared
            else None,
        )
        self._queues.append(queue)
        self._occupied.append(occupied)
        self._usage.append(used)
        for row in (queue, occupied, used):
            tasks.start_soon(row.run)

    def _list(self, board, name):
        row = blackboard.Target(name, '', 'engine', 'a', {}, False, False)
        board.targets.put(name, row._replace(service=SERVICE, slots=SLOTS))

    def set_targets(self, count):
        """Change the number of targets."""
        for board in self._boards:
            for number in range(self._targets):
                row = board.targets.get(f'i-{number}')
                board.targets.put(
                    row.name, row._replace(leaving=number >= count)
                )

    async def run(self, load, changes=()):
        """Play a load.

        :param load: arrivals
        :param changes: pairs of a time and the number of targets from then on
        """
        async with anyio.create_task_group() as tasks:
            self._build(tasks)
            # Hosts notify each other before the first request arrives.
            await anyio.sleep(1)
            began = anyio.current_time()
            for at, count in changes:
                tasks.start_soon(self._change, began + at, count)
            tasks.start_soon(self._watch)
            async with anyio.create_task_group() as requests:
                for row in load:
                    await anyio.sleep_until(began + row.at)
                    requests.start_soon(self._send, row, began)
            tasks.cancel_scope.cancel()
        return self

    async def _change(self, at, count):
        await anyio.sleep_until(at)
        self.set_targets(count)

    async def _watch(self):
        step = 0.01
        waits = 0.0
        while True:
            await anyio.sleep(step)
            rows = self._boards[0].targets.rows()
            free = sum(
                max(0, row.slots - self._running[row.name])
                for row in rows
                if not row.leaving
            )
            waiting = any(queue._requests for queue in self._queues)
            waits = waits + step if waiting and free else 0.0
            if waits > step:
                self.idle += free * step

    async def _send(self, row, began):
        queue = self._queues[row.host]
        arrived_at = anyio.current_time()
        queued = queueing.QueuedRequest(
            0,
            arrived_at,
            queueing.placement_deadline(
                arrived_at, OBJECTIVE_SECONDS, FIRST_SECONDS
            ),
            account=row.account if self._is_shared else '',
            objective_seconds=OBJECTIVE_SECONDS,
        )
        placed = await queue.acquire_slot(
            (SERVICE,), queued, arrived_at + DEADLINE_SECONDS
        )
        now = anyio.current_time()
        waited = now - arrived_at
        at = arrived_at - began
        if isinstance(placed, result.Err):
            failure = placed.err_value
            self.ended.append(
                Ended(
                    row.account,
                    'refused',
                    at,
                    waited,
                    failure.message,
                    failure.retry_after_seconds,
                )
            )
            return
        late = now > queued.placement_deadline
        outcome = 'late' if late else 'on time'
        self.ended.append(Ended(row.account, outcome, at, waited))
        name = placed.ok_value.name
        self._running[name] += 1
        self._usage[row.host].started(row.account)
        await anyio.sleep(RUN_SECONDS)
        self._running[name] -= 1
        self._usage[row.host].ended(row.account)
        self._occupied[row.host].add_online(name, -1)


def counts(ended, names=None):
    """Return the outcomes of requests, by all or some accounts."""
    return collections.Counter(
        row.outcome for row in ended if names is None or row.account in names
    )


def share_of(outcomes, *wanted):
    """Return the share of requests with one of some outcomes."""
    return sum(outcomes[name] for name in wanted) / max(1, outcomes.total())
