"""Keeps a table of the unfinished jobs.

The table is updated by a watch on the store and by notices from peers.
Notices may be lost. When the watch fails or misses changes, all jobs are
listed again.
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
FINISH_DELAY_STEPS = 8
MAX_ENDED_JOBS = 10_000
CALL_TIMEOUT_SECONDS = 1.0

CallResult = result.Result[typing.Any, verdicts.Failure]


class ChangeSignal:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def fire(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, seconds: float) -> None:
        """Wait for the next change, at most for some seconds."""
        with anyio.move_on_after(seconds):
            await self._event.wait()


class Progress(typing.TypedDict):
    """A host's report on a job.

    :ivar age_seconds: time since the job was accepted, as far as the host
        knows
    :ivar held: part number and summary of each chunk that it owns
    """

    age_seconds: float
    held: list[tuple[int, jobs.Summary]]


class JobEntry:
    """What this host knows of an unfinished job.

    All times are on the local clock.

    :ivar learned_at: when a host first learned of the job, which is close to
        its acceptance
    :ivar summaries: summaries of the finished parts by number
    :ivar claims: host that claimed a part, and when its claim was last
        reported, by part number
    :ivar retry_at: when a part may be claimed again, by part number
    :ivar next_pick_at: when this host next looks for a part to claim
    """

    def __init__(self, job: jobs.Job, learned_at: float) -> None:
        self.job = job
        self.learned_at = learned_at
        self.summaries: dict[int, jobs.Summary] = {}
        self.claims: dict[int, tuple[str, float]] = {}
        self.retry_at: dict[int, float] = {}
        self.next_pick_at = 0.0

    def record_claim(self, number: int, host: str) -> None:
        """Record that a host works on a part."""
        self.claims[number] = host, anyio.current_time()

    @property
    def is_finished(self) -> bool:
        """Whether every part is finished."""
        return len(self.summaries) == len(self.job.parts)


class JobTable:
    """The unfinished jobs and the hosts that work on their parts.

    :ivar entries: unfinished jobs by key
    :ivar changed: fires when a job or a claim changes
    """

    def __init__(
        self, host: str, port: store.StorePort, peers: peer_port.PeerPort
    ) -> None:
        self.entries: dict[jobs.JobKey, JobEntry] = {}
        self.changed = ChangeSignal()
        self._host = host
        self._port = port
        self._peers = peers
        self._ended: collections.OrderedDict[jobs.JobKey, None] = (
            collections.OrderedDict()
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {
            METHOD_CANCELLED: self._handle_cancelled,
            METHOD_CLAIMED: self._handle_claimed,
            METHOD_FINISHED: self._handle_finished,
            METHOD_RELEASED: self._handle_released,
        }

    async def run(self) -> None:
        """Keep the table up to date until cancelled."""
        pause = RETRY_SECONDS
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                listed = await self._port.list(jobs.PREFIX)
                if isinstance(listed, result.Ok):
                    pause = RETRY_SECONDS
                    await self._watch(self._apply_list(listed.ok_value))
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def cancel(self, key: jobs.JobKey) -> CallResult:
        """Cancel a job in the store, then on this host and its peers.

        :returns: the job in its final state
        """
        cancelled = await jobs.change_state(self._port, key, jobs.CANCELLED)
        if isinstance(cancelled, result.Ok):
            job = cancelled.ok_value
            if job.state == jobs.CANCELLED:
                events.log(events.JOB_CANCELLED, **key._asdict())
                self.remove(key)
                peer_port.broadcast(self._peers, METHOD_CANCELLED, list(key))
        return cancelled

    def apply_head(self, job: jobs.Job) -> JobEntry | None:
        """Update the table with a job that was read from the store.

        :returns: the entry of the job if it is new to this host
        """
        if job.state != jobs.ACCEPTED:
            self.remove(job.key)
            return None
        if job.key in self._ended or job.key in self.entries:
            return None
        entry = JobEntry(job, anyio.current_time())
        self.entries[job.key] = entry
        self.changed.fire()
        return entry

    def remove(self, key: jobs.JobKey) -> None:
        """Remove a job that is finished or cancelled.

        Its key is remembered, so that a list that was read earlier does not
        add the job again.
        """
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)
        self.entries.pop(key, None)
        self.changed.fire()

    def is_accepted(self, key: jobs.JobKey) -> bool:
        """Return whether the items of a job may be dispatched."""
        return key in self.entries

    def broadcast_claim(self, entry: JobEntry, number: int) -> None:
        """Record a claim of this host and notify the peers."""
        entry.record_claim(number, self._host)
        payload = [*entry.job.key, number]
        peer_port.broadcast(self._peers, METHOD_CLAIMED, payload)

    def broadcast_release(self, entry: JobEntry, number: int) -> None:
        """Notify the peers that this host no longer works on a part."""
        entry.claims.pop(number, None)
        payload = [*entry.job.key, number]
        peer_port.broadcast(self._peers, METHOD_RELEASED, payload)

    async def finish_part(
        self, key: jobs.JobKey, number: int, summary: jobs.Summary
    ) -> None:
        """Store the summary of a finished part and notify the peers.

        If the write fails, the host that next opens the chunk writes the
        summary again.
        """
        path = jobs.summary_key(key, number)
        await self._port.put(path, jobs.encode_summary(summary))
        payload = [*key, number, list(summary)]
        peer_port.broadcast(self._peers, METHOD_FINISHED, payload)
        self._record_finished(key, number, summary)
        entry = self.entries.get(key)
        if entry is not None and entry.is_finished:
            await self._finish_job(key)

    async def _finish_job(self, key: jobs.JobKey) -> None:
        while key in self.entries:
            ended = await jobs.change_state(self._port, key, jobs.FINISHED)
            if isinstance(ended, result.Ok):
                self.remove(key)
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _finish_job_after_delay(self, key: jobs.JobKey) -> None:
        """Finish a job after a delay unless another host does so first.

        The host that finished the last part usually does. It does not if it
        died, or if it did not know that parts which finished at the same
        time were done. The delay differs by host, so that usually only one
        of them writes.
        """
        spread = shards.score('/'.join(key), self._host) % FINISH_DELAY_STEPS
        await anyio.sleep(RETRY_SECONDS * (1 + spread))
        await self._finish_job(key)

    def _apply_list(self, listed: list[store.Stored]) -> int:
        """Update the table with a full list of jobs.

        :returns: the store's version from which to watch
        """
        found = {job.key: job for job in map(jobs.decode, listed)}
        for key in set(self.entries) - set(found):
            # A job that is newer than the list was accepted after the list
            # was read. It stays; the watch reports later changes.
            if self.entries[key].job.version <= _latest_version(listed):
                self.remove(key)
        for job in found.values():
            entry = self.apply_head(job)
            if entry is not None and self._tasks is not None:
                self._tasks.start_soon(self._catch_up, entry)
        return _latest_version(listed)

    async def _watch(self, version: int) -> None:
        """Apply changes until the watch fails or misses some."""
        while True:
            watched = await self._port.watch(jobs.PREFIX, version)
            if isinstance(watched, result.Err):
                return
            if watched.ok_value.version < version:
                return
            version = watched.ok_value.version
            for stored in watched.ok_value.changes:
                if not stored.deleted:
                    self.apply_head(jobs.decode(stored))

    async def _catch_up(self, entry: JobEntry) -> None:
        """Collect what happened to a job before this host knew of it."""
        key = entry.job.key
        for host in self._peers.connected():
            progress = await self.request_progress(host, key)
            if progress is None:
                continue
            learned = anyio.current_time() - progress['age_seconds']
            entry.learned_at = min(entry.learned_at, learned)
            for number, _ in progress['held']:
                entry.record_claim(number, host)
        while key in self.entries:
            found = await jobs.read_summaries(self._port, key)
            if isinstance(found, result.Ok):
                entry.summaries.update(found.ok_value)
                break
            await anyio.sleep(RETRY_SECONDS)
        if entry.is_finished:
            await self._finish_job(key)
        self.changed.fire()

    async def request_progress(
        self, host: str, key: jobs.JobKey
    ) -> Progress | None:
        """Return a peer's report on a job, ``None`` if it did not answer."""
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

    def _record_finished(
        self, key: jobs.JobKey, number: int, summary: jobs.Summary
    ) -> None:
        entry = self.entries.get(key)
        if entry is not None:
            entry.summaries[number] = summary
            entry.claims.pop(number, None)
            self.changed.fire()

    async def _handle_cancelled(
        self, peer: str, payload: typing.Any
    ) -> CallResult:
        self.remove(jobs.JobKey(*payload))
        return result.Ok(None)

    async def _handle_claimed(
        self, peer: str, payload: typing.Any
    ) -> CallResult:
        account, job, number = payload
        entry = self.entries.get(jobs.JobKey(account, job))
        if entry is not None:
            entry.record_claim(number, peer)
            self.changed.fire()
        return result.Ok(None)

    async def _handle_released(
        self, peer: str, payload: typing.Any
    ) -> CallResult:
        account, job, number = payload
        entry = self.entries.get(jobs.JobKey(account, job))
        if entry is not None and entry.claims.get(number, ('', 0))[0] == peer:
            del entry.claims[number]
            self.changed.fire()
        return result.Ok(None)

    async def _handle_finished(
        self, peer: str, payload: typing.Any
    ) -> CallResult:
        account, job, number, summary = payload
        key = jobs.JobKey(account, job)
        self._record_finished(key, number, jobs.Summary(*summary))
        entry = self.entries.get(key)
        if entry is not None and entry.is_finished and self._tasks is not None:
            self._tasks.start_soon(self._finish_job_after_delay, key)
        return result.Ok(None)


def _latest_version(listed: list[store.Stored]) -> int:
    return max((stored.version for stored in listed), default=0)
