"""Keeps the tables of targets and of their load."""

import collections.abc
import typing

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
from persimmonpass.policy import selectors
from persimmonpass.policy import target_list
from persimmonpass import verdicts

METHOD_LEAVING = 'targets.leaving'
METHOD_LISTED = 'targets.listed'
LIST_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 2.0
LIST_READS_PER_SECOND = 20.0
MARK_SECONDS = 600.0
LINK_SECONDS = 0.5
EXCHANGE_ROUNDS = 10
MAX_MARKS = 1_000

ListTargets = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        result.Result[list[blackboard.Target], verdicts.Failure]
    ],
]


class Mark(typing.NamedTuple):
    """A leaving mark on its way to a peer.

    :ivar age_seconds: time since a source said that the target is leaving
    """

    name: str
    address: str
    age_seconds: float


class _Listed(msgspec.Struct):
    """A target in the platform's list."""

    name: str
    address: str
    kind: str
    availability_zone: str
    labels: dict[str, str] = {}
    state: str = 'live'
    checks_fencing: bool = False


def make_list_call(
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
        taken = await calls.take(budget.Priority.STATUS)
        if isinstance(taken, result.Err):
            return taken
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
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._board = board
        self._list_targets = list_targets
        self._peers = peers
        self._live_hosts = live_hosts
        self._rows: dict[str, blackboard.Target] = {}
        self._listed: dict[str, target_list.Listing] = {}
        # When a source last said that a name at an address is leaving.
        self._leaving: dict[target_list.Identity, float] = {}
        self._linked: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {
            METHOD_LEAVING: self._take_leaving,
            METHOD_LISTED: self._take_listed,
        }

    async def run(self) -> None:
        """Follow the list, the labels and the links for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_list)
            tasks.start_soon(self._follow_labels)
            tasks.start_soon(self._follow_links)

    def mark_leaving(
        self, name: str, address: str, age_seconds: float = 0.0
    ) -> None:
        """Give a target no more work and tell all peers.

        A mark belongs to a name at an address, so that a replacement under
        the same name gets work. It holds until no source has repeated it for
        :data:`MARK_SECONDS`, which outlasts the list's lag.

        :param age_seconds: time since a source said so
        """
        if age_seconds >= MARK_SECONDS:
            return
        identity = name, address
        said_at = anyio.current_time() - age_seconds
        known = self._leaving.get(identity)
        self._leaving[identity] = max(said_at, known or said_at)
        if known is not None:
            return
        events.log(events.TARGET_LEAVING, host=self._host, target=name)
        self._publish()
        mark = Mark(name, address, age_seconds)
        peer_port.broadcast(self._peers, METHOD_LEAVING, [mark])

    async def _take_leaving(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        try:
            taken = msgspec.convert(payload, list[Mark])
        except msgspec.ValidationError as error:
            return result.Err(verdicts.invalid('marks', str(error)))
        for mark in taken:
            self.mark_leaving(
                mark.name, mark.address, max(0.0, mark.age_seconds)
            )
        return result.Ok(None)

    async def _follow_list(self) -> None:
        while True:
            listed = await self._list_targets()
            if isinstance(listed, result.Ok):
                self._merge(listed.ok_value)
            interval = target_list.list_interval(
                len(self._live_hosts()), LIST_READS_PER_SECOND, LIST_SECONDS
            )
            await anyio.sleep(interval)

    def _merge(self, read: list[blackboard.Target]) -> None:
        """Take one read of the list over."""
        for row in read:
            if row.leaving:
                self.mark_leaving(row.name, row.address)
        addresses = {row.name: row.address for row in read}
        merged = target_list.merge_list(self._listed, addresses, self._leaving)
        found = [
            row for row in read if merged[row.name].address == row.address
        ]
        added = [row for row in found if self._is_new(row)]
        self._listed = merged
        self._rows = {
            **{
                name: self._rows[name] for name in merged if name in self._rows
            },
            **{row.name: row for row in found},
        }
        self._publish()
        if added:
            peer_port.broadcast(self._peers, METHOD_LISTED, added)

    async def _take_listed(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        """Take targets that a peer saw first, and tell the other peers."""
        try:
            rows = msgspec.convert(payload, list[blackboard.Target])
        except msgspec.ValidationError as error:
            return result.Err(verdicts.invalid('targets', str(error)))
        added = [row for row in rows if self._is_new(row)]
        for row in added:
            self._rows[row.name] = row
            self._listed[row.name] = target_list.Listing(row.address)
        if added:
            self._publish()
            peer_port.broadcast(self._peers, METHOD_LISTED, added)
        return result.Ok(None)

    def _is_new(self, row: blackboard.Target) -> bool:
        """Return whether a row is of a target that was not known before.

        A target that is leaving is followed by one at another address.
        """
        known = self._rows.get(row.name)
        if known is None:
            return True
        if known.address == row.address:
            return False
        left = (known.name, known.address) in self._leaving
        return left and (row.name, row.address) not in self._leaving

    async def _follow_labels(self) -> None:
        version = 0
        while True:
            version = await self._board.objects.wait(version)
            self._publish()

    async def _follow_links(self) -> None:
        """Send all marks over new links and, in turn, over old ones."""
        turn = 0
        while True:
            self._forget_old_marks()
            linked = sorted(self._peers.connected())
            for host in linked:
                if host not in self._linked:
                    self._send_marks(host)
            if linked and turn % EXCHANGE_ROUNDS == 0:
                self._send_marks(linked[turn // EXCHANGE_ROUNDS % len(linked)])
            self._linked = set(linked)
            turn += 1
            await anyio.sleep(LINK_SECONDS)

    def _send_marks(self, host: str) -> None:
        now = anyio.current_time()
        newest = sorted(self._leaving.items(), key=lambda item: -item[1])
        rows = [
            Mark(name, address, now - said_at)
            for (name, address), said_at in newest[:MAX_MARKS]
        ]
        if rows:
            self._peers.notify(host, METHOD_LEAVING, rows)

    def _forget_old_marks(self) -> None:
        oldest = anyio.current_time() - MARK_SECONDS
        kept = {
            identity: said_at
            for identity, said_at in self._leaving.items()
            if said_at > oldest
        }
        if len(kept) < len(self._leaving):
            self._leaving = kept
            self._publish()

    def _publish(self) -> None:
        """Write the table from the list, the labels and the marks."""
        overlays = {
            item.name: item
            for item in config.live_objects(self._board, 'target')
        }
        for name, row in self._rows.items():
            present = self._board.targets.get(name)
            if present is not None and present.address != row.address:
                self._board.loads.remove(name)
            leaving = (name, row.address) in self._leaving
            overlay = overlays.get(name)
            if overlay is not None:
                row = row._replace(labels={**row.labels, **overlay.labels})
                leaving = leaving or getattr(overlay.spec, 'leaving', False)
            self._board.targets.put(name, row._replace(leaving=leaving))
        for name, _ in self._board.targets.items():
            if name not in self._rows:
                self._board.targets.remove(name)
                self._board.loads.remove(name)


def find_matching(
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
