"""Answers completions, as one JSON body or as server-sent events."""

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
from persimmonpass.controllers.online import online_requests
from persimmonpass import verdicts


class CompletionResponse(responses.Response):
    """Answer that runs its completion while it is sent.

    If the caller disconnects, the completion is cancelled. That frees the
    slot at its target.
    """

    def __init__(
        self,
        ports: caller_ports.CallerPorts,
        completion: online_requests.CompletionRequest,
        stream: bool,
    ) -> None:
        """Prepare the answer.

        :param completion: checked request
        :param stream: whether to answer with server-sent events
        """
        super().__init__()
        self._ports = ports
        self._completion = completion
        self._stream = stream
        self._started_at = 0.0
        self._has_first_token = False
        self._has_started_stream = False

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Run the completion and send its answer."""
        online = self._completion.online
        spans = self._ports.spans
        with spans.span('entry.complete', online.headers) as span:
            self._completion = self._completion._replace(
                online=online._replace(headers=online.headers | span)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks)
                answer = await self._run(send)
                if answer is not None:
                    await answer(scope, receive, send)
                tasks.cancel_scope.cancel()

    async def _run(self, send: types.Send) -> responses.Response | None:
        """Run the completion.

        :returns: the answer to send, or ``None`` if it was streamed
        """
        self._started_at = anyio.current_time()
        updates = self._ports.online.complete(self._completion)
        async with contextlib.aclosing(updates):
            async for update in updates:
                if isinstance(update, result.Err):
                    return await self._fail(send, update.err_value)
                value = update.ok_value
                if isinstance(value, online_requests.Finished):
                    return await self._finish(send, value)
                self._observe_first_token()
                if self._stream:
                    await self._send_text(send, value.text)
        raise AssertionError('completion ended without an answer or a failure')

    async def _fail(
        self, send: types.Send, failure: verdicts.Failure
    ) -> responses.Response | None:
        self._count_request(failure.status)
        if not self._has_started_stream:
            return answers.make_failure_response(failure)
        # A failed stream ends without the final event, ``data: [DONE]``.
        await _send_event(
            send, dict(verdicts.to_body(failure)), has_more=False
        )
        return None

    async def _finish(
        self, send: types.Send, finished: online_requests.Finished
    ) -> responses.Response | None:
        request = self._completion.online
        self._count_request(finished.answer.status)
        if not self._stream:
            return make_answer(request, finished)
        if not self._has_started_stream:
            body = json.loads(finished.answer.body)
            await self._send_text(send, body['choices'][0]['text'])
        final = {
            **_make_event(request.name.key, '', 'length'),
            'recorded': finished.recorded,
        }
        await _send_event(send, final)
        await send({'type': 'http.response.body', 'body': b'data: [DONE]\n\n'})
        return None

    async def _send_text(self, send: types.Send, text: str) -> None:
        key = self._completion.online.name.key
        if not self._has_started_stream:
            self._has_started_stream = True
            await _start_event_stream(send, key)
        await _send_event(send, _make_event(key, text, None))

    def _observe_first_token(self) -> None:
        if self._has_first_token:
            return
        self._has_first_token = True
        waited_seconds = anyio.current_time() - self._started_at
        service = self._completion.online.service
        self._ports.counters.first_token.labels(service).observe(
            waited_seconds
        )

    def _count_request(self, status: int) -> None:
        service = self._completion.online.service
        self._ports.counters.requests.labels(service, status).inc()


async def _cancel_on_disconnect(
    receive: types.Receive, tasks: anyio.abc.TaskGroup
) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    tasks.cancel_scope.cancel()


async def _start_event_stream(send: types.Send, key: str) -> None:
    headers = [
        (b'content-type', b'text/event-stream'),
        (answers.REQUEST_ID_HEADER.lower().encode(), key.encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )


async def _send_event(
    send: types.Send, body: dict[str, typing.Any], *, has_more: bool = True
) -> None:
    data = b'data: ' + msgspec.json.encode(body) + b'\n\n'
    await send(
        {'type': 'http.response.body', 'body': data, 'more_body': has_more}
    )


def _make_event(
    key: str, text: str, finish_reason: str | None
) -> dict[str, typing.Any]:
    choice = {'index': 0, 'text': text, 'finish_reason': finish_reason}
    return {'id': key, 'choices': [choice]}


def make_answer(
    request: online_requests.OnlineRequest, finished: online_requests.Finished
) -> responses.Response:
    """Make the HTTP answer of a request that ran.

    :param request: the request, whose key is sent back
    :param finished: answer of the target
    """
    answer = finished.answer
    headers = {
        answers.REQUEST_ID_HEADER: request.name.key,
        answers.RECORDED_HEADER: str(finished.recorded).lower(),
        answers.VERDICT_HEADER: verdicts.Verdict.RAN.value,
    }
    return responses.Response(
        answer.body, answer.status, headers, answer.content_type or None
    )
