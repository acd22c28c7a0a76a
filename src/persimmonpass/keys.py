"""Idempotency keys: what is recorded of them and what owners are asked."""

import typing

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
    """What the ledger says of a key; its answer is read back when needed.

    :ivar status: ``RESERVED``, ``RELEASED`` or ``DONE``
    :ivar fingerprint: digest of the request's body
    :ivar attempt: attempt that reserved or finished it
    """

    status: str
    fingerprint: str
    attempt: str


class Begin(typing.TypedDict):
    """Asks to start a request.

    :ivar shard: number of the ledger
    :ivar durable: commit the reservation before the request is sent
    :ivar host: host that will run it
    :ivar run: id of the present run of its daemon
    :ivar limit_seconds: how long it may run
    """

    shard: int
    key: str
    fingerprint: str
    attempt: str
    durable: bool
    host: str
    run: str
    limit_seconds: float


class Begun(typing.TypedDict):
    """Answer to :class:`Begin`.

    :ivar state: ``STARTED``, ``RUNNING``, ``UNKNOWN`` or ``DONE``
    :ivar answer: set if the state is ``DONE``
    :ivar recorded: whether the answer is committed
    """

    state: str
    answer: Answer | None
    recorded: bool


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


def record(
    kind: str,
    key: str,
    fingerprint: str,
    attempt: str,
    answer: Answer | None = None,
) -> ledger.Record:
    """Return the record of what happened to a key."""
    body = [fingerprint, attempt, list(answer) if answer else None]
    return ledger.Record(key, kind, body)


def merge(state: KeyState | None, record: ledger.Record) -> KeyState:
    """Fold a record into the state of its key; the first result wins."""
    fingerprint, attempt, _ = record.body
    changed = KeyState(record.kind, fingerprint, attempt)
    if state is None or state.status == RELEASED:
        return changed
    if state.status == DONE:
        return state
    if record.kind == DONE or attempt == state.attempt:
        return changed
    return state


def find_answer(records: list[ledger.Record], key: str) -> Answer | None:
    """Return the first answer of a key among records."""
    for row in records:
        if row.key == key and row.kind == DONE:
            return Answer(*row.body[2])
    return None


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


def not_owned(shard: int) -> verdicts.Failure:
    """Return the failure of a call to a host that should not own a shard."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.LEDGER_LOST,
        f'another host owns shard {shard} of the keys',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def given_up(key: str) -> verdicts.Failure:
    """Return the failure of an attempt that its host has given up."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_UNAVAILABLE,
        f'the attempt on {key!r} was given up before it was sent',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def lookup_failed(failure: verdicts.Failure) -> verdicts.Failure:
    """Return the failure of a request whose key cannot be looked up.

    This call sent nothing, but an earlier one with the same key may have.
    """
    return failure._replace(
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        message=f'{failure.message}; nothing was sent now, but whether this '
        'key was used before cannot be told',
        retry_after_seconds=store.RETRY_AFTER_SECONDS,
    )


def may_commit_later(failure: verdicts.Failure) -> bool:
    """Return whether an answer that was not committed may be later."""
    return failure.event not in (events.KEY_REUSED, events.LEDGER_FULL)
