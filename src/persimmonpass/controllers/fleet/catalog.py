"""Copies the platform's configuration and targets to the blackboard.

A target may also state in an answer that it is leaving. The host that gets the
answer marks the target and notifies its peers, as the platform's entry may
come late or not at all.
"""

import collections
import collections.abc
import typing

import anyio

from persimmonpass import blackboard
from persimmonpass.controllers.fleet import key_events
from persimmonpass import events
from persimmonpass.peers import port as peer_port
from persimmonpass import records
from persimmonpass import routes

METHOD_LEAVING = 'targets.leaving'
ROUTES_KEY = 'routes'
# If an entry expires while calls to the store fail, a live target writes it
# again within about two seconds. Removal is therefore delayed, but by less
# than the time within which a target that left must get its last request.
REMOVAL_DELAY_SECONDS = 1.2
# A removal is delayed if a call to the store has failed within this time.
STORE_TROUBLE_SECONDS = 4.0
# Old marks do no harm: another run of a target has another name or a newer
# start, which drops the mark.
MAX_LEAVING_MARKS = 10_000
MAX_STARTS = 10_000


class CatalogPorts(typing.NamedTuple):
    """How the platform's objects are read.

    :ivar read_configuration: returns the configuration in a record, ``None``
        if it is unreadable
    :ivar read_target: returns the target in a record, ``None`` if it is
        unreadable
    :ivar configuration_name: name of the record of the configuration
    :ivar seconds_since_store_failure: returns the seconds since a call to the
        store last failed
    :ivar peers: notices to the other hosts
    """

    read_configuration: collections.abc.Callable[
        [records.Record], routes.Configuration | None
    ]
    read_target: collections.abc.Callable[
        [records.Record], blackboard.Target | None
    ]
    configuration_name: str
    seconds_since_store_failure: collections.abc.Callable[[], float]
    peers: peer_port.PeerPort


class Catalog:
    """Writes the tables of routes and targets.

    :ivar restarted: callbacks that are called with the name of a target that
        has started again under its name
    :ivar listed: callbacks that are called with each target that is added or
        whose entry changed, also if it is removed at once
    """

    def __init__(
        self, host: str, board: blackboard.Blackboard, ports: CatalogPorts
    ) -> None:
        self._host = host
        self._board = board
        self._ports = ports
        self.restarted: list[collections.abc.Callable[[str], None]] = []
        self.listed: list[
            collections.abc.Callable[[blackboard.Target], None]
        ] = []
        # Start of the latest run of each target, also of removed ones.
        self._starts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pending_removals: dict[str, float] = {}
        self._removal_added = anyio.Event()
        # Names and addresses of targets that stated that they are leaving,
        # the latest last. They outlive the entries, which may be removed and
        # written again while the store is down.
        self._leaving: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {METHOD_LEAVING: peer_port.NoticeHandler(self._handle_leaving)}

    def mark_leaving(self, target: blackboard.Target) -> None:
        """Mark a target that stated that it is leaving, on all hosts.

        :param target: the target that a request was sent to
        """
        if (target.name, target.address) in self._leaving:
            return
        if target.born < self._starts.get(target.name, 0):
            # The answer came from an earlier run.
            return
        self._add_mark(target.name, target.address)
        peer_port.broadcast(
            self._ports.peers, METHOD_LEAVING, [target.name, target.address]
        )

    def _handle_leaving(self, peer: str, payload: typing.Any) -> None:
        name, address = payload
        self._add_mark(name, address)

    def _add_mark(self, name: str, address: str) -> None:
        self._leaving[name, address] = None
        self._leaving.move_to_end((name, address))
        if len(self._leaving) > MAX_LEAVING_MARKS:
            self._leaving.popitem(last=False)
        known = self._board.targets.get(name)
        if known is None or known.leaving or known.address != address:
            return
        self._board.targets.put(name, known._replace(leaving=True))
        events.log(
            events.TARGET_LEAVING,
            host=self._host,
            target=name,
            address=address,
            service=known.service,
        )

    def apply_configuration(self, changed: list[records.Record]) -> None:
        """Put a newer configuration in force; ignore an older one."""
        for record in changed:
            if record.name != self._ports.configuration_name:
                continue
            if record.deleted:
                continue
            found = self._ports.read_configuration(record)
            if found is None:
                records.log_unreadable(self._host, record)
                continue
            known = self._board.routes.get(ROUTES_KEY)
            if known is not None and known.version >= found.version:
                continue
            self._board.routes.put(ROUTES_KEY, found)
            events.log(
                events.CONFIG_APPLIED,
                host=self._host,
                version=found.version,
                revision=record.version,
                routes=len(found.routes),
            )
            key_events.log_changes(self._host, known, found)

    def apply_targets(self, changed: list[records.Record]) -> None:
        """Apply target entries that were added, changed or removed."""
        for record in changed:
            if record.deleted:
                self._remove(record)
                continue
            found = self._ports.read_target(record)
            if found is None:
                records.log_unreadable(self._host, record)
                continue
            self._pending_removals.pop(record.name, None)
            known = self._board.targets.get(record.name)
            if self._is_another_run(found):
                known = None
                self._leaving.pop((found.name, found.address), None)
                for callback in self.restarted:
                    callback(found.name)
            if self._is_leaving(known, found):
                found = found._replace(leaving=True)
            if known == found:
                continue
            self._board.targets.put(record.name, found)
            for notify in self.listed:
                notify(found)
            event = (
                events.TARGET_LEAVING
                if found.leaving
                else events.TARGET_LISTED
            )
            events.log(
                event,
                host=self._host,
                target=found.name,
                address=found.address,
                service=found.service,
                revision=record.version,
            )

    def _is_another_run(self, found: blackboard.Target) -> bool:
        """Return whether a target has started again since its last entry.

        :param found: the target in its entry
        """
        if not found.born:
            return False
        before = self._starts.get(found.name, 0)
        self._starts[found.name] = max(before, found.born)
        self._starts.move_to_end(found.name)
        if len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)
        return 0 < before < found.born

    def _is_leaving(
        self, known: blackboard.Target | None, found: blackboard.Target
    ) -> bool:
        """Return whether a target was reported as leaving before.

        A run of a target that is leaving never becomes usable again. At
        another address it is another run.

        :param known: the target on the blackboard
        :param found: the target in its entry
        """
        if (found.name, found.address) in self._leaving:
            return True
        if known is None or known.address != found.address:
            return False
        return known.leaving

    async def run(self) -> None:
        """Carry out delayed removals of targets until cancelled.

        A target whose entry has been written again is not removed.
        """
        while True:
            if not self._pending_removals:
                self._removal_added = anyio.Event()
                await self._removal_added.wait()
            await anyio.sleep_until(min(self._pending_removals.values()))
            now = anyio.current_time()
            for name, until in list(self._pending_removals.items()):
                if now >= until:
                    del self._pending_removals[name]
                    self._board.targets.remove(name)

    def _remove(self, record: records.Record) -> None:
        known = self._board.targets.get(record.name)
        if known is None:
            return
        is_delayed = (
            not known.leaving
            and self._ports.seconds_since_store_failure()
            < STORE_TROUBLE_SECONDS
        )
        events.log(
            events.TARGET_REMOVED,
            host=self._host,
            target=record.name,
            revision=record.version,
            lingers=is_delayed,
        )
        if is_delayed:
            self._pending_removals[record.name] = (
                anyio.current_time() + REMOVAL_DELAY_SECONDS
            )
            self._removal_added.set()
        else:
            self._board.targets.remove(record.name)
