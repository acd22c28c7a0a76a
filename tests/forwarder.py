"""A TCP forwarder that can close or silence its connections."""

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
    """Forwards connections to an address in its own thread.

    In mode ``cut`` it closes every connection and accepts no new ones. Mode
    ``silent`` keeps the open connections but drops what they send; it does
    not affect new connections.

    :ivar address: ``ip:port`` on which it listens
    """

    def __init__(self, target: str = '') -> None:
        self.target = target
        self.mode = PASS
        self._listener = socket.create_server(('127.0.0.1', 0))
        ip, port = self._listener.getsockname()
        self.address = f'{ip}:{port}'
        self._other_ends: dict[socket.socket, socket.socket] = {}
        self._silenced: set[socket.socket] = set()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def set_mode(self, mode: str) -> None:
        """Set the mode, one of ``pass``, ``cut`` and ``silent``."""
        self.mode = mode

    def close(self) -> None:
        """Stop the thread and close all connections."""
        self._stop.set()
        self._thread.join()
        for end in [*self._other_ends, self._listener]:
            end.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            if self.mode == CUT:
                for end in list(self._other_ends):
                    self._drop(end)
            if self.mode == SILENT:
                self._silenced |= set(self._other_ends)
                self.mode = PASS
            for key, _ in self._selector.select(POLL_SECONDS):
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj in self._other_ends:
                    self._forward(key.fileobj)

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
        self._other_ends[near] = far
        self._other_ends[far] = near
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(end, selectors.EVENT_READ)

    def _forward(self, end: socket.socket) -> None:
        try:
            data = end.recv(CHUNK_BYTES)
            if data and end not in self._silenced:
                self._other_ends[end].sendall(data)
        except OSError:
            data = b''
        if not data:
            self._drop(end)

    def _drop(self, end: socket.socket) -> None:
        other = self._other_ends.pop(end, None)
        if other is None:
            return
        self._other_ends.pop(other, None)
        for sock in (end, other):
            self._silenced.discard(sock)
            with contextlib.suppress(KeyError):
                self._selector.unregister(sock)
            sock.close()
