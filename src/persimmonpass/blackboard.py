"""Tables that controllers read and write.

Each table has one writer, named beside it, and any number of readers. A
reader that waits for a change gets the table's version, so that it misses
none.
"""

import typing

import anyio

from persimmonpass import objects
from persimmonpass import routes

K = typing.TypeVar('K')
V = typing.TypeVar('V')


class Table(typing.Generic[K, V]):
    """Rows by key, with a version that rises with each change."""

    def __init__(self) -> None:
        self._rows: dict[K, V] = {}
        self._version = 0
        self._changed = anyio.Event()

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: K) -> bool:
        return key in self._rows

    def get(self, key: K) -> V | None:
        """Return the row of a key, or ``None``."""
        return self._rows.get(key)

    def put(self, key: K, row: V) -> None:
        """Set a row; readers wake only if it differs from the last one."""
        if self._rows.get(key) == row:
            return
        self._rows[key] = row
        self._touch()

    def remove(self, key: K) -> None:
        """Remove a row if it exists."""
        if self._rows.pop(key, None) is not None:
            self._touch()

    def items(self) -> list[tuple[K, V]]:
        """Return a copy of all keys and rows."""
        return list(self._rows.items())

    def rows(self) -> list[V]:
        """Return a copy of all rows."""
        return list(self._rows.values())

    async def wait(self, after_version: int) -> int:
        """Wait until the version is higher than one that was seen.

        :param after_version: version that the reader has dealt with
        :returns: the present version
        """
        while self._version <= after_version:
            await self._changed.wait()
        return self._version

    def _touch(self) -> None:
        self._version += 1
        self._changed.set()
        self._changed = anyio.Event()


class Member(typing.NamedTuple):
    """An entry host of the fleet.

    :ivar host: the host's id
    :ivar incarnation: the store's version at the daemon's registration; 0
        before it
    :ivar state: ``starting`` until it is ready, ``alive``, ``suspect``,
        ``leaving`` or ``dead``
    :ivar generation: rises when the host leaves the entry answers or
        overrules what others say of it
    :ivar run: names one run of the daemon, from its start to its end
    :ivar caller_address: ``ip:port`` for callers
    :ivar peer_address: ``ip:port`` for peers
    :ivar cores: processors that it may use, 0 if unknown
    """

    host: str
    incarnation: int
    availability_zone: str
    caller_address: str
    peer_address: str
    state: str = 'alive'
    generation: int = 0
    run: str = ''
    cores: float = 0.0


class Target(typing.NamedTuple):
    """A back end, as the platform's list and the labels describe it.

    :ivar name: the target's name
    :ivar address: ``ip:port``
    :ivar kind: ``engine`` or ``service``
    :ivar labels: the platform's labels with the operators' laid over them
    :ivar leaving: true once any source said so; never undone by an old list
    :ivar checks_fencing: whether it refuses an order with an old number
    :ivar service: the service that it belongs to, where the platform says so
    :ivar slots: requests that it runs at once, 0 if unknown
    """

    name: str
    address: str
    kind: str
    availability_zone: str
    labels: dict[str, str]
    leaving: bool = False
    checks_fencing: bool = False
    service: str = ''
    slots: int = 0


class Load(typing.NamedTuple):
    """What is known of a target's work.

    :ivar reported: requests in progress at the last report
    :ivar reported_tokens: tokens still to produce at the last report
    :ivar report_time: local clock when the report arrived, in seconds
    :ivar models: what the target has loaded: ``model@version`` or
        ``model@version+adapter``
    """

    reported: int
    reported_tokens: int
    report_time: float
    models: tuple[str, ...] = ()


class Blackboard:
    """All tables of one daemon."""

    def __init__(self) -> None:
        # Writer: controllers.config. Readers: everything.
        self.objects: Table[objects.Key, objects.ConfigObject] = Table()
        # Writer: controllers.membership. Readers: entry, shards, batch.
        self.members: Table[str, Member] = Table()
        # Writer: controllers.membership. Readers: entry. Requests in progress.
        self.host_loads: Table[str, int] = Table()
        # Writer: controllers.targets. Readers: routing, batch.
        self.targets: Table[str, Target] = Table()
        # Writer: controllers.targets. Readers: routing, batch.
        self.loads: Table[str, Load] = Table()
        # Writer: controllers.catalog. Readers: passing, admission, batch.
        self.routes: Table[str, routes.Configuration] = Table()
