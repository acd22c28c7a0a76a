"""Keeps the table of member hosts up to date.

Hosts send each other heartbeats, which also carry changed rows (gossip). A
host that does not answer is probed through other hosts before it is suspected.
New hosts find the others through their registrations in the store or through
seed peers.
"""

import collections.abc
import typing

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.fleet import registration
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import membership as policy
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass import verdicts

METHOD_HEARTBEAT = 'membership.beat'
METHOD_PROBE = 'membership.probe'
METHOD_SYNC = 'membership.sync'
METHOD_LEAVING = 'membership.leaving'
RETRY_SECONDS = 1.0
LIST_INTERVAL_SECONDS = 30.0
LISTING_HOSTS = 3
MIN_STALL_SECONDS = 1.0
DEREGISTER_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 2.0
# Changes of members within this time are followed by one update of the links.
# When a fleet starts, each host learns of all others in quick succession.
LINK_UPDATE_DELAY_SECONDS = 0.05

LIVE_STATES = ('alive', 'suspect')

UpdateLinks = collections.abc.Callable[
    [collections.abc.Mapping[str, str], collections.abc.Collection[str]], None
]
Answer = result.Result[typing.Any, verdicts.Failure]


class MembershipPorts(typing.NamedTuple):
    """Dependencies of the membership controller.

    :ivar store: calls to the store
    :ivar peers: calls to the other hosts
    :ivar update_links: takes the peer addresses by host and the hosts to which
        links stay open
    :ivar calls: budget of store calls, which depends on the number of hosts
    :ivar load: returns the number of requests in progress on this host
    :ivar config_digest: returns the digest of the configuration in force
    :ivar compare_config: takes a host and the digest of its configuration
    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar seeds: ``ip:port`` of hosts from which to learn of the others while
        the store does not answer
    :ivar heartbeats_per_tick: returns the number of hosts to send heartbeats
        to at each tick
    """

    store: store.StorePort
    peers: peer_port.PeerPort
    update_links: UpdateLinks
    calls: budget.Budget
    load: collections.abc.Callable[[], int]
    config_digest: collections.abc.Callable[[], int]
    compare_config: collections.abc.Callable[[str, int], None]
    entry_ttl_seconds: float
    seeds: tuple[str, ...] = ()
    heartbeats_per_tick: collections.abc.Callable[[], int] = lambda: (
        policy.HEARTBEATS_PER_TICK
    )


class Membership:
    """The membership controller of one daemon."""

    def __init__(
        self,
        me: blackboard.Member,
        board: blackboard.Blackboard,
        ports: MembershipPorts,
    ) -> None:
        self._board = board
        self._ports = ports
        self._port = ports.store
        self._peers = ports.peers
        self._host = me.host
        self._view = policy.View(me, shards.score('draws', me.host))
        self._removed: dict[str, blackboard.Member] = {}
        self._links_outdated = anyio.Event()
        self._has_listed = False
        self._registration = registration.Registration(
            me.host, ports.store, lambda: self.me, self._set_incarnation
        )
        board.members.put(me.host, me)

    @property
    def me(self) -> blackboard.Member:
        """This host's row."""
        return self._view.me

    @property
    def has_listed(self) -> bool:
        """Whether the registered hosts have been read from the store."""
        return self._has_listed

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {
            METHOD_HEARTBEAT: self._handle_heartbeat,
            METHOD_PROBE: self._handle_probe,
            METHOD_SYNC: self._handle_sync,
            METHOD_LEAVING: self._handle_leaving,
        }

    async def run(self) -> None:
        """Register this host, then monitor the others until cancelled."""
        self._publish([self.me])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._registration.run)
            tasks.start_soon(self._find_members)
            tasks.start_soon(self._contact_seeds)
            tasks.start_soon(self._remove_dead)
            tasks.start_soon(self._keep_links)
            while True:
                began = anyio.current_time()
                self._tick(tasks, began)
                await anyio.sleep(policy.TICK_SECONDS)
                delay_seconds = (
                    anyio.current_time() - began - policy.TICK_SECONDS
                )
                if delay_seconds > MIN_STALL_SECONDS:
                    self._view.exclude_pause(delay_seconds)
                    self._registration.renew()

    def live_hosts(self) -> list[str]:
        """Return the hosts that may own ledgers and coordinate targets."""
        return [
            member.host
            for member in self._board.members.rows()
            if member.state in LIVE_STATES
        ]

    def is_ended(self, host: str, run: str) -> bool:
        """Return whether a run of a host is known to have ended.

        :param host: the host's id
        :param run: id of the run
        """
        return self._view.is_ended(host, run)

    def other_hosts(self) -> list[str]:
        """Return the other hosts that are not dead."""
        return [
            row.host
            for row in self._view.rows()
            if row.state != 'dead' and row.host != self._host
        ]

    def lost_within(self, seconds: float) -> list[str]:
        """Return the hosts that were marked as dead within some time."""
        now = anyio.current_time()
        long_dead = {row.host for row in self._view.dead_for(seconds, now)}
        return [
            row.host
            for row in self._view.rows()
            if row.state == 'dead' and row.host not in long_dead
        ]

    def seconds_in_state(self, host: str) -> float:
        """Return the time since a host was seen to enter its state."""
        return self._view.seconds_in_state(host, anyio.current_time())

    def mark_alive(self) -> None:
        """Mark this host as alive, which adds it to the entry answers."""
        if self.me.state == 'starting':
            self._set_me(self.me._replace(state='alive'))

    def leave(self) -> bool:
        """Remove this host from the entry answers and from ownership.

        :returns: whether its address was ever in an entry answer
        """
        was_published = self.me.state != 'starting'
        me = self.me._replace(
            state='leaving', generation=self.me.generation + 1
        )
        self._set_me(me)
        return was_published

    async def confirm_leaving(self, host: str) -> float | None:
        """Ask a peer to drop this host's address from its entry answers.

        :param host: id of the peer
        :returns: how long callers may keep the peer's entry answers, in
            seconds, or ``None`` if the peer did not answer or does not know
            this host as leaving in its present generation
        """
        me = self.me
        answered = await self._peers.call(host, METHOD_LEAVING, list(me))
        if isinstance(answered, result.Err):
            return None
        row, ttl = answered.ok_value
        known = decode_row(row)
        if known.state not in ('leaving', 'dead'):
            return None
        return (
            float(ttl)
            if policy.version_key(known) >= policy.version_key(me)
            else None
        )

    async def deregister(self) -> None:
        """Notify peers that this host has ended and remove its registration.

        Stops waiting after :data:`DEREGISTER_TIMEOUT_SECONDS`.
        """
        self._set_me(self.me._replace(state='dead'))
        with anyio.move_on_after(DEREGISTER_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for host in self._view.links():
                    tasks.start_soon(self._call_heartbeat, host)
                tasks.start_soon(self._registration.remove)

    def _set_incarnation(self, incarnation: int) -> None:
        if incarnation > self.me.incarnation:
            self._set_me(self.me._replace(incarnation=incarnation))

    def _set_me(self, me: blackboard.Member) -> None:
        self._view.set_me(me, anyio.current_time())
        self._publish([me])

    def _tick(self, tasks: anyio.abc.TaskGroup, now: float) -> None:
        self._board.host_loads.put(self._host, self._ports.load())
        self._publish(self._view.expire_suspects(now))
        count = self._ports.heartbeats_per_tick()
        for host in self._view.heartbeat_peers(count):
            tasks.start_soon(self._send_heartbeat, host)

    def _publish(
        self, rows: collections.abc.Iterable[blackboard.Member]
    ) -> None:
        """Put changed rows on the blackboard and update the links."""
        changed = False
        for row in rows:
            changed = True
            known = self._board.members.get(row.host)
            if known is None or known.state != row.state:
                events.log(
                    events.MEMBER_CHANGED,
                    host=self._host,
                    member=row.host,
                    state=row.state,
                )
            if row.host == self._host and known and known.state == 'dead':
                self._registration.renew()
            self._board.members.put(row.host, row)
        if changed:
            self._links_outdated.set()

    async def _keep_links(self) -> None:
        """Update the links after changes of members until cancelled."""
        while True:
            await self._links_outdated.wait()
            self._links_outdated = anyio.Event()
            self._update_links()
            await anyio.sleep(LINK_UPDATE_DELAY_SECONDS)

    def _update_links(self) -> None:
        addresses = {
            row.host: row.peer_address
            for row in self._view.rows()
            if row.host != self._host
        }
        for seed in self._ports.seeds:
            addresses[seed] = seed
        self._ports.update_links(addresses, self._view.links())
        self._ports.calls.set_hosts(len(self.other_hosts()) + 1)

    async def _send_heartbeat(self, host: str) -> None:
        """Send a heartbeat; if it is not answered, probe through others.

        A host that answers neither becomes suspect.
        """
        seen = self._view.get(host)
        began = anyio.current_time()
        answered = await self._call_heartbeat(host)
        if isinstance(answered, result.Ok):
            await self._handle_answer(
                host, decode_heartbeat(answered.ok_value)
            )
            return
        if seen is None or seen.state not in ('alive', 'leaving'):
            return
        if await self._is_reachable_by_others(host):
            return
        limit = policy.HEARTBEAT_TIMEOUT_SECONDS + PROBE_TIMEOUT_SECONDS
        now = anyio.current_time()
        if now - began > limit + MIN_STALL_SECONDS:
            # This process was stalled, so the missing answer proves nothing.
            return
        changed = self._view.mark_suspect(seen, now)
        if changed is not None:
            self._publish([changed])

    async def _call_heartbeat(self, host: str) -> Answer:
        return await self._peers.call(
            host,
            METHOD_HEARTBEAT,
            self._make_heartbeat(),
            policy.HEARTBEAT_TIMEOUT_SECONDS,
        )

    def _make_heartbeat(self) -> list[typing.Any]:
        heartbeat = self._view.make_heartbeat(
            self._ports.load(), self._ports.config_digest()
        )
        return encode_heartbeat(heartbeat)

    def _apply_heartbeat(self, host: str, heartbeat: policy.Heartbeat) -> None:
        """Apply the contents of a heartbeat or of its answer."""
        self._board.host_loads.put(host, heartbeat.load)
        self._ports.compare_config(host, heartbeat.config_digest)
        self._publish(
            self._view.handle_heartbeat(heartbeat, anyio.current_time())
        )

    async def _handle_answer(
        self, host: str, heartbeat: policy.Heartbeat
    ) -> None:
        self._apply_heartbeat(host, heartbeat)
        if not self._view.should_sync(heartbeat.digest, anyio.current_time()):
            return
        answered = await self._peers.call(
            host, METHOD_SYNC, self._view.buckets
        )
        if isinstance(answered, result.Ok):
            self._merge_rows(map(decode_row, answered.ok_value))

    def _merge_rows(
        self, rows: collections.abc.Iterable[blackboard.Member]
    ) -> None:
        now = anyio.current_time()
        merged = [self._view.merge(row, now) for row in rows]
        self._publish(row for row in merged if row is not None)

    async def _is_reachable_by_others(self, host: str) -> bool:
        """Return whether a host answers any of the hosts that probe it."""
        is_reachable = False

        async def ask(prober: str) -> None:
            nonlocal is_reachable
            answered = await self._peers.call(
                prober, METHOD_PROBE, host, PROBE_TIMEOUT_SECONDS
            )
            if isinstance(answered, result.Ok) and answered.ok_value:
                is_reachable = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for prober in self._view.choose_probers(host):
                tasks.start_soon(ask, prober)
        return is_reachable

    async def _handle_heartbeat(
        self, peer: str, payload: typing.Any
    ) -> Answer:
        self._apply_heartbeat(peer, decode_heartbeat(payload))
        return result.Ok(self._make_heartbeat())

    async def _handle_probe(self, peer: str, payload: typing.Any) -> Answer:
        answered = await self._call_heartbeat(str(payload))
        return result.Ok(isinstance(answered, result.Ok))

    async def _handle_sync(self, peer: str, payload: typing.Any) -> Answer:
        rows = self._view.differing(payload)
        return result.Ok([list(row) for row in rows])

    async def _handle_leaving(self, peer: str, payload: typing.Any) -> Answer:
        """Drop a host from the entry answers; return its row and the TTL."""
        row = decode_row(payload)
        self._merge_rows([row])
        known = self._board.members.get(row.host) or row
        return result.Ok([list(known), self._ports.entry_ttl_seconds])

    async def _find_members(self) -> None:
        """Read the registered hosts from the store and merge them.

        A host does so at its start and while it knows no other host. A few
        hosts do so all the time.
        """
        await self._registration.done.wait()
        while True:
            is_needed = not self._has_listed or self._is_alone()
            if is_needed or self._is_listing_host():
                found = await self._port.list(registration.PREFIX)
                if isinstance(found, result.Ok):
                    self._has_listed = True
                    self._merge_rows(map(registration.decode, found.ok_value))
            should_retry = not self._has_listed or self._is_alone()
            await anyio.sleep(
                RETRY_SECONDS if should_retry else LIST_INTERVAL_SECONDS
            )

    async def _contact_seeds(self) -> None:
        """Find a first peer through the seeds, without the store."""
        while self._ports.seeds and self._is_alone():
            for seed in self._ports.seeds:
                answered = await self._call_heartbeat(seed)
                if isinstance(answered, result.Ok):
                    heartbeat = decode_heartbeat(answered.ok_value)
                    self._apply_heartbeat(heartbeat.row.host, heartbeat)
            await anyio.sleep(RETRY_SECONDS)

    def _is_alone(self) -> bool:
        return not self.other_hosts()

    def _is_listing_host(self) -> bool:
        ranked = shards.ranked(registration.PREFIX, self.live_hosts())
        return self._host in ranked[:LISTING_HOSTS]

    async def _remove_dead(self) -> None:
        """Remove the registrations and rows of hosts that are long dead.

        Only one host removes a registration, and only at the version of the
        dead incarnation, so that a host that registered again keeps its own.
        Rows are dropped later, so that a list call does not restore them.
        """
        while True:
            await anyio.sleep(LIST_INTERVAL_SECONDS)
            now = anyio.current_time()
            for row in self._view.dead_for(policy.REMOVE_SECONDS, now):
                key = registration.PREFIX + row.host
                owner = shards.owner(key, self.live_hosts())
                if owner == self._host and row != self._removed.get(row.host):
                    deleted = await self._port.delete(key, row.incarnation)
                    if not should_retry_delete(deleted):
                        self._removed[row.host] = row
            for row in self._view.dead_for(policy.FORGET_SECONDS, now):
                self._view.forget(row.host)
                self._removed.pop(row.host, None)
                self._board.members.remove(row.host)
                self._board.host_loads.remove(row.host)


def should_retry_delete(
    deleted: result.Result[None, verdicts.Failure],
) -> bool:
    """Return whether a conditional delete has to be retried.

    A conflict is final: the object has a newer version.
    """
    if isinstance(deleted, result.Ok):
        return False
    return deleted.err_value.event != events.STORE_CONFLICT


def encode_heartbeat(heartbeat: policy.Heartbeat) -> list[typing.Any]:
    """Return the wire form of a heartbeat."""
    rows = [list(row) for row in heartbeat.rows]
    return [list(heartbeat.row), rows, *heartbeat[2:]]


def decode_heartbeat(payload: typing.Any) -> policy.Heartbeat:
    """Decode the wire form of a heartbeat.

    :raises TypeError: if the payload is not a heartbeat
    """
    row, rows, *numbers = payload
    return policy.Heartbeat(
        decode_row(row), [decode_row(other) for other in rows], *numbers
    )


def decode_row(payload: typing.Any) -> blackboard.Member:
    """Decode a row; fields that a newer release added are ignored."""
    return blackboard.Member(*payload[: len(blackboard.Member._fields)])
