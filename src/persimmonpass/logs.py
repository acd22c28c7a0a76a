"""Sets up the destinations of the structured log."""

import logging
import sys
import typing

import eliot
import eliot.stdlib

from persimmonpass import log_sink


def open_log(path: str) -> typing.IO[str]:
    """Write numbered events to a file, one JSON object per line.

    Log records of libraries go to the same file.

    :param path: file to append to; empty for standard error
    :returns: the open file
    """
    stream = open(path, 'a', encoding='utf-8') if path else sys.stderr
    eliot.add_destinations(eliot.FileDestination(stream))
    logging.getLogger().addHandler(eliot.stdlib.EliotHandler())
    return stream


def discard_library_logs() -> None:
    """Drop the log records of libraries.

    Used by commands that print their output for people.
    """
    logging.getLogger().addHandler(logging.NullHandler())


def open_sink() -> log_sink.LogSink:
    """Write numbered events to standard output without blocking.

    Log records of libraries go there too, from the level of warnings up.

    :returns: the sink, which counts the lines that it drops
    """
    sink = log_sink.LogSink(sys.stdout.fileno())
    eliot.add_destinations(sink)
    handler = eliot.stdlib.EliotHandler()
    handler.setLevel(logging.WARNING)
    logging.getLogger().addHandler(handler)
    return sink
