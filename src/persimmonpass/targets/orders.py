"""HTTP client that orders model engines to load models and take on a role."""

import collections.abc
import typing

import httpx
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.targets import engine
from persimmonpass import verdicts

STATE_TIMEOUT_SECONDS = 2.0
# Answers name no call, so that the copy of one on a kept connection can't be
# told from the answer to the next call.
_HEADERS = {'Connection': 'close'}
ORDER_TIMEOUT_SECONDS = 30.0


class State(typing.NamedTuple):
    """State of an engine, as the orders that it received have set it.

    :ivar models: what is loaded, see :class:`blackboard.Load`
    :ivar role: ``both``, ``prefill`` or ``decode``
    :ivar fence: highest fencing number that the engine has seen
    """

    models: tuple[str, ...]
    role: str
    fence: int


class Order(typing.NamedTuple):
    """The complete state that an engine should take on.

    It replaces all earlier orders.

    :ivar fence: fencing number; an engine that checks it refuses an order
        with a lower number than it has seen
    """

    models: tuple[str, ...]
    role: str
    fence: int


class _Body(msgspec.Struct):
    """An engine's answer; see :class:`State`."""

    models: tuple[str, ...]
    role: str
    fence: int


_Call = collections.abc.Callable[
    ..., collections.abc.Awaitable[result.Result[State, verdicts.Failure]]
]


class OrderPort(typing.NamedTuple):
    """Calls that read and change the state of an engine.

    :ivar read: target -> its state
    :ivar send: target, order -> its state after the order
    """

    read: _Call
    send: _Call


def fenced(target: str) -> verdicts.Failure:
    """Return the failure of an order with an outdated fencing number.

    :param target: name of the target
    """
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.ORDER_FENCED,
        f'target {target} has seen a higher fencing number',
        409,
    )


def connect(client: httpx.AsyncClient) -> OrderPort:
    """Return the calls to engines that are reached over HTTP.

    :param client: HTTP client
    """

    async def call(
        target: blackboard.Target, method: str, **options: typing.Any
    ) -> result.Result[State, verdicts.Failure]:
        url = f'http://{target.address}/v1/orders'
        try:
            answer = await client.request(
                method, url, headers=_HEADERS, **options
            )
            if answer.status_code == 409:
                return result.Err(fenced(target.name))
            answer.raise_for_status()
            body = msgspec.json.decode(answer.content, type=_Body)
            return result.Ok(State(body.models, body.role, body.fence))
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            detail = type(error).__name__
            return result.Err(engine.target_failed(target, verdict, detail))

    async def read(
        target: blackboard.Target,
    ) -> result.Result[State, verdicts.Failure]:
        return await call(target, 'GET', timeout=STATE_TIMEOUT_SECONDS)

    async def send(
        target: blackboard.Target, order: Order
    ) -> result.Result[State, verdicts.Failure]:
        return await call(
            target,
            'POST',
            json=order._asdict(),
            timeout=ORDER_TIMEOUT_SECONDS,
        )

    return OrderPort(read, send)
