"""Answers completions, as a stream or whole, while they run."""

import contextlib
import json
import typing

import anyio
import anyio.abc
import msgspec
import result
from starlette import responses
from starlette import types

from persimmonpass.api import answers
from persimmonpass.api import ports as caller_ports
from persimmonpass.controllers import online_requests
from persimmonpass import verdicts


class CompletionResponse(responses.Response):
    """Runs a completion while it is answered.

    A caller that hangs up cancels the completion, which frees its target.
    """

    def __init__(
        self,
        ports: caller_ports.CallerPorts,
        completion: online_requests.CompletionRequest,
        stream: bool,
    ) -> None:
        super().__init__()
        self._ports = ports
        self._completion = completion
        self._stream = stream

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Answer the request."""
        with self._ports.enter():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_hang_up, receive, tasks)
                answer = await self._run(send)
                if answer is not None:
                    await answer(scope, receive, send)
                tasks.cancel_scope.cancel()

    async def _run(self, send: types.Send) -> responses.Response | None:
        """Return the answer, or ``None`` if it was streamed."""
        started = anyio.current_time()
        request = self._completion.online
        begun = False
        updates = self._ports.online.complete(self._completion)
        async with contextlib.aclosing(updates):
            async for update in updates:
                if isinstance(update, result.Err):
                    self._count(update.err_value.status)
                    if not begun:
                        return answers.fail(update.err_value)
                    # A stream that failed ends without the final mark.
                    body = dict(verdicts.to_body(update.err_value))
                    await _send_event(send, body, more=False)
                    return None
                value = update.ok_value
                if isinstance(value, online_requests.Finished):
                    self._count(value.answer.status)
                    if not self._stream:
                        return make_answer(request, value)
                    if not begun:
                        await _start_events(send, request)
                        begun = True
                        await _send_event(send, _whole_event(request, value))
                    await _send_event(send, _final_event(request, value))
                    continue
                if not begun:
                    waited = anyio.current_time() - started
                    self._ports.counters.first_token.labels(
                        request.service
                    ).observe(waited)
                    if self._stream:
                        await _start_events(send, request)
                    begun = self._stream
                if self._stream:
                    await _send_event(send, _piece_event(request, value.text))
        await _end_events(send)
        return None

    def _count(self, status: int) -> None:
        service_name = self._completion.online.service
        self._ports.counters.requests.labels(service_name, status).inc()


async def _cancel_on_hang_up(
    receive: types.Receive, tasks: anyio.abc.TaskGroup
) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    tasks.cancel_scope.cancel()


async def _start_events(
    send: types.Send, request: online_requests.OnlineRequest
) -> None:
    headers = [
        (b'content-type', b'text/event-stream'),
        (answers.REQUEST_HEADER.lower().encode(), request.name.key.encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )


async def _send_event(
    send: types.Send, body: dict[str, typing.Any], *, more: bool = True
) -> None:
    data = b'data: ' + msgspec.json.encode(body) + b'\n\n'
    await send({'type': 'http.response.body', 'body': data, 'more_body': more})


async def _end_events(send: types.Send) -> None:
    await send({'type': 'http.response.body', 'body': b'data: [DONE]\n\n'})


def _piece_event(
    request: online_requests.OnlineRequest, text: str
) -> dict[str, typing.Any]:
    choice = {'index': 0, 'text': text, 'finish_reason': None}
    return {'id': request.name.key, 'choices': [choice]}


def _whole_event(
    request: online_requests.OnlineRequest, finished: online_requests.Finished
) -> dict[str, typing.Any]:
    body = json.loads(finished.answer.body)
    return _piece_event(request, body['choices'][0]['text'])


def _final_event(
    request: online_requests.OnlineRequest, finished: online_requests.Finished
) -> dict[str, typing.Any]:
    choice = {'index': 0, 'text': '', 'finish_reason': 'length'}
    return {
        'id': request.name.key,
        'choices': [choice],
        'recorded': finished.recorded,
    }


def make_answer(
    request: online_requests.OnlineRequest, finished: online_requests.Finished
) -> responses.Response:
    """Return the whole answer of a finished request."""
    answer = finished.answer
    headers = {
        answers.REQUEST_HEADER: request.name.key,
        answers.RECORDED_HEADER: str(finished.recorded).lower(),
        answers.VERDICT_HEADER: verdicts.Verdict.RAN.value,
    }
    return responses.Response(
        answer.body, answer.status, headers, answer.content_type or None
    )
