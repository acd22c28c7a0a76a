"""Client of the platform's object API.

The API keeps values of up to a megabyte under string keys. Each write gets a
version from one rising counter; ``If-Match`` makes a write conditional on the
present version, ``If-None-Match: *`` on there being none.
"""

import collections.abc
import typing

import cbor2
import httpx
import result

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import verdicts

CREATE = 0
MAX_VALUE_BYTES = 1_000_000
CALL_TIMEOUT_SECONDS = 3.0
WATCH_TIMEOUT_SECONDS = 20.0
RETRY_AFTER_SECONDS = 1.0
REFUSED_STATUSES = (429, 503)
UNKNOWN_STATUSES = (500, 502, 504)


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
    client: httpx.AsyncClient, base_url: str, calls: budget.Budget
) -> StorePort:
    """Make the port of a store that is reached over HTTP.

    :param client: HTTP client
    :param base_url: ``http://ip:port`` of the platform
    :param calls: rate at which this host may call the store
    """

    async def call(
        method: str,
        path: str,
        priority: budget.Priority,
        timeout: float = CALL_TIMEOUT_SECONDS,
        **options: typing.Any,
    ) -> result.Result[httpx.Response, verdicts.Failure]:
        await calls.take(priority)
        try:
            answer = await client.request(
                method, base_url + path, timeout=timeout, **options
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return result.Err(unavailable(type(error).__name__))
        except httpx.HTTPError as error:
            return result.Err(outcome_unknown(type(error).__name__))
        detail = f'status {answer.status_code}'
        if answer.status_code in REFUSED_STATUSES:
            return result.Err(unavailable(detail))
        if answer.status_code in UNKNOWN_STATUSES:
            return result.Err(outcome_unknown(detail))
        return result.Ok(answer)

    async def get(
        key: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[Stored, verdicts.Failure]:
        answered = await call('GET', f'/v1/objects/{key}', priority)
        if isinstance(answered, result.Err):
            return answered
        answer = answered.ok_value
        if answer.status_code == 404:
            return result.Err(not_found(key))
        return result.Ok(
            Stored(key, int(answer.headers['etag']), answer.content)
        )

    async def put(
        key: str,
        data: bytes,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[int, verdicts.Failure]:
        answered = await call(
            'PUT',
            f'/v1/objects/{key}',
            priority,
            content=data,
            headers=_condition(version),
        )
        if isinstance(answered, result.Err):
            return answered
        answer = answered.ok_value
        if answer.status_code == 412:
            return result.Err(conflict(key))
        if answer.status_code != 200:
            detail = f'{key}: status {answer.status_code}'
            return result.Err(unavailable(detail))
        return result.Ok(int(answer.headers['etag']))

    async def delete(
        key: str,
        version: int | None = None,
        priority: budget.Priority = budget.Priority.STATUS,
    ) -> result.Result[None, verdicts.Failure]:
        answered = await call(
            'DELETE',
            f'/v1/objects/{key}',
            priority,
            headers=_condition(version),
        )
        if isinstance(answered, result.Err):
            return answered
        if answered.ok_value.status_code == 412:
            return result.Err(conflict(key))
        return result.Ok(None)

    async def list_values(
        prefix: str, priority: budget.Priority = budget.Priority.STATUS
    ) -> result.Result[list[Stored], verdicts.Failure]:
        found: list[Stored] = []
        after = ''
        while True:
            answered = await call(
                'GET',
                '/v1/objects',
                priority,
                params={'prefix': prefix, 'after': after},
            )
            if isinstance(answered, result.Err):
                return answered
            page = cbor2.loads(answered.ok_value.content)
            found += [Stored(*row) for row in page['objects']]
            if not page['more']:
                return result.Ok(found)
            after = found[-1].key

    async def watch(
        prefix: str, version: int
    ) -> result.Result[Changes, verdicts.Failure]:
        answered = await call(
            'GET',
            '/v1/watch',
            budget.Priority.STATUS,
            WATCH_TIMEOUT_SECONDS + CALL_TIMEOUT_SECONDS,
            params={
                'prefix': prefix,
                'after': version,
                'timeout': WATCH_TIMEOUT_SECONDS,
            },
        )
        if isinstance(answered, result.Err):
            return answered
        page = cbor2.loads(answered.ok_value.content)
        changes = [Stored(*row) for row in page['changes']]
        return result.Ok(Changes(page['version'], changes))

    return StorePort(get, put, delete, list_values, watch)


def _condition(version: int | None) -> dict[str, str]:
    if version is None:
        return {}
    if version == CREATE:
        return {'If-None-Match': '*'}
    return {'If-Match': str(version)}
