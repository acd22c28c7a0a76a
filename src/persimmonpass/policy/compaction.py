"""Chooses which segments of a ledger are merged or dropped."""

import typing

MAX_SEGMENT_BYTES = 800_000
FULL_SEGMENT_BYTES = 400_000
MERGE_SEGMENTS = 8
MAX_SEGMENTS = 1_000
# Segments dropped per spill, which moves a head's records to a new segment.
# Once small segments are merged, a spill adds less than one segment on
# average, so few keys await deletion.
MAX_EXPIRED = 1


class Segment(typing.NamedTuple):
    """Reference to an immutable object with earlier records of a ledger.

    :ivar key: key of the object in the store
    :ivar clock: clock of the ledger when the last record of the segment was
        committed, in seconds
    :ivar size: length in bytes
    """

    key: str
    clock: float
    size: int


class Plan(typing.NamedTuple):
    """What happens to a head's segments when it spills its records.

    :ivar expired: oldest segments, to be dropped
    :ivar kept: segments that stay unchanged
    :ivar merged: newest segments, whose records are merged with those of
        the head
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
    """Return which segments to drop, keep and merge with a head.

    The plan depends on the arguments only, so a retry writes the same
    segment.

    :param segments: segments of the head, oldest first
    :param clock: clock of the head in seconds
    :param retention_seconds: age by the clock of the ledger above which a
        segment is dropped; ``None`` to keep all
    :param size: size of the head's records in bytes
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
    """Return the newest segments that fit into one, oldest first."""
    tail: list[Segment] = []
    total = size
    for segment in reversed(segments):
        total += segment.size
        if segment.size >= FULL_SEGMENT_BYTES or total > MAX_SEGMENT_BYTES:
            break
        tail.insert(0, segment)
    return tail
