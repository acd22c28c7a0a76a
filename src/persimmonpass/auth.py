"""Authenticates bearer tokens and checks the roles of operators."""

import hmac
import typing

import result

from persimmonpass import accounts
from persimmonpass import blackboard
from persimmonpass.controllers.fleet import config
from persimmonpass import events
from persimmonpass import objects
from persimmonpass import verdicts

# In ascending order; a role includes the rights of those before it.
ROLES = ('viewer', 'operator', 'admin')
# Name of the admin whose token digest is in the daemon's settings.
SETTINGS_ADMIN = 'settings-admin'


class Person(typing.NamedTuple):
    """An authenticated operator."""

    name: str
    role: str


class Account(typing.NamedTuple):
    """The authenticated client account of a caller."""

    name: str
    spec: objects.AccountSpec


def unauthorized(message: str, status: int = 401) -> verdicts.Failure:
    """Make the failure of an unauthenticated or forbidden request.

    :param message: what was expected and what was received
    :param status: 401 for a missing or unknown token, 403 for a role that is
        too low
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_UNAUTHORIZED,
        message,
        status,
        None,
        'Authorization',
    )


def read_token_digest(
    headers: typing.Mapping[str, str],
) -> result.Result[str, verdicts.Failure]:
    """Return the SHA-256 digest of the bearer token of a request."""
    value = headers.get('authorization', '')
    digest = accounts.read_key_digest([value.encode()])
    if not digest:
        return result.Err(
            unauthorized('Authorization: expected "Bearer TOKEN"')
        )
    return result.Ok(digest)


def find_account(
    board: blackboard.Blackboard, headers: typing.Mapping[str, str]
) -> result.Result[Account, verdicts.Failure]:
    """Return the client account that a request's token belongs to."""
    digest = read_token_digest(headers)
    if isinstance(digest, result.Err):
        return digest
    for item in config.live_objects(board, 'account'):
        spec = typing.cast(objects.AccountSpec, item.spec)
        if hmac.compare_digest(spec.token_sha256, digest.ok_value):
            return result.Ok(Account(item.name, spec))
    return result.Err(unauthorized('Authorization: the token is unknown'))


def find_person(
    board: blackboard.Blackboard,
    headers: typing.Mapping[str, str],
    role: str,
    admin_token_sha256: str,
) -> result.Result[Person, verdicts.Failure]:
    """Return the person that a request's token belongs to.

    :param role: lowest role that is sufficient
    :param admin_token_sha256: digest of the admin token in the settings, or
        empty if there is none
    :returns: the person, or a failure with status 401 (token missing or
        unknown) or 403 (role too low)
    """
    digest = read_token_digest(headers)
    if isinstance(digest, result.Err):
        return digest
    person = _match_person(board, digest.ok_value, admin_token_sha256)
    if person is None:
        return result.Err(unauthorized('Authorization: the token is unknown'))
    if ROLES.index(person.role) < ROLES.index(role):
        return result.Err(
            unauthorized(
                f'Authorization: expected role {role} or higher, '
                f'{person.name} has role {person.role}',
                403,
            )
        )
    return result.Ok(person)


def _match_person(
    board: blackboard.Blackboard, digest: str, admin_token_sha256: str
) -> Person | None:
    if admin_token_sha256 and hmac.compare_digest(admin_token_sha256, digest):
        return Person(SETTINGS_ADMIN, 'admin')
    for item in config.live_objects(board, 'person'):
        spec = typing.cast(objects.PersonSpec, item.spec)
        if hmac.compare_digest(spec.token_sha256, digest):
            return Person(item.name, spec.role)
    return None
