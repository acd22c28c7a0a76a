"""Reports this host's running attempts to the owners of their keys.

A host that becomes the owner of a shard does not know which attempts are
running on its keys. Therefore the hosts that run the attempts report them to
the new owner.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import keys
from persimmonpass import verdicts

POLL_SECONDS = 0.5
END_MARGIN_SECONDS = 5.0
RELEASE_RETRY_SECONDS = 600.0
MAX_RELEASES = 10_000

CallOwner = collections.abc.Callable[
    [typing.Any],
    collections.abc.Awaitable[result.Result[typing.Any, verdicts.Failure]],
]


class _Attempt:
    """An attempt in progress.

    :ivar owner: host to which it was last reported, or empty
    :ivar ends_at: local time by which it has certainly ended
    """

    def __init__(self, begin: keys.Begin, owner: str, ends_at: float) -> None:
        self.begin = begin
        self.owner = owner
        self.ends_at = ends_at


class AttemptTracker:
    """Reports running attempts to new owners and repeats failed releases."""

    def __init__(
        self,
        owner: collections.abc.Callable[[int], str],
        begin: CallOwner,
        release: CallOwner,
    ) -> None:
        """Create an empty set of attempts.

        :param owner: returns the owner of a shard
        :param begin: calls the owner with a :class:`keys.Begin`
        :param release: calls the owner with a :class:`keys.Release`
        """
        self._owner = owner
        self._begin = begin
        self._release = release
        self._running: dict[str, _Attempt] = {}
        self._releases: dict[str, tuple[keys.Release, float]] = {}

    async def run(self) -> None:
        """Report attempts and repeat releases until cancelled."""
        while True:
            await self._report_to_new_owners()
            await self._repeat_releases()
            await anyio.sleep(POLL_SECONDS)

    def track(self, begin: keys.Begin, owner: str) -> None:
        """Add an attempt.

        :param owner: host that already knows of it; empty for none
        """
        ends_at = (
            anyio.current_time() + begin['limit_seconds'] + END_MARGIN_SECONDS
        )
        self._running[begin['attempt']] = _Attempt(begin, owner, ends_at)

    def end(self, attempt: str) -> None:
        """Remove an attempt."""
        self._running.pop(attempt, None)

    def release_later(self, release: keys.Release) -> None:
        """Repeat a release in the background until the owner confirms it.

        It is repeated for at most ``RELEASE_RETRY_SECONDS``, and dropped if
        ``MAX_RELEASES`` others wait.
        """
        until = anyio.current_time() + RELEASE_RETRY_SECONDS
        if len(self._releases) < MAX_RELEASES:
            self._releases.setdefault(release['attempt'], (release, until))

    async def _report_to_new_owners(self) -> None:
        now = anyio.current_time()
        for attempt, running in list(self._running.items()):
            if now >= running.ends_at:
                self.end(attempt)
                continue
            owner = self._owner(running.begin['shard'])
            if owner == running.owner:
                continue
            left = running.ends_at - now - END_MARGIN_SECONDS
            begin = running.begin | {'limit_seconds': max(0.0, left)}
            begun = await self._begin(begin)
            if begun.is_ok():
                running.owner = owner

    async def _repeat_releases(self) -> None:
        for attempt, (release, until) in list(self._releases.items()):
            released = await self._release(release)
            if released.is_ok() or anyio.current_time() >= until:
                del self._releases[attempt]
            else:
                return
