"""Enforces rate and concurrency limits of client accounts and services."""

import collections
import typing

import anyio
import result

from persimmonpass.controllers.online import online_requests
from persimmonpass import objects
from persimmonpass.policy import admission
from persimmonpass import verdicts

MAX_IDLE_LIMITERS = 1_000


class _Limiter:
    """Requests and tokens of one account or service."""

    def __init__(self, limits: objects.Limits) -> None:
        now = anyio.current_time()
        self.limits = limits
        self.bucket = admission.Bucket(limits.burst, now)
        self.running = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()
        self.mean_seconds = 0.0

    @property
    def load(self) -> admission.Load:
        """Requests that count towards the concurrency limit."""
        return admission.Load(
            self.running,
            len(self.waiting),
            self.limits.concurrency,
            self.mean_seconds,
        )


class Permit(typing.NamedTuple):
    """Permission to run one request, which has to be returned.

    :ivar started: local clock at its grant, in seconds
    """

    limiters: list[typing.Any]
    started: float


class Admission:
    """Limits on the requests that this host serves."""

    def __init__(self) -> None:
        self._limiters: dict[str, _Limiter] = {}

    async def acquire(
        self,
        online: online_requests.OnlineRequest,
        deadline: online_requests.Deadline,
    ) -> result.Result[Permit, verdicts.Failure]:
        """Admit a request, if necessary after a wait in the queue.

        :returns: a permit to be returned by :meth:`release`, or at once a
            failure if the request would not finish within its deadline
        """
        named = (
            (f'account {online.name.account!r}', online.account_limits),
            (f'service {online.service!r}', online.spec.limits),
        )
        acquired: list[typing.Any] = []
        for name, limits in named:
            limiter = self._get_limiter(name, limits)
            failure = await self._acquire_one(
                name, limiter, acquired, deadline
            )
            if failure is not None:
                for earlier in acquired:
                    _release_slot(earlier)
                return result.Err(failure)
            acquired.append(limiter)
        return result.Ok(Permit(acquired, anyio.current_time()))

    def release(self, permit: Permit, *, answered: bool) -> None:
        """Return a permit and admit the next request in the queue.

        :param answered: whether the request ran to its end, so that its
            duration counts towards the mean
        """
        seconds = anyio.current_time() - permit.started
        for limiter in permit.limiters:
            if answered:
                limiter.mean_seconds = admission.smooth(
                    limiter.mean_seconds, seconds
                )
            _release_slot(limiter)

    async def _acquire_one(
        self,
        name: str,
        limiter: _Limiter,
        acquired: list[typing.Any],
        deadline: online_requests.Deadline,
    ) -> verdicts.Failure | None:
        limits = limiter.limits
        taken = admission.take_token(
            limiter.bucket,
            anyio.current_time(),
            limits.rate_per_second,
            limits.burst,
        )
        limiter.bucket = taken.bucket
        if taken.wait_seconds:
            return online_requests.limited(name, taken.wait_seconds)
        load = limiter.load
        if not admission.meets_deadline(load, deadline.left):
            wait = admission.expected_wait(load)
            return online_requests.limited(name, wait)
        if load.running < load.concurrency and not load.waiting:
            limiter.running += 1
            return None
        try:
            return await self._wait(name, limiter, deadline)
        except BaseException:
            for earlier in acquired:
                _release_slot(earlier)
            raise

    async def _wait(
        self, name: str, limiter: _Limiter, deadline: online_requests.Deadline
    ) -> verdicts.Failure | None:
        """Wait in the queue for a slot while the deadline can be met."""
        slot_granted = anyio.Event()
        limiter.waiting.append(slot_granted)
        in_time = False
        try:
            with anyio.move_on_after(deadline.left - limiter.mean_seconds):
                await slot_granted.wait()
                in_time = True
        finally:
            if not in_time:
                _withdraw(limiter, slot_granted)
        if in_time:
            return None
        wait = admission.expected_wait(limiter.load)
        return online_requests.limited(name, wait)

    def _get_limiter(self, name: str, limits: objects.Limits) -> _Limiter:
        limiter = self._limiters.get(name)
        if limiter is None:
            if len(self._limiters) >= MAX_IDLE_LIMITERS:
                self._drop_idle()
            limiter = self._limiters[name] = _Limiter(limits)
        limiter.limits = limits
        return limiter

    def _drop_idle(self) -> None:
        self._limiters = {
            name: limiter
            for name, limiter in self._limiters.items()
            if limiter.running or limiter.waiting
        }


def _release_slot(limiter: _Limiter) -> None:
    """Release a slot and grant it to the request that waits longest."""
    limiter.running -= 1
    while limiter.waiting and limiter.running < limiter.limits.concurrency:
        limiter.running += 1
        limiter.waiting.popleft().set()


def _withdraw(limiter: _Limiter, slot_granted: anyio.Event) -> None:
    """Leave the queue, or release a slot that was granted too late."""
    if slot_granted.is_set():
        _release_slot(limiter)
    else:
        limiter.waiting.remove(slot_granted)
