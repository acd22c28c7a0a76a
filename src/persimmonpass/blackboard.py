"""In-memory tables that controllers read and write.

A comment beside each table names its writer; any number of controllers may
read it. A reader waits for a version higher than the last one that it has
read, so that it misses no change.
"""

import typing

import anyio

from persimmonpass import objects
from persimmonpass import routes

K = typing.TypeVar('K')
V = typing.TypeVar('V')


class Table(typing.Generic[K, V]):
    """Rows by key, with a version that increases with each change."""

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
        """Set a row; readers wake only if it differs from the present one."""
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
        """Wait until the version is higher than a given one.

        :param after_version: last version that the reader has processed
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
    :ivar incarnation: version of the host's registration in the store; 0
        before the daemon has registered
    :ivar state: ``starting`` until it is ready, ``alive``, ``suspect``,
        ``leaving`` or ``dead``
    :ivar generation: increases when the host leaves the entry answers or
        corrects what other hosts report about it
    :ivar run: id of one run of the daemon, from its start to its end
    :ivar caller_address: ``ip:port`` for callers
    :ivar peer_address: ``ip:port`` for peers
    :ivar cores: processors that the host may use, 0 if unknown
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
    """A back end, as described by the platform's list and by labels.

    :ivar name: the target's name
    :ivar address: ``ip:port``
    :ivar kind: ``engine`` or ``service``
    :ivar labels: the platform's labels, overridden by the operators' labels
    :ivar leaving: whether any source has reported that the target is leaving;
        an older list does not clear it
    :ivar checks_fencing: whether the target refuses an order with an old
        fencing number
    :ivar service: the service that the target belongs to, if the platform
        names one
    :ivar slots: requests that the target runs at once, 0 if unknown
    :ivar software_version: version of the target's software, empty if unknown
    :ivar born: start of this run by the target's own clock, in Unix
        milliseconds; 0 if unknown
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
    software_version: str = ''
    born: int = 0

    @property
    def software(self) -> str:
        """The target's software, equal for targets of one version.

        A target of unknown version has the same software as no other one.
        """
        return self.software_version or f'target {self.name}'


class Load(typing.NamedTuple):
    """The last report of a target's load.

    :ivar reported: requests in progress at the last report
    :ivar reported_tokens: tokens still to produce at the last report
    :ivar report_time: local clock when the report arrived, in seconds
    :ivar models: models that the target has loaded, as ``model@version`` or
        ``model@version+adapter``
    """

    reported: int
    reported_tokens: int
    report_time: float
    models: tuple[str, ...] = ()


class Blackboard:
    """All tables of one daemon."""

    def __init__(self) -> None:
        # Writer: controllers.fleet.config. Readers: everything.
        self.objects: Table[objects.Key, objects.ConfigObject] = Table()
        # Writer: controllers.fleet.membership. Readers: entry answers, key
        # shards, batch.
        self.members: Table[str, Member] = Table()
        # Requests in progress by host. Writer: controllers.fleet.membership.
        # Readers: entry answers.
        self.host_loads: Table[str, int] = Table()
        # Writer: controllers.targets.targets in a daemon,
        # controllers.fleet.catalog in a gateway. Readers: routing, batch.
        self.targets: Table[str, Target] = Table()
        # Writers: controllers.targets.reports; controllers.targets.targets
        # removes rows. Readers: routing, batch.
        self.loads: Table[str, Load] = Table()
        # Writer: controllers.fleet.catalog. Readers: route proxy, batch items.
        self.routes: Table[str, routes.Configuration] = Table()
