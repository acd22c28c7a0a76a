"""Routes for operators: configuration, status, drain and metrics."""

import collections.abc
import typing

import anyio
import msgspec
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import spread
from persimmonpass import auth
from persimmonpass import blackboard
from persimmonpass.controllers import config
from persimmonpass import events
from persimmonpass import metrics
from persimmonpass import objects
from persimmonpass import store
from persimmonpass import verdicts

ADMIN_KINDS = ('account', 'person')
PROMETHEUS = 'text/plain; version=0.0.4'


class LabelPatch(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a label change; ``null`` removes a label."""

    labels: dict[str, str | None]


class OperatorPorts(typing.NamedTuple):
    """What the operator API works with.

    :ivar start_drain: makes this host leave
    :ivar is_ready: whether this host may take callers
    """

    board: blackboard.Blackboard
    config: config.Config
    store: store.StorePort
    counters: metrics.Metrics
    admin_token_sha256: str
    start_drain: collections.abc.Callable[[], None]
    is_ready: collections.abc.Callable[[], bool]
    host: str


def make_app(ports: OperatorPorts) -> applications.Starlette:
    """Make the application that operators talk to."""

    def check(
        request: requests.Request, role: str
    ) -> result.Result[auth.Person, verdicts.Failure]:
        return auth.find_person(
            ports.board, request.headers, role, ports.admin_token_sha256
        )

    async def list_objects(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        kind = request.query_params.get('kind')
        rows = [
            objects.to_document(item)
            for item in ports.board.objects.rows()
            if not item.deleted and kind in (None, item.kind)
        ]
        rows.sort(key=lambda row: (row['kind'], row['name']))
        return responses.JSONResponse({'objects': rows})

    async def show_object(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        item = ports.board.objects.get(_key(request))
        if item is None or item.deleted:
            return answers.fail(_missing(_key(request)))
        return responses.JSONResponse(objects.to_document(item))

    async def put_object(request: requests.Request) -> responses.Response:
        raw = await answers.read_body(request)
        if isinstance(raw, result.Err):
            return answers.fail(raw.err_value)
        document = answers.read_json(raw.ok_value)
        if isinstance(document, result.Err):
            return answers.fail(document.err_value)
        parsed = objects.parse(document.ok_value)
        if isinstance(parsed, result.Err):
            return answers.fail(parsed.err_value)
        person = check(request, _role(parsed.ok_value.kind))
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        version = _read_version(request)
        if isinstance(version, result.Err):
            return answers.fail(version.err_value)

        def change(
            present: objects.ConfigObject | None,
        ) -> objects.ConfigObject:
            return parsed.ok_value

        return await _change(
            ports,
            parsed.ok_value.key,
            change,
            person.ok_value,
            version.ok_value,
        )

    async def patch_labels(request: requests.Request) -> responses.Response:
        key = _key(request)
        person = check(request, _role(key.kind))
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        raw = await answers.read_body(request)
        if isinstance(raw, result.Err):
            return answers.fail(raw.err_value)
        try:
            patch = msgspec.json.decode(raw.ok_value, type=LabelPatch)
        except msgspec.MsgspecError as error:
            return answers.fail(objects.invalid_field('', error))

        def change(
            present: objects.ConfigObject | None,
        ) -> objects.ConfigObject | None:
            if present is None:
                return None
            merged: dict[str, str | None] = {**present.labels, **patch.labels}
            kept = {
                name: value
                for name, value in merged.items()
                if value is not None
            }
            return present._replace(labels=kept)

        return await _change(ports, key, change, person.ok_value, None)

    async def delete_object(request: requests.Request) -> responses.Response:
        key = _key(request)
        person = check(request, _role(key.kind))
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        version = _read_version(request)
        if isinstance(version, result.Err):
            return answers.fail(version.err_value)

        def change(
            present: objects.ConfigObject | None,
        ) -> objects.ConfigObject | None:
            if present is None:
                return None
            return present._replace(deleted=True)

        return await _change(
            ports, key, change, person.ok_value, version.ok_value
        )

    async def show_status(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        return responses.JSONResponse(_status(ports))

    async def drain(request: requests.Request) -> responses.Response:
        person = check(request, 'operator')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        ports.start_drain()
        return responses.JSONResponse({'host': ports.host}, 202)

    async def show_metrics(request: requests.Request) -> responses.Response:
        return responses.Response(
            ports.counters.render(), media_type=PROMETHEUS
        )

    async def show_health(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('ok\n')

    async def show_ready(request: requests.Request) -> responses.Response:
        ready = ports.is_ready()
        return responses.PlainTextResponse(
            'ready\n' if ready else 'not ready\n', 200 if ready else 503
        )

    path = '/v1/objects/{kind}/{name}'
    return applications.Starlette(
        routes=[
            routing.Route('/v1/objects', list_objects),
            routing.Route('/v1/objects', put_object, methods=['PUT']),
            routing.Route(path, show_object),
            routing.Route(path, patch_labels, methods=['PATCH']),
            routing.Route(path, delete_object, methods=['DELETE']),
            routing.Route('/v1/status', show_status),
            spread.route(ports.config, check),
            routing.Route('/v1/drain', drain, methods=['POST']),
            routing.Route('/metrics', show_metrics),
            routing.Route('/healthz', show_health),
            routing.Route('/readyz', show_ready),
        ]
    )


def _key(request: requests.Request) -> objects.Key:
    return objects.Key(
        request.path_params['kind'], request.path_params['name']
    )


def _role(kind: str) -> str:
    return 'admin' if kind in ADMIN_KINDS else 'operator'


def _missing(key: objects.Key) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.OBJECT_REJECTED,
        f'{key.kind} {key.name!r} does not exist',
        404,
    )


def _read_version(
    request: requests.Request,
) -> result.Result[int | None, verdicts.Failure]:
    """Return the version that a change expects, or ``None`` for any."""
    text = request.headers.get('if-match')
    if text is None:
        return result.Ok(None)
    if not text.isdigit():
        return result.Err(
            verdicts.invalid('If-Match', f'{text!r} is not a version')
        )
    return result.Ok(int(text))


Change = collections.abc.Callable[
    [objects.ConfigObject | None], objects.ConfigObject | None
]

CHANGE_ATTEMPTS = 20
CHANGE_BACKOFF_SECONDS = 0.02


async def _change(
    ports: OperatorPorts,
    key: objects.Key,
    change: Change,
    person: auth.Person,
    expected: int | None,
) -> responses.Response:
    """Read an object, change it and write it if nobody else did.

    :param change: makes the new contents from the present ones; ``None``
        means that there is nothing to change
    :param expected: version that must be the present one; ``None`` repeats
        the change on top of those of others
    """
    for attempt in range(CHANGE_ATTEMPTS):
        present = await _read(ports.store, key)
        if isinstance(present, result.Err):
            return answers.fail(present.err_value)
        item = present.ok_value
        version = item.version if item is not None else 0
        live = item if item is not None and not item.deleted else None
        if expected is not None and version != expected:
            return _lost(item)
        changed = change(live)
        if changed is None:
            return answers.fail(_missing(key))
        written = await config.write(
            ports.store,
            changed._replace(version=version, changed_by=person.name),
        )
        if isinstance(written, result.Ok):
            return _changed(ports, written.ok_value, person)
        if written.err_value.event != events.STORE_CONFLICT:
            return answers.fail(written.err_value)
        await anyio.sleep(CHANGE_BACKOFF_SECONDS * (attempt + 1))
    return _lost(item)


async def _read(
    port: store.StorePort, key: objects.Key
) -> result.Result[objects.ConfigObject | None, verdicts.Failure]:
    found = await port.get(config.store_key(key))
    if isinstance(found, result.Ok):
        return result.Ok(config.decode(found.ok_value))
    if found.err_value.event == events.STORE_NOT_FOUND:
        return result.Ok(None)
    return found


def _changed(
    ports: OperatorPorts, item: objects.ConfigObject, person: auth.Person
) -> responses.Response:
    ports.config.offer(item)
    events.log(
        events.OBJECT_CHANGED,
        host=ports.host,
        kind=item.kind,
        name=item.name,
        version=item.version,
        person=person.name,
        deleted=item.deleted,
    )
    return responses.JSONResponse(objects.to_document(item))


def _lost(item: objects.ConfigObject | None) -> responses.Response:
    """Answer a change that came too late with what won."""
    failure = verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_CONFLICT,
        'the object was changed by another operator',
        409,
        None,
        'If-Match',
    )
    present = objects.to_document(item) if item is not None else None
    body = {**verdicts.to_body(failure), 'present': present}
    return responses.JSONResponse(body, 409)


def _status(ports: OperatorPorts) -> dict[str, typing.Any]:
    loads = dict(ports.board.loads.items())
    host_loads = dict(ports.board.host_loads.items())
    members = [
        {**row._asdict(), 'load': host_loads.get(row.host)}
        for row in ports.board.members.rows()
    ]
    rows = []
    for target in ports.board.targets.rows():
        load = loads.get(target.name)
        rows.append(
            {
                **target._asdict(),
                'running': load.reported if load else None,
                'models': list(load.models) if load else [],
            }
        )
    versions = [item.version for item in ports.board.objects.rows()]
    return {
        'host': ports.host,
        'config_version': max(versions, default=0),
        'members': sorted(members, key=lambda row: row['host']),
        'targets': sorted(rows, key=lambda row: row['name']),
    }
