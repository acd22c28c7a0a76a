"""Tells targets that ended from links that broke.

A run also breaks if only its connection is cut. Its target is taken to have
ended if most hosts cannot connect to it at the time, or if it is no longer
listed. Each host decides this by its own view, also for runs that peers
report, because peers of older builds report broken links as crashes.
"""

import collections.abc
import typing

import anyio

# The hosts have found out by then whether they reach the target.
CONFIRM_SECONDS = 1.5
CHECK_SECONDS = 0.05
MAX_PENDING = 1_000

Decided = collections.abc.Callable[[bool], None]


class Ends(typing.Protocol):
    """Decides whether the target of a broken run has ended."""

    def confirm(self, target: str, decided: Decided) -> None:
        """Call a function once it is known whether a target has ended."""


class AllEnd:
    """Takes each broken run for the end of its target."""

    def confirm(self, target: str, decided: Decided) -> None:
        """Confirm at once; see :class:`Ends`."""
        decided(True)


class TargetEnds:
    """Broken runs whose targets may have ended."""

    def __init__(
        self, has_ended: collections.abc.Callable[[str], bool]
    ) -> None:
        """Create an empty list.

        :param has_ended: returns whether a target is down or gone now
        """
        self._has_ended = has_ended
        self._pending: list[tuple[str, Decided, float]] = []
        self._added = anyio.Event()

    def confirm(self, target: str, decided: Decided) -> None:
        """Call a function with whether a target has ended.

        :param target: name of the target
        :param decided: called within ``CONFIRM_SECONDS``
        """
        if self._has_ended(target):
            decided(True)
        elif len(self._pending) < MAX_PENDING:
            until = anyio.current_time() + CONFIRM_SECONDS
            self._pending.append((target, decided, until))
            self._added.set()

    async def run(self) -> None:
        """Decide on pending runs until cancelled."""
        while True:
            if not self._pending:
                self._added = anyio.Event()
                await self._added.wait()
            await anyio.sleep(CHECK_SECONDS)
            now = anyio.current_time()
            pending, self._pending = self._pending, []
            for target, decided, until in pending:
                if self._has_ended(target):
                    decided(True)
                elif now >= until:
                    decided(False)
                else:
                    self._pending.append((target, decided, until))
