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


def preferred(
    key: str,
    hosts: collections.abc.Collection[str],
    order: typing.Sequence[str] | None,
) -> typing.Sequence[str]:
    """Return hosts in the order in which they take a duty.

    :param order: those that may have it, the best one first; ``None`` for the
        order in which all of them own the key
    """
    if order is None:
        return ranked(key, hosts)
    return [host for host in order if host in hosts]


def shard(account: str, key: str, shards: int) -> int:
    """Return the number of the ledger that holds an idempotency key.

    :param shards: number of ledgers
    """
    return xxhash.xxh64_intdigest(f'{account}\0{key}'.encode()) % shards
