"""Keeps the ledgers of one host open.

Ledgers are opened in the background, so that a call waits for one only as
long as it wants to. One that this host no longer should own is put aside:
if it comes back, a single read tells whether it is still ours.
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
FAIL_FAST_SECONDS = 0.5
# Two hosts that both believe that they own a ledger take it in turns, ever
# more slowly, until they agree.
CONTENDED_SECONDS = 10.0
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0
SETTLE_SECONDS = 1.0
IDLE_SECONDS = 30.0

Value = typing.TypeVar('Value')
_Outcome = result.Result[None, verdicts.Failure]


class _Slot(typing.Generic[Value]):
    """One ledger.

    :ivar opening: set when the attempt to open it that goes on has ended
    :ivar unsure: another host may have owned it since its last write
    :ivar failure: why it could not be opened
    """

    def __init__(self, owned_ledger: ledger.Ledger[Value]) -> None:
        self.owned_ledger = owned_ledger
        self.opening: anyio.Event | None = None
        self.unsure = False
        self.failure: verdicts.Failure | None = None
        self.failed_at = 0.0
        self.opened_at: float | None = None
        self.backoff = 0.0
        self.put_aside_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the ledger may be used without asking the store."""
        return self.owned_ledger.is_open and not self.unsure


class _Call:
    """A call that goes on when nobody waits for it any more."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.outcome: _Outcome | None = None


class OpenLedgers(typing.Generic[Value]):
    """Ledgers by number, opened when they are owned or asked for."""

    def __init__(
        self, make: collections.abc.Callable[[int], ledger.Ledger[Value]]
    ) -> None:
        """Make an empty set.

        :param make: returns the closed ledger of a number
        """
        self._make = make
        self._slots: dict[int, _Slot[Value]] = {}
        self._owned: set[int] = set()
        self._owned_changed_at = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Open the owned ledgers one after the other, for ever."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                now = anyio.current_time()
                if now - self._owned_changed_at >= SETTLE_SECONDS:
                    await self._open_owned()
                self._drop_idle(now)
                await anyio.sleep(FAIL_FAST_SECONDS)

    def set_owned(self, owned: collections.abc.Iterable[int]) -> None:
        """Say which ledgers this host should own."""
        owned = set(owned)
        if owned == self._owned:
            return
        now = anyio.current_time()
        self._owned = owned
        self._owned_changed_at = now
        for number, slot in self._slots.items():
            if number in owned:
                slot.put_aside_at = None
            elif slot.put_aside_at is None:
                slot.put_aside_at = now
                slot.unsure = True

    async def get(
        self, number: int
    ) -> result.Result[ledger.Ledger[Value], verdicts.Failure]:
        """Return an open ledger, or why it is not open.

        The failure comes at once while the store is known not to answer.
        """
        slot = self._slot(number)
        if not slot.is_ready:
            with anyio.move_on_after(OPEN_WAIT_SECONDS):
                await self._ensure(slot)
        if slot.is_ready:
            return result.Ok(slot.owned_ledger)
        late = store.unavailable(f'{slot.owned_ledger.path} is not open yet')
        return result.Err(slot.failure or late)

    async def get_confirmed(
        self, number: int
    ) -> result.Result[ledger.Ledger[Value], verdicts.Failure]:
        """Return a ledger that was open and this host's during the call."""
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
        """Append for a limited time; after it the outcome is unknown."""
        call = _Call()

        async def append() -> None:
            call.outcome = await owned_ledger.append(records)
            call.done.set()

        if self._tasks is None:
            return result.Err(store.unavailable('the daemon is starting'))
        self._tasks.start_soon(append)
        with anyio.move_on_after(limit_seconds):
            await call.done.wait()
        late = store.outcome_unknown(f'{owned_ledger.path} took too long')
        return call.outcome or result.Err(late)

    def _slot(self, number: int) -> _Slot[Value]:
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = _Slot(self._make(number))
            if number not in self._owned:
                slot.put_aside_at = anyio.current_time()
        return slot

    async def _open_owned(self) -> None:
        for number in sorted(self._owned):
            slot = self._slot(number)
            if not slot.is_ready:
                await self._ensure(slot)

    async def _ensure(self, slot: _Slot[Value]) -> None:
        """Wait until an attempt to open a ledger has ended."""
        since = anyio.current_time() - slot.failed_at
        if slot.failure is not None and since < FAIL_FAST_SECONDS:
            return
        if self._tasks is None:
            return
        if slot.opening is None:
            slot.opening = anyio.Event()
            self._tasks.start_soon(self._open, slot, slot.opening)
        await slot.opening.wait()

    async def _open(self, slot: _Slot[Value], ended: anyio.Event) -> None:
        try:
            outcome = await self._confirm_or_open(slot)
            slot.failure = outcome.err()
            slot.failed_at = anyio.current_time()
            slot.unsure = slot.unsure and outcome.is_err()
        finally:
            slot.opening = None
            ended.set()

    async def _confirm_or_open(self, slot: _Slot[Value]) -> _Outcome:
        if slot.owned_ledger.is_open:
            confirmed = await slot.owned_ledger.confirm_ownership()
            if confirmed.is_err() or slot.owned_ledger.is_open:
                return confirmed
        now = anyio.current_time()
        if slot.opened_at is not None:
            since = now - slot.opened_at
            if since < CONTENDED_SECONDS + slot.backoff:
                longer = max(MIN_BACKOFF_SECONDS, slot.backoff * 2)
                slot.backoff = min(longer, MAX_BACKOFF_SECONDS)
                await anyio.sleep(max(0.0, slot.backoff - since))
            else:
                slot.backoff = 0.0
        outcome = await slot.owned_ledger.open()
        if outcome.is_ok():
            slot.opened_at = anyio.current_time()
        return outcome

    def _drop_idle(self, now: float) -> None:
        for number, slot in list(self._slots.items()):
            aside = slot.put_aside_at
            if aside is not None and now - aside >= IDLE_SECONDS:
                slot.owned_ledger.close()
                del self._slots[number]


def is_store_down(failure: verdicts.Failure) -> bool:
    """Return whether a ledger was not opened since the store is down."""
    return failure.event in (
        events.STORE_UNAVAILABLE,
        events.STORE_OUTCOME_UNKNOWN,
    )
