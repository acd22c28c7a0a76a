"""Holds accounts and services to their limits."""

import collections
import typing

import anyio
import result

from persimmonpass.controllers import online_requests
from persimmonpass import objects
from persimmonpass.policy import admission
from persimmonpass import verdicts

MAX_IDLE_GATES = 1_000


class _Gate:
    """State behind the limits of one account or service."""

    def __init__(self, limits: objects.Limits) -> None:
        now = anyio.current_time()
        self.limits = limits
        self.bucket = admission.Bucket(limits.burst, now)
        self.running = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()
        self.mean_seconds = 0.0

    @property
    def load(self) -> admission.Load:
        """Work behind the limit."""
        return admission.Load(
            self.running,
            len(self.waiting),
            self.limits.concurrency,
            self.mean_seconds,
        )


class Permit(typing.NamedTuple):
    """Leave to run one request, to be given back."""

    gates: list[typing.Any]
    started: float


class Admission:
    """Limits on the requests of this host."""

    def __init__(self) -> None:
        self._gates: dict[str, _Gate] = {}

    async def acquire(
        self,
        online: online_requests.OnlineRequest,
        deadline: online_requests.Deadline,
    ) -> result.Result[Permit, verdicts.Failure]:
        """Admit a request, perhaps after a while in the queue.

        :returns: a permit for :meth:`leave`, or at once a failure if the
            request would not end within its deadline
        """
        named = (
            (f'account {online.name.account!r}', online.account_limits),
            (f'service {online.service!r}', online.spec.limits),
        )
        entered: list[typing.Any] = []
        for name, limits in named:
            gate = self._gate(name, limits)
            failure = await self._pass(name, gate, entered, deadline)
            if failure is not None:
                for earlier in entered:
                    _free(earlier)
                return result.Err(failure)
            entered.append(gate)
        return result.Ok(Permit(entered, anyio.current_time()))

    def release(self, permit: Permit, *, answered: bool) -> None:
        """Give a permit back and let the next request in.

        :param answered: whether the duration is that of a whole request
        """
        seconds = anyio.current_time() - permit.started
        for gate in permit.gates:
            if answered:
                gate.mean_seconds = admission.smooth(
                    gate.mean_seconds, seconds
                )
            _free(gate)

    async def _pass(
        self,
        name: str,
        gate: _Gate,
        entered: list[typing.Any],
        deadline: online_requests.Deadline,
    ) -> verdicts.Failure | None:
        limits = gate.limits
        taken = admission.take_token(
            gate.bucket,
            anyio.current_time(),
            limits.rate_per_second,
            limits.burst,
        )
        gate.bucket = taken.bucket
        if taken.wait_seconds:
            return online_requests.limited(name, taken.wait_seconds)
        load = gate.load
        if not admission.meets_deadline(load, deadline.left):
            wait = admission.expected_wait(load)
            return online_requests.limited(name, wait)
        if load.running < load.concurrency and not load.waiting:
            gate.running += 1
            return None
        try:
            return await self._wait(name, gate, deadline)
        except BaseException:
            for earlier in entered:
                _free(earlier)
            raise

    async def _wait(
        self, name: str, gate: _Gate, deadline: online_requests.Deadline
    ) -> verdicts.Failure | None:
        """Queue until there is room or the deadline cannot be met."""
        turn = anyio.Event()
        gate.waiting.append(turn)
        in_time = False
        try:
            with anyio.move_on_after(deadline.left - gate.mean_seconds):
                await turn.wait()
                in_time = True
        finally:
            if not in_time:
                _withdraw(gate, turn)
        if in_time:
            return None
        wait = admission.expected_wait(gate.load)
        return online_requests.limited(name, wait)

    def _gate(self, name: str, limits: objects.Limits) -> _Gate:
        gate = self._gates.get(name)
        if gate is None:
            if len(self._gates) >= MAX_IDLE_GATES:
                self._drop_idle()
            gate = self._gates[name] = _Gate(limits)
        gate.limits = limits
        return gate

    def _drop_idle(self) -> None:
        self._gates = {
            name: gate
            for name, gate in self._gates.items()
            if gate.running or gate.waiting
        }


def _free(gate: _Gate) -> None:
    """Hand a place to the request that waits longest."""
    gate.running -= 1
    while gate.waiting and gate.running < gate.limits.concurrency:
        gate.running += 1
        gate.waiting.popleft().set()


def _withdraw(gate: _Gate, turn: anyio.Event) -> None:
    """Leave the queue, or give back a place that came too late."""
    if turn.is_set():
        _free(gate)
    else:
        gate.waiting.remove(turn)
