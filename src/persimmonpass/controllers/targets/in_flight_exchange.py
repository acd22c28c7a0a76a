"""Exchanges counts of online requests in progress with peers."""

import collections.abc
import random

import anyio
import result

from persimmonpass import in_flight
from persimmonpass.peers import port as peer_port
from persimmonpass import verdicts

METHOD_COUNTS = 'online.sends'
SHARE_INTERVAL_SECONDS = 0.2
# In a larger fleet, each round reaches this many random peers.
MAX_SHARE_PEERS = 16
EXPIRY_SECONDS = 2.0


class InFlightExchange:
    """Sends this host's counts to peers and applies the peers' counts."""

    def __init__(
        self, requests: in_flight.InFlight, peers: peer_port.PeerPort
    ) -> None:
        self._in_flight = requests
        self._peers = peers
        self._received_at: dict[str, float] = {}
        self._last_counts: dict[str, dict[str, int]] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_COUNTS: self._handle_counts}

    async def run(self) -> None:
        """Send counts and drop expired ones until cancelled."""
        while True:
            self._send_counts()
            self._expire()
            await anyio.sleep(SHARE_INTERVAL_SECONDS)

    def _send_counts(self) -> None:
        counts = self._in_flight.online_counts()
        for host in _pick(self._peers.connected()):
            # Empty counts are sent only once. Other counts are repeated, so
            # that they do not expire at the peer.
            if counts or self._last_counts.get(host):
                self._peers.notify(host, METHOD_COUNTS, counts)
                self._last_counts[host] = counts

    def _expire(self) -> None:
        now = anyio.current_time()
        for host, received_at in list(self._received_at.items()):
            if now - received_at > EXPIRY_SECONDS:
                del self._received_at[host]
                self._in_flight.set_peer_counts(host, {})

    async def _handle_counts(
        self, peer: str, payload: dict[str, int]
    ) -> result.Result[None, verdicts.Failure]:
        self._received_at[peer] = anyio.current_time()
        self._in_flight.set_peer_counts(peer, payload)
        return result.Ok(None)


def _pick(hosts: list[str]) -> collections.abc.Sequence[str]:
    if len(hosts) <= MAX_SHARE_PEERS:
        return hosts
    return random.sample(hosts, MAX_SHARE_PEERS)
