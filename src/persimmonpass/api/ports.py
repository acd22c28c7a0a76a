"""What the caller API works with."""

import collections.abc
import contextlib
import typing

from persimmonpass import blackboard
from persimmonpass.controllers import batch
from persimmonpass.controllers import keys as key_controller
from persimmonpass.controllers import online
from persimmonpass import metrics
from persimmonpass import tracing


class CallerPorts(typing.NamedTuple):
    """What the caller API works with.

    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar enter: context that counts a request in progress
    """

    board: blackboard.Blackboard
    online: online.Online
    key_calls: key_controller.Keys
    batch: batch.Batch
    counters: metrics.Metrics
    spans: tracing.Tracing
    entry_ttl_seconds: float
    enter: collections.abc.Callable[
        [], contextlib.AbstractContextManager[None]
    ]
