"""Client of a model engine's HTTP interface."""

import collections.abc
import json
import typing

import anyio
import httpx
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import verdicts

CONNECT_TIMEOUT_SECONDS = 1.0
PROGRESS_TIMEOUT_SECONDS = 2.0
FIRST_PIECE_SECONDS = 8.0
REPORT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 5.0
REST_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0

HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
LEAVING = 'leaving'

_DATA = b'data: '
_DONE = b'data: [DONE]'
_EVENT_END = b'\n\n'
_CONNECTED = 'connection.connect_tcp.complete'
_HEADERS_STARTED = 'http11.send_request_headers.started'


class _Choice(msgspec.Struct):
    """Text of an event."""

    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """A server-sent event of an engine."""

    id: str
    choices: list[_Choice]


_DECODER = msgspec.json.Decoder(_Event)


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


class CacheEvent(typing.NamedTuple):
    """A change of an engine's prefix cache.

    :ivar number: rises by one with each change; some are missing
    :ivar kind: ``stored`` or ``removed``
    :ivar block: hash of a leading block of a prompt
    """

    number: int
    kind: str
    block: int


# Target, number of an event -> later changes of the target's prefix cache.
ReadCacheEvents = collections.abc.Callable[
    [blackboard.Target, int],
    collections.abc.Awaitable[
        result.Result[list[CacheEvent], verdicts.Failure]
    ],
]
PieceResult = result.Result[Piece, verdicts.Failure]


class EnginePort(typing.NamedTuple):
    """Calls of an engine.

    :ivar stream: target, completion, trace headers -> pieces; the last one
        has a finish reason, or a failure ends the stream. One that makes no
        progress for ``PROGRESS_TIMEOUT_SECONDS``, or for
        ``FIRST_PIECE_SECONDS`` before it begins, fails.
    :ivar report: target -> its load
    """

    stream: collections.abc.Callable[
        ..., collections.abc.AsyncGenerator[PieceResult, None]
    ]
    report: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Report, verdicts.Failure]],
    ]


class SendWatch:
    """Tells whether a byte of a request may have left.

    The HTTP library reports each step; nothing leaves before it starts to
    write the headers. What it raises proves less: a connection that it
    reuses may break at any point.

    :ivar extensions: to be given to the request
    :ivar limits: the request's time limits; a connection that was used
        before must make progress sooner, since it may have been lost
    """

    def __init__(self) -> None:
        self._started = 0
        self._fresh = False
        self.extensions = {'trace': self._note}
        self.limits: dict[str, float | None] = {}

    @property
    def sent(self) -> int:
        """How often the library began to write the request."""
        return self._started

    @property
    def verdict(self) -> verdicts.Verdict:
        """What a failure now says of the request."""
        if self._started:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    async def _note(self, step: str, details: object) -> None:
        if step == _CONNECTED:
            self._fresh = True
        elif step == _HEADERS_STARTED:
            self._started += 1
            if not self._fresh:
                self.limits['read'] = PROGRESS_TIMEOUT_SECONDS


def target_leaving(target: blackboard.Target) -> verdicts.Failure:
    """Return the failure of an attempt that a leaving target refused."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.TARGET_LEAVING,
        f'target {target.name} is leaving',
        HTTP_UNAVAILABLE,
        RETRY_AFTER_SECONDS,
    )


def is_unreachable(failure: verdicts.Failure) -> bool:
    """Return whether an attempt failed since no connection was made."""
    not_run = failure.verdict == verdicts.Verdict.NOT_RUN
    return not_run and failure.status == HTTP_BAD_GATEWAY


def is_leaving(status: int, body: bytes) -> bool:
    """Return whether an answer says that its target is leaving."""
    if status != HTTP_UNAVAILABLE:
        return False
    try:
        decoded = json.loads(body)
    except ValueError:
        return False
    return isinstance(decoded, dict) and decoded.get('error') == LEAVING


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
        HTTP_BAD_GATEWAY,
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
        watch = SendWatch()
        request = client.build_request(
            'POST',
            f'http://{target.address}/v1/completions',
            json={**completion._asdict(), 'stream': True},
            headers=headers,
            timeout=httpx.Timeout(
                FIRST_PIECE_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
            ),
            extensions=watch.extensions,
        )
        # The library reads the limits anew for each step.
        watch.limits = request.extensions['timeout']
        answer = None
        try:
            answer = await client.send(request, stream=True)
            watch.limits['read'] = PROGRESS_TIMEOUT_SECONDS
            if answer.status_code != 200:
                yield result.Err(await _refused(target, answer))
                return
            async for piece in _read_pieces(answer, completion.attempt):
                yield result.Ok(piece)
                if piece.finish_reason is not None:
                    return
            yield result.Err(_broken(target, 'the stream ended early'))
        except (httpx.HTTPError, ValueError, LookupError, TypeError) as error:
            detail = type(error).__name__
            yield result.Err(target_failed(target, watch.verdict, detail))
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


def connect_cache_events(client: httpx.AsyncClient) -> ReadCacheEvents:
    """Make the call that reads the cache events of engines.

    :param client: HTTP client
    """

    async def cache_events(
        target: blackboard.Target, after: int
    ) -> result.Result[list[CacheEvent], verdicts.Failure]:
        try:
            answer = await client.get(
                f'http://{target.address}/v1/cache/events',
                params={'after': after},
                timeout=REPORT_TIMEOUT_SECONDS,
            )
            rows = [
                CacheEvent(int(row['number']), row['kind'], int(row['block']))
                for row in answer.json()
            ]
        except (httpx.HTTPError, ValueError, LookupError, TypeError) as error:
            return result.Err(_broken(target, type(error).__name__))
        return result.Ok(rows)

    return cache_events


async def _read_pieces(
    answer: httpx.Response, attempt: str
) -> collections.abc.AsyncGenerator[Piece, None]:
    """Read server-sent events; those that came together are one piece.

    :raises ValueError: if a piece belongs to another attempt
    """
    rest = b''
    chunks = answer.aiter_bytes()
    async for chunk in chunks:
        whole, end, rest = (rest + chunk).rpartition(_EVENT_END)
        if not end:
            continue
        piece = _join_events(whole, attempt)
        if piece is None:
            continue
        if piece.finish_reason is not None:
            await _read_rest(chunks)
        yield piece


def _join_events(data: bytes, attempt: str) -> Piece | None:
    """Return whole events as one piece, or ``None`` without any text."""
    texts = []
    reason = None
    for line in data.splitlines():
        if not line.startswith(_DATA) or line == _DONE:
            continue
        event = _DECODER.decode(line[len(_DATA) :])
        if event.id != attempt:
            raise ValueError('piece of another attempt')
        choice = event.choices[0]
        texts.append(choice.text)
        reason = choice.finish_reason or reason
    return Piece(''.join(texts), reason) if texts else None


async def _read_rest(chunks: collections.abc.AsyncIterator[bytes]) -> None:
    """Read an answer to its end, so that its connection is used again."""
    with anyio.move_on_after(REST_SECONDS):
        async for _ in chunks:
            pass


async def _refused(
    target: blackboard.Target, answer: httpx.Response
) -> verdicts.Failure:
    """Turn an engine's refusal into a failure.

    An engine refuses with 4xx and 503 before it admits a request; after any
    other status the request may have run.
    """
    body = await answer.aread()
    if is_leaving(answer.status_code, body):
        return target_leaving(target)
    refused = (
        answer.status_code < 500 or answer.status_code == HTTP_UNAVAILABLE
    )
    verdict = (
        verdicts.Verdict.NOT_RUN if refused else verdicts.Verdict.MAY_HAVE_RUN
    )
    detail = f'status {answer.status_code}'
    failure = target_failed(target, verdict, detail)
    return failure._replace(status=HTTP_UNAVAILABLE)


def _broken(target: blackboard.Target, detail: str) -> verdicts.Failure:
    return target_failed(target, verdicts.Verdict.MAY_HAVE_RUN, detail)
