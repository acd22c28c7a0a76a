"""Client of the platform's metadata store.

It implements :class:`records.RecordPort`.
"""

import collections.abc
import json
import typing
import urllib.parse

import httpx
import msgspec
import result

from persimmonpass import budget
from persimmonpass import lenient_json
from persimmonpass.platform import objects
from persimmonpass import records
from persimmonpass import store
from persimmonpass import verdicts

OBJECTS_PATH = '/persimmonpass/objects'
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.5
# How much longer a watch may take than the time that it waits at the store.
WATCH_MARGIN_SECONDS = 0.8

_DECODE_ERRORS = (
    msgspec.DecodeError,
    msgspec.ValidationError,
    RecursionError,
)
_MILLISECONDS = 1000
_OK = frozenset((200, 201))
# The call is malformed, or its value is too large.
_REJECTED = frozenset((400, 413, 422))


class _Metadata(msgspec.Struct):
    """Metadata of an object.

    :ivar revision: the store's revision at the last change of the object
    """

    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: typing.Any = None
    status: typing.Any = None


class _Page(msgspec.Struct):
    items: list[_Object]
    storeRevision: int  # noqa: N815
    hasMore: bool = False  # noqa: N815


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    storeRevision: int  # noqa: N815
    events: list[_Event] = []


_Shape = typing.TypeVar('_Shape')


def connect(
    client: httpx.AsyncClient, address: str, calls: budget.Budget
) -> records.RecordPort:
    """Return the calls of the store.

    :param client: HTTP client
    :param address: ``ip:port`` of the store
    :param calls: budget that limits the rate of this host's calls
    """

    async def call(
        method: str,
        path: str,
        body: typing.Any = None,
        params: dict[str, typing.Any] | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> result.Result[httpx.Response, verdicts.Failure]:
        """Make a call.

        :param timeout: in seconds
        :returns: an answer with status 200, 201, 404, 409 or 410; a failure
            for every other status
        """
        write = method != 'GET'
        acquired = await calls.acquire(
            budget.Priority.RESULT if write else budget.Priority.STATUS,
            write=write,
        )
        if isinstance(acquired, result.Err):
            return acquired
        try:
            answer = await client.request(
                method,
                f'http://{address}{OBJECTS_PATH}{path}',
                content=None if body is None else _encode(body),
                headers={'content-type': 'application/json'},
                params=params,
                timeout=httpx.Timeout(
                    timeout, connect=CONNECT_TIMEOUT_SECONDS
                ),
            )
        except httpx.HTTPError as error:
            if write and not isinstance(error, store.NOT_SENT_ERRORS):
                return result.Err(store.outcome_unknown(type(error).__name__))
            return result.Err(store.unavailable(type(error).__name__))
        status = answer.status_code
        if status in _OK or status in (404, 409, 410):
            return result.Ok(answer)
        if write and status not in (429, 503) and status >= 500:
            return result.Err(store.outcome_unknown(f'status {status}'))
        if status in _REJECTED:
            return result.Err(store.rejected(f'status {status}'))
        return result.Err(store.unavailable(f'status {status}'))

    async def list_kind(
        kind: str,
    ) -> result.Result[records.Snapshot, verdicts.Failure]:
        found: list[records.Record] = []
        version = 0
        more = True
        while more:
            params = {'after': found[-1].name} if found else None
            answered = await call('GET', f'/{kind}', params=params)
            if isinstance(answered, result.Err):
                return answered
            if answered.ok_value.status_code != 200:
                return result.Err(
                    store.unavailable(
                        f'listing {kind}: expected status 200, got '
                        f'{answered.ok_value.status_code}'
                    )
                )
            page = _decode(answered.ok_value, _Page, _read_page)
            if page is None:
                return result.Err(
                    store.unavailable(f'listing {kind}: malformed page')
                )
            # The version is that of the first page, so that a watch from it
            # also reports changes that were made between two pages.
            version = version or page.storeRevision
            found += [_to_record(kind, item) for item in page.items]
            more = page.hasMore and bool(page.items)
        return result.Ok(records.Snapshot(version, found))

    async def get(
        kind: str, name: str
    ) -> result.Result[records.Record, verdicts.Failure]:
        answered = await call('GET', _path(kind, name))
        if isinstance(answered, result.Err):
            return answered
        if answered.ok_value.status_code == 404:
            return result.Err(store.not_found(f'{kind}/{name}'))
        found = _decode(answered.ok_value, _Object, _read_object)
        if found is None:
            return result.Err(
                store.unavailable(f'{kind}/{name}: malformed object')
            )
        return result.Ok(_to_record(kind, found))

    async def write(
        method: str, path: str, key: str, body: typing.Any
    ) -> result.Result[int, verdicts.Failure]:
        answered = await call(method, path, body)
        if isinstance(answered, result.Err):
            return answered
        answer = answered.ok_value
        if answer.status_code == 404:
            return result.Err(store.not_found(key))
        if answer.status_code not in _OK:
            return result.Err(store.conflict(key))
        written = _decode(answer, _Object, _read_object)
        # An acknowledged write has taken effect even if the body of its
        # answer is malformed.
        return result.Ok(written.metadata.revision if written else 0)

    async def create(
        kind: str, name: str, data: records.Data
    ) -> result.Result[int, verdicts.Failure]:
        body = {'metadata': {'name': name}, 'spec': data}
        return await write('POST', f'/{kind}', f'{kind}/{name}', body)

    async def replace(
        kind: str, name: str, data: records.Data, version: int
    ) -> result.Result[int, verdicts.Failure]:
        body = {
            'metadata': {'name': name, 'revision': version},
            'spec': data,
        }
        return await write('PUT', _path(kind, name), f'{kind}/{name}', body)

    async def set_status(
        kind: str, name: str, status: records.Data, version: int
    ) -> result.Result[int, verdicts.Failure]:
        body = {
            'metadata': {'name': name, 'revision': version},
            'status': status,
        }
        path = _path(kind, name) + '/status'
        return await write('PUT', path, f'{kind}/{name}', body)

    async def delete(
        kind: str, name: str, version: int | None = None
    ) -> result.Result[None, verdicts.Failure]:
        params = {} if version is None else {'revision': version}
        answered = await call('DELETE', _path(kind, name), params=params)
        if isinstance(answered, result.Err):
            return answered
        if answered.ok_value.status_code == 409:
            return result.Err(store.conflict(f'{kind}/{name}'))
        return result.Ok(None)

    async def watch(
        kind: str, version: int, seconds: float
    ) -> result.Result[records.Snapshot, verdicts.Failure]:
        answered = await call(
            'GET',
            f'/{kind}',
            params={
                'watch': version,
                'waitMs': round(seconds * _MILLISECONDS),
            },
            timeout=seconds + WATCH_MARGIN_SECONDS,
        )
        if isinstance(answered, result.Err):
            return answered
        if answered.ok_value.status_code == 410:
            return result.Err(records.history_lost(kind))
        changes = _decode(answered.ok_value, _Events, _read_events)
        if changes is None:
            return result.Err(
                store.unavailable(f'watching {kind}: malformed answer')
            )
        rows = [
            _to_record(kind, event.object)._replace(deleted=event.deleted)
            for event in changes.events
        ]
        return result.Ok(records.Snapshot(changes.storeRevision, rows))

    return records.RecordPort(
        list_kind, get, create, replace, set_status, delete, watch
    )


def _encode(body: typing.Any) -> bytes:
    # Escaped letters take up to twice the bytes, and values are limited.
    return json.dumps(body, ensure_ascii=False).encode(
        'utf-8', 'surrogatepass'
    )


def _path(kind: str, name: str) -> str:
    return f'/{kind}/{urllib.parse.quote(name, safe="")}'


def _to_record(kind: str, found: _Object) -> records.Record:
    record = records.Record(
        found.metadata.name,
        found.metadata.revision,
        found.spec if isinstance(found.spec, dict) else {},
        found.status if isinstance(found.status, dict) else {},
    )
    return objects.clean_record(kind, record)


def _decode(
    answer: httpx.Response,
    shape: type[_Shape],
    read: collections.abc.Callable[[bytes], _Shape],
) -> _Shape | None:
    """Decode a JSON answer, or return ``None`` if it is malformed.

    :param read: decodes an answer of which a part cannot be decoded
    """
    try:
        return msgspec.json.decode(answer.content, type=shape)
    except _DECODE_ERRORS:
        pass
    try:
        return read(answer.content)
    except (*_DECODE_ERRORS, ValueError, KeyError):
        return None


def _read_page(data: bytes) -> _Page:
    fields = lenient_json.split_object(data)
    return _Page(
        [
            _read_object(item)
            for item in lenient_json.split_array(fields['items'])
        ],
        msgspec.json.decode(fields['storeRevision'], type=int),
        msgspec.json.decode(fields.get('hasMore', b'false'), type=bool),
    )


def _read_events(data: bytes) -> _Events:
    fields = lenient_json.split_object(data)
    rows = map(
        lenient_json.split_object, lenient_json.split_array(fields['events'])
    )
    return _Events(
        msgspec.json.decode(fields['storeRevision'], type=int),
        [
            _Event(
                _read_object(row['object']),
                msgspec.json.decode(row.get('deleted', b'false'), type=bool),
            )
            for row in rows
        ],
    )


def _read_object(data: bytes) -> _Object:
    """Decode an object; what cannot be decoded of it is left out."""
    fields = lenient_json.split_object(data)
    return _Object(
        msgspec.json.decode(fields['metadata'], type=_Metadata),
        _read_value(fields.get('spec', b'null')),
        _read_value(fields.get('status', b'null')),
    )


def _read_value(data: bytes) -> typing.Any:
    try:
        return msgspec.json.decode(data)
    except _DECODE_ERRORS:
        return None
