"""The key ledgers that one host owns."""

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
SWEEP_SECONDS = 0.5
# The owner waits longer than the host that runs a request, which still has
# to bring the answer.
GRACE_SECONDS = 5.0
RESERVE_SECONDS = 2.0
FINISH_SECONDS = 2.0
UNRECORDED_SECONDS = 600.0
MAX_HELD_BYTES = 8_000_000


class _Running:
    """An attempt that this owner knows to be in progress.

    :ivar ends_at: local time from which it counts as ended
    :ivar answer: its answer while that could not be committed
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
    """Key ledgers, and the attempts in progress on their keys."""

    def __init__(
        self,
        port: store.StorePort,
        host: str,
        is_ended: collections.abc.Callable[[str, str], bool],
    ) -> None:
        """Make the shards of a host.

        :param is_ended: whether a host's run of the daemon has certainly
            ended
        """
        self._is_ended = is_ended
        self._runs: dict[str, str] = {}
        self._books = open_ledgers.OpenLedgers(
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
        self._reserving = caches.Attempts()
        self._given_up = caches.Attempts()
        self._held_bytes = 0
        self._answers = caches.Answers()

    async def run(self) -> None:
        """Open ledgers and end attempts whose host is gone, for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._books.run)
            while True:
                for shard_key in list(self._running):
                    self._alive(shard_key)
                await anyio.sleep(SWEEP_SECONDS)

    def own(self, owned: collections.abc.Iterable[int]) -> None:
        """Say which shards this host should own; the rest is put aside."""
        self._books.own(owned)

    async def begin(
        self, begin: keys.Begin
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Start a request unless its key was used before.

        A request that may be repeated starts without its ledger while the
        store is down.

        :param begin: a repeated call with the same attempt is answered the
            same way
        :returns: a failure after which the request must not be sent
        """
        self._runs[begin['host']] = begin['run']
        opened = await self._books.get(begin['shard'])
        if begin['attempt'] in self._given_up:
            return result.Err(keys.given_up(begin['key']))
        if isinstance(opened, result.Err):
            failure = opened.err_value
            if begin['durable'] or not open_ledgers.is_store_down(failure):
                return result.Err(keys.lookup_failed(failure))
        book = opened.ok()
        shard_key = begin['shard'], begin['key']
        state = book.get(begin['key']) if book is not None else None
        known = self._judge(state, begin)
        if known is not None:
            if known.is_ok() and known.ok_value['answer'] is None:
                if known.ok_value['state'] == keys.DONE:
                    return await self._read_back(book, shard_key)
            return known
        self._start(shard_key, begin)
        if book is None or not begin['durable']:
            return result.Ok(_begun(keys.STARTED))
        return await self._reserve(book, begin, state)

    async def finish(
        self, finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        """Keep an answer and return the one that counts.

        While it can't be committed, other callers with the key get it
        marked as not recorded.
        """
        shard_key = finish['shard'], finish['key']
        opened = await self._books.get(finish['shard'])
        if isinstance(opened, result.Err):
            kept = result.Err(opened.err_value)
        else:
            kept = await self._keep(opened.ok_value, finish)
        if isinstance(kept, result.Ok):
            self._stop(shard_key)
        elif keys.may_commit_later(kept.err_value):
            self._hold(shard_key, finish)
        return kept

    async def release(
        self, release: keys.Release
    ) -> result.Result[None, verdicts.Failure]:
        """Free a key whose attempt certainly did not run."""
        shard_key = release['shard'], release['key']
        attempt = release['attempt']
        self._given_up.add(attempt)
        running = self._running.get(shard_key)
        if running is not None and running.attempt == attempt:
            self._stop(shard_key)
        opened = await self._books.get(release['shard'])
        if isinstance(opened, result.Err):
            return result.Err(opened.err_value)
        book = opened.ok_value
        state = book.get(release['key'])
        reserved = (
            state is not None
            and state.status == keys.RESERVED
            and state.attempt == attempt
        )
        if not reserved and attempt not in self._reserving:
            return result.Ok(None)
        # A reservation that is still being written lands before this.
        row = keys.record(keys.RELEASED, release['key'], '', attempt)
        kept = await self._books.append(book, [row], FINISH_SECONDS)
        if kept.is_ok():
            self._reserving.discard(attempt)
        return kept

    def abandon(
        self, release: keys.Release
    ) -> result.Result[None, verdicts.Failure]:
        """Note that an attempt ended and that its outcome is unknown."""
        shard_key = release['shard'], release['key']
        running = self._running.get(shard_key)
        if running is not None and running.attempt == release['attempt']:
            self._stop(shard_key)
        return result.Ok(None)

    async def look_up(
        self, shard: int, key: str, wait_seconds: float = 0.0
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return the answer of a key, or whether it is in progress.

        That there is no answer is said only after a check that no other host
        owns the ledger: after a cut, both sides may have owned it.

        :param wait_seconds: how long to wait for one that is in progress
        """
        shard_key = shard, key
        running = self._alive(shard_key)
        if running is not None and wait_seconds > 0:
            with anyio.move_on_after(wait_seconds):
                await running.done.wait()
        opened = await self._books.get(shard)
        if not self._is_done(opened.ok(), key):
            opened = await self._books.get_confirmed(shard)
        running = self._alive(shard_key)
        book = opened.ok()
        state = book.get(key) if book is not None else None
        if state is not None and state.status == keys.DONE:
            return await self._read_back(book, shard_key)
        if running is not None:
            return result.Ok(_in_progress(running))
        if isinstance(opened, result.Err):
            return result.Err(keys.lookup_failed(opened.err_value))
        if state is None or state.status == keys.RELEASED:
            return result.Ok(_begun(keys.RELEASED))
        free = state.attempt in self._given_up
        return result.Ok(_begun(keys.RELEASED if free else keys.UNKNOWN))

    def _is_done(
        self, book: ledger.Ledger[keys.KeyState] | None, key: str
    ) -> bool:
        state = book.get(key) if book is not None else None
        return state is not None and state.status == keys.DONE

    def _judge(
        self, state: keys.KeyState | None, begin: keys.Begin
    ) -> result.Result[keys.Begun, verdicts.Failure] | None:
        """Answer a begin from what is known; ``None`` if it may start."""
        running = self._alive((begin['shard'], begin['key']))
        used = state is not None and state.status != keys.RELEASED
        if used and state.attempt in self._given_up:
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
        book: ledger.Ledger[keys.KeyState],
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
        kept = await self._books.append(book, rows, RESERVE_SECONDS)
        if isinstance(kept, result.Err):
            self._stop((begin['shard'], key))
            # Nothing was sent to a target, whatever the store did.
            failure = kept.err_value
            return result.Err(
                failure._replace(verdict=verdicts.Verdict.NOT_RUN)
            )
        self._reserving.discard(attempt)
        if attempt in self._given_up:
            return result.Err(keys.given_up(key))
        state = book.get(key)
        if state != keys.KeyState(
            keys.RESERVED, begin['fingerprint'], attempt
        ):
            # Closed or overtaken; asked again, the ledger tells.
            return result.Err(ledger.lost(book.path, verdicts.Verdict.NOT_RUN))
        return result.Ok(_begun(keys.STARTED))

    async def _keep(
        self, book: ledger.Ledger[keys.KeyState], finish: keys.Finish
    ) -> result.Result[keys.Answer, verdicts.Failure]:
        key, answer = finish['key'], finish['answer']
        state = book.get(key)
        if state is None or state.status != keys.DONE:
            row = keys.record(
                keys.DONE,
                key,
                finish['fingerprint'],
                finish['attempt'],
                answer,
            )
            kept = await self._books.append(book, [row], FINISH_SECONDS)
            if isinstance(kept, result.Err):
                return result.Err(kept.err_value)
            state = book.get(key)
        if state is None:
            # Closed since the commit; asked again, the next owner knows.
            return result.Err(
                ledger.lost(book.path, verdicts.Verdict.MAY_HAVE_RUN)
            )
        if state.fingerprint != finish['fingerprint']:
            return result.Err(keys.reused(key))
        shard_key = finish['shard'], key
        if state.attempt == finish['attempt']:
            self._answers.put(shard_key, answer)
            return result.Ok(answer)
        found = await self._read_back(book, shard_key)
        return found.map(lambda begun: begun['answer'])

    async def _read_back(
        self, book: ledger.Ledger[keys.KeyState], shard_key: caches.ShardKey
    ) -> result.Result[keys.Begun, verdicts.Failure]:
        """Return a committed answer."""
        answer = self._answers.get(shard_key)
        if answer is None:
            found = await book.find(shard_key[1])
            answer = found.map_or(
                None, lambda rows: keys.find_answer(rows, shard_key[1])
            )
            if answer is None:
                failure = found.err() or store.unavailable(book.path)
                return result.Err(
                    failure._replace(verdict=verdicts.Verdict.RAN)
                )
            self._answers.put(shard_key, answer)
        return result.Ok(_begun(keys.DONE, answer))

    def _start(self, shard_key: caches.ShardKey, begin: keys.Begin) -> None:
        running = self._running.get(shard_key)
        if running is None or running.attempt != begin['attempt']:
            self._running[shard_key] = _Running(
                begin['fingerprint'],
                begin['attempt'],
                begin['limit_seconds'] + GRACE_SECONDS,
                begin['host'],
                begin['run'],
            )

    def _hold(self, shard_key: caches.ShardKey, finish: keys.Finish) -> None:
        """Keep an answer in memory that could not be committed."""
        running = self._alive(shard_key)
        if running is not None and running.answer is not None:
            return
        self._stop(shard_key)
        answer = finish['answer']
        if self._held_bytes + len(answer.body) > MAX_HELD_BYTES:
            return
        self._held_bytes += len(answer.body)
        running = _Running(
            finish['fingerprint'], finish['attempt'], UNRECORDED_SECONDS
        )
        running.answer = answer
        running.done.set()
        self._running[shard_key] = running

    def _alive(self, shard_key: caches.ShardKey) -> _Running | None:
        """Return the attempt on a key; one that has ended is removed."""
        running = self._running.get(shard_key)
        if running is None:
            return None
        ended = anyio.current_time() >= running.ends_at
        run_ended = self._runs.get(
            running.host
        ) != running.run or self._is_ended(running.host, running.run)
        held = running.answer is not None
        if ended or not held and run_ended:
            self._stop(shard_key)
            return None
        return running

    def _stop(self, shard_key: caches.ShardKey) -> None:
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
