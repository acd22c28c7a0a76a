"""Kinds of configuration objects, and their validation."""

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
    """Limits on the requests of an account or to a service.

    :ivar rate_per_second: sustained rate of requests
    :ivar burst: requests that may exceed the rate at once
    :ivar concurrency: requests in progress at the same time on each host
    """

    rate_per_second: Positive = 1_000.0
    burst: Count = 1_000
    concurrency: Count = 1_000


class ServiceSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configuration of a service.

    :ivar type: ``engine`` for model engines, ``plain`` for other back ends
    :ivar model: model that the engines serve
    :ivar version: version of the model
    :ivar adapter: adapter of the model, or empty
    :ivar selector: selects targets by label
    :ivar non_idempotent: ``METHOD /path`` prefixes of requests that may run
        at most once
    :ivar deadline_seconds: time limit of an online request
    :ivar harm_percent: maximum slowdown of online requests by batch items, in
        percent
    :ivar max_attempts: maximum attempts for a batch item or an idempotent
        request
    :ivar limits: limits on the requests to the service
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
    """What operators have set for a target in the platform's list.

    :ivar leaving: whether the target gets no new work
    :ivar role: role that the target is ordered to take; empty for no change
    """

    leaving: bool = False
    role: typing.Literal['', 'both', 'prefill', 'decode'] = ''


class ModelSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model version that should be loaded on targets.

    :ivar model: name of the model
    :ivar version: version of the model
    :ivar selector: selects the targets by label
    :ivar adapter: adapter of the model, or empty
    """

    model: str
    version: str
    selector: str
    adapter: str = ''


class AccountSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A client account.

    :ivar token_sha256: hex digest of the account's token
    :ivar limits: limits on the requests of the account
    """

    token_sha256: Digest
    limits: Limits = Limits()


class PersonSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A person with access to the operator API.

    :ivar role: ``viewer`` may read, ``operator`` may also change services,
        targets and models, ``admin`` may also change accounts and persons
    :ivar token_sha256: hex digest of the person's token
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

    :ivar version: the store's version; 0 before the object is stored
    :ivar changed_by: person who made the last change
    :ivar deleted: whether the object is the tombstone of a deleted object
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
        """Kind and name of the object."""
        return Key(self.kind, self.name)


class _Document(msgspec.Struct, forbid_unknown_fields=True):
    """Object in YAML or JSON form before its kind is checked."""

    kind: str
    name: Name
    spec: dict[str, typing.Any]
    labels: dict[Label, Label] = {}
    api: str = API_VERSION


def token_digest(token: str) -> str:
    """Return the SHA-256 hex digest by which a token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse(
    document: object,
) -> result.Result[ConfigObject, verdicts.Failure]:
    """Validate an object of a configuration file or a request body.

    :param document: decoded YAML or JSON
    :returns: the object, or a failure that names the invalid field
    """
    try:
        head = msgspec.convert(document, _Document)
    except msgspec.ValidationError as error:
        return result.Err(invalid_field('', error))
    if head.api != API_VERSION:
        return result.Err(
            verdicts.invalid(
                'api', f'{head.api!r} is not supported; use {API_VERSION!r}'
            )
        )
    if head.kind not in KINDS:
        return result.Err(unknown_kind(head.kind))
    if len(head.labels) > MAX_LABELS:
        return result.Err(
            verdicts.invalid(
                'labels',
                f'got {len(head.labels)} labels, at most {MAX_LABELS} allowed',
            )
        )
    try:
        spec = msgspec.convert(head.spec, KINDS[head.kind], strict=True)
    except msgspec.ValidationError as error:
        return result.Err(invalid_field('spec', error))
    return _check_spec(head, spec)


def unknown_kind(kind: str) -> verdicts.Failure:
    """Return the failure of an unknown kind, which suggests a similar one."""
    allowed = ', '.join(sorted(KINDS))
    message = f'{kind!r} is unknown; allowed kinds are {allowed}'
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
                verdicts.invalid(
                    'spec.model', "required for services of type 'engine'"
                )
            )
    return result.Ok(ConfigObject(head.kind, head.name, head.labels, spec))


def invalid_field(prefix: str, error: Exception) -> verdicts.Failure:
    """Return the failure for a field that msgspec reports as invalid.

    msgspec's message ends in `` - at `$.field` `` if the field is nested.

    :param prefix: path of the part that was checked
    :param error: exception that msgspec raised
    """
    text, _, path = str(error).partition(' - at `')
    field = path.rstrip('`').removeprefix('$').removeprefix('.')
    if not field and 'field `' in text:
        field = text.partition('field `')[2].partition('`')[0]
    full = '.'.join(part for part in (prefix, field) if part)
    return verdicts.invalid(full, text)


def to_document(item: ConfigObject) -> dict[str, typing.Any]:
    """Return the JSON form of an object with its version."""
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
    """Return the object of a document from the store or a peer.

    :raises msgspec.ValidationError: if the kind is unknown or the spec does
        not match it
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
