"""Keeps a local copy of all records of a kind.

The copy is filled by a list call and updated by watches. If the store has
dropped the history that a watch needs, the records are listed again; the
answer to a list call is never stale. Each call to the store has a cost, so
only a few hosts watch and send the changes to the others. A host that gets
no notices from a watcher, or misses a change, calls the store itself. If the
watchers send notices but their copies are old, the other hosts call the store
one after the other: all at once would overload a store that is only slow.
"""

import collections.abc
import itertools
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import watching
from persimmonpass import records
from persimmonpass import verdicts

METHOD_UPDATES = 'mirror.news'
METHOD_FRESHNESS = 'mirror.fresh'
FRESHNESS_INTERVAL_SECONDS = 0.25
# Hosts without a copy check this often whether they have to keep one. Hosts
# that lack a change check this often whether it has arrived.
POLL_SECONDS = 0.1
# After its first list call a gateway waits this long for reports: it has no
# links yet and would take itself for a watcher. Before it has listed the other
# hosts, it does not know the size of the fleet.
FIRST_REPORT_SECONDS = 0.1
LARGE_FLEET_FIRST_REPORT_SECONDS = 1.0
# Changes come in groups. After one, the watch pauses so that the next call
# returns the rest of the group at once. Only the first watcher sends changes
# to peers, and the second one shows when the first misses some.
COALESCE_SECONDS = 0.12
SECOND_COALESCE_SECONDS = 0.5
# A dead connection is detected after this time. It must leave room for a list
# call within the time in which a change must be in force.
WATCH_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
# Hosts that call the store in place of the watchers retry less often, as they
# are many and the watchers notify them when the store is back.
FALLBACK_RETRY_SECONDS = 0.6
FALLBACK_MAX_RETRY_SECONDS = 2.4
# Time limit of a call that confirms a copy for a waiting caller.
CONFIRM_SECONDS = 0.3
# After such a call that was not answered, the next one is made after this
# time: an outage must not cost a call for each caller.
CONFIRM_RETRY_SECONDS = 0.5
# Peers accept frames of 4 MB, and the store values of 1 MB. Few records fit
# without being measured.
MAX_UPDATE_BYTES = 2_500_000
UNCOUNTED_RECORDS = 3
# A watcher may report a version before its notice of the changes arrives, as
# it sends them to one host after the other.
UPDATE_GRACE_SECONDS = 0.25

OnChange = collections.abc.Callable[[list[records.Record]], None]


class Mirror:
    """This host's copy of the records of a kind.

    :ivar records: records by name
    :ivar ready: set once the copy has been filled
    :ivar version: the store's counter up to which the copy is complete
    :ivar read_started: callbacks that are called when this host starts to call
        the store instead of following the watchers
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
        first_report_seconds: collections.abc.Callable[[], float] = lambda: (
            0.0
        ),
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
        :param first_report_seconds: returns how long to wait for reports
            after a list call before the first watch
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
        self._first_report_seconds = first_report_seconds
        self._fresh_at: float | None = None
        self._listed = False
        self._listed_at = 0.0
        # The store's counter also rises with changes of other kinds.
        self._last_change_version = 0
        self._peer_copies: dict[str, watching.PeerCopy] = {}
        self._behind_since: float | None = None
        self._overtaken_since: float | None = None
        self._scope: anyio.CancelScope | None = None
        # Whether this host calls the store instead of following the watchers.
        self._reads_store = False
        self._became_behind = anyio.Event()
        self._confirming: anyio.Event | None = None
        self._confirm_failed_at = float('-inf')
        self.read_started: list[collections.abc.Callable[[], None]] = []

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
    def reads_store(self) -> bool:
        """Whether this host calls the store instead of following others."""
        return self._reads_store

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
                self._reads_store = False
                await anyio.sleep(POLL_SECONDS)
                continue
            if self._listed and self._can_follow():
                self._reads_store = False
                await self._wait_for_reports()
                continue
            # The first answer comes at once, so that this host can report a
            # copy before the next ones call the store too.
            is_first = not (self._reads_store or self._is_watcher())
            if not self._reads_store:
                self._start_reading()
            began = anyio.current_time()
            found = await self._read(
                0.0 if is_first else WATCH_TIMEOUT_SECONDS
            )
            if isinstance(found, result.Ok):
                self._apply(found.ok_value, is_complete=not self._listed)
                self._record_freshness(began, found.ok_value)
                if not self._listed:
                    self._listed = True
                    self._listed_at = anyio.current_time()
                pause = RETRY_SECONDS
                if found.ok_value.records:
                    await anyio.sleep(
                        COALESCE_SECONDS
                        if self._sends_updates()
                        else SECOND_COALESCE_SECONDS
                    )
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
            least, most = (
                (RETRY_SECONDS, MAX_RETRY_SECONDS)
                if self._is_watcher()
                else (FALLBACK_RETRY_SECONDS, FALLBACK_MAX_RETRY_SECONDS)
            )
            pause = max(least, min(pause, most))
            self._became_behind = anyio.Event()
            with anyio.move_on_after(pause):
                await self._became_behind.wait()
            pause *= 2

    def _start_reading(self) -> None:
        self._reads_store = True
        for callback in self.read_started:
            callback()
        events.log(
            events.COPY_READ_STARTED,
            host=self._host,
            kind=self._kind,
            version=self.version,
            age_ms=(
                None
                if self._fresh_at is None
                else round(1000 * self.age_seconds)
            ),
            behind_ms=round(1000 * self.behind_seconds),
            hosts_before=len(self._hosts_before()),
        )

    async def _wait_for_reports(self) -> None:
        """Wait until the watchers' reports are missing or show a change."""
        if self._behind_since is not None:
            await anyio.sleep(POLL_SECONDS)
            return
        self._became_behind = anyio.Event()
        until = watching.next_check_at(
            self._peer_copies, len(self._hosts_before())
        )
        until = max(until, self._listed_at + self._first_report_seconds())
        wait = max(POLL_SECONDS, until - anyio.current_time())
        with anyio.move_on_after(wait):
            await self._became_behind.wait()

    def make_freshness_row(self) -> list[typing.Any] | None:
        """Return the state of this copy for peers.

        A watch that another watcher has overtaken is cancelled, because its
        connection may be dead.

        :returns: kind, version, age in seconds and version of the last
            change, or ``None`` if this host does not call the store
        """
        if not (self._listed and self._reads_store):
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
        self, seconds: float
    ) -> result.Result[records.Snapshot, verdicts.Failure]:
        """Call the store.

        :param seconds: how long a watch waits for changes
        """
        if not self._listed:
            return await self._port.list(self._kind)
        with anyio.CancelScope() as self._scope:
            return await self._port.watch(self._kind, self.version, seconds)
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

    async def confirm(self, since: float) -> bool:
        """Make the copy complete up to a time, by a call if it is not yet.

        Callers that wait at the same time share a call.

        :param since: local clock in seconds
        :returns: whether the copy has all changes before that time; ``False``
            if the store did not answer
        """
        while self._fresh_at is None or self._fresh_at < since:
            if self._confirming is not None:
                await self._confirming.wait()
            elif not await self._confirm_now():
                return False
        return True

    async def _confirm_now(self) -> bool:
        """Ask the store for the changes that this copy lacks.

        :returns: whether the store has answered
        """
        began = anyio.current_time()
        if (
            not self._listed
            or began - self._confirm_failed_at < CONFIRM_RETRY_SECONDS
        ):
            return False
        age, version = self.age_seconds, self.version
        done = self._confirming = anyio.Event()
        found: result.Result[records.Snapshot, verdicts.Failure] | None = None
        is_complete = False
        try:
            with anyio.move_on_after(CONFIRM_SECONDS):
                found = await self._port.watch(self._kind, version, 0.0)
                if (
                    isinstance(found, result.Err)
                    and found.err_value.event == events.STORE_HISTORY_LOST
                ):
                    is_complete = True
                    found = await self._port.list(self._kind)
        finally:
            self._confirming = None
            done.set()
        is_answered = isinstance(found, result.Ok)
        if isinstance(found, result.Ok):
            self._apply(found.ok_value, is_complete=is_complete)
            self._fresh_at = max(began, self._fresh_at or began)
        else:
            self._confirm_failed_at = anyio.current_time()
        events.log(
            events.COPY_CONFIRMED,
            host=self._host,
            kind=self._kind,
            before=version,
            version=self.version,
            age_ms=round(1000 * age),
            answered=is_answered,
            ms=round(1000 * (anyio.current_time() - began)),
        )
        return is_answered

    def _hosts_before(self) -> list[str]:
        """Return the hosts that are to call the store first."""
        return watching.hosts_before(
            self._host,
            self._peers.connected(),
            self._candidates() if self._candidates else None,
        )

    def _is_watcher(self) -> bool:
        """Return whether this host is one of the watchers."""
        return len(self._hosts_before()) < watching.WATCHERS

    def _can_follow(self) -> bool:
        """Return whether other hosts keep this copy up to date."""
        now = anyio.current_time()
        is_new = now - self._listed_at < self._first_report_seconds()
        if not is_new and not watching.can_follow(
            self._peer_copies,
            self._hosts_before(),
            now,
            reads_store=self._reads_store,
        ):
            return False
        return self.behind_seconds < UPDATE_GRACE_SECONDS

    def _current_copies(self) -> dict[str, watching.PeerCopy]:
        return watching.current(self._peer_copies, anyio.current_time())

    def _sends_updates(self) -> bool:
        """Return whether this host sends the changes that it reads to peers.

        Only one host does so, as records may be large: the first one whose
        copy is current. The others report their version, which reveals missed
        changes.
        """
        return not any(
            host in self._hosts_before() for host in self._current_copies()
        )

    def _follow_copies(self) -> None:
        """Take over version and time of peers' copies if none lacks a change.

        Such a copy is complete up to the highest version that a peer reported.
        """
        current = list(self._current_copies().values())
        if not current:
            return
        if max(copy.last_change_version for copy in current) > self.version:
            return
        self.version = max(self.version, *(copy.version for copy in current))
        self._fresh_at = max(
            self._fresh_at or 0.0, *(copy.fresh_at for copy in current)
        )
        self._update_behind()

    def _is_overtaken(self) -> bool:
        """Return whether watchers have been ahead of this copy for long."""
        now = anyio.current_time()
        recent = [
            peer.last_change_version
            for peer in self._peer_copies.values()
            if now - peer.received_at < watching.WATCHER_TIMEOUT_SECONDS
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
        self._peer_copies[peer] = watching.PeerCopy(
            version, now, now - age, last_change_version
        )
        self._update_behind()
        if self._listed and not self._reads_store:
            self._follow_copies()

    def _update_behind(self) -> None:
        """Record whether a watcher reported a change that this copy lacks."""
        reported = [
            peer.last_change_version for peer in self._peer_copies.values()
        ]
        if max(reported, default=0) <= self.version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = anyio.current_time()
            self._became_behind.set()

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
        if before <= self.version < version:
            self._apply(records.Snapshot(version, changed), is_complete=False)
        elif self.version < version:
            events.log(
                events.UPDATES_IGNORED,
                host=self._host,
                kind=self._kind,
                version=self.version,
                before=before,
                after=version,
            )

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
        changed = self._merge(found, is_complete=is_complete)
        before, self.version = self.version, found.version
        if is_complete or found.records:
            self._last_change_version = found.version
        self._update_behind()
        if changed:
            if is_complete:
                events.log(
                    events.COPY_LISTED,
                    host=self._host,
                    kind=self._kind,
                    before=before,
                    version=self.version,
                    changed=len(changed),
                )
            self._on_change(changed)
        if is_complete:
            # The watchers may not know of these changes, so that this host
            # sends them even if it is not the first one with a copy.
            if before:
                self._send_updates(
                    before,
                    [
                        *(
                            row
                            for row in found.records
                            if row.version > before
                        ),
                        *(row for row in changed if row.deleted),
                    ],
                )
        elif self._sends_updates():
            self._send_updates(before, found.records)
        self.ready.set()

    def _merge(
        self, found: records.Snapshot, *, is_complete: bool
    ) -> list[records.Record]:
        """Merge a snapshot into the records.

        :param found: see :meth:`_apply`
        :param is_complete: see :meth:`_apply`
        :returns: the records that changed, deleted ones included
        """
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
        return changed

    def _send_updates(
        self, before: int, changed: list[records.Record]
    ) -> None:
        """Send changes to the hosts that keep a copy.

        :param before: version of this copy before the changes
        :param changed: all records that changed since then
        """
        if not changed:
            return
        parts = _split_updates(changed)
        for number, rows in enumerate(parts, 1):
            # The last update also covers changes of other kinds.
            is_last = number == len(parts)
            version = self.version if is_last else rows[-1].version
            peer_port.broadcast(
                self._peers,
                METHOD_UPDATES,
                [
                    self._kind,
                    before,
                    version,
                    [list(record) for record in rows],
                ],
                self._replica_hosts(),
            )
            before = version


def _split_updates(
    changed: list[records.Record],
) -> list[list[records.Record]]:
    """Return changes in the order of their versions, in parts for a frame.

    Peers follow from one version to the next, so that records of one version
    stay together.
    """
    if len(changed) <= UNCOUNTED_RECORDS:
        return [changed]
    parts: list[list[records.Record]] = [[]]
    size = 0
    for record in sorted(changed, key=lambda record: record.version):
        size += records.encoded_bytes(record)
        last = parts[-1]
        if size > MAX_UPDATE_BYTES and last:
            if record.version > last[-1].version:
                last = []
                parts.append(last)
                size = records.encoded_bytes(record)
        last.append(record)
    return parts


async def broadcast_freshness(
    mirrors: collections.abc.Mapping[str, Mirror],
    peers: peer_port.PeerPort,
    nearby: peer_port.Audience = peer_port.all_hosts,
) -> None:
    """Report the state of the watched copies to peers until cancelled.

    A host that follows the watchers has nothing to report, and sleeps.

    :param mirrors: copies by kind
    :param peers: calls to the other hosts
    :param nearby: returns the hosts that get each report; the others get
        every second one
    """
    read_started = anyio.Event()

    def wake() -> None:
        read_started.set()

    for copy in mirrors.values():
        copy.read_started.append(wake)
    for number in itertools.count():
        reported = [copy.make_freshness_row() for copy in mirrors.values()]
        rows = [row for row in reported if row is not None]
        if rows:
            audience = nearby() if number % 2 else None
            peer_port.broadcast(peers, METHOD_FRESHNESS, rows, audience)
        if not any(copy.reads_store for copy in mirrors.values()):
            read_started = anyio.Event()
            await read_started.wait()
        await anyio.sleep(FRESHNESS_INTERVAL_SECONDS)


def handlers(
    mirrors: collections.abc.Mapping[str, Mirror],
    clean: records.Clean = records.as_received,
) -> peer_port.Handlers:
    """Return the handlers of the watchers' notices.

    :param mirrors: copies by kind
    :param clean: removes secrets from records that peers sent
    """

    def apply_updates(peer: str, payload: typing.Any) -> None:
        kind, before, version, rows = payload
        if kind in mirrors:
            changed = [clean(kind, records.Record(*row)) for row in rows]
            mirrors[kind].apply_updates(before, version, changed)

    def apply_freshness(peer: str, payload: typing.Any) -> None:
        for kind, *row in payload:
            if kind in mirrors:
                mirrors[kind].handle_freshness(peer, *row)

    return {
        METHOD_UPDATES: peer_port.NoticeHandler(apply_updates),
        METHOD_FRESHNESS: peer_port.NoticeHandler(apply_freshness),
    }
