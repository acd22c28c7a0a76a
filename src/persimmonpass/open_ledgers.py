"""Keeps the ledgers of one host open.

Ledgers are opened in the background, so a call that needs one can stop
waiting after a time limit. A ledger that this host should no longer own is
kept open for a while. If the host should own it again, a single read shows
whether another host has taken it over.
"""

import collections.abc
import typing

import anyio
import anyio.abc
import result

from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import store
from persimmonpass import verdicts

OPEN_WAIT_SECONDS = 1.0
OPEN_RETRY_SECONDS = 0.5
# Two hosts that both believe that they own a ledger keep taking it over from
# each other. They wait longer before each attempt, until they agree on the
# owner.
CONTENTION_WINDOW_SECONDS = 10.0
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0
OWNERSHIP_SETTLE_SECONDS = 1.0
DISOWNED_CLOSE_SECONDS = 30.0

Value = typing.TypeVar('Value')
_Outcome = result.Result[None, verdicts.Failure]


class _LedgerState(typing.Generic[Value]):
    """A ledger and the state of its opening.

    :ivar opening: set at the end of the attempt to open the ledger that is in
        progress; ``None`` if there is no attempt
    :ivar needs_confirmation: another host may have owned the ledger since its
        last write
    :ivar failure: why the last attempt failed, or ``None``
    :ivar failed_at: local time at the end of the last attempt
    :ivar opened_at: local time at which the ledger was last opened
    :ivar backoff: minimum seconds between that time and the next opening
    :ivar disowned_at: local time since which this host should not own it
    """

    def __init__(self, owned_ledger: ledger.Ledger[Value]) -> None:
        self.owned_ledger = owned_ledger
        self.opening: anyio.Event | None = None
        self.needs_confirmation = False
        self.failure: verdicts.Failure | None = None
        self.failed_at = 0.0
        self.opened_at: float | None = None
        self.backoff = 0.0
        self.disowned_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the ledger can be used without a call to the store."""
        return self.owned_ledger.is_open and not self.needs_confirmation


class _PendingAppend:
    """An append that continues even after its caller stops waiting."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome: _Outcome | None = None


class OpenLedgers(typing.Generic[Value]):
    """Ledgers by number, opened when they are owned or requested."""

    def __init__(
        self, make: collections.abc.Callable[[int], ledger.Ledger[Value]]
    ) -> None:
        """Make a set without ledgers.

        :param make: returns a ledger by number, not yet opened
        """
        self._make = make
        self._states: dict[int, _LedgerState[Value]] = {}
        self._owned: set[int] = set()
        self._owned_changed_at = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Keep the owned ledgers open; never returns."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                now = anyio.current_time()
                if now - self._owned_changed_at >= OWNERSHIP_SETTLE_SECONDS:
                    await self._open_owned()
                self._drop_disowned(now)
                await anyio.sleep(OPEN_RETRY_SECONDS)

    def set_owned(self, owned: collections.abc.Iterable[int]) -> None:
        """Set the numbers of the ledgers that this host should own."""
        owned = set(owned)
        if owned == self._owned:
            return
        now = anyio.current_time()
        self._owned = owned
        self._owned_changed_at = now
        for number, state in self._states.items():
            if number in owned:
                state.disowned_at = None
            elif state.disowned_at is None:
                state.disowned_at = now
                state.needs_confirmation = True

    async def get(
        self, number: int
    ) -> result.Result[ledger.Ledger[Value], verdicts.Failure]:
        """Return an open ledger, or the reason why it is not open.

        Fails without waiting within :data:`OPEN_RETRY_SECONDS` after a failed
        attempt to open the ledger.
        """
        state = self._get_state(number)
        if not state.is_ready:
            with anyio.move_on_after(OPEN_WAIT_SECONDS):
                await self._wait_for_open(state)
        if state.is_ready:
            return result.Ok(state.owned_ledger)
        timed_out = store.unavailable(
            f'{state.owned_ledger.path} is not open yet'
        )
        return result.Err(state.failure or timed_out)

    async def get_confirmed(
        self, number: int
    ) -> result.Result[ledger.Ledger[Value], verdicts.Failure]:
        """Return an open ledger after a check that this host still owns it."""
        opened = await self.get(number)
        if isinstance(opened, result.Err):
            return opened
        confirmed = await opened.ok_value.confirm_ownership()
        if isinstance(confirmed, result.Err):
            return result.Err(confirmed.err_value)
        return await self.get(number)

    async def append(
        self,
        owned_ledger: ledger.Ledger[Value],
        records: list[ledger.Record],
        limit_seconds: float,
    ) -> _Outcome:
        """Append records, and stop waiting after a time limit.

        The append itself continues after the limit.

        :returns: a failure with an unknown outcome if the limit was exceeded
        """
        pending = _PendingAppend()

        async def append() -> None:
            pending.outcome = await owned_ledger.append(records)
            pending.done.set()

        if self._tasks is None:
            return result.Err(
                store.unavailable('the daemon has not started its ledgers yet')
            )
        self._tasks.start_soon(append)
        with anyio.move_on_after(limit_seconds):
            await pending.done.wait()
        timed_out = store.outcome_unknown(
            f'append to {owned_ledger.path} took more than {limit_seconds} s'
        )
        return pending.outcome or result.Err(timed_out)

    def _get_state(self, number: int) -> _LedgerState[Value]:
        state = self._states.get(number)
        if state is None:
            state = self._states[number] = _LedgerState(self._make(number))
            if number not in self._owned:
                state.disowned_at = anyio.current_time()
        return state

    async def _open_owned(self) -> None:
        for number in sorted(self._owned):
            state = self._get_state(number)
            if not state.is_ready:
                await self._wait_for_open(state)

    async def _wait_for_open(self, state: _LedgerState[Value]) -> None:
        """Start an attempt to open a ledger if there is none, and wait for it.

        Returns at once if the last attempt failed recently.
        """
        elapsed_seconds = anyio.current_time() - state.failed_at
        if state.failure is not None and elapsed_seconds < OPEN_RETRY_SECONDS:
            return
        if self._tasks is None:
            return
        if state.opening is None:
            state.opening = anyio.Event()
            self._tasks.start_soon(self._open, state, state.opening)
        await state.opening.wait()

    async def _open(
        self, state: _LedgerState[Value], ended: anyio.Event
    ) -> None:
        try:
            outcome = await self._confirm_or_open(state)
            state.failure = outcome.err()
            state.failed_at = anyio.current_time()
            state.needs_confirmation = (
                state.needs_confirmation and outcome.is_err()
            )
        finally:
            state.opening = None
            ended.set()

    async def _confirm_or_open(self, state: _LedgerState[Value]) -> _Outcome:
        """Open a ledger, unless it is open and this host still owns it."""
        if state.owned_ledger.is_open:
            confirmed = await state.owned_ledger.confirm_ownership()
            if confirmed.is_err() or state.owned_ledger.is_open:
                return confirmed
        now = anyio.current_time()
        if state.opened_at is not None:
            elapsed_seconds = now - state.opened_at
            if elapsed_seconds < CONTENTION_WINDOW_SECONDS + state.backoff:
                doubled = max(MIN_BACKOFF_SECONDS, state.backoff * 2)
                state.backoff = min(doubled, MAX_BACKOFF_SECONDS)
                await anyio.sleep(max(0.0, state.backoff - elapsed_seconds))
            else:
                state.backoff = 0.0
        outcome = await state.owned_ledger.open()
        if outcome.is_ok():
            state.opened_at = anyio.current_time()
        return outcome

    def _drop_disowned(self, now: float) -> None:
        """Close and forget ledgers that were disowned long enough ago."""
        for number, state in list(self._states.items()):
            disowned_at = state.disowned_at
            if (
                disowned_at is not None
                and now - disowned_at >= DISOWNED_CLOSE_SECONDS
            ):
                state.owned_ledger.close()
                del self._states[number]


def is_store_down(failure: verdicts.Failure) -> bool:
    """Return whether a ledger was not opened because the store is down."""
    return failure.event in (
        events.STORE_UNAVAILABLE,
        events.STORE_OUTCOME_UNKNOWN,
    )
