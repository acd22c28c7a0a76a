"""Tells each target's coordinator of online requests, and measures them.

The coordinator of a target is the host that owns its name by rendezvous
hashing. Only it runs batch items there, so only it has to know.
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
FORGET_SECONDS = 3.0
START_HOLD_SECONDS = 1.5
WEIGHT = 0.02

Ask = result.Result[typing.Any, verdicts.Failure]


class Notice(typing.NamedTuple):
    """What a host tells of its online requests at a target.

    :ivar online: requests in progress
    :ivar arrival: id of the request that the notice announces, or empty
    :ivar first: announced requests with the time to their first token
    :ivar tokens: tokens in the window, without first ones
    :ivar token_seconds: their summed delay
    :ivar begun: requests that began in the window
    """

    target: str
    online: int
    arrival: str = ''
    first: list[tuple[str, float]] = []
    tokens: int = 0
    token_seconds: float = 0.0
    begun: int = 0


class _Local:
    """This host's online requests at a target."""

    def __init__(self) -> None:
        self.online = 0
        self.told = 0
        self.told_at = 0.0
        self.first: list[tuple[str, float]] = []
        self.tokens = 0
        self.token_seconds = 0.0
        self.begun = 0


class _Mean:
    """A running mean that forgets."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float, samples: int = 1) -> None:
        """Add a value that stands for a number of samples."""
        self.samples += samples
        weight = max(1 / self.samples, WEIGHT) * samples
        self.value += (value - self.value) * min(1.0, weight)


class _Width:
    """Delays measured without batch streams and beside them.

    :ivar alone: without, by the load of online requests
    :ivar beside: with the present width
    """

    def __init__(self) -> None:
        self.alone: dict[int, _Mean] = collections.defaultdict(_Mean)
        self.beside: dict[int, _Mean] = collections.defaultdict(_Mean)

    def delay(self) -> preemption.Delay:
        """Return the delays at the load that was measured most."""
        measured = set(self.alone) & set(self.beside) or set(self.alone)
        if not measured:
            return preemption.Delay(0.0, 0, 0.0, 0)
        load = max(measured, key=self._samples_beside)
        alone, beside = self.alone[load], self.beside.get(load, _Mean())
        return preemption.Delay(
            alone.value, alone.samples, beside.value, beside.samples
        )

    def _samples_beside(self, load: int) -> int:
        found = self.beside.get(load)
        return found.samples if found is not None else 0


class Coordinated:
    """What the coordinator knows of a target.

    :ivar limits: the present widths
    """

    def __init__(self, now: float) -> None:
        self.limits = preemption.Limits()
        self._started_at = now
        self._online: dict[str, tuple[int, float]] = {}
        self._ended_at = now
        self._batch = 0
        self._batch_changed_at = now
        self._arrivals: dict[str, int] = {}
        self._shared = _Width()
        self._idle = _Width()
        self._shrunk_at = now - preemption.RECOVER_SECONDS
        self._idle_shrunk_at = self._shrunk_at
        self._idle_share = _Mean()

    def set_batch(self, running: int, now: float) -> None:
        """Note the number of batch streams."""
        if running != self._batch:
            self._batch = running
            self._batch_changed_at = now

    def online(self, now: float) -> int:
        """Return the online requests that hosts told of lately."""
        self._online = {
            host: (count, told_at)
            for host, (count, told_at) in self._online.items()
            if count and now - told_at < FORGET_SECONDS
        }
        return sum(count for count, _ in self._online.values())

    def width(self, now: float, harm_percent: float, is_certain: bool) -> int:
        """Return how many batch streams may run now."""
        if now - self._started_at < START_HOLD_SECONDS:
            return 0
        online = self.online(now)
        if online:
            self._ended_at = now
        return preemption.allowed_width(
            self.limits,
            online,
            now - self._ended_at,
            harm_percent,
            is_certain,
        )

    def take(self, host: str, notice: Notice, now: float) -> None:
        """Take a host's notice."""
        was_idle = self.online(now) == 0
        self._online[host] = notice.online, now
        self._ended_at = now
        is_first = bool(notice.arrival) and was_idle
        if is_first:
            self._arrivals[notice.arrival] = self._batch
        if notice.begun:
            self._idle_share.add(is_first / notice.begun, notice.begun)
        for arrival, seconds in notice.first:
            beside = self._arrivals.pop(arrival, None)
            if beside is not None:
                side = self._idle.beside if beside else self._idle.alone
                side[0].add(seconds)
        settled = now - self._batch_changed_at >= 2 * REFRESH_SECONDS
        if notice.tokens and settled:
            load = self.online(now).bit_length()
            side = self._shared.beside if self._batch else self._shared.alone
            mean = notice.token_seconds / notice.tokens
            side[load].add(mean, notice.tokens)

    def adjust(self, harm_percent: float, now: float) -> None:
        """Adapt the widths to what was measured."""
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
            self._shared.beside.clear()
        if idle != self.limits.idle:
            self._idle.beside.clear()
        self.limits = preemption.Limits(shared, idle)


class Preemption:
    """The preemption controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._board = board
        self._peers = peers
        self._live_hosts = live_hosts
        self._local: dict[str, _Local] = {}
        self._coordinated: dict[str, Coordinated] = {}
        self._listeners: dict[str, collections.abc.Callable[[], None]] = {}

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_ONLINE: self._take_online}

    def coordinator(self, target: str) -> str | None:
        """Return the host that runs batch items on a target."""
        return shards.owner(f'target/{target}', self._live_hosts())

    def observe(self, engines: engine.EnginePort) -> engine.EnginePort:
        """Return engines whose streams are told to the coordinators."""

        async def stream(
            target: blackboard.Target,
            completion: engine.Completion,
            headers: dict[str, str],
        ) -> collections.abc.AsyncGenerator[engine.PieceResult, None]:
            local = self._begin(target.name, completion.attempt)
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
                                local.first.append((completion.attempt, delay))
                            elif piece.ok_value.finish_reason is None:
                                local.tokens += 1
                                local.token_seconds += now - last_at
                            is_first, last_at = False, now
                        yield piece
            finally:
                local.online -= 1

        return engines._replace(stream=stream)

    async def run(self) -> None:
        """Tell the coordinators of what ended and was measured, for ever."""
        while True:
            for target, local in list(self._local.items()):
                self._refresh(target, local)
            await anyio.sleep(REFRESH_SECONDS)

    def start(
        self, target: str, listener: collections.abc.Callable[[], None]
    ) -> Coordinated:
        """Begin to coordinate a target.

        :param listener: called at once when online requests arrive
        """
        self._listeners[target] = listener
        state = Coordinated(anyio.current_time())
        self._coordinated[target] = state
        return state

    def stop(self, target: str) -> None:
        """Coordinate a target no more."""
        self._listeners.pop(target, None)
        self._coordinated.pop(target, None)

    def is_certain(self) -> bool:
        """Whether notices of every live host can reach this one."""
        others = set(self._live_hosts()) - {self._host}
        return others <= set(self._peers.connected())

    def _begin(self, target: str, attempt: str) -> _Local:
        """Tell of an online request before it is sent."""
        local = self._local.setdefault(target, _Local())
        local.online += 1
        local.begun += 1
        # The coordinator acts on powers of two, so few requests need a
        # notice of their own.
        if local.online.bit_length() > local.told.bit_length():
            self._tell(target, local, attempt)
        return local

    def _refresh(self, target: str, local: _Local) -> None:
        now = anyio.current_time()
        is_due = local.online and now - local.told_at >= RESEND_SECONDS
        if is_due or local.online != local.told or local.tokens or local.first:
            self._tell(target, local)
        elif not local.online:
            del self._local[target]

    def _tell(self, target: str, local: _Local, arrival: str = '') -> None:
        notice = Notice(
            target,
            local.online,
            arrival,
            local.first,
            local.tokens,
            local.token_seconds,
            local.begun,
        )
        local.told, local.told_at = local.online, anyio.current_time()
        local.first, local.tokens = [], 0
        local.token_seconds, local.begun = 0.0, 0
        coordinator = self.coordinator(target)
        if coordinator == self._host:
            self._take(self._host, notice)
        elif coordinator is not None:
            self._peers.notify(coordinator, METHOD_ONLINE, list(notice))

    async def _take_online(self, peer: str, payload: typing.Any) -> Ask:
        self._take(peer, Notice(*payload))
        return result.Ok(None)

    def _take(self, host: str, notice: Notice) -> None:
        state = self._coordinated.get(notice.target)
        if state is None:
            return
        state.take(host, notice, anyio.current_time())
        if notice.online:
            self._listeners[notice.target]()
