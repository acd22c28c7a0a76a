"""Remembers which software versions have served of late, in the store too.

A stream whose beginning no host remembers may go on only if one version alone
can have begun it. A host knows this of the time that it has seen itself. Of
the time before, it knows what the store's record says, which outlives a loss
of all hosts at once.

The record names more rather than less: a version is added when its first
target is listed, and removed once no stream that it began can be resumed. So
it costs two writes for a release, and one read for the start of a host.
"""

import collections.abc
import math
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import stream_versions
from persimmonpass import records

KIND = 'software'
NAME = 'main'
METHOD_RECORDED = 'software.recorded'
# A caller resumes a stream within its deadline. Software that has left is
# remembered for as long, as it may have begun the stream.
RETENTION_SECONDS = 30.0
# A caller waits this long for the first read of the record, which a host
# makes as soon as it starts.
READ_WAIT_SECONDS = 0.5
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
# The hosts write one after the other, so that usually one does. A host that
# has just started does not know its peers yet, and leaves them this time.
WRITE_STEP_SECONDS = 0.4
FIRST_WRITE_DELAY_SECONDS = 1.5
# Hosts outside the core check this often whether they belong to it now.
POLL_SECONDS = 0.2

# Software by service.
Software = dict[str, set[str]]


async def _always_current(since: float) -> bool:
    """Return that a table of targets which copies nothing is current."""
    return True


class HistoryPorts(typing.NamedTuple):
    """Dependencies of :class:`SoftwareHistory`.

    :ivar store: calls to the store
    :ivar peers: notices to the other hosts
    :ivar audience: returns the hosts that serve callers
    :ivar hosts_before: returns how many hosts are to write to the store
        before this one
    :ivar confirm_targets: makes the table of targets complete up to a time of
        the local clock; returns whether it is
    """

    board: blackboard.Blackboard
    store: records.RecordPort
    peers: peer_port.PeerPort
    audience: peer_port.Audience
    hosts_before: collections.abc.Callable[[], int]
    confirm_targets: collections.abc.Callable[
        [float], collections.abc.Awaitable[bool]
    ] = _always_current


class _Record(typing.NamedTuple):
    """The record as this host last saw it.

    :ivar version: the store's counter at its last change, 0 if there is none
    """

    version: int
    software: Software


class SoftwareHistory:
    """The software of targets that serve now or served until recently.

    :ivar appeared: callbacks that are called with the name of a service when
        it gets another software
    """

    def __init__(
        self, host: str, ports: HistoryPorts, *, is_first_start: bool
    ) -> None:
        """Create an empty history.

        :param is_first_start: whether no host of the fleet has run before, so
            that a missing record means that no stream has begun
        """
        self.appeared: list[collections.abc.Callable[[str], None]] = []
        self._host = host
        self._ports = ports
        self._is_first_start = is_first_start
        # Software of the targets in one version of their table, by service.
        self._serving: Software = {}
        self._targets_version = -1
        self._left_at: dict[stream_versions.Origin, float] = {}
        # Software of targets that name no version, each one its own.
        self._unnamed: set[str] = set()
        self._witnessed_at: float | None = None
        self._record: _Record | None = None
        # When this host first saw what the record names.
        self._recorded_at: dict[stream_versions.Origin, float] = {}
        self._has_read = anyio.Event()
        self._changed = anyio.Event()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_RECORDED: peer_port.NoticeHandler(self._handle_record)}

    async def run(self) -> None:
        """Follow the targets and keep the record until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_targets)
            await self._keep_record()

    def recent(self, service: str) -> set[str]:
        """Return the software that this host saw serve of late.

        :returns: what serves now or served within the retention time
        """
        self._update()
        since = anyio.current_time() - RETENTION_SECONDS
        left = {
            origin.software
            for origin, left_at in self._left_at.items()
            if origin.service == service and left_at > since
        }
        return self._serving.get(service, set()) | left

    async def possible(
        self, services: collections.abc.Collection[str]
    ) -> Software | None:
        """Return the software that can have begun recent streams.

        :returns: software by service; ``None`` if this host cannot know
        """
        self._update()
        if not self._covers_retention():
            if self._record is None:
                await self._wait_for_record()
            if not self._is_complete():
                return None
        return {name: self._possible(name) for name in services}

    def record_listed(self, target: blackboard.Target) -> None:
        """Remember the software of a target whose entry has arrived.

        A host that catches up may see a target come and go at once.
        """
        origin = stream_versions.Origin(target.service, target.software)
        self._left_at[origin] = anyio.current_time()
        if not target.software_version:
            self._unnamed.add(target.software)

    async def confirm(self) -> bool:
        """Make this host's view complete up to now.

        A host that was cut off or stood still has missed versions that
        others have used since.

        :returns: ``False`` if the store did not answer
        """
        return await self._ports.confirm_targets(anyio.current_time())

    def _possible(self, service: str) -> set[str]:
        """Return what this host saw of late, or a host before or beside it.

        The list of this host may lag behind that of a host which has written
        the record.
        """
        since = anyio.current_time() - RETENTION_SECONDS
        is_new = not self._covers_retention()
        recorded = {
            origin.software
            for origin, at in self._recorded_at.items()
            if origin.service == service and (is_new or at > since)
        }
        return self.recent(service) | recorded

    def _covers_retention(self) -> bool:
        """Return whether this host has seen the whole retention time."""
        if self._witnessed_at is None:
            return False
        witnessed = anyio.current_time() - self._witnessed_at
        return witnessed >= RETENTION_SECONDS

    def _is_complete(self) -> bool:
        """Return whether record and own view leave no time uncovered."""
        if self._covers_retention():
            return True
        return self._record is not None and (
            self._record.version > 0 or self._is_first_start
        )

    def _update(self) -> None:
        """Take over a changed table of targets."""
        targets = self._ports.board.targets
        if self._targets_version == targets.version:
            return
        self._targets_version = targets.version
        now = anyio.current_time()
        before, self._serving = self._serving, {}
        for row in targets.rows():
            self._serving.setdefault(row.service, set()).add(row.software)
            if not row.software_version:
                self._unnamed.add(row.software)
        if self._witnessed_at is None and self._serving:
            self._witnessed_at = now
        for service, known in before.items():
            for software in known - self._serving.get(service, set()):
                origin = stream_versions.Origin(service, software)
                self._left_at[origin] = now
        if self._serving != before:
            self._changed.set()
        for service, present in self._serving.items():
            if before.get(service) and present - before[service]:
                for callback in self.appeared:
                    callback(service)

    async def _follow_targets(self) -> None:
        version = 0
        while True:
            version = await self._ports.board.targets.wait(version)
            self._update()

    async def _keep_record(self) -> None:
        """Read the record, then write it whenever the software differs."""
        while not self._is_replica_host():
            await anyio.sleep(POLL_SECONDS)
        pause = RETRY_SECONDS
        while self._record is None:
            await self._read()
            if self._record is None:
                await anyio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
        while True:
            self._changed = anyio.Event()
            self._drop_old()
            if self._wanted() is not None and self._is_replica_host():
                await self._write_in_turn()
                continue
            with anyio.move_on_after(self._seconds_to_next_change()):
                await self._changed.wait()

    async def _write_in_turn(self) -> None:
        """Write the record unless a host before this one does."""
        delay = WRITE_STEP_SECONDS * self._ports.hosts_before()
        if self._record is not None and not self._record.version:
            delay += FIRST_WRITE_DELAY_SECONDS
        with anyio.move_on_after(delay):
            while self._wanted() is not None:
                await self._changed.wait()
                self._changed = anyio.Event()
        wanted = self._wanted()
        if wanted is None or self._record is None:
            return
        rows = {name: sorted(found) for name, found in wanted.items()}
        version = self._record.version
        if version:
            written = await self._ports.store.replace(
                KIND, NAME, {'services': rows}, version
            )
        else:
            written = await self._ports.store.create(
                KIND, NAME, {'services': rows}
            )
        if isinstance(written, result.Err):
            # Another host was first, or the outcome is not known.
            await anyio.sleep(RETRY_SECONDS)
            await self._read()
            return
        self._adopt(written.ok_value, rows)
        events.log(
            events.SOFTWARE_RECORDED,
            host=self._host,
            version=written.ok_value,
            services=rows,
        )
        peer_port.broadcast(
            self._ports.peers,
            METHOD_RECORDED,
            [written.ok_value, rows],
            self._ports.audience(),
        )

    def _wanted(self) -> Software | None:
        """Return what the record should say, ``None`` if it does already."""
        self._update()
        if self._record is None or not self._is_complete():
            return None
        names = self._serving.keys() | {
            row.service for row in (*self._left_at, *self._recorded_at)
        }
        wanted = {
            name: {
                stream_versions.UNKNOWN_SOFTWARE
                if software in self._unnamed
                else software
                for software in self._possible(name)
            }
            for name in names
        }
        wanted = {name: found for name, found in wanted.items() if found}
        is_same = wanted == self._record.software
        return None if is_same or not wanted else wanted

    def _seconds_to_next_change(self) -> float:
        """Return when the record may have to change for want of news."""
        times = list(self._left_at.values())
        times += [
            at
            for origin, at in self._recorded_at.items()
            if origin.software not in self._serving.get(origin.service, ())
        ]
        if self._witnessed_at is not None and not self._covers_retention():
            times.append(self._witnessed_at)
        since = anyio.current_time() - RETENTION_SECONDS
        return min(
            (at - since for at in times if at > since), default=math.inf
        )

    def _drop_old(self) -> None:
        since = anyio.current_time() - RETENTION_SECONDS
        for origin, left_at in list(self._left_at.items()):
            if left_at <= since:
                del self._left_at[origin]
                self._unnamed.discard(origin.software)

    async def _wait_for_record(self) -> None:
        """Wait for the first read; a host outside the core makes it now."""
        with anyio.move_on_after(READ_WAIT_SECONDS):
            if self._is_replica_host():
                await self._has_read.wait()
            else:
                await self._read()

    async def _read(self) -> None:
        """Read the record; on failure it stays as it is."""
        found = await self._ports.store.get(KIND, NAME)
        if isinstance(found, result.Ok):
            self._adopt(
                found.ok_value.version,
                found.ok_value.data.get('services', {}),
            )
        elif found.err_value.event == events.STORE_NOT_FOUND:
            if self._record is None:
                self._record = _Record(0, {})
        else:
            return
        self._has_read.set()

    def _handle_record(self, peer: str, payload: typing.Any) -> None:
        self._adopt(*payload)

    def _adopt(
        self, version: int, rows: dict[str, collections.abc.Iterable[str]]
    ) -> None:
        if self._record is None or version > self._record.version:
            software = {name: set(found) for name, found in rows.items()}
            self._record = _Record(version, software)
            now = anyio.current_time()
            self._recorded_at = {
                origin: self._recorded_at.get(origin, now)
                for name, found in software.items()
                for origin in (
                    stream_versions.Origin(name, one) for one in found
                )
            }
            self._has_read.set()
            self._changed.set()

    def _is_replica_host(self) -> bool:
        return peer_port.includes(self._ports.audience(), self._host)
