"""Holds the state of an online request while a host serves it."""

import anyio

from persimmonpass import exchange
from persimmonpass.policy import queueing
from persimmonpass.policy import stream_versions
from persimmonpass import routes
from persimmonpass import verdicts


class RequestState:
    """State of one request between its arrival and its answer.

    :ivar started_at: local clock at the arrival, in seconds
    :ivar deadline: local clock at the deadline, in seconds
    :ivar sent_at: local clock when it was last sent to a target, in seconds
    :ivar last_id: id of the last event that was sent to the caller; ``None``
        before the first and if it has none
    :ivar started: whether the head of the answer was sent to the caller
    :ivar runs: attempts that may have run at a target
    :ivar refusals: attempts that a target refused
    :ivar refused_by: targets that refused it, once for each refusal
    :ivar pause_seconds: how long it waits before it is sent again
    :ivar excluded: targets that have failed the request, in order
    :ivar errors_at: targets that answered it with an error, in order
    :ivar failure: reason of the last failed attempt
    :ivar first_event_seconds: time from the arrival to the first event
    :ivar last_event_at: local clock at the last event, in seconds
    :ivar origin: software that produced the events which the caller has;
        ``None`` before the first event
    :ivar tokens: tokens taken from the limit of the request's account
    :ivar may_run: whether a send is in progress or was answered
    :ivar is_waiting: whether it waits for its target, and nothing is passed on
    :ivar is_answered: whether the whole answer of a target was passed on
    :ivar event_due_at: local clock from which on its next event is late, in
        seconds
    """

    def __init__(
        self,
        call: exchange.Call,
        route: routes.Route,
        caller: exchange.CallerPort,
        started_at: float,
    ) -> None:
        self.call = call
        self.route = route
        self.caller = caller
        self.started_at = started_at
        allowed = route.timeout_seconds
        if call.deadline_seconds is not None:
            allowed = min(allowed, call.deadline_seconds)
        self.deadline = started_at + allowed
        self.sent_at = started_at
        self.last_id = call.resume_after
        self.started = False
        self.runs = 0
        self.refusals = 0
        self.refused_by: list[str] = []
        self.pause_seconds = 0.0
        self.excluded: list[str] = []
        self.errors_at: list[str] = []
        self.failure: verdicts.Failure | None = None
        self.first_event_seconds: float | None = None
        self.last_event_at: float | None = None
        self.origin: stream_versions.Origin | None = None
        self.tokens = 0
        self.may_run = False
        self.is_waiting = False
        self.is_answered = False
        self.event_due_at = started_at

    @property
    def services(self) -> tuple[str, ...]:
        """Services that may serve it, in the order in which they are tried."""
        if self.origin is not None:
            return (self.origin.service,)
        return routes.order_services(self.route, self.call.id)

    @property
    def answer_deadline(self) -> float:
        """Local clock until which the caller needs a first event, in seconds.

        It is the deadline if a part of the answer was already sent, and for
        routes without streaming.
        """
        if self.started or self.route.kind is not routes.Kind.STREAM:
            return self.deadline
        timeout = queueing.first_event_timeout(
            self.route.objective_seconds, self.route.gap_seconds
        )
        return min(self.deadline, self.started_at + timeout)

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline, in seconds."""
        return self.deadline - anyio.current_time()

    @property
    def can_run_again(self) -> bool:
        """Whether the request may be sent to another target.

        A stream cannot go on after an event without an id.
        """
        if not self.runs:
            return True
        if self.started and self.last_id is None:
            return False
        return self.route.repeatable and self.runs < self.route.max_attempts
