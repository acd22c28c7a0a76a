"""Settings of a daemon that serves opaque requests by routes."""

import typing


class Settings(typing.NamedTuple):
    """Settings of one gateway.

    :ivar host: this host's id
    :ivar store_address: ``ip:port`` of the platform's store
    :ivar store_rate: reads of the store a second of the whole fleet
    :ivar store_write_rate: writes a second of the whole fleet
    :ivar caller_listen: ``ip:port`` for callers; empty for none
    :ivar ready_listen: ``ip:port`` for readiness checks; empty for none
    :ivar entry_listen: ``ip:port`` for entry answers; empty for none
    :ivar seed_listen: ``ip:port`` that marks this host as a seed
    :ivar peer_listen: ``ip:port`` for peers
    :ivar metrics_listen: ``ip:port`` for metrics
    :ivar seed_peers: peers' ``ip:port`` to ask while the store is down
    :ivar grace_seconds: time from the signal to stop until the kill
    :ivar max_entry_ttl_seconds: longest time that callers keep an answer
    :ivar job_status_seconds: how long jobs stay readable
    :ivar cores: processors that this host may use
    :ivar trace: ``file:PATH`` or the URL of an OTLP/HTTP collector
    """

    host: str
    availability_zone: str
    store_address: str
    store_rate: float
    store_write_rate: float
    caller_listen: str = ''
    ready_listen: str = ''
    entry_listen: str = ''
    seed_listen: str = ''
    peer_listen: str = ''
    metrics_listen: str = ''
    seed_peers: tuple[str, ...] = ()
    grace_seconds: float = 8.0
    max_entry_ttl_seconds: float = 5.0
    job_status_seconds: float = 120.0
    cores: float = 0.0
    trace: str = ''
