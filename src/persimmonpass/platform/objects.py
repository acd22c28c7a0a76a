"""Decodes objects that operators and servers write to the platform's store."""

import typing

import msgspec

from persimmonpass import blackboard
from persimmonpass import records
from persimmonpass import routes

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
RETIREMENTS_KIND = 'retirements'

_MILLISECONDS = 1000
_KINDS = {
    'idempotent': routes.Kind.IDEMPOTENT,
    'non_idempotent': routes.Kind.NON_IDEMPOTENT,
    'streaming': routes.Kind.STREAM,
    'batch': routes.Kind.JOB,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename='camel'):
    """A route in the configuration.

    :ivar slo_ms: latency objective; it is not enforced as a limit
    :ivar max_count: limit of tokens that wait, not of requests
    """

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float = 30_000.0
    slo_ms: float = 1_000.0
    priority: int = 0
    service: str = ''
    split: list[_Split] = []
    max_attempts: int = 1
    resumable: bool = False
    gap_target_ms: float = 0.0
    run_target_ms: float = 0.0
    retention_s: float = 0.0
    max_count: int = 0


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str = ''
    version: str | int | float = ''
    slots: int = 0
    state: str = 'ready'


_Shape = typing.TypeVar('_Shape')


def read_configuration(
    record: records.Record,
) -> routes.Configuration | None:
    """Decode the configuration.

    Routes of an unknown type are skipped.

    :returns: the configuration, or ``None`` if it is malformed
    """
    config = _convert(record.data, _Config)
    if config is None:
        return None
    return routes.Configuration(
        config.version,
        tuple(
            _read_route(route)
            for route in config.routes
            if route.type in _KINDS
        ),
        {
            service.name: routes.Service(
                service.name,
                service.engine.slots if service.engine else 0,
                service.max_conns,
            )
            for service in config.services
        },
        routes.Limits(
            config.limits.max_body_bytes,
            config.limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


def _read_route(route: _Route) -> routes.Route:
    shares = tuple(
        routes.Share(split.service, split.weight) for split in route.split
    )
    return routes.Route(
        route.name,
        route.host,
        route.path_prefix,
        _KINDS[route.type],
        shares or (routes.Share(route.service, 1.0),),
        route.timeout_ms / _MILLISECONDS,
        route.slo_ms / _MILLISECONDS,
        route.max_attempts,
        route.priority,
        route.resumable,
        route.gap_target_ms / _MILLISECONDS,
        route.run_target_ms / _MILLISECONDS,
        route.retention_s,
        route.max_count,
    )


def read_target(record: records.Record) -> blackboard.Target | None:
    """Decode a server's entry.

    :returns: the target, or ``None`` if the entry is malformed
    """
    server = _convert(record.data, _Server)
    if server is None:
        return None
    return blackboard.Target(
        record.name,
        server.address,
        'engine',
        server.zone,
        {'service': server.service, 'version': str(server.version)},
        server.state != 'ready',
        service=server.service,
        slots=server.slots,
        software_version=str(server.version),
    )


def completed_status() -> records.Data:
    """Return the status of a completed retirement."""
    return {'state': 'completed'}


def is_completed(record: records.Record) -> bool:
    """Return whether a retirement is completed."""
    return record.status.get('state') == 'completed'


def _convert(data: records.Data, shape: type[_Shape]) -> _Shape | None:
    """Convert an object, or return ``None`` if it is malformed.

    A field that is null counts as missing, and a number may be written as
    text or as a whole float.
    """
    try:
        return msgspec.convert(_without_nulls(data), shape, strict=False)
    except msgspec.ValidationError:
        return None


def _without_nulls(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {
            name: _without_nulls(field)
            for name, field in value.items()
            if field is not None
        }
    if isinstance(value, list):
        return [_without_nulls(field) for field in value]
    return value
