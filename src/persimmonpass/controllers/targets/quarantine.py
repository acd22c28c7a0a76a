"""Finds request bodies that crash targets and notifies all hosts of them."""

import collections.abc
import contextlib
import typing

import anyio
import cbor2
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass import events
from persimmonpass import in_flight
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import quarantine
from persimmonpass import store
from persimmonpass.targets import probe
from persimmonpass import verdicts

METHOD_SUSPECT = 'quarantine.suspect'
METHOD_RESERVE = 'quarantine.reserve'
PREFIX = 'quarantine/'
RETRY_SECONDS = 1.0
REFRESH_SECONDS = 30.0
ISOLATION_SECONDS = 300.0
RESERVATION_SECONDS = 60.0
# A crashed process accepts connections until its sockets are closed, which
# takes some hundredths of a second on a busy machine.
PROBE_DELAYS_SECONDS = (0.05, 0.15)


class SuspectNotice(typing.TypedDict):
    """Payload that notifies peers of a suspect body.

    :ivar digest: digest of the body
    :ivar lost: targets that crashed while they ran the body; if it is empty,
        the body is no longer a suspect
    :ivar alone: whether the body was the only one on a crashed target
    :ivar convicted: whether the body is quarantined
    """

    digest: str
    lost: list[str]
    alone: bool
    convicted: bool


class Run:
    """One run of a body at a target.

    :ivar digest: digest of the body
    :ivar shared: whether another request ran at the target at the same time
    :ivar has_output: whether the target had started to answer
    """

    def __init__(self, digest: str, target: blackboard.Target) -> None:
        self.digest = digest
        self.target = target
        self.shared = False
        self.has_output = False


class Quarantine:
    """Suspect and quarantined request bodies by digest."""

    def __init__(
        self,
        port: store.StorePort,
        peers: peer_port.PeerPort,
        sent: in_flight.InFlight,
        connect: probe.Connect,
    ) -> None:
        self._port = port
        self._peers = peers
        self._sent = sent
        self._connect = connect
        self._quarantined: set[str] = set()
        self._unsaved: set[str] = set()
        self._changed = anyio.Event()
        self._suspects: dict[str, quarantine.CrashRecord] = {}
        self._isolated_until: dict[str, float] = {}
        self._runs: dict[str, list[Run]] = {}
        self._reserved: set[str] = set()
        self._reserved_by_peers: dict[tuple[str, str], float] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls from peers."""
        return {
            METHOD_SUSPECT: self._handle_suspect,
            METHOD_RESERVE: self._handle_reserve,
        }

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a body must not run again."""
        return digest in self._quarantined

    def must_isolate(self, digest: str) -> bool:
        """Return whether a body may run only where nothing else runs."""
        until = self._isolated_until.get(digest)
        if until is None:
            return False
        if until > anyio.current_time():
            return True
        del self._isolated_until[digest]
        self._suspects.pop(digest, None)
        return False

    def is_reserved(self, target: str) -> bool:
        """Return whether a target is reserved for a suspect."""
        if target in self._reserved:
            return True
        now = anyio.current_time()
        return any(
            name == target and until > now
            for (_, name), until in self._reserved_by_peers.items()
        )

    @contextlib.contextmanager
    def reserve(self, target: str) -> collections.abc.Iterator[None]:
        """Reserve a target for one suspect while the context is open."""
        self._reserved.add(target)
        self._broadcast_reservation(target, RESERVATION_SECONDS)
        try:
            yield
        finally:
            self._reserved.discard(target)
            self._broadcast_reservation(target, 0.0)

    @contextlib.contextmanager
    def running(
        self, digest: str, target: blackboard.Target
    ) -> collections.abc.Iterator[Run]:
        """Record that a body runs at a target while the context is open.

        :param digest: digest of the body
        """
        run = Run(digest, target)
        present = self._runs.setdefault(target.name, [])
        run.shared = (
            bool(present) or self._sent.count_at_peers(target.name) > 0
        )
        for other in present:
            other.shared = True
        present.append(run)
        try:
            yield run
        finally:
            present.remove(run)
            if not present:
                self._runs.pop(target.name, None)

    def record_finished(self, digest: str) -> None:
        """Clear a suspect body that ran to its end."""
        self._isolated_until.pop(digest, None)
        if self._suspects.pop(digest, None) is not None:
            self._broadcast_suspect(
                digest, quarantine.CrashRecord(), quarantined=False
            )

    async def record_broken_run(self, run: Run) -> None:
        """Suspect a body if its connection broke because the target crashed.

        Once it has crashed enough targets, the body is quarantined.
        """
        shared = run.shared or self._sent.count_at_peers(run.target.name) > 0
        if not await self._has_crashed(run.target):
            return
        known = self._suspects.get(run.digest, quarantine.CrashRecord())
        record = quarantine.on_crash(known, run.target.name, not shared)
        self._suspects[run.digest] = record
        # A body whose answer had started has passed the usual point of
        # failure, so it is isolated only after a second crash.
        if not run.has_output or len(record.lost) > 1:
            self._isolate(run.digest)
        quarantined = quarantine.is_quarantined(record)
        self._broadcast_suspect(run.digest, record, quarantined)
        if quarantined:
            self._add_quarantined(run.digest)
            self._unsaved.add(run.digest)
            self._changed.set()

    async def _has_crashed(self, target: blackboard.Target) -> bool:
        for seconds in (0.0, *PROBE_DELAYS_SECONDS):
            await anyio.sleep(seconds)
            if await self._connect(target) == probe.ConnectOutcome.REFUSED:
                return True
        return False

    async def run(self) -> None:
        """Load quarantined bodies from the store and save new ones.

        Runs until it is cancelled.
        """
        while True:
            listed = await self._port.list(PREFIX, budget.Priority.STATUS)
            if isinstance(listed, result.Ok):
                for stored in listed.ok_value:
                    self._add_quarantined(stored.key.removeprefix(PREFIX))
                wait = REFRESH_SECONDS
            else:
                wait = RETRY_SECONDS
            with anyio.move_on_after(wait):
                await self._save_changes()

    async def _save_changes(self) -> None:
        while True:
            if not self._unsaved:
                await self._changed.wait()
            self._changed = anyio.Event()
            for digest in list(self._unsaved):
                await self._save(digest)
            if self._unsaved:
                await anyio.sleep(RETRY_SECONDS)

    async def _save(self, digest: str) -> None:
        record = self._suspects.get(digest, quarantine.CrashRecord())
        written = await self._port.put(
            PREFIX + digest,
            cbor2.dumps(sorted(record.lost)),
            store.CREATE,
            budget.Priority.RESULT,
        )
        if isinstance(written, result.Ok):
            self._unsaved.discard(digest)
        elif written.err_value.event == events.STORE_CONFLICT:
            self._unsaved.discard(digest)

    def _add_quarantined(self, digest: str) -> None:
        if digest not in self._quarantined:
            self._quarantined.add(digest)
            events.log(events.REQUEST_QUARANTINED, digest=digest)

    def _isolate(self, digest: str) -> None:
        self._isolated_until[digest] = anyio.current_time() + ISOLATION_SECONDS

    def _broadcast_suspect(
        self, digest: str, record: quarantine.CrashRecord, quarantined: bool
    ) -> None:
        notice = SuspectNotice(
            digest=digest,
            lost=sorted(record.lost),
            alone=record.alone,
            convicted=quarantined,
        )
        peer_port.broadcast(self._peers, METHOD_SUSPECT, notice)

    def _broadcast_reservation(self, target: str, seconds: float) -> None:
        peer_port.broadcast(self._peers, METHOD_RESERVE, [target, seconds])

    async def _handle_suspect(
        self, peer: str, payload: SuspectNotice
    ) -> result.Result[None, verdicts.Failure]:
        digest = payload['digest']
        if payload['convicted']:
            self._add_quarantined(digest)
        elif payload['lost']:
            known = self._suspects.get(digest, quarantine.CrashRecord())
            self._suspects[digest] = quarantine.CrashRecord(
                known.lost | set(payload['lost']),
                known.alone or payload['alone'],
            )
            self._isolate(digest)
        else:
            self._suspects.pop(digest, None)
            self._isolated_until.pop(digest, None)
        return result.Ok(None)

    async def _handle_reserve(
        self, peer: str, payload: tuple[str, float]
    ) -> result.Result[None, verdicts.Failure]:
        target, seconds = payload
        if seconds > 0:
            until = anyio.current_time() + seconds
            self._reserved_by_peers[peer, target] = until
        else:
            self._reserved_by_peers.pop((peer, target), None)
        return result.Ok(None)
