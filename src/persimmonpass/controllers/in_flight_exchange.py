"""Tells peers which online requests this host has in progress."""

import collections.abc
import random

import anyio
import result

from persimmonpass import in_flight
from persimmonpass.peers import port as peer_port
from persimmonpass import verdicts

METHOD_SENDS = 'online.sends'
SHARE_SECONDS = 0.2
# A larger fleet shares with a random part of it in each round.
SHARE_PEERS = 16
EXPIRY_SECONDS = 2.0


class InFlightExchange:
    """Exchanges counts of requests in progress."""

    def __init__(
        self, sent: in_flight.InFlight, peers: peer_port.PeerPort
    ) -> None:
        self._sent = sent
        self._peers = peers
        self._heard: dict[str, float] = {}
        self._told: dict[str, dict[str, int]] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_SENDS: self._take}

    async def run(self) -> None:
        """Share and forget for ever."""
        while True:
            self._share()
            self._forget()
            await anyio.sleep(SHARE_SECONDS)

    def _share(self) -> None:
        counts = self._sent.online_counts()
        for host in _pick(self._peers.connected()):
            # An idle host repeats nothing; a busy one is heard before its
            # counts expire.
            if counts or self._told.get(host):
                self._peers.notify(host, METHOD_SENDS, counts)
                self._told[host] = counts

    def _forget(self) -> None:
        now = anyio.current_time()
        for host, heard in list(self._heard.items()):
            if now - heard > EXPIRY_SECONDS:
                del self._heard[host]
                self._sent.set_peer_counts(host, {})

    async def _take(
        self, peer: str, payload: dict[str, int]
    ) -> result.Result[None, verdicts.Failure]:
        self._heard[peer] = anyio.current_time()
        self._sent.set_peer_counts(peer, payload)
        return result.Ok(None)


def _pick(hosts: list[str]) -> collections.abc.Sequence[str]:
    if len(hosts) <= SHARE_PEERS:
        return hosts
    return random.sample(hosts, SHARE_PEERS)
