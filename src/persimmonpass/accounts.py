"""Client accounts and their keys, as the configuration of a gateway has them.

A key is known by its digest only, see :func:`objects.token_digest`.
"""

import collections
import collections.abc
import typing

from persimmonpass import objects

BEARER_SCHEME = b'bearer'
# No valid key is longer, so a longer value is refused without hashing it.
MAX_KEY_BYTES = 512


class Account(typing.NamedTuple):
    """A client account.

    :ivar key_digests: digests of the keys with which its callers authenticate
    :ivar priority: priority of its requests, which replaces that of their
        route; ``None`` to keep the route's
    :ivar rate_per_second: requests a second that all hosts together may run
        for it; 0 for no limit
    :ivar burst: requests that may exceed the rate at once
    :ivar unreadable: names of its limits that are not numbers
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0
    unreadable: tuple[str, ...] = ()

    @property
    def is_limited(self) -> bool:
        """Whether the rate of its requests is limited."""
        return self.rate_per_second > 0


class Accounts(typing.NamedTuple):
    """All accounts of a configuration.

    :ivar by_name: accounts by name
    :ivar by_key: accounts by the digest of each of their keys
    :ivar shared: digests of keys that two accounts hold, and which are refused
    """

    by_name: dict[str, Account]
    by_key: dict[str, Account]
    shared: frozenset[str] = frozenset()


def make_table(rows: collections.abc.Iterable[Account]) -> Accounts:
    """Return the table of accounts.

    A key that two accounts hold belongs to neither of them, as one of them
    would be charged for the other.
    """
    by_name = {row.name: row for row in rows}
    holders = collections.Counter(
        digest for row in by_name.values() for digest in row.key_digests
    )
    by_key = {
        digest: row
        for row in by_name.values()
        for digest in row.key_digests
        if holders[digest] == 1
    }
    return Accounts(by_name, by_key, frozenset(holders.keys() - by_key.keys()))


def read_key_digest(
    values: collections.abc.Sequence[bytes],
) -> str:
    """Return the digest of the key that a request's headers name.

    :param values: values of all its ``Authorization`` headers
    :returns: empty if there is not exactly one header, or if it has another
        scheme or no possible key
    """
    if len(values) != 1:
        return ''
    scheme, _, key = values[0].partition(b' ')
    if scheme.lower() != BEARER_SCHEME or not 0 < len(key) <= MAX_KEY_BYTES:
        return ''
    text = key.decode('latin-1')
    if not text.isascii() or not text.isprintable() or ' ' in text:
        return ''
    return objects.token_digest(text)
