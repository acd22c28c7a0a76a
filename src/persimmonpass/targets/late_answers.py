"""Drops answers to earlier requests on a connection."""

import collections
import collections.abc

import httpcore

from persimmonpass import exchange
from persimmonpass.targets import framing

# Reads the id of a request from its headers or from those of its answer;
# empty if they have none.
ReadId = collections.abc.Callable[[exchange.Headers], str]

MAX_HEAD_BYTES = 16_384
# Requests on a connection whose answers may arrive once more.
MAX_EARLIER_REQUESTS = 8


class LateAnswers:
    """Tells late answers on a connection from the one that is due.

    A faulty target may send an answer once more where the answer to the next
    request is due. The id says which request it belongs to.
    """

    def __init__(self, read_id: ReadId) -> None:
        """Expect a request on a new connection."""
        self._read_id = read_id
        self._request_id = ''
        self._earlier: collections.deque[str] = collections.deque(
            maxlen=MAX_EARLIER_REQUESTS
        )
        # Bytes that may be the start of a late answer.
        self._held = b''
        # The late answer that is being dropped.
        self._late: framing.AnswerEnd | None = None
        self._is_due = False

    def begin(self, request: bytes) -> None:
        """Begin a request.

        :param request: its first bytes, which contain its head
        """
        if self._request_id:
            self._earlier.append(self._request_id)
        # The end of an answer to a HEAD request can't be told without it.
        self._request_id = (
            ''
            if request.startswith(framing.HEAD_REQUEST)
            else self._read_id(framing.read_fields(request))
        )
        self._held = b''
        self._late = None
        self._is_due = self._request_id not in self._earlier

    def drop(self, data: bytes) -> bytes:
        """Return bytes that have arrived without those of late answers.

        :returns: none while more bytes are needed
        :raises httpcore.RemoteProtocolError: if the end of a late answer
            cannot be told, so that the one that is due cannot be found
        """
        while data and self._is_due and (self._late or self._earlier):
            if self._late is None:
                data = self._held + data
                self._held = b''
                end = framing.HEAD_END.search(data)
                if end is None and len(data) <= MAX_HEAD_BYTES:
                    self._held = data
                    return b''
                head = data[: end.end()] if end else b''
                found = self._read_id(framing.read_fields(head))
                if found == self._request_id or found not in self._earlier:
                    break
                self._earlier.remove(found)
                self._late = framing.AnswerEnd()
            self._late.add(data)
            if self._late.is_endless:
                raise httpcore.RemoteProtocolError(
                    'a late answer has no end, expected a length or chunks'
                )
            if not self._late.has_ended:
                return b''
            data = self._late.rest
            self._late = None
        if data:
            self._is_due = False
        return data
