"""Keeps a local copy of all records of a kind.

The copy is filled by a list call and updated by watches. If the store has
dropped the history that a watch needs, the records are listed again; the
answer to a list call is never stale. Each call to the store has a cost, so
only a few hosts watch and send the changes to the others. A host that gets
no notices from a watcher, or misses a change, calls the store itself.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import records
from persimmonpass import verdicts

METHOD_UPDATES = 'mirror.news'
METHOD_FRESHNESS = 'mirror.fresh'
# Number of hosts that watch the store. There are two because one may lose its
# connection to the store without anyone noticing. They watch all kinds, so
# that one notice can report on all of them.
WATCHERS = 2
WATCH_KEY = 'watch'
FRESHNESS_INTERVAL_SECONDS = 0.25
# A host relies on the watchers as long as the copy of one of them was known
# to be complete within this time.
MAX_COPY_AGE_SECONDS = 2.0
# A host that has sent no notice for this long no longer counts as a watcher.
WATCHER_TIMEOUT_SECONDS = 0.8
FOLLOW_POLL_SECONDS = 0.1
# Changes come in groups. After one, the watch pauses so that the next call
# returns the rest of the group at once.
COALESCE_SECONDS = 0.08
# A dead connection is detected after this time. It must leave room for a list
# call within the time in which a change must be in force.
WATCH_TIMEOUT_SECONDS = 1.5
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
# A watcher may report a version before its notice of the changes arrives.
UPDATE_GRACE_SECONDS = 0.15

OnChange = collections.abc.Callable[[list[records.Record]], None]


class _PeerCopy(typing.NamedTuple):
    """State of a watcher's copy, as the watcher reported it.

    :ivar version: the store's counter up to which the copy is complete
    :ivar received_at: local clock when the report arrived, in seconds
    :ivar fresh_at: local clock when the copy was last known to be complete,
        in seconds
    :ivar last_change_version: version of the last change of this kind; nothing
        changed between it and ``version``
    """

    version: int
    received_at: float
    fresh_at: float
    last_change_version: int


class Mirror:
    """This host's copy of the records of a kind.

    :ivar records: records by name
    :ivar ready: set once the copy has been filled
    :ivar version: the store's counter up to which the copy is complete
    """

    def __init__(
        self,
        host: str,
        kind: str,
        port: records.RecordPort,
        peers: peer_port.PeerPort,
        on_change: OnChange,
        candidates: collections.abc.Callable[[], list[str]] | None = None,
        replica_hosts: peer_port.Audience = peer_port.all_hosts,
    ) -> None:
        """Create an empty copy.

        :param host: id of this host
        :param kind: kind of the records
        :param port: calls to the store
        :param peers: calls to the other hosts
        :param on_change: called with the records that changed
        :param candidates: returns the hosts that may watch, in order of
            preference; by default all connected hosts
        :param replica_hosts: returns the hosts that keep a copy
        """
        self.records: dict[str, records.Record] = {}
        self.ready = anyio.Event()
        self.version = 0
        self._host = host
        self._kind = kind
        self._port = port
        self._peers = peers
        self._on_change = on_change
        self._candidates = candidates
        self._replica_hosts = replica_hosts
        self._fresh_at: float | None = None
        self._listed = False
        # The store's counter also rises with changes of other kinds.
        self._last_change_version = 0
        self._peer_copies: dict[str, _PeerCopy] = {}
        self._behind_since: float | None = None
        self._overtaken_since: float | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def age_seconds(self) -> float:
        """Seconds since the copy was last known to be complete."""
        if self._fresh_at is None:
            return float('inf')
        return anyio.current_time() - self._fresh_at

    @property
    def behind_seconds(self) -> float:
        """Seconds since a watcher reported a change that this copy lacks."""
        if self._behind_since is None:
            return 0.0
        return anyio.current_time() - self._behind_since

    @property
    def is_replica_host(self) -> bool:
        """Whether this host is one of those that keep a copy."""
        return peer_port.includes(self._replica_hosts(), self._host)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        pause = RETRY_SECONDS
        while True:
            if not self.is_replica_host:
                # Changes are missed meanwhile, so a list call comes next.
                self._listed = False
                await anyio.sleep(FOLLOW_POLL_SECONDS)
                continue
            if self._listed and self._follow_watchers():
                await anyio.sleep(FOLLOW_POLL_SECONDS)
                continue
            began = anyio.current_time()
            found = await self._read()
            if isinstance(found, result.Ok):
                self._apply(found.ok_value, is_complete=not self._listed)
                self._record_freshness(began, found.ok_value)
                self._listed = True
                pause = RETRY_SECONDS
                if found.ok_value.records:
                    await anyio.sleep(COALESCE_SECONDS)
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

    def make_freshness_row(self) -> list[typing.Any] | None:
        """Return the state of this copy for peers.

        A watch that another watcher has overtaken is cancelled, because its
        connection may be dead.

        :returns: kind, version, age in seconds and version of the last
            change, or ``None`` if this host does not watch
        """
        if not (self._listed and self._is_watcher()):
            return None
        if self._is_overtaken() and self._scope is not None:
            self._scope.cancel()
        return [
            self._kind,
            self.version,
            self.age_seconds,
            self._last_change_version,
        ]

    async def _read(
        self,
    ) -> result.Result[records.Snapshot, verdicts.Failure]:
        if not self._listed:
            return await self._port.list(self._kind)
        with anyio.CancelScope() as self._scope:
            return await self._port.watch(
                self._kind, self.version, WATCH_TIMEOUT_SECONDS
            )
        return await self._port.watch(self._kind, self.version, 0.0)

    def _record_freshness(self, began: float, found: records.Snapshot) -> None:
        """Record when the copy was last known to be complete.

        A watch without changes is answered at its timeout. Any other answer
        shows the store at an unknown time after the call began.

        :param began: local clock when the call began, in seconds
        """
        elapsed = anyio.current_time() - began
        fresh_at = began
        if (
            self._listed
            and not found.records
            and elapsed >= WATCH_TIMEOUT_SECONDS
        ):
            fresh_at += WATCH_TIMEOUT_SECONDS
        self._fresh_at = max(fresh_at, self._fresh_at or fresh_at)

    def _is_watcher(self, count: int = WATCHERS) -> bool:
        """Return whether this host is one of the watchers.

        :param count: number of watchers
        """
        hosts = {self._host, *self._peers.connected()}
        candidates = self._candidates() if self._candidates else None
        ranked = shards.preferred(WATCH_KEY, hosts, candidates)
        return self._host in ranked[:count]

    def _follow_watchers(self) -> bool:
        """Rely on the watchers' notices if they keep this copy current.

        If no change is missing, the watchers' version and time are taken over.

        :returns: whether no call to the store is needed now
        """
        if self._is_watcher():
            return False
        now = anyio.current_time()
        current = [
            peer
            for peer in self._peer_copies.values()
            if now - peer.received_at < WATCHER_TIMEOUT_SECONDS
            and now - peer.fresh_at < MAX_COPY_AGE_SECONDS
        ]
        if not current:
            return False
        if max(peer.last_change_version for peer in current) <= self.version:
            self.version = max(
                self.version, *(peer.version for peer in current)
            )
            self._fresh_at = max(
                self._fresh_at or 0.0, *(peer.fresh_at for peer in current)
            )
            self._update_behind()
            return True
        return self.behind_seconds < UPDATE_GRACE_SECONDS

    def _is_overtaken(self) -> bool:
        """Return whether watchers have been ahead of this copy for long."""
        now = anyio.current_time()
        recent = [
            peer.last_change_version
            for peer in self._peer_copies.values()
            if now - peer.received_at < WATCHER_TIMEOUT_SECONDS
        ]
        if max(recent, default=0) <= self.version:
            self._overtaken_since = None
            return False
        if self._overtaken_since is None:
            self._overtaken_since = now
        return now - self._overtaken_since >= 2 * FRESHNESS_INTERVAL_SECONDS

    def handle_freshness(
        self, peer: str, version: int, age: float, last_change_version: int
    ) -> None:
        """Record a watcher's report on its copy.

        :param peer: the watcher
        :param version: version of its copy
        :param age: seconds since its copy was known to be complete
        :param last_change_version: version of the last change that it knows
        """
        now = anyio.current_time()
        self._peer_copies[peer] = _PeerCopy(
            version, now, now - age, last_change_version
        )
        self._update_behind()

    def _update_behind(self) -> None:
        """Record whether a watcher reported a change that this copy lacks."""
        reported = [
            peer.last_change_version for peer in self._peer_copies.values()
        ]
        if max(reported, default=0) <= self.version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = anyio.current_time()

    def apply_updates(
        self, before: int, version: int, changed: list[records.Record]
    ) -> None:
        """Apply the changes between two versions that a watcher sent.

        They are ignored if this copy is older than ``before``, as changes
        would be missing.

        :param before: version of the watcher's copy before the changes
        :param version: version of its copy after them
        :param changed: the changed records
        """
        if self._listed and before <= self.version < version:
            self._apply(records.Snapshot(version, changed), is_complete=False)

    def apply_record(self, found: records.Record) -> None:
        """Add a record that this host wrote or read itself."""
        known = self.records.get(found.name)
        if known is None or known.version < found.version:
            self.records[found.name] = found
            self._on_change([found])

    def _apply(self, found: records.Snapshot, *, is_complete: bool) -> None:
        """Apply a snapshot; records older than the known ones are ignored.

        :param found: changed records, or all records
        :param is_complete: whether the snapshot has all records, so that
            those not in it are deleted
        """
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
        if is_complete:
            listed = {record.name for record in found.records}
            for name, known in list(self.records.items()):
                if name not in listed and known.version <= found.version:
                    del self.records[name]
                    changed.append(
                        known._replace(version=found.version, deleted=True)
                    )
        before, self.version = self.version, found.version
        if is_complete or found.records:
            self._last_change_version = found.version
        self._update_behind()
        if changed:
            self._on_change(changed)
        # Only one host sends the records, as they may be large. The other
        # watchers report their version, which reveals missed changes.
        if found.records and not is_complete and self._is_watcher(1):
            rows = [list(record) for record in found.records]
            peer_port.broadcast(
                self._peers,
                METHOD_UPDATES,
                [self._kind, before, self.version, rows],
                self._replica_hosts(),
            )
        self.ready.set()


async def broadcast_freshness(
    mirrors: collections.abc.Mapping[str, Mirror], peers: peer_port.PeerPort
) -> None:
    """Report the state of the watched copies to peers until cancelled.

    :param mirrors: copies by kind
    :param peers: calls to the other hosts
    """
    while True:
        await anyio.sleep(FRESHNESS_INTERVAL_SECONDS)
        reported = [copy.make_freshness_row() for copy in mirrors.values()]
        rows = [row for row in reported if row is not None]
        if rows:
            peer_port.broadcast(peers, METHOD_FRESHNESS, rows)


def handlers(
    mirrors: collections.abc.Mapping[str, Mirror],
) -> peer_port.Handlers:
    """Return the handlers of the watchers' notices.

    :param mirrors: copies by kind
    """

    def apply_updates(peer: str, payload: typing.Any) -> None:
        kind, before, version, rows = payload
        if kind in mirrors:
            changed = [records.Record(*row) for row in rows]
            mirrors[kind].apply_updates(before, version, changed)

    def apply_freshness(peer: str, payload: typing.Any) -> None:
        for kind, *row in payload:
            if kind in mirrors:
                mirrors[kind].handle_freshness(peer, *row)

    return {
        METHOD_UPDATES: peer_port.NoticeHandler(apply_updates),
        METHOD_FRESHNESS: peer_port.NoticeHandler(apply_freshness),
    }
