"""Reads request bodies and parameters, and answers failed requests."""

import collections.abc
import math
import typing

import msgspec
import result
from starlette import requests
from starlette import responses

from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import intake
from persimmonpass import numerals
from persimmonpass import objects
from persimmonpass import verdicts

VERDICT_HEADER = 'Persimmonpass-Verdict'
EVENT_HEADER = 'Persimmonpass-Event'
RECORDED_HEADER = 'Persimmonpass-Recorded'
REQUEST_ID_HEADER = 'Persimmonpass-Request-Id'
MAX_BODY_BYTES = 4_000_000
NO_ROOM_RETRY_SECONDS = 1.0

Shape = typing.TypeVar('Shape')


def make_failure_response(failure: verdicts.Failure) -> responses.Response:
    """Return the HTTP answer of a failure.

    Its verdict and event are both in the JSON body and in the headers.
    """
    headers = {
        VERDICT_HEADER: failure.verdict.value,
        EVENT_HEADER: str(failure.event.number),
    }
    if failure.retry_after_seconds is not None:
        headers['Retry-After'] = str(math.ceil(failure.retry_after_seconds))
    return responses.JSONResponse(
        verdicts.to_body(failure), failure.status, headers
    )


async def read_body(
    request: requests.Request, limit: int = MAX_BODY_BYTES
) -> result.Result[bytes, verdicts.Failure]:
    """Read the body of a request.

    :param limit: largest size in bytes; a larger body fails with status 413
    """
    body = bytearray()
    if exchange.read_length(request.headers.raw) > limit:
        return result.Err(_too_long(limit))
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            return result.Err(_too_long(limit))
    if not intake.find(request.scope).take_whole():
        return result.Err(
            verdicts.Failure(
                verdicts.Verdict.NOT_RUN,
                events.REQUEST_REFUSED,
                'the requests in progress hold as much as they may',
                503,
                NO_ROOM_RETRY_SECONDS,
            )
        )
    return result.Ok(bytes(body))


def _too_long(limit: int) -> verdicts.Failure:
    return verdicts.invalid(
        'body', f'expected at most {limit} bytes, got more', 413
    )


def read_json(
    body: bytes, shape: type[Shape]
) -> result.Result[Shape, verdicts.Failure]:
    """Decode JSON into a type.

    :param shape: type that :mod:`msgspec` decodes into
    :returns: the value, or a failure that names the invalid field
    """
    try:
        return result.Ok(msgspec.json.decode(body, type=shape))
    except msgspec.ValidationError as error:
        failure = objects.invalid_field('', error)
        return result.Err(failure._replace(field=failure.field or 'body'))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(verdicts.invalid('body', f'invalid JSON: {error}'))


async def read_lines(
    request: requests.Request, limit: int
) -> collections.abc.AsyncGenerator[bytes, None]:
    """Iterate over the lines of a body that are not blank.

    The body is streamed: only one line and one chunk are in memory.

    :param limit: length of a line, in bytes, after which no more is read
    """
    connection = intake.find(request.scope)
    rest = bytearray()
    async for chunk in request.stream():
        received = len(rest) + len(chunk)
        rest += chunk
        if b'\n' in chunk:
            *lines, last = bytes(rest).split(b'\n')
            rest = bytearray(last)
            for line in lines:
                if line.strip():
                    yield line
        connection.release(received - len(rest))
        if len(rest) > limit:
            break
    connection.take_whole()
    if rest.strip():
        yield bytes(rest)


def read_seconds(
    text: str | None, default: float
) -> result.Result[float, str]:
    """Read a number of seconds.

    :param text: text of a header or parameter, or ``None``
    :param default: value if the text is ``None``
    :returns: the seconds, or an error message
    """
    if text is None:
        return result.Ok(default)
    seconds = numerals.read_decimal(text)
    if seconds is None:
        return result.Err(f'expected a number of seconds, got {text!r}')
    if not seconds:
        return result.Err(f'expected a number of seconds above 0, got {text}')
    return result.Ok(seconds)
