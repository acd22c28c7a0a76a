"""Decides which bodies bring targets down.

All bodies that ran on a target when it died are suspects. A suspect then
runs only on a target that is kept for it, so that a further death has one
cause, and a body that merely ran beside it is cleared by finishing.
"""

import typing

TARGETS_LOST = 2


class CrashRecord(typing.NamedTuple):
    """What is held against a body.

    :ivar lost: targets that died while they ran it
    :ivar alone: whether it was the only body on one of them
    """

    lost: frozenset[str] = frozenset()
    alone: bool = False


def on_crash(suspicion: CrashRecord, target: str, alone: bool) -> CrashRecord:
    """Return the suspicion after a target died.

    :param alone: whether nothing else ran there
    """
    return CrashRecord(suspicion.lost | {target}, suspicion.alone or alone)


def is_quarantined(suspicion: CrashRecord) -> bool:
    """Return whether the body must not run again."""
    return suspicion.alone and len(suspicion.lost) >= TARGETS_LOST
