"""Ejects failing targets and probes them until they recover.

``persimmonpassd`` uses this module; ``persimmonpass-gateway`` uses
:mod:`controllers.targets.target_stats`.
"""

import anyio
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import health
from persimmonpass.policy import refusals
from persimmonpass.targets import probe
from persimmonpass import verdicts

METHOD_SUSPECT = 'health.suspect'
CHECK_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 1.0


class Health:
    """Health of each target according to this host's attempts.

    A target is identified by its name and address, so a replacement with the
    same name starts without failures.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        check: probe.Connect,
        peers: peer_port.PeerPort,
    ) -> None:
        self._board = board
        self._peers = peers
        self._probe = check
        self._healths: dict[str, health.TargetHealth] = {}
        self._addresses: dict[str, str] = {}
        self._refused: dict[str, refusals.Table] = {}
        self._probing: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls from peers."""
        return {METHOD_SUSPECT: self._handle_suspect}

    def usable(
        self, targets: list[blackboard.Target], size: int = 0
    ) -> list[blackboard.Target]:
        """Return the targets that may get a request.

        Those that refuse requests of its size are left out if there are
        others.

        :param targets: targets that could serve the request
        :param size: size of the request; 0 if it is not known
        """
        for target in targets:
            self._forget_replaced(target)
        names = [target.name for target in targets]
        kept = health.usable(names, self._healths)
        found = [target for target in targets if target.name in kept]
        if not self._refused:
            return found
        now = anyio.current_time()
        accepting = [
            target
            for target in found
            if size
            < refusals.smallest_blocked(
                self._refused.get(target.name, {}), now
            )
        ]
        return accepting or found

    def record_success(self, target: blackboard.Target, size: int = 0) -> None:
        """Record that a target has answered a request.

        :param size: size of the request; 0 if it is not known
        """
        if target.name in self._refused:
            self._refused[target.name] = refusals.without_taken(
                self._refused[target.name], size
            )
        if self._healths.pop(target.name, health.TargetHealth()).ejected:
            events.log(events.TARGET_RESTORED, target=target.name)

    def record_failure(
        self, target: blackboard.Target, *, refused: bool = False
    ) -> None:
        """Record that a target failed a request, which ejects the target.

        :param refused: whether the target refused the connection
        """
        known = self._healths.get(target.name, health.TargetHealth())
        if not known.ejected:
            events.log(events.TARGET_SUSPECT, target=target.name)
            peer_port.broadcast(
                self._peers, METHOD_SUSPECT, [target.name, target.address]
            )
        self._addresses[target.name] = target.address
        self._healths[target.name] = health.on_failure(
            known, anyio.current_time(), refused
        )

    def record_refusal(
        self, target: blackboard.Target, request: str, size: int
    ) -> None:
        """Record that a target did not admit a request.

        The target is not ejected, as this may be due to the request.

        :param request: id of the request
        :param size: size of the request; 0 if it is not known
        """
        self._refused[target.name] = refusals.with_refusal(
            self._refused.get(target.name, {}),
            request,
            size,
            anyio.current_time(),
        )

    async def run(self) -> None:
        """Probe ejected targets until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for target in self._find_due():
                    self._probing.add(target.name)
                    tasks.start_soon(self._check, target)
                await anyio.sleep(CHECK_INTERVAL_SECONDS)

    def _find_due(self) -> list[blackboard.Target]:
        now = anyio.current_time()
        for name in list(self._refused):
            if name not in self._board.targets:
                del self._refused[name]
        due = []
        for name, known in list(self._healths.items()):
            target = self._board.targets.get(name)
            if target is None:
                del self._healths[name]
            elif known.ejected and known.probe_time <= now:
                if name not in self._probing:
                    due.append(target)
        return due

    async def _check(self, target: blackboard.Target) -> None:
        connected = probe.ConnectOutcome.SILENT
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_SECONDS):
                connected = await self._probe(target)
        finally:
            self._probing.discard(target.name)
        known = self._healths.get(target.name)
        if known is None:
            return
        if connected == probe.ConnectOutcome.ACCEPTED:
            if not known.ejected:
                return
            self._healths[target.name] = health.on_probe_success(known)
            events.log(events.TARGET_RESTORED, target=target.name)
        else:
            self._healths[target.name] = health.on_failure(
                known,
                anyio.current_time(),
                connected == probe.ConnectOutcome.REFUSED,
            )

    async def _handle_suspect(
        self, peer: str, payload: tuple[str, str]
    ) -> result.Result[None, verdicts.Failure]:
        """Probe a target that failed at a peer, before requests do.

        The report alone ejects no target, as the peer itself may be the one
        that is disconnected.
        """
        name, address = payload
        target = self._board.targets.get(name)
        if target is None or target.address != address:
            return result.Ok(None)
        known = self._healths.setdefault(name, health.TargetHealth())
        if name not in self._probing and not known.ejected:
            self._probing.add(name)
            self._addresses[name] = address
            await self._check(target)
        return result.Ok(None)

    def _forget_replaced(self, target: blackboard.Target) -> None:
        address = self._addresses.get(target.name, target.address)
        if address != target.address:
            del self._addresses[target.name]
            self._healths.pop(target.name, None)
