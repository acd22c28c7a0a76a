"""Runs the items of batch jobs beside online requests.

One live host runs all items of a fleet of this size, so that it knows each
place that batch takes. Whoever runs, the log of results allows one result an
item; a second runner costs work, never correctness.
"""

import typing

import anyio
import anyio.abc

from persimmonpass import blackboard
from persimmonpass.controllers import admission_queue
from persimmonpass.controllers import batch_role
from persimmonpass.controllers import catalog
from persimmonpass.controllers import item_attempt
from persimmonpass.controllers import job_log
from persimmonpass.controllers import occupancy
from persimmonpass.controllers import target_stats
from persimmonpass import events
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import batch_scheduling as policy
from persimmonpass import routes
from persimmonpass.targets import opaque

METHOD_PROGRESS = 'batch.progress'
TICK_SECONDS = 0.1
# Changes within this time are met by one step: a step looks at all items, and
# in a large fleet something changes every millisecond. An event of a stream
# takes four times as long.
STEP_SECONDS = 0.005
# Hosts that would take over are told what items have, so that a kill costs
# little of it.
PROGRESS_SECONDS = 0.25
BACKUP_HOSTS = 2
# An item that made way is not put into the next gap at once.
PREEMPTED_SECONDS = 0.15
# Results of a job travel together; callers read twice a second.
LINGER_SECONDS = 0.8
# Near the end of its time a job's results are written at once.
HURRY_SECONDS = 3.0
MAX_GROUP_BYTES = 600_000
RETRY_SECONDS = 0.1
# An item whose route is gone so long is given up.
ROUTE_GONE_SECONDS = 15.0
# A new sample's part of the mean of items.
MEAN_WEIGHT = 0.1


class RunnerPorts(typing.NamedTuple):
    """What the runner works with."""

    board: blackboard.Blackboard
    log: job_log.JobLog
    queue: admission_queue.AdmissionQueue
    occupied: occupancy.Occupancy
    target_stats: target_stats.TargetStats
    targets: opaque.TargetClient
    peers: peer_port.PeerPort
    metrics: gateway_metrics.GatewayMetrics
    role: batch_role.BatchRole


class ItemRunner:
    """The batch controller of one host."""

    def __init__(self, host: str, ports: RunnerPorts) -> None:
        self._host = host
        self._ports = ports
        self._items: dict[tuple[str, int], item_attempt.Item] = {}
        self._committing: set[str] = set()
        self._role = ports.role
        self._attempts = item_attempt.Attempts(
            host, ports.targets, ports.target_stats, ports.metrics
        )
        self._told: dict[str, dict[tuple[str, int], int]] = {}
        self._told_at = 0.0
        self._wake = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._item_seconds = 5.0
        self._item_events = 0.0
        ports.occupied.changed.append(self._poke)
        ports.log.changed.append(self._poke)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' notices."""
        return {METHOD_PROGRESS: peer_port.Notice(self._take_progress)}

    @property
    def running(self) -> int:
        """Items that this host runs."""
        return sum(1 for item in self._items.values() if item.scope)

    def _poke(self) -> None:
        self._wake.set()

    async def run(self) -> None:
        """Run items for ever while this host is the one to do so."""
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    with anyio.move_on_after(TICK_SECONDS):
                        await self._wake.wait()
                    self._wake = anyio.Event()
                    self._step()
                    await anyio.sleep(STEP_SECONDS)
        finally:
            self._items.clear()

    def _step(self) -> None:
        changed = self._role.judge()
        if changed:
            # What others were told in an earlier term counts no more.
            self._told.clear()
        ceased = changed and not self._role.is_runner
        self._drop_done()
        if self._role.is_runner:
            self._yield_places()
            self._start_items()
        elif ceased or self.running:
            self._stop_all()
        self._commit_due()
        self._tell_progress(anyio.current_time(), ceased)
        self._ports.metrics.batch_running.set(self.running)

    def _stop_all(self) -> None:
        for item in self._items.values():
            if item.scope is not None:
                item.scope.cancel()

    def _tell_progress(self, now: float, ceased: bool) -> None:
        """Tell the hosts that would take over what items have.

        :param ceased: another host runs them now and is told everything
        """
        is_due = now - self._told_at >= PROGRESS_SECONDS
        if not ceased and not (self._role.is_runner and is_due):
            return
        self._told_at = now
        backups = self._role.successors()[:BACKUP_HOSTS]
        holder = self._role.holder
        if ceased and holder is not None and holder not in backups:
            backups.append(holder)
        # A link that was lost may have lost what was told.
        connected = set(self._ports.peers.connected())
        self._told = {
            peer: self._told.get(peer, {})
            for peer in backups
            if peer in connected
        }
        for peer, told in self._told.items():
            rows = []
            for key, item in self._items.items():
                count = told.get(key, 0)
                if item.outcome is None and len(item.text.texts) > count:
                    rows.append(
                        [
                            *key,
                            self._role.source,
                            count,
                            item.text.last_id,
                            item.text.texts[count:],
                        ]
                    )
                    told[key] = len(item.text.texts)
            for key in set(told) - set(self._items):
                del told[key]
            if rows:
                self._ports.peers.notify(peer, METHOD_PROGRESS, rows)

    def _take_progress(self, peer: str, payload: typing.Any) -> None:
        """Keep what another host's items have, in case it ends."""
        for job_id, number, source, count, last_id, texts in payload:
            item = self._items.setdefault(
                (job_id, number), item_attempt.Item()
            )
            if item.scope is None and item.outcome is None:
                item.text.apply(
                    item_text.Source(*source), count, last_id, texts
                )

    def _drop_done(self) -> None:
        """Forget what has its result, stop what was ended."""
        for key, item in list(self._items.items()):
            state = self._ports.log.jobs.get(key[0])
            if state is None or state.job is None:
                # Another host tells of a job before the store does.
                continue
            is_over = state.ended or state.job.items[key[1]].id in state.done
            if is_over:
                if item.scope is not None:
                    item.scope.cancel()
                else:
                    del self._items[key]

    def _places(self, service: str) -> list[policy.TargetLoad]:
        return [
            policy.TargetLoad(
                spot.name, spot.slots, spot.online, spot.batch, spot.slowdown
            )
            for spot in self._ports.queue.candidates(service)
        ]

    def _yield_places(self) -> None:
        """Stop items that stand in the way of online requests."""
        by_target: dict[str, list[tuple[str, int]]] = {}
        for key, item in self._items.items():
            if item.scope is not None and item.target is not None:
                by_target.setdefault(item.target, []).append(key)
        for name, keys in by_target.items():
            row = self._ports.board.targets.get(name)
            if row is None:
                continue
            counts = self._ports.occupied.counts_at(name)
            place = policy.TargetLoad(
                name,
                row.slots or admission_queue.DEFAULT_SLOTS,
                counts.online,
                counts.batch,
            )
            count = policy.excess_items(place)
            if not count:
                continue
            running = [
                policy.Running(
                    key,
                    self._due_at(key[0]),
                    len(self._items[key].text.texts),
                )
                for key in keys
            ]
            for key in policy.victims(running, count):
                item = self._items[key]
                if item.scope is not None:
                    events.log(
                        events.BATCH_PREEMPTED,
                        host=self._host,
                        job=key[0],
                        item=key[1],
                        target=name,
                        online=counts.online,
                        batch=counts.batch,
                        events=len(item.text.texts),
                    )
                    item.scope.cancel()
                    item.not_before = anyio.current_time() + PREEMPTED_SECONDS
                    # Its place is free from now on.
                    self._leave(item)

    def _leave(self, item: item_attempt.Item) -> None:
        if item.target is not None:
            target, item.target = item.target, None
            self._ports.occupied.add_batch(target, -1)

    def _due_at(self, job_id: str) -> float:
        state = self._ports.log.jobs.get(job_id)
        if state is None or state.job is None:
            return 0.0
        route = self._route(state.job)
        due = route.due_seconds if route is not None else 0.0
        return state.seen_at - state.age_seconds + due

    def _route(self, job: job_records.Job) -> routes.Route | None:
        configuration = self._ports.board.routes.get(catalog.ROUTES_KEY)
        if configuration is None or not job.items:
            return None
        path = job.items[0].path.partition('?')[0]
        return routes.find(configuration.routes, job.host, path)

    def _pending(self, now: float) -> list[policy.Pending]:
        found = []
        for job_id, state in self._ports.log.jobs.items():
            if not state.is_open:
                continue
            due_at = self._due_at(job_id)
            for number in state.open_items:
                item = self._items.get((job_id, number))
                left = self._item_seconds
                if item is not None:
                    left = policy.left_seconds(
                        left, self._item_events, len(item.text.texts)
                    )
                    if item.scope is not None or item.outcome is not None:
                        continue
                    if now < item.not_before:
                        continue
                found.append(
                    policy.Pending(job_id, number, due_at, left, state.order)
                )
        found.sort(key=lambda pending: policy.rank(pending, now))
        return found

    def _start_items(self) -> None:
        now = anyio.current_time()
        if self._tasks is None:
            return
        places: dict[str, list[policy.TargetLoad]] = {}
        full: set[str] = set()
        for pending in self._pending(now):
            state = self._ports.log.jobs[pending.job]
            if state.job is None:
                continue
            route = self._route(state.job)
            if route is None:
                self._note_no_route(pending, state.job, now)
                continue
            number = pending.item
            service = routes.pick_service(route, state.job.items[number].id)
            if service in full:
                continue
            if service not in places:
                places[service] = self._places(service)
            name = policy.pick_target(places[service])
            target = self._ports.board.targets.get(name) if name else None
            if target is None:
                full.add(service)
                continue
            key = (pending.job, number)
            item = self._items.setdefault(key, item_attempt.Item())
            item.target = target.name
            item.scope = anyio.CancelScope()
            self._ports.occupied.add_batch(target.name, 1)
            places[service] = policy.with_item_added(
                places[service], target.name
            )
            self._tasks.start_soon(
                self._run_item, key, item, state.job, route, target
            )

    def _note_no_route(
        self, pending: policy.Pending, job: job_records.Job, now: float
    ) -> None:
        """Give up items whose route has been gone for a while."""
        key = (pending.job, pending.item)
        item = self._items.setdefault(key, item_attempt.Item())
        if item.route_missing_at is None:
            item.route_missing_at = now
        if now - item.route_missing_at >= ROUTE_GONE_SECONDS:
            self._attempts.finish(
                key,
                item,
                job_records.ItemResult(
                    job.items[pending.item].id, job_records.State.FAILED
                ),
                'no route',
            )

    async def _run_item(
        self,
        key: tuple[str, int],
        item: item_attempt.Item,
        job: job_records.Job,
        route: routes.Route,
        target: blackboard.Target,
    ) -> None:
        began = anyio.current_time()
        had = len(item.text.texts)
        item.text.claim(self._role.source)
        scope = item.scope or anyio.CancelScope()
        events.log(
            events.ITEM_STARTED,
            host=self._host,
            job=key[0],
            item=job.items[key[1]].id,
            target=target.name,
            after=item.text.last_id,
        )
        cause = 'stopped'
        try:
            with scope:
                cause = await self._attempts.run(key, item, job, route, target)
        finally:
            self._leave(item)
            item.scope = None
        now = anyio.current_time()
        if item.outcome is None:
            self._ports.metrics.items.labels('stopped').inc()
            events.log(
                events.ITEM_STOPPED,
                host=self._host,
                job=key[0],
                item=job.items[key[1]].id,
                target=target.name,
                cause=cause,
                events=len(item.text.texts),
                ms=round(1000 * (now - began)),
            )
        elif not had and item.text.texts:
            self._item_seconds += MEAN_WEIGHT * (
                now - began - self._item_seconds
            )
            count = len(item.text.texts)
            self._item_events = self._item_events or count
            self._item_events += MEAN_WEIGHT * (count - self._item_events)
        self._poke()

    def _commit_due(self) -> None:
        now = anyio.current_time()
        done: dict[str, list[item_attempt.Item]] = {}
        for key, item in self._items.items():
            if item.outcome is not None:
                done.setdefault(key[0], []).append(item)
        for job_id, items in done.items():
            state = self._ports.log.jobs.get(job_id)
            if state is None or job_id in self._committing:
                continue
            oldest = min(item.done_at for item in items)
            due_at = self._due_at(job_id)
            hurry = due_at - HURRY_SECONDS < now < due_at
            all_done = len(items) >= len(state.open_items)
            if not (all_done or hurry or now - oldest >= LINGER_SECONDS):
                continue
            self._committing.add(job_id)
            if self._tasks is not None:
                self._tasks.start_soon(self._commit, job_id, items)

    async def _commit(
        self, job_id: str, items: list[item_attempt.Item]
    ) -> None:
        results: list[job_records.ItemResult] = []
        size = 0
        for item in sorted(items, key=lambda item: item.done_at):
            if item.outcome is None:
                continue
            size += len(item.outcome.output)
            if results and size > MAX_GROUP_BYTES:
                break
            results.append(item.outcome)
        try:
            if not await self._ports.log.commit(job_id, results):
                await anyio.sleep(RETRY_SECONDS)
        finally:
            self._committing.discard(job_id)
            self._poke()
