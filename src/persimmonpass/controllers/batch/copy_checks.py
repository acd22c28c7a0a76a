"""Tells whether the copy of the jobs on this host is current.

A caller that has read a result at one host must find it at all hosts soon
after. A copy that was complete a moment ago shows this by itself, and an older
one mostly becomes current while a caller waits a little. Only while the hosts
that watch the store are lost is the store asked for the changes. Tokens that
wait near their limit are counted on a current copy, too.
"""

import anyio

from persimmonpass.controllers.fleet import mirror
from persimmonpass import job_state

# Time after which all hosts show a result that one of them has shown.
SETTLE_SECONDS = 1.0
# Part of it that is left for notices between hosts and for the answer.
MARGIN_SECONDS = 0.2
# A copy that was complete within this time has all results that were shown.
MAX_AGE_SECONDS = SETTLE_SECONDS - MARGIN_SECONDS
# Longest wait for the next report on the copies. Without changes a copy is
# confirmed once a second, which is mostly reported within this time. A read
# that another host forwards must still be answered in time.
REPORT_WAIT_SECONDS = 0.35
POLL_SECONDS = 0.02


async def confirm(
    copy: mirror.Mirror, state: job_state.JobState, position: int
) -> bool:
    """Confirm that a job has no result at a position, or find it.

    :param copy: copy of the records of jobs
    :param state: the job as the copy shows it
    :returns: whether the results in ``state`` are all that another host may
        have shown; ``False`` if this is unknown
    """

    def is_settled() -> bool:
        return (
            len(state.results) > position or copy.age_seconds < MAX_AGE_SECONDS
        )

    with anyio.move_on_after(REPORT_WAIT_SECONDS):
        while not is_settled():
            await anyio.sleep(POLL_SECONDS)
    return is_settled() or await make_current(copy)


async def make_current(copy: mirror.Mirror) -> bool:
    """Ask the store for what a copy lacks, unless it is current.

    :returns: whether the copy has all changes that another host may have shown
    """
    return await copy.confirm(anyio.current_time() - MAX_AGE_SECONDS)
