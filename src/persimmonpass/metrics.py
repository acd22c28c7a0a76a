"""Metrics of one daemon, in the format of Prometheus."""

import prometheus_client

LATENCY_BUCKETS_SECONDS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip


class Metrics:
    """Counters and histograms of one daemon, in a registry of its own."""

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

        self.peer_traffic = prometheus_client.Gauge(
            'persimmonpass_peer_traffic',
            'Frames and bytes on the links to peers since the start.',
            ['unit'],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the text that a scrape reads."""
        return prometheus_client.generate_latest(self.registry)
