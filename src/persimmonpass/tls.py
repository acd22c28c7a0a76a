"""TLS for the ports of a daemon, from PEM files that may change."""

import os
import ssl
import typing

import anyio

from persimmonpass import events
from persimmonpass import exceptions

RELOAD_SECONDS = 1.0
ALPN_PROTOCOLS = ('h2', 'http/1.1')


class PemFiles(typing.NamedTuple):
    """PEM files.

    :ivar cert: certificate of this host, followed by its chain
    :ivar key: its private key
    :ivar ca: certificates of the authorities of the fleet's hosts; empty
        where peers are authenticated by the shared secret alone
    """

    cert: str
    key: str
    ca: str = ''


class Tls:
    """Contexts that live as long as the daemon.

    New connections use what was loaded last.

    :ivar server: for callers and operators
    :ivar peer_server: for peers that connect; with an authority they must
        show a certificate
    :ivar peer_client: for connections to peers
    """

    def __init__(self, host: str, files: PemFiles) -> None:
        """Load the files.

        :raises SettingsError: if a file can't be read or is not what it
            should be
        """
        self._host = host
        self._files = files
        self.server = _make_server()
        self.server.set_alpn_protocols(ALPN_PROTOCOLS)
        self.peer_server = _make_server()
        self.peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Hosts come and go at other addresses; the fleet's own authority
        # vouches for them, not a name.
        self.peer_client.check_hostname = False
        if files.ca:
            self.peer_server.verify_mode = ssl.CERT_REQUIRED
        else:
            self.peer_client.load_default_certs()
        try:
            self._seen = self._stamp()
            self._load()
        except OSError as error:
            names = '--tls-cert, --tls-key, --tls-ca'
            raise exceptions.SettingsError(f'{names}: {error}') from error

    async def run(self) -> None:
        """Load the files again whenever they change, for ever."""
        while True:
            await anyio.sleep(RELOAD_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Load the files again if they have changed.

        Files that don't fit each other, as in the middle of a change, leave
        the contexts as they are.
        """
        try:
            stamp = self._stamp()
            if stamp == self._seen:
                return
            self._load()
        except OSError as error:
            events.log(
                events.TLS_RELOAD_FAILED, host=self._host, message=str(error)
            )
            return
        self._seen = stamp
        events.log(events.TLS_RELOADED, host=self._host)

    def _stamp(self) -> list[tuple[int, int, int]]:
        found = []
        for path in self._files:
            if path:
                status = os.stat(path)
                found.append(
                    (status.st_mtime_ns, status.st_ino, status.st_size)
                )
        return found

    def _load(self) -> None:
        # A pair that does not fit would leave a context without a key.
        _load_into(_make_server(), self._files)
        for context in (self.server, self.peer_server, self.peer_client):
            _load_into(context, self._files)


def _make_server() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _load_into(context: ssl.SSLContext, files: PemFiles) -> None:
    context.load_cert_chain(files.cert, files.key)
    if files.ca:
        context.load_verify_locations(files.ca)
