"""ASGI application that ends the requests of a host that stops."""

import collections.abc

from starlette import types

from persimmonpass.api import answers
from persimmonpass.controllers.fleet import drain
from persimmonpass import events
from persimmonpass import verdicts

GATEWAY_TIMEOUT = 504


def make_app(
    app: types.ASGIApp,
    accepts: collections.abc.Callable[[], bool],
    cancelled_at_end: drain.CancelledAtEnd,
) -> types.ASGIApp:
    """Wrap the application for callers.

    :param accepts: returns whether this host takes any new request
    :param cancelled_at_end: returns a scope that is cancelled when the
        requests in progress are ended
    """

    async def stopping_app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            await app(scope, receive, send)
            return
        if not accepts():
            refusal = answers.make_failure_response(turned_away())
            await refusal(scope, receive, send)
            return
        has_started = False

        async def send_recorded(message: types.Message) -> None:
            nonlocal has_started
            has_started = True
            await send(message)

        with cancelled_at_end() as request:
            await app(scope, receive, send_recorded)
        if request.cancelled_caught and not has_started:
            ended = answers.make_failure_response(_ended())
            await ended(scope, receive, send)

    return stopping_app


def turned_away() -> verdicts.Failure:
    """Return the failure of a request that a stopping host does not take."""
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_TURNED_AWAY,
        'the host stops; other hosts take the request',
        retry_after_seconds=0.0,
    )


def _ended() -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.MAY_HAVE_RUN,
        events.REQUEST_UNANSWERED,
        'the host stopped before the request had ended',
        GATEWAY_TIMEOUT,
    )
