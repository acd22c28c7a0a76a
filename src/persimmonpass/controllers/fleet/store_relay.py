"""Calls the store through a peer while this host cannot reach it.

A store may refuse some hosts and serve the others. Calls are then relayed by
a peer that the store serves, with the same conditions and verdicts. A read
that is not answered is also made again directly: open connections to the store
and to peers may all have gone silent, while new ones work.
"""

import collections
import collections.abc
import functools
import random
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass import records
from persimmonpass import store
from persimmonpass import verdicts

METHOD_CALL = 'store.call'
# How long no direct call is made after one has failed. This is long enough to
# save the store most of the calls that it would refuse, and short compared
# with the seconds that an outage of one host lasts.
DIRECT_CALL_PAUSE_SECONDS = 0.7
MAX_PEERS = 2
CALL_TIMEOUT_SECONDS = 2.0
# Reads may be made again, so that they are given up sooner than writes.
READ_TIMEOUT_SECONDS = 1.0
# A read that fails after this time was not answered; the store refuses calls
# and resets connections within milliseconds.
SILENT_SECONDS = 0.4
LOG_INTERVAL_SECONDS = 10.0

Answer = result.Result[typing.Any, verdicts.Failure]
_WRITES = frozenset(('create', 'replace', 'set_status', 'delete'))


Count = collections.abc.Callable[[str, str, str], None]


class StoreRelay:
    """A record port that falls back to peers.

    :ivar port: the record port for the rest of the daemon
    """

    def __init__(
        self,
        host: str,
        direct: records.RecordPort,
        peers: peer_port.PeerPort,
        count: Count | None = None,
        clean: records.Clean = records.as_received,
    ) -> None:
        """Create the relay.

        :param host: id of this host
        :param direct: direct calls to the store
        :param peers: calls to the other hosts
        :param count: called with the name, the kind and the outcome of each
            direct call
        :param clean: removes secrets from records that peers sent
        """
        self._clean = clean
        self._host = host
        self._count = count
        self._direct = direct
        self._peers = peers
        self._failed_at: float | None = None
        self._last_failure_at: float | None = None
        # Whether the last direct call that failed was not answered, so that
        # one on a new connection may be.
        self._was_silent = False
        self._calls: collections.Counter[str] = collections.Counter()
        self.port = records.RecordPort(
            *(self._make(name) for name in records.RecordPort._fields)
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {METHOD_CALL: self._handle_call}

    @property
    def can_reach_store(self) -> bool:
        """Whether the last direct call was answered."""
        return self._failed_at is None

    @property
    def seconds_since_failure(self) -> float:
        """Seconds since a direct call last failed; infinite if none did."""
        if self._last_failure_at is None:
            return float('inf')
        return anyio.current_time() - self._last_failure_at

    async def run(self) -> None:
        """Log the numbers of direct calls to the store until cancelled."""
        while True:
            await anyio.sleep(LOG_INTERVAL_SECONDS)
            if self._calls:
                calls, self._calls = self._calls, collections.Counter()
                events.log(
                    events.STORE_CALLED, host=self._host, calls=dict(calls)
                )

    def _make(
        self, name: str
    ) -> collections.abc.Callable[..., collections.abc.Awaitable[Answer]]:
        async def call(*args: typing.Any) -> Answer:
            return await self._call(name, args)

        return call

    async def _call(self, name: str, args: tuple[typing.Any, ...]) -> Answer:
        is_write = name in _WRITES
        if not self._can_call_directly():
            if self._was_silent and not is_write:
                answered = await self._read_again(name, args)
            else:
                answered = await self._call_peers(name, args)
            return answered or result.Err(
                store.unavailable('store unreachable: last direct call failed')
            )
        began = anyio.current_time()
        outcome = await self._call_direct(name, args)
        if not self._is_outage(outcome):
            return outcome
        verdict = outcome.err_value.verdict
        if is_write and verdict is verdicts.Verdict.MAY_HAVE_RUN:
            return outcome
        elapsed = anyio.current_time() - began
        limit = _wait_seconds(name, args) + SILENT_SECONDS
        self._was_silent = elapsed >= limit
        if is_write or not self._was_silent:
            return await self._call_peers(name, args) or outcome
        events.log(
            events.STORE_SILENT,
            host=self._host,
            call=name,
            kind=args[0],
            ms=round(1000 * elapsed),
        )
        answered = await self._read_again(name, args)
        events.log(
            events.READ_REPEATED,
            host=self._host,
            call=name,
            kind=args[0],
            ms=round(1000 * (anyio.current_time() - began - elapsed)),
            outcome='none' if answered is None else _outcome_name(answered),
        )
        return answered or outcome

    async def _read_again(
        self, name: str, args: tuple[typing.Any, ...]
    ) -> Answer | None:
        """Make a read again, directly and through peers at the same time.

        None of the calls waits for changes: a peer's watch may be held up
        like the one that was not answered.

        :returns: the first answer, ``None`` if there is none
        """
        first: Answer | None = None
        again = (*args[:2], 0.0) if name == 'watch' else args

        async def call_directly() -> Answer | None:
            outcome = await self._call_direct(name, again)
            return None if self._is_outage(outcome) else outcome

        async def attempt(
            call: collections.abc.Callable[
                [], collections.abc.Awaitable[Answer | None]
            ],
        ) -> None:
            nonlocal first
            answered = await call()
            if answered is not None and first is None:
                first = answered
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(attempt, call_directly)
            for peer in self._pick_peers():
                tasks.start_soon(
                    attempt,
                    functools.partial(self._call_peer, peer, name, again),
                )
        return first

    async def _call_peers(
        self, name: str, args: tuple[typing.Any, ...]
    ) -> Answer | None:
        """Let peers make a call, one after the other.

        :returns: the first answer, ``None`` if there is none
        """
        for peer in self._pick_peers():
            answered = await self._call_peer(peer, name, args)
            if answered is not None:
                return answered
        return None

    def _pick_peers(self) -> list[str]:
        peers = self._peers.connected()
        random.shuffle(peers)
        return peers[:MAX_PEERS]

    def _can_call_directly(self) -> bool:
        if self._failed_at is None:
            return True
        return (
            anyio.current_time() - self._failed_at >= DIRECT_CALL_PAUSE_SECONDS
        )

    async def _call_direct(
        self, name: str, args: tuple[typing.Any, ...]
    ) -> Answer:
        began = anyio.current_time()
        outcome: Answer = await getattr(self._direct, name)(*args)
        now = anyio.current_time()
        outcome_name = _outcome_name(outcome)
        self._calls[f'{name} {args[0]} {outcome_name}'] += 1
        if self._count is not None:
            self._count(name, str(args[0]), outcome_name)
        if self._is_outage(outcome):
            self._last_failure_at = now
            if self._failed_at is None:
                events.log(
                    events.STORE_LOST,
                    host=self._host,
                    call=name,
                    message=outcome.err_value.message,
                )
            self._failed_at = now
        elif self._failed_at is not None and began >= self._failed_at:
            events.log(
                events.STORE_REGAINED,
                host=self._host,
                call=name,
                lost_seconds=round(now - self._failed_at, 3),
            )
            self._failed_at = None
        return outcome

    async def _call_peer(
        self, peer: str, name: str, args: tuple[typing.Any, ...]
    ) -> Answer | None:
        """Return a peer's answer, or ``None`` if another peer may be asked."""
        timeout = (
            CALL_TIMEOUT_SECONDS
            if name in _WRITES
            else READ_TIMEOUT_SECONDS + _wait_seconds(name, args)
        )
        answered = await self._peers.call(
            peer, METHOD_CALL, [name, list(args)], timeout
        )
        if isinstance(answered, result.Ok):
            return _decode(
                name,
                answered.ok_value,
                functools.partial(self._clean, str(args[0])),
            )
        failure = answered.err_value
        if failure.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            if name in _WRITES:
                return result.Err(store.outcome_unknown(failure.message))
            return None
        if failure.event in (
            events.STORE_UNAVAILABLE,
            events.PEER_UNREACHABLE,
        ):
            return None
        return result.Err(failure)

    async def _handle_call(self, peer: str, payload: typing.Any) -> Answer:
        """Make a direct call to the store for a peer.

        It is never relayed further.
        """
        name, args = payload
        if (
            name not in records.RecordPort._fields
            or not self._can_call_directly()
        ):
            return result.Err(
                store.unavailable('store unreachable: last direct call failed')
            )
        return await self._call_direct(name, tuple(args))

    @staticmethod
    def _is_outage(outcome: Answer) -> bool:
        return isinstance(outcome, result.Err) and outcome.err_value.event in (
            events.STORE_UNAVAILABLE,
            events.STORE_OUTCOME_UNKNOWN,
        )


def _wait_seconds(name: str, args: tuple[typing.Any, ...]) -> float:
    """Return how long the store may wait before it answers a call."""
    return float(args[2]) if name == 'watch' else 0.0


def _outcome_name(outcome: Answer) -> str:
    """Return the label of a call's outcome for logs and metrics."""
    if isinstance(outcome, result.Ok):
        found = outcome.ok_value
        is_empty = isinstance(found, records.Snapshot) and not found.records
        return 'empty' if is_empty else 'ok'
    return outcome.err_value.event.name


def _decode(
    name: str,
    payload: typing.Any,
    clean: collections.abc.Callable[[records.Record], records.Record],
) -> Answer:
    """Rebuild the answer to a call from the lists that a peer sent."""
    if name in ('list', 'watch'):
        version, rows = payload
        return result.Ok(
            records.Snapshot(
                version, [clean(records.Record(*row)) for row in rows]
            )
        )
    if name == 'get':
        return result.Ok(clean(records.Record(*payload)))
    return result.Ok(payload)
