"""Bounded caches of a host that owns ledgers of idempotency keys."""

import collections

from persimmonpass import keys

MAX_ATTEMPT_IDS = 10_000
MAX_CACHED_BYTES = 8_000_000

ShardKey = tuple[int, str]


class RecentAttempts:
    """Set of the ids of recent attempts, up to :data:`MAX_ATTEMPT_IDS`."""

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._ids

    def add(self, attempt: str) -> None:
        """Add an id; the oldest one is dropped if there are too many."""
        self._ids[attempt] = None
        if len(self._ids) > MAX_ATTEMPT_IDS:
            self._ids.popitem(last=False)

    def discard(self, attempt: str) -> None:
        """Remove an id if it is in the set."""
        self._ids.pop(attempt, None)


class AnswerCache:
    """Least-recently-used cache of answers, limited in bytes."""

    def __init__(self) -> None:
        self._rows: collections.OrderedDict[ShardKey, keys.Answer] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def get(self, shard_key: ShardKey) -> keys.Answer | None:
        """Return a cached answer, or ``None``."""
        if shard_key in self._rows:
            self._rows.move_to_end(shard_key)
        return self._rows.get(shard_key)

    def put(self, shard_key: ShardKey, answer: keys.Answer) -> None:
        """Add an answer; if needed, drop the least recently used ones."""
        earlier = self._rows.pop(shard_key, None)
        if earlier is not None:
            self._bytes -= len(earlier.body)
        self._rows[shard_key] = answer
        self._bytes += len(answer.body)
        while self._bytes > MAX_CACHED_BYTES:
            _, dropped = self._rows.popitem(last=False)
            self._bytes -= len(dropped.body)
