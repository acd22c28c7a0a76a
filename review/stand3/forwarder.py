"""A TCP forwarder whose open connections can go silent."""

import asyncio
import contextlib


class Forwarder:
    """Forwards connections to an address.

    After :meth:`silence`, the connections that are open carry nothing more, in
    neither direction, and are not closed. New ones work.
    """

    def __init__(self, target):
        self.target = target
        self._open = set()

    async def start(self, address):
        """Listen on ``ip:port``."""
        ip, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def silence(self):
        """Let all open connections go silent; return their number."""
        count = len(self._open)
        for is_silent in self._open:
            is_silent.set()
        self._open.clear()
        return count

    async def _serve(self, reader, writer):
        ip, _, port = self.target.rpartition(':')
        is_silent = asyncio.Event()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.close()
            return
        self._open.add(is_silent)
        pumps = [
            asyncio.ensure_future(pump)
            for pump in (
                _copy(reader, far_writer, is_silent),
                _copy(far_reader, writer, is_silent),
            )
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            self._open.discard(is_silent)
            for pump in pumps:
                pump.cancel()
            for each in (writer, far_writer):
                with contextlib.suppress(OSError):
                    each.close()


async def _copy(reader, writer, is_silent):
    with contextlib.suppress(OSError):
        while True:
            data = await reader.read(65_536)
            if is_silent.is_set():
                # The device on the path has forgotten the connection.
                await asyncio.sleep(3600)
            if not data:
                return
            writer.write(data)
            await writer.drain()
