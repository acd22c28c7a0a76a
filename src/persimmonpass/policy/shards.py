"""Chooses owners by rendezvous hashing."""

import collections.abc
import typing

import xxhash


def score(key: str, host: str) -> int:
    """Return a host's weight for a key; the highest one owns it."""
    return xxhash.xxh64_intdigest(f'{key}\0{host}'.encode())


def owner(key: str, hosts: collections.abc.Iterable[str]) -> str | None:
    """Return the host that owns a key, or ``None`` if there is no host."""
    return max(hosts, key=lambda host: (score(key, host), host), default=None)


def ranked(
    key: str, hosts: collections.abc.Iterable[str]
) -> typing.Sequence[str]:
    """Return hosts in the order in which they own a key."""
    return sorted(
        hosts, key=lambda host: (score(key, host), host), reverse=True
    )


def shard(account: str, key: str, shards: int) -> int:
    """Return the number of the ledger that holds an idempotency key.

    :param shards: number of ledgers
    """
    return xxhash.xxh64_intdigest(f'{account}\0{key}'.encode()) % shards
