"""Dependencies of the caller API and the operator API."""

import collections.abc
import typing

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch
from persimmonpass.controllers.fleet import config
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online
from persimmonpass import metrics
from persimmonpass.peers import port as peer_port
from persimmonpass import store
from persimmonpass import tracing


class CallerPorts(typing.NamedTuple):
    """Dependencies of the caller API.

    :ivar key_calls: calls to the owners of idempotency keys
    :ivar entry_ttl_seconds: how long callers may cache an entry answer
    :ivar accepts: takes the longest that a request may take, in seconds, and
        whether it may be repeated; returns whether this host takes it
    :ivar seconds_in_state: takes a host; returns the time since it was seen
        to enter its membership state
    :ivar max_body_bytes: size of the largest body
    """

    board: blackboard.Blackboard
    online: online.Online
    key_calls: key_controller.Keys
    batch: batch.Batch
    counters: metrics.Metrics
    spans: tracing.Tracing
    entry_ttl_seconds: float
    accepts: collections.abc.Callable[[float, bool], bool]
    seconds_in_state: collections.abc.Callable[[str], float]
    max_body_bytes: int = 4_000_000


class OperatorPorts(typing.NamedTuple):
    """Dependencies of the operator API.

    :ivar admin_token_sha256: digest of the admin token in the settings, or
        empty if there is none
    :ivar start_drain: starts to drain this host
    :ivar is_ready: returns whether this host accepts callers
    :ivar host: name of this host
    :ivar peers: calls to the other hosts
    """

    board: blackboard.Blackboard
    config: config.Config
    store: store.StorePort
    counters: metrics.Metrics
    admin_token_sha256: str
    start_drain: collections.abc.Callable[[], None]
    is_ready: collections.abc.Callable[[], bool]
    host: str
    peers: peer_port.PeerPort
