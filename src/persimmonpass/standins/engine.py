"""Stand-in for a model engine with continuous batching.

The text that follows a prompt is a function of the prompt, so that tests can
compute the expected result.
"""

import collections
import itertools
import json
import random
import typing

import anyio
import anyio.abc
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types
import xxhash

from persimmonpass.standins import faults

WORDS = (
    'pump', 'station', 'pressure', 'is', 'normal', 'low', 'at', 'check',
    'valve', 'north', 'ward', 'seven', 'flow', 'steady', 'before', 'night',
)  # fmt: skip
PREFIX_BLOCK_CHARACTERS = 64
CRASH_MARK = 'CRASH-ENGINE'
MAX_EVENTS = 10_000


class Speed(typing.NamedTuple):
    """Durations and cache size of an engine.

    :ivar step_seconds: base duration of a decoding step
    :ivar step_seconds_per_sequence: added to a step for each running sequence
    :ivar prefill_seconds_per_block: for each block that is not in the cache
    :ivar cache_blocks: capacity of the prefix cache in blocks
    :ivar load_seconds: time to load a model
    """

    step_seconds: float = 0.01
    step_seconds_per_sequence: float = 0.0005
    prefill_seconds_per_block: float = 0.002
    cache_blocks: int = 2_000
    load_seconds: float = 0.5


class CompletionBody(msgspec.Struct):
    """Request body of a completion; see ``targets.engine.Completion``."""

    attempt: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ''
    resume_text: str = ''
    kv: list[int] = []
    stream: bool = True


class OrderBody(msgspec.Struct):
    """Request body of an order.

    :ivar models: all models that should be loaded
    :ivar fence: fencing number; one that is lower than the last is refused
        if the engine checks fencing
    """

    models: list[str]
    fence: int
    role: str = 'both'


class _Sequence:
    """A running completion."""

    def __init__(self, body: CompletionBody) -> None:
        self.body = body
        self.produced = len(body.resume_text.split())
        self.send, self.receive = anyio.create_memory_object_stream[str](
            body.max_tokens + 1
        )


def token(prompt: str, index: int) -> str:
    """Return the token at an index of the completion of a prompt."""
    digest = xxhash.xxh32_intdigest(f'{index}:{prompt}'.encode())
    return WORDS[digest % len(WORDS)] + ' '


def full_text(prompt: str, max_tokens: int) -> str:
    """Return the whole completion of a prompt."""
    return ''.join(token(prompt, index) for index in range(max_tokens))


def prefix_blocks(prompt: str) -> list[int]:
    """Return a hash of the prompt up to the end of each full block."""
    ends = range(
        PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS
    )
    return [xxhash.xxh64_intdigest(prompt[:end].encode()) >> 1 for end in ends]


class Engine:
    """A model engine that decodes a batch step by step.

    :ivar app: the ASGI application
    :ivar started: number of completions started, by attempt
    :ivar cancelled: number of completions whose client disconnected early
    """

    def __init__(
        self,
        name: str,
        models: typing.Iterable[str],
        speed: Speed = Speed(),
        *,
        checks_fencing: bool = True,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.started: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self.crashed = False
        self._models = list(models)
        self._speed = speed
        self._checks_fencing = checks_fencing
        self._fence = 0
        self._role = 'both'
        self._random = random.Random(seed)
        self._running: list[_Sequence] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, int, str, int]] = []
        self._event_numbers = itertools.count(1)
        self._load_history: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._work_added = anyio.Event()
        self._crash = anyio.Event()
        self.app = faults.FaultInjector(
            applications.Starlette(routes=self._routes())
        )

    def _routes(self) -> list[routing.Route]:
        post = ['POST']
        return [
            routing.Route('/v1/completions', self._complete, methods=post),
            routing.Route('/v1/load', self._report),
            routing.Route('/v1/cache/events', self._list_events),
            routing.Route('/v1/kv/export', self._export, methods=post),
            routing.Route('/v1/orders', self._order, methods=post),
            routing.Route('/v1/orders', self._show_state),
            routing.Route('/control/counts', self._count),
        ]

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Decode the running batch step by step until the engine crashes."""
        task_status.started()
        while not self.crashed:
            self._record_load()
            if not self._running:
                await self._work_added.wait()
                continue
            await anyio.sleep(
                self._speed.step_seconds
                + self._speed.step_seconds_per_sequence * len(self._running)
            )
            for sequence in list(self._running):
                self._step(sequence)

    async def wait_crashed(self) -> None:
        """Wait until a prompt with ``CRASH_MARK`` has crashed the engine."""
        await self._crash.wait()

    def _step(self, sequence: _Sequence) -> None:
        body = sequence.body
        try:
            sequence.send.send_nowait(token(body.prompt, sequence.produced))
        except (anyio.BrokenResourceError, anyio.WouldBlock):
            self._finish(sequence)
            return
        sequence.produced += 1
        if sequence.produced >= body.max_tokens:
            self._finish(sequence)

    def _finish(self, sequence: _Sequence) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
        sequence.send.close()

    def _record_load(self) -> None:
        pending = sum(
            sequence.body.max_tokens - sequence.produced
            for sequence in self._running
        )
        counts = {'running': len(self._running), 'pending_tokens': pending}
        self._load_history.append((anyio.current_time(), counts))

    async def _complete(self, request: requests.Request) -> responses.Response:
        body = msgspec.json.decode(await request.body(), type=CompletionBody)
        if model_key(body.model, body.version, body.adapter) not in (
            self._models
        ):
            return responses.JSONResponse({'error': 'not loaded'}, 404)
        self.started[body.attempt] += 1
        if CRASH_MARK in body.prompt:
            self.crashed = True
            self._crash.set()
            await anyio.sleep_forever()
        await self._prefill(body)
        sequence = _Sequence(body)
        if sequence.produced < body.max_tokens:
            self._running.append(sequence)
            self._work_added.set()
            self._work_added = anyio.Event()
        else:
            sequence.send.close()
        return _EventStream(self, sequence)

    async def _prefill(self, body: CompletionBody) -> None:
        blocks = prefix_blocks(body.prompt + body.resume_text)
        known = set(self._cache) | set(body.kv)
        missing = [block for block in blocks if block not in known]
        await anyio.sleep(self._speed.prefill_seconds_per_block * len(missing))
        for block in blocks:
            self._cache_block(block)

    def _cache_block(self, block: int) -> None:
        if block not in self._cache:
            self._publish('stored', block)
        self._cache[block] = None
        self._cache.move_to_end(block)
        while len(self._cache) > self._speed.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._publish('removed', evicted)

    def _publish(self, kind: str, block: int) -> None:
        number = next(self._event_numbers)
        if self._random.random() < self.app.faults.drop_cache_events:
            return
        self._events.append((anyio.current_time(), number, kind, block))
        del self._events[:-MAX_EVENTS]

    async def _report(self, request: requests.Request) -> responses.Response:
        self._record_load()
        cutoff = anyio.current_time() - self.app.faults.lag_seconds
        visible = [
            counts for time, counts in self._load_history if time <= cutoff
        ]
        counts = (
            visible[-1] if visible else {'running': 0, 'pending_tokens': 0}
        )
        return responses.JSONResponse({**counts, 'models': self._models})

    async def _list_events(
        self, request: requests.Request
    ) -> responses.Response:
        after = int(request.query_params.get('after', '0'))
        cutoff = anyio.current_time() - self.app.faults.lag_seconds
        rows = [
            {'number': number, 'kind': kind, 'block': block}
            for time, number, kind, block in self._events
            if number > after and time <= cutoff
        ]
        return responses.JSONResponse(rows)

    async def _export(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        blocks = prefix_blocks(body['text'])
        held = [block for block in blocks if block in self._cache]
        return responses.JSONResponse({'kv': held})

    async def _order(self, request: requests.Request) -> responses.Response:
        body = msgspec.json.decode(await request.body(), type=OrderBody)
        if self._checks_fencing and body.fence < self._fence:
            return responses.JSONResponse(
                {'error': 'old fencing number', 'fence': self._fence}, 409
            )
        self._fence = max(self._fence, body.fence)
        added = [name for name in body.models if name not in self._models]
        await anyio.sleep(self._speed.load_seconds * len(added))
        self._models = list(body.models)
        self._role = body.role
        return await self._show_state(request)

    async def _show_state(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(
            {'models': self._models, 'role': self._role, 'fence': self._fence}
        )

    async def _count(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {'started': self.started, 'cancelled': self.cancelled}
        )

    def end_stream(self, sequence: _Sequence) -> None:
        """Remove a completion after its stream has ended.

        It counts as cancelled if it was still running.
        """
        if sequence in self._running:
            self.cancelled += 1
        self._finish(sequence)


class _EventStream(responses.Response):
    """Response with the server-sent events of one completion."""

    def __init__(self, engine: Engine, sequence: _Sequence) -> None:
        super().__init__()
        self._engine = engine
        self._sequence = sequence

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the events until all are sent or the client disconnects."""
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', b'text/event-stream')],
            }
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_on_disconnect, receive, tasks.cancel_scope
            )
            try:
                await self._send_text(send)
            finally:
                self._engine.end_stream(self._sequence)
            tasks.cancel_scope.cancel()

    async def _cancel_on_disconnect(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        while (await receive())['type'] != 'http.disconnect':
            pass
        scope.cancel()

    async def _send_text(self, send: types.Send) -> None:
        async for text in self._sequence.receive:
            await send(_body_message(self._event(text, None)))
        await send(
            _body_message(self._event('', 'length') + b'data: [DONE]\n\n')
        )
        await send({'type': 'http.response.body', 'body': b''})

    def _event(self, text: str, reason: str | None) -> bytes:
        choice = {'index': 0, 'text': text, 'finish_reason': reason}
        body = {'id': self._sequence.body.attempt, 'choices': [choice]}
        return f'data: {json.dumps(body)}\n\n'.encode()


def _body_message(data: bytes) -> dict[str, typing.Any]:
    return {'type': 'http.response.body', 'body': data, 'more_body': True}


def model_key(model: str, version: str, adapter: str) -> str:
    """Return the name under which an engine lists a loaded model."""
    key = f'{model}@{version}'
    return f'{key}+{adapter}' if adapter else key
