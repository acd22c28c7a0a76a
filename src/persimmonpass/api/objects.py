"""Routes of the operator API for configuration objects."""

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
from persimmonpass.controllers.fleet import config
from persimmonpass import events
from persimmonpass import numerals
from persimmonpass import objects
from persimmonpass import store
from persimmonpass import verdicts

ADMIN_KINDS = ('account', 'person')
MAX_CHANGE_ATTEMPTS = 20
CHANGE_BACKOFF_SECONDS = 0.02
OBJECT_PATH = '/v1/objects/{kind}/{name}'

Change = collections.abc.Callable[
    [objects.ConfigObject | None], objects.ConfigObject | None
]
Authorize = collections.abc.Callable[
    [requests.Request, str], result.Result[auth.Person, verdicts.Failure]
]


class LabelPatch(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PATCH`` on an object; ``null`` removes a label."""

    labels: dict[objects.Label, objects.Label | None]


class CheckBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/objects/check``: documents to check."""

    objects: list[typing.Any]


def routes(
    ports: operator_ports.OperatorPorts, authorize: Authorize
) -> list[routing.Route]:
    """Return the routes.

    Each handler authorizes the request before it reads anything else of it,
    so that an error reveals nothing to a client without a token.

    :param authorize: returns the person who sent a request, or a failure if
        the person's role is lower than the one given
    """

    async def list_objects(request: requests.Request) -> responses.Response:
        person = authorize(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        kind = request.query_params.get('kind')
        if kind is not None and kind not in objects.KINDS:
            return answers.make_failure_response(objects.unknown_kind(kind))
        rows = [
            objects.to_document(item)
            for item in ports.board.objects.rows()
            if not item.deleted and kind in (None, item.kind)
        ]
        rows.sort(key=lambda row: (row['kind'], row['name']))
        return responses.JSONResponse({'objects': rows})

    async def show_object(request: requests.Request) -> responses.Response:
        person = authorize(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        key = _read_key(request)
        if key.kind not in objects.KINDS:
            return answers.make_failure_response(
                objects.unknown_kind(key.kind)
            )
        item = ports.board.objects.get(key)
        if item is None or item.deleted:
            return answers.make_failure_response(_make_not_found(key))
        return responses.JSONResponse(objects.to_document(item))

    async def check_objects(request: requests.Request) -> responses.Response:
        person = authorize(request, 'operator')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        body = await _read_json(request, CheckBody)
        if isinstance(body, result.Err):
            return answers.make_failure_response(body.err_value)
        for index, document in enumerate(body.ok_value.objects):
            checked = _parse_and_authorize(document, request, authorize)
            if isinstance(checked, result.Err):
                failure = checked.err_value
                field = f'objects[{index}].{failure.field}'
                return answers.make_failure_response(
                    failure._replace(field=field)
                )
        return responses.JSONResponse({'checked': len(body.ok_value.objects)})

    async def put_object(request: requests.Request) -> responses.Response:
        person = authorize(request, 'operator')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        version = _read_expected_version(request)
        if isinstance(version, result.Err):
            return answers.make_failure_response(version.err_value)
        document = await _read_json(request, dict[str, typing.Any])
        if isinstance(document, result.Err):
            return answers.make_failure_response(document.err_value)
        parsed = _parse_and_authorize(document.ok_value, request, authorize)
        if isinstance(parsed, result.Err):
            return answers.make_failure_response(parsed.err_value)
        item = parsed.ok_value
        return await _change(
            ports,
            item.key,
            lambda current: item,
            person.ok_value,
            version.ok_value,
        )

    async def patch_labels(request: requests.Request) -> responses.Response:
        key = _read_key(request)
        person = authorize(request, _required_role(key.kind))
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        patch = await _read_json(request, LabelPatch)
        if isinstance(patch, result.Err):
            return answers.make_failure_response(patch.err_value)
        labels = patch.ok_value.labels
        return await _change(
            ports,
            key,
            lambda current: current and _patch_labels(current, labels),
            person.ok_value,
            None,
        )

    async def delete_object(request: requests.Request) -> responses.Response:
        key = _read_key(request)
        person = authorize(request, _required_role(key.kind))
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        version = _read_expected_version(request)
        if isinstance(version, result.Err):
            return answers.make_failure_response(version.err_value)
        return await _change(
            ports,
            key,
            lambda current: current and current._replace(deleted=True),
            person.ok_value,
            version.ok_value,
        )

    return [
        routing.Route('/v1/objects', list_objects),
        routing.Route('/v1/objects', put_object, methods=['PUT']),
        routing.Route('/v1/objects/check', check_objects, methods=['POST']),
        routing.Route(OBJECT_PATH, show_object),
        routing.Route(OBJECT_PATH, patch_labels, methods=['PATCH']),
        routing.Route(OBJECT_PATH, delete_object, methods=['DELETE']),
    ]


_Body = typing.TypeVar('_Body')


async def _read_json(
    request: requests.Request, shape: type[_Body]
) -> result.Result[_Body, verdicts.Failure]:
    """Read a body and decode its JSON into a type."""
    raw = await answers.read_body(request)
    if isinstance(raw, result.Err):
        return raw
    return answers.read_json(raw.ok_value, shape)


def _parse_and_authorize(
    document: object, request: requests.Request, authorize: Authorize
) -> result.Result[objects.ConfigObject, verdicts.Failure]:
    """Parse an object and check that the person may change its kind."""
    parsed = objects.parse(document)
    if isinstance(parsed, result.Err):
        return parsed
    person = authorize(request, _required_role(parsed.ok_value.kind))
    return person.and_then(lambda _: parsed)


def _patch_labels(
    item: objects.ConfigObject,
    labels: collections.abc.Mapping[str, str | None],
) -> objects.ConfigObject:
    merged: dict[str, str | None] = {**item.labels, **labels}
    remaining = {
        name: text for name, text in merged.items() if text is not None
    }
    return item._replace(labels=remaining)


def _read_key(request: requests.Request) -> objects.Key:
    return objects.Key(
        request.path_params['kind'], request.path_params['name']
    )


def _required_role(kind: str) -> str:
    return 'admin' if kind in ADMIN_KINDS else 'operator'


def _make_not_found(key: objects.Key) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.OBJECT_REJECTED,
        f'{key.kind} {key.name!r} does not exist',
        404,
    )


def _read_expected_version(
    request: requests.Request,
) -> result.Result[int | None, verdicts.Failure]:
    """Return the version in ``If-Match``, or ``None`` without the header."""
    text = request.headers.get('if-match')
    if text is None:
        return result.Ok(None)
    version = numerals.read_integer(text)
    if version is None:
        return result.Err(
            verdicts.invalid(
                'If-Match', f'expected a version number, got {text!r}'
            )
        )
    return result.Ok(version)


async def _change(
    ports: operator_ports.OperatorPorts,
    key: objects.Key,
    change: Change,
    person: auth.Person,
    expected: int | None,
) -> responses.Response:
    """Read an object, change it and write it with compare-and-set.

    :param change: makes the new object from the current one, which is
        ``None`` if it does not exist; returns ``None`` if there is nothing to
        change
    :param expected: version that must be the current one; with ``None`` the
        change is applied again after a concurrent one
    """
    for attempt in range(MAX_CHANGE_ATTEMPTS):
        current = await _read_stored(ports.store, key)
        if isinstance(current, result.Err):
            return answers.make_failure_response(current.err_value)
        item = current.ok_value
        version = item.version if item is not None else 0
        existing = item if item is not None and not item.deleted else None
        if expected is not None and version != expected:
            return _make_conflict_response(item)
        changed = change(existing)
        if changed is None:
            return answers.make_failure_response(_make_not_found(key))
        written = await config.write(
            ports.store,
            changed._replace(version=version, changed_by=person.name),
        )
        if isinstance(written, result.Ok):
            return _publish_change(ports, written.ok_value, person)
        if written.err_value.event != events.STORE_CONFLICT:
            return answers.make_failure_response(written.err_value)
        await anyio.sleep(CHANGE_BACKOFF_SECONDS * (attempt + 1))
    return _make_conflict_response(item)


async def _read_stored(
    port: store.StorePort, key: objects.Key
) -> result.Result[objects.ConfigObject | None, verdicts.Failure]:
    found = await port.get(config.store_key(key))
    if isinstance(found, result.Ok):
        return result.Ok(config.decode(found.ok_value))
    if found.err_value.event == events.STORE_NOT_FOUND:
        return result.Ok(None)
    return found


def _publish_change(
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


def _make_conflict_response(
    item: objects.ConfigObject | None,
) -> responses.Response:
    """Return the answer to a conflicting change, with the current object."""
    failure = verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.STORE_CONFLICT,
        'the object was changed by another operator',
        409,
        None,
        'If-Match',
    )
    current = objects.to_document(item) if item is not None else None
    body = {**verdicts.to_body(failure), 'present': current}
    return responses.JSONResponse(body, 409)
