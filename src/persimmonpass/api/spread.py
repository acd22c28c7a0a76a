"""Route that tells on which hosts a version of an object is in force."""

import collections.abc

import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass import auth
from persimmonpass.controllers import config
from persimmonpass import objects
from persimmonpass import verdicts

PATH = '/v1/config/spread/{kind}/{name}'

Check = collections.abc.Callable[
    [requests.Request, str], result.Result[auth.Person, verdicts.Failure]
]


def route(configuration: config.Config, check: Check) -> routing.Route:
    """Return the route ``GET /v1/config/spread/KIND/NAME?version=N``.

    The answer names the live hosts in ``in_force`` and ``waiting``; the
    version is in force everywhere once ``waiting`` is empty.

    :param check: finds the person of a request who has at least a role
    """

    async def show(request: requests.Request) -> responses.Response:
        person = check(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.fail(person.err_value)
        text = request.query_params.get('version', '')
        if not text.isdecimal():
            return answers.fail(
                verdicts.invalid('version', f'{text!r} is not a version')
            )
        key = objects.Key(
            request.path_params['kind'], request.path_params['name']
        )
        found = await configuration.spread(key, int(text))
        return responses.JSONResponse(
            {**key._asdict(), 'version': int(text), **found._asdict()}
        )

    return routing.Route(PATH, show)
