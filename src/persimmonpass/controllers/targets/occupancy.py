"""Counts the requests in progress at each target, from this host and peers.

Each host notifies its peers of changes as they happen: a host that knew only
its own requests could not place them well.
"""

import collections
import collections.abc
import typing

import anyio

from persimmonpass.peers import port as peer_port

METHOD_OCCUPANCY = 'occupancy.changed'
METHOD_SUBSCRIBE = 'occupancy.subscribe'
# Changes within this time are sent together. A request takes about a hundred
# times as long.
COALESCE_SECONDS = 0.004
# Interval of full reports, which make up for changes lost with a link.
REPEAT_SECONDS = 0.5
# Hosts outside the audience serve only the few callers that still use an old
# entry answer. They get full reports for this time after they have asked for
# them, but not each change, as the whole audience would send it.
SUBSCRIPTION_SECONDS = 1.0
SUBSCRIBE_INTERVAL_SECONDS = 0.9
FORGET_SECONDS = 3.0
# A peer without two consecutive full reports is paused or disconnected.
SILENCE_SECONDS = 1.2


class Counts(typing.NamedTuple):
    """Numbers of requests in progress at a target.

    :ivar online: online requests
    :ivar batch: batch items
    """

    online: int = 0
    batch: int = 0


class Waiting(typing.NamedTuple):
    """Numbers of online requests for a service that wait for a slot.

    :ivar total: all waiting requests
    :ivar on_time: waiting requests that can still meet their objective
    """

    total: int = 0
    on_time: int = 0


class Occupancy:
    """Numbers of online requests and batch items in progress by target.

    :ivar changed: callbacks that are called after each change of any count
    """

    def __init__(
        self,
        peers: peer_port.PeerPort,
        audience: peer_port.Audience = peer_port.all_hosts,
        host: str = '',
    ) -> None:
        """Create counts with nothing in progress.

        :param audience: hosts that are notified of changes; the others are
            notified while they serve requests
        :param host: name of this host; if it is outside the audience and
            nothing runs here, it reports nothing
        """
        self._host = host
        self._audience = audience
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._peers = peers
        self._online: collections.Counter[str] = collections.Counter()
        self._batch: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, dict[str, Counts]] = {}
        # Sums over all peers, as every change reads the sums of each target.
        self._peers_online: collections.Counter[str] = collections.Counter()
        self._peers_batch: collections.Counter[str] = collections.Counter()
        self._received_at: dict[str, float] = {}
        self._waiting: dict[str, Waiting] = {}
        self._reported_waiting: dict[str, dict[str, Waiting]] = {}
        self._changed_targets: set[str] = set()
        self._wake = anyio.Event()
        self._subscribed_until: dict[str, float] = {}
        self._subscribed_at = -SUBSCRIBE_INTERVAL_SECONDS

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers."""
        return {
            METHOD_OCCUPANCY: peer_port.NoticeHandler(self._handle_changes),
            METHOD_SUBSCRIBE: peer_port.NoticeHandler(self._handle_subscribe),
        }

    def counts_at(self, target: str) -> Counts:
        """Return the requests of all hosts at a target."""
        return Counts(
            self._online[target] + self._peers_online[target],
            self._batch[target] + self._peers_batch[target],
        )

    def recent_peers(self) -> set[str]:
        """Return the peers that have sent a report recently."""
        since = anyio.current_time() - SILENCE_SECONDS
        return {
            peer
            for peer, received_at in self._received_at.items()
            if received_at > since
        }

    @property
    def total_waiting(self) -> int:
        """Online requests of all hosts that wait for a slot."""
        hosts = [self._waiting, *self._reported_waiting.values()]
        return sum(row.total for rows in hosts for row in rows.values())

    def waiting(self, service: str) -> Waiting:
        """Return the waiting requests of all hosts for a service."""
        own = self._waiting.get(service, Waiting())
        peers = self.waiting_at_peers(service)
        return Waiting(own.total + peers.total, own.on_time + peers.on_time)

    def waiting_at_peers(self, service: str) -> Waiting:
        """Return the waiting requests of all peers for a service."""
        rows = [
            services[service]
            for services in self._reported_waiting.values()
            if service in services
        ]
        return Waiting(
            sum(row.total for row in rows), sum(row.on_time for row in rows)
        )

    def set_waiting(self, waiting: dict[str, Waiting]) -> None:
        """Set the waiting requests of this host by service."""
        if waiting != self._waiting:
            self._waiting = waiting
            self._mark_changed('')

    def add_online(self, target: str, change: int) -> None:
        """Count online requests that started or ended.

        :param target: name of the target
        :param change: 1 for a start, -1 for an end
        """
        self._online[target] += change
        if not self._online[target]:
            del self._online[target]
        self._mark_changed(target)

    def add_batch(self, target: str, change: int) -> None:
        """Count batch items that started or ended.

        :param target: name of the target
        :param change: 1 for a start, -1 for an end
        """
        self._batch[target] += change
        if not self._batch[target]:
            del self._batch[target]
        self._mark_changed(target)

    def _mark_changed(self, target: str) -> None:
        self._changed_targets.add(target)
        self._subscribe()
        self._wake.set()
        self._call_listeners()

    def _call_listeners(self) -> None:
        for callback in self.changed:
            callback()

    async def run(self) -> None:
        """Notify peers of changes until cancelled."""
        repeated_at = anyio.current_time()
        while True:
            with anyio.move_on_after(REPEAT_SECONDS):
                await self._wake.wait()
                await anyio.sleep(COALESCE_SECONDS)
            self._wake = anyio.Event()
            now = anyio.current_time()
            is_full = now - repeated_at >= REPEAT_SECONDS
            if is_full:
                repeated_at = now
                self._drop_silent(now)
            self._broadcast_changes(is_full)

    def _broadcast_changes(self, is_full: bool) -> None:
        """Send the counts of this host to peers.

        :param is_full: whether to send all counts or only the changed ones
        """
        changed, self._changed_targets = self._changed_targets, set()
        names = set(self._online) | set(self._batch) if is_full else changed
        audience = self._audience()
        is_inside = peer_port.includes(audience, self._host)
        is_idle = not (names or changed or self._waiting)
        if is_idle and not (is_full and is_inside):
            return
        if audience is not None and is_full:
            audience = {*audience, *self._subscribed_until}
        peer_port.broadcast(
            self._peers,
            METHOD_OCCUPANCY,
            self._make_report(is_full, names),
            audience,
        )

    def _make_report(
        self, is_full: bool, names: collections.abc.Collection[str]
    ) -> list[typing.Any]:
        rows = {
            name: [self._online[name], self._batch[name]]
            for name in names
            if name
        }
        waiting = {name: list(row) for name, row in self._waiting.items()}
        return [is_full, rows, waiting]

    def _subscribe(self) -> None:
        """Ask for the peers' reports while this host serves requests."""
        audience = self._audience()
        now = anyio.current_time()
        is_due = now - self._subscribed_at >= SUBSCRIBE_INTERVAL_SECONDS
        if is_due and not peer_port.includes(audience, self._host):
            self._subscribed_at = now
            peer_port.broadcast(self._peers, METHOD_SUBSCRIBE, [], audience)

    def _handle_subscribe(self, peer: str, payload: typing.Any) -> None:
        """Send a full report to a peer now, and repeat it for some time."""
        self._subscribed_until[peer] = (
            anyio.current_time() + SUBSCRIPTION_SECONDS
        )
        names = set(self._online) | set(self._batch)
        report = self._make_report(True, names)
        self._peers.notify(peer, METHOD_OCCUPANCY, report)

    def _drop_silent(self, now: float) -> None:
        """Drop peers that have not reported or subscribed for a while."""
        self._subscribed_until = {
            peer: until
            for peer, until in self._subscribed_until.items()
            if until > now
        }
        for peer, received_at in list(self._received_at.items()):
            if now - received_at > FORGET_SECONDS:
                self.forget(peer)

    def forget(self, peer: str) -> None:
        """Drop the counts of a peer that has ended."""
        self._received_at.pop(peer, None)
        self._reported_waiting.pop(peer, None)
        reported = self._reported.pop(peer, {})
        for name in reported:
            self._replace(reported, name, Counts())
        if reported:
            self._call_listeners()

    def _replace(
        self, reported: dict[str, Counts], name: str, counts: Counts
    ) -> None:
        """Replace the reported counts of a peer at a target."""
        before = reported.get(name, Counts())
        reported[name] = counts
        self._peers_online[name] += counts.online - before.online
        self._peers_batch[name] += counts.batch - before.batch

    def _handle_changes(self, peer: str, payload: typing.Any) -> None:
        is_full, rows, waiting = payload
        self._received_at[peer] = anyio.current_time()
        self._reported_waiting[peer] = {
            name: Waiting(*row) for name, row in waiting.items()
        }
        reported = self._reported.setdefault(peer, {})
        if is_full:
            for name in set(reported) - set(rows):
                self._replace(reported, name, Counts())
                del reported[name]
        for name, (online, batch) in rows.items():
            self._replace(reported, name, Counts(online, batch))
        self._call_listeners()
