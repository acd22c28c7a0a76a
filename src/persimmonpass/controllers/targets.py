"""Keeps the tables of targets and of their load."""

import collections.abc

import anyio
import httpx
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import config
from persimmonpass import events
from persimmonpass import objects
from persimmonpass.peers import port as peer_port
from persimmonpass import selectors
from persimmonpass.targets import engine
from persimmonpass import verdicts

METHOD_LEAVING = 'targets.leaving'
LIST_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 2.0
REPORT_SECONDS = 1.0

ListTargets = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        result.Result[list[blackboard.Target], verdicts.Failure]
    ],
]


class _Listed(msgspec.Struct):
    """A target in the platform's list."""

    name: str
    address: str
    kind: str
    availability_zone: str
    labels: dict[str, str] = {}
    state: str = 'live'
    checks_fencing: bool = False


def connect_list(
    client: httpx.AsyncClient, base_url: str, calls: budget.Budget
) -> ListTargets:
    """Make the call that reads the platform's lagging list of targets.

    :param client: HTTP client
    :param base_url: ``http://ip:port`` of the platform
    :param calls: rate at which this host may call the platform
    """

    async def list_targets() -> result.Result[
        list[blackboard.Target], verdicts.Failure
    ]:
        await calls.take(budget.Priority.STATUS)
        try:
            answer = await client.get(
                f'{base_url}/v1/targets', timeout=LIST_TIMEOUT_SECONDS
            )
            answer.raise_for_status()
            rows = msgspec.json.decode(answer.content, type=list[_Listed])
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            return result.Err(
                verdicts.Failure(
                    verdicts.Verdict.NOT_RUN,
                    events.STORE_UNAVAILABLE,
                    f'the list of targets: {type(error).__name__}',
                )
            )
        return result.Ok([_to_target(row) for row in rows])

    return list_targets


def _to_target(row: _Listed) -> blackboard.Target:
    return blackboard.Target(
        row.name,
        row.address,
        row.kind,
        row.availability_zone,
        row.labels,
        row.state == 'leaving',
        row.checks_fencing,
    )


class Targets:
    """The target controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        list_targets: ListTargets,
        engines: engine.EnginePort,
        peers: peer_port.PeerPort,
    ) -> None:
        self._host = host
        self._board = board
        self._list_targets = list_targets
        self._engines = engines
        self._peers = peers
        self._listed: dict[str, blackboard.Target] = {}
        self._leaving: set[tuple[str, str]] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {METHOD_LEAVING: self._take_leaving}

    async def run(self) -> None:
        """Follow the list, the labels and the reports for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_list)
            tasks.start_soon(self._follow_labels)
            tasks.start_soon(self._follow_reports)

    def mark_leaving(self, name: str, address: str) -> None:
        """Give a target no more work and tell all peers.

        A mark belongs to a name at an address, so that a replacement under
        the same name gets work.
        """
        if (name, address) in self._leaving:
            return
        self._leaving.add((name, address))
        events.log(events.TARGET_LEAVING, host=self._host, target=name)
        self._publish()
        peer_port.broadcast(self._peers, METHOD_LEAVING, [name, address])

    async def _take_leaving(
        self, peer: str, payload: list[str]
    ) -> result.Result[None, verdicts.Failure]:
        name, address = payload
        self.mark_leaving(name, address)
        return result.Ok(None)

    async def _follow_list(self) -> None:
        while True:
            listed = await self._list_targets()
            if isinstance(listed, result.Ok):
                self._listed = {row.name: row for row in listed.ok_value}
                for row in listed.ok_value:
                    if row.leaving:
                        self.mark_leaving(row.name, row.address)
                self._publish()
            await anyio.sleep(LIST_SECONDS)

    async def _follow_labels(self) -> None:
        version = 0
        while True:
            version = await self._board.objects.wait(version)
            self._publish()

    def _publish(self) -> None:
        """Write the table from the list, the labels and the marks."""
        overlays = {
            item.name: item
            for item in config.live_objects(self._board, 'target')
        }
        for name, row in self._listed.items():
            leaving = (name, row.address) in self._leaving
            overlay = overlays.get(name)
            if overlay is not None:
                row = row._replace(labels={**row.labels, **overlay.labels})
                leaving = leaving or getattr(overlay.spec, 'leaving', False)
            self._board.targets.put(name, row._replace(leaving=leaving))
        for name, _ in self._board.targets.items():
            if name not in self._listed:
                self._board.targets.remove(name)
                self._board.loads.remove(name)

    async def _follow_reports(self) -> None:
        while True:
            async with anyio.create_task_group() as tasks:
                for target in self._board.targets.rows():
                    if target.kind == 'engine':
                        tasks.start_soon(self._read_report, target)
            await anyio.sleep(REPORT_SECONDS)

    async def _read_report(self, target: blackboard.Target) -> None:
        reported = await self._engines.report(target)
        if isinstance(reported, result.Err):
            return
        report = reported.ok_value
        self._board.loads.put(
            target.name,
            blackboard.Load(
                report.running,
                report.pending_tokens,
                anyio.current_time(),
                report.models,
            ),
        )


def matching(
    board: blackboard.Blackboard, spec: objects.ServiceSpec
) -> list[blackboard.Target]:
    """Return the targets that may serve a service.

    An engine must have the service's model loaded.
    """
    selector = selectors.parse(spec.selector).unwrap()
    kind = 'engine' if spec.type == 'engine' else 'service'
    found = [
        target
        for target in board.targets.rows()
        if target.kind == kind
        and not target.leaving
        and selectors.matches(selector, target.labels)
    ]
    if kind == 'service':
        return found
    wanted = f'{spec.model}@{spec.version}'
    if spec.adapter:
        wanted = f'{wanted}+{spec.adapter}'
    return [target for target in found if _has_loaded(board, target, wanted)]


def _has_loaded(
    board: blackboard.Blackboard, target: blackboard.Target, wanted: str
) -> bool:
    load = board.loads.get(target.name)
    return load is not None and wanted in load.models
