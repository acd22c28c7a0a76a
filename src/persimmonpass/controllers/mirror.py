"""Follows all records of a kind.

The copy is filled by a list and kept by watches. A watch whose history is
gone is followed by a list, which is never a stale one. Peers tell which
version they have seen, so that a copy that lags asks at once.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass import records
from persimmonpass import verdicts

METHOD_SEEN = 'mirror.seen'
# A silent connection is found out after this time, which has to leave room
# for a list within the seconds in which a change must be in force.
WATCH_SECONDS = 1.5
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
# A peer's news may overtake this host's own watch by so much.
NEWS_SLACK_SECONDS = 0.1

OnChange = collections.abc.Callable[[list[records.Record]], None]


class Mirror:
    """This host's copy of the records of a kind.

    :ivar records: by name
    :ivar ready: set once the copy was filled
    :ivar version: the store's counter up to which the copy is complete
    """

    def __init__(
        self,
        host: str,
        kind: str,
        port: records.RecordPort,
        peers: peer_port.PeerPort,
        on_change: OnChange,
    ) -> None:
        self.records: dict[str, records.Record] = {}
        self.ready = anyio.Event()
        self.version = 0
        self._host = host
        self._kind = kind
        self._port = port
        self._peers = peers
        self._on_change = on_change
        self._fresh_at: float | None = None
        self._listed = False
        self._wanted = 0
        self._scope: anyio.CancelScope | None = None

    @property
    def age_seconds(self) -> float:
        """Time since the copy was last known to be complete."""
        if self._fresh_at is None:
            return float('inf')
        return anyio.current_time() - self._fresh_at

    async def run(self) -> None:
        """Follow the kind for ever."""
        pause = RETRY_SECONDS
        while True:
            # The answer shows the store as it was when it was given, which
            # is no earlier than the call.
            began = anyio.current_time()
            found = await self._read()
            if isinstance(found, result.Ok):
                self._take(found.ok_value, whole=not self._listed)
                self._listed = True
                self._fresh_at = max(began, self._fresh_at or began)
                pause = RETRY_SECONDS
                continue
            if found.err_value.event == events.STORE_HISTORY_LOST:
                events.log(
                    events.STORE_HISTORY_LOST,
                    host=self._host,
                    kind=self._kind,
                    version=self.version,
                )
                self._listed = False
                continue
            await anyio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _read(
        self,
    ) -> result.Result[records.Snapshot, verdicts.Failure]:
        if not self._listed:
            return await self._port.list(self._kind)
        with anyio.CancelScope() as self._scope:
            return await self._port.watch(
                self._kind, self.version, WATCH_SECONDS
            )
        # A peer has seen more than this copy: its watch may be dead.
        return await self._port.watch(self._kind, self.version, 0.0)

    def learn(self, found: records.Record) -> None:
        """Take a record that this host wrote or read itself."""
        known = self.records.get(found.name)
        if known is None or known.version < found.version:
            self.records[found.name] = found
            self._on_change([found])

    def note(self, version: int) -> None:
        """Take a version that a peer has seen."""
        self._wanted = max(self._wanted, version)

    async def catch_up(self) -> None:
        """Read at once if peers have seen more, for ever."""
        while True:
            await anyio.sleep(NEWS_SLACK_SECONDS)
            if self._wanted > self.version and self._scope is not None:
                wanted = self._wanted
                await anyio.sleep(NEWS_SLACK_SECONDS)
                if wanted > self.version:
                    self._wanted = 0
                    self._scope.cancel()

    def _take(self, found: records.Snapshot, *, whole: bool) -> None:
        """Take changes, or all records; older ones change nothing."""
        if found.version < self.version:
            return
        changed: list[records.Record] = []
        for record in found.records:
            known = self.records.get(record.name)
            if record.deleted:
                if known is not None and known.version < record.version:
                    del self.records[record.name]
                    changed.append(record)
            elif known is None or known.version < record.version:
                self.records[record.name] = record
                changed.append(record)
        if whole:
            listed = {record.name for record in found.records}
            for name, known in list(self.records.items()):
                if name not in listed and known.version <= found.version:
                    del self.records[name]
                    changed.append(
                        known._replace(version=found.version, deleted=True)
                    )
        self.version = found.version
        if changed:
            self._on_change(changed)
            peer_port.broadcast(
                self._peers, METHOD_SEEN, [self._kind, self.version]
            )
        self.ready.set()


def handlers(
    mirrors: collections.abc.Mapping[str, Mirror],
) -> peer_port.Handlers:
    """Return the handlers of peers' news.

    :param mirrors: by kind
    """

    async def take_seen(
        peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        kind, version = payload
        if kind in mirrors:
            mirrors[kind].note(version)
        return result.Ok(None)

    return {METHOD_SEEN: take_seen}
