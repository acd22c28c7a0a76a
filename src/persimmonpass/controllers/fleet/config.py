"""Keeps the configuration on the blackboard in step with the store."""

import collections.abc
import random
import typing

import anyio
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import documents
from persimmonpass import events
from persimmonpass import objects
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass import verdicts

PREFIX = 'config/'
METHOD_OFFER = 'config.offer'
METHOD_VERSIONS = 'config.versions'
METHOD_FETCH = 'config.fetch'
METHOD_IN_FORCE = 'config.in_force'
RETRY_SECONDS = 1.0
# How long a peer's digest must differ before newer objects are fetched from
# it; also the pause between two rounds of fetching.
SETTLE_SECONDS = 0.5
RELIST_INTERVAL_SECONDS = 300.0
WATCHERS = 3
# Number of peers to which each host forwards a change.
FORWARD_PEERS = 3
PAGE_BYTES = 500_000
MAX_FETCHED_OBJECTS = 100
MAX_SPREAD_CALLS = 32

Answer = result.Result[typing.Any, verdicts.Failure]


class Spread(typing.NamedTuple):
    """Hosts on which a version of an object is in force.

    :ivar in_force: live hosts that have this version or a newer one
    :ivar waiting: live hosts that have an older one or did not answer
    """

    in_force: list[str]
    waiting: list[str]


class Config:
    """The configuration controller of one daemon.

    A few hosts watch the store and forward changes to their peers. Hosts
    compare the digests in their heartbeats to find out which of them missed a
    change. An object that this release cannot read is kept and forwarded, and
    the last version that it can read stays in force.

    :ivar ready: set once a configuration has been loaded
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        peers: peer_port.PeerPort,
        live_hosts: collections.abc.Callable[[], list[str]] | None = None,
    ) -> None:
        self.ready = anyio.Event()
        self._host = host
        self._board = board
        self._port = port
        self._peers = peers
        self._live_hosts = live_hosts or (lambda: [host])
        self._documents = documents.Documents()
        self._random = random.Random(host)  # noqa: S311
        self._differs_since: dict[str, float] = {}
        self._differing: set[str] = set()
        self._differs = anyio.Event()

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {
            METHOD_OFFER: self._handle_offer,
            METHOD_VERSIONS: self._handle_versions,
            METHOD_FETCH: self._handle_fetch,
            METHOD_IN_FORCE: self._handle_in_force,
        }

    @property
    def digest(self) -> int:
        """Digest of all object versions; equal versions have equal ones."""
        return self._documents.digest

    async def run(self) -> None:
        """Load the configuration, then apply changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repair)
            await self._load()
            while True:
                if self._is_watcher():
                    await self._follow_store()
                await anyio.sleep(RETRY_SECONDS)

    def apply(self, item: objects.ConfigObject | None) -> bool:
        """Put an object in force if it is newer than the known version.

        :returns: whether it was newer
        """
        return item is not None and self._apply(objects.to_document(item))

    def publish(self, item: objects.ConfigObject) -> None:
        """Put a stored object in force on this host and send it to peers."""
        if self.apply(item):
            peer_port.broadcast(
                self._peers, METHOD_OFFER, objects.to_document(item)
            )

    def check_peer_digest(self, host: str, digest: int) -> None:
        """Compare a peer's digest with this host's.

        If they differ for :data:`SETTLE_SECONDS`, newer objects are fetched
        from the peer.
        """
        if digest == self.digest:
            self._differs_since.pop(host, None)
            return
        now = anyio.current_time()
        since = self._differs_since.setdefault(host, now)
        if now - since >= SETTLE_SECONDS:
            self._differing.add(host)
            self._differs.set()

    async def spread(self, key: objects.Key, version: int) -> Spread:
        """Ask all live hosts whether a version of an object is in force."""
        found = Spread([], [])
        limiter = anyio.CapacityLimiter(MAX_SPREAD_CALLS)

        async def ask(host: str) -> None:
            payload = [*key, version]
            async with limiter:
                if host == self._host:
                    answered = await self._handle_in_force(host, payload)
                else:
                    answered = await self._peers.call(
                        host, METHOD_IN_FORCE, payload
                    )
            if isinstance(answered, result.Ok) and answered.ok_value:
                found.in_force.append(host)
            else:
                found.waiting.append(host)

        async with anyio.create_task_group() as tasks:
            for host in {self._host, *self._live_hosts()}:
                tasks.start_soon(ask, host)
        return Spread(sorted(found.in_force), sorted(found.waiting))

    def _is_watcher(self) -> bool:
        ranked = shards.ranked(PREFIX, {self._host, *self._live_hosts()})
        return self._host in ranked[:WATCHERS]

    def _apply(self, document: documents.Document) -> bool:
        if not self._documents.put(document):
            return False
        try:
            item = objects.from_document(document)
        except (msgspec.ValidationError, KeyError) as error:
            events.log(
                events.OBJECT_REJECTED,
                host=self._host,
                key=f'{document["kind"]}/{document["name"]}',
                message=str(error),
            )
            return True
        self._board.objects.put(item.key, item)
        events.log(
            events.CONFIG_APPLIED,
            host=self._host,
            kind=item.kind,
            name=item.name,
            version=item.version,
        )
        return True

    async def _load(self) -> None:
        """Load all objects, from peers while the store does not answer."""
        while not self.ready.is_set():
            if await self._list() is not None:
                self.ready.set()
                return
            for host in self._peers.connected():
                if await self._fetch_newer(host):
                    self.ready.set()
                    return
            await anyio.sleep(RETRY_SECONDS)

    async def _list(self) -> int | None:
        """Read all objects of the store.

        :returns: version from which a watch misses no change, or ``None`` if
            the store did not answer
        """
        version: int | None = None
        size = PAGE_BYTES
        while size >= PAGE_BYTES:
            found = await self._port.list(PREFIX)
            if isinstance(found, result.Err):
                return None
            for stored in found.ok_value:
                self._apply_stored(stored)
            if version is not None:
                break
            # Pages are read one after the other. Reading all of them again
            # finds what has changed on an earlier page meanwhile.
            version = max((row.version for row in found.ok_value), default=0)
            size = sum(len(row.data) for row in found.ok_value)
        return version

    async def _follow_store(self) -> None:
        """Watch the store until a call fails or a new list call is due.

        A failed watch is not resumed, because the store may have truncated
        its log. The objects are read again instead.
        """
        version = await self._list()
        if version is None:
            return
        listed_at = anyio.current_time()
        while anyio.current_time() - listed_at < RELIST_INTERVAL_SECONDS:
            seen = await self._port.watch(PREFIX, version)
            if isinstance(seen, result.Err) or not self._is_watcher():
                return
            version = seen.ok_value.version
            for stored in seen.ok_value.changes:
                document = self._apply_stored(stored)
                if document is not None:
                    self._forward(document, self._host)

    def _apply_stored(self, stored: store.Stored) -> documents.Document | None:
        """Put a stored object in force.

        :returns: its document if it was newer, otherwise ``None``
        """
        key = objects.Key(*stored.key.removeprefix(PREFIX).split('/', 1))
        if stored.deleted:
            document = self._documents.make_tombstone(key, stored.version)
        else:
            document = _read_document(key, stored)
        if document is None or not self._apply(document):
            return None
        return document

    def _forward(self, document: documents.Document, sender: str) -> None:
        """Forward a change to a few random peers."""
        hosts = sorted(set(self._peers.connected()) - {sender})
        for host in self._random.sample(hosts, min(FORWARD_PEERS, len(hosts))):
            self._peers.notify(host, METHOD_OFFER, document)

    async def _repair(self) -> None:
        """Fetch newer objects from peers whose digest differs."""
        while True:
            await self._differs.wait()
            self._differs = anyio.Event()
            while self._differing:
                host = self._differing.pop()
                self._differs_since.pop(host, None)
                await self._fetch_newer(host)
            await anyio.sleep(SETTLE_SECONDS)

    async def _fetch_newer(self, host: str) -> bool:
        """Fetch all objects of which a peer has a newer version.

        :returns: whether the peer had a configuration and sent all objects
        """
        answered = await self._peers.call(
            host, METHOD_VERSIONS, self._documents.buckets
        )
        if isinstance(answered, result.Err):
            return False
        wanted = self._documents.find_outdated(answered.ok_value)
        for start in range(0, len(wanted), MAX_FETCHED_OBJECTS):
            fetched = await self._peers.call(
                host, METHOD_FETCH, wanted[start : start + MAX_FETCHED_OBJECTS]
            )
            if isinstance(fetched, result.Err):
                return False
            for document in fetched.ok_value:
                self._apply(document)
        return True

    async def _handle_offer(self, peer: str, payload: typing.Any) -> Answer:
        if self._apply(payload):
            self._forward(payload, peer)
        return result.Ok(None)

    async def _handle_versions(self, peer: str, payload: typing.Any) -> Answer:
        if not self.ready.is_set():
            return result.Err(store.unavailable('no configuration loaded yet'))
        return result.Ok(self._documents.find_differing(payload))

    async def _handle_fetch(self, peer: str, payload: typing.Any) -> Answer:
        found = [self._documents.get(objects.Key(*row)) for row in payload]
        return result.Ok([row for row in found if row is not None])

    async def _handle_in_force(self, peer: str, payload: typing.Any) -> Answer:
        kind, name, version = payload
        item = self._board.objects.get(objects.Key(kind, name))
        return result.Ok(item is not None and item.version >= version)


def _read_document(
    key: objects.Key, stored: store.Stored
) -> documents.Document | None:
    try:
        document = msgspec.json.decode(stored.data, type=dict[str, typing.Any])
    except msgspec.MsgspecError as error:
        events.log(events.OBJECT_REJECTED, key=stored.key, message=str(error))
        return None
    return {**document, **key._asdict(), 'version': stored.version}


def decode(stored: store.Stored) -> objects.ConfigObject | None:
    """Decode a stored object.

    :returns: the object, or ``None`` if it is deleted or this release cannot
        read it
    """
    if stored.deleted:
        return None
    try:
        document = msgspec.json.decode(stored.data)
        return objects.from_document({**document, 'version': stored.version})
    except (msgspec.MsgspecError, KeyError) as error:
        events.log(events.OBJECT_REJECTED, key=stored.key, message=str(error))
        return None


def store_key(key: objects.Key) -> str:
    """Return the store's key of an object."""
    return f'{PREFIX}{key.kind}/{key.name}'


def live_objects(
    board: blackboard.Blackboard, kind: str
) -> collections.abc.Iterator[objects.ConfigObject]:
    """Iterate over the objects of a kind that are not deleted."""
    for item in board.objects.rows():
        if item.kind == kind and not item.deleted:
            yield item


class Service(typing.NamedTuple):
    """A service's name and specification."""

    name: str
    spec: objects.ServiceSpec


def find_service(board: blackboard.Blackboard, name: str) -> Service | None:
    """Return the service of a name, or the first that serves a model.

    :param name: name of a service or of a model
    """
    item = board.objects.get(objects.Key('service', name))
    if item is not None and not item.deleted:
        return Service(name, typing.cast(objects.ServiceSpec, item.spec))
    for other in live_objects(board, 'service'):
        spec = typing.cast(objects.ServiceSpec, other.spec)
        if spec.model == name:
            return Service(other.name, spec)
    return None


async def write(
    port: store.StorePort, item: objects.ConfigObject
) -> result.Result[objects.ConfigObject, verdicts.Failure]:
    """Write an object if the store still has the version that it replaces.

    If the outcome of the write is unknown, the object is read back.

    :param item: the new contents, with the version that they replace
    :returns: the object with its new version
    """
    key = store_key(item.key)
    data = msgspec.json.encode(objects.to_document(item))
    written = await port.put(key, data, item.version)
    if isinstance(written, result.Ok):
        return result.Ok(item._replace(version=written.ok_value))
    failure = written.err_value
    if failure.verdict == verdicts.Verdict.NOT_RUN:
        return written
    found = await port.get(key)
    if isinstance(found, result.Ok) and found.ok_value.data == data:
        return result.Ok(item._replace(version=found.ok_value.version))
    return written
