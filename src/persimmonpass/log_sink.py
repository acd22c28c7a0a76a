"""Writes log lines without blocking on a slow reader.

Lines beyond the limits below are dropped. The number of dropped lines of each
kind is logged instead.
"""

import collections
import json
import os
import time
import typing

# Lines of one kind in a second; further ones are only counted.
MAX_LINES_PER_SECOND = 400
# Text that may wait for a slow reader before lines are dropped.
MAX_BACKLOG_BYTES = 262_144
_KIND = 'message_type'


class LogSink:
    """Eliot destination that writes one JSON object per line.

    :ivar dropped: number of lines that were dropped since the start
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._backlog = b''
        self._second = 0
        self._lines: collections.Counter[str] = collections.Counter()
        self._dropped_by_kind: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write a message, or drop and count it if a limit is reached."""
        kind = str(message.get(_KIND, ''))
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
            self._log_dropped()
        self._lines[kind] += 1
        if self._lines[kind] > MAX_LINES_PER_SECOND:
            self._drop(kind)
            return
        if len(self._backlog) > MAX_BACKLOG_BYTES:
            self._flush()
            if len(self._backlog) > MAX_BACKLOG_BYTES:
                self._drop(kind)
                return
        line = json.dumps(message, default=str, separators=(',', ':'))
        self._backlog += line.encode() + b'\n'
        self._flush()

    def _drop(self, kind: str) -> None:
        self.dropped += 1
        self._dropped_by_kind[kind] += 1

    def _log_dropped(self) -> None:
        """Append the number of dropped lines of each kind to the backlog."""
        if not self._dropped_by_kind:
            return
        counts, self._dropped_by_kind = (
            dict(self._dropped_by_kind),
            collections.Counter(),
        )
        line = json.dumps({_KIND: 'lines_left_out', 'counts': counts})
        self._backlog += line.encode() + b'\n'

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            # The reader is slow; the next message tries again to write this.
            return
        except OSError:
            # The reader is gone, and there is nowhere to report it.
            self._backlog = b''
            return
        self._backlog = self._backlog[written:]
