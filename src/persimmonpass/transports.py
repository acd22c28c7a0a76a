"""HTTP transport that stops using connections that may have gone silent."""

import collections.abc

import anyio
import httpx

# A replaced pool is closed after this time. All calls on it have ended by
# then, as the longest one is a watch of about two seconds.
CLOSE_SECONDS = 5.0


class RenewingTransport(httpx.AsyncBaseTransport):
    """Transport that opens new connections after a request has timed out.

    A device on the path may have dropped all open connections without a
    reset. Each idle one would then take a further request and let it time
    out as well.

    :param make_pool: makes a pool of connections
    """

    def __init__(
        self,
        make_pool: collections.abc.Callable[[], httpx.AsyncBaseTransport],
    ) -> None:
        self._make_pool = make_pool
        self._pool = make_pool()
        # Pools that were replaced, and when.
        self._replaced: list[tuple[float, httpx.AsyncBaseTransport]] = []

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request through the current pool.

        :raises httpx.ReadTimeout: if it was not answered in time
        """
        pool = self._pool
        try:
            return await pool.handle_async_request(request)
        except httpx.ReadTimeout:
            if pool is self._pool:
                self._pool = self._make_pool()
                self._replaced.append((anyio.current_time(), pool))
                await self._close_replaced(CLOSE_SECONDS)
            raise

    async def aclose(self) -> None:
        """Close all connections."""
        await self._close_replaced(0.0)
        await self._pool.aclose()

    async def _close_replaced(self, min_age_seconds: float) -> None:
        until = anyio.current_time() - min_age_seconds
        while self._replaced and self._replaced[0][0] <= until:
            _, pool = self._replaced.pop(0)
            await pool.aclose()
