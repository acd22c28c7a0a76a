"""Opaque requests and their answers, independent of the wire format.

Opaque requests are passed on to targets without reading their bodies. A wire
format encodes them for a target and decodes the head of its answer.
Answers may be streams of server-sent events.
"""

import collections.abc
import typing

import xxhash

from persimmonpass import blackboard
from persimmonpass import exceptions
from persimmonpass import numerals

Headers = list[tuple[bytes, bytes]]
MAX_EVENT_BYTES = 1_000_000
# Events of an answer have ids. Bytes that are no answer may contain any
# number of blank lines, each of which would be an event.
MAX_EVENTS_WITHOUT_ID = 100
EVENT_END = b'\n\n'
_EVENT_ID = b'id:'
_EVENT_DATA = b'data:'


def encode_name(name: str) -> bytes:
    """Encode the name of an account as the value of a header.

    A name that Latin-1 lacks characters of is encoded as UTF-8.
    """
    try:
        return name.encode('latin-1')
    except UnicodeEncodeError:
        return name.encode()


def read_length(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length of a body by its headers, 0 if they do not tell it.

    A length that cannot be read counts as longer than any body.
    """
    for name, value in headers:
        if name.lower() == b'content-length':
            length = numerals.read_integer(value)
            return numerals.MAX_INTEGER if length is None else length
    return 0


class Call(typing.NamedTuple):
    """A caller's request, which is passed on unchanged.

    :ivar id: id of this attempt of the caller
    :ivar path: path and query, as the caller wrote them
    :ivar headers: headers that are passed on
    :ivar deadline_seconds: how long the caller waits; ``None`` if it sent no
        deadline
    :ivar resume_after: id of the last event that the caller has; ``None``
        for a stream from its start
    :ivar resumes: id of the attempt that brought the first event of the
        resumed stream; empty if the caller does not name it
    :ivar prompt_parts: ids of the parts of the prompt, in order
    :ivar key_digest: digest of the caller's key; empty if it sent none, or
        none that can be valid
    :ivar account: name of the caller's account; empty for none
    :ivar tokens: tokens of the prompt plus the maximum output; 0 if they are
        not known
    :ivar has_accounts: whether callers have accounts, so that the headers
        about accounts are set for the target instead of being passed on
    """

    id: str
    method: str
    host: str
    path: bytes
    headers: Headers
    body: bytes
    deadline_seconds: float | None = None
    resume_after: int | None = None
    resumes: str = ''
    prompt_parts: tuple[str, ...] = ()
    key_digest: str = ''
    account: str = ''
    has_accounts: bool = False
    tokens: int = 0

    @property
    def route_path(self) -> str:
        """The path without its query."""
        return self.path.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> bytes:
        """The query, without the question mark."""
        return self.path.partition(b'?')[2]

    @property
    def fingerprint(self) -> str:
        """A hash of path and body, equal for all attempts of a request."""
        return xxhash.xxh64_hexdigest(self.path + b'\0' + self.body)


class ResponseHead(typing.NamedTuple):
    """Status and headers of a target's answer.

    :ivar headers: headers that are passed on
    :ivar not_run: whether the target states that it did not run the request
    :ivar is_misdirected: whether the address belongs to another target
    :ivar is_for_request: whether the answer belongs to the request that was
        sent
    :ivar is_stream: whether events follow
    :ivar is_leaving: whether the target states that it is leaving
    :ivar rate_limits: requests a second that the target takes from all hosts,
        one for each time that the answer names it; not a number for a value
        that cannot be read
    :ivar states_end: whether the answer has a length or is in chunks, so that
        its end can be told from the end of its connection
    """

    status: int
    headers: Headers
    not_run: bool
    is_misdirected: bool
    is_for_request: bool
    is_stream: bool
    is_leaving: bool = False
    rate_limits: tuple[float, ...] = ()
    states_end: bool = True


class WirePort(typing.NamedTuple):
    """The wire format of requests and answers.

    :ivar encode: takes a request, its target, the seconds left and the id of
        the last received event or ``None``; returns the headers that are
        sent to the target
    :ivar decode: takes a request and the status and headers of its answer;
        returns the decoded head of the answer
    :ivar read_prompt_parts: takes the headers of a request; returns the ids
        of the parts of its prompt, in order
    :ivar read_account: takes the stored headers of an item; returns the name
        of the account that it belongs to, empty for none
    :ivar read_id: takes the headers of a request; returns its id, empty for
        none
    """

    encode: collections.abc.Callable[
        [Call, blackboard.Target, float, int | None], Headers
    ]
    decode: collections.abc.Callable[[Call, int, Headers], ResponseHead]
    read_prompt_parts: collections.abc.Callable[[Headers], tuple[str, ...]]
    read_account: collections.abc.Callable[
        [collections.abc.Iterable[tuple[str, str]]], str
    ] = lambda headers: ''
    read_id: collections.abc.Callable[[Headers], str] = lambda headers: ''


class CallerPort(typing.NamedTuple):
    """Sends an answer to a caller.

    :ivar start: sends the status and the headers
    :ivar send: sends a part of the body; takes whether more parts follow
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
    """Refuse a request with an answer that has no body.

    :param retry_after_seconds: when the caller may try again; ``None`` if
        this is not known
    """
    headers: Headers = [(b'content-length', b'0')]
    if retry_after_seconds is not None:
        headers.append((b'retry-after', f'{retry_after_seconds:g}'.encode()))
    await caller.start(status, headers)
    await caller.send(b'', False)


class Event(typing.NamedTuple):
    """A server-sent event.

    :ivar raw: bytes of the event, including the blank line at its end
    :ivar id: number that increases within a stream; ``None`` if the event
        has no numeric id
    :ivar data: text of the data lines, joined by line feeds
    """

    raw: bytes
    id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has no lines but comments."""
        lines = self.raw.split(b'\n')
        return all(line[:1] in (b'', b':') for line in lines)


class EventReader:
    """Splits a stream of bytes into events.

    An event that is not complete is kept until the rest of it is fed.
    """

    def __init__(self, after: int | None = None) -> None:
        """Create a reader without bytes.

        :param after: id of the event that the first one has to follow;
            ``None`` if the stream may begin with any event
        """
        self._after = after
        self._partial = b''
        self._without_id = 0

    @property
    def waits_for_first(self) -> bool:
        """Whether the event that has to follow has not arrived."""
        return self._after is not None

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Bytes of an event that is not complete."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises ValueError: if an event is longer than allowed, or if more
            events than allowed have no id
        :raises NotContinuedError: if the first event is not the one that has
            to follow
        """
        *complete, partial = (self._partial + data).split(EVENT_END)
        longest = max(map(len, (*complete, partial)))
        if longest > MAX_EVENT_BYTES:
            raise ValueError(
                f'event too long: got {longest} bytes, the limit is '
                f'{MAX_EVENT_BYTES}'
            )
        self._partial = partial
        found: list[Event] = []
        for part in complete:
            event = _read_event(part + EVENT_END)
            self._without_id += event.id is None
            if self._without_id > MAX_EVENTS_WITHOUT_ID:
                raise ValueError(
                    f'expected events with ids, got {self._without_id} '
                    f'without one; {MAX_EVENTS_WITHOUT_ID} are allowed'
                )
            if self._after is not None:
                if event.is_comment:
                    continue
                if event.id != self._after + 1:
                    raise exceptions.NotContinuedError(
                        f'expected event {self._after + 1}, got {event.id}'
                    )
                self._after = None
            found.append(event)
        return found


def _read_event(raw: bytes) -> Event:
    number: int | None = None
    data: list[bytes] = []
    for line in raw.split(b'\n'):
        if line.startswith(_EVENT_ID):
            text = line[len(_EVENT_ID) :].strip()
            number = numerals.read_integer(text)
        elif line.startswith(_EVENT_DATA):
            value = line[len(_EVENT_DATA) :]
            data.append(value[1:] if value.startswith(b' ') else value)
    return Event(raw, number, b'\n'.join(data))
