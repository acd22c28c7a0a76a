"""Runs the items of batch jobs beside online requests.

In a fleet of the present size, one live host, the batch runner, runs all
items, so that it knows each slot that batch items take up. The log of results
allows only one result per item. Therefore a second runner wastes work, but
does not affect correctness.

``persimmonpass-gateway`` uses this module; ``persimmonpassd`` uses
:mod:`controllers.batch.batch_runner`.
"""

import collections.abc
import math
import typing

import anyio
import anyio.abc

from persimmonpass import blackboard
from persimmonpass.controllers.batch import batch_role
from persimmonpass.controllers.batch import item_attempt
from persimmonpass.controllers.batch import item_holds
from persimmonpass.controllers.batch import job_log
from persimmonpass.controllers.fleet import catalog
from persimmonpass.controllers.online import admission_queue
from persimmonpass.controllers.targets import crash_parts
from persimmonpass.controllers.targets import occupancy
from persimmonpass.controllers.targets import target_ends
from persimmonpass.controllers.targets import target_limits
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass import gateway_metrics
from persimmonpass import item_text
from persimmonpass import job_records
from persimmonpass import numerals
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import batch
from persimmonpass.policy import batch_scheduling as policy
from persimmonpass.policy import refusals
from persimmonpass.policy import stream_versions
from persimmonpass import routes
from persimmonpass.targets import opaque

METHOD_PROGRESS = 'batch.progress'
TICK_SECONDS = 0.1
# A host that runs no items checks this often whether it has to take over, and
# a host that may not take over whether it may.
STANDBY_TICK_SECONDS = 0.2
EXCLUDED_TICK_SECONDS = 1.0
# One step handles all changes within this time. A step looks at all items, and
# in a large fleet something changes every millisecond. The time between two
# events of a stream is four times as long.
STEP_INTERVAL_SECONDS = 0.005
# Items are started this often, as ranking all waiting items takes milliseconds
# in a large fleet. An item runs for seconds.
START_INTERVAL_SECONDS = 0.02
# While all targets are full, waiting items are looked at only for those whose
# route is missing.
FULL_START_INTERVAL_SECONDS = 0.5
# Backup hosts are sent the progress of items this often, so that little
# progress is lost if this host is killed.
PROGRESS_INTERVAL_SECONDS = 0.25
MAX_BACKUP_HOSTS = 2
# A preempted item waits this long, so that it does not take the next free slot
# at once.
PREEMPTED_RETRY_SECONDS = 0.15
# Results of a job are collected for this time and written together. Callers
# read twice a second.
MAX_COMMIT_DELAY_SECONDS = 0.8
# A job's results are written at once if the job is due within this time.
DUE_SOON_SECONDS = 3.0
MAX_GROUP_BYTES = 600_000
COMMIT_RETRY_SECONDS = 0.1
# An item fails if its route has been missing without a break for this time.
ROUTE_MISSING_TIMEOUT_SECONDS = 15.0


class RunnerPorts(typing.NamedTuple):
    """Dependencies of the item runner.

    :ivar ends: tells ends of targets from broken links
    :ivar read_account: returns the account of a job, empty for none
    """

    board: blackboard.Blackboard
    log: job_log.JobLog
    queue: admission_queue.AdmissionQueue
    occupied: occupancy.Occupancy
    target_stats: target_stats.TargetStats
    target_limits: target_limits.TargetLimits
    target_paths: target_paths.TargetPaths
    targets: opaque.TargetClient
    crash_parts: crash_parts.CrashParts
    peers: peer_port.PeerPort
    metrics: gateway_metrics.GatewayMetrics
    role: batch_role.BatchRole
    ends: target_ends.Ends = target_ends.AllEnd()
    read_account: collections.abc.Callable[[job_records.Job], str] = (
        lambda job: ''
    )


class _RefusedJob(typing.NamedTuple):
    """A job of which targets have refused items.

    :ivar refusals: refusals in a row, of any of its items
    :ivar set_back_until: local clock until which its items come after those
        of other jobs, in seconds
    """

    refusals: int = 0
    set_back_until: float = 0.0


class ItemRunner:
    """Runs batch items while this host is the batch runner."""

    def __init__(self, host: str, ports: RunnerPorts) -> None:
        self._host = host
        self._ports = ports
        self._items: dict[tuple[str, int], item_attempt.LocalItem] = {}
        # Those of the items that run, and those whose result has to be stored.
        self._running: dict[tuple[str, int], item_attempt.LocalItem] = {}
        self._finished: dict[tuple[str, int], item_attempt.LocalItem] = {}
        self._log_changed = False
        self._items_started_at = 0.0
        self._is_start_postponed = False
        self._committing: set[str] = set()
        self._role = ports.role
        self._attempts = item_attempt.ItemAttempts(
            host,
            ports.targets,
            ports.target_stats,
            ports.target_paths,
            ports.crash_parts,
            ports.metrics,
            ports.ends,
        )
        self._holds = item_holds.ItemHolds(
            ports.crash_parts,
            lambda item: ports.targets.read_prompt_parts(
                item_attempt.encode_headers(item, '', 'replace')
            ),
        )
        self._sent_counts: dict[
            str, dict[tuple[str, int], tuple[int, int]]
        ] = {}
        self._progress_sent_at = 0.0
        self._wake = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._pace = policy.ItemPace()
        # Tokens that each account was served, while it has open jobs.
        self._share = batch.Share()
        self._accounts: dict[str, str] = {}
        self._refused_jobs: dict[str, _RefusedJob] = {}
        # Index of the routes of the configuration that it was made from.
        self._indexed: routes.Configuration | None = None
        self._job_routes = routes.JobRoutes(())
        ports.occupied.changed.append(self._wake_up)
        ports.log.changed.append(self._mark_log_changed)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of notices from peers, by method."""
        return {
            METHOD_PROGRESS: peer_port.NoticeHandler(self._handle_progress)
        }

    @property
    def running(self) -> int:
        """Number of items that this host runs."""
        return len(self._running)

    def _mark_log_changed(self) -> None:
        self._log_changed = True
        self._wake_up()

    def _wake_up(self) -> None:
        if self._role.is_runner:
            self._wake.set()

    def _tick_seconds(self) -> float:
        if self._is_start_postponed:
            return START_INTERVAL_SECONDS
        if self._role.is_runner or self.running:
            return TICK_SECONDS
        if self._role.is_candidate or self._items:
            return STANDBY_TICK_SECONDS
        return EXCLUDED_TICK_SECONDS

    async def run(self) -> None:
        """Run items while this host is the batch runner, until cancelled."""
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    with anyio.move_on_after(self._tick_seconds()):
                        await self._wake.wait()
                    self._wake = anyio.Event()
                    self._step()
                    await anyio.sleep(STEP_INTERVAL_SECONDS)
        finally:
            self._items.clear()
            self._running.clear()
            self._finished.clear()

    def _step(self) -> None:
        changed = self._role.update()
        if changed:
            # Each term is a new source, and peers append only to events of
            # the same source. Send the whole texts again.
            self._sent_counts.clear()
        has_stopped = changed and not self._role.is_runner
        if self._log_changed:
            self._log_changed = False
            self._drop_finished()
        if self._role.is_runner:
            self._preempt_items()
            self._start_items()
        elif has_stopped or self.running:
            self._stop_all()
        self._commit_due()
        self._send_progress(anyio.current_time(), has_stopped)
        self._set_gauges()

    def _set_gauges(self) -> None:
        metrics = self._ports.metrics
        metrics.batch_running.set(self.running)
        metrics.parts_refused.set(self._ports.crash_parts.refused_count)
        metrics.waiting_for_trial.set(
            self._holds.waiting if self._role.is_runner else 0
        )

    def _stop_all(self) -> None:
        for item in self._running.values():
            if item.scope is not None:
                item.scope.cancel()

    def _send_progress(self, now: float, has_stopped: bool) -> None:
        """Send the events of items to the hosts that would take over.

        :param has_stopped: this host has just stopped being the batch
            runner, so the new runner is sent all events
        """
        is_due = now - self._progress_sent_at >= PROGRESS_INTERVAL_SECONDS
        if not has_stopped and not (self._role.is_runner and is_due):
            return
        self._progress_sent_at = now
        backups = self._role.successors()[:MAX_BACKUP_HOSTS]
        holder = self._role.holder
        if has_stopped and holder is not None and holder not in backups:
            backups.append(holder)
        # Progress may have been lost with a lost link, so a peer that
        # reconnects is sent everything again.
        connected = set(self._ports.peers.connected())
        self._sent_counts = {
            peer: self._sent_counts.get(peer, {})
            for peer in backups
            if peer in connected
        }
        for peer, sent_counts in self._sent_counts.items():
            rows = []
            for key, item in self._items.items():
                restarts, count = sent_counts.get(key, (0, 0))
                if restarts != item.text.restarts:
                    # Backup hosts replace their text by that of the new run.
                    count = 0
                if item.outcome is None and len(item.text.texts) > count:
                    rows.append(
                        [
                            *key,
                            self._role.source,
                            count,
                            item.text.last_id,
                            item.text.texts[count:],
                            item.text.origin,
                        ]
                    )
                    sent_counts[key] = (
                        item.text.restarts,
                        len(item.text.texts),
                    )
            for key in set(sent_counts) - set(self._items):
                del sent_counts[key]
            if rows:
                self._ports.peers.notify(peer, METHOD_PROGRESS, rows)

    def _handle_progress(self, peer: str, payload: typing.Any) -> None:
        """Store another host's progress, to resume its items if it fails."""
        for job_id, number, source, count, last_id, texts, origin in payload:
            item = self._items.setdefault(
                (job_id, number), item_attempt.LocalItem()
            )
            if item.scope is None and item.outcome is None:
                item.text.apply(
                    item_text.Source(*source),
                    count,
                    last_id,
                    texts,
                    stream_versions.Origin(*origin) if origin else None,
                )

    def _drop_finished(self) -> None:
        """Drop items that have a stored result or whose job has ended."""
        for key, item in list(self._items.items()):
            state = self._ports.log.jobs.get(key[0])
            if state is None or state.job is None:
                # A peer's progress may arrive before the job's record.
                continue
            is_over = state.ended or state.job.items[key[1]].id in state.done
            if is_over:
                if item.scope is not None:
                    item.scope.cancel()
                    # The next step after its end drops it.
                    self._log_changed = True
                else:
                    del self._items[key]
                    self._finished.pop(key, None)
        self._accounts = {
            job_id: account
            for job_id, account in self._accounts.items()
            if job_id in self._ports.log.jobs
        }
        for job_id in self._refused_jobs.keys() - self._ports.log.jobs.keys():
            del self._refused_jobs[job_id]

    def _target_loads(self, service: str) -> list[policy.TargetLoad]:
        return [
            policy.TargetLoad(
                candidate.name,
                candidate.slots,
                candidate.online,
                candidate.batch,
                candidate.slowdown,
                candidate.software,
                candidate.allowance,
                candidate.is_on_trial,
                candidate.refuses_from,
            )
            for candidate in self._ports.queue.candidates(service)
        ]

    def _preempt_items(self) -> None:
        """Stop items whose slots online requests need."""
        by_target: dict[str, list[tuple[str, int]]] = {}
        for key, item in self._running.items():
            if item.target is not None:
                by_target.setdefault(item.target, []).append(key)
        for name, keys in by_target.items():
            row = self._ports.board.targets.get(name)
            if row is None:
                continue
            counts = self._ports.occupied.counts_at(name)
            load = policy.TargetLoad(
                name,
                row.slots or admission_queue.DEFAULT_SLOTS,
                counts.online,
                counts.batch,
            )
            count = policy.excess_items(load)
            if not count:
                continue
            running = [
                policy.Running(
                    key,
                    self._get_due_at(key[0]),
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
                    item.not_before = (
                        anyio.current_time() + PREEMPTED_RETRY_SECONDS
                    )
                    # Count the slot as free at once, before the task ends.
                    self._release_slot(item)

    def _release_slot(self, item: item_attempt.LocalItem) -> None:
        if item.target is not None:
            target, item.target = item.target, None
            self._ports.occupied.add_batch(target, -1)

    def _get_due_at(self, job_id: str) -> float:
        state = self._ports.log.jobs.get(job_id)
        if state is None or state.job is None:
            return 0.0
        route = self._find_route(state.job, 0) if state.job.items else None
        due = route.due_seconds if route is not None else 0.0
        return state.seen_at - state.age_seconds + due

    def _find_route(
        self, job: job_records.Job, number: int
    ) -> routes.Route | None:
        """Return the route of an item, ``None`` if it has none now."""
        configuration = self._ports.board.routes.get(catalog.ROUTES_KEY)
        if configuration is None:
            return None
        if configuration is not self._indexed:
            self._indexed = configuration
            self._job_routes = routes.JobRoutes(configuration.routes)
        return self._job_routes.find(
            job.route, job.host, job.items[number].path
        )

    def _list_pending(self, now: float) -> list[policy.Pending]:
        found = []
        for job_id, state in self._ports.log.jobs.items():
            if not state.is_open or state.job is None:
                continue
            account = self._get_account(state.job)
            due_at = self._get_due_at(job_id)
            refused = self._refused_jobs.get(job_id)
            is_set_back = refused is not None and now < refused.set_back_until
            for number in state.open_items:
                item = self._items.get((job_id, number))
                left = policy.run_seconds(self._pace)
                if item is not None:
                    left *= policy.left_share(self._pace, len(item.text.texts))
                    if item.scope is not None or item.outcome is not None:
                        continue
                    if now < item.ready_at:
                        continue
                pending = policy.Pending(
                    job_id,
                    number,
                    due_at,
                    left,
                    state.order,
                    is_set_back=is_set_back,
                )
                cost = self._cost(state.job, number)
                found.append((pending, account, cost))
        if any(account for _, account, _ in found):
            ranked = policy.tag_items(found, self._share, now)
        else:
            ranked = [pending for pending, _, _ in found]
        ranked.sort(key=lambda pending: policy.rank(pending, now))
        return self._holds.without_held(
            ranked,
            lambda job_id: self._ports.log.jobs[job_id].job,
            self._count_crashes,
        )

    def _count_crashes(self, pending: policy.Pending) -> int:
        item = self._items.get((pending.job, pending.item))
        return 0 if item is None else item.crashes

    def _get_account(self, job: job_records.Job) -> str:
        """Return the account of a job, which never changes."""
        account = self._accounts.get(job.id)
        if account is None:
            account = self._ports.read_account(job)
            self._accounts[job.id] = account
        return account

    def _charge_account(self, job: job_records.Job, number: int) -> None:
        """Charge the account of an item that starts with its tokens.

        Each run is charged, because each takes a slot. Thus an account whose
        items fail at each run gets no more slots than the others. A run that
        goes on after an event is charged with the rest.
        """
        account = self._get_account(job)
        if account or self._share.finish:
            self._share = batch.record_served(
                self._share, account, self._cost(job, number)
            )

    def _cost(self, job: job_records.Job, number: int) -> int:
        """Return the tokens of an item's next run, at least 1."""
        item = self._items.get((job.id, number))
        received = len(item.text.texts) if item is not None else 0
        share = policy.left_share(self._pace, received)
        # Earlier builds accepted jobs with numbers beyond those of a float.
        tokens = min(numerals.MAX_INTEGER, max(0, job.items[number].tokens))
        return max(1, round(share * tokens))

    def _start_items(self) -> None:
        now = anyio.current_time()
        elapsed = now - self._items_started_at
        self._is_start_postponed = elapsed < START_INTERVAL_SECONDS
        if self._tasks is None or self._is_start_postponed:
            return
        usable, loads = self._loads_of_services()
        if not loads and elapsed < FULL_START_INTERVAL_SECONDS:
            return
        self._items_started_at = now
        # Smallest item that found no free slot; a larger one finds none.
        full_for: dict[str, int] = {}
        unanswered = self._find_unanswered()
        for pending in self._list_pending(now):
            state = self._ports.log.jobs[pending.job]
            if state.job is None:
                continue
            number = pending.item
            route = self._find_route(state.job, number)
            if route is None:
                self._record_missing_route(pending, state.job, now)
                continue
            known = self._items.get((pending.job, number))
            if known is not None:
                known.route_missing_at = None
            service = _pick_service(
                route, state.job.items[number].id, known, usable
            )
            tokens = max(0, state.job.items[number].tokens)
            if service not in loads or tokens >= full_for.get(
                service, math.inf
            ):
                continue
            waiting = self._ports.occupied.waiting(service).total
            key = (pending.job, number)
            is_trial = key in self._holds.trials
            # A trial that another item's crash ends says nothing.
            is_suspect = is_trial or known is not None and known.is_suspect
            usable_loads = loads[service]
            if unanswered and (is_suspect or any(unanswered.values())):
                usable_loads = policy.apart(
                    usable_loads, unanswered, is_suspect=is_suspect
                )
            name = policy.pick_target(
                usable_loads, waiting=waiting, tokens=tokens
            )
            if name is None:
                if not is_suspect:
                    full_for[service] = tokens
                continue
            item = self._items.setdefault(key, item_attempt.LocalItem())
            if item.text.origin is not None:
                name = self._pick_to_resume(
                    key, item, route, service, usable_loads, tokens
                )
            target = self._ports.board.targets.get(name) if name else None
            if target is None:
                continue
            item.target = target.name
            item.is_trial = is_trial
            item.waits_for_event = True
            unanswered[target.name] = is_suspect
            item.scope = anyio.CancelScope()
            self._running[key] = item
            self._charge_account(state.job, number)
            self._ports.target_limits.record_send(target.name)
            self._ports.occupied.add_batch(target.name, 1)
            loads[service] = policy.with_item_added(
                loads[service], target.name
            )
            self._tasks.start_soon(
                self._run_item, key, item, state.job, route, target
            )

    def _find_unanswered(self) -> dict[str, bool]:
        """Return where items wait for their first event.

        :returns: by the name of the target, whether one of them is a suspect
        """
        found: dict[str, bool] = {}
        for item in self._running.values():
            if item.target is not None and item.waits_for_event:
                found[item.target] = (
                    item.is_suspect
                    or item.is_trial
                    or found.get(item.target, False)
                )
        return found

    def _pick_to_resume(
        self,
        key: tuple[str, int],
        item: item_attempt.LocalItem,
        route: routes.Route,
        service: str,
        loads: list[policy.TargetLoad],
        tokens: int,
    ) -> str | None:
        """Return the target at which a begun item goes on.

        An item whose software has no free slot for long, or has left, starts
        again from its first event.

        :param service: service that runs the item now
        :param loads: load of its usable targets, one of which has a free slot
        :param tokens: size of the item
        :returns: ``None`` if the item has to wait
        """
        now = anyio.current_time()
        if item.waits_since is None:
            item.waits_since = now
        origin = item.text.origin
        is_same_service = origin is not None and origin.service == service
        choice = policy.choose_to_resume(
            loads,
            origin.software if origin and is_same_service else None,
            is_listed=origin is not None
            and origin.service in route.services
            and any(
                (row.service, row.software) == origin and not row.leaving
                for row in self._ports.board.targets.rows()
            ),
            waited_seconds=now - item.waits_since,
            waiting=self._ports.occupied.waiting(service).total,
            tokens=tokens,
        )
        if choice.restarts:
            events.log(
                events.ITEM_RESTARTED,
                host=self._host,
                job=key[0],
                item=key[1],
                software=origin.software if origin else None,
                events=len(item.text.texts),
            )
            item.text.restart()
        if choice.target is not None:
            item.waits_since = None
        return choice.target

    def _loads_of_services(
        self,
    ) -> tuple[set[str], dict[str, list[policy.TargetLoad]]]:
        """Return the usable services and the target loads of free ones.

        :returns: services with a target that may get items, now or once it
            has a free slot; loads of the targets of those with a free slot
        """
        configuration = self._ports.board.routes.get(catalog.ROUTES_KEY)
        if configuration is None:
            return set(), {}
        services = {
            share.service
            for route in configuration.routes
            for share in route.shares
        }
        loads = {name: self._target_loads(name) for name in services}
        return (
            {name for name, rows in loads.items() if rows},
            {
                name: rows
                for name, rows in loads.items()
                if policy.pick_target(
                    rows, waiting=self._ports.occupied.waiting(name).total
                )
                is not None
            },
        )

    def _record_missing_route(
        self, pending: policy.Pending, job: job_records.Job, now: float
    ) -> None:
        """Record that an item has no route; fail it after a time limit."""
        key = (pending.job, pending.item)
        item = self._items.setdefault(key, item_attempt.LocalItem())
        if item.route_missing_at is None:
            item.route_missing_at = now
        if now - item.route_missing_at >= ROUTE_MISSING_TIMEOUT_SECONDS:
            self._attempts.finish(
                key,
                item,
                job_records.ItemResult(
                    job.items[pending.item].id, job_records.State.FAILED
                ),
                'no route for the job',
            )
            self._finished[key] = item

    async def _run_item(
        self,
        key: tuple[str, int],
        item: item_attempt.LocalItem,
        job: job_records.Job,
        route: routes.Route,
        target: blackboard.Target,
    ) -> None:
        started_at = anyio.current_time()
        if item.text.last_id is None:
            # No run can go on after an event without an id.
            item.text.restart()
        events_before = len(item.text.texts)
        refusals_before = item.refusals
        item.text.claim(self._role.source)
        scope = item.scope or anyio.CancelScope()
        events.log(
            events.ITEM_STARTED,
            host=self._host,
            job=key[0],
            item=job.items[key[1]].id,
            target=target.name,
            version=target.software_version,
            after=item.text.last_id,
        )
        cause = 'stopped'
        try:
            with scope:
                cause = await self._attempts.run(
                    key, item, job, route, target, self._account_of(key[0])
                )
        finally:
            self._release_slot(item)
            item.scope = None
            item.waits_for_event = False
            self._running.pop(key, None)
        now = anyio.current_time()
        if item.refusals > refusals_before:
            self._set_back(key[0], now)
        elif item.outcome is not None or len(item.text.texts) > events_before:
            self._refused_jobs.pop(key[0], None)
        self._pace = policy.with_run(
            self._pace, now - started_at, len(item.text.texts) - events_before
        )
        if item.outcome is not None:
            self._finished[key] = item
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
                ms=round(1000 * (now - started_at)),
            )
        elif item.text.texts:
            self._pace = policy.with_finished(self._pace, len(item.text.texts))
        self._wake_up()

    def _set_back(self, job_id: str, now: float) -> None:
        """Let a job of which a target refused an item come after others."""
        known = self._refused_jobs.get(job_id, _RefusedJob())
        count = known.refusals + 1
        self._refused_jobs[job_id] = _RefusedJob(
            count, now + refusals.set_back_seconds(count)
        )

    def _account_of(self, job_id: str) -> str | None:
        """Return the account of a job, ``None`` if there are no accounts."""
        state = self._ports.log.jobs.get(job_id)
        if state is None or state.job is None:
            return None
        return self._ports.log.accounts.account_of(state.job)

    def _commit_due(self) -> None:
        now = anyio.current_time()
        done: dict[str, list[item_attempt.LocalItem]] = {}
        for key, item in self._finished.items():
            done.setdefault(key[0], []).append(item)
        for job_id, items in done.items():
            state = self._ports.log.jobs.get(job_id)
            if state is None or job_id in self._committing:
                continue
            oldest = min(item.done_at for item in items)
            due_at = self._get_due_at(job_id)
            is_due_soon = due_at - DUE_SOON_SECONDS < now < due_at
            all_done = len(items) >= len(state.open_items)
            if not (
                all_done
                or is_due_soon
                or now - oldest >= MAX_COMMIT_DELAY_SECONDS
            ):
                continue
            self._committing.add(job_id)
            if self._tasks is not None:
                self._tasks.start_soon(self._commit, job_id, items)

    async def _commit(
        self, job_id: str, items: list[item_attempt.LocalItem]
    ) -> None:
        results: list[job_records.ItemResult] = []
        size = 0
        for item in sorted(items, key=lambda item: item.done_at):
            if item.outcome is None:
                continue
            size += item.outcome.encoded_bytes
            if results and size > MAX_GROUP_BYTES:
                break
            results.append(item.outcome)
        try:
            if not await self._ports.log.commit(job_id, results):
                await anyio.sleep(COMMIT_RETRY_SECONDS)
        finally:
            self._committing.discard(job_id)
            self._wake_up()


def _pick_service(
    route: routes.Route,
    item_id: str,
    item: item_attempt.LocalItem | None,
    usable: collections.abc.Container[str],
) -> str:
    """Return the service that runs an item.

    An item that has begun stays with its service while it can, as another one
    would start it again.

    :param item: its state, ``None`` if it has none yet
    :param usable: services with targets that may get items
    """
    origin = item.text.origin if item is not None else None
    if (
        origin is not None
        and origin.service in route.services
        and origin.service in usable
    ):
        return origin.service
    return routes.pick_service(route, item_id, usable)
