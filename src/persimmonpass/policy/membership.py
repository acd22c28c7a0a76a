"""Keeps a host's view of the fleet from beats, probes and gossip.

Of two rows of a host the one of the higher incarnation is newer, then that
of the higher generation, then that of the later state. A host that learns
that others suspect it raises its generation, which overrules them.
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
# Hosts that start together each know some of the others; gossip alone takes
# several seconds, in which each asks the store for what peers could tell.
YOUNG_SECONDS = 3.0
YOUNG_SYNC_SECONDS = 0.4

STATES = ('starting', 'alive', 'suspect', 'leaving', 'dead')

Member = blackboard.Member


class Heartbeat(typing.NamedTuple):
    """Contents of a heartbeat and of its answer.

    :ivar row: the sender's own row
    :ivar rows: rows of others that changed lately
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
    """Return what orders the rows of one host; the newest is highest."""
    return row.incarnation, row.generation, STATES.index(row.state)


def row_digest(row: Member) -> int:
    """Return a row's part of a view's digest; dead hosts have none."""
    if row.state == 'dead':
        return 0
    text = f'{row.host}\0{row.incarnation}\0{row.generation}\0{row.state}'
    return xxhash.xxh64_intdigest(text.encode())


class View:
    """The rows of all hosts as one host knows them.

    :ivar me: this host's row
    """

    def __init__(self, me: Member, seed: int) -> None:
        self.me = me
        self._rows = {me.host: me}
        self._random = random.Random(seed)  # noqa: S311
        self._since: dict[str, float] = {}
        self._fresh: dict[str, int] = {}
        self._ended: dict[str, set[str]] = {}
        self._links: set[str] | None = None
        self._turn: list[str] = []
        self._ticks = 0
        self._changed_at = 0.0
        self._synced_at = 0.0
        self._began_at: float | None = None
        self._buckets = [0] * SYNC_BUCKETS
        self._count(me)

    @property
    def digest(self) -> int:
        """Digest of the view; equal views have the same one."""
        mixed = 0
        for part in self._buckets:
            mixed ^= part
        return mixed

    @property
    def buckets(self) -> list[int]:
        """Digests of the view's parts."""
        return list(self._buckets)

    def rows(self) -> list[Member]:
        """Return all rows."""
        return list(self._rows.values())

    def get(self, host: str) -> Member | None:
        """Return the row of a host."""
        return self._rows.get(host)

    def is_ended(self, host: str, run: str) -> bool:
        """Return whether a run of a host is dead or was followed by another.

        A run that this host never knew may be a newer one than it knows.
        """
        row = self._rows.get(host)
        if row is not None and row.run == run:
            return row.state == 'dead'
        return run in self._ended.get(host, ())

    def links(self) -> set[str]:
        """Return the hosts to which this one keeps links."""
        if self._links is None:
            zones = {
                row.host: row.availability_zone
                for row in self._rows.values()
                if row.state != 'dead'
            }
            self._links = relay.links(self.me.host, zones)
        return self._links

    def set_me(self, me: Member, now: float) -> None:
        """Change this host's own row."""
        self.me = me
        self._put(me, now)

    def merge(self, row: Member, now: float) -> Member | None:
        """Take a row if it is newer than the known one.

        :returns: the row that changed, this host's own if it was overruled
        """
        if row.host == self.me.host:
            return self._overrule(row, now)
        known = self._rows.get(row.host)
        if known is None and row.state == 'dead':
            return None
        if known is not None and version_key(row) <= version_key(known):
            return None
        self._put(row, now)
        return row

    def clear_gossip(self) -> None:
        """Take the present rows as known to all."""
        self._fresh.clear()

    def make_heartbeat(self, load: int, config_digest: int = 0) -> Heartbeat:
        """Return the next heartbeat with the least spread rows."""
        hosts = sorted(self._fresh, key=lambda host: -self._fresh[host])
        chosen = hosts[:GOSSIP_ROWS]
        for host in chosen:
            self._fresh[host] -= 1
            if not self._fresh[host]:
                del self._fresh[host]
        rows = [self._rows[host] for host in chosen]
        return Heartbeat(self.me, rows, self.digest, load, config_digest)

    def handle_heartbeat(self, beat: Heartbeat, now: float) -> list[Member]:
        """Take a heartbeat or its answer.

        :returns: the rows that changed
        """
        merged = [self.merge(row, now) for row in [beat.row, *beat.rows]]
        known = self._rows.get(beat.row.host)
        if known is not None and version_key(known) > version_key(beat.row):
            # The sender does not know what is said of it, or began anew.
            self._spread(known.host)
        return [row for row in merged if row is not None]

    def heartbeat_peers(self) -> list[str]:
        """Return the hosts to beat at this tick."""
        self._ticks += 1
        links = self.links()
        chosen: list[str] = []
        while len(chosen) < min(HEARTBEATS_PER_TICK, len(links)):
            if not self._turn:
                self._turn = sorted(links)
                self._random.shuffle(self._turn)
            host = self._turn.pop()
            if host in links and host not in chosen:
                chosen.append(host)
        if self._ticks % DEAD_RETRY_TICKS == 0:
            dead = [row.host for row in self.rows() if row.state == 'dead']
            if dead:
                chosen.append(self._random.choice(sorted(dead)))
        return chosen

    def choose_probers(self, host: str) -> list[str]:
        """Return the hosts to ask whether a host answers them."""
        asked = [
            row.host
            for row in self._rows.values()
            if row.state == 'alive' and row.host not in (host, self.me.host)
        ]
        return self._random.sample(sorted(asked), min(PROBES, len(asked)))

    def mark_suspect(self, seen: Member, now: float) -> Member | None:
        """Say that a host answered neither this one nor others.

        :param seen: its row when it was asked
        :returns: the row that changed
        """
        if self._rows.get(seen.host) != seen or seen.state == 'dead':
            return None
        if seen.state == 'leaving':
            return self._become(seen, 'dead', now)
        return self._become(seen, 'suspect', now)

    def expire_suspects(self, now: float) -> list[Member]:
        """Return the hosts that have been suspect for too long, as dead."""
        return [
            self._become(row, 'dead', now)
            for row in self.rows()
            if row.state == 'suspect'
            and now - self._since[row.host] >= SUSPECT_SECONDS
        ]

    def exclude_pause(self, paused_seconds: float) -> None:
        """Do not count a time during which this host stood still."""
        for host in self._since:
            self._since[host] += paused_seconds

    def dead_for(self, seconds: float, now: float) -> list[Member]:
        """Return the hosts that have been dead for some time."""
        return [
            row
            for row in self._rows.values()
            if row.state == 'dead' and now - self._since[row.host] >= seconds
        ]

    def forget(self, host: str) -> None:
        """Drop the row of a dead host."""
        self._rows.pop(host, None)
        self._since.pop(host, None)
        self._fresh.pop(host, None)
        self._ended.pop(host, None)

    def should_sync(self, digest: int, now: float) -> bool:
        """Return whether to compare views, as gossip did not suffice."""
        if digest == self.digest:
            return False
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at < YOUNG_SECONDS:
            due = self._synced_at + YOUNG_SYNC_SECONDS
        else:
            due = max(self._changed_at, self._synced_at) + SYNC_AFTER_SECONDS
        if now < due:
            return False
        self._synced_at = now
        return True

    def differing(
        self, buckets: collections.abc.Sequence[int]
    ) -> list[Member]:
        """Return the rows of the parts in which another view differs."""
        return [
            row
            for row in self._rows.values()
            if buckets[_bucket(row.host)] != self._buckets[_bucket(row.host)]
        ]

    def _overrule(self, row: Member, now: float) -> Member | None:
        """Raise the generation above what others say of this host."""
        if version_key(row) < version_key(self.me) or row == self.me:
            return None
        self.set_me(
            self.me._replace(
                incarnation=row.incarnation, generation=row.generation + 1
            ),
            now,
        )
        return self.me

    def _become(self, row: Member, state: str, now: float) -> Member:
        changed = row._replace(state=state)
        self._put(changed, now)
        return changed

    def _put(self, row: Member, now: float) -> None:
        known = self._rows.get(row.host)
        if known is not None:
            self._count(known)
            if known.run != row.run:
                self._ended.setdefault(row.host, set()).add(known.run)
        self._count(row)
        self._rows[row.host] = row
        self._since[row.host] = now
        self._changed_at = now
        if known is None or 'dead' in (known.state, row.state):
            self._links = None
        self._spread(row.host)

    def _spread(self, host: str) -> None:
        if host == self.me.host:
            return
        sends = GOSSIP_FACTOR * math.ceil(math.log2(len(self._rows) + 1))
        self._fresh[host] = sends

    def _count(self, row: Member) -> None:
        self._buckets[_bucket(row.host)] ^= row_digest(row)


def _bucket(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode()) % SYNC_BUCKETS
