"""Accounts of jobs, and the tokens that wait for each account."""

import collections
import collections.abc
import typing

from persimmonpass import job_records
from persimmonpass import job_state

# Bounds the label values of the gauge of waiting tokens.
MAX_LABELS = 400
OTHER_LABEL = 'other'


class AccountPort(typing.NamedTuple):
    """What the job log has to know about accounts.

    :ivar read_account: takes the stored headers of an item; returns the name
        of its account, empty for none
    :ivar has_accounts: returns whether the configuration has accounts
    """

    read_account: job_state.ReadAccount
    has_accounts: collections.abc.Callable[[], bool]


NO_ACCOUNTS = AccountPort(lambda headers: '', lambda: False)


class JobAccounts:
    """Accounts of the jobs of a log."""

    def __init__(
        self,
        jobs: collections.abc.Mapping[str, job_state.JobState],
        port: AccountPort,
    ) -> None:
        self._jobs = jobs
        self._port = port
        # Account, route and tokens of the jobs that this host is storing.
        self._accepting: dict[str, list[tuple[str | None, str, int]]] = {}

    def make_state(self, order: int) -> job_state.JobState:
        """Return the state of a job that is not known yet."""
        return job_state.JobState(order, self._port.read_account)

    def account_of(self, job: job_records.Job) -> str | None:
        """Return the account of a job, empty for none.

        :returns: ``None`` if the configuration has no accounts
        """
        if not self._port.has_accounts():
            return None
        return job_state.read_account(job, self._port.read_account)

    def begin(self, job: job_records.Job, account: str | None) -> None:
        """Count the tokens of a job while it is being stored."""
        row = (account, job.route, job_state.count_tokens(job.items))
        self._accepting.setdefault(job.id, []).append(row)

    def finish(self, job_id: str) -> None:
        """Stop counting a job that is no longer being stored."""
        rows = self._accepting[job_id]
        rows.pop()
        if not rows:
            del self._accepting[job_id]

    def waiting_tokens(
        self, route: str, account: str | None, without: str = ''
    ) -> int:
        """Return the tokens that wait on a route.

        Jobs that this host is still storing are counted too.

        :param account: whose tokens to count; ``None`` for all
        :param without: id of a job that is not counted
        """
        waiting = sum(
            state.waiting_tokens
            for job_id, state in self._jobs.items()
            if state.job is not None
            and state.job.route == route
            and account in (None, state.account)
            and job_id != without
        )
        return waiting + sum(
            rows[0][2]
            for job_id, rows in self._accepting.items()
            if rows[0][1] == route
            and account in (None, rows[0][0])
            and job_id not in self._jobs
            and job_id != without
        )

    def waiting_by_account(self) -> dict[str, int]:
        """Return the waiting tokens of accounts, the largest first.

        The accounts beyond the first :data:`MAX_LABELS` are summed up. Empty
        without accounts.
        """
        if not self._port.has_accounts():
            return {}
        return bounded(waiting_by_account(self._jobs.values()), MAX_LABELS)


def waiting_by_account(
    states: collections.abc.Iterable[job_state.JobState],
) -> dict[str, int]:
    """Return the tokens that wait on all routes, by account."""
    waiting: collections.Counter[str] = collections.Counter()
    for state in states:
        if state.account:
            waiting[state.account] += state.waiting_tokens
    return {name: tokens for name, tokens in waiting.items() if tokens}


def bounded(
    waiting: collections.abc.Mapping[str, int], limit: int
) -> dict[str, int]:
    """Return the largest counts and the sum of the others.

    :param limit: number of entries that are returned at most
    """
    ranked = sorted(waiting.items(), key=lambda row: (-row[1], row[0]))
    if len(ranked) <= limit:
        return dict(ranked)
    kept = dict(ranked[: limit - 1])
    rest = sum(tokens for _, tokens in ranked[limit - 1 :])
    kept[OTHER_LABEL] = kept.get(OTHER_LABEL, 0) + rest
    return kept
