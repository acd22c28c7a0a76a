"""Keeps the newest document of each configuration object.

Documents are kept unchanged, so that a host with an older release passes on
to its peers the fields that a newer release wrote.
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

    :ivar buckets: digests of the versions, one for each hash bucket of keys
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS
        self._rows: dict[objects.Key, Document] = {}

    @property
    def digest(self) -> int:
        """Digest of all keys and versions; equal sets have equal digests."""
        return functools.reduce(operator.xor, self.buckets)

    def get(self, key: objects.Key) -> Document | None:
        """Return the document of a key, or ``None``."""
        return self._rows.get(key)

    def put(self, document: Document) -> bool:
        """Store a document if its version is higher than the current one.

        :returns: whether the document was stored
        """
        key = objects.Key(document['kind'], document['name'])
        current = self._rows.get(key)
        if current is not None:
            if current['version'] >= document['version']:
                return False
            self._toggle_digest(key, current)
        self._toggle_digest(key, document)
        self._rows[key] = document
        return True

    def make_tombstone(
        self, key: objects.Key, version: int
    ) -> Document | None:
        """Return a copy of a document, marked as deleted at a version.

        :returns: the copy, or ``None`` if there is no such document
        """
        current = self._rows.get(key)
        if current is None:
            return None
        return {**current, 'version': version, 'deleted': True}

    def find_differing(
        self, buckets: collections.abc.Sequence[int]
    ) -> list[list[typing.Any]]:
        """Return documents in buckets whose digests differ from another set's.

        :param buckets: the other set's digests
        :returns: rows of kind, name and version
        """
        return [
            [*key, document['version']]
            for key, document in self._rows.items()
            if self.buckets[_bucket(key)] != buckets[_bucket(key)]
        ]

    def find_outdated(
        self, rows: collections.abc.Iterable[list[typing.Any]]
    ) -> list[list[str]]:
        """Return documents that are missing or older than in another set.

        :param rows: rows of kind, name and version in the other set
        :returns: rows of kind and name
        """
        outdated = []
        for kind, name, version in rows:
            current = self._rows.get(objects.Key(kind, name))
            if current is None or current['version'] < version:
                outdated.append([kind, name])
        return outdated

    def _toggle_digest(self, key: objects.Key, document: Document) -> None:
        """Add a version to its bucket's digest, or remove it again."""
        text = f'{key.kind}/{key.name}\0{document["version"]}'
        self.buckets[_bucket(key)] ^= xxhash.xxh64_intdigest(text.encode())


def _bucket(key: objects.Key) -> int:
    return xxhash.xxh64_intdigest(f'{key.kind}/{key.name}'.encode()) % BUCKETS
