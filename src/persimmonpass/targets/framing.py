"""Finds the end of an answer in the bytes of a connection."""

import collections.abc
import re

import httpcore

from persimmonpass import numerals

MAX_LINE_BYTES = 16_384

HEAD_REQUEST = b'HEAD '
HEAD_END = re.compile(rb'\n\r?\n')
_TRAILER_END = re.compile(rb'\r?\n|[\s\S]*?\n\r?\n')
_STATUS = slice(9, 12)
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}\b')
_FIELD_NAME = re.compile(rb'^([^\s:]+):', re.MULTILINE)
_SWITCHING_PROTOCOLS = 101
_NO_BODY = (204, 304)
_LINE_END = b'\r\n'
# What the HTTP library allows between the size of a chunk and the line's end.
_BLANKS = b' \t'
_EVENT_STREAM = b'text/event-stream'
_EVENT_END = b'\n\n'


def read_fields(head: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names and values of a head, the last of which is empty."""
    return [
        (name.strip(), value.strip())
        for name, _, value in (
            line.partition(b':') for line in head.split(b'\n')[1:]
        )
    ]


class AnswerEnd:
    """Tells whether an answer and nothing else has arrived.

    The HTTP library reads the answer; it keeps what follows the answer for the
    next request, as a connection between two requests should be silent.
    """

    def __init__(self, *, has_no_body: bool = False) -> None:
        """Expect an answer.

        :param has_no_body: whether the answer has no body, whatever its head
            says, as the answer to a ``HEAD`` request
        """
        self._has_no_body = has_no_body
        # Bytes that have arrived, and how many of them have been read. Cutting
        # off each part that was read would copy the rest for each chunk.
        self._received = b''
        self._at = 0
        # Bytes of a body of known length that are still to come.
        self._left = 0
        # The head, if a copy of it would not break the framing of the body,
        # and the last bytes of the body.
        self._head = b''
        self._tail = b''
        self._is_event_stream = False
        # Reads what is next and returns whether it has arrived in full;
        # ``None`` after the last part but a body of known length.
        self._read_next: collections.abc.Callable[[], bool] | None = (
            self._read_head
        )

    @property
    def _unread(self) -> bytes:
        return self._received[self._at :]

    @property
    def has_ended(self) -> bool:
        """Whether all of the answer has arrived.

        Never true if this cannot be told.
        """
        return not (self._read_next or self._left)

    @property
    def is_endless(self) -> bool:
        """Whether all bytes up to the end of the connection belong to it.

        Its head names no size that can be read, or a chunk in it has none.
        """
        return self._read_next == self._skip

    @property
    def rest(self) -> bytes:
        """Bytes after the end of the answer."""
        return self._unread if self.has_ended else b''

    @property
    def is_exact(self) -> bool:
        """Whether the answer has ended with the last byte."""
        return self.has_ended and self._at == len(self._received)

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived.

        :raises httpcore.RemoteProtocolError: if the head has broken off and
            another one goes on in its place, or if the body contains the head
        """
        self._received = self._unread + data
        self._at = 0
        while self._at < len(self._received):
            if self._left:
                self._check_body(self._left)
                size = min(self._left, len(self._received) - self._at)
                self._left -= size
                self._at += size
            elif self._read_next is None or not self._read_next():
                break

    def _read_head(self) -> bool:
        end = HEAD_END.search(self._received, self._at)
        if end is None:
            return False
        head = self._received[self._at : end.end()]
        self._at = end.end()
        if _has_second_head(head):
            raise httpcore.RemoteProtocolError('two heads of answers in one')
        fields = {
            name.lower(): value.lower() for name, value in read_fields(head)
        }
        status = numerals.read_integer(head[_STATUS])
        length = numerals.read_integer(fields.get(b'content-length', b''))
        if status is None or (length is None and b'content-length' in fields):
            self._read_next = self._skip
            return True
        if status < 200 and status != _SWITCHING_PROTOCOLS:
            return True
        if self._has_no_body or status in _NO_BODY:
            self._read_next = None
        elif fields.get(b'transfer-encoding') == b'chunked':
            self._read_next = self._read_chunk
        elif length is not None and b'transfer-encoding' not in fields:
            self._left = length
            self._head = head
            self._read_next = None
        else:
            self._head = head
            self._is_event_stream = fields.get(
                b'content-type', b''
            ).startswith(_EVENT_STREAM)
            self._read_next = self._skip
        return True

    def _check_body(self, left: int) -> None:
        """Check that the answer is not written once more within its body.

        Behind an event of a stream the copy does no harm: its events have
        the ids of events that have arrived.

        :param left: bytes that the body can still have
        """
        if not self._head:
            return
        body = self._tail + self._unread
        left += len(self._tail)
        while 0 <= (start := body.find(self._head)) < left:
            if not self._is_event_stream or not body.startswith(
                _EVENT_END, max(0, start - len(_EVENT_END))
            ):
                raise httpcore.RemoteProtocolError(
                    'a body contains the head of its answer'
                )
            body = body[start + len(self._head) :]
        self._tail = body[-len(self._head) - len(_EVENT_END) + 1 :]

    def _read_chunk(self) -> bool:
        end = self._received.find(_LINE_END, self._at)
        if end < 0:
            return self._wait_for_line()
        line = self._received[self._at : end]
        self._at = end + len(_LINE_END)
        size = numerals.read_hexadecimal(
            line.partition(b';')[0].rstrip(_BLANKS)
        )
        if size is None:
            self._read_next = self._skip
            return True
        if size:
            self._left = size + len(_LINE_END)
        else:
            self._read_next = self._read_trailer
        return True

    def _read_trailer(self) -> bool:
        end = _TRAILER_END.match(self._received, self._at)
        if end is None:
            return self._wait_for_line()
        self._at = end.end()
        self._read_next = None
        return True

    def _wait_for_line(self) -> bool:
        if len(self._received) - self._at > MAX_LINE_BYTES:
            self._read_next = self._skip
        return False

    def _skip(self) -> bool:
        """Skip bytes of an answer that ends with its connection."""
        self._check_body(len(self._unread))
        self._at = len(self._received)
        return True


def _has_second_head(head: bytes) -> bool:
    """Return whether a head broke off and another one follows.

    A field may hold a status line of another answer. A second head repeats
    the names of fields, too.
    """
    second = _STATUS_LINE.search(head, 1)
    if second is None:
        return False
    first, rest = head[: second.start()], head[second.start() :]
    names = [
        {name.lower() for name in _FIELD_NAME.findall(part)}
        for part in (first, rest)
    ]
    return b'\n' not in first or not names[0].isdisjoint(names[1])
