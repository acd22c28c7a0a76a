"""Reaches the owner of an idempotency key, here or at a peer."""

import collections.abc
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass import keys
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import verdicts

METHOD_BEGIN = 'keys.begin'
METHOD_FINISH = 'keys.finish'
METHOD_RELEASE = 'keys.release'
METHOD_ABANDON = 'keys.abandon'
METHOD_LOOK_UP = 'keys.look_up'

CALL_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.2
WAIT_STEP_SECONDS = 1.0


class KeyName(typing.NamedTuple):
    """Identifies a request.

    :ivar key: the caller's idempotency key, or the request's id
    """

    account: str
    key: str


class Keys:
    """The key controller of one daemon."""

    def __init__(
        self,
        host: str,
        owned: keys.KeyShards,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
        key_shards: int,
    ) -> None:
        self._host = host
        self._owned = owned
        self._peers = peers
        self._live_hosts = live_hosts
        self._key_shards = key_shards

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_BEGIN: self._take_begin,
            METHOD_FINISH: self._take_finish,
            METHOD_RELEASE: self._take_release,
            METHOD_ABANDON: self._take_abandon,
            METHOD_LOOK_UP: self._take_look_up,
        }

    def owner(self, shard: int) -> str:
        """Return the host that should own a ledger."""
        return shards.owner(f'keys/{shard}', self._live_hosts()) or self._host

    async def begin(
        self,
        name: KeyName,
        fingerprint: str,
        attempt: str,
        durable: bool,
        limit_seconds: float,
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Start a request unless its key was used before.

        :param durable: commit the reservation first
        :param limit_seconds: how long to try
        """
        payload = keys.Begin(
            shard=self._shard(name),
            key=_full_key(name),
            fingerprint=fingerprint,
            attempt=attempt,
            durable=durable,
        )
        return await self._persist(METHOD_BEGIN, payload, limit_seconds)

    async def finish(
        self,
        name: KeyName,
        fingerprint: str,
        attempt: str,
        answer: keys.Answer,
        limit_seconds: float,
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        """Keep an answer and return the one that counts."""
        payload = keys.Finish(
            shard=self._shard(name),
            key=_full_key(name),
            fingerprint=fingerprint,
            attempt=attempt,
            answer=answer,
        )
        kept = await self._persist(METHOD_FINISH, payload, limit_seconds)
        return kept.map(lambda row: keys.Answer(*row))

    async def release(
        self, name: KeyName, attempt: str, limit_seconds: float
    ) -> result.Result[None, verdicts.Failure]:
        """Free a key whose attempt certainly did not run."""
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        return await self._persist(METHOD_RELEASE, payload, limit_seconds)

    async def abandon(self, name: KeyName, attempt: str) -> None:
        """Say that an attempt ended and that its outcome is unknown.

        Whoever waits for the key is told at once. A new owner knows of no
        running attempt, so that the call is made only once.
        """
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        await self._call(METHOD_ABANDON, payload)

    async def look_up(
        self, name: KeyName, wait_seconds: float = 0.0
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return the answer of a key, or whether it is in progress.

        :param wait_seconds: how long to wait for one that is in progress
        """
        started = anyio.current_time()
        while True:
            left = wait_seconds - (anyio.current_time() - started)
            step = max(0.0, min(left, WAIT_STEP_SECONDS))
            payload = [self._shard(name), _full_key(name), step]
            found = await self._persist(
                METHOD_LOOK_UP, payload, CALL_TIMEOUT_SECONDS
            )
            if isinstance(found, result.Err) or left <= 0:
                return found
            if found.ok_value['state'] != keys.RUNNING:
                return found

    def drop_others(self) -> None:
        """Close the ledgers that another host should own now."""
        self._owned.drop_others(lambda shard: self.owner(shard) == self._host)

    def _shard(self, name: KeyName) -> int:
        return shards.shard(name.account, name.key, self._key_shards)

    async def _persist(
        self, method: str, payload: typing.Any, limit_seconds: float
    ) -> result.Result[typing.Any, verdicts.Failure]:
        """Call the owner, again after a change of ownership.

        Each of the four calls may be repeated, since the attempt's id tells
        the owner that it is the same one.
        """
        started = anyio.current_time()
        while True:
            answered = await self._call(method, payload)
            if isinstance(answered, result.Ok):
                return answered
            failure = answered.err_value
            if not _worth_repeating(failure):
                return answered
            spent = anyio.current_time() - started
            if spent + RETRY_SECONDS >= limit_seconds:
                return answered
            await anyio.sleep(RETRY_SECONDS)

    async def _call(
        self, method: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        shard = payload[0] if isinstance(payload, list) else payload['shard']
        owner = self.owner(shard)
        if owner == self._host:
            return await self.handlers[method](self._host, payload)
        return await self._peers.call(
            owner, method, payload, CALL_TIMEOUT_SECONDS
        )

    async def _take_begin(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return await self._owned.begin(payload)

    async def _take_finish(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        payload['answer'] = keys.Answer(*payload['answer'])
        return await self._owned.finish(payload)

    async def _take_release(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return await self._owned.release(payload)

    async def _take_abandon(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return await self._owned.abandon(payload)

    async def _take_look_up(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return await self._owned.look_up(*payload)


def _full_key(name: KeyName) -> str:
    return f'{name.account}/{name.key}'


def _worth_repeating(failure: verdicts.Failure) -> bool:
    return failure.event in (
        events.PEER_UNREACHABLE,
        events.LEDGER_LOST,
        events.STORE_UNAVAILABLE,
        events.STORE_OUTCOME_UNKNOWN,
    )
