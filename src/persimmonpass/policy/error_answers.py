"""Decides which targets are held back because they answer with errors.

Answers the load of a target that fails at once: it is always free, so that it
gets more requests than any other, and those that may not run twice end there.
Its errors are weighed against those of the other targets of its service,
because errors that all targets give come from the requests.

Each answer adds to or takes from a score, the logarithm of how much better a
failing target explains the answers than an ordinary one. The score fades, so
that a target that was held back is tried again without any further rule: with
one request at a time, of which an error holds it back at once.
"""

import collections.abc
import enum
import math
import statistics
import typing

# Least share of errors that an ordinary target is taken to give. A failing
# target gives that many more of all its answers.
MIN_ORDINARY_SHARE = 0.02
MAX_ORDINARY_SHARE = 0.95
EXCESS_SHARE = 0.2
# Two errors in a row hold a target back (ln 10 each).
HOLD_SCORE = 4.0
TRIAL_SCORE = 2.0
# A target that has failed for long is tried as soon as one that has just
# begun to.
MAX_SCORE = 7.0
# Time in which scores and counts fall to about a third. A single error on
# trial holds a target back for half of it.
FADE_SECONDS = 6.0
# A target that answers on trial has probably recovered. One that fails a fifth
# of its requests answers several in a row, too.
TRIAL_SUCCESS_WEIGHT = 0.9
# If more targets fail, holding them all back would serve nobody.
MAX_HELD_SHARE = 0.5
# If the middle target gives that many errors, they are the requests' fault, or
# there is nothing better to choose.
MAX_USEFUL_SHARE = 0.3
MIN_SERVER_ERROR = 500
# A target gives up a request at its deadline, for which the caller or a queue
# may be the reason.
GATEWAY_TIMEOUT = 504


class Standing(enum.Enum):
    """Which requests a target may get."""

    ORDINARY = 'ordinary'
    TRIAL = 'trial'
    HELD = 'held'


class Record(typing.NamedTuple):
    """What the answers of a target say of it.

    :ivar score: see the module
    :ivar errors: errors among the answers, fading
    :ivar answers: all answers, fading
    :ivar at: local clock of the last answer, in seconds
    """

    score: float = 0.0
    errors: float = 0.0
    answers: float = 0.0
    at: float = 0.0


def is_error(status: int) -> bool:
    """Return whether an answer may show that its target fails."""
    return status >= MIN_SERVER_ERROR and status != GATEWAY_TIMEOUT


def faded(record: Record, now: float) -> Record:
    """Return a record as it counts now.

    :param now: local clock in seconds
    """
    weight = math.exp(-max(0.0, now - record.at) / FADE_SECONDS)
    return Record(
        record.score * weight,
        record.errors * weight,
        record.answers * weight,
        now,
    )


def ordinary_share(
    records: collections.abc.Iterable[Record], count: int
) -> float:
    """Return the share of errors that the targets of a service give.

    It is that of the middle target, so that a few that fail do not count.

    :param records: targets of the service that have answered
    :param count: number of its targets
    """
    shares = [record.errors / (record.answers + 1.0) for record in records]
    shares += [0.0] * (count - len(shares))
    middle = statistics.median_low(shares) if shares else 0.0
    return min(MAX_ORDINARY_SHARE, max(MIN_ORDINARY_SHARE, middle))


def with_answers(
    record: Record,
    errors: int,
    successes: int,
    ordinary: float,
    now: float,
) -> Record:
    """Return a record after further answers.

    :param ordinary: see :func:`ordinary_share`
    :param now: local clock in seconds
    """
    before = faded(record, now)
    failing = ordinary + EXCESS_SHARE * (1 - ordinary)
    score = before.score + errors * math.log(failing / ordinary)
    match standing(before.score):
        case Standing.ORDINARY:
            score += successes * math.log((1 - failing) / (1 - ordinary))
        case Standing.TRIAL:
            score *= TRIAL_SUCCESS_WEIGHT**successes
        case Standing.HELD:
            # Requests that were sent before end now; only time counts.
            pass
    return Record(
        min(MAX_SCORE, max(0.0, score)),
        before.errors + errors,
        before.answers + errors + successes,
        now,
    )


def without_error(record: Record, ordinary: float) -> Record:
    """Return a record without an error that was not the target's fault.

    :param ordinary: see :func:`ordinary_share`
    """
    failing = ordinary + EXCESS_SHARE * (1 - ordinary)
    return record._replace(
        score=max(0.0, record.score - math.log(failing / ordinary)),
        errors=max(0.0, record.errors - 1),
    )


def standing(score: float) -> Standing:
    """Return the standing of a target by its score."""
    if score >= HOLD_SCORE:
        return Standing.HELD
    return Standing.TRIAL if score >= TRIAL_SCORE else Standing.ORDINARY


def standings(
    scores: collections.abc.Mapping[str, float], count: int, ordinary: float
) -> dict[str, Standing]:
    """Return the targets of a service that do not stand as ordinary.

    :param scores: present score by target
    :param count: number of targets of the service
    :param ordinary: see :func:`ordinary_share`
    """
    if ordinary > MAX_USEFUL_SHARE:
        return {}
    worst = sorted(scores, key=lambda name: (-scores[name], name))
    found = {
        name: standing(scores[name])
        for name in worst[: math.floor(count * MAX_HELD_SHARE)]
    }
    return {
        name: row
        for name, row in found.items()
        if row is not Standing.ORDINARY
    }
