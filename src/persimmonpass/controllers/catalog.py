"""Puts the configuration and the targets of the platform on the board."""

import collections.abc
import typing

import anyio

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import records
from persimmonpass import routes

ROUTES_KEY = 'routes'
# Entries that lapsed while the store was in trouble come back within about
# two seconds if their targets live. The time is within the one in which a
# target that has left must get its last request.
LINGER_SECONDS = 1.2
TROUBLE_SECONDS = 4.0
SWEEP_SECONDS = 0.1


class CatalogPorts(typing.NamedTuple):
    """How the platform's objects are read.

    :ivar read_configuration: record -> the configuration, ``None`` if broken
    :ivar read_target: record -> the target, ``None`` if broken
    :ivar configuration_name: name of the record of the configuration
    :ivar trouble_age: seconds since a call to the store failed
    """

    read_configuration: collections.abc.Callable[
        [records.Record], routes.Configuration | None
    ]
    read_target: collections.abc.Callable[
        [records.Record], blackboard.Target | None
    ]
    configuration_name: str
    trouble_age: collections.abc.Callable[[], float]


class Catalog:
    """Writer of the tables of routes and targets."""

    def __init__(
        self, host: str, board: blackboard.Blackboard, ports: CatalogPorts
    ) -> None:
        self._host = host
        self._board = board
        self._ports = ports
        self._lingering: dict[str, float] = {}

    def apply_configuration(self, changed: list[records.Record]) -> None:
        """Put a newer configuration in force; an older one is dropped."""
        for record in changed:
            if record.name != self._ports.configuration_name:
                continue
            if record.deleted:
                continue
            found = self._ports.read_configuration(record)
            if found is None:
                records.note_unreadable(self._host, record)
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

    def apply_targets(self, changed: list[records.Record]) -> None:
        """Take entries that came, changed or went."""
        for record in changed:
            if record.deleted:
                self._remove(record)
                continue
            found = self._ports.read_target(record)
            if found is None:
                records.note_unreadable(self._host, record)
                continue
            self._lingering.pop(record.name, None)
            known = self._board.targets.get(record.name)
            if known is not None and known.leaving and not found.leaving:
                # The same run of a target does not come back from leaving.
                found = found._replace(leaving=True)
            if known == found:
                continue
            self._board.targets.put(record.name, found)
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

    async def run(self) -> None:
        """Remove targets whose entries did not come back, for ever."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = anyio.current_time()
            for name, until in list(self._lingering.items()):
                if now >= until:
                    del self._lingering[name]
                    self._board.targets.remove(name)

    def _remove(self, record: records.Record) -> None:
        known = self._board.targets.get(record.name)
        if known is None:
            return
        lingers = (
            not known.leaving and self._ports.trouble_age() < TROUBLE_SECONDS
        )
        events.log(
            events.TARGET_REMOVED,
            host=self._host,
            target=record.name,
            revision=record.version,
            lingers=lingers,
        )
        if lingers:
            self._lingering[record.name] = (
                anyio.current_time() + LINGER_SECONDS
            )
        else:
            self._board.targets.remove(record.name)
