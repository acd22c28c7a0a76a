"""Elects the host that runs batch items.

The elected host, the batch runner, broadcasts its claim several times a
second. It keeps the role as long as its claims arrive and it is a candidate,
because each change of the runner costs the work in progress. If two hosts
claim the role, for example after a network partition, the one with the higher
term keeps it.
"""

import collections.abc
import typing

import anyio

from persimmonpass import blackboard
from persimmonpass.controllers.fleet import membership
from persimmonpass import events
from persimmonpass import item_text
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards

METHOD_CLAIM = 'batch.claim'
RUNNER_KEY = 'batch'
CLAIM_INTERVAL_SECONDS = 0.2
# A claim expires if it is not repeated within this time.
CLAIM_EXPIRY_SECONDS = 0.9
# A host that has just become ready waits for claims of other hosts before it
# claims the role.
SETTLE_SECONDS = 0.8


class Claim(typing.NamedTuple):
    """A host's claim to be the batch runner; the highest claim wins.

    :ivar term: one more than the highest term that the host had received
    """

    term: int
    host: str


class BatchRole:
    """One host's view of which host is the batch runner.

    :ivar is_runner: whether this host is the batch runner
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        peers: peer_port.PeerPort,
        may_run: collections.abc.Callable[[], bool],
        recent_peers: collections.abc.Callable[[], collections.abc.Set[str]],
        candidates: collections.abc.Callable[[], list[str]] | None = None,
        audience: peer_port.Audience = peer_port.all_hosts,
    ) -> None:
        """Create the role.

        :param may_run: returns whether this host is ready to run batch items
        :param recent_peers: returns the hosts from which messages arrived
            recently. The connection alone is not enough: a link to a host
            that hangs or is cut off appears connected for seconds.
        :param candidates: returns the hosts that may be the batch runner, the
            preferred one first; defaults to all live hosts
        :param audience: returns the hosts that claims are sent to. A host
            that has just started must get them before it claims the role.
        """
        self.is_runner = False
        self._host = host
        self._board = board
        self._peers = peers
        self._may_run = may_run
        self._recent_peers = recent_peers
        self._candidates = candidates
        self._audience = audience
        self._claim = Claim(0, '')
        self._claim_received_at = -CLAIM_EXPIRY_SECONDS
        self._claim_sent_at = -CLAIM_INTERVAL_SECONDS
        self._settled_at: float | None = None
        self._resigned_host: str | None = None
        self._own_term = 0

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_CLAIM: peer_port.NoticeHandler(self._handle_claim)}

    @property
    def holder(self) -> str | None:
        """The batch runner; ``None`` if no host has a valid claim."""
        if self.is_runner:
            return self._host
        age = anyio.current_time() - self._claim_received_at
        connected = self._claim.host in self._peers.connected()
        return (
            self._claim.host
            if age < CLAIM_EXPIRY_SECONDS and connected
            else None
        )

    @property
    def source(self) -> item_text.Source:
        """The source of the item texts that this host writes."""
        return item_text.Source(self._own_term, self._host)

    @property
    def is_candidate(self) -> bool:
        """Whether this host may become the batch runner."""
        return self._candidates is None or self._host in self._candidates()

    def successors(self) -> list[str]:
        """Return the reachable peers in the order in which they take over."""
        return self._in_order(self._reachable_hosts())

    def update(self) -> bool:
        """Claim or give up the role where needed, and repeat the claim.

        :returns: whether this host became or stopped being the batch runner
        """
        was_runner = self.is_runner
        now = anyio.current_time()
        if not (was_runner or self.is_candidate):
            self._settled_at = None
        elif not self._may_run() or self._is_outside():
            if was_runner:
                self._resign()
            self._settled_at = None
        elif not self._reaches_half():
            self.is_runner = False
            self._settled_at = None
        elif self._settled_at is None:
            self._settled_at = now + SETTLE_SECONDS
        elif not was_runner and now >= self._settled_at:
            if self.holder is None and self._is_first():
                self._claim = Claim(self._claim.term + 1, self._host)
                self._own_term = self._claim.term
                self.is_runner = True
        if (
            self.is_runner
            and now - self._claim_sent_at >= CLAIM_INTERVAL_SECONDS
        ):
            self._broadcast_claim(now, True)
        if was_runner != self.is_runner:
            events.log(
                events.BATCH_RUNNER_CHANGED,
                host=self._host,
                runs=self.is_runner,
                term=self._claim.term,
                holder=self._claim.host,
                candidate=self.is_candidate,
                reached=len(self._reachable_hosts()),
            )
        return was_runner != self.is_runner

    def _is_outside(self) -> bool:
        """Return whether other hosts have taken this one's place.

        Such a host gets no more jobs, as only candidates keep copies of them.
        """
        return not self.is_candidate and bool(self._reachable_hosts())

    def _resign(self) -> None:
        self.is_runner = False
        self._broadcast_claim(anyio.current_time(), False)

    def _broadcast_claim(self, now: float, is_claimed: bool) -> None:
        self._claim_sent_at = now
        payload = [self._claim.term, self._host, is_claimed]
        peer_port.broadcast(
            self._peers, METHOD_CLAIM, payload, self._audience()
        )

    def _other_hosts(self) -> list[str]:
        if self._candidates is not None:
            return [host for host in self._candidates() if host != self._host]
        return [
            row.host
            for row in self._board.members.rows()
            if row.state in membership.LIVE_STATES and row.host != self._host
        ]

    def _reachable_hosts(self) -> list[str]:
        reachable = self._recent_peers() & set(self._peers.connected())
        return [host for host in self._other_hosts() if host in reachable]

    def _reaches_half(self) -> bool:
        """Return whether this host reaches at least half of the others.

        A host that is isolated by a network partition gives up the role.
        """
        return 2 * len(self._reachable_hosts()) >= len(self._other_hosts())

    def _is_first(self) -> bool:
        reachable = [
            host
            for host in self._reachable_hosts()
            if host != self._resigned_host
        ]
        return self._in_order([*reachable, self._host])[:1] == [self._host]

    def _in_order(self, hosts: collections.abc.Collection[str]) -> list[str]:
        """Return hosts in the order in which they become batch runner."""
        candidates = self._candidates() if self._candidates else None
        return list(shards.preferred(RUNNER_KEY, hosts, candidates))

    def _handle_claim(self, peer: str, payload: typing.Any) -> None:
        term, host, is_claimed = payload
        claim = Claim(term, host)
        if not is_claimed:
            self._resigned_host = host
        elif self._resigned_host == host:
            self._resigned_host = None
        if claim >= self._claim:
            self._claim = claim
            self._claim_received_at = (
                anyio.current_time() if is_claimed else -CLAIM_EXPIRY_SECONDS
            )
            if host != self._host:
                self.is_runner = False
