"""Counts requests in progress at each target, of this host and of peers."""

import collections
import collections.abc
import contextlib


class InFlight:
    """Requests in progress.

    :ivar online: this host's online requests by target
    :ivar batch: this host's batch items by target
    """

    def __init__(self) -> None:
        self.online: collections.Counter[str] = collections.Counter()
        self.batch: collections.Counter[str] = collections.Counter()
        self._peers: dict[str, dict[str, int]] = {}

    @property
    def total(self) -> int:
        """This host's online requests in progress at all targets."""
        return sum(self.online.values())

    def count_own(self, target: str) -> int:
        """Return this host's requests in progress at a target."""
        return self.online[target] + self.batch[target]

    def count_at_peers(self, target: str) -> int:
        """Return the peers' online requests at a target, as last told."""
        return sum(counts.get(target, 0) for counts in self._peers.values())

    def count_known(self, target: str) -> int:
        """Return all requests that this host knows to be at a target."""
        return self.count_own(target) + self.count_at_peers(target)

    def count_known_online(self, target: str) -> int:
        """Return all online requests that this host knows of there."""
        return self.online[target] + self.count_at_peers(target)

    def set_peer_counts(self, host: str, counts: dict[str, int]) -> None:
        """Keep what a peer has in progress.

        :param counts: online requests by target; empty to forget the peer
        """
        if counts:
            self._peers[host] = counts
        else:
            self._peers.pop(host, None)

    def online_counts(self) -> dict[str, int]:
        """Return this host's online requests by target, without zeros."""
        return {name: count for name, count in self.online.items() if count}

    @contextlib.contextmanager
    def track(
        self, counter: collections.Counter[str], target: str
    ) -> collections.abc.Iterator[None]:
        """Count a request while the context is open.

        Every send of a request to a target starts here.

        :param counter: ``online`` or ``batch``
        """
        counter[target] += 1
        try:
            yield
        finally:
            counter[target] -= 1
