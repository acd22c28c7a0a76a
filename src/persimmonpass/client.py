"""A caller: asks for an entry address, keeps it a while and resends safely.

It is what the command-line tool's demo and the tests use; any HTTP client can
do the same.
"""

import math
import typing

import anyio
import httpx
import msgspec
import result

from persimmonpass import verdicts

ATTEMPTS = 8
PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
TIMEOUT_SECONDS = 30.0
ENTRY_TIMEOUT_SECONDS = 2.0
RESEND_STATUSES = (409, 429, 502, 503)


class Reply(typing.NamedTuple):
    """The final answer to a request.

    :ivar recorded: whether the answer is committed
    """

    status: int
    body: bytes
    recorded: bool


class Caller:
    """One caller.

    :ivar addresses: present entry addresses, best first
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        seeds: list[str],
        token: str,
        availability_zone: str = '',
    ) -> None:
        self.addresses = list(seeds)
        self._client = client
        self._seeds = list(seeds)
        self._zone = availability_zone
        self._headers = {'Authorization': f'Bearer {token}'}
        self._expires = -math.inf

    async def complete(
        self, model: str, prompt: str, max_tokens: int, key: str
    ) -> result.Result[Reply, str]:
        """Run a completion.

        :param key: idempotency key, under which it is resent
        :returns: the answer, or why there is none
        """
        body = {'model': model, 'prompt': prompt, 'max_tokens': max_tokens}
        content = msgspec.json.encode(body)
        return await self.send('POST', '/v1/completions', content, key)

    async def send(
        self, method: str, path: str, content: bytes, key: str
    ) -> result.Result[Reply, str]:
        """Send a request and resend it under the same key.

        A request is resent after a lost connection and after the answers
        that ask for it. What may run only once is protected by its key.
        """
        problem = 'no entry address answered'
        for attempt in range(ATTEMPTS):
            await self._refresh()
            address = self.addresses[attempt % len(self.addresses)]
            try:
                answer = await self._client.request(
                    method,
                    f'http://{address}{path}',
                    content=content,
                    headers={**self._headers, 'Idempotency-Key': key},
                    timeout=TIMEOUT_SECONDS,
                )
            except httpx.HTTPError as error:
                problem = type(error).__name__
                self._expires = -math.inf
                await anyio.sleep(PAUSE_SECONDS)
                continue
            retry_after = answer.headers.get('retry-after')
            again = answer.status_code in RESEND_STATUSES
            if not (again and retry_after):
                return result.Ok(_reply(answer))
            problem = f'status {answer.status_code}'
            await anyio.sleep(min(float(retry_after), MAX_PAUSE_SECONDS))
        return result.Err(problem)

    async def read(self, key: str) -> result.Result[Reply, str]:
        """Read the kept answer of an earlier request."""
        return await self.send('GET', f'/v1/requests/{key}', b'', key)

    async def _refresh(self) -> None:
        """Ask for entry addresses once the last answer is too old."""
        if anyio.current_time() < self._expires:
            return
        for address in [*self.addresses, *self._seeds]:
            try:
                answer = await self._client.get(
                    f'http://{address}/v1/entry',
                    params={'availability_zone': self._zone},
                    timeout=ENTRY_TIMEOUT_SECONDS,
                )
                body = answer.json()
                self.addresses = body['addresses'] or self.addresses
                ttl = float(body['ttl_seconds'])
            except (httpx.HTTPError, ValueError, KeyError):
                continue
            self._expires = anyio.current_time() + ttl
            return


def _reply(answer: httpx.Response) -> Reply:
    recorded = answer.headers.get('persimmonpass-recorded') == 'true'
    return Reply(answer.status_code, answer.content, recorded)


def read_verdict(reply: Reply) -> verdicts.Verdict | None:
    """Return the verdict that a failed request's body holds."""
    try:
        return verdicts.Verdict(msgspec.json.decode(reply.body)['verdict'])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
