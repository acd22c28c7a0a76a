"""Collects the logged events of a request, job or target from all hosts."""

import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass import verdicts

METHOD_EVENTS = 'explain.events'


class Explanation(typing.TypedDict):
    """The events of a request, job or target.

    :ivar events: events of all hosts that answered, oldest first
    :ivar unreachable: hosts that did not answer, sorted
    """

    events: list[dict[str, typing.Any]]
    unreachable: list[str]


def handlers(host: str) -> peer_port.Handlers:
    """Return the handlers of calls from peers, by method."""

    async def handle_events(
        peer: str, payload: typing.Any
    ) -> result.Result[list[dict[str, typing.Any]], verdicts.Failure]:
        kind, name = payload
        return result.Ok(find(host, kind, name))

    return {METHOD_EVENTS: handle_events}


def find(host: str, kind: str, name: str) -> list[dict[str, typing.Any]]:
    """Return the events that this host logged about a subject.

    :param kind: one of :data:`events.SUBJECTS`
    :param name: idempotency key, job or target
    """
    return [{**row, 'host': host} for row in events.recorder.find(kind, name)]


async def gather(
    peers: peer_port.PeerPort, host: str, kind: str, name: str
) -> Explanation:
    """Return the events that all reachable hosts logged about a subject.

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
