"""Gathers from all hosts what happened to a request, job or target."""

import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass import verdicts

METHOD_EVENTS = 'explain.events'


class Explanation(typing.TypedDict):
    """What happened, oldest event first.

    :ivar unreachable: hosts that did not tell what they know
    """

    events: list[dict[str, typing.Any]]
    unreachable: list[str]


def handlers(host: str) -> peer_port.Handlers:
    """Return the handlers of peers' calls."""

    async def give(
        peer: str, payload: typing.Any
    ) -> result.Result[list[dict[str, typing.Any]], verdicts.Failure]:
        kind, name = payload
        return result.Ok(find(host, kind, name))

    return {METHOD_EVENTS: give}


def find(host: str, kind: str, name: str) -> list[dict[str, typing.Any]]:
    """Return what this host logged about a subject."""
    return [{**row, 'host': host} for row in events.recorder.find(kind, name)]


async def gather(
    peers: peer_port.PeerPort, host: str, kind: str, name: str
) -> Explanation:
    """Return what all hosts that answer logged about a subject.

    :param kind: one of :data:`events.SUBJECTS`
    :param name: idempotency key, job or target
    """
    rows = find(host, kind, name)
    unreachable: list[str] = []

    async def ask(peer: str) -> None:
        answered = await peers.call(peer, METHOD_EVENTS, [kind, name])
        if isinstance(answered, result.Ok):
            rows.extend(answered.ok_value)
        else:
            unreachable.append(peer)

    async with anyio.create_task_group() as tasks:
        for peer in peers.connected():
            tasks.start_soon(ask, peer)
    rows.sort(key=lambda row: -row['age_seconds'])
    return Explanation(events=rows, unreachable=sorted(unreachable))
