"""HTTP client of model engines: completions, load reports, cache events."""

import collections.abc
import json
import typing

import anyio
import httpx
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import numerals
from persimmonpass.targets import connections
from persimmonpass import transports
from persimmonpass import verdicts

CONNECT_TIMEOUT_SECONDS = 1.0
PROGRESS_TIMEOUT_SECONDS = 2.0
FIRST_PIECE_TIMEOUT_SECONDS = 8.0
REPORT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 5.0
READ_REST_TIMEOUT_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
# An event has the text of a few tokens.
MAX_EVENT_BYTES = 262_144
# Read of an answer that is an error.
MAX_ERROR_BYTES = 65_536

HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
LEAVING = 'leaving'

# A text that is nested too deeply raises RecursionError.
_ANSWER_ERRORS = (
    httpx.HTTPError,
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
)
_DATA = b'data: '
_DONE = b'data: [DONE]'
_EVENT_END = b'\n\n'
_CONNECTED = 'connection.connect_tcp.complete'
_HEADERS_STARTED = 'http11.send_request_headers.started'


_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=numerals.MAX_INTEGER)]


class _Choice(msgspec.Struct):
    """Text that an event carries."""

    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """A server-sent event of an engine."""

    id: str
    choices: list[_Choice]


class _Load(msgspec.Struct):
    """Load that an engine reports."""

    running: _Count
    pending_tokens: _Count
    models: tuple[str, ...]


class _CacheEvent(msgspec.Struct):
    """A change of an engine's prefix cache."""

    number: _Count
    kind: str
    block: int


_DECODER = msgspec.json.Decoder(_Event)


class Completion(typing.NamedTuple):
    """A completion request to an engine.

    :ivar attempt: id of the attempt, which the engine repeats in each event
    :ivar resume_text: text that an earlier attempt has already produced
    """

    attempt: str
    model: str
    version: str
    adapter: str
    prompt: str
    max_tokens: int
    resume_text: str = ''


class Piece(typing.NamedTuple):
    """A part of the text of a completion.

    :ivar finish_reason: why the text ends; set in the last piece only
    """

    text: str
    finish_reason: str | None = None


class Report(typing.NamedTuple):
    """An engine's report of its load; it lags behind the real load.

    :ivar running: requests in progress
    :ivar pending_tokens: tokens still to produce
    :ivar models: what is loaded, see :class:`blackboard.Load`
    """

    running: int
    pending_tokens: int
    models: tuple[str, ...]


class CacheEvent(typing.NamedTuple):
    """A change of an engine's prefix cache.

    :ivar number: increases by one with each change; events can be missing
    :ivar kind: ``stored`` or ``removed``
    :ivar block: hash of a leading block of a prompt
    """

    number: int
    kind: str
    block: int


# Target, number of the last known event -> later events of its prefix cache.
ReadCacheEvents = collections.abc.Callable[
    [blackboard.Target, int],
    collections.abc.Awaitable[
        result.Result[list[CacheEvent], verdicts.Failure]
    ],
]
PieceResult = result.Result[Piece, verdicts.Failure]


class EnginePort(typing.NamedTuple):
    """Calls to an engine.

    :ivar stream: target, completion, trace headers -> pieces. The last piece
        has a finish reason, or a failure ends the stream. A stream fails if
        nothing arrives for ``PROGRESS_TIMEOUT_SECONDS``, or for
        ``FIRST_PIECE_TIMEOUT_SECONDS`` before its first piece.
    :ivar report: target -> its load
    """

    stream: collections.abc.Callable[
        ..., collections.abc.AsyncGenerator[PieceResult, None]
    ]
    report: collections.abc.Callable[
        ...,
        collections.abc.Awaitable[result.Result[Report, verdicts.Failure]],
    ]


class SendTracker:
    """Tracks whether any byte of a request may have been sent.

    The HTTP library reports each step, and it sends nothing before it starts
    to write the headers. The exceptions that it raises are less reliable: a
    reused connection can break at any point.

    :ivar extensions: extensions to pass to the request
    :ivar timeouts: the request's time limits in seconds. A reused connection
        gets a shorter limit, because it may have been lost unnoticed.
    """

    def __init__(self) -> None:
        self._write_count = 0
        self._is_new_connection = False
        self.extensions = {'trace': self._handle_step}
        self.timeouts: dict[str, float | None] = {}

    @property
    def write_count(self) -> int:
        """How often the library began to write the request."""
        return self._write_count

    @property
    def verdict(self) -> verdicts.Verdict:
        """The verdict of a failure that occurs now."""
        if self._write_count:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    async def _handle_step(self, step: str, details: object) -> None:
        if step == _CONNECTED:
            self._is_new_connection = True
        elif step == _HEADERS_STARTED:
            self._write_count += 1
            if not self._is_new_connection:
                self.timeouts['read'] = PROGRESS_TIMEOUT_SECONDS


def target_leaving(target: blackboard.Target) -> verdicts.Failure:
    """Return the failure of an attempt that a leaving target refused."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.TARGET_LEAVING,
        f'target {target.name} is leaving',
        HTTP_UNAVAILABLE,
        RETRY_AFTER_SECONDS,
    )


def target_refused(target: blackboard.Target, detail: str) -> verdicts.Failure:
    """Return the failure of an attempt that a target did not admit."""
    failure = target_failed(target, verdicts.Verdict.NOT_RUN, detail)
    return failure._replace(status=HTTP_UNAVAILABLE)


def is_refused(failure: verdicts.Failure) -> bool:
    """Return whether a target answered that it did not admit a request."""
    return (
        failure.verdict == verdicts.Verdict.NOT_RUN
        and failure.event == events.TARGET_FAILED
        and failure.status == HTTP_UNAVAILABLE
    )


def is_unreachable(failure: verdicts.Failure) -> bool:
    """Return whether an attempt failed before a connection was made."""
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

    :param verdict: ``NOT_RUN`` only if no byte of the request was sent
    :param detail: what went wrong
    """
    return verdicts.Failure(
        verdict,
        events.TARGET_FAILED,
        f'target {target.name} failed: {detail}',
        HTTP_BAD_GATEWAY,
        RETRY_AFTER_SECONDS,
    )


def connect(client: httpx.AsyncClient) -> EnginePort:
    """Return the calls to engines that are reached over HTTP.

    :param client: HTTP client
    """

    async def stream(
        target: blackboard.Target,
        completion: Completion,
        headers: dict[str, str],
    ) -> collections.abc.AsyncGenerator[PieceResult, None]:
        tracker = SendTracker()
        request = client.build_request(
            'POST',
            f'http://{target.address}/v1/completions',
            json={**completion._asdict(), 'stream': True},
            headers=headers,
            timeout=httpx.Timeout(
                FIRST_PIECE_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
            ),
            extensions={**tracker.extensions, transports.STREAMED: True},
        )
        # The library looks up the time limits at each step, so that they can
        # be changed while the request runs.
        tracker.timeouts = request.extensions['timeout']
        answer = None
        try:
            answer = await client.send(request, stream=True)
            tracker.timeouts['read'] = PROGRESS_TIMEOUT_SECONDS
            if answer.status_code != 200:
                yield result.Err(await _to_failure(target, answer))
                return
            async for piece in _read_pieces(answer, completion.attempt):
                yield result.Ok(piece)
                if piece.finish_reason is not None:
                    return
            yield result.Err(
                _outcome_unknown(target, 'the stream ended early')
            )
        except (httpx.HTTPError, ValueError, LookupError, TypeError) as error:
            detail = type(error).__name__
            yield result.Err(target_failed(target, tracker.verdict, detail))
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
            load = msgspec.json.decode(answer.content, type=_Load)
            return result.Ok(
                Report(load.running, load.pending_tokens, load.models)
            )
        except _ANSWER_ERRORS as error:
            return result.Err(_outcome_unknown(target, type(error).__name__))

    return EnginePort(stream, report)


def connect_cache_events(client: httpx.AsyncClient) -> ReadCacheEvents:
    """Return the call that reads the cache events of engines.

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
                CacheEvent(row.number, row.kind, row.block)
                for row in msgspec.json.decode(
                    answer.content, type=list[_CacheEvent]
                )
            ]
        except _ANSWER_ERRORS as error:
            return result.Err(_outcome_unknown(target, type(error).__name__))
        return result.Ok(rows)

    return cache_events


async def _read_pieces(
    answer: httpx.Response, attempt: str
) -> collections.abc.AsyncGenerator[Piece, None]:
    """Read server-sent events; events that arrive together form one piece.

    :param attempt: id of the attempt that the events must carry
    :raises ValueError: if an event belongs to another attempt or is too long
    """
    partial_event = b''
    chunks = answer.aiter_bytes()
    async for chunk in chunks:
        complete_events, end, partial_event = (
            partial_event + chunk
        ).rpartition(_EVENT_END)
        if len(partial_event) > MAX_EVENT_BYTES:
            raise ValueError(
                f'event too long: got {len(partial_event)} bytes, the limit '
                f'is {MAX_EVENT_BYTES}'
            )
        if not end:
            continue
        piece = _join_events(complete_events, attempt)
        if piece is None:
            continue
        if piece.finish_reason is not None:
            await _read_rest(chunks)
        yield piece


def _join_events(data: bytes, attempt: str) -> Piece | None:
    """Return complete events as one piece, or ``None`` if there are none."""
    texts = []
    reason = None
    for line in data.splitlines():
        if not line.startswith(_DATA) or line == _DONE:
            continue
        event = _DECODER.decode(line[len(_DATA) :])
        if event.id != attempt:
            raise ValueError(
                f'expected an event of attempt {attempt}, got {event.id}'
            )
        choice = event.choices[0]
        texts.append(choice.text)
        reason = choice.finish_reason or reason
    return Piece(''.join(texts), reason) if texts else None


async def _read_rest(chunks: collections.abc.AsyncIterator[bytes]) -> None:
    """Read an answer to its end, so that its connection can be reused."""
    with anyio.move_on_after(READ_REST_TIMEOUT_SECONDS):
        async for _ in chunks:
            pass


async def _to_failure(
    target: blackboard.Target, answer: httpx.Response
) -> verdicts.Failure:
    """Convert an engine's error answer into a failure.

    An engine answers 4xx and 503 before it admits a request. After any other
    status the request may have run.

    The connection is not used again: a faulty engine may write its refusal
    once more, and the next request, which runs, would be taken for refused.
    """
    connections.retire(answer)
    body = b''
    async for chunk in answer.aiter_bytes():
        body += chunk
        if len(body) > MAX_ERROR_BYTES:
            break
    if is_leaving(answer.status_code, body):
        return target_leaving(target)
    is_refusal = (
        answer.status_code < 500 or answer.status_code == HTTP_UNAVAILABLE
    )
    detail = f'status {answer.status_code}'
    if is_refusal:
        return target_refused(target, detail)
    failure = _outcome_unknown(target, detail)
    return failure._replace(status=HTTP_UNAVAILABLE)


def _outcome_unknown(
    target: blackboard.Target, detail: str
) -> verdicts.Failure:
    return target_failed(target, verdicts.Verdict.MAY_HAVE_RUN, detail)
