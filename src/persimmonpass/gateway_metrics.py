"""Prometheus metrics of a gateway."""

import prometheus_client

from persimmonpass import metrics


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
        self.jobs_open = prometheus_client.Gauge(
            'persimmonpass_jobs_open',
            'Accepted jobs with items that have no result.',
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

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
