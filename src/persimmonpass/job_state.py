"""State of one batch job, built from the store records seen so far."""

import collections.abc
import time

import anyio

from persimmonpass import job_records

# Takes the stored headers of an item and returns the name of its account.
ReadAccount = collections.abc.Callable[
    [collections.abc.Iterable[tuple[str, str]]], str
]


def count_tokens(items: collections.abc.Iterable[job_records.Item]) -> int:
    """Return the tokens of items.

    A negative number counts as zero, as it would let other items wait beyond
    the limit.
    """
    return sum(max(0, item.tokens) for item in items)


def read_account(job: job_records.Job, read: ReadAccount) -> str:
    """Return the account to which a job belongs.

    :returns: empty for none, or if the items do not all name the same one
    """
    names = {read(item.headers) for item in job.items}
    return names.pop() if len(names) == 1 else ''


class JobState:
    """A batch job as this host knows it.

    :ivar order: lower for jobs that this host learned of earlier
    :ivar seen_at: when this host learned of the job, in seconds of the event
        loop's clock
    :ivar age_seconds: age of the job when this host read its record, at least
        0: this host's time of day minus ``accepted_at`` of the job
    :ivar account: name of the account of the job; empty for none
    :ivar results: results by position; entries are only ever appended
    :ivar groups: number of groups of results that ``results`` contains
    :ivar done: ids of the items that have a result
    :ivar changed: set at the next change, then replaced by a new event
    """

    def __init__(
        self, order: int, read_account: ReadAccount = lambda headers: ''
    ) -> None:
        self.order = order
        self.seen_at = anyio.current_time()
        self.age_seconds = 0.0
        self.job: job_records.Job | None = None
        self.account = ''
        self.ended = False
        self.results: list[job_records.ItemResult] = []
        self.groups = 0
        self.done: set[str] = set()
        self.changed = anyio.Event()
        self._read_account = read_account
        self._pending_groups: dict[int, list[job_records.ItemResult]] = {}

    @property
    def open_items(self) -> list[int]:
        """Positions in the job of the items without a result."""
        if self.job is None:
            return []
        return [
            number
            for number, item in enumerate(self.job.items)
            if item.id not in self.done
        ]

    @property
    def is_open(self) -> bool:
        """Whether the job still has items to run."""
        return (
            self.job is not None
            and not self.ended
            and len(self.done) < len(self.job.items)
        )

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result; 0 for an ended job."""
        if self.job is None or not self.is_open:
            return 0
        return count_tokens(
            item for item in self.job.items if item.id not in self.done
        )

    def apply(self, change: job_records.Change) -> None:
        """Apply the change that a record describes.

        Groups of results may arrive in any order. A group is held back until
        all groups before it are known; one that is already known is ignored.
        """
        if change.job is not None and self.job is None:
            self.job = change.job
            self.account = read_account(change.job, self._read_account)
            self.age_seconds = max(0.0, time.time() - change.job.accepted_at)
        if change.ended:
            self.ended = True
        if change.results is not None and change.number >= self.groups:
            self._pending_groups[change.number] = change.results
            while self.groups in self._pending_groups:
                group = self._pending_groups.pop(self.groups)
                self.groups += 1
                self.results += group
                self.done.update(item_result.item for item_result in group)
        self.changed.set()
        self.changed = anyio.Event()
