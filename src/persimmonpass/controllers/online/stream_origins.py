"""Remembers which software began the streams that callers may resume.

A caller may resume a stream at any host. While targets of several software
versions serve, each host therefore notifies its peers of the streams that it
begins. While all targets are of one version there is nothing to send; when
another version appears, the hosts send what they have begun before. A stream
that no host remembers goes on only if a single version can have begun it.

A host that missed a release, because it was cut off or stood still, knows a
single version, too. It therefore makes sure of that first: by a call to the
store, where targets register before any host sends to them, or while the store
does not answer, by what most hosts know together.
"""

import collections
import collections.abc
import typing

import anyio
import result

from persimmonpass.controllers.targets import software_history
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import stream_versions
from persimmonpass import routes
from persimmonpass import verdicts

METHOD_BEGAN = 'streams.began'
METHOD_FIND = 'streams.find'
METHOD_SOFTWARE = 'streams.software'
MAX_STREAMS = 50_000
# A peer that answers does so within milliseconds. The caller waits meanwhile.
FIND_TIMEOUT_SECONDS = 0.2


class _Began(typing.NamedTuple):
    """A stream that began.

    :ivar at: local clock at its first event, in seconds
    :ivar is_own: whether this host served it
    """

    origin: stream_versions.Origin
    at: float
    is_own: bool


class StreamOrigins:
    """The software that began recent streams, by id of the first attempt."""

    def __init__(
        self,
        history: software_history.SoftwareHistory,
        peers: peer_port.PeerPort,
        audience: peer_port.Audience = peer_port.all_hosts,
        hosts: collections.abc.Callable[
            [], collections.abc.Collection[str]
        ] = tuple,
    ) -> None:
        """Create an empty memory.

        :param history: the software that can have begun a stream
        :param audience: returns the hosts that serve callers, which are
            notified and asked
        :param hosts: returns the hosts that serve callers or did so until
            recently, this one included
        """
        self._history = history
        self._hosts = hosts
        self._peers = peers
        self._audience = audience
        self._streams: collections.OrderedDict[str, _Began] = (
            collections.OrderedDict()
        )
        history.appeared.append(self._send_own_streams)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices and calls from peers, by method."""
        return {
            METHOD_BEGAN: peer_port.NoticeHandler(self._handle_began),
            METHOD_FIND: self._handle_find,
            METHOD_SOFTWARE: self._handle_software,
        }

    def record(self, request_id: str, origin: stream_versions.Origin) -> None:
        """Record the first event of a stream, before the caller gets it.

        :param request_id: id of the caller's attempt
        """
        self._add(request_id, origin, is_own=True)
        if len(self._history.recent(origin.service)) > 1:
            self._broadcast([[request_id, *origin]])

    async def find(
        self, request_id: str, route: routes.Route
    ) -> stream_versions.Origin | None:
        """Return the software that began a stream.

        :param request_id: id of the attempt that brought its first event
        :param route: route of the stream
        :returns: ``None`` if it is not known which one it was
        """
        known = self._streams.get(request_id)
        if known is not None:
            return known.origin
        sole = await self._find_sole({share.service for share in route.shares})
        return sole or await self._ask_peers(request_id)

    async def _find_sole(
        self, services: set[str]
    ) -> stream_versions.Origin | None:
        """Return the only software that can have begun a stream.

        :returns: ``None`` if there are several, or if this is not known
        """
        possible = await self._history.possible(services)
        if possible is None:
            return None
        if stream_versions.sole_origin(services, possible) is None:
            return None
        if await self._history.confirm():
            confirmed = await self._history.possible(services)
            return confirmed and stream_versions.sole_origin(
                services, confirmed
            )
        return await self._find_sole_with_peers(services, possible)

    async def _find_sole_with_peers(
        self, services: set[str], possible: software_history.Software
    ) -> stream_versions.Origin | None:
        """Return the only software that most hosts together know of.

        :param possible: software that this host knows of, by service
        """
        answers = [possible]

        async def ask(peer: str) -> None:
            answered = await self._peers.call(
                peer, METHOD_SOFTWARE, sorted(services), FIND_TIMEOUT_SECONDS
            )
            if isinstance(answered, result.Ok) and answered.ok_value:
                answers.append(
                    {name: set(row) for name, row in answered.ok_value.items()}
                )

        async with anyio.create_task_group() as tasks:
            for peer in self._audience_peers():
                tasks.start_soon(ask, peer)
        if 2 * len(answers) <= len(self._hosts()):
            return None
        together = {
            name: set().union(*(answer.get(name, ()) for answer in answers))
            for name in services
        }
        return stream_versions.sole_origin(services, together)

    def _audience_peers(self) -> list[str]:
        audience = self._audience()
        return [
            peer
            for peer in self._peers.connected()
            if peer_port.includes(audience, peer)
        ]

    def _send_own_streams(self, service: str) -> None:
        """Notify peers of the streams that this host began recently."""
        self._drop_old()
        rows = [
            [request_id, *began.origin]
            for request_id, began in self._streams.items()
            if began.is_own and began.origin.service == service
        ]
        if rows:
            self._broadcast(rows)

    def _broadcast(self, rows: list[list[str]]) -> None:
        peer_port.broadcast(self._peers, METHOD_BEGAN, rows, self._audience())

    def _add(
        self, request_id: str, origin: stream_versions.Origin, *, is_own: bool
    ) -> None:
        self._drop_old()
        self._streams[request_id] = _Began(
            origin, anyio.current_time(), is_own
        )
        self._streams.move_to_end(request_id)

    def _drop_old(self) -> None:
        since = anyio.current_time() - software_history.RETENTION_SECONDS
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.at > since and len(self._streams) <= MAX_STREAMS:
                break
            self._streams.popitem(last=False)

    async def _ask_peers(
        self, request_id: str
    ) -> stream_versions.Origin | None:
        """Return what the first peer that knows a stream answers."""
        found: stream_versions.Origin | None = None

        async def ask(peer: str) -> None:
            nonlocal found
            answered = await self._peers.call(
                peer, METHOD_FIND, request_id, FIND_TIMEOUT_SECONDS
            )
            if isinstance(answered, result.Ok) and answered.ok_value:
                found = stream_versions.Origin(*answered.ok_value)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for peer in self._audience_peers():
                tasks.start_soon(ask, peer)
        if found is not None:
            self._add(request_id, found, is_own=False)
        return found

    def _handle_began(self, peer: str, payload: typing.Any) -> None:
        for request_id, service, software in payload:
            origin = stream_versions.Origin(service, software)
            self._add(request_id, origin, is_own=False)

    async def _handle_find(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        known = self._streams.get(payload)
        return result.Ok(None if known is None else list(known.origin))

    async def _handle_software(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        """Return the software that this host knows of, if it can know."""
        possible = await self._history.possible(payload)
        return result.Ok(
            possible
            and {name: sorted(found) for name, found in possible.items()}
        )


def unknown_origin(retry_after_seconds: float) -> verdicts.Failure:
    """Return the failure of a stream whose software is not known.

    :param retry_after_seconds: when the caller may try again
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_REFUSED,
        'unknown which software version began the stream',
        503,
        retry_after_seconds,
    )
