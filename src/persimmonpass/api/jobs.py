"""Routes for batch jobs."""

import collections.abc

import msgspec
import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import ports as caller_ports
from persimmonpass import auth
from persimmonpass.controllers import config
from persimmonpass import jobs
from persimmonpass import store
from persimmonpass import verdicts

DEFAULT_DUE_SECONDS = 86_400.0
NDJSON = 'application/x-ndjson'


def routes(ports: caller_ports.CallerPorts) -> list[routing.Route]:
    """Make the routes for batch jobs."""

    async def submit(request: requests.Request) -> responses.Response:
        key = _job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.fail(key.err_value)
        name = request.query_params.get('service', '')
        if config.find_service(ports.board, name) is None:
            return answers.fail(
                verdicts.invalid('service', f'{name!r} is unknown')
            )
        due = answers.read_seconds(
            request.query_params.get('due_seconds'), DEFAULT_DUE_SECONDS
        )
        if isinstance(due, result.Err):
            return answers.fail(verdicts.invalid('due_seconds', due.err_value))
        with ports.enter():
            accepted = await jobs.submit(
                ports.store,
                key.ok_value,
                name,
                due.ok_value,
                answers.read_lines(request),
            )
        if isinstance(accepted, result.Err):
            return answers.fail(accepted.err_value)
        job = accepted.ok_value
        return responses.JSONResponse(
            {'job': job.job, 'items': job.items, 'state': job.state}, 202
        )

    async def find(
        request: requests.Request,
    ) -> result.Result[jobs.Job, verdicts.Failure]:
        key = _job_key(ports, request)
        if isinstance(key, result.Err):
            return key
        found = await ports.store.get(jobs.head_key(key.ok_value))
        if isinstance(found, result.Err):
            return found
        return result.Ok(jobs.decode(found.ok_value))

    async def show(request: requests.Request) -> responses.Response:
        found = await find(request)
        if isinstance(found, result.Err):
            return answers.fail(found.err_value)
        job = found.ok_value
        counts = {jobs.ITEM_DONE: 0, jobs.ITEM_FAILED: 0}
        async for row in jobs.read_results(ports.store, job):
            if isinstance(row, result.Err):
                return answers.fail(row.err_value)
            item_result = row.ok_value[1]
            if item_result is not None:
                counts[item_result.status] += 1
        return responses.JSONResponse(
            {
                'job': job.job,
                'service': job.service,
                'state': _job_state(job, sum(counts.values())),
                'items': job.items,
                **counts,
            }
        )

    async def cancel(request: requests.Request) -> responses.Response:
        key = _job_key(ports, request)
        if isinstance(key, result.Err):
            return answers.fail(key.err_value)
        cancelled = await jobs.cancel(ports.store, key.ok_value)
        if isinstance(cancelled, result.Err):
            return answers.fail(cancelled.err_value)
        return responses.JSONResponse(
            {'job': cancelled.ok_value.job, 'state': jobs.CANCELLED}
        )

    async def read(request: requests.Request) -> responses.Response:
        found = await find(request)
        if isinstance(found, result.Err):
            return answers.fail(found.err_value)
        return responses.StreamingResponse(
            _result_lines(ports.store, found.ok_value), media_type=NDJSON
        )

    path = '/v1/jobs/{job}'
    return [
        routing.Route(path, submit, methods=['PUT']),
        routing.Route(path, show),
        routing.Route(f'{path}/cancel', cancel, methods=['POST']),
        routing.Route(f'{path}/results', read),
    ]


def _job_key(
    ports: caller_ports.CallerPorts, request: requests.Request
) -> result.Result[jobs.JobKey, verdicts.Failure]:
    account = auth.find_account(ports.board, request.headers)
    if isinstance(account, result.Err):
        return account
    return result.Ok(
        jobs.JobKey(account.ok_value.name, request.path_params['job'])
    )


def _job_state(job: jobs.Job, finished: int) -> str:
    if finished == job.items:
        return 'finished'
    return job.state


async def _result_lines(
    port: store.StorePort, job: jobs.Job
) -> collections.abc.AsyncGenerator[bytes, None]:
    async for row in jobs.read_results(port, job):
        if isinstance(row, result.Err):
            body = dict(verdicts.to_body(row.err_value))
            yield msgspec.json.encode(body) + b'\n'
            return
        item, item_result = row.ok_value
        if item_result is None:
            status = 'waiting'
            if job.state == jobs.CANCELLED:
                status = jobs.CANCELLED
            item_result = jobs.ItemResult(status, '', 0)
        line = {'id': item.id, **item_result._asdict()}
        yield msgspec.json.encode(line) + b'\n'
