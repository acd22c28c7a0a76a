"""Counts the requests in progress at each target, from this host and peers.

Peers report only their online requests, periodically; see
:mod:`controllers.targets.in_flight_exchange`. ``persimmonpassd`` uses this
module; ``persimmonpass-gateway`` uses :mod:`controllers.targets.occupancy`.
"""

import collections
import collections.abc
import contextlib


class InFlight:
    """Numbers of requests in progress by target.

    :ivar online: online requests of this host by target
    :ivar batch: batch items of this host by target
    """

    def __init__(self) -> None:
        self.online: collections.Counter[str] = collections.Counter()
        self.batch: collections.Counter[str] = collections.Counter()
        self._peers: dict[str, dict[str, int]] = {}

    @property
    def total(self) -> int:
        """Online requests of this host in progress at all targets."""
        return sum(self.online.values())

    def count_own(self, target: str) -> int:
        """Return the number of requests of this host at a target."""
        return self.online[target] + self.batch[target]

    def count_at_peers(self, target: str) -> int:
        """Return the online requests at a target as last reported by peers."""
        return sum(counts.get(target, 0) for counts in self._peers.values())

    def count_known(self, target: str) -> int:
        """Return the requests at a target, as far as this host knows."""
        return self.count_own(target) + self.count_at_peers(target)

    def count_known_online(self, target: str) -> int:
        """Return the online requests at a target, as far as known here."""
        return self.online[target] + self.count_at_peers(target)

    def set_peer_counts(self, host: str, counts: dict[str, int]) -> None:
        """Replace the counts that a peer has reported.

        :param counts: online requests by target; empty to drop the peer
        """
        if counts:
            self._peers[host] = counts
        else:
            self._peers.pop(host, None)

    def online_counts(self) -> dict[str, int]:
        """Return the online requests of this host by target, if not zero."""
        return {name: count for name, count in self.online.items() if count}

    @contextlib.contextmanager
    def track(
        self, counter: collections.Counter[str], target: str
    ) -> collections.abc.Iterator[None]:
        """Count a request at a target while the context is open.

        Every request that is sent to a target has to be tracked.

        :param counter: :attr:`online` or :attr:`batch`
        """
        counter[target] += 1
        try:
            yield
        finally:
            counter[target] -= 1
