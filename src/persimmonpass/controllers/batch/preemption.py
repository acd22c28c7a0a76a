"""Reports online requests and their delays to each target's coordinator.

The coordinator of a target is the host that owns its name by rendezvous
hashing. Only that host runs batch items on the target, so only it needs the
reports.
"""

import collections
import collections.abc
import contextlib
import typing

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import preemption
from persimmonpass.policy import shards
from persimmonpass.targets import engine
from persimmonpass import verdicts

METHOD_ONLINE = 'batch.online'
REFRESH_SECONDS = 0.2
RESEND_SECONDS = 1.0
ONLINE_EXPIRY_SECONDS = 3.0
START_HOLD_SECONDS = 1.5
MIN_SAMPLE_WEIGHT = 0.02

CallResult = result.Result[typing.Any, verdicts.Failure]


class OnlineReport(typing.NamedTuple):
    """A host's report on its online requests at a target.

    The counts and delays cover the time since the host's previous report.

    :ivar online: number of requests in progress
    :ivar arrival: attempt id of the request that the report announces, or
        empty
    :ivar first_delays: attempt ids of requests with the seconds to their
        first token
    :ivar tokens: number of pieces of text other than first ones, each of
        which counts as one token
    :ivar token_seconds: sum of the delays of these pieces, each counted from
        the piece before it
    :ivar started: number of requests that started
    """

    target: str
    online: int
    arrival: str = ''
    first_delays: list[tuple[str, float]] = []
    tokens: int = 0
    token_seconds: float = 0.0
    started: int = 0


class _LocalRequests:
    """This host's online requests at a target.

    :ivar online: number of requests in progress
    :ivar reported: value of ``online`` in the last report
    :ivar reported_at: local clock at the last report
    """

    def __init__(self) -> None:
        self.online = 0
        self.reported = 0
        self.reported_at = 0.0
        self.first_delays: list[tuple[str, float]] = []
        self.tokens = 0
        self.token_seconds = 0.0
        self.started = 0


class _MovingAverage:
    """A mean in which old samples lose weight.

    It is the plain mean of the first ``1 / MIN_SAMPLE_WEIGHT`` samples and an
    exponential moving average after that.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float, samples: int = 1) -> None:
        """Add a value that is the mean of a number of samples."""
        self.samples += samples
        weight = max(1 / self.samples, MIN_SAMPLE_WEIGHT) * samples
        self.value += (value - self.value) * min(1.0, weight)


class _DelayStats:
    """Delays of online requests, with and without batch streams.

    The load that serves as a key is the bit length of the number of online
    requests, or 0 where only requests to an idle target are measured.

    :ivar baseline: delays without batch streams, by load
    :ivar with_batch: delays with batch streams at the present width, by load
    """

    def __init__(self) -> None:
        self.baseline: dict[int, _MovingAverage] = collections.defaultdict(
            _MovingAverage
        )
        self.with_batch: dict[int, _MovingAverage] = collections.defaultdict(
            _MovingAverage
        )

    def delay(self) -> preemption.Delay:
        """Return the delays at the load with most samples with batch."""
        measured = set(self.baseline) & set(self.with_batch) or set(
            self.baseline
        )
        if not measured:
            return preemption.Delay(0.0, 0, 0.0, 0)
        load = max(measured, key=self._samples_with_batch)
        baseline, with_batch = (
            self.baseline[load],
            self.with_batch.get(load, _MovingAverage()),
        )
        return preemption.Delay(
            baseline.value,
            baseline.samples,
            with_batch.value,
            with_batch.samples,
        )

    def _samples_with_batch(self, load: int) -> int:
        found = self.with_batch.get(load)
        return found.samples if found is not None else 0


class CoordinatedTarget:
    """State of a target at its coordinator.

    :ivar limits: present limits on the number of batch streams
    """

    def __init__(self, now: float) -> None:
        self.limits = preemption.Limits()
        self._started_at = now
        self._online: dict[str, tuple[int, float]] = {}
        self._last_online_at = now
        self._batch_streams = 0
        self._batch_changed_at = now
        self._arrivals: dict[str, int] = {}
        self._shared = _DelayStats()
        self._idle = _DelayStats()
        self._shrunk_at = now - preemption.RECOVER_SECONDS
        self._idle_shrunk_at = self._shrunk_at
        self._idle_share = _MovingAverage()

    def set_batch_streams(self, running: int, now: float) -> None:
        """Set the number of batch streams that run on the target."""
        if running != self._batch_streams:
            self._batch_streams = running
            self._batch_changed_at = now

    def online(self, now: float) -> int:
        """Return the number of online requests that hosts reported.

        A host's report counts for ``ONLINE_EXPIRY_SECONDS``.
        """
        self._online = {
            host: (count, reported_at)
            for host, (count, reported_at) in self._online.items()
            if count and now - reported_at < ONLINE_EXPIRY_SECONDS
        }
        return sum(count for count, _ in self._online.values())

    def width(
        self, now: float, harm_percent: float, is_fully_connected: bool
    ) -> int:
        """Return how many batch streams may run now.

        It is 0 for ``START_HOLD_SECONDS`` after this host became the
        coordinator, since reports may not have arrived yet.

        :param harm_percent: maximum delay of online requests caused by
            batch, in percent
        :param is_fully_connected: whether every live host can send reports
            to this one
        """
        if now - self._started_at < START_HOLD_SECONDS:
            return 0
        online = self.online(now)
        if online:
            self._last_online_at = now
        return preemption.allowed_width(
            self.limits,
            online,
            now - self._last_online_at,
            harm_percent,
            is_fully_connected,
        )

    def apply_report(
        self, host: str, report: OnlineReport, now: float
    ) -> None:
        """Update the state with a host's report."""
        was_idle = self.online(now) == 0
        self._online[host] = report.online, now
        self._last_online_at = now
        is_first = bool(report.arrival) and was_idle
        if is_first:
            self._arrivals[report.arrival] = self._batch_streams
        if report.started:
            self._idle_share.add(is_first / report.started, report.started)
        for arrival, seconds in report.first_delays:
            batch_streams = self._arrivals.pop(arrival, None)
            if batch_streams is not None:
                delays = (
                    self._idle.with_batch
                    if batch_streams
                    else self._idle.baseline
                )
                delays[0].add(seconds)
        is_settled = now - self._batch_changed_at >= 2 * REFRESH_SECONDS
        if report.tokens and is_settled:
            load = self.online(now).bit_length()
            delays = (
                self._shared.with_batch
                if self._batch_streams
                else self._shared.baseline
            )
            mean = report.token_seconds / report.tokens
            delays[load].add(mean, report.tokens)

    def adjust(self, harm_percent: float, now: float) -> None:
        """Adapt the limits to the measured delays.

        :param harm_percent: maximum delay of online requests caused by
            batch, in percent
        """
        while len(self._arrivals) > preemption.MAX_WIDTH:
            self._arrivals.pop(next(iter(self._arrivals)))
        shared = preemption.adjust(
            self.limits.shared,
            self._shared.delay(),
            harm_percent,
            now - self._shrunk_at,
        )
        idle = preemption.adjust_idle(
            self.limits.idle,
            self._idle.delay(),
            harm_percent,
            self._idle_share.value,
            now - self._idle_shrunk_at,
        )
        if shared < self.limits.shared:
            self._shrunk_at = now
        if idle < self.limits.idle:
            self._idle_shrunk_at = now
        if shared != self.limits.shared:
            self._shared.with_batch.clear()
        if idle != self.limits.idle:
            self._idle.with_batch.clear()
        self.limits = preemption.Limits(shared, idle)


class Preemption:
    """Preemption controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        """Create the controller.

        :param host: name of this host
        :param board: targets as this host knows them
        :param peers: calls to the other hosts
        :param live_hosts: returns the hosts that are alive, this one included
        """
        self._host = host
        self._board = board
        self._peers = peers
        self._live_hosts = live_hosts
        self._local: dict[str, _LocalRequests] = {}
        self._coordinated: dict[str, CoordinatedTarget] = {}
        self._listeners: dict[str, collections.abc.Callable[[], None]] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_ONLINE: self._handle_online}

    def coordinator(self, target: str) -> str | None:
        """Return the host that runs batch items on a target.

        :returns: ``None`` if no host is alive
        """
        return shards.owner(f'target/{target}', self._live_hosts())

    def observe(self, engines: engine.EnginePort) -> engine.EnginePort:
        """Wrap a client of engines to report its streams to coordinators.

        :param engines: client for online requests
        """

        async def stream(
            target: blackboard.Target,
            completion: engine.Completion,
            headers: dict[str, str],
        ) -> collections.abc.AsyncGenerator[engine.PieceResult, None]:
            local = self._start_request(target.name, completion.attempt)
            sent_at = last_at = anyio.current_time()
            is_first = True
            try:
                pieces = engines.stream(target, completion, headers)
                async with contextlib.aclosing(pieces):
                    async for piece in pieces:
                        now = anyio.current_time()
                        if isinstance(piece, result.Ok):
                            if is_first:
                                delay = now - sent_at
                                local.first_delays.append(
                                    (completion.attempt, delay)
                                )
                            elif piece.ok_value.finish_reason is None:
                                local.tokens += 1
                                local.token_seconds += now - last_at
                            is_first, last_at = False, now
                        yield piece
            finally:
                local.online -= 1

        return engines._replace(stream=stream)

    async def run(self) -> None:
        """Report ended requests and measured delays until cancelled."""
        while True:
            for target, local in list(self._local.items()):
                self._refresh(target, local)
            await anyio.sleep(REFRESH_SECONDS)

    def start(
        self, target: str, listener: collections.abc.Callable[[], None]
    ) -> CoordinatedTarget:
        """Start to coordinate a target.

        :param listener: called as soon as a report says that online requests
            are in progress
        :returns: the state of the target
        """
        self._listeners[target] = listener
        state = CoordinatedTarget(anyio.current_time())
        self._coordinated[target] = state
        return state

    def stop(self, target: str) -> None:
        """Stop coordinating a target."""
        self._listeners.pop(target, None)
        self._coordinated.pop(target, None)

    def is_fully_connected(self) -> bool:
        """Return whether there is a link to every live host."""
        others = set(self._live_hosts()) - {self._host}
        return others <= set(self._peers.connected())

    def _start_request(self, target: str, attempt: str) -> _LocalRequests:
        """Count an online request and report it before it is sent."""
        local = self._local.setdefault(target, _LocalRequests())
        local.online += 1
        local.started += 1
        # The coordinator distinguishes numbers of requests by powers of two
        # only, so few requests have to be reported at once.
        if local.online.bit_length() > local.reported.bit_length():
            self._notify_coordinator(target, local, attempt)
        return local

    def _refresh(self, target: str, local: _LocalRequests) -> None:
        """Send a report if it is due or has changed."""
        now = anyio.current_time()
        is_due = local.online and now - local.reported_at >= RESEND_SECONDS
        if (
            is_due
            or local.online != local.reported
            or local.tokens
            or local.first_delays
        ):
            self._notify_coordinator(target, local)
        elif not local.online:
            del self._local[target]

    def _notify_coordinator(
        self, target: str, local: _LocalRequests, arrival: str = ''
    ) -> None:
        report = OnlineReport(
            target,
            local.online,
            arrival,
            local.first_delays,
            local.tokens,
            local.token_seconds,
            local.started,
        )
        local.reported, local.reported_at = local.online, anyio.current_time()
        local.first_delays, local.tokens = [], 0
        local.token_seconds, local.started = 0.0, 0
        coordinator = self.coordinator(target)
        if coordinator == self._host:
            self._apply_report(self._host, report)
        elif coordinator is not None:
            self._peers.notify(coordinator, METHOD_ONLINE, list(report))

    async def _handle_online(
        self, peer: str, payload: typing.Any
    ) -> CallResult:
        self._apply_report(peer, OnlineReport(*payload))
        return result.Ok(None)

    def _apply_report(self, host: str, report: OnlineReport) -> None:
        state = self._coordinated.get(report.target)
        if state is None:
            return
        state.apply_report(host, report, anyio.current_time())
        if report.online:
            self._listeners[report.target]()
