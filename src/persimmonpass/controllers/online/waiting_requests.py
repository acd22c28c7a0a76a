"""Requests that wait for a slot in the queue of a host."""

import collections
import collections.abc

import anyio

from persimmonpass import blackboard
from persimmonpass.policy import queueing


class WaitingRequest:
    """A request in the queue and the target that was assigned to it.

    :ivar services: services that may serve it; one serves it only while those
        before it have no usable target
    """

    def __init__(
        self,
        services: tuple[str, ...],
        queued: queueing.QueuedRequest,
        excluded: collections.abc.Sequence[str],
        software: str | None,
    ) -> None:
        self.services = services
        self.queued = queued
        self.excluded = excluded
        self.queued_at = anyio.current_time()
        self.software = software
        self.placed = anyio.Event()
        self.target: blackboard.Target | None = None

    @property
    def service(self) -> str:
        """The service in whose queue it waits."""
        return self.services[0]

    @property
    def may_use_any_target(self) -> bool:
        """Whether each target of its services may serve the request."""
        return not self.excluded and self.software is None


def count_by_account(
    requests: collections.abc.Iterable[WaitingRequest],
) -> dict[str, int]:
    """Return how many requests of each account wait."""
    return collections.Counter(
        row.queued.account for row in requests if row.queued.account
    )


def count_newer(
    requests: collections.abc.Iterable[WaitingRequest],
    request: WaitingRequest,
) -> int:
    """Return how many requests of an account wait from this one on.

    :param request: one of the requests
    """
    return sum(
        row.queued.arrived_at >= request.queued.arrived_at
        for row in requests
        if row.service == request.service
        and row.queued.account == request.queued.account
    )
