"""Opaque requests, their answers and what a wire format makes of them."""

import collections.abc
import typing

import xxhash

from persimmonpass import blackboard

Headers = list[tuple[bytes, bytes]]
MAX_EVENT_BYTES = 1_000_000
EVENT_END = b'\n\n'
_EVENT_ID = b'id:'
_EVENT_DATA = b'data:'


class Call(typing.NamedTuple):
    """A request that is passed on unchanged.

    :ivar id: names this attempt of the caller
    :ivar path: path and query, as the caller wrote them
    :ivar headers: those that are passed on
    :ivar deadline_seconds: how long the caller waits; ``None`` if unsaid
    :ivar resume_after: id of the last event that the caller has
    """

    id: str
    method: str
    host: str
    path: bytes
    headers: Headers
    body: bytes
    deadline_seconds: float | None = None
    resume_after: int | None = None

    @property
    def route_path(self) -> str:
        """The path without its query."""
        return self.path.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> bytes:
        """What follows the path, without the question mark."""
        return self.path.partition(b'?')[2]

    @property
    def fingerprint(self) -> str:
        """The same for each attempt of the same request."""
        return xxhash.xxh64_hexdigest(self.path + b'\0' + self.body)


class ResponseHead(typing.NamedTuple):
    """Start of a target's answer.

    :ivar headers: those that are passed on
    :ivar not_run: the target says that it did not run the request
    :ivar is_misdirected: another target has the address
    :ivar is_for_request: it belongs to the request that was sent
    :ivar is_stream: events follow
    """

    status: int
    headers: Headers
    not_run: bool
    is_misdirected: bool
    is_for_request: bool
    is_stream: bool


class WirePort(typing.NamedTuple):
    """How requests and answers look on the wire.

    :ivar encode: call, target, seconds left, id of the last event or
        ``None`` -> headers for the target
    :ivar decode: call, status, headers -> the head of an answer
    """

    encode: collections.abc.Callable[
        [Call, blackboard.Target, float, int | None], Headers
    ]
    decode: collections.abc.Callable[[Call, int, Headers], ResponseHead]


class CallerPort(typing.NamedTuple):
    """The way back to a caller.

    :ivar start: status, headers -> nothing
    :ivar send: bytes, whether more follow -> nothing
    """

    start: collections.abc.Callable[
        [int, Headers], collections.abc.Awaitable[None]
    ]
    send: collections.abc.Callable[
        [bytes, bool], collections.abc.Awaitable[None]
    ]


async def refuse(
    caller: CallerPort,
    status: int,
    retry_after_seconds: float | None = None,
) -> None:
    """Send an answer of this host's own, without a body."""
    headers: Headers = [(b'content-length', b'0')]
    if retry_after_seconds is not None:
        headers.append((b'retry-after', f'{retry_after_seconds:g}'.encode()))
    await caller.start(status, headers)
    await caller.send(b'', False)


class Event(typing.NamedTuple):
    """A server-sent event.

    :ivar raw: its bytes with the blank line
    :ivar id: rises within a stream; ``None`` if it has none
    :ivar data: text of its data lines
    """

    raw: bytes
    id: int | None
    data: bytes


class EventReader:
    """Splits bytes into whole events; a cut one stays behind."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is left."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete.

        :raises ValueError: if an event is longer than allowed
        """
        *whole, rest = (self._rest + data).split(EVENT_END)
        if len(rest) > MAX_EVENT_BYTES:
            raise ValueError('an event is too long')
        self._rest = rest
        return [_read_event(part + EVENT_END) for part in whole]


def _read_event(raw: bytes) -> Event:
    number: int | None = None
    data: list[bytes] = []
    for line in raw.split(b'\n'):
        if line.startswith(_EVENT_ID):
            text = line[len(_EVENT_ID) :].strip()
            number = int(text) if text.isdigit() else None
        elif line.startswith(_EVENT_DATA):
            value = line[len(_EVENT_DATA) :]
            data.append(value[1:] if value.startswith(b' ') else value)
    return Event(raw, number, b'\n'.join(data))
