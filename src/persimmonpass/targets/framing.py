"""Finds the end of an answer in the bytes of a connection."""

import collections.abc
import re

import httpcore

MAX_LINE_BYTES = 16_384

HEAD_END = re.compile(rb'\n\r?\n')
_TRAILER_END = re.compile(rb'\r?\n|[\s\S]*?\n\r?\n')
_STATUS = slice(9, 12)
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}\b')
_FIELD_NAME = re.compile(rb'^([^\s:]+):', re.MULTILINE)
_SWITCHING_PROTOCOLS = 101
_NO_BODY = (204, 304)


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
        self._unread = b''
        # Bytes of a body of known length that are still to come.
        self._left = 0
        # Reads what is next and returns whether it has arrived in full;
        # ``None`` after the last part but a body of known length.
        self._read_next: collections.abc.Callable[[], bool] | None = (
            self._read_head
        )

    @property
    def is_exact(self) -> bool:
        """Whether the answer has ended with the last byte.

        Never true if this cannot be told.
        """
        return not (self._read_next or self._left or self._unread)

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived.

        :raises httpcore.RemoteProtocolError: if the head has broken off and
            another one goes on in its place
        """
        self._unread += data
        while self._unread:
            if self._left:
                size = min(self._left, len(self._unread))
                self._left -= size
                self._unread = self._unread[size:]
            elif self._read_next is None or not self._read_next():
                break

    def _read_head(self) -> bool:
        end = HEAD_END.search(self._unread)
        if end is None:
            return False
        head = self._unread[: end.end()]
        self._unread = self._unread[end.end() :]
        if _has_second_head(head):
            raise httpcore.RemoteProtocolError('two heads of answers in one')
        fields = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (
                line.partition(b':') for line in head.split(b'\n')[1:]
            )
        }
        try:
            status = int(head[_STATUS])
            length = int(fields.get(b'content-length', b'-1'))
        except ValueError:
            self._read_next = self._skip
            return True
        if status < 200 and status != _SWITCHING_PROTOCOLS:
            return True
        if self._has_no_body or status in _NO_BODY:
            self._read_next = None
        elif fields.get(b'transfer-encoding') == b'chunked':
            self._read_next = self._read_chunk
        elif length >= 0 and b'transfer-encoding' not in fields:
            self._left = length
            self._read_next = None
        else:
            self._read_next = self._skip
        return True

    def _read_chunk(self) -> bool:
        line, end, rest = self._unread.partition(b'\r\n')
        if not end:
            return self._wait_for_line()
        self._unread = rest
        try:
            size = int(line.partition(b';')[0], 16)
        except ValueError:
            self._read_next = self._skip
            return True
        if size:
            self._left = size + len(end)
        else:
            self._read_next = self._read_trailer
        return True

    def _read_trailer(self) -> bool:
        end = _TRAILER_END.match(self._unread)
        if end is None:
            return self._wait_for_line()
        self._unread = self._unread[end.end() :]
        self._read_next = None
        return True

    def _wait_for_line(self) -> bool:
        if len(self._unread) > MAX_LINE_BYTES:
            self._read_next = self._skip
        return False

    def _skip(self) -> bool:
        """Skip bytes of an answer that ends with its connection."""
        self._unread = b''
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
