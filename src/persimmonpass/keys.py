"""Records of idempotency keys and the messages between hosts about them.

Each key belongs to a shard. The host that owns the shard keeps the shard's
ledger and answers the calls about its keys.
"""

import typing

from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import store
from persimmonpass import verdicts

# Kinds of ledger records, and states of a key in its ledger.
RESERVED = 'reserved'
RELEASED = 'released'
DONE = 'done'

# Further states of a key in the answers of its owner.
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
    """State of a key in the ledger.

    The answer is not part of it; it is read from the ledger when needed.

    :ivar status: ``RESERVED``, ``RELEASED`` or ``DONE``
    :ivar fingerprint: digest of the request's body
    :ivar attempt: attempt that reserved or finished it
    """

    status: str
    fingerprint: str
    attempt: str


class Begin(typing.TypedDict):
    """Call to the owner of a key before its request is sent.

    :ivar shard: number of the shard that holds the key
    :ivar fingerprint: digest of the request's body
    :ivar attempt: id of the attempt
    :ivar durable: whether to commit a reservation before the request is sent
    :ivar host: host that will send the request
    :ivar run: id of the current run of that host's daemon
    :ivar limit_seconds: how long the request may run
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

    :ivar state: ``STARTED``, ``RUNNING``, ``UNKNOWN``, ``RELEASED`` or
        ``DONE``
    :ivar answer: set if the state is ``DONE``
    :ivar recorded: whether the answer is committed
    """

    state: str
    answer: Answer | None
    recorded: bool


class Finish(typing.TypedDict):
    """Call to the owner of a key to commit the answer of an attempt."""

    shard: int
    key: str
    fingerprint: str
    attempt: str
    answer: Answer


class Release(typing.TypedDict):
    """Call to the owner of a key about an attempt that has no answer."""

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
    """Return the ledger record of a change of a key.

    :param kind: ``RESERVED``, ``RELEASED`` or ``DONE``
    :param fingerprint: digest of the request's body; empty for a release
    :param answer: set if the kind is ``DONE``
    """
    body = [fingerprint, attempt, list(answer) if answer else None]
    return ledger.Record(key, kind, body)


def merge(state: KeyState | None, record: ledger.Record) -> KeyState:
    """Return the state of a key after a record; the first answer stays.

    :param state: state before the record, ``None`` if the key is new
    """
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
    """Return the first answer of a key in the records, if there is one."""
    for row in records:
        if row.key == key and row.kind == DONE:
            return Answer(*row.body[2])
    return None


def reused(key: str) -> verdicts.Failure:
    """Return the failure of a key that was used with another body."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.KEY_REUSED,
        f'idempotency key {key!r} was used with another body',
        422,
        None,
        'Idempotency-Key',
    )


def not_owned(shard: int) -> verdicts.Failure:
    """Return the failure of a call to a host that does not own the shard."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.LEDGER_LOST,
        f'another host owns shard {shard} of the keys',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def attempt_released(key: str) -> verdicts.Failure:
    """Return the failure of an attempt that its host has released."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_UNAVAILABLE,
        f'the attempt with key {key!r} was released before it was sent',
        503,
        store.RETRY_AFTER_SECONDS,
    )


def lookup_failed(failure: verdicts.Failure) -> verdicts.Failure:
    """Return the failure of a request whose key cannot be looked up.

    The request was not sent, but an earlier one with the same key may have
    run.

    :param failure: why the key could not be looked up
    """
    return failure._replace(
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        message=f'{failure.message}; this request was not sent, but it is '
        'unknown whether its key was used before',
        retry_after_seconds=store.RETRY_AFTER_SECONDS,
    )


def may_commit_later(failure: verdicts.Failure) -> bool:
    """Return whether a failed commit of an answer may succeed later."""
    return failure.event not in (events.KEY_REUSED, events.LEDGER_FULL)
