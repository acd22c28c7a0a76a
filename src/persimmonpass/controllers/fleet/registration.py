"""Registers this host in the store, so that new hosts find it."""

import collections.abc
import random

import anyio
import cbor2
import result

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass import store

PREFIX = 'members/'
RETRY_SECONDS = 1.0


class Registration:
    """The row of one daemon in the store.

    :ivar done: set once the row is stored
    """

    def __init__(
        self,
        host: str,
        port: store.StorePort,
        row: collections.abc.Callable[[], blackboard.Member],
        set_incarnation: collections.abc.Callable[[int], None],
    ) -> None:
        self.done = anyio.Event()
        self._key = PREFIX + host
        self._port = port
        self._row = row
        self._set_incarnation = set_incarnation
        self._version = 0
        self._renewal_requested = anyio.Event()

    async def run(self) -> None:
        """Register the host, and again after each :meth:`renew`."""
        while True:
            self._renewal_requested = anyio.Event()
            self._version = await self._register()
            self._set_incarnation(self._version)
            self.done.set()
            await self._renewal_requested.wait()

    def renew(self) -> None:
        """Register again, in case another host has removed the row."""
        self._renewal_requested.set()

    async def remove(self) -> None:
        """Remove the row unless a later run of the host has replaced it."""
        if self.done.is_set():
            await self._port.delete(self._key, self._version)

    async def _register(self) -> int:
        """Write the row and return its version, the incarnation.

        Each write is conditional on the version that was read before. A
        delayed write of an earlier run therefore fails after this one. A new
        host has no row, so that its first write comes before any read.
        """
        if not self._version:
            data = cbor2.dumps(list(self._row()))
            written = await self._port.put(self._key, data, store.CREATE)
            if isinstance(written, result.Ok):
                return written.ok_value
        while True:
            found = await self._port.get(self._key)
            if isinstance(found, result.Ok):
                version = found.ok_value.version
                if decode(found.ok_value).run == self._row().run:
                    return version
            elif found.err_value.event == events.STORE_NOT_FOUND:
                version = store.CREATE
            else:
                await _pause()
                continue
            data = cbor2.dumps(list(self._row()))
            written = await self._port.put(self._key, data, version)
            if isinstance(written, result.Ok):
                return written.ok_value
            await _pause()


async def _pause() -> None:
    await anyio.sleep(RETRY_SECONDS * (1 + random.random()))  # noqa: S311


def decode(stored: store.Stored) -> blackboard.Member:
    """Decode a registered row; its incarnation is the store's version.

    The row shows that a host was started, not that it still runs. Its state
    is therefore ``starting`` until its own heartbeats report another one.
    """
    payload = cbor2.loads(stored.data)
    row = blackboard.Member(*payload[: len(blackboard.Member._fields)])
    return row._replace(incarnation=stored.version, state='starting')
