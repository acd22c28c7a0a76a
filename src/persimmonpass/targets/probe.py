"""Checks whether a target accepts connections and answers."""

import collections.abc
import enum

import anyio

from persimmonpass import blackboard
from persimmonpass.targets import engine

CONNECT_TIMEOUT_SECONDS = 0.5


class ConnectOutcome(enum.Enum):
    """Outcome of an attempt to connect to a target."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    SILENT = 'silent'


Connect = collections.abc.Callable[
    [blackboard.Target], collections.abc.Awaitable[ConnectOutcome]
]


async def connect(target: blackboard.Target) -> ConnectOutcome:
    """Open a connection to a target, close it and return the outcome.

    The outcome is ``SILENT`` after ``CONNECT_TIMEOUT_SECONDS``.
    """
    host, _, port = target.address.rpartition(':')
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(host.strip('[]'), int(port))
    except TimeoutError:
        return ConnectOutcome.SILENT
    except OSError:
        return ConnectOutcome.REFUSED
    await stream.aclose()
    return ConnectOutcome.ACCEPTED


def make_probe(engines: engine.EnginePort, connects: Connect) -> Connect:
    """Return the check whether a target that failed has recovered.

    An engine must also report its load. A plain service only needs to accept
    connections.

    :param engines: calls to engines
    :param connects: opens a connection to a target
    """

    async def check(target: blackboard.Target) -> ConnectOutcome:
        outcome = await connects(target)
        if outcome != ConnectOutcome.ACCEPTED or target.kind != 'engine':
            return outcome
        reported = await engines.report(target)
        return (
            ConnectOutcome.ACCEPTED
            if reported.is_ok()
            else ConnectOutcome.SILENT
        )

    return check
