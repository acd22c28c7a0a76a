"""A TCP forwarder that can cut or silence what passes through it."""

import contextlib
import selectors
import socket
import threading

PASS = 'pass'
CUT = 'cut'
SILENT = 'silent'
CHUNK_BYTES = 65_536
POLL_SECONDS = 0.05


class Forwarder:
    """Forwards connections to an address, in a thread of its own.

    ``cut`` closes every connection and takes no new ones; ``silent`` keeps
    the open ones up but passes nothing on, while new ones work.

    :ivar address: ``ip:port`` where it listens
    """

    def __init__(self, target: str = '') -> None:
        self.target = target
        self.mode = PASS
        self._listener = socket.create_server(('127.0.0.1', 0))
        ip, port = self._listener.getsockname()
        self.address = f'{ip}:{port}'
        self._pairs: dict[socket.socket, socket.socket] = {}
        self._muted: set[socket.socket] = set()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def set_mode(self, mode: str) -> None:
        """Change what happens to connections."""
        self.mode = mode

    def close(self) -> None:
        """Stop and close everything."""
        self._stop.set()
        self._thread.join()
        for end in [*self._pairs, self._listener]:
            end.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            if self.mode == CUT:
                for end in list(self._pairs):
                    self._drop(end)
            if self.mode == SILENT:
                self._muted |= set(self._pairs)
                self.mode = PASS
            for key, _ in self._selector.select(POLL_SECONDS):
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj in self._pairs:
                    self._pass_on(key.fileobj)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        if self.mode == CUT:
            near.close()
            return
        ip, _, port = self.target.rpartition(':')
        try:
            far = socket.create_connection((ip, int(port)), 1.0)
        except OSError:
            near.close()
            return
        self._pairs[near] = far
        self._pairs[far] = near
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(end, selectors.EVENT_READ)

    def _pass_on(self, end: socket.socket) -> None:
        try:
            data = end.recv(CHUNK_BYTES)
            if data and end not in self._muted:
                self._pairs[end].sendall(data)
        except OSError:
            data = b''
        if not data:
            self._drop(end)

    def _drop(self, end: socket.socket) -> None:
        other = self._pairs.pop(end, None)
        if other is None:
            return
        self._pairs.pop(other, None)
        for each in (end, other):
            self._muted.discard(each)
            with contextlib.suppress(KeyError):
                self._selector.unregister(each)
            each.close()
