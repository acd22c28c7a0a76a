"""Assigns keys to hosts by rendezvous hashing, and keys to ledgers."""

import collections.abc
import typing

import xxhash


def score(key: str, host: str) -> int:
    """Return the weight of a host for a key; the highest one owns the key."""
    return xxhash.xxh64_intdigest(f'{key}\0{host}'.encode())


def owner(key: str, hosts: collections.abc.Iterable[str]) -> str | None:
    """Return the host that owns a key, or ``None`` if there are no hosts."""
    return max(hosts, key=lambda host: (score(key, host), host), default=None)


def ranked(
    key: str, hosts: collections.abc.Iterable[str]
) -> typing.Sequence[str]:
    """Return hosts in order of preference for a key, the owner first."""
    return sorted(
        hosts, key=lambda host: (score(key, host), host), reverse=True
    )


def preferred(
    key: str,
    hosts: collections.abc.Collection[str],
    order: typing.Sequence[str] | None,
) -> typing.Sequence[str]:
    """Return hosts in order of preference for a role.

    :param key: key of the role
    :param hosts: available hosts
    :param order: hosts that may have the role, the best one first; ``None``
        to rank all hosts by the key
    """
    if order is None:
        return ranked(key, hosts)
    return [host for host in order if host in hosts]


def shard(account: str, key: str, shards: int) -> int:
    """Return the number of the ledger that stores an idempotency key.

    :param account: client account to which the key belongs
    :param shards: number of ledgers
    """
    return xxhash.xxh64_intdigest(f'{account}\0{key}'.encode()) % shards
