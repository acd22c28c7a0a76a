"""Calls the owners of idempotency keys, on this host or at a peer."""

import collections.abc
import typing
import uuid

import anyio
import result

from persimmonpass.controllers.online import key_attempts
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
# How long a begin may take if a reservation is committed first, and if not.
DURABLE_BEGIN_SECONDS = 3.0
REPEATABLE_BEGIN_SECONDS = 1.5
BACKUP_TIMEOUT_SECONDS = 0.5
OWNERSHIP_POLL_SECONDS = 0.5


class KeyName(typing.NamedTuple):
    """Account and key that identify a request.

    :ivar key: the caller's idempotency key, or the request's id if the
        caller sent none
    """

    account: str
    key: str


class Keys:
    """The key controller of one daemon.

    If :meth:`finish` cannot commit an answer, :meth:`run` commits it as soon
    as that is possible. Until then a host of another availability zone holds
    a copy.
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
        """Create the controller.

        :param host: name of this host
        :param owned: ledgers of the shards that this host owns
        :param live_hosts: returns the hosts that are alive
        :param key_shards_count: number of shards of the whole fleet
        :param backup_hosts: returns the hosts that may hold a copy of an
            uncommitted answer, the best one first
        :param run: id of this run of the daemon, as in membership
        """
        self._host = host
        self._owned = owned
        self._peers = peers
        self._live_hosts = live_hosts
        self._key_shards = key_shards_count
        self._run = run or uuid.uuid4().hex
        self._backup_hosts = backup_hosts
        self._seen_hosts: list[str] = []
        self._attempts = key_attempts.AttemptTracker(
            self.owner,
            lambda begin: self._call(METHOD_BEGIN, begin),
            lambda release: self._call(METHOD_RELEASE, release),
        )
        self._uncommitted_answers = uncommitted_answers.UncommittedAnswers(
            self._commit
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_BEGIN: self._handle_begin,
            METHOD_FINISH: self._handle_finish,
            METHOD_RELEASE: self._handle_release,
            METHOD_ABANDON: self._handle_abandon,
            METHOD_LOOK_UP: self._handle_look_up,
            METHOD_HOLD: self._handle_hold,
        }

    @property
    def uncommitted(self) -> int:
        """Number of answers that this host has yet to commit."""
        return len(self._uncommitted_answers)

    async def run(self) -> None:
        """Serve the owned shards and run the background tasks.

        The tasks commit answers, report attempts to new owners and repeat
        failed releases.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._owned.run)
            tasks.start_soon(self._uncommitted_answers.run)
            tasks.start_soon(self._attempts.run)
            while True:
                self.update_owned_shards()
                await anyio.sleep(OWNERSHIP_POLL_SECONDS)

    def owner(self, shard: int) -> str:
        """Return the host that should own a shard."""
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

        :param fingerprint: digest of the request's body
        :param attempt: id of the attempt
        :param durable: whether to commit a reservation before the request is
            sent
        :param limit_seconds: how long the request may take
        :returns: the state of the key, or a failure; after a failure the
            request must not be sent, and the verdict says whether an earlier
            request with the key may have run
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
            begun = await self._call_with_retries(
                METHOD_BEGIN, payload, min(limit_seconds, limit)
            )
        finally:
            if begun is None or begun.is_err():
                self._release_failed_begin(payload, begun)
        if isinstance(begun, result.Err):
            if durable or not _is_owner_lost(begun.err_value):
                return begun.map_err(_to_lookup_failure)
            # The shard has no reachable owner. A repeatable request does not
            # wait for one.
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
        """Commit an answer and return the committed answer of the key.

        The committed answer differs from the given one if another attempt
        finished first.

        :param limit_seconds: how long the commit may take
        :returns: a failure if the answer is not committed in time; it is then
            committed in the background, if that can succeed
        """
        payload = keys.Finish(
            shard=self._shard(name),
            key=_full_key(name),
            fingerprint=fingerprint,
            attempt=attempt,
            answer=answer,
        )
        committed = None
        try:
            committed = await self._call_with_retries(
                METHOD_FINISH, payload, limit_seconds
            )
        finally:
            self._attempts.end(attempt)
            if committed is None:
                self._uncommitted_answers.add(payload)
        if isinstance(committed, result.Ok):
            return result.Ok(keys.Answer(*committed.ok_value))
        if keys.may_commit_later(committed.err_value):
            self._uncommitted_answers.add(payload)
            await self._send_to_backup(payload)
        return committed

    async def release(
        self, name: KeyName, attempt: str, limit_seconds: float
    ) -> result.Result[None, verdicts.Failure]:
        """Release a key whose attempt certainly did not run.

        A release that fails is repeated in the background.

        :param limit_seconds: how long the call may take
        """
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        self._attempts.end(attempt)
        released = await self._call_with_retries(
            METHOD_RELEASE, payload, limit_seconds
        )
        if released.is_err():
            self._attempts.release_later(payload)
        return released

    async def abandon(self, name: KeyName, attempt: str) -> None:
        """Report that an attempt ended and that its outcome is unknown.

        Calls that wait for the key are answered at once. The call is not
        repeated: a new owner does not know of the attempt anyway.
        """
        payload = keys.Release(
            shard=self._shard(name), key=_full_key(name), attempt=attempt
        )
        self._attempts.end(attempt)
        await self._call(METHOD_ABANDON, payload)

    async def look_up(
        self, name: KeyName, wait_seconds: float = 0.0
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return the state of a key, with its answer if there is one.

        :param wait_seconds: how long to wait for a request in progress
        """
        started = anyio.current_time()
        while True:
            left_seconds = wait_seconds - (anyio.current_time() - started)
            step = max(0.0, min(left_seconds, WAIT_STEP_SECONDS))
            payload = [self._shard(name), _full_key(name), step]
            found = await self._call_with_retries(
                METHOD_LOOK_UP, payload, CALL_TIMEOUT_SECONDS
            )
            if isinstance(found, result.Err) or left_seconds <= 0:
                return found
            if found.ok_value['state'] != keys.RUNNING:
                return found

    def update_owned_shards(self) -> None:
        """Set the shards that this host owns, if the live hosts changed."""
        hosts = sorted(self._live_hosts())
        if hosts == self._seen_hosts:
            return
        self._seen_hosts = hosts
        self._owned.set_owned(
            shard
            for shard in range(self._key_shards)
            if self.owner(shard) == self._host
        )

    def _release_failed_begin(
        self,
        begin: keys.Begin,
        begun: result.Err[verdicts.Failure] | None,
    ) -> None:
        """Release a key that a failed or cancelled begin may have reserved.

        :param begun: ``None`` if the call was cancelled
        """
        is_known_free = begun is not None and begun.err_value.event in (
            events.KEY_REUSED,
            events.STORE_UNAVAILABLE,
        )
        if begin['durable'] and not is_known_free:
            self._attempts.release_later(_release_of(begin))

    async def _commit(
        self, finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        committed = await self._call(METHOD_FINISH, finish)
        return committed.map(lambda row: keys.Answer(*row))

    async def _send_to_backup(self, finish: keys.Finish) -> None:
        """Send a copy of an uncommitted answer to one backup host."""
        for host in self._backup_hosts():
            held = await self._peers.call(
                host, METHOD_HOLD, finish, BACKUP_TIMEOUT_SECONDS
            )
            if held.is_ok():
                return

    def _shard(self, name: KeyName) -> int:
        return shards.shard(name.account, name.key, self._key_shards)

    async def _call_with_retries(
        self, method: str, payload: typing.Any, limit_seconds: float
    ) -> result.Result[typing.Any, verdicts.Failure]:
        """Call the owner; retry if it has changed or cannot be reached.

        Each of the four calls that are made this way may be repeated. The
        owner recognizes a repeated call by the id of the attempt.
        """
        started = anyio.current_time()
        spent_seconds = 0.0
        while True:
            timeout = min(limit_seconds - spent_seconds, CALL_TIMEOUT_SECONDS)
            answered = await self._call(method, payload, timeout)
            if isinstance(answered, result.Ok):
                return answered
            if not _should_retry(method, answered.err_value):
                return answered
            spent_seconds = anyio.current_time() - started
            if spent_seconds + RETRY_SECONDS >= limit_seconds:
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

    def _check_owner(
        self, payload: typing.Any
    ) -> result.Err[verdicts.Failure] | None:
        """Return a failure if another host should own the shard."""
        shard = _shard_of(payload)
        if self.owner(shard) == self._host:
            return None
        return result.Err(keys.not_owned(shard))

    async def _handle_begin(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._check_owner(payload) or await self._owned.begin(payload)

    async def _handle_finish(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        finish = _to_finish(payload)
        return self._check_owner(payload) or await self._owned.finish(finish)

    async def _handle_release(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._check_owner(payload) or await self._owned.release(payload)

    async def _handle_abandon(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._check_owner(payload) or self._owned.abandon(payload)

    async def _handle_look_up(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return self._check_owner(payload) or await self._owned.look_up(
            *payload
        )

    async def _handle_hold(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        return result.Ok(self._uncommitted_answers.add(_to_finish(payload)))


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


def _to_lookup_failure(failure: verdicts.Failure) -> verdicts.Failure:
    """Mark a failed begin as a failed lookup if no owner answered."""
    return keys.lookup_failed(failure) if _is_owner_lost(failure) else failure


def _is_owner_lost(failure: verdicts.Failure) -> bool:
    """Return whether a call reached no host that owns the shard."""
    return failure.event in (events.PEER_UNREACHABLE, events.LEDGER_LOST)


def _should_retry(method: str, failure: verdicts.Failure) -> bool:
    """Return whether to retry a call to the owner.

    Begins, releases and lookups are not retried while the store is down:
    the request is refused at once instead of waiting for the store.
    """
    if _is_owner_lost(failure):
        return True
    return method == METHOD_FINISH and keys.may_commit_later(failure)
