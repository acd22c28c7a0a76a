"""Follows all records of a kind.

The copy is filled by a list and kept by watches. A watch whose history is
gone is followed by a list, which is never a stale one. A few hosts watch and
tell the others what changed, since each call of the store has a price; a host
that hears none of them, or misses a change, asks the store itself.
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
METHOD_FRESH = 'mirror.fresh'
# Hosts that watch the store: one may be cut off from it unseen. They watch all
# kinds, so that their words on them travel together.
WATCHERS = 2
WATCH_KEY = 'watch'
FRESH_SECONDS = 0.25
# A host follows the watchers' news as long as one of them is so fresh.
FOLLOW_SECONDS = 2.0
# A watcher that was not heard for so long is none.
SILENCE_SECONDS = 0.8
FOLLOW_TICK_SECONDS = 0.1
# Changes come in groups; a pause after one lets a single call bring them.
GATHER_SECONDS = 0.08
# A silent connection is found out after this time, which has to leave room
# for a list within the seconds in which a change must be in force.
WATCH_TIMEOUT_SECONDS = 1.5
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
# A watcher may have seen more than its news, which are on their way.
NEWS_SLACK_SECONDS = 0.15

OnChange = collections.abc.Callable[[list[records.Record]], None]


class _Heard(typing.NamedTuple):
    """What a watcher said of its copy.

    :ivar at: when it said so, in seconds
    :ivar fresh_at: when its copy was known to be complete
    :ivar changed_at: version up to which it knows of changes; there is none
        from there to its version
    """

    version: int
    at: float
    fresh_at: float
    changed_at: int


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
        candidates: collections.abc.Callable[[], list[str]] | None = None,
        keepers: peer_port.Audience = peer_port.all_hosts,
    ) -> None:
        """Make an empty copy.

        :param candidates: hosts that may watch, the best one first; all that
            are reached if it is left out
        :param keepers: hosts that keep a copy
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
        self._keepers = keepers
        self._fresh_at: float | None = None
        self._listed = False
        # The store's counter rises with other kinds too.
        self._changed_at = 0
        self._heard: dict[str, _Heard] = {}
        self._behind_since: float | None = None
        self._overtaken_since: float | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def age_seconds(self) -> float:
        """Time since the copy was last known to be complete."""
        if self._fresh_at is None:
            return float('inf')
        return anyio.current_time() - self._fresh_at

    @property
    def behind_seconds(self) -> float:
        """Time since a watcher told of a change that this copy lacks."""
        if self._behind_since is None:
            return 0.0
        return anyio.current_time() - self._behind_since

    @property
    def is_kept(self) -> bool:
        """Whether this host keeps a copy."""
        return peer_port.includes(self._keepers(), self._host)

    async def run(self) -> None:
        """Follow the kind for ever."""
        pause = RETRY_SECONDS
        while True:
            if not self.is_kept:
                # What was missed meanwhile is brought by a list.
                self._listed = False
                await anyio.sleep(FOLLOW_TICK_SECONDS)
                continue
            if self._listed and self._follows():
                await anyio.sleep(FOLLOW_TICK_SECONDS)
                continue
            began = anyio.current_time()
            found = await self._read()
            if isinstance(found, result.Ok):
                self._take(found.ok_value, whole=not self._listed)
                self._note_fresh(began, found.ok_value)
                self._listed = True
                pause = RETRY_SECONDS
                if found.ok_value.records:
                    await anyio.sleep(GATHER_SECONDS)
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

    def judge(self) -> list[typing.Any] | None:
        """Return what to tell peers of this copy, ``None`` for nothing.

        A watch that another watcher has overtaken is given up: its
        connection may be dead.

        :returns: kind, version, age in seconds, version of the last change
        """
        if not (self._listed and self._is_watcher()):
            return None
        if self._is_overtaken() and self._scope is not None:
            self._scope.cancel()
        return [self._kind, self.version, self.age_seconds, self._changed_at]

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

    def _note_fresh(self, began: float, found: records.Snapshot) -> None:
        """Note until when the copy is complete.

        A watch without changes was answered when its time was up. Any other
        answer shows the store at some time since the call began.
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
        """Return whether this host is one of those that watch.

        :param count: number of hosts that count as such
        """
        hosts = {self._host, *self._peers.connected()}
        candidates = self._candidates() if self._candidates else None
        ranked = shards.preferred(WATCH_KEY, hosts, candidates)
        return self._host in ranked[:count]

    def _follows(self) -> bool:
        """Return whether peers keep this copy complete."""
        if self._is_watcher():
            return False
        now = anyio.current_time()
        heard = [
            one
            for one in self._heard.values()
            if now - one.at < SILENCE_SECONDS
            and now - one.fresh_at < FOLLOW_SECONDS
        ]
        if not heard:
            return False
        if max(one.changed_at for one in heard) <= self.version:
            self.version = max(self.version, *(one.version for one in heard))
            self._fresh_at = max(
                self._fresh_at or 0.0, *(one.fresh_at for one in heard)
            )
            self._judge_behind()
            return True
        return self.behind_seconds < NEWS_SLACK_SECONDS

    def _is_overtaken(self) -> bool:
        """Return whether peers have long seen more than this copy has."""
        now = anyio.current_time()
        recent = [
            one.changed_at
            for one in self._heard.values()
            if now - one.at < SILENCE_SECONDS
        ]
        if max(recent, default=0) <= self.version:
            self._overtaken_since = None
            return False
        if self._overtaken_since is None:
            self._overtaken_since = now
        return now - self._overtaken_since >= 2 * FRESH_SECONDS

    def handle_freshness(
        self, peer: str, version: int, age: float, changed_at: int
    ) -> None:
        """Take how fresh a watcher's copy is."""
        now = anyio.current_time()
        self._heard[peer] = _Heard(version, now, now - age, changed_at)
        self._judge_behind()

    def _judge_behind(self) -> None:
        """Note whether a watcher has told of a change that this copy lacks."""
        told = [one.changed_at for one in self._heard.values()]
        if max(told, default=0) <= self.version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = anyio.current_time()

    def take_news(
        self, before: int, version: int, changed: list[records.Record]
    ) -> None:
        """Take changes between two versions from a watcher."""
        if self._listed and before <= self.version < version:
            self._take(records.Snapshot(version, changed), whole=False)

    def apply_record(self, found: records.Record) -> None:
        """Take a record that this host wrote or read itself."""
        known = self.records.get(found.name)
        if known is None or known.version < found.version:
            self.records[found.name] = found
            self._on_change([found])

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
        before, self.version = self.version, found.version
        if whole or found.records:
            self._changed_at = found.version
        self._judge_behind()
        if changed:
            self._on_change(changed)
        # One host sends the records, which may be large; the other watchers
        # tell their version, which shows what was missed.
        if found.records and not whole and self._is_watcher(1):
            rows = [list(record) for record in found.records]
            peer_port.broadcast(
                self._peers,
                METHOD_UPDATES,
                [self._kind, before, self.version, rows],
                self._keepers(),
            )
        self.ready.set()


async def broadcast_freshness(
    mirrors: collections.abc.Mapping[str, Mirror], peers: peer_port.PeerPort
) -> None:
    """Tell peers how fresh the copies are that this host watches, for ever.

    :param mirrors: by kind
    """
    while True:
        await anyio.sleep(FRESH_SECONDS)
        judged = [copy.judge() for copy in mirrors.values()]
        rows = [row for row in judged if row is not None]
        if rows:
            peer_port.broadcast(peers, METHOD_FRESH, rows)


def handlers(
    mirrors: collections.abc.Mapping[str, Mirror],
) -> peer_port.Handlers:
    """Return the handlers of peers' news.

    :param mirrors: by kind
    """

    def take_news(peer: str, payload: typing.Any) -> None:
        kind, before, version, rows = payload
        if kind in mirrors:
            changed = [records.Record(*row) for row in rows]
            mirrors[kind].take_news(before, version, changed)

    def take_fresh(peer: str, payload: typing.Any) -> None:
        for kind, *row in payload:
            if kind in mirrors:
                mirrors[kind].handle_freshness(peer, *row)

    return {
        METHOD_UPDATES: peer_port.Notice(take_news),
        METHOD_FRESH: peer_port.Notice(take_fresh),
    }
