"""Decides which request bodies crash targets.

All bodies that ran on a target when it crashed are suspects. From then on a
suspect runs only on a target that is reserved for it, so that a further crash
has only one possible cause. A body that merely ran beside the cause is cleared
when it finishes.
"""

import typing

MIN_LOST_TARGETS = 2


class CrashRecord(typing.NamedTuple):
    """Crashes of targets that ran a request body.

    :ivar lost: targets that crashed while they ran the body
    :ivar alone: whether it was the only body on one of them
    """

    lost: frozenset[str] = frozenset()
    alone: bool = False


def on_crash(record: CrashRecord, target: str, alone: bool) -> CrashRecord:
    """Return the record of a body after a crash of a target that ran it.

    :param target: name of the crashed target
    :param alone: whether nothing else ran at the target
    """
    return CrashRecord(record.lost | {target}, record.alone or alone)


def is_quarantined(record: CrashRecord) -> bool:
    """Return whether a body must not run again."""
    return record.alone and len(record.lost) >= MIN_LOST_TARGETS
