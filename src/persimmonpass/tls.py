"""SSL contexts for a daemon's ports, reloaded when the PEM files change."""

import os
import ssl
import typing

import anyio

from persimmonpass import events
from persimmonpass import exceptions

RELOAD_INTERVAL_SECONDS = 1.0
ALPN_PROTOCOLS = ('h2', 'http/1.1')


class PemFiles(typing.NamedTuple):
    """Paths of the PEM files of a host.

    :ivar cert: certificate of this host, followed by its chain
    :ivar key: private key of the certificate
    :ivar ca: CA certificates that verify the fleet's hosts; empty if peers
        are authenticated by the shared secret alone
    """

    cert: str
    key: str
    ca: str = ''


class TlsContexts:
    """SSL contexts of a daemon.

    A reload changes the contexts in place: new connections use the files that
    were loaded last, and existing connections are not affected.

    :ivar server: for connections of callers and operators
    :ivar peer_server: for connections of peers; if there is a CA file, peers
        must present a certificate
    :ivar peer_client: for connections to peers
    """

    def __init__(self, host: str, files: PemFiles) -> None:
        """Load the files.

        :param host: name of this host, for the log
        :raises SettingsError: if a file can't be read, is not valid PEM, or
            the key does not belong to the certificate
        """
        self._host = host
        self._files = files
        self.server = _make_server()
        self.server.set_alpn_protocols(ALPN_PROTOCOLS)
        self.peer_server = _make_server()
        self.peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Hosts start at changing addresses, so their certificates are
        # verified by the fleet's CA and not by host name.
        self.peer_client.check_hostname = False
        if files.ca:
            self.peer_server.verify_mode = ssl.CERT_REQUIRED
        else:
            self.peer_client.load_default_certs()
        try:
            self._loaded_stamp = self._read_stamp()
            self._load()
        except OSError as error:
            names = '--tls-cert, --tls-key, --tls-ca'
            raise exceptions.SettingsError(f'{names}: {error}') from error

    async def run(self) -> None:
        """Reload the files whenever they change; does not return."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Load the files again if they have changed.

        If a file can't be loaded or the key does not belong to the
        certificate, the contexts stay as they are. This happens while only
        one of the two files has been replaced.
        """
        try:
            stamp = self._read_stamp()
            if stamp == self._loaded_stamp:
                return
            self._load()
        except OSError as error:
            events.log(
                events.TLS_RELOAD_FAILED, host=self._host, message=str(error)
            )
            return
        self._loaded_stamp = stamp
        events.log(events.TLS_RELOADED, host=self._host)

    def _read_stamp(self) -> list[tuple[int, int, int]]:
        """Return mtime, inode and size of each file, to detect changes."""
        stamp = []
        for path in self._files:
            if path:
                status = os.stat(path)
                stamp.append(
                    (status.st_mtime_ns, status.st_ino, status.st_size)
                )
        return stamp

    def _load(self) -> None:
        # Loaded into a new context first: a key that does not belong to the
        # certificate would leave a context in use without a key.
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
