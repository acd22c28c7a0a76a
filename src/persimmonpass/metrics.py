"""Defines the metrics of a daemon in the Prometheus text format."""

import functools

import prometheus_client

from persimmonpass import budget

CONTENT_TYPE = 'text/plain; version=0.0.4'
LATENCY_BUCKETS_SECONDS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip


class Metrics:
    """Counters, gauges and histograms of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'persimmonpass_requests',
            'Online requests that got their final answer.',
            ['service', 'status'],
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            'persimmonpass_first_token_seconds',
            'Time from a request to its first token.',
            ['service'],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            'persimmonpass_retries',
            'Attempts after the first one.',
            ['service'],
            registry=self.registry,
        )
        self.batch_items = prometheus_client.Counter(
            'persimmonpass_batch_items',
            'Batch items with a committed result.',
            ['service', 'status'],
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Gauge(
            'persimmonpass_store_calls',
            'Calls to the object store since the start.',
            ['priority'],
            registry=self.registry,
        )
        self.store_calls_exhausted = prometheus_client.Gauge(
            'persimmonpass_store_calls_exhausted',
            "Calls given up since the start for lack of the host's share.",
            ['priority'],
            registry=self.registry,
        )
        self.store_calls_waiting = prometheus_client.Gauge(
            'persimmonpass_store_calls_waiting',
            'Calls to the object store that wait for their turn.',
            ['priority'],
            registry=self.registry,
        )
        self.store_pace = prometheus_client.Gauge(
            'persimmonpass_store_pace',
            "Part of the host's share of the store's rate in use, up to 1.",
            registry=self.registry,
        )

    def export_budget(self, calls: budget.Budget) -> None:
        """Export how this host uses its share of the store's call rate.

        Also creates the metric ``peer_traffic``, which does not exist before.

        :param calls: the budget, which each scrape reads
        """
        self.store_pace.set_function(lambda: calls.rate_factor)
        for priority in budget.Priority:
            name = priority.name.lower()
            self.store_calls.labels(name).set_function(
                functools.partial(calls.calls.__getitem__, priority)
            )
            self.store_calls_exhausted.labels(name).set_function(
                functools.partial(calls.exhausted.__getitem__, priority)
            )
            self.store_calls_waiting.labels(name).set_function(
                functools.partial(calls.count_waiting, priority)
            )

        self.peer_traffic = prometheus_client.Gauge(
            'persimmonpass_peer_traffic',
            'Frames and bytes on the links to peers since the start.',
            ['unit'],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the body of the answer to a scrape."""
        return prometheus_client.generate_latest(self.registry)
