"""A minimal relay to one engine, the baseline of ``bench.overhead``."""

import sys

import anyio
import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass import servers


def make_app(client: httpx.AsyncClient, url: str) -> applications.Starlette:
    """Return an application that forwards every request to an engine.

    :param url: base URL of the engine
    """

    async def relay(request: requests.Request) -> responses.Response:
        forwarded = client.build_request(
            request.method,
            url + request.url.path,
            content=await request.body(),
            headers={'content-type': 'application/json'},
        )
        answer = await client.send(forwarded, stream=True)

        async def body():
            try:
                async for chunk in answer.aiter_raw():
                    yield chunk
            finally:
                await answer.aclose()

        return responses.StreamingResponse(
            body(), answer.status_code, media_type='text/event-stream'
        )

    return applications.Starlette(
        routes=[routing.Route('/{path:path}', relay, methods=['POST'])]
    )


async def main(address: str) -> None:
    """Relay to an engine until the process is killed.

    :param address: ``ip:port`` of the engine
    """
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
    async with httpx.AsyncClient(
        limits=limits, trust_env=False, timeout=None
    ) as client:
        listener = servers.listen('127.0.0.1:0')
        print(f'listening on {servers.address_of(listener)}', flush=True)
        app = make_app(client, f'http://{address}')
        await servers.serve_http(app, listener, anyio.Event())


if __name__ == '__main__':
    anyio.run(main, sys.argv[1])
