"""State of an online request on its way through a host."""

import anyio

from persimmonpass import exchange
from persimmonpass.policy import waiting
from persimmonpass import routes
from persimmonpass import verdicts


class RequestState:
    """State of one request on its way.

    :ivar last_id: id of the last event that the caller has
    :ivar started: whether the caller has the head of an answer
    :ivar runs: sends that may have run
    :ivar excluded: targets that have failed it
    :ivar event_at: when the last event came, in seconds
    """

    def __init__(
        self,
        call: exchange.Call,
        route: routes.Route,
        service: str,
        caller: exchange.CallerPort,
        began: float,
    ) -> None:
        self.call = call
        self.route = route
        self.service = service
        self.caller = caller
        self.began = began
        allowed = route.timeout_seconds
        if call.deadline_seconds is not None:
            allowed = min(allowed, call.deadline_seconds)
        self.deadline = began + allowed
        self.last_id = call.resume_after
        self.started = False
        self.runs = 0
        self.refusals = 0
        self.excluded: set[str] = set()
        self.failure: verdicts.Failure | None = None
        self.first_seconds: float | None = None
        self.event_at: float | None = None

    @property
    def answer_by(self) -> float:
        """When its caller leaves if it has heard nothing, in seconds."""
        if self.started or self.route.kind is not routes.Kind.STREAM:
            return self.deadline
        waits = waiting.patience(
            self.route.objective_seconds, self.route.gap_seconds
        )
        return min(self.deadline, self.began + waits)

    @property
    def left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - anyio.current_time()

    @property
    def may_run_again(self) -> bool:
        """Whether another target may run it."""
        if not self.runs:
            return True
        return self.route.repeatable and self.runs < self.route.max_attempts
