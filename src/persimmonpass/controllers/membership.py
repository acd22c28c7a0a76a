"""Keeps the table of hosts by heartbeats, probes and gossip."""

import collections.abc
import typing

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import registration
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import membership as policy
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass import verdicts

METHOD_BEAT = 'membership.beat'
METHOD_PROBE = 'membership.probe'
METHOD_SYNC = 'membership.sync'
METHOD_LEAVING = 'membership.leaving'
RETRY_SECONDS = 1.0
LIST_SECONDS = 30.0
LISTERS = 3
STALL_SECONDS = 1.0
DEPART_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 2.0

LIVE_STATES = ('alive', 'suspect')

Follow = collections.abc.Callable[
    [collections.abc.Mapping[str, str], collections.abc.Collection[str]], None
]
Answer = result.Result[typing.Any, verdicts.Failure]


class MembershipPorts(typing.NamedTuple):
    """What membership works with.

    :ivar update_links: addresses by host, and the hosts to keep links to
    :ivar load: requests in progress on this host
    :ivar config_digest: digest of the configuration in force
    :ivar compare_config: takes a host and the digest of its configuration
    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar seeds: ``ip:port`` of hosts to ask for the others while the store
        does not answer
    """

    store: store.StorePort
    peers: peer_port.PeerPort
    update_links: Follow
    calls: budget.Budget
    load: collections.abc.Callable[[], int]
    config_digest: collections.abc.Callable[[], int]
    compare_config: collections.abc.Callable[[str, int], None]
    entry_ttl_seconds: float
    seeds: tuple[str, ...] = ()


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
        self._registration = registration.Registration(
            me.host, ports.store, lambda: self.me, self._set_incarnation
        )
        board.members.put(me.host, me)

    @property
    def me(self) -> blackboard.Member:
        """This host's row."""
        return self._view.me

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_BEAT: self._take_beat,
            METHOD_PROBE: self._probe_for,
            METHOD_SYNC: self._give_rows,
            METHOD_LEAVING: self._take_leaving,
        }

    async def run(self) -> None:
        """Register this host, then beat and judge the others for ever."""
        self._publish([self.me])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._registration.run)
            tasks.start_soon(self._find_members)
            tasks.start_soon(self._ask_seeds)
            tasks.start_soon(self._forget_dead)
            while True:
                began = anyio.current_time()
                self._tick(tasks, began)
                await anyio.sleep(policy.TICK_SECONDS)
                late = anyio.current_time() - began - policy.TICK_SECONDS
                if late > STALL_SECONDS:
                    self._view.exclude_pause(late)
                    self._registration.renew()

    def live_hosts(self) -> list[str]:
        """Return the hosts that may own ledgers and targets."""
        return [
            member.host
            for member in self._board.members.rows()
            if member.state in LIVE_STATES
        ]

    def is_ended(self, host: str, run: str) -> bool:
        """Return whether a run of a host has ended, as far as known."""
        return self._view.is_ended(host, run)

    def other_hosts(self) -> list[str]:
        """Return the other hosts that are not dead."""
        return [
            row.host
            for row in self._view.rows()
            if row.state != 'dead' and row.host != self._host
        ]

    def mark_alive(self) -> None:
        """Let this host be given out to callers."""
        if self.me.state == 'starting':
            self._set_me(self.me._replace(state='alive'))

    def leave(self) -> bool:
        """Take this host out of the entry answers and out of ownership.

        :returns: whether it was ever given out
        """
        given_out = self.me.state != 'starting'
        me = self.me._replace(
            state='leaving', generation=self.me.generation + 1
        )
        self._set_me(me)
        return given_out

    async def confirm_leaving(self, host: str) -> float | None:
        """Ask a peer to stop giving out this host's address.

        :returns: for how long its callers keep an answer, in seconds, if it
            has known this host as leaving since the present generation;
            otherwise ``None``
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
        """Tell the peers and the store that this host has ended."""
        self._set_me(self.me._replace(state='dead'))
        with anyio.move_on_after(DEPART_SECONDS):
            async with anyio.create_task_group() as tasks:
                for host in self._view.links():
                    tasks.start_soon(self._call_beat, host)
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
        for host in self._view.heartbeat_peers():
            tasks.start_soon(self._beat, host)

    def _publish(
        self, rows: collections.abc.Iterable[blackboard.Member]
    ) -> None:
        """Put changed rows on the blackboard and follow them with links."""
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
            addresses = {
                row.host: row.peer_address
                for row in self._view.rows()
                if row.host != self._host
            }
            for seed in self._ports.seeds:
                addresses[seed] = seed
            self._ports.update_links(addresses, self._view.links())
            self._ports.calls.set_hosts(len(self.other_hosts()) + 1)

    async def _beat(self, host: str) -> None:
        """Beat a host; one that does not answer is asked through others."""
        seen = self._view.get(host)
        began = anyio.current_time()
        answered = await self._call_beat(host)
        if isinstance(answered, result.Ok):
            await self._heard(host, decode_beat(answered.ok_value))
            return
        if seen is None or seen.state not in ('alive', 'leaving'):
            return
        if await self._reached_by_others(host):
            return
        limit = policy.HEARTBEAT_TIMEOUT_SECONDS + PROBE_TIMEOUT_SECONDS
        now = anyio.current_time()
        if now - began > limit + STALL_SECONDS:
            # It was this process that stood still.
            return
        changed = self._view.mark_suspect(seen, now)
        if changed is not None:
            self._publish([changed])

    async def _call_beat(self, host: str) -> Answer:
        return await self._peers.call(
            host,
            METHOD_BEAT,
            self._make_beat(),
            policy.HEARTBEAT_TIMEOUT_SECONDS,
        )

    def _make_beat(self) -> list[typing.Any]:
        beat = self._view.make_heartbeat(
            self._ports.load(), self._ports.config_digest()
        )
        return encode_beat(beat)

    def _note(self, host: str, beat: policy.Heartbeat) -> None:
        """Take what a beat or its answer says."""
        self._board.host_loads.put(host, beat.load)
        self._ports.compare_config(host, beat.config_digest)
        self._publish(self._view.handle_heartbeat(beat, anyio.current_time()))

    async def _heard(self, host: str, beat: policy.Heartbeat) -> None:
        self._note(host, beat)
        if not self._view.should_sync(beat.digest, anyio.current_time()):
            return
        answered = await self._peers.call(
            host, METHOD_SYNC, self._view.buckets
        )
        if isinstance(answered, result.Ok):
            self._learn(map(decode_row, answered.ok_value))

    def _learn(
        self, rows: collections.abc.Iterable[blackboard.Member]
    ) -> None:
        now = anyio.current_time()
        merged = [self._view.merge(row, now) for row in rows]
        self._publish(row for row in merged if row is not None)

    async def _reached_by_others(self, host: str) -> bool:
        """Ask other hosts whether a host answers them."""
        reached = False

        async def ask(prober: str) -> None:
            nonlocal reached
            answered = await self._peers.call(
                prober, METHOD_PROBE, host, PROBE_TIMEOUT_SECONDS
            )
            if isinstance(answered, result.Ok) and answered.ok_value:
                reached = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for prober in self._view.choose_probers(host):
                tasks.start_soon(ask, prober)
        return reached

    async def _take_beat(self, peer: str, payload: typing.Any) -> Answer:
        self._note(peer, decode_beat(payload))
        return result.Ok(self._make_beat())

    async def _probe_for(self, peer: str, payload: typing.Any) -> Answer:
        answered = await self._call_beat(str(payload))
        return result.Ok(isinstance(answered, result.Ok))

    async def _give_rows(self, peer: str, payload: typing.Any) -> Answer:
        rows = self._view.differing(payload)
        return result.Ok([list(row) for row in rows])

    async def _take_leaving(self, peer: str, payload: typing.Any) -> Answer:
        """Stop giving out a host; say what is in force from now on."""
        row = decode_row(payload)
        self._learn([row])
        known = self._board.members.get(row.host) or row
        return result.Ok([list(known), self._ports.entry_ttl_seconds])

    async def _find_members(self) -> None:
        """Read the registered hosts: at the start, alone, or as a lister."""
        await self._registration.done.wait()
        listed = False
        while True:
            if not listed or self._is_alone() or self._is_lister():
                found = await self._port.list(registration.PREFIX)
                if isinstance(found, result.Ok):
                    listed = True
                    self._learn(map(registration.decode, found.ok_value))
            soon = not listed or self._is_alone()
            await anyio.sleep(RETRY_SECONDS if soon else LIST_SECONDS)

    async def _ask_seeds(self) -> None:
        """Find a first peer without the store."""
        while self._ports.seeds and self._is_alone():
            for seed in self._ports.seeds:
                answered = await self._call_beat(seed)
                if isinstance(answered, result.Ok):
                    beat = decode_beat(answered.ok_value)
                    self._note(beat.row.host, beat)
            await anyio.sleep(RETRY_SECONDS)

    def _is_alone(self) -> bool:
        return not self.other_hosts()

    def _is_lister(self) -> bool:
        ranked = shards.ranked(registration.PREFIX, self.live_hosts())
        return self._host in ranked[:LISTERS]

    async def _forget_dead(self) -> None:
        """Remove the objects of hosts that have been dead for long.

        One host removes the object, and only at the version of the dead
        incarnation: a host that registered again keeps it. The rows are
        dropped later, so that no list brings them back.
        """
        while True:
            await anyio.sleep(LIST_SECONDS)
            now = anyio.current_time()
            for row in self._view.dead_for(policy.REMOVE_SECONDS, now):
                key = registration.PREFIX + row.host
                owner = shards.owner(key, self.live_hosts())
                if owner == self._host and row != self._removed.get(row.host):
                    deleted = await self._port.delete(key, row.incarnation)
                    if not store_failed(deleted):
                        self._removed[row.host] = row
            for row in self._view.dead_for(policy.FORGET_SECONDS, now):
                self._view.forget(row.host)
                self._removed.pop(row.host, None)
                self._board.members.remove(row.host)
                self._board.host_loads.remove(row.host)


def store_failed(deleted: result.Result[None, verdicts.Failure]) -> bool:
    """Return whether a conditional removal has to be repeated."""
    if isinstance(deleted, result.Ok):
        return False
    return deleted.err_value.event != events.STORE_CONFLICT


def encode_beat(beat: policy.Heartbeat) -> list[typing.Any]:
    """Return the wire form of a heartbeat."""
    rows = [list(row) for row in beat.rows]
    return [list(beat.row), rows, *beat[2:]]


def decode_beat(payload: typing.Any) -> policy.Heartbeat:
    """Read the wire form of a heartbeat.

    :raises TypeError: if it is none
    """
    row, rows, *numbers = payload
    return policy.Heartbeat(
        decode_row(row), [decode_row(other) for other in rows], *numbers
    )


def decode_row(payload: typing.Any) -> blackboard.Member:
    """Read a row; fields that a newer release added are left out."""
    return blackboard.Member(*payload[: len(blackboard.Member._fields)])
