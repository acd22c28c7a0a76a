"""Writes log lines without ever waiting for their reader."""

import collections
import json
import os
import time
import typing

# Lines of one kind in a second; a kind that says more is counted instead.
MAX_LINES_PER_SECOND = 400
# Text that a slow reader may leave behind before lines are dropped.
MAX_BACKLOG_BYTES = 262_144
_KIND = 'message_type'


class LogSink:
    """Destination of structured messages, one JSON object a line.

    :ivar dropped: lines that were left out since the start
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._backlog = b''
        self._second = 0
        self._lines: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write a message, or count it if there is no room."""
        kind = str(message.get(_KIND, ''))
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
            self._tell_left_out()
        self._lines[kind] += 1
        if self._lines[kind] > MAX_LINES_PER_SECOND:
            self._leave_out(kind)
            return
        if len(self._backlog) > MAX_BACKLOG_BYTES:
            self._flush()
            if len(self._backlog) > MAX_BACKLOG_BYTES:
                self._leave_out(kind)
                return
        line = json.dumps(message, default=str, separators=(',', ':'))
        self._backlog += line.encode() + b'\n'
        self._flush()

    def _leave_out(self, kind: str) -> None:
        self.dropped += 1
        self._left_out[kind] += 1

    def _tell_left_out(self) -> None:
        """Write how many lines of each kind were left out."""
        if not self._left_out:
            return
        counts, self._left_out = dict(self._left_out), collections.Counter()
        line = json.dumps({_KIND: 'lines_left_out', 'counts': counts})
        self._backlog += line.encode() + b'\n'

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            # The reader is slow; the text waits for the next message.
            return
        except OSError:
            # Nobody can read any more; there is no place to say so.
            self._backlog = b''
            return
        self._backlog = self._backlog[written:]
