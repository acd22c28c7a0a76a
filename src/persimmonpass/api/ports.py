"""What the caller and the operator API work with."""

import collections.abc
import typing

from persimmonpass import blackboard
from persimmonpass.controllers import batch
from persimmonpass.controllers import config
from persimmonpass.controllers import keys as key_controller
from persimmonpass.controllers import online
from persimmonpass import metrics
from persimmonpass.peers import port as peer_port
from persimmonpass import store
from persimmonpass import tracing


class CallerPorts(typing.NamedTuple):
    """What the caller API works with.

    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    """

    board: blackboard.Blackboard
    online: online.Online
    key_calls: key_controller.Keys
    batch: batch.Batch
    counters: metrics.Metrics
    spans: tracing.Tracing
    entry_ttl_seconds: float


class OperatorPorts(typing.NamedTuple):
    """What the operator API works with.

    :ivar peers: calls that gather what other hosts know
    :ivar start_drain: makes this host leave
    :ivar is_ready: whether this host may take callers
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
