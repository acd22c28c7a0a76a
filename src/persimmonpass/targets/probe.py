"""Tries whether a target takes connections and answers."""

import collections.abc
import enum

import anyio

from persimmonpass import blackboard
from persimmonpass.targets import engine

CONNECT_SECONDS = 0.5


class Connected(enum.Enum):
    """Outcome of a new connection to a target."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    SILENT = 'silent'


Connect = collections.abc.Callable[
    [blackboard.Target], collections.abc.Awaitable[Connected]
]


async def connect(target: blackboard.Target) -> Connected:
    """Open a connection to a target and close it."""
    host, _, port = target.address.rpartition(':')
    try:
        with anyio.fail_after(CONNECT_SECONDS):
            stream = await anyio.connect_tcp(host.strip('[]'), int(port))
    except TimeoutError:
        return Connected.SILENT
    except OSError:
        return Connected.REFUSED
    await stream.aclose()
    return Connected.ACCEPTED


def make_probe(engines: engine.EnginePort, connects: Connect) -> Connect:
    """Make the check whether a target that failed is back.

    :param engines: engines are asked for their load
    :param connects: plain services need only take connections
    """

    async def check(target: blackboard.Target) -> Connected:
        connected = await connects(target)
        if connected != Connected.ACCEPTED or target.kind != 'engine':
            return connected
        reported = await engines.report(target)
        return Connected.ACCEPTED if reported.is_ok() else Connected.SILENT

    return check
