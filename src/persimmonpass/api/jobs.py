"""Routes of the caller API for batch jobs."""

import collections.abc
import typing

import msgspec
import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import ports as caller_ports
from persimmonpass import auth
from persimmonpass.controllers.batch import batch
from persimmonpass.controllers.fleet import config
from persimmonpass import jobs
from persimmonpass import submissions
from persimmonpass import verdicts

DEFAULT_DUE_SECONDS = 86_400.0
NDJSON = 'application/x-ndjson'


class ItemRow(typing.TypedDict):
    """An item of a job: its result, or its state while it has none."""

    id: str
    status: str
    text: str
    attempts: int
    cause: str


def routes(ports: caller_ports.CallerPorts) -> list[routing.Route]:
    """Return the routes for batch jobs."""

    async def submit(request: requests.Request) -> responses.Response:
        key = _read_job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.make_failure_response(key.err_value)
        name = request.query_params.get('service', '')
        if config.find_service(ports.board, name) is None:
            return answers.make_failure_response(
                verdicts.invalid('service', f'service {name!r} does not exist')
            )
        due_seconds = answers.read_seconds(
            request.query_params.get('due_seconds'), DEFAULT_DUE_SECONDS
        )
        if isinstance(due_seconds, result.Err):
            return answers.make_failure_response(
                verdicts.invalid('due_seconds', due_seconds.err_value)
            )
        accepted = await ports.batch.submit(
            key.ok_value,
            name,
            due_seconds.ok_value,
            answers.read_lines(request, submissions.MAX_ITEM_BYTES),
        )
        if isinstance(accepted, result.Err):
            return answers.make_failure_response(accepted.err_value)
        job = accepted.ok_value
        return responses.JSONResponse(
            {'job': job.job, 'items': job.items, 'state': job.state}, 202
        )

    async def read_job(
        request: requests.Request,
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        key = _read_job_key(ports, request)
        if isinstance(key, result.Err):
            return key
        return await ports.batch.read_job(key.ok_value)

    async def read_status(request: requests.Request) -> responses.Response:
        key = _read_job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.make_failure_response(key.err_value)
        status = await ports.batch.read_status(key.ok_value)
        if isinstance(status, result.Err):
            return answers.make_failure_response(status.err_value)
        return responses.JSONResponse(status.ok_value)

    async def cancel(request: requests.Request) -> responses.Response:
        key = _read_job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.make_failure_response(key.err_value)
        cancelled = await ports.batch.cancel(key.ok_value)
        if isinstance(cancelled, result.Err):
            return answers.make_failure_response(cancelled.err_value)
        job = cancelled.ok_value
        return responses.JSONResponse({'job': job.job, 'state': job.state})

    async def read_results(request: requests.Request) -> responses.Response:
        found = await read_job(request)
        if isinstance(found, result.Err):
            return answers.make_failure_response(found.err_value)
        return responses.StreamingResponse(
            _iterate_result_lines(ports.batch, found.ok_value),
            media_type=NDJSON,
        )

    async def read_item(request: requests.Request) -> responses.Response:
        key = _read_job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.make_failure_response(key.err_value)
        item_id = request.path_params['item']
        found = await ports.batch.read_item(key.ok_value, item_id)
        if isinstance(found, result.Err):
            return answers.make_failure_response(found.err_value)
        return responses.JSONResponse(_to_row(*found.ok_value))

    path = '/v1/jobs/{job}'
    return [
        routing.Route(path, submit, methods=['PUT']),
        routing.Route(path, read_status),
        routing.Route(f'{path}/cancel', cancel, methods=['POST']),
        routing.Route(f'{path}/results', read_results),
        routing.Route(f'{path}/items/{{item:path}}', read_item),
    ]


def _read_job_key(
    ports: caller_ports.CallerPorts, request: requests.Request
) -> result.Result[jobs.JobKey, verdicts.Failure]:
    account = auth.find_account(ports.board, request.headers)
    if isinstance(account, result.Err):
        return account
    return result.Ok(
        jobs.JobKey(account.ok_value.name, request.path_params['job'])
    )


async def _iterate_result_lines(
    controller: batch.Batch, job: jobs.Job
) -> collections.abc.AsyncGenerator[bytes, None]:
    async for row in controller.read_results(job):
        if isinstance(row, result.Err):
            body = dict(verdicts.to_body(row.err_value))
            yield msgspec.json.encode(body) + b'\n'
            return
        yield msgspec.json.encode(_to_row(*row.ok_value)) + b'\n'


def _to_row(item: jobs.Item, item_result: jobs.ItemResult) -> ItemRow:
    return ItemRow(id=item.id, **item_result._asdict())
