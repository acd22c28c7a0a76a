"""Prometheus metrics of a gateway."""

import collections.abc
import typing

import prometheus_client

from persimmonpass import metrics

# Accounts with metrics of their own; there are 320 at the two-year target.
MAX_ACCOUNTS = 400
OTHER_ACCOUNTS = 'other'


class AccountLevel(typing.NamedTuple):
    """The limit of an account at a scrape.

    :ivar limit: requests a second of all hosts
    :ivar tokens_left: requests that may be sent now
    """

    name: str
    limit: float
    tokens_left: float


class GatewayMetrics:
    """Metrics of one gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'persimmonpass_route_requests',
            'Requests that got their final answer.',
            ['kind', 'outcome'],
            registry=self.registry,
        )
        self.sends = prometheus_client.Counter(
            'persimmonpass_route_sends',
            'Requests that were sent to a target.',
            ['kind'],
            registry=self.registry,
        )
        self.first_event = prometheus_client.Histogram(
            'persimmonpass_route_first_event_seconds',
            'Time from a request to its first event.',
            ['kind'],
            buckets=metrics.LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.between_events = prometheus_client.Histogram(
            'persimmonpass_route_between_events_seconds',
            'Time from an event of a stream to the next one.',
            ['kind'],
            buckets=metrics.LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            'persimmonpass_record_store_calls',
            'Calls of the store by this host itself.',
            ['call', 'kind', 'outcome'],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            'persimmonpass_route_refusals',
            'Requests that were refused, by what was in their way.',
            ['cause'],
            registry=self.registry,
        )
        self.key_refusals = prometheus_client.Counter(
            'persimmonpass_key_refusals',
            'Requests that were refused because of their key.',
            ['cause'],
            registry=self.registry,
        )
        self.items = prometheus_client.Counter(
            'persimmonpass_job_items',
            'Runs of batch items by how they ended.',
            ['outcome'],
            registry=self.registry,
        )
        self.batch_running = prometheus_client.Gauge(
            'persimmonpass_job_items_running',
            'Batch items that this host runs.',
            registry=self.registry,
        )
        self.parts_refused = prometheus_client.Gauge(
            'persimmonpass_prompt_parts_refused',
            'Parts of prompts that this host refuses, as they crash targets.',
            registry=self.registry,
        )
        self.waiting_for_trial = prometheus_client.Gauge(
            'persimmonpass_job_items_waiting_for_trial',
            'Batch items that wait until a refused part may be tried.',
            registry=self.registry,
        )
        self.jobs_open = prometheus_client.Gauge(
            'persimmonpass_jobs_open',
            'Accepted jobs with items that have no result.',
            registry=self.registry,
        )
        self.account_waiting_tokens = prometheus_client.Gauge(
            'persimmonpass_account_waiting_tokens',
            'Tokens of job items without a result, by account; "other" sums '
            'up the smallest accounts.',
            ['account'],
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            'persimmonpass_route_requests_waiting',
            'Online requests of all hosts that wait for a place.',
            registry=self.registry,
        )
        self.account_share = prometheus_client.Gauge(
            'persimmonpass_account_share',
            'Slots that an account may use while requests wait.',
            ['account'],
            registry=self.registry,
        )
        self.account_running = prometheus_client.Gauge(
            'persimmonpass_account_running',
            'Online requests of an account that run, on all hosts.',
            ['account'],
            registry=self.registry,
        )
        self.account_wait = prometheus_client.Histogram(
            'persimmonpass_account_wait_seconds',
            'Time that a request of an account waited for a slot.',
            buckets=metrics.LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.store_lost = prometheus_client.Gauge(
            'persimmonpass_store_lost',
            'Whether the store does not answer this host.',
            registry=self.registry,
        )
        self.targets_lost = prometheus_client.Gauge(
            'persimmonpass_targets_lost',
            'Targets to which this host cannot connect itself.',
            registry=self.registry,
        )
        self.targets_held = prometheus_client.Gauge(
            'persimmonpass_targets_held_back',
            'Targets that get no requests or one at a time for their errors.',
            registry=self.registry,
        )
        self.tunnels = prometheus_client.Gauge(
            'persimmonpass_target_tunnels',
            'Connections to targets in use that this host keeps for peers.',
            registry=self.registry,
        )
        self.record_age = prometheus_client.Gauge(
            'persimmonpass_record_age_seconds',
            'Age of the copy of a kind of records.',
            ['kind'],
            registry=self.registry,
        )
        self.account_requests = prometheus_client.Counter(
            'persimmonpass_account_requests',
            'Requests of an account that got their final answer.',
            ['account', 'outcome'],
            registry=self.registry,
        )
        self.account_refusals = prometheus_client.Counter(
            'persimmonpass_account_refusals',
            'Requests of an account that were refused, by cause.',
            ['account', 'cause'],
            registry=self.registry,
        )
        self.account_limit = prometheus_client.Gauge(
            'persimmonpass_account_limit',
            'Requests a second that all hosts together run for an account.',
            ['account'],
            registry=self.registry,
        )
        self.account_tokens_left = prometheus_client.Gauge(
            'persimmonpass_account_tokens_left',
            'Requests of an account that this host may send now.',
            ['account'],
            registry=self.registry,
        )
        self._account_names: set[str] = set()
        self.account_levels: collections.abc.Callable[
            [], collections.abc.Iterable[AccountLevel]
        ] = tuple

    def count_account(self, name: str, outcome: str, cause: str) -> None:
        """Count the final answer to a request of an account.

        :param cause: why it was refused; empty if it was not
        """
        if name not in self._account_names:
            if len(self._account_names) >= MAX_ACCOUNTS:
                name = OTHER_ACCOUNTS
            else:
                self._account_names.add(name)
        self.account_requests.labels(name, outcome).inc()
        if cause:
            self.account_refusals.labels(name, cause).inc()

    def _update_accounts(self) -> None:
        """Set the gauges of the accounts that the configuration has."""
        self.account_limit.clear()
        self.account_tokens_left.clear()
        for row in list(self.account_levels())[:MAX_ACCOUNTS]:
            self.account_limit.labels(row.name).set(row.limit)
            self.account_tokens_left.labels(row.name).set(row.tokens_left)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._update_accounts()
        return prometheus_client.generate_latest(self.registry)
