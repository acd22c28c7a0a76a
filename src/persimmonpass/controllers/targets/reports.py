"""Keeps the table of targets' loads up to date.

Only the coordinator of a target polls it and sends the reports to the other
hosts in batches. If the reports stop, the host that ranks second polls too.
"""

import collections.abc
import random
import typing

import anyio
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass.controllers.fleet import coordinators
from persimmonpass.peers import port as peer_port
from persimmonpass.targets import engine
from persimmonpass import verdicts

METHOD_REPORTS = 'targets.reports'
REPORT_SECONDS = 1.0
REFRESH_SECONDS = 3.0
STALE_SECONDS = 3.0
MAX_REPORTS_PER_NOTICE = 500


class ReportRow(typing.NamedTuple):
    """One target's report, as sent to a peer.

    :ivar running: requests in progress
    :ivar pending_tokens: tokens still to produce
    :ivar age_seconds: seconds since the report arrived at the sender; an age
        is sent because the clocks of hosts may differ
    """

    name: str
    address: str
    running: int
    pending_tokens: int
    models: tuple[str, ...]
    age_seconds: float


class Reports:
    """Polls the targets that one host coordinates and exchanges reports."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        engines: engine.EnginePort,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._board = board
        self._engines = engines
        self._peers = peers
        self._coordinators = coordinators.Coordinators(live_hosts)
        self._sent: dict[str, tuple[typing.Any, float]] = {}
        self._connected: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {METHOD_REPORTS: self._handle_reports}

    async def run(self) -> None:
        """Poll targets and send their reports until cancelled."""
        while True:
            rows = self._board.targets.rows()
            engines = [row for row in rows if row.kind == 'engine']
            self._coordinators.refresh([row.name for row in engines])
            polled = [row for row in engines if self._should_poll(row.name)]
            async with anyio.create_task_group() as tasks:
                for target in polled:
                    tasks.start_soon(self._poll, target)
            self._send([target.name for target in polled])
            await anyio.sleep(REPORT_SECONDS)

    def _should_poll(self, name: str) -> bool:
        """Return whether this host should poll a target."""
        ranked = self._coordinators.first(name)
        if not ranked or ranked[0] == self._host:
            return True
        return self._host in ranked and self._age(name) > STALE_SECONDS

    def _age(self, name: str) -> float:
        """Return the seconds since a target's last report."""
        load = self._board.loads.get(name)
        if load is None:
            return float('inf')
        return anyio.current_time() - load.report_time

    async def _poll(self, target: blackboard.Target) -> None:
        reported = await self._engines.report(target)
        if isinstance(reported, result.Err):
            return
        report = reported.ok_value
        self._put(
            target.name,
            target.address,
            blackboard.Load(
                report.running,
                report.pending_tokens,
                anyio.current_time(),
                tuple(report.models),
            ),
        )

    def _put(self, name: str, address: str, load: blackboard.Load) -> None:
        """Store a report if it is newer and its target has not changed.

        A target of the same name at another address is another target.
        """
        target = self._board.targets.get(name)
        if target is None or target.address != address:
            return
        present = self._board.loads.get(name)
        if present is None or present.report_time < load.report_time:
            self._board.loads.put(name, load)

    def _send(self, names: list[str]) -> None:
        """Send changed reports to all peers, and all reports to new peers."""
        connected = set(self._peers.connected())
        changed = [name for name in names if self._mark_if_due(name)]
        for host in connected:
            wanted = changed if host in self._connected else names
            rows = [row for name in wanted for row in self._row(name)]
            for start in range(0, len(rows), MAX_REPORTS_PER_NOTICE):
                notice = rows[start : start + MAX_REPORTS_PER_NOTICE]
                self._peers.notify(host, METHOD_REPORTS, notice)
        self._connected = connected

    def _mark_if_due(self, name: str) -> bool:
        """Return whether a report is due; if so, record it as sent."""
        load = self._board.loads.get(name)
        if load is None:
            return False
        now = anyio.current_time()
        contents = load._replace(report_time=0.0)
        sent, sent_at = self._sent.get(name, (None, 0.0))
        if contents == sent and now - sent_at < REFRESH_SECONDS:
            return False
        jitter = random.random() * REPORT_SECONDS
        self._sent[name] = contents, now - jitter
        return True

    def _row(self, name: str) -> list[ReportRow]:
        load = self._board.loads.get(name)
        target = self._board.targets.get(name)
        if load is None or target is None:
            return []
        return [
            ReportRow(
                name,
                target.address,
                load.reported,
                load.reported_tokens,
                load.models,
                anyio.current_time() - load.report_time,
            )
        ]

    async def _handle_reports(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        try:
            rows = msgspec.convert(payload, list[ReportRow])
        except msgspec.ValidationError as error:
            return result.Err(verdicts.invalid('reports', str(error)))
        now = anyio.current_time()
        for row in rows:
            self._put(
                row.name,
                row.address,
                blackboard.Load(
                    row.running,
                    row.pending_tokens,
                    now - max(0.0, row.age_seconds),
                    row.models,
                ),
            )
        return result.Ok(None)
