"""Queue of answers that are not committed yet.

A caller gets its answer even if the store is down. The answer is committed
later, when the store is available again.
"""

import collections
import collections.abc

import anyio
import result

from persimmonpass import events
from persimmonpass import keys
from persimmonpass import verdicts

MAX_BYTES = 16_000_000
MAX_ANSWERS = 20_000
RETRY_SECONDS = 1.0
PARALLEL_COMMITS = 16

Commit = collections.abc.Callable[
    [keys.Finish],
    collections.abc.Awaitable[result.Result[keys.Answer, verdicts.Failure]],
]


class UncommittedAnswers:
    """A bounded queue of answers to commit in the background."""

    def __init__(self, commit: Commit) -> None:
        """Create an empty queue.

        :param commit: commits an answer; it may be called repeatedly for the
            same one
        """
        self._commit = commit
        self._queue: collections.OrderedDict[str, keys.Finish] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._added = anyio.Event()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, finish: keys.Finish) -> bool:
        """Queue an answer.

        :returns: whether it is in the queue; an answer for which there is no
            room is dropped
        """
        if finish['attempt'] in self._queue:
            return True
        size = len(finish['answer'].body)
        if len(self) >= MAX_ANSWERS or self._bytes + size > MAX_BYTES:
            events.log(events.RESULT_DROPPED, key=finish['key'])
            return False
        self._queue[finish['attempt']] = finish
        self._bytes += size
        self._added.set()
        return True

    async def run(self) -> None:
        """Commit queued answers until cancelled."""
        while True:
            if not self._queue:
                self._added = anyio.Event()
                await self._added.wait()
            # Only the first answer is tried while the store may be down.
            first = next(iter(self._queue.values()))
            if await self._commit_one(first):
                await self._commit_all()
            else:
                await anyio.sleep(RETRY_SECONDS)

    async def _commit_all(self) -> None:
        limiter = anyio.CapacityLimiter(PARALLEL_COMMITS)

        async def commit_limited(finish: keys.Finish) -> None:
            async with limiter:
                await self._commit_one(finish)

        async with anyio.create_task_group() as tasks:
            for finish in list(self._queue.values()):
                tasks.start_soon(commit_limited, finish)

    async def _commit_one(self, finish: keys.Finish) -> bool:
        """Commit an answer and return whether it left the queue."""
        committed = await self._commit(finish)
        if isinstance(committed, result.Err):
            if keys.may_commit_later(committed.err_value):
                return False
            events.log(
                events.RESULT_DROPPED,
                key=finish['key'],
                message=committed.err_value.message,
            )
        if self._queue.pop(finish['attempt'], None) is not None:
            self._bytes -= len(finish['answer'].body)
        return True
