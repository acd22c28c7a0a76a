"""Decodes objects that operators and servers write to the platform's store."""

import math
import re
import typing

import msgspec

from persimmonpass import accounts
from persimmonpass import addresses
from persimmonpass import blackboard
from persimmonpass import lenient_json
from persimmonpass import numerals
from persimmonpass import objects
from persimmonpass import records
from persimmonpass import routes

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
RETIREMENTS_KIND = 'retirements'

# Kinds of objects that others write.
_FOREIGN_KINDS = frozenset((CONFIG_KIND, TARGETS_KIND, RETIREMENTS_KIND))
# Objects are nested a few levels deep. Decoders of messages between hosts go
# some hundred levels deep.
MAX_DEPTH = 64
# More than any target runs; larger numbers do not fit into a float.
MAX_SLOTS = 1_000_000
# What a header can carry.
_NAME = re.compile(r'[\x21-\x7e\xa1-\xff]+')
_MILLISECONDS = 1000
_KINDS = {
    'idempotent': routes.Kind.IDEMPOTENT,
    'non_idempotent': routes.Kind.NON_IDEMPOTENT,
    'streaming': routes.Kind.STREAM,
    'batch': routes.Kind.JOB,
}


class _Terms(msgspec.Struct):
    """Terms of an operator.

    Times and weights that are not finite or below 0, which a text can name,
    count as missing: each request would fail for them.
    """

    def __post_init__(self) -> None:
        """Replace such numbers by the defaults."""
        for field in msgspec.structs.fields(type(self)):
            value = getattr(self, field.name)
            if isinstance(value, float) and not 0 <= value < math.inf:
                setattr(self, field.name, field.default)


class _Split(_Terms):
    service: str
    weight: float = 1.0


class _Route(_Terms, rename='camel'):
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
    public: bool = False


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(_Terms, rename='camel'):
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename='camel'):
    """A client account.

    :ivar api_keys: keys in plain text, as operators write them
    :ivar key_digests: digests of the keys, as hosts keep the record
    """

    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: int | None = None
    rate_per_s: typing.Any = None
    burst: typing.Any = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[typing.Any] | None = None


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str = ''
    version: str | int | float = ''
    slots: int = 0
    state: str = 'ready'
    born: typing.Any = None


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
        _read_accounts(config.tenants),
    )


def clean_record(kind: str, record: records.Record) -> records.Record:
    """Return a record in the form in which hosts keep and exchange it.

    Data that is nested too deeply is dropped, which makes it unreadable.
    """
    if kind in _FOREIGN_KINDS and lenient_json.is_deeper(
        record.data, MAX_DEPTH
    ):
        return record._replace(data={})
    if kind != CONFIG_KIND:
        return record
    return record._replace(data=without_keys(record.data))


def without_keys(data: records.Data) -> records.Data:
    """Return the data of a configuration with digests in place of keys.

    Hosts keep and exchange records in this form only.

    :param data: data of the record, as it was read
    """
    tenants = data.get('tenants')
    if not isinstance(tenants, list):
        return data
    return {**data, 'tenants': [_without_keys(row) for row in tenants]}


def _without_keys(tenant: typing.Any) -> typing.Any:
    if not isinstance(tenant, dict) or 'apiKeys' not in tenant:
        return tenant
    kept = {name: row for name, row in tenant.items() if name != 'apiKeys'}
    keys = tenant['apiKeys'] if isinstance(tenant['apiKeys'], list) else []
    digests = [objects.token_digest(key) for key in keys if _is_key(key)]
    return {**kept, 'keyDigests': digests}


def _is_key(key: typing.Any) -> bool:
    return isinstance(key, str) and bool(key)


def _read_accounts(
    tenants: list[typing.Any] | None,
) -> accounts.Accounts | None:
    """Decode the client accounts; one that is malformed is left out."""
    if tenants is None:
        return None
    decoded = [_convert(row, _Tenant) for row in tenants]
    return accounts.make_table(
        accounts.Account(
            tenant.name,
            frozenset(
                [
                    *tenant.key_digests,
                    *map(objects.token_digest, filter(None, tenant.api_keys)),
                ]
            ),
            tenant.priority,
            _read_limit(tenant.rate_per_s),
            _read_limit(tenant.burst),
            tuple(
                name
                for name, value in (
                    ('ratePerS', tenant.rate_per_s),
                    ('burst', tenant.burst),
                )
                if value is not None and _read_number(value) is None
            ),
        )
        for tenant in decoded
        if tenant is not None and tenant.name
    )


def _read_limit(value: typing.Any) -> float:
    """Return a limit; 0, which is none, for one that is not a number."""
    return max(0.0, _read_number(value) or 0.0)


def _read_number(value: typing.Any) -> float | None:
    """Return a finite number, ``None`` for anything else."""
    if isinstance(value, str):
        return numerals.read_decimal(value)
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if math.isfinite(number) else None


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
        route.public,
    )


def read_target(record: records.Record) -> blackboard.Target | None:
    """Decode a server's entry.

    :returns: the target, or ``None`` if the entry is malformed or no request
        can be sent by it
    """
    server = _convert(record.data, _Server)
    if server is None or not 0 <= server.slots <= MAX_SLOTS:
        return None
    if not addresses.is_valid(server.address):
        return None
    if not _NAME.fullmatch(record.name):
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
        # Booleans are integers in Python.
        born=server.born if type(server.born) is int else 0,
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
