"""HTTP transports that outlast silent connections and faulty servers."""

import collections.abc
import typing

import anyio
import httpx

# A faulty server may send without end. A stream of 100,000 tokens is shorter.
MAX_ANSWER_BYTES = 16_777_216
# All answers of a client that are kept until they are whole. The smallest
# hosts have 128 MB of memory.
MAX_COLLECTED_BYTES = 33_554_432
# Extension of a request whose answer is used as its parts arrive.
STREAMED = 'streamed'
# A replaced pool is closed after this time. All calls on it have ended by
# then, as the longest one is a watch of about two seconds.
CLOSE_SECONDS = 5.0


class Collected:
    """Counts the bytes of answers that are kept until they are whole."""

    def __init__(self, limit: int = MAX_COLLECTED_BYTES) -> None:
        """Count nothing.

        :param limit: most bytes of all answers together
        """
        self._limit = limit
        self._size = 0

    def add(self, size: int) -> None:
        """Add bytes of an answer.

        :raises ValueError: if they are more than allowed; they are counted,
            too, until they are removed
        """
        self._size += size
        if self._size > self._limit:
            raise ValueError(
                f'answers too long: got {self._size} bytes of all of them, '
                f'the limit is {self._limit}'
            )

    def remove(self, size: int) -> None:
        """Remove bytes that are not kept any more."""
        self._size -= size


class _BoundedStream(httpx.AsyncByteStream):
    """Body of an answer that is broken off at a maximum length."""

    def __init__(
        self, stream: httpx.AsyncByteStream, collected: Collected | None
    ) -> None:
        """Wrap a body.

        :param collected: answers that are kept until they are whole; ``None``
            for one whose parts are used as they arrive
        """
        self._stream = stream
        self._collected = collected
        self._kept = 0

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        size = 0
        async for chunk in self._stream:
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise httpx.RemoteProtocolError(
                    f'answer too long: got {size} bytes, the limit is '
                    f'{MAX_ANSWER_BYTES}'
                )
            if self._collected is not None:
                self._kept += len(chunk)
                try:
                    self._collected.add(len(chunk))
                except ValueError as error:
                    raise httpx.RemoteProtocolError(str(error)) from None
            yield chunk

    async def aclose(self) -> None:
        """Close the body and, if it has not ended, its connection."""
        if self._collected is not None:
            self._collected.remove(self._kept)
            self._kept = 0
        await self._stream.aclose()


def bound_answer(
    request: httpx.Request, response: httpx.Response, collected: Collected
) -> httpx.Response:
    """Return an answer that is broken off if it is too long.

    Reading it raises ``httpx.RemoteProtocolError`` then.

    :param collected: answers that are kept until they are whole; one to a
        request with the extension ``STREAMED`` is not
    """
    response.stream = _BoundedStream(
        typing.cast(httpx.AsyncByteStream, response.stream),
        None if request.extensions.get(STREAMED) else collected,
    )
    return response


class BoundedTransport(httpx.AsyncBaseTransport):
    """Transport whose answers are broken off if they are too long."""

    def __init__(
        self,
        transport: httpx.AsyncBaseTransport,
        max_collected_bytes: int = MAX_COLLECTED_BYTES,
    ) -> None:
        """Wrap a transport.

        :param max_collected_bytes: most bytes of all answers together that
            are kept until they are whole
        """
        self._transport = transport
        self._collected = Collected(max_collected_bytes)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; see :func:`bound_answer`."""
        return bound_answer(
            request,
            await self._transport.handle_async_request(request),
            self._collected,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()


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
