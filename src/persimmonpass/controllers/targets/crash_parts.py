"""Refuses requests with a part of a prompt that crashes targets.

Each host notifies its peers of the runs that broke under a crash and of the
answers to runs with a suspected part, so that all hosts come to the same
decision. The refused parts are sent again and again, for hosts that have
started since or missed a notice.

``persimmonpass-gateway`` uses this module;
:mod:`controllers.targets.crash_watch` finds single requests that crash
targets.
"""

import collections
import collections.abc
import contextlib
import functools
import typing

import anyio

from persimmonpass.controllers.targets import target_ends
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import crash_parts as policy
from persimmonpass.policy import shards

METHOD_BROKE = 'parts.broke'
METHOD_ANSWERED = 'parts.answered'
METHOD_REFUSED = 'parts.refused'
RETENTION_SECONDS = 120.0
SPREAD_SECONDS = 1.0
# A part that nobody sends any more is refused for this long at most.
REFUSED_SECONDS = 1800.0
MAX_RUNS = 1_000
MAX_PARTS = 20_000
MAX_REFUSED = 200
# A host tries a due part this much later than the host before it in the
# part's order, which has told the others of its trial by then.
TRIAL_RANK_SECONDS = 0.5
MAX_TRIAL_RANK = 4
# Parts of one prompt that are looked at, and the length of an id.
MAX_PARTS_OF_PROMPT = 16
MAX_ID_LENGTH = 64

Hosts = collections.abc.Callable[[], collections.abc.Iterable[str]]


class _Refused:
    """A part that is refused.

    :ivar since: local clock at the decision, in seconds
    :ivar trials: number of trials since then
    :ivar failures: number of these trials that crashed a target
    :ivar not_run: number of trials of this host that no target ran
    :ivar next_trial_at: local clock at the next trial, in seconds
    """

    def __init__(self, since: float, trials: int) -> None:
        self.since = since
        self.trials = trials
        self.failures = 0
        self.not_run = 0
        self.next_trial_at = 0.0
        self.set_trials(trials)

    def set_trials(self, trials: int) -> None:
        """Set the number of trials, and pause until the next one."""
        self.trials = trials
        self.next_trial_at = anyio.current_time() + max(
            policy.trial_pause(self.failures),
            policy.retrial_pause(trials - self.failures - self.not_run),
        )

    def add_failure(self) -> None:
        """Count a trial that crashed a target."""
        self.failures += 1
        self.next_trial_at = anyio.current_time() + policy.trial_pause(
            self.failures
        )

    def drop_trial(self) -> None:
        """Take back the last trial, as no target ran it."""
        if self.failures + self.not_run < self.trials:
            self.not_run += 1
            self.next_trial_at = (
                anyio.current_time() + policy.FIRST_TRIAL_SECONDS
            )


class Recall:
    """A run that is cancelled when a part of its prompt becomes refused.

    :ivar scope: cancels the run
    :ivar parts: ids of the parts of its prompt that others may share
    :ivar is_answered: whether the run has been answered, so that it goes on
    :ivar not_run: whether no target ran it
    """

    def __init__(self, parts: collections.abc.Sequence[str]) -> None:
        self.scope = anyio.CancelScope()
        self.parts = frozenset(_shared(parts))
        self.is_answered = False
        self.not_run = False


class CrashParts:
    """The parts that crash targets, and the evidence for them."""

    def __init__(
        self,
        host: str,
        peers: peer_port.PeerPort,
        hosts: Hosts,
        audience: peer_port.Audience = peer_port.all_hosts,
        ends: target_ends.Ends | None = None,
    ) -> None:
        """Create an empty table.

        :param hosts: returns the hosts that serve callers; one of them tries
            whether a refused part still crashes targets
        :param audience: returns the hosts that are notified
        :param ends: tells ends of targets from broken links
        """
        self._ends = ends or target_ends.AllEnd()
        self._host = host
        self._peers = peers
        self._hosts = hosts
        self._audience = audience
        self._runs: collections.deque[policy.BrokenRun] = collections.deque(
            maxlen=MAX_RUNS
        )
        self._answered: collections.OrderedDict[str, policy.Answered] = (
            collections.OrderedDict()
        )
        self._refused: dict[str, _Refused] = {}
        self._refused_added = anyio.Event()
        self._running: set[Recall] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {
            METHOD_BROKE: peer_port.NoticeHandler(self._handle_broke),
            METHOD_ANSWERED: peer_port.NoticeHandler(self._handle_answered),
            METHOD_REFUSED: peer_port.NoticeHandler(self._handle_refused),
        }

    @property
    def refused_count(self) -> int:
        """Number of refused parts."""
        return len(self._refused)

    async def run(self) -> None:
        """Send the refused parts to peers until cancelled."""
        while True:
            if not self._refused:
                self._refused_added = anyio.Event()
                await self._refused_added.wait()
            self._drop_old()
            self._broadcast(METHOD_REFUSED, self._refused_rows())
            await anyio.sleep(SPREAD_SECONDS)

    def refused_among(self, parts: collections.abc.Sequence[str]) -> set[str]:
        """Return the refused parts of a prompt.

        :param parts: ids of all its parts, in order
        """
        return {part for part, _ in self._find_refused(parts)}

    def is_refused(self, parts: collections.abc.Sequence[str]) -> bool:
        """Return whether a request must not run now.

        :param parts: ids of all parts of its prompt, in order
        """
        now = anyio.current_time()
        return any(
            now < refused.next_trial_at + self._trial_delay(part)
            for part, refused in self._find_refused(parts)
        )

    def admit(self, parts: collections.abc.Sequence[str]) -> bool:
        """Return whether a request may be sent to a target now.

        If it has a refused part, sending it is the trial of that part.

        :param parts: ids of all parts of its prompt, in order
        """
        if self.is_refused(parts):
            return False
        for part, refused in self._find_refused(parts):
            refused.set_trials(refused.trials + 1)
            self._broadcast(METHOD_REFUSED, self._refused_rows())
            events.log(
                events.PART_TRIED,
                host=self._host,
                part=part,
                trials=refused.trials,
            )
        return True

    @contextlib.contextmanager
    def recallable(
        self, parts: collections.abc.Sequence[str]
    ) -> collections.abc.Iterator[Recall]:
        """Cancel a run inside the context if its target would crash.

        :param parts: ids of all parts of the run's prompt, in order
        """
        recall = Recall(parts)
        self._running.add(recall)
        try:
            with recall.scope:
                yield recall
        finally:
            self._running.discard(recall)
            if recall.not_run:
                for _, refused in self._find_refused(parts):
                    refused.drop_trial()

    def record_crash(
        self,
        request_id: str,
        target: str,
        parts: collections.abc.Sequence[str],
        seconds: float,
    ) -> None:
        """Record that a target crashed before it answered a run.

        :param target: name of the target
        :param parts: ids of all parts of the run's prompt, in order
        :param seconds: time from sending the run to the crash
        """
        shared = _shared(parts)
        if shared:
            row = [request_id, target, shared, seconds]
            self._broadcast(METHOD_BROKE, row)
            self._add_crash(request_id, target, shared, seconds)

    def record_answer(self, parts: collections.abc.Sequence[str]) -> None:
        """Record that a target has answered a run.

        :param parts: ids of all parts of the run's prompt, in order
        """
        shared = _shared(parts)
        suspected = [
            part
            for part in shared
            if part in self._refused
            or any(part in run.parts for run in self._runs)
        ]
        self._add_answer(shared)
        if suspected:
            self._broadcast(METHOD_ANSWERED, suspected)

    def _find_refused(
        self, parts: collections.abc.Sequence[str]
    ) -> list[tuple[str, _Refused]]:
        if not self._refused:
            return []
        return [
            (part, self._refused[part])
            for part in _shared(parts)
            if part in self._refused
        ]

    def _trial_delay(self, part: str) -> float:
        """Return how long this host leaves a trial to others, in seconds.

        The first host may get no request with the part, or reach no target.
        """
        hosts = shards.ranked(part, self._hosts())[:MAX_TRIAL_RANK]
        rank = hosts.index(self._host) if self._host in hosts else len(hosts)
        return rank * TRIAL_RANK_SECONDS

    def _broadcast(self, method: str, payload: typing.Any) -> None:
        peer_port.broadcast(self._peers, method, payload, self._audience())

    def _add_crash(
        self,
        request_id: str,
        target: str,
        shared: tuple[str, ...],
        seconds: float,
    ) -> None:
        now = anyio.current_time()
        while self._runs and self._runs[0].at < now - RETENTION_SECONDS:
            self._runs.popleft()
        run = policy.BrokenRun(request_id, target, shared, now - seconds, now)
        self._ends.confirm(target, functools.partial(self._count_crash, run))

    def _count_crash(self, run: policy.BrokenRun, has_ended: bool) -> None:
        """Count a broken run as a crash if its target has ended."""
        if not has_ended:
            return
        now = anyio.current_time()
        refused = [part for part in run.parts if part in self._refused]
        for part in refused:
            if self._refused[part].failures < self._refused[part].trials:
                self._refused[part].add_failure()
        if refused:
            return
        self._runs.append(run)
        cause = policy.find_cause(self._runs, self._answered)
        if cause is not None:
            self._refuse(cause, _Refused(now, 0))
            self._broadcast(METHOD_REFUSED, self._refused_rows())

    def _add_answer(self, shared: collections.abc.Iterable[str]) -> None:
        now = anyio.current_time()
        for part in shared:
            known = self._answered.get(part)
            runs = known.runs + 1 if known else 1
            self._answered[part] = policy.Answered(runs, now)
            self._answered.move_to_end(part)
            if part in self._refused:
                del self._refused[part]
                events.log(events.PART_CLEARED, host=self._host, part=part)
        while len(self._answered) > MAX_PARTS:
            self._answered.popitem(last=False)

    def _refuse(self, part: str, refused: _Refused) -> None:
        """Refuse a part, recall its runs and drop the crashes it explains."""
        self._refused[part] = refused
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        explained = [run for run in self._runs if part in run.parts]
        for broken in explained:
            self._runs.remove(broken)
        self._refused_added.set()
        recalled = [
            run
            for run in self._running
            if part in run.parts and not run.is_answered
        ]
        for run in recalled:
            run.scope.cancel()
        events.log(
            events.PART_REFUSED,
            host=self._host,
            part=part,
            recalled=len(recalled),
            targets=sorted({run.target for run in explained}),
        )

    def _drop_old(self) -> None:
        oldest = anyio.current_time() - REFUSED_SECONDS
        for part, refused in list(self._refused.items()):
            if refused.since < oldest:
                del self._refused[part]

    def _refused_rows(self) -> list[list[typing.Any]]:
        """Return the refused parts for peers, with ages in seconds."""
        now = anyio.current_time()
        return [
            [part, now - refused.since, refused.trials]
            for part, refused in self._refused.items()
        ]

    def _handle_broke(self, peer: str, payload: typing.Any) -> None:
        request_id, target, shared, seconds = payload
        self._add_crash(request_id, target, tuple(shared), seconds)

    def _handle_answered(self, peer: str, payload: typing.Any) -> None:
        self._add_answer(payload)

    def _handle_refused(self, peer: str, payload: typing.Any) -> None:
        now = anyio.current_time()
        for part, age, trials in payload:
            cleared = self._answered.get(part)
            if cleared is not None and cleared.last_at > now - age:
                continue
            if age >= REFUSED_SECONDS or (
                cleared is not None
                and cleared.runs >= policy.MIN_SOUND_RUNS
                and now - cleared.last_at < policy.SOUND_SECONDS
            ):
                continue
            known = self._refused.get(part)
            if known is None:
                self._refuse(part, _Refused(now - age, trials))
            elif known.trials < trials:
                known.set_trials(trials)


def _shared(parts: collections.abc.Sequence[str]) -> tuple[str, ...]:
    """Return the shared parts of a prompt, limited in number and length."""
    return tuple(
        part[:MAX_ID_LENGTH]
        for part in policy.shared_parts(parts)[:MAX_PARTS_OF_PROMPT]
    )
