"""Counts what runs at each target, of this host and of its peers.

Each host tells its peers of changes as they happen: a host that sees a part
of the sends only can not place its own well.
"""

import collections
import collections.abc
import typing

import anyio

from persimmonpass.peers import port as peer_port

METHOD_OCCUPANCY = 'occupancy.changed'
# Changes within this time travel together; a request takes a hundred times
# as long.
GATHER_SECONDS = 0.004
# Everything is told again so often, which mends what a lost link missed.
REPEAT_SECONDS = 0.5
# Hosts outside the audience hear of every fourth repeat only: they serve the
# few callers that come to them by an old entry answer.
FAR_REPEATS = 4
FORGET_SECONDS = 3.0
# A host that missed two repeats stands still or is cut off.
SILENCE_SECONDS = 1.2


class Counts(typing.NamedTuple):
    """What runs at a target."""

    online: int = 0
    batch: int = 0


class Waiting(typing.NamedTuple):
    """Online requests for a service that wait for a place.

    :ivar on_time: those of them that can still meet their objective
    """

    total: int = 0
    on_time: int = 0


class Occupancy:
    """Requests and items in progress by target.

    :ivar changed: called after each change of any count
    """

    def __init__(
        self,
        peers: peer_port.PeerPort,
        audience: peer_port.Audience = peer_port.all_hosts,
        host: str = '',
    ) -> None:
        """Start with nothing in progress.

        :param audience: hosts that hear of changes at once; the others hear
            the whole every two seconds
        :param host: this one; outside the audience it repeats itself as
            seldom while nothing runs here
        """
        self._host = host
        self._audience = audience
        self.changed: list[collections.abc.Callable[[], None]] = []
        self._peers = peers
        self._online: collections.Counter[str] = collections.Counter()
        self._batch: collections.Counter[str] = collections.Counter()
        self._told: dict[str, dict[str, Counts]] = {}
        # Sums over peers: there are reads for each target at each change.
        self._peers_online: collections.Counter[str] = collections.Counter()
        self._peers_batch: collections.Counter[str] = collections.Counter()
        self._heard: dict[str, float] = {}
        self._waiting: dict[str, Waiting] = {}
        self._told_waiting: dict[str, dict[str, Waiting]] = {}
        self._dirty: set[str] = set()
        self._wake = anyio.Event()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_OCCUPANCY: peer_port.Notice(self._take)}

    def counts_at(self, target: str) -> Counts:
        """Return what runs at a target, of all hosts."""
        return Counts(
            self._online[target] + self._peers_online[target],
            self._batch[target] + self._peers_batch[target],
        )

    def recent_peers(self) -> set[str]:
        """Return the peers that told anything lately."""
        since = anyio.current_time() - SILENCE_SECONDS
        return {
            peer
            for peer, counts_at in self._heard.items()
            if counts_at > since
        }

    @property
    def total_waiting(self) -> int:
        """Online requests that wait for a place, of all hosts."""
        rows = [self._waiting, *self._told_waiting.values()]
        return sum(one.total for row in rows for one in row.values())

    def waiting(self, service: str) -> Waiting:
        """Return what waits for a service, of all hosts."""
        own = self._waiting.get(service, Waiting())
        peers = self.waiting_at_peers(service)
        return Waiting(own.total + peers.total, own.on_time + peers.on_time)

    def waiting_at_peers(self, service: str) -> Waiting:
        """Return what waits for a service at peers."""
        rows = [
            row[service]
            for row in self._told_waiting.values()
            if service in row
        ]
        return Waiting(
            sum(one.total for one in rows), sum(one.on_time for one in rows)
        )

    def set_waiting(self, waiting: dict[str, Waiting]) -> None:
        """Set how many of this host's requests wait, by service."""
        if waiting != self._waiting:
            self._waiting = waiting
            self._touch('')

    def add_online(self, target: str, change: int) -> None:
        """Count requests that began (1) or ended (-1)."""
        self._online[target] += change
        if not self._online[target]:
            del self._online[target]
        self._touch(target)

    def add_batch(self, target: str, change: int) -> None:
        """Count items that began (1) or ended (-1)."""
        self._batch[target] += change
        if not self._batch[target]:
            del self._batch[target]
        self._touch(target)

    def _touch(self, target: str) -> None:
        self._dirty.add(target)
        self._wake.set()
        self._notify()

    def _notify(self) -> None:
        for callback in self.changed:
            callback()

    async def run(self) -> None:
        """Tell peers of changes for ever."""
        repeated_at = anyio.current_time()
        repeats = 0
        while True:
            with anyio.move_on_after(REPEAT_SECONDS):
                await self._wake.wait()
                await anyio.sleep(GATHER_SECONDS)
            self._wake = anyio.Event()
            now = anyio.current_time()
            whole = now - repeated_at >= REPEAT_SECONDS
            if whole:
                repeated_at = now
                repeats += 1
                self._forget(now)
            self._tell(whole, whole and repeats % FAR_REPEATS == 0)

    def _tell(self, whole: bool, far: bool) -> None:
        """Tell what runs here.

        :param whole: whether all of it or what has changed
        :param far: whether hosts outside the audience are told too
        """
        names = set(self._online) | set(self._batch) if whole else self._dirty
        rows = {
            name: [self._online[name], self._batch[name]]
            for name in names
            if name
        }
        self._dirty = set()
        waiting = {name: list(one) for name, one in self._waiting.items()}
        payload = [whole, rows, waiting]
        audience = self._audience()
        outside = not peer_port.includes(audience, self._host)
        if whole and outside and not (far or rows or waiting):
            return
        peer_port.broadcast(
            self._peers, METHOD_OCCUPANCY, payload, None if far else audience
        )

    def _forget(self, now: float) -> None:
        """Drop the counts of peers that are silent."""
        for peer, counts_at in list(self._heard.items()):
            if now - counts_at > FORGET_SECONDS:
                self.forget(peer)

    def forget(self, peer: str) -> None:
        """Drop the counts of a peer that has ended."""
        self._heard.pop(peer, None)
        self._told_waiting.pop(peer, None)
        told = self._told.pop(peer, {})
        for name in told:
            self._replace(told, name, Counts())
        if told:
            self._notify()

    def _replace(
        self, told: dict[str, Counts], name: str, counts: Counts
    ) -> None:
        """Put what a peer runs at a target in the place of what it ran."""
        before = told.get(name, Counts())
        told[name] = counts
        self._peers_online[name] += counts.online - before.online
        self._peers_batch[name] += counts.batch - before.batch

    def _take(self, peer: str, payload: typing.Any) -> None:
        whole, rows, waiting = payload
        self._heard[peer] = anyio.current_time()
        self._told_waiting[peer] = {
            name: Waiting(*one) for name, one in waiting.items()
        }
        told = self._told.setdefault(peer, {})
        if whole:
            for name in set(told) - set(rows):
                self._replace(told, name, Counts())
                del told[name]
        for name, (online, batch) in rows.items():
            self._replace(told, name, Counts(online, batch))
        self._notify()
