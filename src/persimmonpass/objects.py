"""Kinds of configuration objects and the checks on them."""

import difflib
import hashlib
import typing

import msgspec
import result

from persimmonpass.policy import selectors
from persimmonpass import verdicts

MAX_NAME_LENGTH = 63
MAX_LABELS = 64
API_VERSION = 'persimmonpass/v1'

NAME_PATTERN = r'^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$'

Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN, min_length=1, max_length=MAX_NAME_LENGTH
    ),
]
Label = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
Digest = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class Key(typing.NamedTuple):
    """Identifies a configuration object."""

    kind: str
    name: str


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on requests of an account or of a service.

    :ivar rate_per_second: sustained requests a second
    :ivar burst: requests above the rate that are let through at once
    :ivar concurrency: requests in progress at once, on each host
    """

    rate_per_second: Positive = 1_000.0
    burst: Count = 1_000
    concurrency: Count = 1_000


class ServiceSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What a service runs and where.

    :ivar type: ``engine`` for models, ``plain`` for other calls
    :ivar model: model that the engines serve
    :ivar version: version of the model
    :ivar adapter: adapter on the model, or empty
    :ivar selector: selects targets by label
    :ivar non_idempotent: ``METHOD /path`` prefixes that may run at most once
    :ivar deadline_seconds: time limit of an online request
    :ivar harm_percent: how much batch may slow online requests
    :ivar max_attempts: attempts of a batch item or idempotent request
    """

    selector: str
    type: typing.Literal['engine', 'plain'] = 'engine'
    model: str = ''
    version: str = ''
    adapter: str = ''
    non_idempotent: tuple[str, ...] = ()
    deadline_seconds: Positive = 30.0
    harm_percent: Percent = 10.0
    max_attempts: Count = 3
    limits: Limits = Limits()


class TargetSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What operators lay over a target of the platform's list.

    :ivar leaving: the target gets no more work
    :ivar role: role that it is ordered to; empty leaves it as it is
    """

    leaving: bool = False
    role: typing.Literal['', 'both', 'prefill', 'decode'] = ''


class ModelSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A version of a model that targets should have loaded.

    :ivar model: name of the model
    :ivar version: version of the model
    :ivar adapter: adapter on the model, or empty
    :ivar selector: targets that should have it loaded
    """

    model: str
    version: str
    selector: str
    adapter: str = ''


class AccountSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A caller's account.

    :ivar token_sha256: hex digest of the account's token
    """

    token_sha256: Digest
    limits: Limits = Limits()


class PersonSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A person who may act as an operator.

    :ivar role: ``viewer`` reads, ``operator`` changes services, targets and
        models, ``admin`` changes accounts and persons too
    """

    role: typing.Literal['viewer', 'operator', 'admin']
    token_sha256: Digest


Spec = ServiceSpec | TargetSpec | ModelSpec | AccountSpec | PersonSpec

KINDS: dict[str, type] = {
    'service': ServiceSpec,
    'target': TargetSpec,
    'model': ModelSpec,
    'account': AccountSpec,
    'person': PersonSpec,
}


class ConfigObject(typing.NamedTuple):
    """A configuration object at one version.

    :ivar version: the store's version; 0 before it is stored
    :ivar changed_by: person who made the change
    :ivar deleted: the object is a tombstone, which keeps its version
    """

    kind: str
    name: str
    labels: dict[str, str]
    spec: Spec
    version: int = 0
    changed_by: str = ''
    deleted: bool = False

    @property
    def key(self) -> Key:
        """Kind and name."""
        return Key(self.kind, self.name)


class _Document(msgspec.Struct, forbid_unknown_fields=True):
    """Shape of an object in YAML and JSON before its kind is known."""

    kind: str
    name: Name
    spec: dict[str, typing.Any]
    labels: dict[Label, Label] = {}
    api: str = API_VERSION


def token_digest(token: str) -> str:
    """Return the hex digest under which a token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse(
    document: object,
) -> result.Result[ConfigObject, verdicts.Failure]:
    """Check one object of a configuration file or a request body.

    :param document: decoded YAML or JSON
    :returns: the object, or a failure that names the field at fault
    """
    try:
        head = msgspec.convert(document, _Document)
    except msgspec.ValidationError as error:
        return result.Err(invalid_field('', error))
    if head.api != API_VERSION:
        return result.Err(
            verdicts.invalid(
                'api', f'{head.api!r} is not supported, use {API_VERSION!r}'
            )
        )
    if head.kind not in KINDS:
        return result.Err(unknown_kind(head.kind))
    if len(head.labels) > MAX_LABELS:
        return result.Err(
            verdicts.invalid('labels', f'more than {MAX_LABELS} labels')
        )
    try:
        spec = msgspec.convert(head.spec, KINDS[head.kind], strict=True)
    except msgspec.ValidationError as error:
        return result.Err(invalid_field('spec', error))
    return _check_spec(head, spec)


def unknown_kind(kind: str) -> verdicts.Failure:
    """Return the failure of an unknown kind; it suggests a similar one."""
    allowed = ', '.join(sorted(KINDS))
    message = f'{kind!r} is unknown, allowed are {allowed}'
    similar = difflib.get_close_matches(kind, KINDS, 1)
    if similar:
        message = f'{message}; did you mean {similar[0]!r}?'
    return verdicts.invalid('kind', message)


def _check_spec(
    head: _Document, spec: Spec
) -> result.Result[ConfigObject, verdicts.Failure]:
    selector = getattr(spec, 'selector', None)
    if selector is not None:
        parsed = selectors.parse(selector)
        if isinstance(parsed, result.Err):
            return result.Err(
                verdicts.invalid('spec.selector', parsed.err_value)
            )
    if isinstance(spec, ServiceSpec) and spec.type == 'engine':
        if not spec.model:
            return result.Err(
                verdicts.invalid('spec.model', 'an engine service needs one')
            )
    return result.Ok(ConfigObject(head.kind, head.name, head.labels, spec))


def invalid_field(prefix: str, error: Exception) -> verdicts.Failure:
    """Name the field that a message of msgspec points to.

    The message ends in `` - at `$.field` `` when a field is nested.

    :param prefix: path of the part that was checked
    :param error: what msgspec raised
    """
    text, _, path = str(error).partition(' - at `')
    field = path.rstrip('`').removeprefix('$').removeprefix('.')
    if not field and 'field `' in text:
        field = text.partition('field `')[2].partition('`')[0]
    full = '.'.join(part for part in (prefix, field) if part)
    return verdicts.invalid(full, text)


def to_document(item: ConfigObject) -> dict[str, typing.Any]:
    """Return the JSON form of an object, version included."""
    return {
        'kind': item.kind,
        'name': item.name,
        'labels': item.labels,
        'spec': msgspec.to_builtins(item.spec),
        'version': item.version,
        'changed_by': item.changed_by,
        'deleted': item.deleted,
    }


def from_document(document: dict[str, typing.Any]) -> ConfigObject:
    """Rebuild an object that the store or a peer holds.

    :raises msgspec.ValidationError: if the document is not of a known kind
    """
    kind = document['kind']
    if kind not in KINDS:
        raise msgspec.ValidationError(f'kind {kind!r} is unknown')
    return ConfigObject(
        kind,
        document['name'],
        document['labels'],
        msgspec.convert(document['spec'], KINDS[kind]),
        document['version'],
        document['changed_by'],
        document['deleted'],
    )
