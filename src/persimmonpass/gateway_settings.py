"""Settings of the gateway daemon."""

import typing


class Settings(typing.NamedTuple):
    """Settings of one gateway.

    :ivar host: this host's id
    :ivar store_address: ``ip:port`` of the platform's store
    :ivar store_rate: reads per second that the whole fleet may make of the
        store
    :ivar store_write_rate: writes per second that the whole fleet may make
    :ivar caller_listen: ``ip:port`` for callers; empty for none
    :ivar ready_listen: ``ip:port`` for readiness checks; empty for none
    :ivar entry_listen: ``ip:port`` for entry answers; empty for none
    :ivar seed_listen: ``ip:port`` for readiness checks of a seed host; empty
        for a host that is no seed
    :ivar peer_listen: ``ip:port`` for peers
    :ivar metrics_listen: ``ip:port`` for metrics; empty for none
    :ivar seed_peers: ``ip:port`` of the peers that are asked for members
        while the store does not answer
    :ivar grace_seconds: time from the signal to stop until the process is
        killed
    :ivar max_entry_ttl_seconds: upper limit of the time for which callers
        may keep an entry answer
    :ivar job_status_seconds: how long a job can be read after it was accepted
    :ivar cores: processors that this host may use
    :ivar strict_revocation: whether a host refuses requests that need a key
        while its configuration may lack the withdrawal of one
    :ivar revocation_seconds: age of the configuration from which on it does
    :ivar is_first_start: whether no host of the fleet has run before
    :ivar memory_bytes: memory that the process may use; 0 if not known
    :ivar descriptors: descriptors that it may open; 0 if not known
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
    memory_bytes: float = 0.0
    descriptors: int = 0
    trace: str = ''
    strict_revocation: bool = False
    revocation_seconds: float = 5.0
    is_first_start: bool = False
