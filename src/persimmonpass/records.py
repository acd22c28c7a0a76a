"""Store of versioned platform objects by kind and name, with watches."""

import base64
import collections.abc
import typing

import cbor2
import result

from persimmonpass import events
from persimmonpass import store
from persimmonpass import verdicts

_Async = collections.abc.Awaitable
Data = dict[str, typing.Any]


class Record(typing.NamedTuple):
    """A platform object at one version.

    :ivar version: the store's counter at the last change
    :ivar data: contents of the object
    :ivar status: reported status of the object
    :ivar deleted: whether the object was deleted at that version; set only in
        the results of watches
    """

    name: str
    version: int
    data: Data
    status: Data
    deleted: bool = False


# Takes a kind and a record; returns the record in the form that hosts keep.
Clean = collections.abc.Callable[[str, Record], Record]


def as_received(kind: str, record: Record) -> Record:
    """Return a record unchanged."""
    return record


def encoded_bytes(record: Record) -> int:
    """Return the size of a record in a message to a peer."""
    return len(cbor2.dumps(list(record)))


class Snapshot(typing.NamedTuple):
    """Records of one kind.

    :ivar version: the store's counter up to which the records are complete
    """

    version: int
    records: list[Record]


class RecordPort(typing.NamedTuple):
    """Calls of a store of records.

    :ivar list: kind -> all records
    :ivar get: kind, name -> the record
    :ivar create: kind, name, data -> the version; fails with
        ``STORE_CONFLICT`` if the name exists
    :ivar replace: kind, name, data, version -> the new version
    :ivar set_status: kind, name, status, version -> the new version
    :ivar delete: kind, name, version or ``None`` -> ``None``
    :ivar watch: kind, version, seconds -> changes after the version, or no
        records if there were none within the time; fails with
        ``STORE_HISTORY_LOST`` if the version is too old
    """

    list: collections.abc.Callable[
        ..., _Async[result.Result[Snapshot, verdicts.Failure]]
    ]
    get: collections.abc.Callable[
        ..., _Async[result.Result[Record, verdicts.Failure]]
    ]
    create: collections.abc.Callable[
        ..., _Async[result.Result[int, verdicts.Failure]]
    ]
    replace: collections.abc.Callable[
        ..., _Async[result.Result[int, verdicts.Failure]]
    ]
    set_status: collections.abc.Callable[
        ..., _Async[result.Result[int, verdicts.Failure]]
    ]
    delete: collections.abc.Callable[
        ..., _Async[result.Result[None, verdicts.Failure]]
    ]
    watch: collections.abc.Callable[
        ..., _Async[result.Result[Snapshot, verdicts.Failure]]
    ]


def history_lost(kind: str) -> verdicts.Failure:
    """Return the failure of a watch from a version that is too old."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_HISTORY_LOST,
        f'the history of {kind} does not go back to the requested version',
        410,
    )


def as_store(port: RecordPort) -> store.StorePort:
    """Return a store of bytes under keys of the form ``kind/name``.

    Membership keeps the registrations of hosts in it, and never calls
    ``watch``.

    :param port: store of records that holds the values, encoded in base64
    """

    def to_stored(key: str, record: Record) -> store.Stored:
        data = base64.b64decode(record.data.get('data', ''))
        return store.Stored(key, record.version, data)

    async def get(
        key: str, priority: object = None
    ) -> result.Result[store.Stored, verdicts.Failure]:
        found = await port.get(*_split(key))
        return found.map(lambda record: to_stored(key, record))

    async def put(
        key: str,
        data: bytes,
        version: int | None = None,
        priority: object = None,
    ) -> result.Result[int, verdicts.Failure]:
        kind, name = _split(key)
        value = {'data': base64.b64encode(data).decode()}
        if version == store.CREATE:
            return await port.create(kind, name, value)
        return await port.replace(kind, name, value, version)

    async def delete(
        key: str, version: int | None = None, priority: object = None
    ) -> result.Result[None, verdicts.Failure]:
        return await port.delete(*_split(key), version)

    async def list_values(
        prefix: str, priority: object = None
    ) -> result.Result[list[store.Stored], verdicts.Failure]:
        kind = prefix.rstrip('/')
        found = await port.list(kind)
        return found.map(
            lambda snapshot: [
                to_stored(f'{kind}/{record.name}', record)
                for record in snapshot.records
            ]
        )

    async def watch(
        prefix: str, version: int
    ) -> result.Result[store.Changes, verdicts.Failure]:
        kind = prefix.rstrip('/')
        found = await port.watch(kind, version, store.WATCH_TIMEOUT_SECONDS)
        return found.map(
            lambda snapshot: store.Changes(
                snapshot.version,
                [
                    to_stored(f'{kind}/{record.name}', record)._replace(
                        deleted=record.deleted
                    )
                    for record in snapshot.records
                ],
            )
        )

    return store.StorePort(get, put, delete, list_values, watch)


def _split(key: str) -> tuple[str, str]:
    kind, _, name = key.partition('/')
    return kind, name


def log_unreadable(host: str, record: Record) -> None:
    """Log that a record could not be decoded.

    :param host: this host
    """
    events.log(
        events.ENTRY_UNREADABLE,
        host=host,
        record=record.name,
        revision=record.version,
    )
