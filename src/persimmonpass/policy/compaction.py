"""Chooses the segments of a ledger that are merged or dropped."""

import typing

MAX_SEGMENT_BYTES = 800_000
FULL_SEGMENT_BYTES = 400_000
MERGE_SEGMENTS = 8
MAX_SEGMENTS = 1_000
# One is more than are added for each spill, once small ones are merged; so
# the names that wait for their deletion stay few.
MAX_EXPIRED = 1


class Segment(typing.NamedTuple):
    """Names an immutable object with earlier records of a ledger.

    :ivar key: the store's key
    :ivar clock: the ledger's clock when its last record was committed
    :ivar size: length in bytes
    """

    key: str
    clock: float
    size: int


class Plan(typing.NamedTuple):
    """What becomes of a head's segments when its records get their own.

    :ivar expired: oldest segments, to be dropped
    :ivar kept: segments that stay
    :ivar merged: newest segments, whose records join those of the head
    """

    expired: list[Segment]
    kept: list[Segment]
    merged: list[Segment]


def plan(
    segments: list[Segment],
    clock: float,
    retention_seconds: float | None,
    size: int,
) -> Plan:
    """Plan the segments after those of a head.

    The plan follows from its arguments alone, so that a repeated try writes
    the same segment.

    :param segments: segments of the head, oldest first
    :param clock: the head's clock in seconds
    :param retention_seconds: age by the ledger's clock at which a segment
        is dropped; ``None`` for never
    :param size: bytes of the head's records
    """
    expired = _expired(segments, clock, retention_seconds)
    rest = segments[len(expired) :]
    merged = _small_tail(rest, size)
    if len(merged) + 1 < MERGE_SEGMENTS:
        merged = []
    return Plan(expired, rest[: len(rest) - len(merged)], merged)


def _expired(
    segments: list[Segment],
    clock: float,
    retention_seconds: float | None,
) -> list[Segment]:
    if retention_seconds is None:
        return []
    oldest: list[Segment] = []
    for segment in segments[:MAX_EXPIRED]:
        if clock - segment.clock <= retention_seconds:
            break
        oldest.append(segment)
    return oldest


def _small_tail(segments: list[Segment], size: int) -> list[Segment]:
    """Return the newest segments that fit in one, oldest first."""
    tail: list[Segment] = []
    total = size
    for segment in reversed(segments):
        total += segment.size
        if segment.size >= FULL_SEGMENT_BYTES or total > MAX_SEGMENT_BYTES:
            break
        tail.insert(0, segment)
    return tail
