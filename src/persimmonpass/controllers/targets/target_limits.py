"""Shares the limits that targets name, and the sends that count against them.

Each host notifies its peers of its sends to limited targets and of what the
targets last stated, so that all hosts together stay within each limit. Full
reports are repeated, for hosts that have started since or missed a notice.

``persimmonpass-gateway`` uses this module; see :mod:`policy.rate_limits`.
"""

import collections.abc
import math
import typing

import anyio

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import rate_limits as policy

METHOD_CHANGED = 'limits.changed'
# Sends within this time are reported together.
COALESCE_SECONDS = 0.004
REPEAT_SECONDS = 0.5
# How long a limit that was taken back is remembered, so that an older notice
# which arrives later does not bring it back.
ENDED_SECONDS = 30.0
MAX_TARGETS = 20_000
# The share of this host is read several times for each placement. Peers count
# as silent after more than ten times as long.
SHARE_SECONDS = 0.05


class LimitPorts(typing.NamedTuple):
    """Dependencies of :class:`TargetLimits`.

    :ivar members: returns the hosts that serve callers
    :ivar heard: returns the peers that have reported recently
    :ivar audience: returns the hosts that are notified of each send
    """

    board: blackboard.Blackboard
    peers: peer_port.PeerPort
    members: collections.abc.Callable[[], collections.abc.Collection[str]]
    heard: collections.abc.Callable[[], collections.abc.Collection[str]]
    audience: peer_port.Audience


class _Limit:
    """What is known of the limit of one target.

    :ivar rate: requests a second from all hosts; ``None`` for no limit
    :ivar version: higher for later statements of the target
    :ivar changed_at: local clock when the rate last changed, in seconds
    :ivar sent: requests that this host has sent to the target
    :ivar peers_sent: the same number of each peer, as last reported
    :ivar sends: known sends of all hosts
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.version = 0
        self.changed_at = anyio.current_time()
        self.sent = 0
        self.peers_sent: dict[str, int] = {}
        self.sends = 0
        # Requests that are under way are unknown, so that it starts empty.
        self.bucket = policy.Bucket(0.0, anyio.current_time())
        # Place of this host in the order of hosts, and the sends, rotation and
        # members for which it was computed.
        self.place = 0
        self.place_key: tuple[int, int, collections.abc.Collection[str]] = (
            -1,
            0,
            (),
        )


class TargetLimits:
    """Limits of targets, kept by all hosts together."""

    def __init__(self, host: str, ports: LimitPorts) -> None:
        """Create a table without limits."""
        self._host = host
        self._ports = ports
        self._limits: dict[str, _Limit] = {}
        self._share = 0.0
        self._share_at = float('-inf')
        self._changed: set[str] = set()
        self._wake = anyio.Event()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_CHANGED: peer_port.NoticeHandler(self._handle_changes)}

    def allowance(self, target: str) -> policy.Allowance | None:
        """Return what a target takes now, ``None`` if it has no limit.

        :param target: name of the target
        """
        limit = self._limits.get(target)
        if limit is None or limit.rate is None:
            return None
        rate = self._refill(limit, limit.rate)
        members = self._ports.members()
        rotation = policy.rotation(anyio.current_time())
        key = limit.sends, rotation, members
        if limit.place_key != key:
            limit.place_key = key
            limit.place = policy.turn(
                target, limit.sends, self._host, members, rotation
            )
        return policy.allow(limit.bucket, rate, limit.place)

    def record_send(self, target: str) -> None:
        """Count a request that is about to be sent to a target.

        :param target: name of the target
        """
        limit = self._limits.get(target)
        if limit is None or limit.rate is None:
            return
        limit.sent += 1
        self._take(limit, 1)
        self._changed.add(target)
        self._wake.set()

    def record_answer(
        self, target: blackboard.Target, head: exchange.ResponseHead
    ) -> None:
        """Record what an answer says about the limit of its target.

        :param target: the target that has answered
        :param head: head of its answer
        """
        if not head.rate_limits and target.name not in self._limits:
            return
        if head.is_misdirected or not head.is_for_request:
            return
        stated = policy.read(head.rate_limits, is_run=not head.not_run)
        if stated is None:
            return
        limit = self._limits.get(target.name)
        if stated.rate == (limit.rate if limit else None):
            return
        self._apply(
            target.name, stated.rate, limit.version + 1 if limit else 1
        )
        self._broadcast([target.name], None)

    def forget(self, target: str) -> None:
        """Take back the limit of a target that has started again.

        The later version keeps notices of peers that do not know of the new
        run yet from bringing the limit back.

        :param target: name of the target
        """
        limit = self._limits.get(target)
        if limit is not None:
            self._apply(target, None, limit.version + 1)

    async def run(self) -> None:
        """Report sends and statements to peers until cancelled."""
        repeated_at = anyio.current_time()
        while True:
            if not self._limits:
                await self._wake.wait()
            with anyio.move_on_after(REPEAT_SECONDS):
                await self._wake.wait()
                await anyio.sleep(COALESCE_SECONDS)
            self._wake = anyio.Event()
            now = anyio.current_time()
            changed, self._changed = self._changed, set()
            if now - repeated_at >= REPEAT_SECONDS:
                repeated_at = now
                self._drop_old(now)
                changed = set(self._limits)
            if changed:
                self._broadcast(changed, self._ports.audience())

    def _broadcast(
        self,
        targets: collections.abc.Iterable[str],
        audience: collections.abc.Collection[str] | None,
    ) -> None:
        rows = [
            [name, limit.rate, limit.version, limit.sent]
            for name in targets
            if (limit := self._limits.get(name)) is not None
        ]
        peer_port.broadcast(self._ports.peers, METHOD_CHANGED, rows, audience)

    def _handle_changes(self, peer: str, payload: typing.Any) -> None:
        for name, rate, version, sent in payload:
            is_new = name not in self._limits
            self._apply(name, rate, version)
            limit = self._limits.get(name)
            if limit is None:
                continue
            # Earlier sends of the peer do not count: a new bucket is empty.
            before = limit.peers_sent.get(peer, sent if is_new else 0)
            limit.peers_sent[peer] = sent
            # The count of a peer that has restarted begins anew.
            self._take(limit, sent - before if sent >= before else sent)

    def _apply(self, target: str, rate: float | None, version: int) -> None:
        """Apply a statement unless a later one is known.

        Of two that hosts received at the same time, the lower limit counts.
        """
        limit = self._limits.get(target)
        if limit is None:
            if rate is None or len(self._limits) >= MAX_TARGETS:
                return
            limit = self._limits[target] = _Limit()
            self._wake.set()
        if version < limit.version or limit.rate == rate:
            limit.version = max(limit.version, version)
            return
        if version == limit.version and _order(rate) > _order(limit.rate):
            return
        if limit.rate is not None:
            self._refill(limit, limit.rate)
        else:
            limit.bucket = policy.Bucket(0.0, anyio.current_time())
        limit.rate = rate
        limit.version = version
        limit.changed_at = anyio.current_time()
        events.log(
            events.TARGET_LIMITED,
            host=self._host,
            target=target,
            rate=rate,
            version=version,
        )

    def _refill(self, limit: _Limit, rate: float) -> float:
        """Refill a bucket, and return the rate that this host may use."""
        now = anyio.current_time()
        if now - self._share_at >= SHARE_SECONDS:
            self._share_at = now
            self._share = policy.share(
                self._host,
                self._ports.members(),
                self._ports.heard(),
            )
        usable = policy.effective_rate(rate, self._share)
        limit.bucket = policy.refill(limit.bucket, usable, now)
        return usable

    def _take(self, limit: _Limit, sends: int) -> None:
        limit.sends += sends
        if limit.rate is not None:
            self._refill(limit, limit.rate)
        limit.bucket = policy.take(limit.bucket, sends)

    def _drop_old(self, now: float) -> None:
        """Drop targets that are not listed, and limits that have ended."""
        for name, limit in list(self._limits.items()):
            if name not in self._ports.board.targets or (
                limit.rate is None and now - limit.changed_at > ENDED_SECONDS
            ):
                del self._limits[name]


def _order(rate: float | None) -> float:
    return math.inf if rate is None else rate
