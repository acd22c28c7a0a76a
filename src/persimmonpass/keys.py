"""Idempotency keys and their results, kept in sharded ledgers."""

import collections.abc
import typing

import anyio
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import store
from persimmonpass import verdicts

RESERVED = 'reserved'
RELEASED = 'released'
DONE = 'done'

STARTED = 'started'
RUNNING = 'running'
UNKNOWN = 'unknown'


class Answer(typing.NamedTuple):
    """A recorded answer.

    :ivar status: HTTP status
    :ivar content_type: media type of the body
    """

    status: int
    content_type: str
    body: bytes


class KeyState(typing.NamedTuple):
    """What the ledger says of a key.

    :ivar status: ``RESERVED``, ``RELEASED`` or ``DONE``
    :ivar fingerprint: digest of the request's body
    :ivar attempt: attempt that reserved or finished it
    :ivar answer: set once it is done
    """

    status: str
    fingerprint: str
    attempt: str
    answer: Answer | None = None


class Begin(typing.TypedDict):
    """Asks to start a request.

    :ivar shard: number of the ledger
    :ivar durable: commit the reservation before the request is sent
    """

    shard: int
    key: str
    fingerprint: str
    attempt: str
    durable: bool


class Begun(typing.TypedDict):
    """Answer to :class:`Begin`.

    :ivar state: ``STARTED``, ``RUNNING``, ``UNKNOWN`` or ``DONE``
    :ivar answer: set if the state is ``DONE``
    """

    state: str
    answer: Answer | None


class Finish(typing.TypedDict):
    """Asks to keep the answer of an attempt."""

    shard: int
    key: str
    fingerprint: str
    attempt: str
    answer: Answer


class Release(typing.TypedDict):
    """Says that an attempt did not run."""

    shard: int
    key: str
    attempt: str


class _Running:
    """An attempt that this owner knows to be in progress."""

    def __init__(self, begin: Begin) -> None:
        self.begin = begin
        self.done = anyio.Event()


def merge(state: KeyState | None, record: ledger.Record) -> KeyState:
    """Fold a record into the state of its key; the first result wins."""
    status = record.kind
    fingerprint, attempt, answer = record.body
    if state is not None and state.status == DONE:
        return state
    if status == DONE:
        return KeyState(DONE, fingerprint, attempt, Answer(*answer))
    if state is None or state.status == RELEASED:
        return KeyState(status, fingerprint, attempt)
    if status == RELEASED and attempt == state.attempt:
        return KeyState(RELEASED, fingerprint, attempt)
    return state


def reused(key: str) -> verdicts.Failure:
    """Return the failure of a key that came with another body."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.KEY_REUSED,
        f'idempotency key {key!r} was used with another body',
        422,
        None,
        'Idempotency-Key',
    )


class KeyShards:
    """The key ledgers that this host owns."""

    def __init__(self, port: store.StorePort, host: str) -> None:
        self._port = port
        self._host = host
        self._ledgers: dict[int, ledger.Ledger[KeyState]] = {}
        self._running: dict[tuple[int, str], _Running] = {}
        self._opening = anyio.Lock()

    async def begin(
        self, begin: Begin
    ) -> result.Result[Begun, verdicts.Failure]:
        """Start a request unless its key was used before.

        :param begin: a repeated call with the same attempt is answered the
            same way
        """
        opened = await self._open(begin['shard'])
        if isinstance(opened, result.Err):
            return opened
        known = self._known(opened.ok_value, begin)
        if known is not None:
            return known
        running = _Running(begin)
        self._running[(begin['shard'], begin['key'])] = running
        if begin['durable']:
            record = ledger.Record(
                begin['key'],
                RESERVED,
                [begin['fingerprint'], begin['attempt'], None],
            )
            kept = await opened.ok_value.append([record])
            if isinstance(kept, result.Err):
                self._stop(begin['shard'], begin['key'], begin['attempt'])
                # Nothing was sent to a target, whatever the store did.
                failure = kept.err_value
                return result.Err(
                    failure._replace(verdict=verdicts.Verdict.NOT_RUN)
                )
        return result.Ok(Begun(state=STARTED, answer=None))

    async def finish(
        self, finish: Finish
    ) -> result.Result[Answer, verdicts.Failure]:
        """Keep an answer and return the one that counts."""
        opened = await self._open(finish['shard'])
        if isinstance(opened, result.Err):
            return opened
        book = opened.ok_value
        state = book.get(finish['key'])
        if state is None or state.status != DONE:
            record = ledger.Record(
                finish['key'],
                DONE,
                [
                    finish['fingerprint'],
                    finish['attempt'],
                    list(finish['answer']),
                ],
            )
            kept = await book.append([record])
            if isinstance(kept, result.Err):
                return kept
        self._stop(finish['shard'], finish['key'], finish['attempt'])
        state = book.get(finish['key'])
        if state is None or state.answer is None:
            return result.Err(
                ledger.lost(book.path, verdicts.Verdict.MAY_HAVE_RUN)
            )
        return result.Ok(state.answer)

    async def release(
        self, release: Release
    ) -> result.Result[None, verdicts.Failure]:
        """Free a key whose attempt certainly did not run."""
        opened = await self._open(release['shard'])
        if isinstance(opened, result.Err):
            return opened
        book = opened.ok_value
        state = book.get(release['key'])
        self._stop(release['shard'], release['key'], release['attempt'])
        if state is None or state.status != RESERVED:
            return result.Ok(None)
        record = ledger.Record(
            release['key'],
            RELEASED,
            [state.fingerprint, release['attempt'], None],
        )
        return await book.append([record])

    async def abandon(
        self, release: Release
    ) -> result.Result[None, verdicts.Failure]:
        """Note that an attempt ended and that its outcome is unknown."""
        self._stop(release['shard'], release['key'], release['attempt'])
        return result.Ok(None)

    async def look_up(
        self, shard: int, key: str, wait_seconds: float = 0.0
    ) -> result.Result[Begun, verdicts.Failure]:
        """Return the answer of a key, or whether it is in progress.

        :param wait_seconds: how long to wait for one that is in progress
        """
        opened = await self._open(shard)
        if isinstance(opened, result.Err):
            return opened
        running = self._running.get((shard, key))
        if running is not None and wait_seconds > 0:
            with anyio.move_on_after(wait_seconds):
                await running.done.wait()
        state = opened.ok_value.get(key)
        if state is not None and state.status == DONE:
            return result.Ok(Begun(state=DONE, answer=state.answer))
        if (shard, key) in self._running:
            return result.Ok(Begun(state=RUNNING, answer=None))
        if state is not None and state.status == RESERVED:
            return result.Ok(Begun(state=UNKNOWN, answer=None))
        return result.Ok(Begun(state=RELEASED, answer=None))

    def drop_others(
        self, owned: collections.abc.Callable[[int], bool]
    ) -> None:
        """Close the ledgers that another host should own now."""
        for shard, book in list(self._ledgers.items()):
            if not owned(shard):
                book.close()
                del self._ledgers[shard]

    def _known(
        self, book: ledger.Ledger[KeyState], begin: Begin
    ) -> result.Result[Begun, verdicts.Failure] | None:
        """Answer a begin from what is known; ``None`` if nothing is."""
        state = book.get(begin['key'])
        running = self._running.get((begin['shard'], begin['key']))
        if state is not None and state.status != RELEASED:
            if state.fingerprint != begin['fingerprint']:
                return result.Err(reused(begin['key']))
            if state.status == DONE:
                return result.Ok(Begun(state=DONE, answer=state.answer))
            if state.attempt == begin['attempt']:
                return result.Ok(Begun(state=STARTED, answer=None))
            found = RUNNING if running is not None else UNKNOWN
            return result.Ok(Begun(state=found, answer=None))
        if running is None:
            return None
        if running.begin['fingerprint'] != begin['fingerprint']:
            return result.Err(reused(begin['key']))
        if running.begin['attempt'] == begin['attempt']:
            return None
        return result.Ok(Begun(state=RUNNING, answer=None))

    def _stop(self, shard: int, key: str, attempt: str) -> None:
        running = self._running.get((shard, key))
        if running is not None and running.begin['attempt'] == attempt:
            running.done.set()
            del self._running[(shard, key)]

    async def _open(
        self, shard: int
    ) -> result.Result[ledger.Ledger[KeyState], verdicts.Failure]:
        async with self._opening:
            book = self._ledgers.get(shard)
            if book is None:
                book = ledger.Ledger(
                    self._port,
                    f'keys/{shard:05d}',
                    self._host,
                    merge,
                    budget.Priority.RESERVATION,
                )
                self._ledgers[shard] = book
            if not book.is_open:
                opened = await book.open()
                if isinstance(opened, result.Err):
                    return opened
            return result.Ok(book)
