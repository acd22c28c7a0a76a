"""Bounds what callers can make a process hold.

Callers that send too much, or that read too little, would otherwise take all
memory and descriptors of a process, together if not each of them. The bounds
hold for the sum over all connections: beyond them, the connections that hold
most, or that have done nothing for longest, are closed. Whole requests, which
may run, stay; a further large one is refused while they hold their share.
"""

import asyncio
import collections.abc
import sys
import typing

from starlette import types

from persimmonpass import events

# What a process uses without callers.
BASE_MEMORY_BYTES = 64_000_000
MIN_SPARE_BYTES = 24_000_000
# Bytes of requests are copied: they are parsed, joined and sent on.
HELD_SHARE = 0.2
CONNECTIONS_SHARE = 0.25
# An open connection without a request takes about 13 kB.
CONNECTION_BYTES = 16_384
# A request takes another descriptor for its target. The rest is left to peers,
# the store and files.
DESCRIPTORS_SHARE = 0.4
# Whole requests may hold this share of the bytes. The rest is left to requests
# that arrive.
WHOLE_SHARE = 0.5
# Whole requests of this size are never refused: the number of connections
# bounds what they hold together.
SMALL_REQUEST_BYTES = 16_384
# Bytes that a connection may send ahead of an answer before it counts as one
# that can be closed.
SENT_AHEAD_BYTES = 4_096
# Beyond that, a connection is not read until what it sent has been parsed.
UNREAD_AHEAD_BYTES = 32_768
# What the kernel may hold for a connection that is not read.
RECEIVE_BUFFER_BYTES = 65_536
LOG_INTERVAL_SECONDS = 1.0
DEFAULT_MEMORY_BYTES = 512_000_000
DEFAULT_DESCRIPTORS = 4_096
_SCOPE_KEY = 'persimmonpass.connection'


class Limits(typing.NamedTuple):
    """Limits over all connections of callers.

    :ivar held_bytes: bytes of requests, from their arrival to their answer
    :ivar connections: number of open connections
    """

    held_bytes: int
    connections: int


def limits_for(memory_bytes: float = 0, descriptors: int = 0) -> Limits:
    """Return the limits that keep a process within its own.

    :param memory_bytes: memory of the process; 0 if it is not known
    :param descriptors: descriptors of the process; 0 if it is not known
    """
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    spare = max(MIN_SPARE_BYTES, memory - BASE_MEMORY_BYTES)
    by_descriptors = DESCRIPTORS_SHARE * (descriptors or DEFAULT_DESCRIPTORS)
    by_memory = CONNECTIONS_SHARE * spare / CONNECTION_BYTES
    return Limits(
        int(HELD_SHARE * spare), max(1, int(min(by_descriptors, by_memory)))
    )


def _read_loop_clock() -> float:
    return asyncio.get_running_loop().time()


class Connection:
    """What one connection of a caller holds.

    :ivar used_at: local clock when it was opened or its last request ended,
        in seconds
    :ivar is_open: whether it counts
    """

    def __init__(
        self, intake: 'Intake', abort: collections.abc.Callable[[], None]
    ) -> None:
        self.used_at = intake.now()
        self.is_open = True
        self.abort = abort
        self._intake = intake
        # Bytes that no request has claimed, and those of the present one.
        self._ahead = 0
        self._request = 0
        self._whole = 0
        self._is_answering = False

    @property
    def held(self) -> int:
        """Bytes that are held for the connection."""
        return self._backlog + max(self._request, self._whole)

    @property
    def _backlog(self) -> int:
        """Bytes that have not been parsed, those in the kernel included."""
        if self._ahead > UNREAD_AHEAD_BYTES:
            return self._ahead + RECEIVE_BUFFER_BYTES
        return self._ahead

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes have arrived that have not been parsed."""
        return self._ahead > 0

    @property
    def whole(self) -> int:
        """Bytes that are held for a request that has been read whole."""
        return self._whole

    @property
    def is_serving(self) -> bool:
        """Whether a request was read whole or is answered."""
        return self._whole > 0 or self._is_answering

    @property
    def surplus(self) -> int:
        """Bytes that are not needed to finish a whole request."""
        if not self.is_serving:
            return self.held
        return self._backlog if self._ahead > SENT_AHEAD_BYTES else 0

    def record_arrived(self, size: int) -> None:
        """Record bytes that the process has received."""
        self._change(ahead=size)

    def record_parsed(self, size: int) -> None:
        """Record received bytes that belong to the present request."""
        self._change(ahead=-size, request=size)

    def release(self, size: int) -> None:
        """Record bytes of the present request that are not kept."""
        self._change(request=-min(size, self._request))

    def take_whole(self, copies: int = 1) -> bool:
        """Take a request that has been read whole.

        :param copies: how often the request is held while it is served
        :returns: whether there is room and the connection is open; if not,
            it has to be refused
        """
        size = max(1, self._request * copies)
        if not self.is_open or not self._intake.has_room(size):
            return False
        self._change(whole=size - self._whole)
        return True

    def record_answer(self) -> None:
        """Record that the answer to the present request has begun."""
        self._is_answering = True

    def finish_request(self) -> None:
        """Record that the present request has its answer."""
        self.used_at = self._intake.now()
        self._is_answering = False
        self._change(request=-self._request, whole=-self._whole)

    def close(self) -> None:
        """Record that the connection has ended."""
        self._intake.remove(self)

    def _change(
        self, ahead: int = 0, request: int = 0, whole: int = 0
    ) -> None:
        before = self.held
        self._ahead += ahead
        self._request += request
        self._whole += whole
        if self.is_open:
            self._intake.add(self.held - before, whole)


class Intake:
    """The connections of all callers of a process.

    :ivar now: returns the local clock, in seconds
    """

    def __init__(
        self,
        limits: Limits,
        now: collections.abc.Callable[[], float] = _read_loop_clock,
    ) -> None:
        """Create it without connections.

        :param now: the clock, also in callbacks of the event loop
        """
        self.now = now
        self._limits = limits
        # In the order in which they were opened.
        self._connections: dict[Connection, None] = {}
        self._held = 0
        self._whole = 0
        self._closed: dict[str, int] = {}
        self._logged_at = float('-inf')

    @property
    def held(self) -> int:
        """Bytes of requests that are held."""
        return self._held

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def open(
        self, abort: collections.abc.Callable[[], None]
    ) -> Connection | None:
        """Add a connection; another one is closed if there are too many.

        :param abort: closes the connection at once
        :returns: ``None`` if all others have requests in progress
        """
        if len(self._connections) >= self._limits.connections:
            unused = min(
                (row for row in self._connections if not row.is_serving),
                key=lambda row: row.used_at,
                default=None,
            )
            if unused is None:
                self._record_closed('too many connections')
                return None
            self._close(unused, 'too many connections')
        connection = Connection(self, abort)
        self._connections[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        if connection.is_open:
            connection.is_open = False
            del self._connections[connection]
            self._held -= connection.held
            self._whole -= connection.whole

    def has_room(self, size: int) -> bool:
        """Return whether a whole request may be taken.

        :param size: bytes that it holds
        """
        if size <= SMALL_REQUEST_BYTES or not self._whole:
            return True
        return self._whole + size <= WHOLE_SHARE * self._limits.held_bytes

    def add(self, held: int, whole: int) -> None:
        """Count bytes that are held, and close connections beyond the limit.

        Those that hold most are closed, so that small requests arrive.

        :param held: change of the bytes of requests
        :param whole: change of the bytes of whole requests
        """
        self._held += held
        self._whole += whole
        while held > 0 and self._held > self._limits.held_bytes:
            largest = max(
                self._connections, key=lambda row: row.surplus, default=None
            )
            if largest is None or not largest.surplus:
                break
            self._close(largest, 'too many bytes')

    def _close(self, connection: Connection, cause: str) -> None:
        self.remove(connection)
        self._record_closed(cause)
        connection.abort()

    def _record_closed(self, cause: str) -> None:
        """Log how many connections were closed, once a second at most."""
        self._closed[cause] = self._closed.get(cause, 0) + 1
        now = self.now()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        for each, count in self._closed.items():
            events.log(
                events.CONNECTIONS_SHED,
                cause=each,
                count=count,
                held=self._held,
                open=len(self._connections),
            )
        self._closed.clear()


def add_to_state(state: dict[str, typing.Any], connection: Connection) -> None:
    """Add a connection to the state that its requests share."""
    state[_SCOPE_KEY] = connection


def find(scope: types.Scope) -> Connection:
    """Return the connection of a request.

    A request that came by no connection gets one without limits.
    """
    found = scope.get('state', {}).get(_SCOPE_KEY)
    if isinstance(found, Connection):
        return found
    return Connection(
        Intake(Limits(sys.maxsize, 1), lambda: 0.0), lambda: None
    )
