"""Keeps the table of targets up to date.

Targets come from the platform's list, which lags. A leaving target is marked
on all hosts as soon as any source reports it.
"""

import collections.abc
import typing

import anyio
import httpx
import msgspec
import result

from persimmonpass import addresses
from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.fleet import config
from persimmonpass import events
from persimmonpass import objects
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import selectors
from persimmonpass.policy import target_list
from persimmonpass import verdicts

METHOD_LEAVING = 'targets.leaving'
METHOD_LISTED = 'targets.listed'
LIST_INTERVAL_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 2.0
# Limit for the whole fleet.
LIST_READS_PER_SECOND = 20.0
# Longer than the platform's list lags, see Targets.mark_leaving.
MARK_TTL_SECONDS = 600.0
LINK_CHECK_SECONDS = 0.5
# Every so many checks of the links, all marks are sent again to one peer.
EXCHANGE_ROUNDS = 10
MAX_MARKS = 1_000

ListTargets = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        result.Result[list[blackboard.Target], verdicts.Failure]
    ],
]


class LeavingMark(typing.NamedTuple):
    """A leaving mark, as sent to a peer.

    :ivar age_seconds: seconds since a source last reported that the target is
        leaving
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
    """Return the call that reads the platform's list of targets.

    The list lags behind the targets' real states.

    :param client: HTTP client
    :param base_url: ``http://ip:port`` of the platform
    :param calls: budget of this host's calls to the platform
    """

    unreadable: set[str] = set()

    def is_readable(row: _Listed) -> bool:
        if addresses.is_valid(row.address):
            unreadable.discard(row.name)
            return True
        if row.name not in unreadable:
            unreadable.add(row.name)
            events.log(
                events.ENTRY_UNREADABLE, name=row.name, address=row.address
            )
        return False

    async def list_targets() -> result.Result[
        list[blackboard.Target], verdicts.Failure
    ]:
        taken = await calls.acquire(budget.Priority.STATUS)
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
                    f'cannot read the list of targets: {type(error).__name__}',
                )
            )
        return result.Ok([_to_target(row) for row in rows if is_readable(row)])

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
        # When a source last reported a name at an address as leaving.
        self._leaving: dict[target_list.Identity, float] = {}
        self._connected: set[str] = set()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {
            METHOD_LEAVING: self._handle_leaving,
            METHOD_LISTED: self._handle_listed,
        }

    async def run(self) -> None:
        """Follow the list, the labels and the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_list)
            tasks.start_soon(self._follow_labels)
            tasks.start_soon(self._follow_links)

    def mark_leaving(
        self, name: str, address: str, age_seconds: float = 0.0
    ) -> None:
        """Mark a target as leaving, so that it gets no work, on all hosts.

        A mark applies to a name at an address, so that a replacement under
        the same name gets work. It expires when no source has repeated it for
        :data:`MARK_TTL_SECONDS`, which is longer than the list lags.

        :param name: the target's name
        :param address: the target's ``ip:port``
        :param age_seconds: seconds since a source reported it
        """
        if age_seconds >= MARK_TTL_SECONDS:
            return
        identity = name, address
        reported_at = anyio.current_time() - age_seconds
        known = self._leaving.get(identity)
        self._leaving[identity] = max(reported_at, known or reported_at)
        if known is not None:
            return
        events.log(events.TARGET_LEAVING, host=self._host, target=name)
        self._publish()
        mark = LeavingMark(name, address, age_seconds)
        peer_port.broadcast(self._peers, METHOD_LEAVING, [mark])

    async def _handle_leaving(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        try:
            taken = msgspec.convert(payload, list[LeavingMark])
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
                len(self._live_hosts()),
                LIST_READS_PER_SECOND,
                LIST_INTERVAL_SECONDS,
            )
            await anyio.sleep(interval)

    def _merge(self, read: list[blackboard.Target]) -> None:
        """Merge one read of the platform's list."""
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

    async def _handle_listed(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        """Add targets that a peer listed first, and notify other peers."""
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
        """Return whether a row describes a target that was not known before.

        A row at another address counts as new only if the known target is
        leaving.
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
        """Send all marks to newly connected peers, and to others in turn."""
        round_number = 0
        while True:
            self._forget_old_marks()
            connected = sorted(self._peers.connected())
            for host in connected:
                if host not in self._connected:
                    self._send_marks(host)
            if connected and round_number % EXCHANGE_ROUNDS == 0:
                self._send_marks(
                    connected[round_number // EXCHANGE_ROUNDS % len(connected)]
                )
            self._connected = set(connected)
            round_number += 1
            await anyio.sleep(LINK_CHECK_SECONDS)

    def _send_marks(self, host: str) -> None:
        now = anyio.current_time()
        newest = sorted(self._leaving.items(), key=lambda item: -item[1])
        rows = [
            LeavingMark(name, address, now - reported_at)
            for (name, address), reported_at in newest[:MAX_MARKS]
        ]
        if rows:
            self._peers.notify(host, METHOD_LEAVING, rows)

    def _forget_old_marks(self) -> None:
        oldest = anyio.current_time() - MARK_TTL_SECONDS
        kept = {
            identity: reported_at
            for identity, reported_at in self._leaving.items()
            if reported_at > oldest
        }
        if len(kept) < len(self._leaving):
            self._leaving = kept
            self._publish()

    def _publish(self) -> None:
        """Write the table from the list, operators' labels and the marks."""
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
    """Return the targets that may run a service's requests.

    An engine qualifies only if it has the service's model loaded.
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
