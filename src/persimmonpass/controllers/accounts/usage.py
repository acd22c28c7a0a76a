"""Counts the requests of each client account on all hosts.

Each host notifies the core of what its accounts have sent, running and
waiting. Counts are cumulative and repeated, so that a later notice makes up
for a lost one. Nothing is sent while the configuration has no accounts.
"""

import collections
import collections.abc
import random
import typing

import anyio

from persimmonpass import accounts
from persimmonpass import blackboard
from persimmonpass.controllers.fleet import catalog
from persimmonpass.peers import port as peer_port

METHOD_USED = 'accounts.used'
METHOD_SUBSCRIBE = 'accounts.subscribe'
# Changes within this time are sent together.
CHANGE_SECONDS = 0.05
# Changes of the same moment are sent together even after a quiet time.
COALESCE_SECONDS = 0.004
REPEAT_SECONDS = 0.5
# A core host without changes sends an empty notice after this time, so that
# one lost notice does not make it silent.
HEARTBEAT_SECONDS = 0.3
# A host outside the core repeats its counts for this time after a change.
USED_SECONDS = 5.0
# A peer that is silent for longer does not count as heard, and its sends
# until it is heard again are covered by the share of the rate that is its own.
SILENCE_SECONDS = 0.7
# Running and waiting requests of a peer are dropped after this silence.
FORGET_SECONDS = 3.0
SUBSCRIPTION_SECONDS = 1.0
SUBSCRIBE_INTERVAL_SECONDS = 0.9
# Counts of sends that are kept after their account was removed, because it may
# be added again. Without its count it would seem to take back all its sends.
MAX_NAMES = 2_000
MAX_PEERS = 500
RUN_BITS = 32


class UsagePorts(typing.NamedTuple):
    """Dependencies of :class:`AccountUsage`.

    :ivar core: returns the hosts that serve nearly all callers
    :ivar audience: returns the hosts that are notified of each change
    """

    board: blackboard.Blackboard
    peers: peer_port.PeerPort
    core: collections.abc.Callable[[], collections.abc.Collection[str]]
    audience: peer_port.Audience


class _Counts(typing.NamedTuple):
    """What an account has at one host.

    :ivar sent: requests that count towards its limit, since the host's start
    """

    sent: int = 0
    running: int = 0
    waiting: int = 0


class _Peer:
    """What a peer has reported.

    :ivar run: number of the peer's run; it differs after a restart
    :ivar is_whole: whether the run was heard from its start, so that an
        account without a count had sent nothing
    :ivar is_behind: whether it has sent no full report since a silence;
        sends that this report names first are of the time before
    :ivar was_silent: whether the same run was heard before that silence
    :ivar sent: the last count of sends of each account
    :ivar counts: accounts with running or waiting requests
    """

    def __init__(self, run: int) -> None:
        self.run = run
        self.is_whole = False
        self.is_behind = True
        self.was_silent = False
        self.heard_at = float('-inf')
        self.sent: dict[str, int] = {}
        self.counts: dict[str, _Counts] = {}


class AccountUsage:
    """Requests of each account that were sent, run and wait on all hosts.

    :ivar changed: callbacks that are called after a change of any count of
        running or waiting requests
    :ivar peer_sent: callbacks that are called with an account and the number
        of its requests that a peer has sent in addition; negative if the peer
        has taken some back
    """

    def __init__(self, host: str, ports: UsagePorts) -> None:
        self._host = host
        self._ports = ports
        self.changed: list[collections.abc.Callable[[], None]] = []
        self.peer_sent: list[collections.abc.Callable[[str, int], None]] = []
        # Tells peers that the counts begin anew.
        self._run = random.getrandbits(RUN_BITS)
        self._sent: collections.Counter[str] = collections.Counter()
        self._running: collections.Counter[str] = collections.Counter()
        self._waiting: dict[str, int] = {}
        self._used_at: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        # Sums over all peers, as each placement reads those of all accounts.
        self._peers_running: collections.Counter[str] = collections.Counter()
        self._peers_waiting: collections.Counter[str] = collections.Counter()
        self._changed_names: set[str] = set()
        self._wake = anyio.Event()
        self._subscribed_until: dict[str, float] = {}
        self._subscribed_at = float('-inf')

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {
            METHOD_USED: peer_port.NoticeHandler(self._handle_used),
            METHOD_SUBSCRIBE: peer_port.NoticeHandler(self._handle_subscribe),
        }

    @property
    def table(self) -> accounts.Accounts | None:
        """The accounts of the configuration, ``None`` if it has none."""
        known = self._ports.board.routes.get(catalog.ROUTES_KEY)
        return known.client_accounts if known is not None else None

    def sent(self, name: str) -> int:
        """Return the requests of an account that this host has sent."""
        return self._sent[name]

    def running(self, name: str) -> int:
        """Return the requests of an account that run on all hosts."""
        return self._running[name] + self._peers_running[name]

    def waiting(self, name: str) -> int:
        """Return the requests of an account that wait on all hosts."""
        return self._waiting.get(name, 0) + self._peers_waiting[name]

    def accounts(self) -> set[str]:
        """Return the accounts with running or waiting requests anywhere."""
        return {
            *self._running,
            *self._waiting,
            *self._peers_running,
            *self._peers_waiting,
        }

    def heard(self) -> set[str]:
        """Return the peers whose notices have arrived lately."""
        since = anyio.current_time() - SILENCE_SECONDS
        return {
            name for name, peer in self._peers.items() if peer.heard_at > since
        }

    def add_sent(self, name: str, change: int) -> None:
        """Count requests of this host towards the limit of their account.

        :param change: 1 for a send, -1 for one that is taken back
        """
        self._sent[name] += change
        if len(self._sent) > MAX_NAMES:
            self._drop_removed(self._sent)
        self._mark_changed(name)

    def started(self, name: str) -> None:
        """Count a request of an account that begins to run at a target."""
        self._add_running(name, 1)

    def ended(self, name: str) -> None:
        """Count the end of a request for which :meth:`started` was called."""
        self._add_running(name, -1)

    def set_waiting(self, waiting: dict[str, int]) -> None:
        """Set the waiting requests of this host by account."""
        found = {name: count for name, count in waiting.items() if count}
        if found == self._waiting:
            return
        before, self._waiting = self._waiting, found
        for name in before.keys() | found.keys():
            if before.get(name) != found.get(name):
                self._mark_changed(name)
        self._call_listeners()

    def _add_running(self, name: str, change: int) -> None:
        _add(self._running, name, change)
        self._mark_changed(name)
        self._call_listeners()

    def _mark_changed(self, name: str) -> None:
        self._used_at[name] = anyio.current_time()
        self._changed_names.add(name)
        self._subscribe()
        self._wake.set()

    def _call_listeners(self) -> None:
        for callback in self.changed:
            callback()

    def _drop_removed(self, counts: dict[str, int]) -> None:
        """Drop counts of accounts that the configuration does not have."""
        known = self.table
        for name in list(counts):
            if known is None or name not in known.by_name:
                del counts[name]

    async def run(self) -> None:
        """Notify peers of changes until cancelled."""
        repeated_at = notified_at = anyio.current_time()
        while True:
            if self.table is None:
                await self.wait_for_accounts()
            repeat_at = repeated_at + REPEAT_SECONDS
            until = min(repeat_at, notified_at + HEARTBEAT_SECONDS)
            with anyio.CancelScope(deadline=until):
                await self._wake.wait()
                soonest = notified_at + CHANGE_SECONDS
                wait = soonest - anyio.current_time()
                await anyio.sleep(max(COALESCE_SECONDS, wait))
            self._wake = anyio.Event()
            notified_at = now = anyio.current_time()
            is_full = now >= repeat_at
            if is_full:
                repeated_at = now
                self._drop_old(now)
            self._notify(is_full)

    async def wait_for_accounts(self) -> None:
        """Wait until the configuration has accounts."""
        board = self._ports.board
        version = board.routes.version
        while self.table is None:
            version = await board.routes.wait(version)

    def _notify(self, is_full: bool) -> None:
        """Send the counts of this host to peers.

        A core host also sends empty notices, because peers use less of each
        rate while they do not hear it.

        :param is_full: whether to send all counts or only the changed ones
        """
        changed, self._changed_names = self._changed_names, set()
        in_use = self._used_at if is_full else changed
        if not in_use and self._host not in self._ports.core():
            return
        names = self._all_names() if is_full else changed
        audience = self._ports.audience()
        if audience is not None and is_full:
            audience = {*audience, *self._subscribed_until}
        peer_port.broadcast(
            self._ports.peers,
            METHOD_USED,
            self._make_report(is_full, names),
            audience,
        )

    def _all_names(self) -> set[str]:
        """Return all accounts with counts; peers take others as unused."""
        return self._used_at.keys() | self._sent.keys()

    def _make_report(
        self, is_full: bool, names: collections.abc.Collection[str]
    ) -> list[typing.Any]:
        rows = {
            name: [
                self._sent[name],
                self._running[name],
                self._waiting.get(name, 0),
            ]
            for name in names
        }
        return [is_full, rows, self._run]

    def _drop_old(self, now: float) -> None:
        """Drop what was not used, heard or subscribed to for a while."""
        for name, used_at in list(self._used_at.items()):
            is_busy = name in self._running or name in self._waiting
            if not is_busy and now - used_at > USED_SECONDS:
                del self._used_at[name]
        self._subscribed_until = {
            peer: until
            for peer, until in self._subscribed_until.items()
            if until > now
        }
        for name, peer in self._peers.items():
            if now - peer.heard_at > FORGET_SECONDS:
                self.forget(name)

    def forget(self, peer: str) -> None:
        """Drop the running and waiting requests of a peer that has ended."""
        known = self._peers.get(peer)
        if known is None or not known.counts:
            return
        for name in list(known.counts):
            self._replace(known, name, _Counts())
        self._call_listeners()

    def _replace(self, peer: _Peer, name: str, counts: _Counts) -> None:
        """Replace the running and waiting requests that a peer reported."""
        before = peer.counts.pop(name, _Counts())
        if counts.running or counts.waiting:
            peer.counts[name] = counts
        _add(self._peers_running, name, counts.running - before.running)
        _add(self._peers_waiting, name, counts.waiting - before.waiting)

    def _subscribe(self) -> None:
        """Ask for the peers' counts while this host serves accounts."""
        audience = self._ports.audience()
        now = anyio.current_time()
        is_due = now - self._subscribed_at >= SUBSCRIBE_INTERVAL_SECONDS
        if is_due and not peer_port.includes(audience, self._host):
            self._subscribed_at = now
            peer_port.broadcast(
                self._ports.peers, METHOD_SUBSCRIBE, [], audience
            )

    def _handle_subscribe(self, peer: str, payload: typing.Any) -> None:
        """Send all counts to a peer now, and repeat them for some time."""
        if self.table is None:
            return
        self._subscribed_until[peer] = (
            anyio.current_time() + SUBSCRIPTION_SECONDS
        )
        report = self._make_report(True, self._all_names())
        self._ports.peers.notify(peer, METHOD_USED, report)

    def _handle_used(self, peer: str, payload: typing.Any) -> None:
        is_full, rows, run = payload
        table = self.table
        if table is None:
            return
        now = anyio.current_time()
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = self._add_peer(run)
        # Sends of a core host in a silence are covered by its share of the
        # rate, and those before its first notice by the level at the start.
        is_core = peer in self._ports.core()
        if is_core and now - known.heard_at > SILENCE_SECONDS:
            known.is_behind, known.is_whole, known.sent = True, False, {}
            known.was_silent = known.heard_at > 0 and known.run == run
        if known.run != run:
            known.is_whole, known.sent = not known.is_behind, {}
            known.run = run
        known.heard_at = now
        found = {
            name: _Counts(*rows[name])
            for name in rows
            if name in table.by_name
        }
        self._apply_sent(known, found, is_full=is_full)
        if is_full:
            known.is_behind, known.is_whole = False, True
            for name in known.counts.keys() - found.keys():
                self._replace(known, name, _Counts())
        for name, counts in found.items():
            self._replace(known, name, counts)
        self._call_listeners()

    def _add_peer(self, run: int) -> _Peer:
        if len(self._peers) >= MAX_PEERS:
            oldest = min(
                self._peers, key=lambda name: self._peers[name].heard_at
            )
            self.forget(oldest)
            del self._peers[oldest]
        return _Peer(run)

    def _apply_sent(
        self, peer: _Peer, found: dict[str, _Counts], *, is_full: bool
    ) -> None:
        """Apply what a peer has sent."""
        for name, counts in found.items():
            before = peer.sent.get(name, 0)
            if name not in peer.sent and not peer.is_whole:
                # Its earlier sends are unknown; those in progress are recent.
                recent = counts.running + counts.waiting
                before = max(0, counts.sent - recent)
                if peer.is_behind and (is_full or peer.was_silent):
                    before = counts.sent
            peer.sent[name] = counts.sent
            change = counts.sent - before
            if change:
                for callback in self.peer_sent:
                    callback(name, change)
        if len(peer.sent) > MAX_NAMES:
            self._drop_removed(peer.sent)


def _add(counts: collections.Counter[str], name: str, change: int) -> None:
    """Add to a count; counts of zero are removed."""
    counts[name] += change
    if not counts[name]:
        del counts[name]
