"""Route that lists the hosts on which a version of an object is in force."""

import collections.abc

import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass import auth
from persimmonpass.controllers.fleet import config
from persimmonpass import numerals
from persimmonpass import objects
from persimmonpass import verdicts

PATH = '/v1/config/spread/{kind}/{name}'

Authorize = collections.abc.Callable[
    [requests.Request, str], result.Result[auth.Person, verdicts.Failure]
]


def route(configuration: config.Config, authorize: Authorize) -> routing.Route:
    """Return the route ``GET /v1/config/spread/KIND/NAME?version=N``.

    The answer lists each live host in either ``in_force`` or ``waiting``. The
    version is in force everywhere once ``waiting`` is empty.

    :param authorize: returns the person who sent a request, or a failure if
        the person's role is lower than the one given
    """

    async def show_spread(request: requests.Request) -> responses.Response:
        person = authorize(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        text = request.query_params.get('version', '')
        version = numerals.read_integer(text)
        if version is None:
            return answers.make_failure_response(
                verdicts.invalid(
                    'version', f'expected a version number, got {text!r}'
                )
            )
        key = objects.Key(
            request.path_params['kind'], request.path_params['name']
        )
        hosts = await configuration.spread(key, version)
        return responses.JSONResponse(
            {**key._asdict(), 'version': version, **hosts._asdict()}
        )

    return routing.Route(PATH, show_spread)
