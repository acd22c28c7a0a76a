"""Decides which part of a prompt crashes the targets that answer it.

Answers the load of requests that all differ but share one part of their
prompt, which crashes each target that begins to answer it. Whole requests
tell nothing there. A part is found by the crashes of the runs that had it,
and cleared by each run with it that is answered. Targets also crash for other
reasons, many at once, so that crashes count once if the later run had begun
before the earlier crash.
"""

import collections.abc
import math
import typing

# Two crashes of runs with a common part still happen by chance when targets
# crash in a burst.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# Each trial of a refused part may crash a target, so that each pause is
# several times as long as the one before.
FIRST_TRIAL_SECONDS = 2.0
TRIAL_FACTOR = 3.0
MAX_TRIALS = 5


class BrokenRun(typing.NamedTuple):
    """A run whose target crashed before it had answered.

    :ivar parts: ids of the parts of the prompt that other requests may share
    :ivar began_at: local clock when the run was sent, in seconds
    :ivar at: local clock at the crash, in seconds
    """

    request_id: str
    target: str
    parts: tuple[str, ...]
    began_at: float
    at: float


class Answered(typing.NamedTuple):
    """Runs with a part that were answered.

    :ivar runs: number of these runs
    :ivar last_at: local clock at the last of them, in seconds
    """

    runs: int
    last_at: float


def shared_parts(parts: collections.abc.Sequence[str]) -> tuple[str, ...]:
    """Return the parts of a prompt that can crash targets.

    The last part belongs to one request or session only.

    :param parts: ids of all parts, in order
    """
    return tuple(dict.fromkeys(parts[:-1]))


def find_cause(
    runs: collections.abc.Iterable[BrokenRun],
    answered: collections.abc.Mapping[str, Answered],
) -> str | None:
    """Return the part that crashes targets, ``None`` if there is none.

    If several parts fit, it is the one that was answered least often, and of
    these the last one in the prompt, which the fewest requests share.

    :param runs: runs that no known part explains
    :param answered: answered runs by part
    """
    suspects: dict[str, list[BrokenRun]] = {}
    depths: dict[str, int] = {}
    for run in runs:
        for depth, part in enumerate(run.parts):
            known = answered.get(part)
            if known is None or run.at > known.last_at:
                suspects.setdefault(part, []).append(run)
                depths[part] = depth
    causes = [part for part, broken in suspects.items() if _is_cause(broken)]
    if not causes:
        return None
    never = Answered(0, 0.0)
    return min(
        causes,
        key=lambda part: (answered.get(part, never).runs, -depths[part]),
    )


def _is_cause(runs: list[BrokenRun]) -> bool:
    """Return whether runs with a common part crashed by more than chance."""
    targets = {run.target for run in runs}
    requests = {run.request_id for run in runs}
    return (
        len(targets) >= MIN_CRASHES
        and len(requests) >= MIN_REQUESTS
        and _count_independent(runs) >= MIN_CRASHES
    )


def _count_independent(runs: list[BrokenRun]) -> int:
    """Return the number of crashes that cannot have had one outside cause."""
    count = 0
    last_crash_at = float('-inf')
    for run in sorted(runs, key=lambda run: run.at):
        if run.began_at >= last_crash_at:
            count += 1
            last_crash_at = run.at
    return count


def trial_pause(trials: int) -> float:
    """Return the pause before the next trial of a refused part, in seconds.

    It is infinite after ``MAX_TRIALS``.

    :param trials: number of trials so far
    """
    if trials >= MAX_TRIALS:
        return math.inf
    return FIRST_TRIAL_SECONDS * TRIAL_FACTOR**trials
