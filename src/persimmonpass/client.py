"""Client for callers.

It asks a host for entry addresses, caches them for their TTL and retries
requests under their idempotency key. The demo and the tests use it. Any HTTP
client can do the same.
"""

import math
import typing

import anyio
import httpx
import msgspec
import result

from persimmonpass import numerals
from persimmonpass import verdicts

MAX_ATTEMPTS = 8
RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 30.0
ENTRY_TIMEOUT_SECONDS = 2.0
RETRYABLE_STATUSES = (409, 429, 502, 503)


class Reply(typing.NamedTuple):
    """The final answer to a request.

    :ivar recorded: whether the answer is committed
    """

    status: int
    body: bytes
    recorded: bool


class _Entry(msgspec.Struct):
    """Where to connect, and for how long this holds."""

    addresses: list[str]
    ttl_seconds: float


class Caller:
    """A caller with one token.

    :ivar addresses: current entry addresses, best first
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        seeds: list[str],
        token: str,
        availability_zone: str = '',
    ) -> None:
        """Make a caller.

        :param client: HTTP client that sends the requests
        :param seeds: entry addresses (``ip:port``) to start with
        :param token: token of the client account
        :param availability_zone: the caller's zone; hosts in it are preferred
        """
        self.addresses = list(seeds)
        self._client = client
        self._seeds = list(seeds)
        self._availability_zone = availability_zone
        self._headers = {'Authorization': f'Bearer {token}'}
        self._addresses_expire_at = -math.inf

    async def complete(
        self, model: str, prompt: str, max_tokens: int, key: str
    ) -> result.Result[Reply, str]:
        """Run a completion.

        :param key: idempotency key, which is the same in all retries
        :returns: the answer, or the last error if all attempts failed
        """
        body = {'model': model, 'prompt': prompt, 'max_tokens': max_tokens}
        content = msgspec.json.encode(body)
        return await self.send('POST', '/v1/completions', content, key)

    async def send(
        self, method: str, path: str, content: bytes, key: str
    ) -> result.Result[Reply, str]:
        """Send a request and retry it under the same idempotency key.

        A request is retried after a connection error, and after an answer
        that has a retryable status and ``Retry-After``. The key prevents a
        second run of calls that may run only once.

        :returns: the answer, or the last error if all attempts failed
        """
        last_error = 'no entry address answered'
        for attempt in range(MAX_ATTEMPTS):
            await self._refresh_addresses()
            address = self.addresses[attempt % len(self.addresses)]
            try:
                answer = await self._client.request(
                    method,
                    f'http://{address}{path}',
                    content=content,
                    headers={**self._headers, 'Idempotency-Key': key},
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
            except httpx.HTTPError as error:
                last_error = type(error).__name__
                self._addresses_expire_at = -math.inf
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            retry_after = answer.headers.get('retry-after')
            is_retryable = answer.status_code in RETRYABLE_STATUSES
            if not (is_retryable and retry_after):
                return result.Ok(_make_reply(answer))
            last_error = f'status {answer.status_code}'
            delay = numerals.read_decimal(retry_after)
            await anyio.sleep(
                RETRY_DELAY_SECONDS
                if delay is None
                else min(delay, MAX_RETRY_DELAY_SECONDS)
            )
        return result.Err(last_error)

    async def read(self, key: str) -> result.Result[Reply, str]:
        """Read the stored answer of an earlier request."""
        return await self.send('GET', f'/v1/requests/{key}', b'', key)

    async def _refresh_addresses(self) -> None:
        """Fetch the entry addresses again once their TTL has expired."""
        if anyio.current_time() < self._addresses_expire_at:
            return
        for address in [*self.addresses, *self._seeds]:
            try:
                answer = await self._client.get(
                    f'http://{address}/v1/entry',
                    params={'availability_zone': self._availability_zone},
                    timeout=ENTRY_TIMEOUT_SECONDS,
                )
                entry = msgspec.json.decode(answer.content, type=_Entry)
            except (httpx.HTTPError, msgspec.MsgspecError, ValueError):
                continue
            self.addresses = entry.addresses or self.addresses
            self._addresses_expire_at = (
                anyio.current_time() + entry.ttl_seconds
            )
            return


def _make_reply(answer: httpx.Response) -> Reply:
    recorded = answer.headers.get('persimmonpass-recorded') == 'true'
    return Reply(answer.status_code, answer.content, recorded)


def read_verdict(reply: Reply) -> verdicts.Verdict | None:
    """Return the verdict in the body of a failed request, if there is one."""
    try:
        return verdicts.Verdict(msgspec.json.decode(reply.body)['verdict'])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
