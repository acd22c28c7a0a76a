"""Estimates which prompt prefixes are in the cache of a target."""

import collections
import collections.abc

import xxhash

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 20_000
MAX_PROMPT_BLOCKS = 256


def hash_blocks(prompt: str) -> list[int]:
    """Return one hash per complete leading block of a prompt.

    Each hash covers the prompt up to the end of its block. Blocks after the
    first ``MAX_PROMPT_BLOCKS`` are ignored.
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
    """Blocks that are probably in the cache of one target.

    Blocks are added for requests that this host sends and for the target's
    cache events. Events arrive late and with gaps, so the number of blocks is
    bounded, and the least recently used ones are dropped.

    :ivar next_number: number of the first cache event that was not read yet
    """

    def __init__(self) -> None:
        self.next_number = 0
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, blocks: collections.abc.Iterable[int]) -> None:
        """Add blocks that the target computes or has stored."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def remove(self, block: int) -> None:
        """Remove a block that the target has evicted."""
        self._blocks.pop(block, None)

    def count_leading(self, blocks: collections.abc.Sequence[int]) -> int:
        """Return how many leading blocks are probably cached.

        A gap in the events may hide a cached block, so the last known block
        counts even if earlier ones are unknown.

        :param blocks: hashes of a prompt's leading blocks
        """
        for index in range(len(blocks), 0, -1):
            if blocks[index - 1] in self._blocks:
                return index
        return 0

    def clear(self) -> None:
        """Remove all blocks, as after a restart of the target."""
        self._blocks.clear()
        self.next_number = 0
