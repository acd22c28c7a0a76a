"""Counts this host's requests in progress at each target."""

import collections
import collections.abc
import contextlib


class Sends:
    """Requests that this host has in progress.

    :ivar online: online requests by target
    :ivar batch: batch items by target
    """

    def __init__(self) -> None:
        self.online: collections.Counter[str] = collections.Counter()
        self.batch: collections.Counter[str] = collections.Counter()

    @property
    def total(self) -> int:
        """Online requests in progress at all targets."""
        return sum(self.online.values())

    def at(self, target: str) -> int:
        """Return all requests in progress at a target."""
        return self.online[target] + self.batch[target]

    @contextlib.contextmanager
    def track(
        self, counter: collections.Counter[str], target: str
    ) -> collections.abc.Iterator[None]:
        """Count a request while the context is open.

        :param counter: ``online`` or ``batch``
        """
        counter[target] += 1
        try:
            yield
        finally:
            counter[target] -= 1
