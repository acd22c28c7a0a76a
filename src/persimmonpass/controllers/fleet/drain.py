"""Removes this host from the fleet without interrupting a request.

Callers get the addresses of hosts in entry answers, which any host gives and
callers may keep for a time. The host marks itself as leaving in a new
generation. Each peer that is not dead has to confirm that its entry answers no
longer contain the host's address since that generation. The drain ends when
all peers have confirmed, callers can no longer hold an entry answer with the
address, and no request is in progress.

Requests that could not end before the limit of the drain are refused, so that
the drain ends although callers go on calling. Those that are in progress at
the limit are cancelled and get a final answer.
"""

import collections.abc
import contextlib
import typing

import anyio

from persimmonpass import events
from persimmonpass.policy import stopping

POLL_SECONDS = 0.05
RETRY_SECONDS = 0.2
# Covers the time in which an entry answer reaches the caller and the caller's
# request reaches this host.
ANSWER_MARGIN_SECONDS = 0.5

# Takes the id of a request; makes a scope in which it runs until the drain
# ends.
CancelledAtEnd = collections.abc.Callable[
    [str], contextlib.AbstractContextManager[anyio.CancelScope]
]


class Report(typing.NamedTuple):
    """Result of a drain.

    :ivar reason: ``confirmed``, ``limit`` if time ran out, or ``stopped`` if
        an operator ended it
    :ivar seconds: how long the drain took
    :ivar unconfirmed: peers that did not confirm
    :ivar in_progress: number of requests that were interrupted
    """

    reason: str
    seconds: float
    unconfirmed: list[str]
    in_progress: int


class DrainPorts(typing.NamedTuple):
    """Dependencies of a drain.

    :ivar leave: marks this host as leaving in a new generation; returns
        whether its address was ever in an entry answer
    :ivar peers: returns the other hosts that are not dead
    :ivar confirm: asks a peer to confirm; returns how long callers may keep
        its entry answers, in seconds, or ``None`` if it does not confirm
    :ivar in_progress: returns the number of callers' requests in progress
    """

    leave: collections.abc.Callable[[], bool]
    peers: collections.abc.Callable[[], list[str]]
    confirm: collections.abc.Callable[
        [str], collections.abc.Awaitable[float | None]
    ]
    in_progress: collections.abc.Callable[[], int]


class Drain:
    """The drain of one daemon.

    :ivar started: set when the drain is requested, by the first signal
    :ivar has_ended: whether it has ended, so that no request may go on
    """

    def __init__(
        self,
        host: str,
        ports: DrainPorts,
        entry_ttl_seconds: float,
        limit_seconds: float,
    ) -> None:
        self.started = anyio.Event()
        self.has_ended = False
        self._host = host
        self._ports = ports
        self._ttl = entry_ttl_seconds
        self._limit = limit_seconds
        self._scope = anyio.CancelScope()
        self._stopped = False
        self._confirmed: set[str] = set()
        self._confirmed_at = 0.0
        self._began: float | None = None
        self._was_published = True
        self._requests: dict[anyio.CancelScope, str] = {}

    @property
    def was_stopped(self) -> bool:
        """Whether an operator ended it before it was over."""
        return self._stopped

    @property
    def left_seconds(self) -> float:
        """Time until the limit of the drain."""
        if self._began is None:
            return self._limit
        return self._began + self._limit - anyio.current_time()

    def accepts(self, allowed_seconds: float, *, may_repeat: bool) -> bool:
        """Return whether this host takes a new request.

        It takes none once no caller can have been sent to it, so that callers
        that come all the same do not keep the drain from ending.

        :param allowed_seconds: the longest that the request may take
        :param may_repeat: whether the request may run more than once
        """
        if self.has_ended:
            return False
        if self._began is None:
            return True
        stop = stopping.Stop(
            anyio.current_time() - self._began,
            self._limit,
            self._ttl,
            not self._is_forgotten(),
        )
        return stopping.accepts(stop, allowed_seconds, may_repeat=may_repeat)

    @contextlib.contextmanager
    def cancelled_at_end(
        self, key: str
    ) -> collections.abc.Iterator[anyio.CancelScope]:
        """Run a request in a scope that is cancelled when the drain ends.

        :param key: id of the request, for the log
        """
        with anyio.CancelScope() as scope:
            self._requests[scope] = key
            try:
                if self.has_ended:
                    self._cancel(scope)
                yield scope
            finally:
                del self._requests[scope]

    def _cancel(self, request: anyio.CancelScope) -> None:
        events.log(
            events.REQUEST_ENDED_BY_STOP,
            host=self._host,
            key=self._requests[request],
        )
        request.cancel()

    def stop(self) -> None:
        """End the drain at once, even if requests are in progress."""
        self._stopped = True
        self.started.set()
        self._scope.cancel()

    async def run(self) -> Report:
        """Leave the entry answers and wait until no caller needs this host.

        :returns: the result
        """
        began = anyio.current_time()
        self._confirmed_at = began
        events.log(events.DRAIN_STARTED, host=self._host)
        self._was_published = self._ports.leave()
        self._began = began
        with self._scope as scope:
            scope.deadline = began + self._limit
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ask_peers)
                while not self._is_forgotten() or self._ports.in_progress():
                    await anyio.sleep(POLL_SECONDS)
                self.has_ended = True
                tasks.cancel_scope.cancel()
        reason = 'confirmed'
        if scope.cancelled_caught:
            reason = 'stopped' if self._stopped else 'limit'
        report = Report(
            reason,
            anyio.current_time() - began,
            sorted(self._unconfirmed()),
            self._ports.in_progress(),
        )
        self.has_ended = True
        for request in list(self._requests):
            self._cancel(request)
        if reason != 'confirmed':
            events.log(
                events.DRAIN_UNCONFIRMED,
                host=self._host,
                reason=reason,
                peers=report.unconfirmed,
                in_progress=report.in_progress,
            )
        events.log(
            events.DRAIN_FINISHED, host=self._host, seconds=report.seconds
        )
        return report

    def _unconfirmed(self) -> set[str]:
        return set(self._ports.peers()) - self._confirmed

    def _is_forgotten(self) -> bool:
        """Return whether no caller can hold an entry answer any more."""
        kept_seconds = (
            self._ttl + ANSWER_MARGIN_SECONDS if self._was_published else 0.0
        )
        return (
            not self._unconfirmed()
            and anyio.current_time() - self._confirmed_at >= kept_seconds
        )

    async def _ask_peers(self) -> None:
        """Ask all peers until cancelled, also those that join meanwhile."""
        asked: set[str] = set()

        async def ask(peer: str) -> None:
            ttl = await self._ports.confirm(peer)
            if ttl is not None:
                self._confirmed.add(peer)
                self._confirmed_at = anyio.current_time()
                self._ttl = max(self._ttl, ttl)
            else:
                await anyio.sleep(RETRY_SECONDS)
            asked.discard(peer)

        async with anyio.create_task_group() as tasks:
            while True:
                for peer in self._unconfirmed() - asked:
                    asked.add(peer)
                    tasks.start_soon(ask, peer)
                await anyio.sleep(POLL_SECONDS)
