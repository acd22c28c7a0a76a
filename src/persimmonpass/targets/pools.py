"""Keeps a connection pool for each target.

The HTTP library goes through all connections of a pool with each request,
so that one pool for the whole fleet would make each request cost as much as
the fleet is large.
"""

import collections
import ssl

import httpx

MAX_TARGETS = 20_000
MAX_KEPT_CONNECTIONS = 32


class TargetPools(httpx.AsyncBaseTransport):
    """Transport that gives each address a pool of its own.

    :param limits: limits of each pool
    :param context: of TLS, for all pools
    """

    def __init__(self, limits: httpx.Limits, context: ssl.SSLContext) -> None:
        self._limits = limits
        self._context = context
        self._pools: collections.OrderedDict[str, httpx.AsyncHTTPTransport] = (
            collections.OrderedDict()
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request through the pool of its address."""
        address = request.url.netloc.decode('ascii')
        pool = self._pools.get(address)
        if pool is None:
            pool = httpx.AsyncHTTPTransport(
                verify=self._context, limits=self._limits, trust_env=False
            )
            self._pools[address] = pool
        self._pools.move_to_end(address)
        if len(self._pools) > MAX_TARGETS:
            _, oldest = self._pools.popitem(last=False)
            await oldest.aclose()
        return await pool.handle_async_request(request)

    async def aclose(self) -> None:
        """Close all pools."""
        for pool in self._pools.values():
            await pool.aclose()


def make_client(*, keep_connections: bool) -> httpx.AsyncClient:
    """Make an HTTP client for targets.

    :param keep_connections: whether connections are used again
    """
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=(
            MAX_KEPT_CONNECTIONS if keep_connections else 0
        ),
    )
    # Loading the certificate authorities takes tens of milliseconds, in
    # which the process does nothing else: once for all targets.
    context = httpx.create_ssl_context(trust_env=False)
    return httpx.AsyncClient(
        transport=TargetPools(limits, context), trust_env=False
    )


def make_plain_http_context() -> ssl.SSLContext:
    """Return what clients get that only speak plain HTTP.

    It knows no certificate authority, whose loading takes a fifth of a start,
    and so would accept no certificate.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
