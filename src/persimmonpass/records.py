"""Objects of the platform by kind and name, with revisions and watches."""

import base64
import collections.abc
import typing

import result

from persimmonpass import events
from persimmonpass import store
from persimmonpass import verdicts

_Async = collections.abc.Awaitable
Data = dict[str, typing.Any]


class Record(typing.NamedTuple):
    """One object.

    :ivar version: the store's counter at the last change
    :ivar data: what the object describes
    :ivar status: what was reported of it
    :ivar deleted: only in watches: it was removed at that version
    """

    name: str
    version: int
    data: Data
    status: Data
    deleted: bool = False


class Snapshot(typing.NamedTuple):
    """Records of a kind.

    :ivar version: the store's counter up to which this is complete
    """

    version: int
    records: list[Record]


class RecordPort(typing.NamedTuple):
    """Calls of a store of records.

    :ivar list: kind -> all records
    :ivar get: kind, name -> the record
    :ivar create: kind, name, data -> the version; fails with
        ``STORE_CONFLICT`` if the name is taken
    :ivar replace: kind, name, data, version -> the new version
    :ivar set_status: kind, name, status, version -> the new version
    :ivar delete: kind, name, version or ``None`` -> nothing
    :ivar watch: kind, version, seconds -> changes since then, none if there
        were none in that time; fails with ``STORE_HISTORY_LOST``
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
        f'the history of {kind} is gone',
        410,
    )


def as_store(port: RecordPort) -> store.StorePort:
    """Make a store of bytes under keys of the form ``kind/name``.

    Its watches are not used by what keeps its state in records.

    :param port: where the values are kept as text
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
    """Log that an object could not be read."""
    events.log(
        events.ENTRY_UNREADABLE,
        host=host,
        record=record.name,
        revision=record.version,
    )
