"""A batch job as far as its records are known."""

import time

import anyio

from persimmonpass import job_records


class JobState:
    """A job as far as it is known.

    :ivar seen_at: when this host learned of it, in seconds
    :ivar results: by position; only ever longer
    :ivar groups: number of groups that ``results`` holds
    """

    def __init__(self, order: int) -> None:
        self.order = order
        self.seen_at = anyio.current_time()
        self.age_seconds = 0.0
        self.job: job_records.Job | None = None
        self.ended = False
        self.results: list[job_records.ItemResult] = []
        self.groups = 0
        self.done: set[str] = set()
        self.changed = anyio.Event()
        self._early: dict[int, list[job_records.ItemResult]] = {}

    @property
    def open_items(self) -> list[int]:
        """Numbers of the items without a result."""
        if self.job is None:
            return []
        return [
            number
            for number, item in enumerate(self.job.items)
            if item.id not in self.done
        ]

    @property
    def is_open(self) -> bool:
        """Whether items are left to run."""
        return (
            self.job is not None
            and not self.ended
            and len(self.done) < len(self.job.items)
        )

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result."""
        if self.job is None or self.ended:
            return 0
        return sum(
            item.tokens for item in self.job.items if item.id not in self.done
        )

    def apply(self, change: job_records.Change) -> None:
        """Take what a record says."""
        if change.job is not None and self.job is None:
            self.job = change.job
            self.age_seconds = max(0.0, time.time() - change.job.accepted_at)
        if change.ended:
            self.ended = True
        if change.results is not None and change.number >= self.groups:
            self._early[change.number] = change.results
            while self.groups in self._early:
                group = self._early.pop(self.groups)
                self.groups += 1
                self.results += group
                self.done.update(one.item for one in group)
        self.changed.set()
        self.changed = anyio.Event()
