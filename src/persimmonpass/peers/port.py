"""Interface through which the rest of a daemon calls its peers."""

import collections.abc
import typing

import result

from persimmonpass import events
from persimmonpass import verdicts

CALL_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0

Handler = collections.abc.Callable[
    [str, typing.Any],
    collections.abc.Awaitable[result.Result[typing.Any, verdicts.Failure]],
]


class NoticeHandler(typing.NamedTuple):
    """Synchronous handler of a notice.

    It runs in the task that reads the link, in the order in which notices
    arrive. A task for each notice would cost more than handling it.

    :ivar handle: called with the sender's host id and the payload
    """

    handle: collections.abc.Callable[[str, typing.Any], None]


class StreamHandler(typing.NamedTuple):
    """Handler that takes over a connection of its own.

    :ivar serve: called with the caller's host id, the payload and the
        connection; returns when the connection has ended
    """

    serve: collections.abc.Callable[
        [str, typing.Any, typing.Any], collections.abc.Awaitable[None]
    ]


Handlers = dict[str, Handler | NoticeHandler | StreamHandler]
# Returns the hosts that a notice is for, ``None`` for all hosts.
Audience = collections.abc.Callable[[], collections.abc.Collection[str] | None]


class Traffic:
    """Counts of frames and bytes on all links of a daemon.

    :ivar sent_bytes: bytes of frames that this host sent
    :ivar received_bytes: bytes of frames that this host received
    :ivar frames: frames in both directions
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0

    def count_sent(self, data: bytes) -> bytes:
        """Count a frame that is about to be sent, and return it."""
        self.sent_bytes += len(data)
        self.frames += 1
        return data

    def count_received(self, data: str | bytes) -> bytes:
        """Count a frame that was received, and return it."""
        self.received_bytes += len(data)
        self.frames += 1
        return typing.cast(bytes, data)


class PeerPort(typing.NamedTuple):
    """Calls to peers.

    :ivar call: takes a host, a method, a payload and a timeout in seconds,
        and returns the answer
    :ivar notify: takes a host, a method and a payload; returns whether the
        notice was queued on a link that is up. There is no answer.
    :ivar connected: returns the hosts to which a link is up
    :ivar notify_many: takes hosts, a method and a payload, and sends the same
        notice to each of the hosts to which a link is up
    """

    call: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[typing.Any, verdicts.Failure]],
    ]
    notify: collections.abc.Callable[[str, str, typing.Any], bool]
    connected: collections.abc.Callable[[], list[str]]
    notify_many: collections.abc.Callable[
        [collections.abc.Iterable[str], str, typing.Any], None
    ]


def all_hosts() -> None:
    """Return ``None``, the audience that includes all hosts."""


def includes(
    audience: collections.abc.Collection[str] | None, host: str
) -> bool:
    """Return whether a host belongs to an audience.

    :param audience: hosts, ``None`` for all
    """
    return audience is None or host in audience


def broadcast(
    port: PeerPort,
    method: str,
    payload: typing.Any,
    audience: collections.abc.Collection[str] | None = None,
) -> None:
    """Send a notice to every peer to which a link is up.

    :param audience: hosts that the notice is for, ``None`` for all
    """
    hosts = [host for host in port.connected() if includes(audience, host)]
    port.notify_many(hosts, method, payload)


def unreachable(host: str, verdict: verdicts.Verdict) -> verdicts.Failure:
    """Return the failure of a call that a peer did not answer.

    :param host: id of the peer
    :param verdict: ``NOT_RUN`` only if the call never left this host
    """
    return verdicts.Failure(
        verdict,
        events.PEER_UNREACHABLE,
        f'peer {host} did not answer',
        503,
        RETRY_AFTER_SECONDS,
    )
