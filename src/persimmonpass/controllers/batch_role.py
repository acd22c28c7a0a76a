"""Decides which host runs batch items.

The host that runs them says so several times a second and stays the one as
long as it is heard: each move costs what was in progress. Of two that claim
it, as after a cut, the one with the higher term goes on.
"""

import collections.abc
import typing

import anyio

from persimmonpass import blackboard
from persimmonpass.controllers import membership
from persimmonpass import events
from persimmonpass import item_text
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards

METHOD_CLAIM = 'batch.claim'
RUNNER_KEY = 'batch'
CLAIM_SECONDS = 0.2
# A claim that was not repeated for so long is void.
EXPIRY_SECONDS = 0.9
# A host that has just become ready hears the others' claims first.
SETTLE_SECONDS = 0.8


class Claim(typing.NamedTuple):
    """A host's word that it runs batch; the higher one holds.

    :ivar term: one more than the highest that the host had heard of
    """

    term: int
    host: str


class BatchRole:
    """One host's view of who runs batch.

    :ivar is_runner: whether it is this host
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        peers: peer_port.PeerPort,
        may_run: collections.abc.Callable[[], bool],
        recent_peers: collections.abc.Callable[[], collections.abc.Set[str]],
        candidates: collections.abc.Callable[[], list[str]] | None = None,
    ) -> None:
        """Make the role.

        :param may_run: whether this host is ready to run batch
        :param recent_peers: hosts from which anything came lately; a link
            to a host that stands still or is cut off looks well for seconds
        :param candidates: hosts that may run batch; all that live if it is
            left out
        """
        self.is_runner = False
        self._host = host
        self._board = board
        self._peers = peers
        self._may_run = may_run
        self._recent_peers = recent_peers
        self._candidates = candidates
        self._claim = Claim(0, '')
        self._heard_at = -EXPIRY_SECONDS
        self._told_at = -CLAIM_SECONDS
        self._settled_at: float | None = None
        self._resigned: str | None = None
        self._own_term = 0

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_CLAIM: peer_port.Notice(self._take)}

    @property
    def holder(self) -> str | None:
        """The host that runs batch, ``None`` if none is heard."""
        if self.is_runner:
            return self._host
        age = anyio.current_time() - self._heard_at
        connected = self._claim.host in self._peers.connected()
        return self._claim.host if age < EXPIRY_SECONDS and connected else None

    @property
    def source(self) -> item_text.Source:
        """Under which this host tells the texts of items."""
        return item_text.Source(self._own_term, self._host)

    def successors(self) -> list[str]:
        """Return the peers that would take over, the first one first."""
        return self._ranked(self._reached())

    def judge(self) -> bool:
        """Begin or cease to be the runner.

        :returns: whether that changed
        """
        before = self.is_runner
        now = anyio.current_time()
        if not self._may_run():
            if before:
                self._resign()
            self._settled_at = None
        elif not self._reaches_enough():
            self.is_runner = False
            self._settled_at = None
        elif self._settled_at is None:
            self._settled_at = now + SETTLE_SECONDS
        elif not before and now >= self._settled_at:
            if self.holder is None and self._is_first():
                self._claim = Claim(self._claim.term + 1, self._host)
                self._own_term = self._claim.term
                self.is_runner = True
        if self.is_runner and now - self._told_at >= CLAIM_SECONDS:
            self._tell(now, True)
        if before != self.is_runner:
            events.log(
                events.BATCH_RUNNER_CHANGED,
                host=self._host,
                runs=self.is_runner,
                term=self._claim.term,
                holder=self._claim.host,
                reached=len(self._reached()),
            )
        return before != self.is_runner

    def _resign(self) -> None:
        self.is_runner = False
        self._tell(anyio.current_time(), False)

    def _tell(self, now: float, holds: bool) -> None:
        self._told_at = now
        payload = [self._claim.term, self._host, holds]
        peer_port.broadcast(self._peers, METHOD_CLAIM, payload)

    def _others(self) -> list[str]:
        if self._candidates is not None:
            return [host for host in self._candidates() if host != self._host]
        return [
            row.host
            for row in self._board.members.rows()
            if row.state in membership.LIVE_STATES and row.host != self._host
        ]

    def _reached(self) -> list[str]:
        reached = self._recent_peers() & set(self._peers.connected())
        return [host for host in self._others() if host in reached]

    def _reaches_enough(self) -> bool:
        """Return whether most other hosts are reached.

        A host that a cut has left alone leaves batch to the others.
        """
        return 2 * len(self._reached()) >= len(self._others())

    def _is_first(self) -> bool:
        reached = [host for host in self._reached() if host != self._resigned]
        return self._ranked([*reached, self._host])[:1] == [self._host]

    def _ranked(self, hosts: collections.abc.Collection[str]) -> list[str]:
        """Return hosts in the order in which they run batch."""
        candidates = self._candidates() if self._candidates else None
        return list(shards.preferred(RUNNER_KEY, hosts, candidates))

    def _take(self, peer: str, payload: typing.Any) -> None:
        term, host, holds = payload
        heard = Claim(term, host)
        if not holds:
            self._resigned = host
        elif self._resigned == host:
            self._resigned = None
        if heard >= self._claim:
            self._claim = heard
            self._heard_at = anyio.current_time() if holds else -EXPIRY_SECONDS
            if host != self._host:
                self.is_runner = False
