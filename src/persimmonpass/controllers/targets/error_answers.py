"""Counts the errors that targets answer with, at this host and its peers.

An error is an answer like any other for its caller. It says of its target that
the next request may end there too, so hosts notify each other of errors at
once: otherwise each of them would pay for the same lesson.
"""

import anyio

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import error_answers as policy
from persimmonpass.policy import shards

METHOD_ERRORS = 'targets.errors'
# The first error is sent at once, further ones together after this time. A
# target that fails at once gets several requests a millisecond apart.
COALESCE_SECONDS = 0.005
# Scores fade; this is how soon a target changes its standing for it.
REFRESH_SECONDS = 0.05


class ErrorAnswers:
    """Standing of the targets by their error answers."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        peers: peer_port.PeerPort,
        audience: peer_port.Audience = peer_port.all_hosts,
    ) -> None:
        """Create an empty record.

        :param audience: returns the hosts that serve callers
        """
        self._host = host
        self._board = board
        self._peers = peers
        self._audience = audience
        # Targets that have answered with an error.
        self._records: dict[str, policy.Record] = {}
        # Targets that are not ordinary, at the last refresh.
        self._standings: dict[str, policy.Standing] = {}
        # Errors and successes that peers were not told of, by target.
        self._unsent: dict[str, list[int]] = {}
        self._sent_at = -COALESCE_SECONDS
        self._has_errors = anyio.Event()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_ERRORS: peer_port.NoticeHandler(self._handle_errors)}

    @property
    def held_count(self) -> int:
        """Number of targets that do not stand as ordinary."""
        return len(self._standings)

    def standing(self, target: str) -> policy.Standing:
        """Return which requests a target may get from this host.

        One host tries a target, so that its errors reach one caller.
        """
        found = self._standings.get(target, policy.Standing.ORDINARY)
        if found is policy.Standing.TRIAL and not self._tries(target):
            return policy.Standing.HELD
        return found

    def record_answer(self, target: str, *, is_error: bool) -> None:
        """Record an answer of a target that ran the request.

        :param target: name of the target
        """
        if not is_error and target not in self._records:
            # Without errors there is nothing to weigh.
            return
        unsent = self._unsent.setdefault(target, [0, 0])
        unsent[0 if is_error else 1] += 1
        self._add(target, int(is_error), int(not is_error))
        if is_error or target in self._standings:
            self._has_errors.set()
            if anyio.current_time() - self._sent_at >= COALESCE_SECONDS:
                self._send()

    def retract_error(self, target: str) -> None:
        """Take back an error: another target gave it for the request too.

        :param target: name of the target
        """
        record = self._records.get(target)
        if record is None:
            return
        self._records[target] = policy.without_error(
            record, self._share_beside(target)
        )
        unsent = self._unsent.setdefault(target, [0, 0])
        unsent[0] -= 1
        self._refresh()

    async def run(self) -> None:
        """Let standings fade and send what is unsent, until cancelled."""
        while True:
            if not self._standings and not self._has_unsent_errors():
                self._has_errors = anyio.Event()
                await self._has_errors.wait()
            if self._has_unsent_errors():
                await anyio.sleep(COALESCE_SECONDS)
                self._send()
            else:
                await anyio.sleep(REFRESH_SECONDS)
            self._drop_unlisted()
            self._refresh()

    def forget(self, target: str) -> None:
        """Forget a target that has started again.

        :param target: name of the target
        """
        self._records.pop(target, None)
        self._unsent.pop(target, None)
        self._refresh()

    def _tries(self, target: str) -> bool:
        """Return whether this host is the one that tries a target."""
        audience = self._audience()
        hosts = [
            host
            for host in (self._host, *self._peers.connected())
            if peer_port.includes(audience, host)
        ]
        return shards.owner(target, hosts) == self._host

    def _has_unsent_errors(self) -> bool:
        return any(errors for errors, _ in self._unsent.values())

    def _send(self) -> None:
        """Notify peers of the errors, and of successes beside errors."""
        rows = [
            [name, *counts]
            for name, counts in self._unsent.items()
            if counts[0] or name in self._standings
        ]
        for name, *_ in rows:
            del self._unsent[name]
        self._sent_at = anyio.current_time()
        if rows:
            peer_port.broadcast(
                self._peers, METHOD_ERRORS, rows, self._audience()
            )

    def _handle_errors(self, peer: str, payload: list[list]) -> None:
        for name, errors, successes in payload:
            if errors >= 0:
                self._add(name, errors, successes)
            elif name in self._records:
                self._records[name] = policy.without_error(
                    self._records[name], self._share_beside(name)
                )
                self._refresh()
        self._has_errors.set()

    def _add(self, target: str, errors: int, successes: int) -> None:
        now = anyio.current_time()
        record = self._records.get(target, policy.Record(at=now))
        self._records[target] = policy.with_answers(
            record, errors, successes, self._share_beside(target), now
        )
        if errors or record.score:
            self._refresh()

    def _share_beside(self, target: str) -> float:
        """Return the share of errors that a target's service gives."""
        row = self._board.targets.get(target)
        names = [] if row is None else self._names_of(row.service)
        return self._ordinary_share(names)

    def _ordinary_share(self, names: list[str]) -> float:
        now = anyio.current_time()
        return policy.ordinary_share(
            [
                policy.faded(self._records[name], now)
                for name in names
                if name in self._records
            ],
            len(names),
        )

    def _names_of(self, service: str) -> list[str]:
        return [
            row.name
            for row in self._board.targets.rows()
            if row.service == service and not row.leaving
        ]

    def _drop_unlisted(self) -> None:
        for name in list(self._records):
            if name not in self._board.targets:
                del self._records[name]
                self._unsent.pop(name, None)

    def _refresh(self) -> None:
        """Update the standings to the present scores."""
        now = anyio.current_time()
        by_service: dict[str, dict[str, float]] = {}
        for name, record in self._records.items():
            row = self._board.targets.get(name)
            if record.score and row is not None:
                score = policy.faded(record, now).score
                by_service.setdefault(row.service, {})[name] = score
        before, self._standings = self._standings, {}
        for service, scores in by_service.items():
            if max(scores.values()) >= policy.TRIAL_SCORE:
                names = self._names_of(service)
                self._standings |= policy.standings(
                    scores, len(names), self._ordinary_share(names)
                )
        for name in before.keys() | self._standings.keys():
            self._log(name, before.get(name), self._standings.get(name))

    def _log(
        self,
        target: str,
        before: policy.Standing | None,
        after: policy.Standing | None,
    ) -> None:
        is_held = after is policy.Standing.HELD
        if is_held == (before is policy.Standing.HELD):
            return
        record = self._records.get(target, policy.Record())
        events.log(
            events.TARGET_HELD_BACK if is_held else events.TARGET_ON_TRIAL,
            host=self._host,
            target=target,
            errors=round(record.errors, 1),
            answers=round(record.answers, 1),
        )
