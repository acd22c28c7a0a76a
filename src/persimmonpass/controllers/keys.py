"""Reaches the owner of an idempotency key, here or at a peer."""

import collections.abc
import typing
import uuid

import anyio
import result

from persimmonpass.controllers import key_attempts
from persimmonpass import events
from persimmonpass import key_shards
from persimmonpass import keys
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import uncommitted_answers
from persimmonpass import verdicts

METHOD_BEGIN = 'keys.begin'
METHOD_FINISH = 'keys.finish'
METHOD_RELEASE = 'keys.release'
METHOD_ABANDON = 'keys.abandon'
METHOD_LOOK_UP = 'keys.look_up'
METHOD_HOLD = 'keys.hold'

CALL_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.2
WAIT_STEP_SECONDS = 1.0
DURABLE_BEGIN_SECONDS = 3.0
REPEATABLE_BEGIN_SECONDS = 1.5
HOLD_SECONDS = 0.5
FOLLOW_UP_SECONDS = 0.5


class KeyName(typing.NamedTuple):
    """Identifies a request.

    :ivar key: the caller's idempotency key, or the request's id
    """

    account: str
    key: str


class Keys:
    """The key controller of one daemon.

    An answer that :meth:`finish` can't commit is committed by :meth:`run`
    once that is possible; a copy goes to a host of another availability
    zone.
    """

    def __init__(
        self,
        host: str,
        owned: key_shards.KeyShards,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
        key_shards_count: int,
        backup_hosts: collections.abc.Callable[[], list[str]] = list,
        run: str = '',
    ) -> None:
        """Make the controller.

        :param backup_hosts: hosts that may keep an uncommitted answer, the
            best one first
        :param run: name of this run of the daemon, as membership tells it
        """
        self._host = host
        self._owned = owned
        self._peers = peers
        self._live_hosts = live_hosts
        self._key_shards = key_shards_count
        self._run = run or uuid.uuid4().hex
        self._backup_hosts = backup_hosts
        self._seen_hosts: list[str] = []
        self._attempts = key_attempts.Attempts(
            self.owner,
            lambda begin: self._call(METHOD_BEGIN, begin),
            lambda release: self._call(METHOD_RELEASE, release),
        )
        self._unrecorded = uncommitted_answers.UncommittedAnswers(self._commit)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_BEGIN: self._take_begin,
            METHOD_FINISH: self._take_finish,
            METHOD_RELEASE: self._take_release,
            METHOD_ABANDON: self._take_abandon,
            METHOD_LOOK_UP: self._take_look_up,
            METHOD_HOLD: self._take_hold,
        }

    @property
    def uncommitted(self) -> int:
        """Number of answers that this host still has to commit."""
        return len(self._unrecorded)

    async def run(self) -> None:
        """Serve the owned shards and finish what was left open."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._owned.run)
            tasks.start_soon(self._unrecorded.run)
            tasks.start_soon(self._attempts.run)
            while True:
                self.update_owned_shards()
                await anyio.sleep(FOLLOW_UP_SECONDS)

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
        :param limit_seconds: how long the request may take
        :returns: a failure after which the request must not be sent; its
            verdict says whether an earlier one with the key may have run
        """
        payload = keys.Begin(
            shard=self._shard(name),
            key=_full_key(name),
            fingerprint=fingerprint,
            attempt=attempt,
            durable=durable,
            host=self._host,
            run=self._run,
            limit_seconds=limit_seconds,
        )
        begun = None
        try:
            limit = (
                DURABLE_BEGIN_SECONDS if durable else REPEATABLE_BEGIN_SECONDS
            )
            begun = await self._persist(
                METHOD_BEGIN, payload, min(limit_seconds, limit)
            )
        finally:
            if begun is None or begun.is_err():
                self._begin_failed(payload, begun)
        if isinstance(begun, result.Err):
            if durable or not _is_owner_lost(begun.err_value):
                return begun.map_err(_unknown_to_unread)
            # No owner is there to ask; a request that may be repeated does
            # not wait for one.
            self._attempts.track(payload, '')
            return result.Ok(
                keys.Begun(state=keys.STARTED, answer=None, recorded=True)
            )
        if begun.ok_value['state'] == keys.STARTED:
            self._attempts.track(payload, self.owner(payload['shard']))
        return begun

    async def finish(
        self,
        name: KeyName,
        fingerprint: str,
        attempt: str,
        answer: keys.Answer,
        limit_seconds: float,
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        """Keep an answer and return the one that counts.

        :returns: a failure if it is not committed within the limit; it is
            committed later then, if that is possible at all
        """
        payload = keys.Finish(
            shard=self._shard(name),
            key=_full_key(name),
            fingerprint=fingerprint,
            attempt=attempt,
            answer=answer,
        )
        kept = None
        try:
            kept = await self._persist(METHOD_FINISH, payload, limit_seconds)
        finally:
            self._attempts.end(attempt)
            if kept is None:
                self._unrecorded.add(payload)
        if isinstance(kept, result.Ok):
            return result.Ok(keys.Answer(*kept.ok_value))
        if keys.may_commit_later(kept.err_value):
            self._unrecorded.add(payload)
            await self._hand_over(payload)
        return kept

    async def release(
        self, name: KeyName, attempt: str, limit_seconds: float
    ) -> result.Result[None, verdicts.Failure]:
        """Free a key whose attempt certainly did not run.

        A release that fails is repeated in the background.
        """
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        self._attempts.end(attempt)
        released = await self._persist(METHOD_RELEASE, payload, limit_seconds)
        if released.is_err():
            self._attempts.release_later(payload)
        return released

    async def abandon(self, name: KeyName, attempt: str) -> None:
        """Say that an attempt ended and that its outcome is unknown.

        Whoever waits for the key is told at once. A new owner knows of no
        running attempt, so that the call is made only once.
        """
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        self._attempts.end(attempt)
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

    def update_owned_shards(self) -> None:
        """Put aside the ledgers that another host should own now."""
        hosts = sorted(self._live_hosts())
        if hosts == self._seen_hosts:
            return
        self._seen_hosts = hosts
        self._owned.own(
            shard
            for shard in range(self._key_shards)
            if self.owner(shard) == self._host
        )

    def _begin_failed(
        self,
        begin: keys.Begin,
        begun: result.Err[verdicts.Failure] | None,
    ) -> None:
        """Free a key that its owner may have reserved for nothing.

        :param begun: ``None`` if the caller did not wait for the answer
        """
        sure = begun is not None and begun.err_value.event in (
            events.KEY_REUSED,
            events.STORE_UNAVAILABLE,
        )
        if begin['durable'] and not sure:
            self._attempts.release_later(_release_of(begin))

    async def _commit(
        self, finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        kept = await self._call(METHOD_FINISH, finish)
        return kept.map(lambda row: keys.Answer(*row))

    async def _hand_over(self, finish: keys.Finish) -> None:
        """Give a copy of an uncommitted answer to one other host."""
        for host in self._backup_hosts():
            held = await self._peers.call(
                host, METHOD_HOLD, finish, HOLD_SECONDS
            )
            if held.is_ok():
                return

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
        spent = 0.0
        while True:
            timeout = min(limit_seconds - spent, CALL_TIMEOUT_SECONDS)
            answered = await self._call(method, payload, timeout)
            if isinstance(answered, result.Ok):
                return answered
            if not _worth_repeating(method, answered.err_value):
                return answered
            spent = anyio.current_time() - started
            if spent + RETRY_SECONDS >= limit_seconds:
                return answered
            await anyio.sleep(RETRY_SECONDS)

    async def _call(
        self,
        method: str,
        payload: typing.Any,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> result.Result[typing.Any, verdicts.Failure]:
        owner = self.owner(_shard_of(payload))
        if owner == self._host:
            return await self.handlers[method](self._host, payload)
        return await self._peers.call(owner, method, payload, timeout)

    def _refuse(
        self, payload: typing.Any
    ) -> result.Err[verdicts.Failure] | None:
        """Refuse a call about a shard that another host should own."""
        shard = _shard_of(payload)
        if self.owner(shard) == self._host:
            return None
        return result.Err(keys.not_owned(shard))

    async def _take_begin(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._refuse(payload) or await self._owned.begin(payload)

    async def _take_finish(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        finish = _to_finish(payload)
        return self._refuse(payload) or await self._owned.finish(finish)

    async def _take_release(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._refuse(payload) or await self._owned.release(payload)

    async def _take_abandon(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._refuse(payload) or self._owned.abandon(payload)

    async def _take_look_up(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._refuse(payload) or await self._owned.look_up(*payload)

    async def _take_hold(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return result.Ok(self._unrecorded.add(_to_finish(payload)))


def _full_key(name: KeyName) -> str:
    return f'{name.account}/{name.key}'


def _shard_of(payload: typing.Any) -> int:
    return payload[0] if isinstance(payload, list) else payload['shard']


def _to_finish(payload: typing.Any) -> keys.Finish:
    return payload | {'answer': keys.Answer(*payload['answer'])}


def _release_of(begin: keys.Begin) -> keys.Release:
    return keys.Release(
        shard=begin['shard'], key=begin['key'], attempt=begin['attempt']
    )


def _unknown_to_unread(failure: verdicts.Failure) -> verdicts.Failure:
    """Judge a begin whose owner did not answer."""
    return keys.lookup_failed(failure) if _is_owner_lost(failure) else failure


def _is_owner_lost(failure: verdicts.Failure) -> bool:
    """Return whether a call found no host that owns the shard."""
    return failure.event in (events.PEER_UNREACHABLE, events.LEDGER_LOST)


def _worth_repeating(method: str, failure: verdicts.Failure) -> bool:
    """Return whether another try may help soon.

    A request that waits for the store is refused at once instead.
    """
    if _is_owner_lost(failure):
        return True
    return method == METHOD_FINISH and keys.may_commit_later(failure)
