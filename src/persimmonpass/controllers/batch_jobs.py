"""Keeps the table of unfinished jobs.

The table follows the store by a watch and peers by notices. A notice may be
lost and a watch may end; then the heads are listed again.
"""

import collections
import collections.abc
import typing

import anyio
import anyio.abc
import result

from persimmonpass import events
from persimmonpass import jobs
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass import verdicts

METHOD_CANCELLED = 'batch.cancelled'
METHOD_CLAIMED = 'batch.claimed'
METHOD_FINISHED = 'batch.finished'
METHOD_RELEASED = 'batch.released'
METHOD_PROGRESS = 'batch.progress'

RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
SPREAD_STEPS = 8
MAX_ENDED_JOBS = 10_000
CALL_TIMEOUT_SECONDS = 1.0

Ask = result.Result[typing.Any, verdicts.Failure]


class Pulse:
    """Wakes whoever waits for a change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def fire(self) -> None:
        """Wake all who wait."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, seconds: float) -> None:
        """Wait for the next change, or for some seconds."""
        with anyio.move_on_after(seconds):
            await self._event.wait()


class Progress(typing.TypedDict):
    """What a host tells of a job.

    :ivar age_seconds: time since it learned of the job
    :ivar held: number and summary of each chunk that it owns
    """

    age_seconds: float
    held: list[tuple[int, jobs.Summary]]


class JobEntry:
    """What this host knows of an unfinished job.

    :ivar learned_at: local clock at which the job was accepted, or learned
    :ivar summaries: finished parts
    :ivar claims: hosts that claimed other parts, and the local clock when
        that was last heard
    :ivar retry_at: local clock before which a part is left alone
    :ivar look_at: local clock before which no part is looked for
    """

    def __init__(self, job: jobs.Job, learned_at: float) -> None:
        self.job = job
        self.learned_at = learned_at
        self.summaries: dict[int, jobs.Summary] = {}
        self.claims: dict[int, tuple[str, float]] = {}
        self.retry_at: dict[int, float] = {}
        self.look_at = 0.0

    def note_claim(self, number: int, host: str) -> None:
        """Note that a host works on a part."""
        self.claims[number] = host, anyio.current_time()

    @property
    def is_finished(self) -> bool:
        """Whether every part is finished."""
        return len(self.summaries) == len(self.job.parts)


class JobTable:
    """The unfinished jobs, and who works on their parts.

    :ivar entries: jobs by key
    :ivar changed: fires with each change
    """

    def __init__(
        self, host: str, port: store.StorePort, peers: peer_port.PeerPort
    ) -> None:
        self.entries: dict[jobs.JobKey, JobEntry] = {}
        self.changed = Pulse()
        self._host = host
        self._port = port
        self._peers = peers
        self._ended: collections.OrderedDict[jobs.JobKey, None] = (
            collections.OrderedDict()
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {
            METHOD_CANCELLED: self._take_cancelled,
            METHOD_CLAIMED: self._take_claimed,
            METHOD_FINISHED: self._take_finished,
            METHOD_RELEASED: self._take_released,
        }

    async def run(self) -> None:
        """Follow the jobs for ever."""
        pause = RETRY_SECONDS
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                listed = await self._port.list(jobs.PREFIX)
                if isinstance(listed, result.Ok):
                    pause = RETRY_SECONDS
                    await self._watch(self._take_list(listed.ok_value))
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def cancel(self, key: jobs.JobKey) -> Ask:
        """Cancel a job in the store, then here and at the peers.

        :returns: the job in its final state
        """
        cancelled = await jobs.change_state(self._port, key, jobs.CANCELLED)
        if isinstance(cancelled, result.Ok):
            job = cancelled.ok_value
            if job.state == jobs.CANCELLED:
                events.log(events.JOB_CANCELLED, **key._asdict())
                self.end(key)
                peer_port.broadcast(self._peers, METHOD_CANCELLED, list(key))
        return cancelled

    def learn(self, job: jobs.Job) -> JobEntry | None:
        """Take a head that was read; return its entry if it is new."""
        if job.state != jobs.ACCEPTED:
            self.end(job.key)
            return None
        if job.key in self._ended or job.key in self.entries:
            return None
        entry = JobEntry(job, anyio.current_time())
        self.entries[job.key] = entry
        self.changed.fire()
        return entry

    def end(self, key: jobs.JobKey) -> None:
        """Forget a job that is finished or cancelled.

        An older list must not bring it back.
        """
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)
        self.entries.pop(key, None)
        self.changed.fire()

    def is_accepted(self, key: jobs.JobKey) -> bool:
        """Whether a job's items may be dispatched."""
        return key in self.entries

    def tell_claimed(self, entry: JobEntry, number: int) -> None:
        """Tell the peers of a claim."""
        entry.note_claim(number, self._host)
        payload = [*entry.job.key, number]
        peer_port.broadcast(self._peers, METHOD_CLAIMED, payload)

    def tell_released(self, entry: JobEntry, number: int) -> None:
        """Tell the peers that this host does not work on a part any more."""
        entry.claims.pop(number, None)
        payload = [*entry.job.key, number]
        peer_port.broadcast(self._peers, METHOD_RELEASED, payload)

    async def finish_part(
        self, key: jobs.JobKey, number: int, summary: jobs.Summary
    ) -> None:
        """Keep the summary of a finished part and tell the peers.

        A summary that could not be written is made again by whoever next
        opens the chunk.
        """
        path = jobs.summary_key(key, number)
        await self._port.put(path, jobs.encode_summary(summary))
        payload = [*key, number, list(summary)]
        peer_port.broadcast(self._peers, METHOD_FINISHED, payload)
        self._note_finished(key, number, summary)
        entry = self.entries.get(key)
        if entry is not None and entry.is_finished:
            await self._finish_job(key)

    async def _finish_job(self, key: jobs.JobKey) -> None:
        while key in self.entries:
            ended = await jobs.change_state(self._port, key, jobs.FINISHED)
            if isinstance(ended, result.Ok):
                self.end(key)
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _finish_later(self, key: jobs.JobKey) -> None:
        """End a job whose last parts finished together, or whose host died.

        Hosts wait for different times, so that as a rule one writes.
        """
        spread = shards.score('/'.join(key), self._host) % SPREAD_STEPS
        await anyio.sleep(RETRY_SECONDS * (1 + spread))
        await self._finish_job(key)

    def _take_list(self, listed: list[store.Stored]) -> int:
        """Take all heads and return the version to watch from."""
        found = {job.key: job for job in map(jobs.decode, listed)}
        for key in set(self.entries) - set(found):
            # Accepted since the list was read, or removed: the watch tells.
            if self.entries[key].job.version <= _latest(listed):
                self.end(key)
        for job in found.values():
            entry = self.learn(job)
            if entry is not None and self._tasks is not None:
                self._tasks.start_soon(self._catch_up, entry)
        return _latest(listed)

    async def _watch(self, version: int) -> None:
        """Follow changes until the watch fails or misses some."""
        while True:
            seen = await self._port.watch(jobs.PREFIX, version)
            if isinstance(seen, result.Err):
                return
            if seen.ok_value.version < version:
                return
            version = seen.ok_value.version
            for stored in seen.ok_value.changes:
                if not stored.deleted:
                    self.learn(jobs.decode(stored))

    async def _catch_up(self, entry: JobEntry) -> None:
        """Learn what happened to a job before this host knew of it."""
        key = entry.job.key
        for host in self._peers.connected():
            progress = await self.ask(host, key)
            if progress is None:
                continue
            learned = anyio.current_time() - progress['age_seconds']
            entry.learned_at = min(entry.learned_at, learned)
            for number, _ in progress['held']:
                entry.note_claim(number, host)
        while key in self.entries:
            found = await jobs.read_summaries(self._port, key)
            if isinstance(found, result.Ok):
                entry.summaries.update(found.ok_value)
                break
            await anyio.sleep(RETRY_SECONDS)
        if entry.is_finished:
            await self._finish_job(key)
        self.changed.fire()

    async def ask(self, host: str, key: jobs.JobKey) -> Progress | None:
        """Ask a peer for its part in a job; ``None`` if it did not answer."""
        answered = await self._peers.call(
            host, METHOD_PROGRESS, list(key), CALL_TIMEOUT_SECONDS
        )
        if isinstance(answered, result.Err):
            return None
        held = [
            (number, jobs.Summary(*summary))
            for number, summary in answered.ok_value['held']
        ]
        return Progress(
            age_seconds=answered.ok_value['age_seconds'], held=held
        )

    def _note_finished(
        self, key: jobs.JobKey, number: int, summary: jobs.Summary
    ) -> None:
        entry = self.entries.get(key)
        if entry is not None:
            entry.summaries[number] = summary
            entry.claims.pop(number, None)
            self.changed.fire()

    async def _take_cancelled(self, peer: str, payload: typing.Any) -> Ask:
        self.end(jobs.JobKey(*payload))
        return result.Ok(None)

    async def _take_claimed(self, peer: str, payload: typing.Any) -> Ask:
        account, job, number = payload
        entry = self.entries.get(jobs.JobKey(account, job))
        if entry is not None:
            entry.note_claim(number, peer)
            self.changed.fire()
        return result.Ok(None)

    async def _take_released(self, peer: str, payload: typing.Any) -> Ask:
        account, job, number = payload
        entry = self.entries.get(jobs.JobKey(account, job))
        if entry is not None and entry.claims.get(number, ('', 0))[0] == peer:
            del entry.claims[number]
            self.changed.fire()
        return result.Ok(None)

    async def _take_finished(self, peer: str, payload: typing.Any) -> Ask:
        account, job, number, summary = payload
        key = jobs.JobKey(account, job)
        self._note_finished(key, number, jobs.Summary(*summary))
        entry = self.entries.get(key)
        if entry is not None and entry.is_finished and self._tasks is not None:
            self._tasks.start_soon(self._finish_later, key)
        return result.Ok(None)


def _latest(listed: list[store.Stored]) -> int:
    return max((stored.version for stored in listed), default=0)
