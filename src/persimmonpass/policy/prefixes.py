"""Estimates which prompt prefixes a target has cached."""

import collections
import collections.abc

import xxhash

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 20_000
MAX_PROMPT_BLOCKS = 256


def hash_blocks(prompt: str) -> list[int]:
    """Return a hash for each whole leading block, prefix included.

    :param prompt: text; blocks beyond a bound are left out
    """
    count = min(len(prompt) // BLOCK_CHARACTERS, MAX_PROMPT_BLOCKS)
    hashes = []
    digest = xxhash.xxh64()
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest() >> 1)
    return hashes


class PrefixCache:
    """Blocks that one target probably has cached.

    Blocks come from this host's sends and from the target's cache events.
    Events come late and with gaps, so the least recently used blocks are
    forgotten beyond a bound.

    :ivar next_number: number of the first event that was not read yet
    """

    def __init__(self) -> None:
        self.next_number = 0
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, blocks: collections.abc.Iterable[int]) -> None:
        """Note blocks that the target computes or has stored."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def remove(self, block: int) -> None:
        """Note that the target has evicted a block."""
        self._blocks.pop(block, None)

    def count_leading(self, blocks: collections.abc.Sequence[int]) -> int:
        """Return how many leading blocks are probably cached.

        A gap in the events may hide a block that is there, so the search
        is for the longest known prefix.
        """
        for index in range(len(blocks), 0, -1):
            if blocks[index - 1] in self._blocks:
                return index
        return 0

    def clear(self) -> None:
        """Forget everything, as after a restart of the target."""
        self._blocks.clear()
        self.next_number = 0
