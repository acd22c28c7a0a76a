"""Decides which part of a prompt crashes the targets that answer it.

Answers the load of requests that all differ but share one part of their
prompt, which crashes each target that begins to answer it. Whole requests
tell nothing there. A part is found by the crashes of the runs that had it,
and cleared by each run with it that is answered. Targets also crash for other
reasons, many at once, so that crashes count once if the later run had begun
before the earlier crash.
"""

import collections.abc
import typing

# Two crashes of runs with a common part still happen by chance when targets
# crash in a burst.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# A part that was answered this often, and lately, is sound: a part that
# crashes targets is never answered.
MIN_SOUND_RUNS = 3
SOUND_SECONDS = 10.0
# Each failed trial of a refused part has crashed a target, so that each pause
# is several times as long as the one before. Trials without a verdict, whose
# links broke, are repeated within a minute.
FIRST_TRIAL_SECONDS = 2.0
TRIAL_FACTOR = 4.0
RETRIAL_FACTOR = 2.0
MAX_RETRIAL_SECONDS = 60.0


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
            if known is None or not _is_sound(known, run.at):
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


def _is_sound(known: Answered, at: float) -> bool:
    """Return whether a part that was answered cannot have crashed a target."""
    if at <= known.last_at:
        return True
    is_recent = at - known.last_at < SOUND_SECONDS
    return is_recent and known.runs >= MIN_SOUND_RUNS


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


def trial_pause(failures: int) -> float:
    """Return the pause before the next trial of a refused part, in seconds.

    :param failures: number of trials so far that crashed a target
    """
    return FIRST_TRIAL_SECONDS * TRIAL_FACTOR**failures


def retrial_pause(trials: int) -> float:
    """Return the pause after a trial without a verdict, in seconds.

    :param trials: number of trials so far without a verdict
    """
    pause = FIRST_TRIAL_SECONDS * RETRIAL_FACTOR ** min(trials, 8)
    return min(MAX_RETRIAL_SECONDS, pause)
