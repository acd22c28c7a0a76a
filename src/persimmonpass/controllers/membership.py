"""Keeps the table of hosts by heartbeats between peers."""

import typing

import anyio
import cbor2
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass import events
from persimmonpass.peers import link
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import membership
from persimmonpass import store
from persimmonpass import verdicts

PREFIX = 'members/'
METHOD_BEAT = 'membership.beat'
METHOD_LEAVING = 'membership.leaving'
BEAT_SECONDS = 0.5
LIST_SECONDS = 10.0
LIST_SECONDS_ALONE = 1.0


class Membership:
    """The membership controller of one daemon.

    :ivar me: this host's row
    """

    def __init__(
        self,
        me: blackboard.Member,
        board: blackboard.Blackboard,
        port: store.StorePort,
        peers: link.Peers,
        calls: budget.Budget,
    ) -> None:
        self.me = me
        self._board = board
        self._port = port
        self._peers = peers
        self._calls = calls
        self._heard: dict[str, float] = {}
        board.members.put(me.host, me)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_BEAT: self._take_beat,
            METHOD_LEAVING: self._take_beat,
        }

    async def run(self) -> None:
        """Register this host, then beat and watch the others for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._register)
            tasks.start_soon(self._find_members)
            while True:
                self._beat()
                self._judge()
                await anyio.sleep(BEAT_SECONDS)

    def live_hosts(self) -> list[str]:
        """Return the hosts that may own ledgers and targets."""
        return [
            member.host
            for member in self._board.members.rows()
            if member.state in ('alive', 'suspect')
        ]

    def leave(self) -> None:
        """Take this host out of the entry answers and out of ownership."""
        self._set_me(
            self.me._replace(
                state='leaving', generation=self.me.generation + 1
            )
        )

    async def confirm_leaving(self, host: str) -> bool:
        """Ask a peer to stop giving out this host's address."""
        answered = await self._peers.port.call(
            host, METHOD_LEAVING, list(self.me)
        )
        return isinstance(answered, result.Ok)

    def set_load(self, load: int) -> None:
        """Say how many requests this host has in progress."""
        self._set_me(self.me._replace(load=load))

    def _set_me(self, me: blackboard.Member) -> None:
        self.me = me
        self._board.members.put(me.host, me)

    async def _register(self) -> None:
        data = cbor2.dumps(list(self.me))
        while True:
            written = await self._port.put(PREFIX + self.me.host, data)
            if isinstance(written, result.Ok):
                return
            await anyio.sleep(LIST_SECONDS_ALONE)

    async def _find_members(self) -> None:
        while True:
            found = await self._port.list(PREFIX)
            if isinstance(found, result.Ok):
                for stored in found.ok_value:
                    self._learn(decode(stored.data))
            alone = len(self._board.members) == 1
            await anyio.sleep(LIST_SECONDS_ALONE if alone else LIST_SECONDS)

    def _learn(self, member: blackboard.Member) -> bool:
        """Take a row that is not older than the known one."""
        if member.host == self.me.host:
            return False
        known = self._board.members.get(member.host)
        if known is not None:
            age = (known.incarnation, known.generation)
            if (member.incarnation, member.generation) < age:
                return False
            if known.incarnation == member.incarnation:
                if known.state != 'dead' and member.state == 'alive':
                    member = member._replace(state=known.state)
        else:
            self._heard.setdefault(member.host, anyio.current_time())
        self._board.members.put(member.host, member)
        self._peers.connect(member.host, member.peer_address)
        return True

    async def _take_beat(
        self, peer: str, payload: typing.Any
    ) -> result.Result[list[typing.Any], verdicts.Failure]:
        member = blackboard.Member(*payload)
        if self._learn(member):
            self._heard[member.host] = anyio.current_time()
        return result.Ok(list(self.me))

    def _beat(self) -> None:
        peer_port.broadcast(self._peers.port, METHOD_BEAT, list(self.me))

    def _judge(self) -> None:
        now = anyio.current_time()
        for member in self._board.members.rows():
            if member.host == self.me.host:
                continue
            silence = now - self._heard.get(member.host, now)
            state = membership.state(member.state, silence)
            if state != member.state:
                events.log(
                    events.MEMBER_CHANGED,
                    host=self.me.host,
                    member=member.host,
                    state=state,
                )
                self._board.members.put(
                    member.host, member._replace(state=state)
                )
        self._calls.set_hosts(len(self.live_hosts()))


def decode(data: bytes) -> blackboard.Member:
    """Read a stored row."""
    return blackboard.Member(*cbor2.loads(data))
