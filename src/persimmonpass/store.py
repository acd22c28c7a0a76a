"""Client of the platform's object API.

The API keeps values of up to a megabyte under string keys. Each write gets a
version from one rising counter; ``If-Match`` makes a write conditional on the
present version, ``If-None-Match: *`` on there being none.
"""

import collections.abc
import typing
import urllib.parse

import cbor2
import httpx
import msgspec
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import tracing
from persimmonpass import verdicts

CREATE = 0
MAX_VALUE_BYTES = 1_000_000
CALL_TIMEOUT_SECONDS = 3.0
WATCH_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
BUSY_STATUSES = frozenset((429, 500, 502, 503, 504))
# With these no byte of a call has left this host.
NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.LocalProtocolError,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

_OK = frozenset((200,))
_OK_OR_MISSING = frozenset((200, 404))
_OK_OR_CONFLICT = frozenset((200, 412, 413))
_DELETED_OR_CONFLICT = frozenset((200, 204, 404, 412))


class Stored(typing.NamedTuple):
    """A value of the store.

    :ivar version: the store's counter at the write
    :ivar deleted: only in watches: the key was deleted at that version
    """

    key: str
    version: int
    data: bytes
    deleted: bool = False


class Changes(typing.NamedTuple):
    """What a watch saw.

    :ivar version: where the next watch should start
    """

    version: int
    changes: list[Stored]


class _PageBody(typing.TypedDict):
    """A page of a list.

    :ivar more: whether there are values after the last of these
    """

    objects: list[Stored]
    more: bool


class _ChangesBody(typing.TypedDict):
    """Answer of a watch; see :class:`Changes`."""

    version: int
    changes: list[Stored]


Outcome = result.Result
_Async = collections.abc.Awaitable


class StorePort(typing.NamedTuple):
    """Calls of an object store.

    :ivar get: key, class -> the value
    :ivar put: key, data, expected version, class -> the new version;
        ``CREATE`` expects none, ``None`` expects nothing in particular
    :ivar delete: key, expected version, class -> nothing
    :ivar list: prefix, class -> all values below it, in order of key
    :ivar watch: prefix, version -> changes after that version
    """

    get: collections.abc.Callable[
        ..., _Async[result.Result[Stored, verdicts.Failure]]
    ]
    put: collections.abc.Callable[
        ..., _Async[result.Result[int, verdicts.Failure]]
    ]
    delete: collections.abc.Callable[
        ..., _Async[result.Result[None, verdicts.Failure]]
    ]
    list: collections.abc.Callable[
        ..., _Async[result.Result[list[Stored], verdicts.Failure]]
    ]
    watch: collections.abc.Callable[
        ..., _Async[result.Result[Changes, verdicts.Failure]]
    ]


def unavailable(detail: str) -> verdicts.Failure:
    """Return the failure of a call that certainly had no effect."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_UNAVAILABLE,
        f'the object store is unavailable: {detail}',
        503,
        RETRY_AFTER_SECONDS,
    )


def outcome_unknown(detail: str) -> verdicts.Failure:
    """Return the failure of a write whose answer was lost."""
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.STORE_OUTCOME_UNKNOWN,
        f'the answer of the object store was lost: {detail}',
        503,
        RETRY_AFTER_SECONDS,
    )


def too_large(key: str) -> verdicts.Failure:
    """Return the failure of a value that no retry can store."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_TOO_LARGE,
        f'the value of {key} is larger than {MAX_VALUE_BYTES} bytes',
        413,
    )


def conflict(key: str) -> verdicts.Failure:
    """Return the failure of a conditional write that came too late."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_CONFLICT,
        f'{key} was changed by another writer',
        409,
    )


def not_found(key: str) -> verdicts.Failure:
    """Return the failure of a read of a key that does not exist."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_NOT_FOUND,
        f'{key} does not exist',
        404,
    )


def connect(
    client: httpx.AsyncClient,
    base_url: str,
    calls: budget.Budget,
    spans: tracing.Tracing | None = None,
) -> StorePort:
    """Make the port of a store that is reached over HTTP.

    :param client: HTTP client
    :param base_url: ``http://ip:port`` of the platform
    :param calls: rate at which this host may call the store
    :param spans: where the spans of calls for a request go
    """
    traced = spans or tracing.Tracing('')

    async def call(
        method: str,
        path: str,
        priority: budget.Priority,
        expected: frozenset[int] = _OK,
        timeout: float = CALL_TIMEOUT_SECONDS,
        **options: typing.Any,
    ) -> result.Result[httpx.Response, verdicts.Failure]:
        """Make a call whose answer has one of the expected statuses."""
        write = method != 'GET'
        taken = await calls.acquire(priority, write=write)
        if isinstance(taken, result.Err):
            return taken
        limits = httpx.Timeout(timeout, connect=CONNECT_TIMEOUT_SECONDS)
        try:
            with traced.inner_span(f'store.{method.lower()}', path=path):
                answer = await client.request(
                    method, base_url + path, timeout=limits, **options
                )
        except httpx.HTTPError as error:
            calls.record_refusal()
            return result.Err(_call_failed(error, write))
        if answer.status_code in BUSY_STATUSES:
            calls.record_refusal()
        else:
            calls.record_answer()
        if answer.status_code in expected:
            return result.Ok(answer)
        return result.Err(_answer_failed(answer.status_code, write))

    async def get(
        key: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[Stored, verdicts.Failure]:
        record_answer = await call('GET', _path(key), priority, _OK_OR_MISSING)
        if isinstance(record_answer, result.Err):
            return record_answer
        answer = record_answer.ok_value
        if answer.status_code == 404:
            return result.Err(not_found(key))
        version = _read_version(answer)
        if version is None:
            return result.Err(unavailable('a value without a version'))
        return result.Ok(Stored(key, version, answer.content))

    async def put(
        key: str,
        data: bytes,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[int, verdicts.Failure]:
        if len(data) > MAX_VALUE_BYTES:
            return result.Err(too_large(key))
        record_answer = await call(
            'PUT',
            _path(key),
            priority,
            _OK_OR_CONFLICT,
            content=data,
            headers=_condition(version),
        )
        if isinstance(record_answer, result.Err):
            return record_answer
        answer = record_answer.ok_value
        if answer.status_code == 412:
            return result.Err(conflict(key))
        if answer.status_code == 413:
            return result.Err(too_large(key))
        written = _read_version(answer)
        if written is None:
            return result.Err(outcome_unknown('a write without a version'))
        return result.Ok(written)

    async def delete(
        key: str,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[None, verdicts.Failure]:
        record_answer = await call(
            'DELETE',
            _path(key),
            priority,
            _DELETED_OR_CONFLICT,
            headers=_condition(version),
        )
        if isinstance(record_answer, result.Err):
            return record_answer
        if record_answer.ok_value.status_code == 412:
            return result.Err(conflict(key))
        return result.Ok(None)

    async def list_values(
        prefix: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[list[Stored], verdicts.Failure]:
        found: list[Stored] = []
        more = True
        while more:
            after = found[-1].key if found else ''
            record_answer = await call(
                'GET',
                '/v1/objects',
                priority,
                params={'prefix': prefix, 'after': after},
            )
            if isinstance(record_answer, result.Err):
                return record_answer
            page = _decode(record_answer.ok_value, _PageBody)
            if page is None or (page['more'] and not page['objects']):
                return result.Err(unavailable('a broken page'))
            found += page['objects']
            more = page['more']
        return result.Ok(found)

    async def watch(
        prefix: str, version: int
    ) -> result.Result[Changes, verdicts.Failure]:
        record_answer = await call(
            'GET',
            '/v1/watch',
            budget.Priority.STATUS,
            timeout=WATCH_TIMEOUT_SECONDS + CALL_TIMEOUT_SECONDS,
            params={
                'prefix': prefix,
                'after': version,
                'timeout': WATCH_TIMEOUT_SECONDS,
            },
        )
        if isinstance(record_answer, result.Err):
            return record_answer
        body = _decode(record_answer.ok_value, _ChangesBody)
        if body is None:
            return result.Err(unavailable('a broken watch'))
        return result.Ok(Changes(body['version'], body['changes']))

    return StorePort(get, put, delete, list_values, watch)


def _path(key: str) -> str:
    """Return the path of a key, whose parts may not change the path."""
    parts = [urllib.parse.quote(part, safe='') for part in key.split('/')]
    quoted = '/'.join(part.replace('.', '%2E') for part in parts)
    return f'/v1/objects/{quoted}'


def _call_failed(error: httpx.HTTPError, write: bool) -> verdicts.Failure:
    """Return the failure of a call that got no answer.

    Reads have no effect. A write had none if no byte of it was sent; what
    the store did with any other is unknown.
    """
    if write and not isinstance(error, NOT_SENT_ERRORS):
        return outcome_unknown(type(error).__name__)
    return unavailable(type(error).__name__)


def _answer_failed(status: int, write: bool) -> verdicts.Failure:
    """Return the failure of a call that got an unexpected status.

    The store refuses with 4xx and 503 before it writes; a gateway's 502 and
    504 may hide the answer of a write that took effect.
    """
    record_refusal = 400 <= status < 500 or status == 503
    if write and not record_refusal:
        return outcome_unknown(f'status {status}')
    return unavailable(f'status {status}')


def _read_version(answer: httpx.Response) -> int | None:
    text = answer.headers.get('etag', '')
    return int(text) if text.isascii() and text.isdecimal() else None


_Shape = typing.TypeVar('_Shape')


def _decode(answer: httpx.Response, shape: type[_Shape]) -> _Shape | None:
    """Read a CBOR answer, or return ``None`` if it is broken."""
    try:
        return msgspec.convert(cbor2.loads(answer.content), shape)
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        return None


def _condition(version: int | None) -> dict[str, str]:
    if version is None:
        return {}
    if version == CREATE:
        return {'If-None-Match': '*'}
    return {'If-Match': str(version)}
