"""Keeps the newest document of each configuration object.

Documents are kept as they came, so that a release passes on to its peers what
a newer one wrote.
"""

import collections.abc
import functools
import operator
import typing

import xxhash

from persimmonpass import objects

BUCKETS = 64

Document = dict[str, typing.Any]


class Documents:
    """Documents by key, with digests of their versions.

    :ivar buckets: digests of the versions, by hash of the key
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS
        self._rows: dict[objects.Key, Document] = {}

    @property
    def digest(self) -> int:
        """Digest of all versions; equal sets have the same one."""
        return functools.reduce(operator.xor, self.buckets)

    def get(self, key: objects.Key) -> Document | None:
        """Return the document of a key."""
        return self._rows.get(key)

    def put(self, document: Document) -> bool:
        """Keep a document if its version is higher than the kept one.

        :returns: whether it was
        """
        key = objects.Key(document['kind'], document['name'])
        known = self._rows.get(key)
        if known is not None:
            if known['version'] >= document['version']:
                return False
            self._count(key, known)
        self._count(key, document)
        self._rows[key] = document
        return True

    def make_tombstone(
        self, key: objects.Key, version: int
    ) -> Document | None:
        """Return a kept document as deleted at a version."""
        known = self._rows.get(key)
        if known is None:
            return None
        return {**known, 'version': version, 'deleted': True}

    def find_differing(
        self, buckets: collections.abc.Sequence[int]
    ) -> list[list[typing.Any]]:
        """Return kind, name and version where another set differs.

        :param buckets: the other set's digests
        """
        return [
            [*key, document['version']]
            for key, document in self._rows.items()
            if self.buckets[_bucket(key)] != buckets[_bucket(key)]
        ]

    def find_outdated(
        self, rows: collections.abc.Iterable[list[typing.Any]]
    ) -> list[list[str]]:
        """Return kind and name of what another set has newer.

        :param rows: kind, name and version in the other set
        """
        wanted = []
        for kind, name, version in rows:
            known = self._rows.get(objects.Key(kind, name))
            if known is None or known['version'] < version:
                wanted.append([kind, name])
        return wanted

    def _count(self, key: objects.Key, document: Document) -> None:
        text = f'{key.kind}/{key.name}\0{document["version"]}'
        self.buckets[_bucket(key)] ^= xxhash.xxh64_intdigest(text.encode())


def _bucket(key: objects.Key) -> int:
    return xxhash.xxh64_intdigest(f'{key.kind}/{key.name}'.encode()) % BUCKETS
