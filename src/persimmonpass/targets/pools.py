"""Keeps a separate connection pool for each target.

The HTTP library scans all connections of a pool for each request. With one
pool for the whole fleet, the cost of a request would grow with the number of
targets.
"""

import collections
import collections.abc
import ssl

import anyio
import httpx

from persimmonpass.targets import connections
from persimmonpass import transports

MAX_POOLS = 20_000
# A pool closes connections that have expired or broken off only at its next
# request. One without requests for this time is closed as a whole: its target
# may have left. Longer than connections are kept.
UNUSED_SECONDS = 10.0
# For each target.
MAX_KEPT_CONNECTIONS = 32


MakePool = collections.abc.Callable[
    [httpx.Limits, ssl.SSLContext], connections.Transport
]


class TargetPools(httpx.AsyncBaseTransport):
    """Transport with a separate pool for each address.

    Beyond ``MAX_POOLS`` pools, the least recently used one is closed, and so
    are those that were not used for ``UNUSED_SECONDS``.

    :param limits: limits of each pool
    :param context: TLS context that all pools share
    :param make_pool: makes a pool whose connections are not direct
    """

    def __init__(
        self,
        limits: httpx.Limits,
        context: ssl.SSLContext,
        make_pool: MakePool | None = None,
    ) -> None:
        self._limits = limits
        self._context = context
        self._make_pool = make_pool or connections.Transport
        self._collected = transports.Collected()
        # The least recently used one first.
        self._pools: collections.OrderedDict[str, connections.Transport] = (
            collections.OrderedDict()
        )
        self._used_at: dict[str, float] = {}

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request through the pool of its address.

        For its answer see :func:`transports.bound_answer`.
        """
        address = request.url.netloc.decode('ascii')
        pool = self._pools.get(address)
        if pool is None:
            pool = self._make_pool(self._limits, self._context)
            self._pools[address] = pool
        self._pools.move_to_end(address)
        self._used_at[address] = anyio.current_time()
        await self._close_unused()
        response = await pool.handle_async_request(request)
        return transports.bound_answer(request, response, self._collected)

    async def _close_unused(self) -> None:
        """Close pools that were not used lately, and those beyond the limit.

        A pool with a request in progress is only closed beyond the limit.
        """
        now = anyio.current_time()
        excess = len(self._pools) - MAX_POOLS
        unused = []
        for number, (address, pool) in enumerate(self._pools.items()):
            is_unused = now - self._used_at[address] >= UNUSED_SECONDS
            if number >= excess and not is_unused:
                break
            if number < excess or pool.is_idle:
                unused.append(address)
        if not unused:
            return
        closed = [self._pools.pop(address) for address in unused]
        for address in unused:
            del self._used_at[address]
        # The request that closes them may be cancelled meanwhile.
        with anyio.CancelScope(shield=True):
            for pool in closed:
                await pool.aclose()

    async def aclose(self) -> None:
        """Close all pools."""
        # A request may open another pool meanwhile.
        for pool in list(self._pools.values()):
            await pool.aclose()


def make_client(*, keep_connections: bool) -> httpx.AsyncClient:
    """Return an HTTP client for targets.

    :param keep_connections: whether connections are reused
    """
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=(
            MAX_KEPT_CONNECTIONS if keep_connections else 0
        ),
    )
    # Loading the certificate authorities blocks the process for tens of
    # milliseconds, so all targets share one context.
    context = httpx.create_ssl_context(trust_env=False)
    return httpx.AsyncClient(
        transport=TargetPools(limits, context), trust_env=False
    )


def make_plain_http_context() -> ssl.SSLContext:
    """Return a TLS context for clients that only use plain HTTP.

    The context has no certificate authorities, because loading them takes a
    fifth of the start time. It would therefore reject every certificate.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
