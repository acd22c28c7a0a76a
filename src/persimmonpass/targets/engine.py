"""Client of a model engine's HTTP interface."""

import collections.abc
import json
import typing

import httpx
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import verdicts

CONNECT_TIMEOUT_SECONDS = 1.0
PROGRESS_TIMEOUT_SECONDS = 3.0
REPORT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0

_DATA = 'data: '
_DONE = '[DONE]'


class Completion(typing.NamedTuple):
    """Work for an engine.

    :ivar attempt: id that the engine repeats in each piece
    :ivar resume_text: text that an earlier attempt produced already
    """

    attempt: str
    model: str
    version: str
    adapter: str
    prompt: str
    max_tokens: int
    resume_text: str = ''


class Piece(typing.NamedTuple):
    """A part of the text.

    :ivar finish_reason: set in the last piece only
    """

    text: str
    finish_reason: str | None = None


class Report(typing.NamedTuple):
    """An engine's report of its load, which lags.

    :ivar models: what is loaded, see :class:`blackboard.Load`
    """

    running: int
    pending_tokens: int
    models: tuple[str, ...]


PieceResult = result.Result[Piece, verdicts.Failure]


class EnginePort(typing.NamedTuple):
    """Calls of an engine.

    :ivar stream: target, completion, trace headers -> pieces; the last one
        has a finish reason, or a failure ends the stream
    :ivar report: target -> its load
    """

    stream: collections.abc.Callable[
        ..., collections.abc.AsyncGenerator[PieceResult, None]
    ]
    report: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Report, verdicts.Failure]],
    ]


def target_failed(
    target: blackboard.Target, verdict: verdicts.Verdict, detail: str
) -> verdicts.Failure:
    """Return the failure of an attempt at a target.

    :param verdict: ``NOT_RUN`` only if no byte of the request left
    """
    return verdicts.Failure(
        verdict,
        events.TARGET_FAILED,
        f'target {target.name} failed: {detail}',
        502,
        RETRY_AFTER_SECONDS,
    )


def connect(client: httpx.AsyncClient) -> EnginePort:
    """Make the port of engines that are reached over HTTP.

    :param client: HTTP client
    """

    async def stream(
        target: blackboard.Target,
        completion: Completion,
        headers: dict[str, str],
    ) -> collections.abc.AsyncGenerator[PieceResult, None]:
        request = client.build_request(
            'POST',
            f'http://{target.address}/v1/completions',
            json={**completion._asdict(), 'stream': True},
            headers=headers,
            timeout=httpx.Timeout(
                PROGRESS_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
            ),
        )
        answer = None
        try:
            answer = await client.send(request, stream=True)
            if answer.status_code != 200:
                yield result.Err(await _refused(target, answer))
                return
            async for piece in _read_pieces(answer, completion.attempt):
                yield result.Ok(piece)
                if piece.finish_reason is not None:
                    return
            yield result.Err(_broken(target, 'the stream ended early'))
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            yield result.Err(
                target_failed(
                    target, verdicts.Verdict.NOT_RUN, type(error).__name__
                )
            )
        except (httpx.HTTPError, ValueError, KeyError) as error:
            yield result.Err(_broken(target, type(error).__name__))
        finally:
            if answer is not None:
                await answer.aclose()

    async def report(
        target: blackboard.Target,
    ) -> result.Result[Report, verdicts.Failure]:
        try:
            answer = await client.get(
                f'http://{target.address}/v1/load',
                timeout=REPORT_TIMEOUT_SECONDS,
            )
            body = answer.json()
            return result.Ok(
                Report(
                    int(body['running']),
                    int(body['pending_tokens']),
                    tuple(body['models']),
                )
            )
        except (httpx.HTTPError, ValueError, KeyError) as error:
            return result.Err(_broken(target, type(error).__name__))

    return EnginePort(stream, report)


async def _read_pieces(
    answer: httpx.Response, attempt: str
) -> collections.abc.AsyncGenerator[Piece, None]:
    """Read server-sent events.

    :raises ValueError: if a piece belongs to another attempt
    """
    async for line in answer.aiter_lines():
        if not line.startswith(_DATA):
            continue
        data = line.removeprefix(_DATA)
        if data == _DONE:
            return
        body = json.loads(data)
        if body['id'] != attempt:
            raise ValueError('piece of another attempt')
        choice = body['choices'][0]
        yield Piece(choice['text'], choice['finish_reason'])


async def _refused(
    target: blackboard.Target, answer: httpx.Response
) -> verdicts.Failure:
    """Turn an engine's refusal into a failure.

    An engine refuses with 4xx and 503 before it admits a request; after any
    other status the request may have run.
    """
    await answer.aread()
    refused = answer.status_code < 500 or answer.status_code == 503
    verdict = (
        verdicts.Verdict.NOT_RUN if refused else verdicts.Verdict.MAY_HAVE_RUN
    )
    return target_failed(target, verdict, f'status {answer.status_code}')


def _broken(target: blackboard.Target, detail: str) -> verdicts.Failure:
    return target_failed(target, verdicts.Verdict.MAY_HAVE_RUN, detail)
