"""Answers that were delivered before they could be committed."""

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
    """A bounded queue of answers that is committed in the background."""

    def __init__(self, commit: Commit) -> None:
        """Make an empty queue.

        :param commit: commits an answer; it may be called again
        """
        self._commit = commit
        self._waiting: collections.OrderedDict[str, keys.Finish] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._added = anyio.Event()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, finish: keys.Finish) -> bool:
        """Queue an answer.

        :returns: whether there was room
        """
        if finish['attempt'] in self._waiting:
            return True
        size = len(finish['answer'].body)
        if len(self) >= MAX_ANSWERS or self._bytes + size > MAX_BYTES:
            events.log(events.RESULT_DROPPED, key=finish['key'])
            return False
        self._waiting[finish['attempt']] = finish
        self._bytes += size
        self._added.set()
        return True

    async def run(self) -> None:
        """Commit what waits, for ever."""
        while True:
            if not self._waiting:
                self._added = anyio.Event()
                await self._added.wait()
            # The first answer alone finds out whether the store is back.
            first = next(iter(self._waiting.values()))
            if await self._try(first):
                await self._try_all()
            else:
                await anyio.sleep(RETRY_SECONDS)

    async def _try_all(self) -> None:
        limiter = anyio.CapacityLimiter(PARALLEL_COMMITS)

        async def attempt(finish: keys.Finish) -> None:
            async with limiter:
                await self._try(finish)

        async with anyio.create_task_group() as tasks:
            for finish in list(self._waiting.values()):
                tasks.start_soon(attempt, finish)

    async def _try(self, finish: keys.Finish) -> bool:
        """Commit an answer and return whether it needs no other try."""
        kept = await self._commit(finish)
        if isinstance(kept, result.Err):
            if keys.may_commit_later(kept.err_value):
                return False
            events.log(
                events.RESULT_DROPPED,
                key=finish['key'],
                message=kept.err_value.message,
            )
        if self._waiting.pop(finish['attempt'], None) is not None:
            self._bytes -= len(finish['answer'].body)
        return True
