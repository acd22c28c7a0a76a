"""Maintains one host's view of the fleet's membership.

The view is updated from heartbeats, probes and gossip. Rows of the same host
are ordered by incarnation, then by generation, then by state; the highest is
the newest. A host that learns that others suspect it refutes this by raising
its generation.
"""

import collections.abc
import math
import random
import typing

import xxhash

from persimmonpass import blackboard
from persimmonpass.policy import relay

TICK_SECONDS = 0.5
HEARTBEATS_PER_TICK = 2
HEARTBEAT_TIMEOUT_SECONDS = 1.0
PROBES = 3
SUSPECT_SECONDS = 2.0
DEAD_RETRY_TICKS = 4
REMOVE_SECONDS = 3600.0
FORGET_SECONDS = 3900.0
GOSSIP_ROWS = 8
GOSSIP_FACTOR = 3
SYNC_BUCKETS = 16
SYNC_AFTER_SECONDS = 5.0
# Hosts that start together each know only some of the others. Gossip alone
# would take several seconds to complete their views, and until then each host
# would read from the store what its peers could send.
STARTUP_SECONDS = 3.0
STARTUP_SYNC_SECONDS = 0.4

STATES = ('starting', 'alive', 'suspect', 'leaving', 'dead')

Member = blackboard.Member


class Heartbeat(typing.NamedTuple):
    """Payload of a heartbeat and of its response.

    :ivar row: row of the sender
    :ivar rows: recently changed rows of other hosts
    :ivar digest: digest of the sender's view
    :ivar load: requests in progress at the sender
    :ivar config_digest: digest of the configuration in force at the sender
    """

    row: Member
    rows: list[Member]
    digest: int
    load: int
    config_digest: int


def version_key(row: Member) -> tuple[int, int, int]:
    """Return the sort key of the rows of one host; the newest is highest."""
    return row.incarnation, row.generation, STATES.index(row.state)


def row_digest(row: Member) -> int:
    """Return the digest of one row, or 0 for a dead host."""
    if row.state == 'dead':
        return 0
    text = f'{row.host}\0{row.incarnation}\0{row.generation}\0{row.state}'
    return xxhash.xxh64_intdigest(text.encode())


class View:
    """Membership rows of all hosts as known to one host.

    :ivar me: row of this host
    """

    def __init__(self, me: Member, seed: int) -> None:
        """Create a view that contains this host only.

        :param me: row of this host
        :param seed: seed of the order in which peers are chosen
        """
        self.me = me
        self._rows = {me.host: me}
        self._random = random.Random(seed)  # noqa: S311
        self._state_since: dict[str, float] = {}
        self._remaining_sends: dict[str, int] = {}
        self._ended_runs: dict[str, set[str]] = {}
        self._links: set[str] | None = None
        self._heartbeat_queue: list[str] = []
        self._ticks = 0
        self._changed_at = 0.0
        self._synced_at = 0.0
        self._started_at: float | None = None
        self._buckets = [0] * SYNC_BUCKETS
        self._update_digest(me)

    @property
    def digest(self) -> int:
        """Digest of the view; equal views have equal digests."""
        mixed = 0
        for part in self._buckets:
            mixed ^= part
        return mixed

    @property
    def buckets(self) -> list[int]:
        """Digests of the buckets into which hosts are hashed."""
        return list(self._buckets)

    def rows(self) -> list[Member]:
        """Return all rows."""
        return list(self._rows.values())

    def get(self, host: str) -> Member | None:
        """Return the row of a host, or ``None`` if it is unknown."""
        return self._rows.get(host)

    def is_ended(self, host: str, run: str) -> bool:
        """Return whether a run of a host is dead or was superseded.

        An unknown run counts as not ended, as it may be newer than the known
        one.

        :param run: id of one run of the host's process
        """
        row = self._rows.get(host)
        if row is not None and row.run == run:
            return row.state == 'dead'
        return run in self._ended_runs.get(host, ())

    def links(self) -> set[str]:
        """Return the peers to which this host keeps links."""
        if self._links is None:
            zones = {
                row.host: row.availability_zone
                for row in self._rows.values()
                # A host that ends tells its last links that it is dead.
                if row.state != 'dead' or row.host == self.me.host
            }
            self._links = relay.links(self.me.host, zones)
        return self._links

    def set_me(self, me: Member, now: float) -> None:
        """Replace this host's own row."""
        self.me = me
        self._put(me, now)

    def merge(self, row: Member, now: float) -> Member | None:
        """Apply a row if it is newer than the known one.

        :param now: local clock in seconds
        :returns: the row that changed, which is this host's own row if it
            had to refute what was reported, or ``None``
        """
        if row.host == self.me.host:
            return self._refute(row, now)
        known = self._rows.get(row.host)
        if known is None and row.state == 'dead':
            return None
        if known is not None and version_key(row) <= version_key(known):
            return None
        self._put(row, now)
        return row

    def clear_gossip(self) -> None:
        """Treat all present rows as already known to all hosts."""
        self._remaining_sends.clear()

    def make_heartbeat(self, load: int, config_digest: int = 0) -> Heartbeat:
        """Return a heartbeat with the rows that were sent least often.

        :param load: requests in progress at this host
        :param config_digest: digest of the configuration in force here
        """
        hosts = sorted(
            self._remaining_sends,
            key=lambda host: -self._remaining_sends[host],
        )
        chosen = hosts[:GOSSIP_ROWS]
        for host in chosen:
            self._remaining_sends[host] -= 1
            if not self._remaining_sends[host]:
                del self._remaining_sends[host]
        rows = [self._rows[host] for host in chosen]
        return Heartbeat(self.me, rows, self.digest, load, config_digest)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> list[Member]:
        """Apply a heartbeat or its response.

        :param now: local clock in seconds
        :returns: the rows that changed
        """
        merged = [
            self.merge(row, now) for row in [heartbeat.row, *heartbeat.rows]
        ]
        known = self._rows.get(heartbeat.row.host)
        if known is not None and version_key(known) > version_key(
            heartbeat.row
        ):
            # The sender has restarted or does not know its reported state.
            self._schedule_gossip(known.host)
        return [row for row in merged if row is not None]

    def heartbeat_peers(self, count: int = HEARTBEATS_PER_TICK) -> list[str]:
        """Return the hosts to send heartbeats to at this tick.

        Linked hosts take turns in random order. Every few ticks a dead host
        is added, so that its return is noticed.

        :param count: number of linked hosts
        """
        self._ticks += 1
        links = self.links()
        chosen: list[str] = []
        while len(chosen) < min(count, len(links)):
            if not self._heartbeat_queue:
                self._heartbeat_queue = sorted(links)
                self._random.shuffle(self._heartbeat_queue)
            host = self._heartbeat_queue.pop()
            if host in links and host not in chosen:
                chosen.append(host)
        if self._ticks % DEAD_RETRY_TICKS == 0:
            dead = [row.host for row in self.rows() if row.state == 'dead']
            if dead:
                chosen.append(self._random.choice(sorted(dead)))
        return chosen

    def choose_probers(self, host: str) -> list[str]:
        """Return random alive hosts to probe a host on behalf of this one."""
        alive = [
            row.host
            for row in self._rows.values()
            if row.state == 'alive' and row.host not in (host, self.me.host)
        ]
        return self._random.sample(sorted(alive), min(PROBES, len(alive)))

    def mark_suspect(self, seen: Member, now: float) -> Member | None:
        """Mark a host as suspect that answered neither this host nor probers.

        A leaving host is marked as dead at once. Nothing changes if the row
        of the host has changed since the heartbeat was sent.

        :param seen: row of the host when the heartbeat was sent
        :param now: local clock in seconds
        :returns: the row that changed, or ``None``
        """
        if self._rows.get(seen.host) != seen or seen.state == 'dead':
            return None
        if seen.state == 'leaving':
            return self._change_state(seen, 'dead', now)
        return self._change_state(seen, 'suspect', now)

    def expire_suspects(self, now: float) -> list[Member]:
        """Mark hosts as dead that have been suspect for too long.

        :param now: local clock in seconds
        :returns: the rows that changed
        """
        return [
            self._change_state(row, 'dead', now)
            for row in self.rows()
            if row.state == 'suspect'
            and now - self._state_since[row.host] >= SUSPECT_SECONDS
        ]

    def exclude_pause(self, paused_seconds: float) -> None:
        """Exclude a pause of this host's process from the age of all states.

        :param paused_seconds: duration of the pause
        """
        for host in self._state_since:
            self._state_since[host] += paused_seconds

    def dead_for(self, seconds: float, now: float) -> list[Member]:
        """Return the rows of hosts that have been dead for some time.

        :param seconds: minimum time since the host was marked as dead
        :param now: local clock in seconds
        """
        return [
            row
            for row in self._rows.values()
            if row.state == 'dead'
            and now - self._state_since[row.host] >= seconds
        ]

    def seconds_in_state(self, host: str, now: float) -> float:
        """Return the time since the row of a host changed.

        :param now: local clock in seconds
        """
        return now - self._state_since.get(host, now)

    def forget(self, host: str) -> None:
        """Remove a dead host from the view."""
        self._rows.pop(host, None)
        self._state_since.pop(host, None)
        self._remaining_sends.pop(host, None)
        self._ended_runs.pop(host, None)

    def should_sync(self, digest: int, now: float) -> bool:
        """Return whether to compare views with a peer bucket by bucket.

        This is needed where gossip has not made the views equal in time.
        Must be called once per received digest, as it keeps the time of the
        last comparison.

        :param digest: digest of the peer's view
        :param now: local clock in seconds
        """
        if digest == self.digest:
            return False
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < STARTUP_SECONDS:
            due = self._synced_at + STARTUP_SYNC_SECONDS
        else:
            due = max(self._changed_at, self._synced_at) + SYNC_AFTER_SECONDS
        if now < due:
            return False
        self._synced_at = now
        return True

    def differing(
        self, buckets: collections.abc.Sequence[int]
    ) -> list[Member]:
        """Return the rows in buckets that differ from those of a peer.

        :param buckets: digests of the peer's buckets
        """
        return [
            row
            for row in self._rows.values()
            if buckets[_bucket(row.host)] != self._buckets[_bucket(row.host)]
        ]

    def _refute(self, row: Member, now: float) -> Member | None:
        """Raise this host's generation above the reported one."""
        if version_key(row) < version_key(self.me) or row == self.me:
            return None
        self.set_me(
            self.me._replace(
                incarnation=row.incarnation, generation=row.generation + 1
            ),
            now,
        )
        return self.me

    def _change_state(self, row: Member, state: str, now: float) -> Member:
        changed = row._replace(state=state)
        self._put(changed, now)
        return changed

    def _put(self, row: Member, now: float) -> None:
        known = self._rows.get(row.host)
        if known is not None:
            self._update_digest(known)
            if known.run != row.run:
                self._ended_runs.setdefault(row.host, set()).add(known.run)
        self._update_digest(row)
        self._rows[row.host] = row
        self._state_since[row.host] = now
        self._changed_at = now
        if known is None or 'dead' in (known.state, row.state):
            self._links = None
        self._schedule_gossip(row.host)

    def _schedule_gossip(self, host: str) -> None:
        if host == self.me.host:
            return
        sends = GOSSIP_FACTOR * math.ceil(math.log2(len(self._rows) + 1))
        self._remaining_sends[host] = sends

    def _update_digest(self, row: Member) -> None:
        self._buckets[_bucket(row.host)] ^= row_digest(row)


def _bucket(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode()) % SYNC_BUCKETS
