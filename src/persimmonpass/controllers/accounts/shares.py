"""Keeps which client accounts are past their share of a service's slots.

Shares matter only while requests of a service wait. The accounts are compared
anew when the service's requests have not waited for a while.
"""

import collections.abc
import random
import typing

import anyio

from persimmonpass import accounts
from persimmonpass import blackboard
from persimmonpass.controllers.fleet import catalog
from persimmonpass import events
from persimmonpass import gateway_metrics
from persimmonpass.policy import fair_shares
from persimmonpass.policy import queueing
from persimmonpass import verdicts

# Shares change with each request, and computing those of 320 accounts takes a
# part of a millisecond. A request takes forty times as long.
REFRESH_SECONDS = 0.01
# Longest time for which the present counts are taken to have held.
MAX_STEP_SECONDS = 0.1
# The comparison ends when no request has waited here for this long.
QUIET_SECONDS = 1.0
EVENT_INTERVAL_SECONDS = 1.0
# Requests by service are counted for about this time, to tell which part of
# an account's requests, which hosts report in total, belongs to a service.
SEEN_SECONDS = 10.0
MIN_SEEN = 0.1
# Label value of the refusals metric, so that its wording must not change.
PAST_SHARE = 'the account is past its share'


class UsagePort(typing.Protocol):
    """Requests of each account on all hosts."""

    def running(self, name: str) -> int:
        """Return the requests of an account that run."""

    def waiting(self, name: str) -> int:
        """Return the requests of an account that wait."""

    def accounts(self) -> collections.abc.Iterable[str]:
        """Return the accounts with requests."""

    def set_waiting(self, waiting: dict[str, int]) -> None:
        """Set the waiting requests of this host by account."""


class Backlog(typing.NamedTuple):
    """What waits beside a request of an account.

    :ivar newer: requests of its account that wait at this host, from it on
    :ivar service_seconds: mean duration of a request
    :ivar stalled_seconds: time for which late requests have got no slot
    :ivar left_seconds: time until it has to be placed at the latest
    """

    newer: int
    service_seconds: float
    stalled_seconds: float
    left_seconds: float


class _Service:
    """Shares of the accounts in one service.

    :ivar refreshed_at: local clock of the last comparison, in seconds
    :ivar entitled: slots that each account may use
    """

    def __init__(self) -> None:
        self.refreshed_at = float('-inf')
        self.entitled: dict[str, float] = {}
        self.standings: dict[str, fair_shares.Standing] = {}


class _Hold:
    """What was last logged about an account.

    :ivar is_held: whether it was held to its share
    """

    def __init__(self) -> None:
        self.is_held = False
        self.logged_at = float('-inf')


class AccountShares:
    """Shares of the client accounts, as one host knows them."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        usage: UsagePort,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._host = host
        self._board = board
        self._usage = usage
        self._metrics = metrics
        self._services: dict[str, _Service] = {}
        self._seen: dict[str, dict[str, float]] = {}
        self._halved_at = anyio.current_time()
        self._holds: dict[str, _Hold] = {}
        self._weights: tuple[accounts.Accounts, fair_shares.Weights] | None = (
            None
        )

    @property
    def table(self) -> accounts.Accounts | None:
        """The accounts of the configuration, ``None`` if it has none."""
        known = self._board.routes.get(catalog.ROUTES_KEY)
        return known.client_accounts if known is not None else None

    def record_request(self, service: str, account: str) -> None:
        """Count a request that asks for a slot."""
        if account:
            seen = self._seen.setdefault(account, {})
            seen[service] = seen.get(service, 0.0) + 1

    def record_wait(self, queued: queueing.QueuedRequest) -> None:
        """Record how long a request waited that leaves the queue."""
        if queued.account:
            self._metrics.account_wait.observe(
                anyio.current_time() - queued.arrived_at
            )

    def set_waiting(self, waiting: dict[str, int]) -> None:
        """Set the waiting requests of this host by account."""
        if self.table is not None:
            self._usage.set_waiting(waiting)

    def refresh(
        self,
        service: str,
        slots: collections.abc.Callable[[str], float],
        service_seconds: float,
    ) -> None:
        """Compare the accounts, as requests of a service wait.

        :param slots: returns the slots of the service's targets
        :param service_seconds: mean duration of a request
        """
        table = self.table
        now = anyio.current_time()
        state = self._services.setdefault(service, _Service())
        elapsed = now - state.refreshed_at
        if table is None or elapsed < REFRESH_SECONDS:
            return
        if elapsed > QUIET_SECONDS:
            state.standings = {}
        state.refreshed_at = now
        weights = self._weigh(table)
        parts = {
            name: self._part(service, name) for name in self._usage.accounts()
        }
        demands = {
            name: part
            * (self._usage.running(name) + self._usage.waiting(name))
            for name, part in parts.items()
        }
        level = fair_shares.water_level(demands, weights, slots(service))
        state.entitled = {name: weights.of(name) * level for name in demands}
        state.standings = {
            name: fair_shares.judge(
                state.standings.get(name),
                parts[name] * self._usage.running(name),
                entitled,
                service_seconds,
                min(elapsed, MAX_STEP_SECONDS),
            )
            for name, entitled in state.entitled.items()
        }
        self._log_holds(now)

    def past_pairs(
        self,
        asking: collections.abc.Collection[tuple[str, str]],
        slots: collections.abc.Callable[[str], float],
        service_seconds: float,
    ) -> set[tuple[str, str]]:
        """Return the accounts that are past their share, by service.

        :param asking: services and accounts whose requests wait
        :param slots: returns the slots of a service's targets
        :param service_seconds: mean duration of a request
        """
        if self.table is None:
            return set()
        for service in {service for service, _ in asking}:
            self.refresh(service, slots, service_seconds)
        return {pair for pair in asking if self.is_past(*pair)}

    def refuse(
        self, service: str, queued: queueing.QueuedRequest, backlog: Backlog
    ) -> verdicts.Failure | None:
        """Refuse a request if its account is past its share and it has to be.

        :param backlog: what waits beside the request
        """
        account = queued.account
        if not self.is_past(service, account):
            return None
        share = self.entitled(service, account)
        waiting = self._part(service, account) * self._usage.waiting(account)
        seconds = fair_shares.backlog_seconds(
            max(0.0, waiting - backlog.newer), share, backlog.service_seconds
        )
        if not fair_shares.should_refuse(
            seconds,
            backlog.left_seconds,
            queued.placement_deadline - anyio.current_time(),
            backlog.stalled_seconds,
        ):
            return None
        return verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.REQUEST_REFUSED,
            PAST_SHARE,
            503,
            fair_shares.retry_after(seconds, random.random()),
            details={'share': round(share, 2)},
        )

    def tick(self) -> None:
        """End comparisons of services whose requests no longer wait."""
        now = anyio.current_time()
        for name, state in list(self._services.items()):
            if now - state.refreshed_at > QUIET_SECONDS:
                del self._services[name]
        if now - self._halved_at >= SEEN_SECONDS:
            self._halved_at = now
            self._halve_seen()
        self._log_holds(now)

    def is_past(self, service: str, account: str) -> bool:
        """Return whether an account is past its share of a service."""
        state = self._services.get(service)
        standing = state.standings.get(account) if state else None
        return standing is not None and standing.is_past

    def holds_any(self, service: str) -> bool:
        """Return whether an account is past its share of a service."""
        state = self._services.get(service)
        return state is not None and any(
            row.is_past for row in state.standings.values()
        )

    def entitled(self, service: str, account: str) -> float:
        """Return the slots of a service that an account may use."""
        state = self._services.get(service)
        return state.entitled.get(account, 0.0) if state else 0.0

    def update_gauges(self) -> None:
        """Set the gauges that are computed only at a scrape."""
        self._metrics.account_share.clear()
        self._metrics.account_running.clear()
        if self.table is None:
            return
        for name in self._usage.accounts():
            running = self._usage.running(name)
            self._metrics.account_running.labels(name).set(running)
        for name, share in self._total_shares().items():
            self._metrics.account_share.labels(name).set(share)

    def _total_shares(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for state in self._services.values():
            for name, entitled in state.entitled.items():
                total[name] = total.get(name, 0.0) + entitled
        return total

    def _weigh(self, table: accounts.Accounts) -> fair_shares.Weights:
        if self._weights is None or self._weights[0] is not table:
            self._weights = table, fair_shares.weigh(table.by_name)
        return self._weights[1]

    def _part(self, service: str, account: str) -> float:
        """Return which part of an account's requests is for a service.

        An account of which this host has seen no request is taken to use all
        services alike.
        """
        known = self._board.routes.get(catalog.ROUTES_KEY)
        count = max(1, len(known.services)) if known is not None else 1
        seen = self._seen.get(account)
        if count == 1:
            return 1.0
        if seen is None:
            return 1 / count
        total = sum(seen.values())
        return (seen.get(service, 0.0) + 1 / count) / (total + 1)

    def _halve_seen(self) -> None:
        for name, seen in list(self._seen.items()):
            for service in list(seen):
                seen[service] /= 2
            if sum(seen.values()) < MIN_SEEN:
                del self._seen[name]

    def _log_holds(self, now: float) -> None:
        """Log which accounts are held to their share, and no longer."""
        held = {
            name
            for state in self._services.values()
            for name, row in state.standings.items()
            if row.is_past
        }
        for name in held | self._holds.keys():
            hold = self._holds.setdefault(name, _Hold())
            if now - hold.logged_at < EVENT_INTERVAL_SECONDS:
                continue
            if hold.is_held == (name in held):
                if not hold.is_held:
                    del self._holds[name]
                continue
            hold.is_held = name in held
            hold.logged_at = now
            events.log(
                events.ACCOUNT_HELD if hold.is_held else events.ACCOUNT_FREED,
                host=self._host,
                account=name,
                share=round(self._total_shares().get(name, 0.0), 2),
                running=self._usage.running(name),
                waiting=self._usage.waiting(name),
            )
