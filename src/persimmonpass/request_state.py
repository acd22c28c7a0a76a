"""State of an online request on its way through a host."""

import anyio

from persimmonpass import exchange
from persimmonpass.policy import queueing
from persimmonpass import routes
from persimmonpass import verdicts


class RequestState:
    """State of one request on its way.

    :ivar last_id: id of the last event that the caller has
    :ivar started: whether the caller has the head of an answer
    :ivar runs: sends that may have run
    :ivar excluded: targets that have failed it
    :ivar last_event_at: when the last event came, in seconds
    """

    def __init__(
        self,
        call: exchange.Call,
        route: routes.Route,
        service: str,
        caller: exchange.CallerPort,
        started_at: float,
    ) -> None:
        self.call = call
        self.route = route
        self.service = service
        self.caller = caller
        self.started_at = started_at
        allowed = route.timeout_seconds
        if call.deadline_seconds is not None:
            allowed = min(allowed, call.deadline_seconds)
        self.deadline = started_at + allowed
        self.last_id = call.resume_after
        self.started = False
        self.runs = 0
        self.refusals = 0
        self.excluded: set[str] = set()
        self.failure: verdicts.Failure | None = None
        self.first_event_seconds: float | None = None
        self.last_event_at: float | None = None

    @property
    def answer_deadline(self) -> float:
        """When its caller leaves if it has heard nothing, in seconds."""
        if self.started or self.route.kind is not routes.Kind.STREAM:
            return self.deadline
        waits = queueing.first_event_timeout(
            self.route.objective_seconds, self.route.gap_seconds
        )
        return min(self.deadline, self.started_at + waits)

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - anyio.current_time()

    @property
    def can_run_again(self) -> bool:
        """Whether another target may run it."""
        if not self.runs:
            return True
        return self.route.repeatable and self.runs < self.route.max_attempts
