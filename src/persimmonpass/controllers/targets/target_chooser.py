"""Chooses the target of a request from the targets on the blackboard."""

import collections.abc

import anyio
import result

from persimmonpass import blackboard
from persimmonpass.controllers.targets import health
from persimmonpass.controllers.targets import quarantine
from persimmonpass.controllers.targets import targets
from persimmonpass import in_flight
from persimmonpass import objects
from persimmonpass.policy import prefixes
from persimmonpass.policy import routing
from persimmonpass.targets import engine

READ_EVENTS_INTERVAL_SECONDS = 0.5

Blocks = collections.abc.Sequence[int]


class Chooser:
    """Chooses targets and keeps the state that routing needs.

    The state consists of the estimated prefix cache of each target and of
    the number of known requests at the time of its last load report.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        sent: in_flight.InFlight,
        cache_events: engine.ReadCacheEvents,
        healths: health.Health,
        suspects: quarantine.Quarantine,
        availability_zone: str,
        draw: collections.abc.Callable[[int], int],
        choose: routing.Choose = routing.choose,
    ) -> None:
        self._board = board
        self._sent = sent
        self._cache_events = cache_events
        self._healths = healths
        self._suspects = suspects
        self._zone = availability_zone
        self._draw = draw
        self._choose = choose
        self._caches: dict[str, prefixes.PrefixCache] = {}
        self._known_at_report: dict[str, tuple[float, int]] = {}

    def choose(
        self,
        spec: objects.ServiceSpec,
        tried: set[str],
        blocks: Blocks = (),
        size: int = 0,
    ) -> blackboard.Target | None:
        """Return the target for a request, or ``None`` if there is none.

        Targets that are reserved for a suspect are used only if there are no
        others.

        :param tried: names of targets that failed the request
        :param blocks: hashes of the prompt's leading blocks
        :param size: size of the request; 0 if it is not known
        """
        usable = self._usable(spec, tried, size)
        unreserved = [
            target
            for target in usable
            if not self._suspects.is_reserved(target.name)
        ]
        candidates = [
            routing.Candidate(
                target.name,
                target.availability_zone,
                self._work(target.name),
                self._cached(target.name, blocks),
            )
            for target in unreserved or usable
        ]
        name = self._choose(candidates, self._zone, self._draw)
        return self._board.targets.get(name) if name else None

    def count_usable(self, spec: objects.ServiceSpec, tried: set[str]) -> int:
        """Return how many targets may still get a request.

        :param tried: names of targets that failed the request
        """
        return len(self._usable(spec, tried))

    def choose_for_suspect(
        self, spec: objects.ServiceSpec, tried: set[str]
    ) -> blackboard.Target | None:
        """Return the least loaded target that is not reserved for a suspect.

        :param tried: names of targets that failed the request
        :returns: the target, or ``None`` if there is none
        """
        unreserved = [
            target
            for target in self._usable(spec, tried)
            if not self._suspects.is_reserved(target.name)
        ]
        return min(
            unreserved,
            key=lambda target: self._work(target.name),
            default=None,
        )

    def record_sent(self, target: str, blocks: Blocks) -> None:
        """Record that a target computes the blocks of a prompt.

        :param target: name of the target
        :param blocks: hashes of the prompt's leading blocks
        """
        if blocks:
            self._cache(target).add(blocks)

    def forget(self, target: str) -> None:
        """Drop the estimated cache of a target that has crashed.

        :param target: name of the target
        """
        self._caches.pop(target, None)

    async def run(self) -> None:
        """Read the cache events of all engines until cancelled."""
        while True:
            async with anyio.create_task_group() as tasks:
                for target in self._board.targets.rows():
                    if target.kind == 'engine':
                        tasks.start_soon(self._read_events, target)
            self._forget_removed()
            await anyio.sleep(READ_EVENTS_INTERVAL_SECONDS)

    async def _read_events(self, target: blackboard.Target) -> None:
        cache = self._cache(target.name)
        read = await self._cache_events(target, cache.next_number - 1)
        if isinstance(read, result.Err):
            return
        for event in read.ok_value:
            if event.kind == 'removed':
                cache.remove(event.block)
            else:
                cache.add([event.block])
            cache.next_number = event.number + 1

    def _usable(
        self, spec: objects.ServiceSpec, tried: set[str], size: int = 0
    ) -> list[blackboard.Target]:
        found = self._healths.usable(
            targets.find_matching(self._board, spec), size
        )
        return [target for target in found if target.name not in tried]

    def _work(self, name: str) -> int:
        known_now = self._sent.count_known(name)
        load = self._board.loads.get(name)
        if load is None:
            return known_now
        report_time, known_then = self._known_at_report.get(name, (-1.0, 0))
        if report_time != load.report_time:
            known_then = known_now
            self._known_at_report[name] = (load.report_time, known_then)
        return routing.estimate_work(load.reported, known_then, known_now)

    def _cached(self, name: str, blocks: Blocks) -> int:
        cache = self._caches.get(name)
        return cache.count_leading(blocks) if cache and blocks else 0

    def _cache(self, name: str) -> prefixes.PrefixCache:
        return self._caches.setdefault(name, prefixes.PrefixCache())

    def _forget_removed(self) -> None:
        for name in list(self._caches):
            if name not in self._board.targets:
                del self._caches[name]
                self._known_at_report.pop(name, None)
