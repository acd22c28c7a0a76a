"""Where the structured log goes."""

import sys
import typing

import eliot


def open_log(path: str) -> typing.IO[str]:
    """Write numbered events to a file, one JSON object a line.

    :param path: file to append to; empty for standard error
    :returns: the open file
    """
    stream = open(path, 'a', encoding='utf-8') if path else sys.stderr
    eliot.add_destinations(eliot.FileDestination(stream))
    return stream
