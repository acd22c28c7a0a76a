"""Keeps the configuration of the blackboard at the store's versions."""

import collections.abc
import typing

import anyio
import msgspec
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import objects
from persimmonpass.peers import port as peer_port
from persimmonpass import store
from persimmonpass import verdicts

PREFIX = 'config/'
METHOD_OFFER = 'config.offer'
METHOD_FETCH = 'config.fetch'
RETRY_SECONDS = 1.0


class Config:
    """The configuration controller of one daemon.

    :ivar ready: set once a configuration was loaded
    """

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        peers: peer_port.PeerPort,
    ) -> None:
        self.ready = anyio.Event()
        self._host = host
        self._board = board
        self._port = port
        self._peers = peers

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls."""
        return {METHOD_OFFER: self._take_offer, METHOD_FETCH: self._give_all}

    async def run(self) -> None:
        """Load the configuration, then follow its changes for ever."""
        version = await self._load()
        while True:
            seen = await self._port.watch(PREFIX, version)
            if isinstance(seen, result.Err):
                await anyio.sleep(RETRY_SECONDS)
                continue
            version = seen.ok_value.version
            for stored in seen.ok_value.changes:
                self.take(decode(stored))

    def take(self, item: objects.ConfigObject | None) -> bool:
        """Put a newer version in force.

        :returns: whether it was newer
        """
        if item is None:
            return False
        present = self._board.objects.get(item.key)
        if present is not None and present.version >= item.version:
            return False
        self._board.objects.put(item.key, item)
        events.log(
            events.CONFIG_APPLIED,
            host=self._host,
            kind=item.kind,
            name=item.name,
            version=item.version,
        )
        return True

    def offer(self, item: objects.ConfigObject) -> None:
        """Put a stored object in force here and tell all peers."""
        if self.take(item):
            peer_port.broadcast(
                self._peers, METHOD_OFFER, objects.to_document(item)
            )

    async def _load(self) -> int:
        """Load everything, from peers while the store does not answer."""
        while True:
            found = await self._port.list(PREFIX)
            if isinstance(found, result.Ok):
                break
            await self._load_from_peers()
            await anyio.sleep(RETRY_SECONDS)
        for stored in found.ok_value:
            self.take(decode(stored))
        self.ready.set()
        return max((stored.version for stored in found.ok_value), default=0)

    async def _load_from_peers(self) -> None:
        for host in self._peers.connected():
            fetched = await self._peers.call(host, METHOD_FETCH, None)
            if isinstance(fetched, result.Ok):
                for document in fetched.ok_value:
                    self.take(objects.from_document(document))
                self.ready.set()
                return

    async def _take_offer(
        self, peer: str, payload: typing.Any
    ) -> result.Result[None, verdicts.Failure]:
        try:
            self.take(objects.from_document(payload))
        except (msgspec.ValidationError, KeyError) as error:
            return result.Err(verdicts.invalid('object', str(error)))
        return result.Ok(None)

    async def _give_all(
        self, peer: str, payload: typing.Any
    ) -> result.Result[list[dict[str, typing.Any]], verdicts.Failure]:
        rows = self._board.objects.rows()
        return result.Ok([objects.to_document(row) for row in rows])


def decode(stored: store.Stored) -> objects.ConfigObject | None:
    """Read a stored object; one that a newer release wrote is skipped."""
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
    """A service and its name."""

    name: str
    spec: objects.ServiceSpec


def find_service(board: blackboard.Blackboard, name: str) -> Service | None:
    """Return the service with a name, or the first that offers a model."""
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
    """Write an object if its version is still the present one.

    :param item: the new contents, at the version that they replace
    :returns: the object at its new version
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
