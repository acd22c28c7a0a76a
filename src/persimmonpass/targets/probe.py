"""Tries whether a target takes connections and answers."""

import collections.abc
import enum

import anyio

from persimmonpass import blackboard
from persimmonpass.targets import engine

CONNECT_SECONDS = 0.5


class ConnectOutcome(enum.Enum):
    """Outcome of a new connection to a target."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    SILENT = 'silent'


Connect = collections.abc.Callable[
    [blackboard.Target], collections.abc.Awaitable[ConnectOutcome]
]


async def connect(target: blackboard.Target) -> ConnectOutcome:
    """Open a connection to a target and close it."""
    host, _, port = target.address.rpartition(':')
    try:
        with anyio.fail_after(CONNECT_SECONDS):
            stream = await anyio.connect_tcp(host.strip('[]'), int(port))
    except TimeoutError:
        return ConnectOutcome.SILENT
    except OSError:
        return ConnectOutcome.REFUSED
    await stream.aclose()
    return ConnectOutcome.ACCEPTED


def make_probe(engines: engine.EnginePort, connects: Connect) -> Connect:
    """Make the check whether a target that failed is back.

    :param engines: engines are asked for their load
    :param connects: plain services need only take connections
    """

    async def check(target: blackboard.Target) -> ConnectOutcome:
        connected = await connects(target)
        if connected != ConnectOutcome.ACCEPTED or target.kind != 'engine':
            return connected
        reported = await engines.report(target)
        return (
            ConnectOutcome.ACCEPTED
            if reported.is_ok()
            else ConnectOutcome.SILENT
        )

    return check
