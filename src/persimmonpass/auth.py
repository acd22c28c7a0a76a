"""Checks tokens and roles."""

import hmac
import typing

import result

from persimmonpass import blackboard
from persimmonpass.controllers import config
from persimmonpass import events
from persimmonpass import objects
from persimmonpass import verdicts

ROLES = ('viewer', 'operator', 'admin')
BEARER = 'Bearer '
ADMIN = 'settings-admin'


class Person(typing.NamedTuple):
    """Who acts as an operator."""

    name: str
    role: str


class Account(typing.NamedTuple):
    """Who acts as a caller."""

    name: str
    spec: objects.AccountSpec


def unauthorized(message: str, status: int = 401) -> verdicts.Failure:
    """Return the failure of a request without the right to be made."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_UNAUTHORIZED,
        message,
        status,
        None,
        'Authorization',
    )


def read_token(
    headers: typing.Mapping[str, str],
) -> result.Result[str, verdicts.Failure]:
    """Return the digest of the bearer token of a request."""
    value = headers.get('authorization', '')
    if not value.startswith(BEARER):
        return result.Err(
            unauthorized('Authorization: a bearer token is needed')
        )
    return result.Ok(objects.token_digest(value.removeprefix(BEARER)))


def find_account(
    board: blackboard.Blackboard, headers: typing.Mapping[str, str]
) -> result.Result[Account, verdicts.Failure]:
    """Return the account that a token belongs to."""
    digest = read_token(headers)
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
    """Return the person that a token belongs to.

    :param role: least role that is needed
    :param admin_token_sha256: digest of the settings' admin token, or empty
    """
    digest = read_token(headers)
    if isinstance(digest, result.Err):
        return digest
    person = _match_person(board, digest.ok_value, admin_token_sha256)
    if person is None:
        return result.Err(unauthorized('Authorization: the token is unknown'))
    if ROLES.index(person.role) < ROLES.index(role):
        return result.Err(
            unauthorized(
                f'Authorization: {person.name} has role {person.role}, '
                f'{role} is needed',
                403,
            )
        )
    return result.Ok(person)


def _match_person(
    board: blackboard.Blackboard, digest: str, admin_token_sha256: str
) -> Person | None:
    if admin_token_sha256 and hmac.compare_digest(admin_token_sha256, digest):
        return Person(ADMIN, 'admin')
    for item in config.live_objects(board, 'person'):
        spec = typing.cast(objects.PersonSpec, item.spec)
        if hmac.compare_digest(spec.token_sha256, digest):
            return Person(item.name, spec.role)
    return None
