"""Where the structured log goes."""

import logging
import sys
import typing

import eliot
import eliot.stdlib

from persimmonpass import log_sink


def open_log(path: str) -> typing.IO[str]:
    """Write numbered events to a file, one JSON object a line.

    What libraries log goes to the same place.

    :param path: file to append to; empty for standard error
    :returns: the open file
    """
    stream = open(path, 'a', encoding='utf-8') if path else sys.stderr
    eliot.add_destinations(eliot.FileDestination(stream))
    logging.getLogger().addHandler(eliot.stdlib.EliotHandler())
    return stream


def discard_library_logs() -> None:
    """Drop what libraries log, where people read the output."""
    logging.getLogger().addHandler(logging.NullHandler())


def open_sink() -> log_sink.LogSink:
    """Write numbered events to standard output and never wait for it.

    What libraries log as a warning or worse goes to the same place.
    """
    sink = log_sink.LogSink(sys.stdout.fileno())
    eliot.add_destinations(sink)
    handler = eliot.stdlib.EliotHandler()
    handler.setLevel(logging.WARNING)
    logging.getLogger().addHandler(handler)
    return sink
