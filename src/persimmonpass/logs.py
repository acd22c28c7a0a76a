"""Where the structured log goes."""

import logging
import sys
import typing

import eliot
import eliot.stdlib


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


def discard() -> None:
    """Drop what libraries log, where people read the output."""
    logging.getLogger().addHandler(logging.NullHandler())
