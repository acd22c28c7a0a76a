"""What the rest of the daemon sees of its peers."""

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


class Notice(typing.NamedTuple):
    """Handler of a notice that only takes note of what it says.

    It runs while the link is read, in the order in which notices came: a
    task for each would cost more than the notice.

    :ivar handle: host, payload -> nothing
    """

    handle: collections.abc.Callable[[str, typing.Any], None]


Handlers = dict[str, Handler | Notice]
# Hosts that are meant, ``None`` for all.
Audience = collections.abc.Callable[[], collections.abc.Collection[str] | None]


class Traffic:
    """Frames and bytes on all links of a daemon.

    :ivar sent_bytes: bytes of frames that this host sent
    :ivar received_bytes: bytes of frames that this host received
    :ivar frames: frames in both directions
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0

    def sent(self, data: bytes) -> bytes:
        """Count a frame that is about to be sent."""
        self.sent_bytes += len(data)
        self.frames += 1
        return data

    def received(self, data: str | bytes) -> bytes:
        """Count a frame that came."""
        self.received_bytes += len(data)
        self.frames += 1
        return typing.cast(bytes, data)


class PeerPort(typing.NamedTuple):
    """Calls to peers.

    :ivar call: host, method, payload, timeout in seconds -> the answer
    :ivar notify: host, method, payload -> whether a link was up; no answer
        comes back
    :ivar connected: hosts to which a link is up
    :ivar notify_many: hosts, method, payload -> nothing; the same notice to
        each of those to which a link is up
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
    """Return the audience of all hosts."""


def includes(
    audience: collections.abc.Collection[str] | None, host: str
) -> bool:
    """Return whether a host is meant."""
    return audience is None or host in audience


def broadcast(
    port: PeerPort,
    method: str,
    payload: typing.Any,
    audience: collections.abc.Collection[str] | None = None,
) -> None:
    """Send a notice to every peer to which a link is up.

    :param audience: hosts that are meant, ``None`` for all
    """
    hosts = [host for host in port.connected() if includes(audience, host)]
    port.notify_many(hosts, method, payload)


def unreachable(host: str, verdict: verdicts.Verdict) -> verdicts.Failure:
    """Return the failure of a call that a peer did not answer.

    :param host: the peer
    :param verdict: ``NOT_RUN`` only if the call never left this host
    """
    return verdicts.Failure(
        verdict,
        events.PEER_UNREACHABLE,
        f'peer {host} did not answer',
        503,
        RETRY_AFTER_SECONDS,
    )
