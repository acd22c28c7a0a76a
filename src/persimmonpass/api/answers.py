"""Turns failures and results into HTTP answers."""

import collections.abc
import math

import msgspec
import result
from starlette import requests
from starlette import responses

from persimmonpass import verdicts

VERDICT_HEADER = 'Persimmonpass-Verdict'
EVENT_HEADER = 'Persimmonpass-Event'
RECORDED_HEADER = 'Persimmonpass-Recorded'
REQUEST_HEADER = 'Persimmonpass-Request-Id'
MAX_BODY_BYTES = 4_000_000


def fail(failure: verdicts.Failure) -> responses.Response:
    """Return the answer of a failure: JSON body and headers agree."""
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
    """Read a body that is not larger than a limit in bytes."""
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            return result.Err(
                verdicts.invalid('body', f'larger than {limit} bytes', 413)
            )
    return result.Ok(bytes(body))


def read_json(body: bytes) -> result.Result[object, verdicts.Failure]:
    """Decode JSON."""
    try:
        return result.Ok(msgspec.json.decode(body))
    except msgspec.DecodeError as error:
        return result.Err(verdicts.invalid('body', f'broken JSON: {error}'))


async def read_lines(
    request: requests.Request,
) -> collections.abc.AsyncGenerator[bytes, None]:
    """Iterate over the lines of a body without holding all of it."""
    rest = b''
    async for chunk in request.stream():
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            if line.strip():
                yield line
    if rest.strip():
        yield rest
