"""The ledgers of the key shards that one host owns.

The owner of a shard decides whether a request with a key may be sent. It
keeps the attempts in progress in memory and commits reservations, releases
and answers to the shard's ledger.
"""

import collections.abc

import anyio
import result

from persimmonpass import budget
from persimmonpass import caches
from persimmonpass import keys
from persimmonpass import ledger
from persimmonpass import open_ledgers
from persimmonpass import store
from persimmonpass import verdicts

RETENTION_SECONDS = 7 * 24 * 3600.0
SWEEP_INTERVAL_SECONDS = 0.5
# The owner waits longer than the time limit of a request, since the host that
# runs it still has to report the answer.
GRACE_SECONDS = 5.0
RESERVE_SECONDS = 2.0
FINISH_SECONDS = 2.0
HOLD_ANSWER_SECONDS = 600.0
MAX_HELD_BYTES = 8_000_000


class _Running:
    """An attempt in progress, or one whose answer is not committed yet.

    :ivar host: host that runs it
    :ivar run: id of the run of that host's daemon
    :ivar ends_at: local time from which the attempt counts as ended
    :ivar done: set when the attempt ends
    :ivar answer: its answer, if that could not be committed
    """

    def __init__(
        self,
        fingerprint: str,
        attempt: str,
        seconds: float,
        host: str = '',
        run: str = '',
    ) -> None:
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.host = host
        self.run = run
        self.ends_at = anyio.current_time() + seconds
        self.done = anyio.Event()
        self.answer: keys.Answer | None = None


class KeyShards:
    """The shards of one host, and the attempts in progress on their keys."""

    def __init__(
        self,
        port: store.StorePort,
        host: str,
        is_ended: collections.abc.Callable[[str, str], bool],
    ) -> None:
        """Create the shards of a host.

        :param port: access to the store
        :param host: name of this host
        :param is_ended: takes a host and a run of its daemon, and returns
            whether that run has certainly ended
        """
        self._is_ended = is_ended
        self._runs: dict[str, str] = {}
        self._ledgers = open_ledgers.OpenLedgers(
            lambda shard: ledger.Ledger(
                port,
                f'keys/{shard:05d}',
                host,
                keys.merge,
                budget.Priority.RESERVATION,
                RETENTION_SECONDS,
            )
        )
        self._running: dict[caches.ShardKey, _Running] = {}
        self._reserving = caches.RecentAttempts()
        self._released = caches.RecentAttempts()
        self._held_bytes = 0
        self._answers = caches.AnswerCache()

    async def run(self) -> None:
        """Open ledgers and remove ended attempts until cancelled.

        An attempt also ends when the host that runs it is gone.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ledgers.run)
            while True:
                for shard_key in list(self._running):
                    self._find_running(shard_key)
                await anyio.sleep(SWEEP_INTERVAL_SECONDS)

    def set_owned(self, owned: collections.abc.Iterable[int]) -> None:
        """Set the shards that this host should own.

        :param owned: numbers of the shards
        """
        self._ledgers.set_owned(owned)

    async def begin(
        self, begin: keys.Begin
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Start a request unless its key was used before.

        While the store is down, a repeatable request starts without its
        ledger.

        :param begin: the call; if it is repeated with the same attempt, it
            gets the same answer
        :returns: the state of the key, or a failure; after a failure the
            request must not be sent
        """
        self._runs[begin['host']] = begin['run']
        opened = await self._ledgers.get(begin['shard'])
        if begin['attempt'] in self._released:
            return result.Err(keys.attempt_released(begin['key']))
        if isinstance(opened, result.Err):
            failure = opened.err_value
            if begin['durable'] or not open_ledgers.is_store_down(failure):
                return result.Err(keys.lookup_failed(failure))
        key_ledger = opened.ok()
        shard_key = begin['shard'], begin['key']
        state = (
            key_ledger.get(begin['key']) if key_ledger is not None else None
        )
        decided = self._check_begin(state, begin)
        if decided is not None:
            if decided.is_ok() and decided.ok_value['answer'] is None:
                if decided.ok_value['state'] == keys.DONE:
                    return await self._read_back(key_ledger, shard_key)
            return decided
        self._add_running(shard_key, begin)
        if key_ledger is None or not begin['durable']:
            return result.Ok(_begun(keys.STARTED))
        return await self._reserve(key_ledger, begin, state)

    async def finish(
        self, finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        """Commit an answer and return the committed answer of the key.

        If the commit fails, the answer is held in memory. Other requests with
        the key then get it marked as not recorded.

        :returns: the committed answer of the key, which may come from another
            attempt, or a failure
        """
        shard_key = finish['shard'], finish['key']
        opened = await self._ledgers.get(finish['shard'])
        if isinstance(opened, result.Err):
            committed = result.Err(opened.err_value)
        else:
            committed = await self._commit_answer(opened.ok_value, finish)
        if isinstance(committed, result.Ok):
            self._remove_running(shard_key)
        elif keys.may_commit_later(committed.err_value):
            self._hold_answer(shard_key, finish)
        return committed

    async def release(
        self, release: keys.Release
    ) -> result.Result[None, verdicts.Failure]:
        """Release a key whose attempt certainly did not run."""
        shard_key = release['shard'], release['key']
        attempt = release['attempt']
        self._released.add(attempt)
        running = self._running.get(shard_key)
        if running is not None and running.attempt == attempt:
            self._remove_running(shard_key)
        opened = await self._ledgers.get(release['shard'])
        if isinstance(opened, result.Err):
            return result.Err(opened.err_value)
        key_ledger = opened.ok_value
        state = key_ledger.get(release['key'])
        reserved = (
            state is not None
            and state.status == keys.RESERVED
            and state.attempt == attempt
        )
        if not reserved and attempt not in self._reserving:
            return result.Ok(None)
        # The ledger commits in order: a reservation that is still being
        # written is committed before this record.
        row = keys.record(keys.RELEASED, release['key'], '', attempt)
        committed = await self._ledgers.append(
            key_ledger, [row], FINISH_SECONDS
        )
        if committed.is_ok():
            self._reserving.discard(attempt)
        return committed

    def abandon(
        self, release: keys.Release
    ) -> result.Result[None, verdicts.Failure]:
        """Record that an attempt ended and that its outcome is unknown."""
        shard_key = release['shard'], release['key']
        running = self._running.get(shard_key)
        if running is not None and running.attempt == release['attempt']:
            self._remove_running(shard_key)
        return result.Ok(None)

    async def look_up(
        self, shard: int, key: str, wait_seconds: float = 0.0
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return the state of a key, with its answer if there is one.

        Before it reports that there is no answer, it checks that no other
        host owns the ledger. After a network partition, hosts on both sides
        may have owned it.

        :param wait_seconds: how long to wait for a request in progress
        """
        shard_key = shard, key
        running = self._find_running(shard_key)
        if running is not None and wait_seconds > 0:
            with anyio.move_on_after(wait_seconds):
                await running.done.wait()
        opened = await self._ledgers.get(shard)
        if not self._is_done(opened.ok(), key):
            opened = await self._ledgers.get_confirmed(shard)
        running = self._find_running(shard_key)
        key_ledger = opened.ok()
        state = key_ledger.get(key) if key_ledger is not None else None
        if state is not None and state.status == keys.DONE:
            return await self._read_back(key_ledger, shard_key)
        if running is not None:
            return result.Ok(_in_progress(running))
        if isinstance(opened, result.Err):
            return result.Err(keys.lookup_failed(opened.err_value))
        if state is None or state.status == keys.RELEASED:
            return result.Ok(_begun(keys.RELEASED))
        is_released = state.attempt in self._released
        return result.Ok(
            _begun(keys.RELEASED if is_released else keys.UNKNOWN)
        )

    def _is_done(
        self, key_ledger: ledger.Ledger[keys.KeyState] | None, key: str
    ) -> bool:
        state = key_ledger.get(key) if key_ledger is not None else None
        return state is not None and state.status == keys.DONE

    def _check_begin(
        self, state: keys.KeyState | None, begin: keys.Begin
    ) -> result.Result[keys.Begun, verdicts.Failure] | None:
        """Return the answer to a begin, or ``None`` if it may start."""
        running = self._find_running((begin['shard'], begin['key']))
        used = state is not None and state.status != keys.RELEASED
        # The reservation of a released attempt no longer counts.
        if used and state.attempt in self._released:
            used = state.status == keys.DONE
        if used:
            if state.fingerprint != begin['fingerprint']:
                return result.Err(keys.reused(begin['key']))
            if state.status == keys.DONE:
                return result.Ok(_begun(keys.DONE))
            if state.attempt == begin['attempt']:
                return None
            if running is None:
                return result.Ok(_begun(keys.UNKNOWN))
        if running is None:
            return None
        if running.fingerprint != begin['fingerprint']:
            return result.Err(keys.reused(begin['key']))
        if running.attempt == begin['attempt']:
            return None
        return result.Ok(_in_progress(running))

    async def _reserve(
        self,
        key_ledger: ledger.Ledger[keys.KeyState],
        begin: keys.Begin,
        state: keys.KeyState | None,
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Commit a reservation before the request is sent."""
        key, attempt = begin['key'], begin['attempt']
        rows = []
        if state is not None and state.status == keys.RESERVED:
            if state.attempt == attempt:
                return result.Ok(_begun(keys.STARTED))
            rows.append(keys.record(keys.RELEASED, key, '', state.attempt))
        rows.append(
            keys.record(keys.RESERVED, key, begin['fingerprint'], attempt)
        )
        self._reserving.add(attempt)
        committed = await self._ledgers.append(
            key_ledger, rows, RESERVE_SECONDS
        )
        if isinstance(committed, result.Err):
            self._remove_running((begin['shard'], key))
            # Nothing was sent to a target, whether or not the store wrote
            # the reservation.
            failure = committed.err_value
            return result.Err(
                failure._replace(verdict=verdicts.Verdict.NOT_RUN)
            )
        self._reserving.discard(attempt)
        if attempt in self._released:
            return result.Err(keys.attempt_released(key))
        state = key_ledger.get(key)
        if state != keys.KeyState(
            keys.RESERVED, begin['fingerprint'], attempt
        ):
            # The ledger was closed, or another attempt came first. A retry
            # reads the current state.
            return result.Err(
                ledger.ownership_lost(
                    key_ledger.path, verdicts.Verdict.NOT_RUN
                )
            )
        return result.Ok(_begun(keys.STARTED))

    async def _commit_answer(
        self, key_ledger: ledger.Ledger[keys.KeyState], finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        key, answer = finish['key'], finish['answer']
        state = key_ledger.get(key)
        if state is None or state.status != keys.DONE:
            row = keys.record(
                keys.DONE,
                key,
                finish['fingerprint'],
                finish['attempt'],
                answer,
            )
            committed = await self._ledgers.append(
                key_ledger, [row], FINISH_SECONDS
            )
            if isinstance(committed, result.Err):
                return result.Err(committed.err_value)
            state = key_ledger.get(key)
        if state is None:
            # The ledger was closed after the commit. A retry asks the next
            # owner.
            return result.Err(
                ledger.ownership_lost(
                    key_ledger.path, verdicts.Verdict.MAY_HAVE_RUN
                )
            )
        if state.fingerprint != finish['fingerprint']:
            return result.Err(keys.reused(key))
        shard_key = finish['shard'], key
        if state.attempt == finish['attempt']:
            self._answers.put(shard_key, answer)
            return result.Ok(answer)
        found = await self._read_back(key_ledger, shard_key)
        return found.map(lambda begun: begun['answer'])

    async def _read_back(
        self,
        key_ledger: ledger.Ledger[keys.KeyState],
        shard_key: caches.ShardKey,
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return a committed answer, from the cache or the ledger."""
        answer = self._answers.get(shard_key)
        if answer is None:
            found = await key_ledger.find_records(shard_key[1])
            answer = found.map_or(
                None, lambda rows: keys.find_answer(rows, shard_key[1])
            )
            if answer is None:
                failure = found.err() or store.unavailable(key_ledger.path)
                return result.Err(
                    failure._replace(verdict=verdicts.Verdict.RAN)
                )
            self._answers.put(shard_key, answer)
        return result.Ok(_begun(keys.DONE, answer))

    def _add_running(
        self, shard_key: caches.ShardKey, begin: keys.Begin
    ) -> None:
        running = self._running.get(shard_key)
        if running is None or running.attempt != begin['attempt']:
            self._running[shard_key] = _Running(
                begin['fingerprint'],
                begin['attempt'],
                begin['limit_seconds'] + GRACE_SECONDS,
                begin['host'],
                begin['run'],
            )

    def _hold_answer(
        self, shard_key: caches.ShardKey, finish: keys.Finish
    ) -> None:
        """Hold in memory an answer that could not be committed.

        It is dropped if the answers held would exceed ``MAX_HELD_BYTES``.
        """
        running = self._find_running(shard_key)
        if running is not None and running.answer is not None:
            return
        self._remove_running(shard_key)
        answer = finish['answer']
        if self._held_bytes + len(answer.body) > MAX_HELD_BYTES:
            return
        self._held_bytes += len(answer.body)
        running = _Running(
            finish['fingerprint'], finish['attempt'], HOLD_ANSWER_SECONDS
        )
        running.answer = answer
        running.done.set()
        self._running[shard_key] = running

    def _find_running(self, shard_key: caches.ShardKey) -> _Running | None:
        """Return the attempt on a key, or ``None`` if there is none.

        An attempt that has ended is removed.
        """
        running = self._running.get(shard_key)
        if running is None:
            return None
        is_expired = anyio.current_time() >= running.ends_at
        run_has_ended = self._runs.get(
            running.host
        ) != running.run or self._is_ended(running.host, running.run)
        has_answer = running.answer is not None
        if is_expired or not has_answer and run_has_ended:
            self._remove_running(shard_key)
            return None
        return running

    def _remove_running(self, shard_key: caches.ShardKey) -> None:
        running = self._running.pop(shard_key, None)
        if running is not None:
            running.done.set()
            if running.answer is not None:
                self._held_bytes -= len(running.answer.body)


def _begun(
    state: str, answer: keys.Answer | None = None, recorded: bool = True
) -> keys.Begun:
    return keys.Begun(state=state, answer=answer, recorded=recorded)


def _in_progress(running: _Running) -> keys.Begun:
    if running.answer is not None:
        return _begun(keys.DONE, running.answer, False)
    return _begun(keys.RUNNING)
