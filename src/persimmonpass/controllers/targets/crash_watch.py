"""Finds requests that crash targets and notifies all hosts of them.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`controllers.targets.quarantine`. A caller sends such a request again, to
any host. The request is refused once it has crashed several targets, before
it crashes more of them.
"""

import collections
import functools
import typing

import anyio

from persimmonpass.controllers.targets import target_ends
from persimmonpass import events
from persimmonpass.peers import port as peer_port

METHOD_BROKE = 'crash.broke'
METHOD_ANSWERED = 'crash.answered'
# Two targets that ran a request may have crashed for unrelated reasons.
MIN_LOST_TARGETS = 3
RETENTION_SECONDS = 120.0
MAX_REQUESTS = 10_000


class CrashWatch:
    """Targets that crashed at the start of a run, by request."""

    def __init__(
        self,
        host: str,
        peers: peer_port.PeerPort,
        ends: target_ends.Ends | None = None,
    ) -> None:
        """Create an empty table.

        :param ends: tells ends of targets from broken links
        """
        self._ends = ends or target_ends.AllEnd()
        self._host = host
        self._peers = peers
        self._lost: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers."""
        return {
            METHOD_BROKE: peer_port.NoticeHandler(self._handle_crash),
            METHOD_ANSWERED: peer_port.NoticeHandler(self._handle_answer),
        }

    @property
    def has_crashes(self) -> bool:
        """Whether a target has crashed under any request."""
        return bool(self._lost)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run again.

        :param fingerprint: fingerprint of the request
        """
        lost = self._lost.get(fingerprint)
        if lost is None:
            return False
        oldest = anyio.current_time() - RETENTION_SECONDS
        recent = [name for name, time in lost.items() if time > oldest]
        return len(recent) >= MIN_LOST_TARGETS

    def record_crash(self, fingerprint: str, target: str) -> None:
        """Record that a target crashed before the first event of a run.

        :param fingerprint: fingerprint of the request
        :param target: name of the target
        """
        self._confirm(fingerprint, target)
        peer_port.broadcast(self._peers, METHOD_BROKE, [fingerprint, target])

    def record_answer(self, fingerprint: str) -> None:
        """Record that a target has answered a request.

        A request that crashes targets is never answered; the crashes had
        another cause.

        :param fingerprint: fingerprint of the request
        """
        if self._lost.pop(fingerprint, None) is not None:
            peer_port.broadcast(self._peers, METHOD_ANSWERED, fingerprint)

    def _confirm(self, fingerprint: str, target: str) -> None:
        self._ends.confirm(
            target, functools.partial(self._add_crash, fingerprint, target)
        )

    def _add_crash(
        self, fingerprint: str, target: str, has_ended: bool
    ) -> None:
        if not has_ended:
            return
        was_quarantined = self.is_quarantined(fingerprint)
        lost = self._lost.setdefault(fingerprint, {})
        lost[target] = anyio.current_time()
        self._lost.move_to_end(fingerprint)
        if len(self._lost) > MAX_REQUESTS:
            self._lost.popitem(last=False)
        if not was_quarantined and self.is_quarantined(fingerprint):
            events.log(
                events.REQUEST_QUARANTINED,
                host=self._host,
                digest=fingerprint,
                targets=sorted(lost),
            )

    def _handle_answer(self, peer: str, payload: str) -> None:
        self._lost.pop(payload, None)

    def _handle_crash(self, peer: str, payload: typing.Any) -> None:
        fingerprint, target = payload
        self._confirm(fingerprint, target)
