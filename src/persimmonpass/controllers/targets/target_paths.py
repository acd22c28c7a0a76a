"""Finds out which targets this host reaches, and how it gets to the others.

Each host notifies its peers of the targets that it has lost. Requests to them
go through a peer that has not lost them, one hop at most.

``persimmonpass-gateway`` uses this module; see :mod:`policy.target_paths`.
"""

import collections
import collections.abc
import contextlib
import random
import typing

import anyio
import anyio.abc

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import target_paths as policy
from persimmonpass.targets import opaque

METHOD_LOST = 'paths.lost'
CHECK_INTERVAL_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 0.25
# Checks of lost targets at a time, so that hosts of large fleets do not open
# hundreds of connections a second.
MAX_CHECKS = 16
# Checks of many targets are spread, so that thousands of targets do not take
# the processor all at once.
CHECKS_PER_SECOND = 400
# A target that has answered this host within this time needs no check.
ANSWERED_SECONDS = 1.0
REPEAT_SECONDS = 1.0
# Targets that are lost within this time are reported together.
COALESCE_SECONDS = 0.01
IDLE_SECONDS = 10.0
# A report that is not repeated for this time no longer holds.
FORGET_SECONDS = 3.5
# How long a peer through which a target was not reached is not tried again.
HELPER_PAUSE_SECONDS = 1.0
# The list of possible helpers is read at each placement.
HELPERS_SECONDS = 0.02
# The stranded hosts are read for each entry answer.
STRANDED_SECONDS = 0.1


class PathPorts(typing.NamedTuple):
    """Dependencies of :class:`TargetPaths`.

    :ivar members: returns the hosts that serve callers
    """

    board: blackboard.Blackboard
    peers: peer_port.PeerPort
    members: collections.abc.Callable[[], collections.abc.Collection[str]]


class _Path:
    """The direct link to one target.

    :ivar is_lost: whether no connection can be made
    :ivar losses: how often it was lost again soon after it had been restored
    :ivar restored_at: local clock when it last worked again, in seconds
    :ivar works_since: local clock of the first of the latest checks that
        succeeded, in seconds; ``None`` if the last check failed
    :ivar answered_at: local clock of the last answer, in seconds
    :ivar is_checked: whether a check is under way
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.losses = 0
        self.restored_at = float('-inf')
        self.works_since: float | None = None
        self.answered_at = float('-inf')
        self.is_checked = False


class _Report(typing.NamedTuple):
    """Targets that a peer has lost.

    :ivar at: local clock when the report arrived, in seconds
    """

    lost: frozenset[str]
    at: float


class TargetPaths:
    """The links of this host to the targets, and the ways around them.

    :ivar changed: callbacks that are called when a target was lost or restored
    :ivar lost: callbacks that are called with the name of a lost target
    """

    def __init__(
        self, host: str, availability_zone: str, ports: PathPorts
    ) -> None:
        """Create a table in which all targets are reachable."""
        self.changed: list[collections.abc.Callable[[], None]] = []
        self.lost: list[collections.abc.Callable[[str], None]] = []
        self._host = host
        self._zone = availability_zone
        self._ports = ports
        self._paths: dict[str, _Path] = {}
        self._lost: set[str] = set()
        self._reports: dict[str, _Report] = {}
        # Local clock until which a peer is not tried, by peer and target.
        self._helper_pauses: dict[tuple[str, str], float] = {}
        self._relays: collections.Counter[str] = collections.Counter()
        self._helpers: list[blackboard.Member] = []
        self._helpers_at = float('-inf')
        self._stranded: set[str] = set()
        self._stranded_at = float('-inf')
        self._has_changed = False
        self._wake = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def port(self) -> opaque.PathPort:
        """Interface for the client of targets."""
        return opaque.PathPort(
            self.choose,
            self.relayed,
            self.record_answer,
            self.record_unreachable,
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_LOST: peer_port.NoticeHandler(self._handle_report)}

    def is_reachable(self, target: str) -> bool:
        """Return whether requests can reach a target, directly or not.

        :param target: name of the target
        """
        if target not in self._lost:
            return True
        return any(True for _ in self._helpers_of(target))

    def choose(self, target: str) -> str | None:
        """Return the peer through which a request should go.

        :param target: name of the target
        :returns: ``None`` for the direct link
        """
        if target not in self._lost:
            return None
        helpers = [
            policy.Helper(
                member.host,
                member.availability_zone,
                self._relays[member.host],
            )
            for member in self._helpers_of(target)
        ]
        return policy.choose_helper(helpers, self._zone, random.random)

    @contextlib.contextmanager
    def relayed(
        self, request_id: str, target: str, helper: str | None
    ) -> collections.abc.Iterator[None]:
        """Count a request that goes through a peer, within the context.

        :param target: name of the target
        :param helper: the peer; ``None`` for a request that goes directly
        """
        if helper is None:
            yield
            return
        events.log(
            events.REQUEST_RELAYED,
            host=self._host,
            key=request_id,
            target=target,
            helper=helper,
        )
        self._relays[helper] += 1
        try:
            yield
        finally:
            self._relays[helper] -= 1

    @property
    def lost_count(self) -> int:
        """Number of targets that this host does not reach itself."""
        return len(self._lost)

    def has_ended(self, target: str) -> bool:
        """Return whether a target is not listed, or lost by most hosts.

        :param target: name of the target
        """
        if target not in self._ports.board.targets:
            return True
        hosts = set(self._ports.members())
        hosts.intersection_update(self._ports.peers.connected())
        hosts.discard(self._host)
        lost = sum(target in self._lost_by(host) for host in hosts)
        lost += target in self._lost
        return 2 * lost > len(hosts) + 1

    def stranded_hosts(self) -> set[str]:
        """Return the live hosts that have lost most targets."""
        if not self._lost and not self._reports:
            return set()
        now = anyio.current_time()
        if now - self._stranded_at >= STRANDED_SECONDS:
            self._stranded_at = now
            self._stranded = self._find_stranded()
        return self._stranded

    def _find_stranded(self) -> set[str]:
        lost: dict[str, collections.abc.Collection[str]] = {
            member.host: self._lost_by(member.host)
            for member in self._ports.board.members.rows()
            if member.state == 'alive'
        }
        lost[self._host] = self._lost
        targets = {row.name for row in self._ports.board.targets.rows()}
        return {
            host
            for host, names in lost.items()
            if names and policy.is_stranded(host, lost, targets)
        }

    def record_answer(self, target: str, helper: str | None) -> None:
        """Record that a target has answered a request.

        :param helper: the peer through which the request went
        """
        if helper is None:
            self._get(target).answered_at = anyio.current_time()

    def record_unreachable(self, target: str, helper: str | None) -> None:
        """Record that no connection to a target could be made.

        :param helper: the peer through which it was tried
        """
        if helper is None:
            self._set_lost(target)
            return
        until = anyio.current_time() + HELPER_PAUSE_SECONDS
        self._helper_pauses[helper, target] = until

    def record_broken(self, target: str) -> None:
        """Check a target that has not answered a request to its end."""
        if target not in self._lost:
            self._start_check(target)

    async def run(self) -> None:
        """Check lost targets and report them to peers until cancelled."""
        reported_at = checked_at = anyio.current_time()
        async with anyio.create_task_group() as self._tasks:
            while True:
                with anyio.move_on_after(
                    CHECK_INTERVAL_SECONDS if self._lost else IDLE_SECONDS
                ):
                    await self._wake.wait()
                    await anyio.sleep(COALESCE_SECONDS)
                self._wake = anyio.Event()
                now = anyio.current_time()
                is_due = self._lost and now - reported_at >= REPEAT_SECONDS
                if self._has_changed or is_due:
                    reported_at = now
                    self._has_changed = False
                    self._report()
                if now - checked_at >= CHECK_INTERVAL_SECONDS:
                    checked_at = now
                    self._drop_old()
                    self._check_lost()

    def _get(self, target: str) -> _Path:
        return self._paths.setdefault(target, _Path())

    def _lost_by(self, host: str) -> collections.abc.Collection[str]:
        report = self._reports.get(host)
        if report is None:
            return ()
        is_old = anyio.current_time() - report.at > FORGET_SECONDS
        return () if is_old else report.lost

    def _helpers_of(
        self, target: str
    ) -> collections.abc.Iterator[blackboard.Member]:
        """Return the peers that may reach a target."""
        now = anyio.current_time()
        if now - self._helpers_at >= HELPERS_SECONDS:
            self._helpers_at = now
            usable = set(self._ports.members())
            usable.intersection_update(self._ports.peers.connected())
            self._helpers = [
                member
                for member in self._ports.board.members.rows()
                if member.state == 'alive' and member.host in usable
            ]
        for member in self._helpers:
            pause = self._helper_pauses.get((member.host, target), now)
            if pause <= now and target not in self._lost_by(member.host):
                yield member

    def _start_check(self, target: str, delay_seconds: float = 0.0) -> None:
        path = self._get(target)
        if self._tasks is not None and not path.is_checked:
            path.is_checked = True
            self._tasks.start_soon(self._check, target, path, delay_seconds)

    async def _check(
        self, target: str, path: _Path, delay_seconds: float
    ) -> None:
        """Try whether a connection to a target can be made."""
        row = self._ports.board.targets.get(target)
        try:
            await anyio.sleep(delay_seconds)
            if row is not None:
                ip, _, port = row.address.rpartition(':')
                with anyio.fail_after(CHECK_TIMEOUT_SECONDS):
                    connection = await anyio.connect_tcp(ip, int(port))
                await connection.aclose()
        except (OSError, TimeoutError):
            # The target is lost, which is logged there.
            self._set_lost(target)
        else:
            self._set_working(target, path)
        finally:
            path.is_checked = False

    def _set_lost(self, target: str) -> None:
        path = self._get(target)
        path.works_since = None
        if path.is_lost or target not in self._ports.board.targets:
            return
        now = anyio.current_time()
        is_flapping = now - path.restored_at < policy.FLAPPING_SECONDS
        path.losses = path.losses + 1 if is_flapping else 0
        path.is_lost = True
        self._lost.add(target)
        events.log(
            events.TARGET_UNREACHABLE,
            host=self._host,
            target=target,
            losses=path.losses,
            helpers=[member.host for member in self._helpers_of(target)],
        )
        if len(self._lost) == policy.MIN_LOST_TO_CHECK_ALL:
            self._check_all()
        for callback in self.lost:
            callback(target)
        self._mark_changed()

    def _set_working(self, target: str, path: _Path) -> None:
        now = anyio.current_time()
        if not path.is_lost:
            return
        if path.works_since is None:
            path.works_since = now
        if now - path.works_since < policy.hold_seconds(path.losses):
            return
        path.is_lost = False
        path.restored_at = now
        self._lost.discard(target)
        events.log(events.TARGET_RESTORED, host=self._host, target=target)
        self._mark_changed()

    def _check_lost(self) -> None:
        names = list(self._lost)
        for name in random.sample(names, min(len(names), MAX_CHECKS)):
            self._start_check(name)

    def _check_all(self) -> None:
        self._check_spread(
            [
                row.name
                for row in self._ports.board.targets.rows()
                if row.name not in self._lost
            ]
        )

    def _check_spread(self, targets: list[str]) -> None:
        seconds = len(targets) / CHECKS_PER_SECOND
        for target in targets:
            self._start_check(target, seconds * random.random())

    def _mark_changed(self) -> None:
        self._has_changed = True
        self._wake.set()
        for callback in self.changed:
            callback()

    def _report(self) -> None:
        peer_port.broadcast(self._ports.peers, METHOD_LOST, list(self._lost))

    def _handle_report(self, peer: str, payload: typing.Any) -> None:
        """Store the targets that a peer has lost, and check new ones."""
        now = anyio.current_time()
        before = self._lost_by(peer)
        if payload:
            self._reports[peer] = _Report(frozenset(payload), now)
        else:
            self._reports.pop(peer, None)
        if self._host not in self._ports.members():
            return
        # A target that has just ended may have answered a moment before.
        is_single = len(payload) <= policy.MIN_LOST_TO_CHECK_ALL
        self._check_spread(
            [
                target
                for target in payload
                if target not in before
                and target not in self._lost
                and (
                    is_single
                    or now - self._get(target).answered_at > ANSWERED_SECONDS
                )
            ]
        )

    def _drop_old(self) -> None:
        """Drop targets that are not listed, and reports and pauses."""
        now = anyio.current_time()
        targets = self._ports.board.targets
        for name in [name for name in self._paths if name not in targets]:
            del self._paths[name]
            self._lost.discard(name)
        for peer, report in list(self._reports.items()):
            if now - report.at > FORGET_SECONDS:
                del self._reports[peer]
        for key, until in list(self._helper_pauses.items()):
            if until <= now:
                del self._helper_pauses[key]
