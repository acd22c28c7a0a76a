"""Routes for the configuration: read, check, change and delete objects."""

import collections.abc
import typing

import anyio
import msgspec
import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import ports as operator_ports
from persimmonpass import auth
from persimmonpass.controllers import config
from persimmonpass import events
from persimmonpass import objects
from persimmonpass import store
from persimmonpass import verdicts

ADMIN_KINDS = ('account', 'person')
CHANGE_ATTEMPTS = 20
CHANGE_BACKOFF_SECONDS = 0.02
OBJECT_PATH = '/v1/objects/{kind}/{name}'

Change = collections.abc.Callable[
    [objects.ConfigObject | None], objects.ConfigObject | None
]
Check = collections.abc.Callable[
    [requests.Request, str], result.Result[auth.Person, verdicts.Failure]
]


class LabelPatch(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a label change; ``null`` removes a label."""

    labels: dict[objects.Label, objects.Label | None]


class CheckBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a check of several objects."""

    objects: list[typing.Any]


def routes(
    ports: operator_ports.OperatorPorts, check: Check
) -> list[routing.Route]:
    """Return the routes.

    Who asks is checked before anything else of a request is read, so that
    nobody learns anything without a token.

    :param check: finds the person of a request who has at least a role
    """

    async def list_all(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        kind = request.query_params.get('kind')
        if kind is not None and kind not in objects.KINDS:
            return answers.fail(objects.unknown_kind(kind))
        rows = [
            objects.to_document(item)
            for item in ports.board.objects.rows()
            if not item.deleted and kind in (None, item.kind)
        ]
        rows.sort(key=lambda row: (row['kind'], row['name']))
        return responses.JSONResponse({'objects': rows})

    async def show(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        key = _key(request)
        if key.kind not in objects.KINDS:
            return answers.fail(objects.unknown_kind(key.kind))
        item = ports.board.objects.get(key)
        if item is None or item.deleted:
            return answers.fail(_missing(key))
        return responses.JSONResponse(objects.to_document(item))

    async def check_all(request: requests.Request) -> responses.Response:
        person = check(request, 'operator')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        body = await _read(request, CheckBody)
        if isinstance(body, result.Err):
            return answers.fail(body.err_value)
        for index, document in enumerate(body.ok_value.objects):
            checked = _parse(document, request, check)
            if isinstance(checked, result.Err):
                failure = checked.err_value
                at = f'objects[{index}].{failure.field}'
                return answers.fail(failure._replace(field=at))
        return responses.JSONResponse({'checked': len(body.ok_value.objects)})

    async def put(request: requests.Request) -> responses.Response:
        person = check(request, 'operator')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        version = _read_version(request)
        if isinstance(version, result.Err):
            return answers.fail(version.err_value)
        document = await _read(request, dict[str, typing.Any])
        if isinstance(document, result.Err):
            return answers.fail(document.err_value)
        parsed = _parse(document.ok_value, request, check)
        if isinstance(parsed, result.Err):
            return answers.fail(parsed.err_value)
        item = parsed.ok_value
        return await _change(
            ports,
            item.key,
            lambda present: item,
            person.ok_value,
            version.ok_value,
        )

    async def patch_labels(request: requests.Request) -> responses.Response:
        key = _key(request)
        person = check(request, _role(key.kind))
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        patch = await _read(request, LabelPatch)
        if isinstance(patch, result.Err):
            return answers.fail(patch.err_value)
        labels = patch.ok_value.labels
        return await _change(
            ports,
            key,
            lambda present: present and _patched(present, labels),
            person.ok_value,
            None,
        )

    async def delete(request: requests.Request) -> responses.Response:
        key = _key(request)
        person = check(request, _role(key.kind))
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        version = _read_version(request)
        if isinstance(version, result.Err):
            return answers.fail(version.err_value)
        return await _change(
            ports,
            key,
            lambda present: present and present._replace(deleted=True),
            person.ok_value,
            version.ok_value,
        )

    return [
        routing.Route('/v1/objects', list_all),
        routing.Route('/v1/objects', put, methods=['PUT']),
        routing.Route('/v1/objects/check', check_all, methods=['POST']),
        routing.Route(OBJECT_PATH, show),
        routing.Route(OBJECT_PATH, patch_labels, methods=['PATCH']),
        routing.Route(OBJECT_PATH, delete, methods=['DELETE']),
    ]


_Body = typing.TypeVar('_Body')


async def _read(
    request: requests.Request, shape: type[_Body]
) -> result.Result[_Body, verdicts.Failure]:
    """Read a JSON body of a shape."""
    raw = await answers.read_body(request)
    if isinstance(raw, result.Err):
        return raw
    return answers.read_json(raw.ok_value, shape)


def _parse(
    document: object, request: requests.Request, check: Check
) -> result.Result[objects.ConfigObject, verdicts.Failure]:
    """Check an object, and that the person may change its kind."""
    parsed = objects.parse(document)
    if isinstance(parsed, result.Err):
        return parsed
    person = check(request, _role(parsed.ok_value.kind))
    return person.and_then(lambda _: parsed)


def _patched(
    item: objects.ConfigObject,
    labels: collections.abc.Mapping[str, str | None],
) -> objects.ConfigObject:
    merged: dict[str, str | None] = {**item.labels, **labels}
    kept = {name: text for name, text in merged.items() if text is not None}
    return item._replace(labels=kept)


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
    if not (text.isascii() and text.isdecimal()):
        return result.Err(
            verdicts.invalid('If-Match', f'{text!r} is not a version')
        )
    return result.Ok(int(text))


async def _change(
    ports: operator_ports.OperatorPorts,
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
        present = await _read_stored(ports.store, key)
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


async def _read_stored(
    port: store.StorePort, key: objects.Key
) -> result.Result[objects.ConfigObject | None, verdicts.Failure]:
    found = await port.get(config.store_key(key))
    if isinstance(found, result.Ok):
        return result.Ok(config.decode(found.ok_value))
    if found.err_value.event == events.STORE_NOT_FOUND:
        return result.Ok(None)
    return found


def _changed(
    ports: operator_ports.OperatorPorts,
    item: objects.ConfigObject,
    person: auth.Person,
) -> responses.Response:
    ports.config.publish(item)
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
