"""Finds the bodies that bring targets down and tells all hosts of them."""

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
SUSPECT_SECONDS = 300.0
RESERVED_SECONDS = 60.0
# A process that dies still takes connections until its sockets are closed,
# which takes some hundredths of a second on a busy machine.
PROBE_AGAIN_SECONDS = (0.05, 0.15)


class SuspectNotice(typing.TypedDict):
    """Tells peers what is held against a body; empty ``lost`` clears it."""

    digest: str
    lost: list[str]
    alone: bool
    convicted: bool


class Run:
    """One attempt at a target.

    :ivar shared: whether another request ran there at the same time
    :ivar has_output: whether the target had begun to answer
    """

    def __init__(self, digest: str, target: blackboard.Target) -> None:
        self.digest = digest
        self.target = target
        self.shared = False
        self.has_output = False


class Quarantine:
    """Suspects and convicted bodies, by digest."""

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
        self._convicted: set[str] = set()
        self._unsaved: set[str] = set()
        self._changed = anyio.Event()
        self._suspects: dict[str, quarantine.CrashRecord] = {}
        self._isolated: dict[str, float] = {}
        self._runs: dict[str, list[Run]] = {}
        self._reserved: set[str] = set()
        self._reserved_by_peers: dict[tuple[str, str], float] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {
            METHOD_SUSPECT: self._take_suspect,
            METHOD_RESERVE: self._take_reserve,
        }

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a body must not run again."""
        return digest in self._convicted

    def must_isolate(self, digest: str) -> bool:
        """Return whether a body may run only where nothing else does."""
        until = self._isolated.get(digest)
        if until is None:
            return False
        if until > anyio.current_time():
            return True
        del self._isolated[digest]
        self._suspects.pop(digest, None)
        return False

    def is_reserved(self, target: str) -> bool:
        """Return whether a target is kept for a suspect."""
        if target in self._reserved:
            return True
        now = anyio.current_time()
        return any(
            name == target and until > now
            for (_, name), until in self._reserved_by_peers.items()
        )

    @contextlib.contextmanager
    def reserve(self, target: str) -> collections.abc.Iterator[None]:
        """Keep a target for one suspect while the context is open."""
        self._reserved.add(target)
        self._tell_reserved(target, RESERVED_SECONDS)
        try:
            yield
        finally:
            self._reserved.discard(target)
            self._tell_reserved(target, 0.0)

    @contextlib.contextmanager
    def running(
        self, digest: str, target: blackboard.Target
    ) -> collections.abc.Iterator[Run]:
        """Note that a body runs at a target while the context is open."""
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
        """Clear a body that ran to its end."""
        self._isolated.pop(digest, None)
        if self._suspects.pop(digest, None) is not None:
            self._tell(digest, quarantine.CrashRecord(), convicted=False)

    async def record_broken_run(self, run: Run) -> None:
        """Suspect a body if its connection broke because the target died."""
        shared = run.shared or self._sent.count_at_peers(run.target.name) > 0
        if not await self._has_died(run.target):
            return
        known = self._suspects.get(run.digest, quarantine.CrashRecord())
        suspicion = quarantine.on_crash(known, run.target.name, not shared)
        self._suspects[run.digest] = suspicion
        # What had begun to answer has survived the usual point of failure,
        # and is suspected only when it loses a second target.
        if not run.has_output or len(suspicion.lost) > 1:
            self._isolate(run.digest)
        convicted = quarantine.is_quarantined(suspicion)
        self._tell(run.digest, suspicion, convicted)
        if convicted:
            self._convict(run.digest)
            self._unsaved.add(run.digest)
            self._changed.set()

    async def _has_died(self, target: blackboard.Target) -> bool:
        for seconds in (0.0, *PROBE_AGAIN_SECONDS):
            await anyio.sleep(seconds)
            if await self._connect(target) == probe.Connected.REFUSED:
                return True
        return False

    async def run(self) -> None:
        """Read what is recorded and record what is new, for ever."""
        while True:
            listed = await self._port.list(PREFIX, budget.Priority.STATUS)
            if isinstance(listed, result.Ok):
                for stored in listed.ok_value:
                    self._convict(stored.key.removeprefix(PREFIX))
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
        suspicion = self._suspects.get(digest, quarantine.CrashRecord())
        written = await self._port.put(
            PREFIX + digest,
            cbor2.dumps(sorted(suspicion.lost)),
            store.CREATE,
            budget.Priority.RESULT,
        )
        if isinstance(written, result.Ok):
            self._unsaved.discard(digest)
        elif written.err_value.event == events.STORE_CONFLICT:
            self._unsaved.discard(digest)

    def _convict(self, digest: str) -> None:
        if digest not in self._convicted:
            self._convicted.add(digest)
            events.log(events.REQUEST_QUARANTINED, digest=digest)

    def _isolate(self, digest: str) -> None:
        self._isolated[digest] = anyio.current_time() + SUSPECT_SECONDS

    def _tell(
        self, digest: str, suspicion: quarantine.CrashRecord, convicted: bool
    ) -> None:
        notice = SuspectNotice(
            digest=digest,
            lost=sorted(suspicion.lost),
            alone=suspicion.alone,
            convicted=convicted,
        )
        peer_port.broadcast(self._peers, METHOD_SUSPECT, notice)

    def _tell_reserved(self, target: str, seconds: float) -> None:
        peer_port.broadcast(self._peers, METHOD_RESERVE, [target, seconds])

    async def _take_suspect(
        self, peer: str, payload: SuspectNotice
    ) -> result.Result[None, verdicts.Failure]:
        digest = payload['digest']
        if payload['convicted']:
            self._convict(digest)
        elif payload['lost']:
            known = self._suspects.get(digest, quarantine.CrashRecord())
            self._suspects[digest] = quarantine.CrashRecord(
                known.lost | set(payload['lost']),
                known.alone or payload['alone'],
            )
            self._isolate(digest)
        else:
            self._suspects.pop(digest, None)
            self._isolated.pop(digest, None)
        return result.Ok(None)

    async def _take_reserve(
        self, peer: str, payload: tuple[str, float]
    ) -> result.Result[None, verdicts.Failure]:
        target, seconds = payload
        if seconds > 0:
            until = anyio.current_time() + seconds
            self._reserved_by_peers[peer, target] = until
        else:
            self._reserved_by_peers.pop((peer, target), None)
        return result.Ok(None)
