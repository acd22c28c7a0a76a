"""Client of the platform's object API.

The API stores values of up to one megabyte under string keys. Each write gets
a version from a single increasing counter. ``If-Match`` makes a write
conditional on the current version, ``If-None-Match: *`` on the absence of the
key.
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
from persimmonpass import numerals
from persimmonpass import tracing
from persimmonpass import verdicts

CREATE = 0
MAX_VALUE_BYTES = 1_000_000
CALL_TIMEOUT_SECONDS = 3.0
WATCH_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
BUSY_STATUSES = frozenset((429, 500, 502, 503, 504))
# After these errors, no byte of the call has left this host.
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
    """A value in the store.

    :ivar version: the store's counter at the last write
    :ivar deleted: whether the key was deleted at that version; set only in
        the results of watches
    """

    key: str
    version: int
    data: bytes
    deleted: bool = False


class Changes(typing.NamedTuple):
    """Changes that a watch returned.

    :ivar version: version from which the next watch should start
    :ivar changes: the changes after the requested version
    """

    version: int
    changes: list[Stored]


class _PageBody(typing.TypedDict):
    """A page of a list.

    :ivar objects: the values, in order of key
    :ivar more: whether there are more values after the last of these
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

    :ivar get: key, priority -> the value
    :ivar put: key, data, expected version, priority -> the new version. With
        ``CREATE`` the key must not exist; with ``None`` the write is
        unconditional.
    :ivar delete: key, expected version, priority -> ``None``
    :ivar list: prefix, priority -> all values whose keys start with the
        prefix, in order of key
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
    """Return the failure of a call that certainly had no effect.

    :param detail: what went wrong
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_UNAVAILABLE,
        f'the object store is unavailable: {detail}',
        503,
        RETRY_AFTER_SECONDS,
    )


def rejected(detail: str) -> verdicts.Failure:
    """Return the failure of a call that the store will never accept.

    :param detail: what the store answered
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_REJECTED,
        f'the object store rejected the call: {detail}',
        503,
        RETRY_AFTER_SECONDS,
    )


def outcome_unknown(detail: str) -> verdicts.Failure:
    """Return the failure of a write that may have taken effect.

    :param detail: what went wrong
    """
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.STORE_OUTCOME_UNKNOWN,
        f'the outcome of a write to the object store is unknown: {detail}',
        503,
        RETRY_AFTER_SECONDS,
    )


def too_large(key: str) -> verdicts.Failure:
    """Return the failure of a write of a value above the size limit."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_TOO_LARGE,
        f'the value of {key} is larger than the limit of '
        f'{MAX_VALUE_BYTES} bytes',
        413,
    )


def conflict(key: str) -> verdicts.Failure:
    """Return the failure of a write whose expected version did not match."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_CONFLICT,
        f'{key} was changed by another writer',
        409,
    )


def not_found(key: str) -> verdicts.Failure:
    """Return the failure of a read of a missing key."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_NOT_FOUND,
        f'{key} does not exist',
        404,
    )


def connect(
    client: httpx.AsyncClient,
    base_url: str,
    call_budget: budget.Budget,
    spans: tracing.Tracing | None = None,
) -> StorePort:
    """Return the calls of a store that is reached over HTTP.

    :param client: HTTP client
    :param base_url: ``http://ip:port`` of the platform
    :param call_budget: limits the rate of this host's store calls
    :param spans: records spans of the calls that are made for a request
    """
    tracer = spans or tracing.Tracing('')

    async def call(
        method: str,
        path: str,
        priority: budget.Priority,
        expected: frozenset[int] = _OK,
        timeout: float = CALL_TIMEOUT_SECONDS,
        **options: typing.Any,
    ) -> result.Result[httpx.Response, verdicts.Failure]:
        """Make a call and return the response if its status is expected."""
        write = method != 'GET'
        acquired = await call_budget.acquire(priority, write=write)
        if isinstance(acquired, result.Err):
            return acquired
        timeouts = httpx.Timeout(timeout, connect=CONNECT_TIMEOUT_SECONDS)
        try:
            with tracer.inner_span(f'store.{method.lower()}', path=path):
                response = await client.request(
                    method, base_url + path, timeout=timeouts, **options
                )
        except httpx.HTTPError as error:
            call_budget.record_refusal()
            return result.Err(_failure_of_error(error, write))
        if response.status_code in BUSY_STATUSES:
            call_budget.record_refusal()
        else:
            call_budget.record_answer()
        if response.status_code in expected:
            return result.Ok(response)
        return result.Err(_failure_of_status(response.status_code, write))

    async def get(
        key: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[Stored, verdicts.Failure]:
        outcome = await call('GET', _path(key), priority, _OK_OR_MISSING)
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        if response.status_code == 404:
            return result.Err(not_found(key))
        version = _read_version(response)
        if version is None:
            return result.Err(
                unavailable('the answer to a read has no valid ETag')
            )
        return result.Ok(Stored(key, version, response.content))

    async def put(
        key: str,
        data: bytes,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[int, verdicts.Failure]:
        if len(data) > MAX_VALUE_BYTES:
            return result.Err(too_large(key))
        outcome = await call(
            'PUT',
            _path(key),
            priority,
            _OK_OR_CONFLICT,
            content=data,
            headers=_condition(version),
        )
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        if response.status_code == 412:
            return result.Err(conflict(key))
        if response.status_code == 413:
            return result.Err(too_large(key))
        written = _read_version(response)
        if written is None:
            return result.Err(
                outcome_unknown('the answer to a write has no valid ETag')
            )
        return result.Ok(written)

    async def delete(
        key: str,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[None, verdicts.Failure]:
        outcome = await call(
            'DELETE',
            _path(key),
            priority,
            _DELETED_OR_CONFLICT,
            headers=_condition(version),
        )
        if isinstance(outcome, result.Err):
            return outcome
        if outcome.ok_value.status_code == 412:
            return result.Err(conflict(key))
        return result.Ok(None)

    async def list_values(
        prefix: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[list[Stored], verdicts.Failure]:
        found: list[Stored] = []
        more = True
        while more:
            after = found[-1].key if found else ''
            outcome = await call(
                'GET',
                '/v1/objects',
                priority,
                params={'prefix': prefix, 'after': after},
            )
            if isinstance(outcome, result.Err):
                return outcome
            page = _decode(outcome.ok_value, _PageBody)
            if page is None or (page['more'] and not page['objects']):
                return result.Err(unavailable('a page of a list is invalid'))
            found += page['objects']
            more = page['more']
        return result.Ok(found)

    async def watch(
        prefix: str, version: int
    ) -> result.Result[Changes, verdicts.Failure]:
        outcome = await call(
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
        if isinstance(outcome, result.Err):
            return outcome
        body = _decode(outcome.ok_value, _ChangesBody)
        if body is None:
            return result.Err(unavailable('the answer to a watch is invalid'))
        return result.Ok(Changes(body['version'], body['changes']))

    return StorePort(get, put, delete, list_values, watch)


def _path(key: str) -> str:
    """Return the URL path of a key.

    Dots and reserved characters are quoted, so that parts such as ``..`` are
    not resolved as path segments.
    """
    parts = [urllib.parse.quote(part, safe='') for part in key.split('/')]
    quoted = '/'.join(part.replace('.', '%2E') for part in parts)
    return f'/v1/objects/{quoted}'


def _failure_of_error(error: httpx.HTTPError, write: bool) -> verdicts.Failure:
    """Return the failure of a call that got no answer.

    Reads have no effect, and neither has a write of which no byte was sent.
    The outcome of any other write is unknown.
    """
    if write and not isinstance(error, NOT_SENT_ERRORS):
        return outcome_unknown(type(error).__name__)
    return unavailable(type(error).__name__)


def _failure_of_status(status: int, write: bool) -> verdicts.Failure:
    """Return the failure of a call that got an unexpected status.

    The store sends 4xx and 503 before it writes anything. A gateway may send
    502 or 504 in place of the answer to a write that took effect.
    """
    is_rejected = 400 <= status < 500 or status == 503
    if write and not is_rejected:
        return outcome_unknown(f'status {status}')
    return unavailable(f'status {status}')


def _read_version(response: httpx.Response) -> int | None:
    """Return the version in the ETag, or ``None`` if there is none."""
    return numerals.read_integer(response.headers.get('etag', ''))


_Shape = typing.TypeVar('_Shape')


def _decode(response: httpx.Response, shape: type[_Shape]) -> _Shape | None:
    """Decode a CBOR answer; return ``None`` if it is invalid."""
    try:
        return msgspec.convert(cbor2.loads(response.content), shape)
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        return None


def _condition(version: int | None) -> dict[str, str]:
    """Return the headers that make a write conditional on a version."""
    if version is None:
        return {}
    if version == CREATE:
        return {'If-None-Match': '*'}
    return {'If-Match': str(version)}
