"""Finds requests on which targets break, and tells all hosts of them.

A caller sends such a request again, to any host. It is refused once it has
broken several targets, before it takes away more of them.
"""

import collections
import typing

import anyio

from persimmonpass import events
from persimmonpass.peers import port as peer_port

METHOD_BROKE = 'crash.broke'
# Two breaks may be two targets that crashed for other reasons.
TARGETS_LOST = 3
REMEMBER_SECONDS = 120.0
MAX_REQUESTS = 10_000


class CrashWatch:
    """Targets that broke at the begin of a run, by request."""

    def __init__(self, host: str, peers: peer_port.PeerPort) -> None:
        self._host = host
        self._peers = peers
        self._lost: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_BROKE: peer_port.Notice(self._take)}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run again."""
        lost = self._lost.get(fingerprint)
        if lost is None:
            return False
        oldest = anyio.current_time() - REMEMBER_SECONDS
        recent = [name for name, at in lost.items() if at > oldest]
        return len(recent) >= TARGETS_LOST

    def record_crash(self, fingerprint: str, target: str) -> None:
        """Take that a target broke before the first event of a run."""
        self._keep(fingerprint, target)
        peer_port.broadcast(self._peers, METHOD_BROKE, [fingerprint, target])

    def _keep(self, fingerprint: str, target: str) -> None:
        known = self.is_quarantined(fingerprint)
        lost = self._lost.setdefault(fingerprint, {})
        lost[target] = anyio.current_time()
        self._lost.move_to_end(fingerprint)
        if len(self._lost) > MAX_REQUESTS:
            self._lost.popitem(last=False)
        if not known and self.is_quarantined(fingerprint):
            events.log(
                events.REQUEST_QUARANTINED,
                host=self._host,
                digest=fingerprint,
                targets=sorted(lost),
            )

    def _take(self, peer: str, payload: typing.Any) -> None:
        fingerprint, target = payload
        self._keep(fingerprint, target)
