"""Orders targets to load the models that operators declared.

Only the coordinator of a target sends it orders, one at a time. The epoch of
the target's ledger is the fencing number. A new coordinator waits until no
order of its predecessor can still be in transit. If the target does not check
the fencing number, the epoch is also confirmed in the store just before an
order is sent.
"""

import collections.abc
import random
import typing

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.fleet import config
from persimmonpass.controllers.fleet import coordinators
from persimmonpass import events
from persimmonpass import ledger
from persimmonpass import objects
from persimmonpass.policy import model_placement
from persimmonpass.policy import selectors
from persimmonpass.policy import shards
from persimmonpass import store
from persimmonpass.targets import orders
from persimmonpass import verdicts

ROUND_SECONDS = 1.0
MAX_REPORT_AGE_SECONDS = 6.0
MAX_CONFIRM_SECONDS = 1.0
TAKEOVER_WAIT_SECONDS = orders.ORDER_TIMEOUT_SECONDS + MAX_CONFIRM_SECONDS
ROLE_CHECK_SECONDS = 10.0
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0

_Outcome = result.Result[None, verdicts.Failure]


def read_rules(board: blackboard.Blackboard) -> model_placement.Rules:
    """Return the placement rules of the present configuration."""
    wanted = [
        typing.cast(objects.ModelSpec, item.spec)
        for item in config.live_objects(board, 'model')
    ]
    used = [
        typing.cast(objects.ServiceSpec, item.spec)
        for item in config.live_objects(board, 'service')
    ]
    engines = [spec for spec in used if spec.type == 'engine']
    return model_placement.Rules(_to_rules(wanted), _to_rules(engines))


def _to_rules(
    specs: collections.abc.Iterable[objects.ModelSpec | objects.ServiceSpec],
) -> tuple[model_placement.Rule, ...]:
    return tuple(
        model_placement.Rule(
            model_placement.full_name(spec.model, spec.version, spec.adapter),
            selectors.parse(spec.selector).unwrap(),
        )
        for spec in specs
    )


class _TrackedTarget:
    """State of a target that this host coordinates.

    :ivar ledger: the target's ledger, whose epoch is the fencing number
    :ivar is_busy: whether an order is in progress
    :ivar backoff: seconds of the last wait after a failure, before jitter
    :ivar next_at: local clock before which no order is sent
    :ivar role_checked_at: local clock at which the role was last read
    """

    def __init__(self, target_ledger: ledger.Ledger[None]) -> None:
        self.ledger = target_ledger
        self.is_busy = False
        self.backoff = 0.0
        self.next_at = 0.0
        self.role_checked_at = float('-inf')


class Orders:
    """Order controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        engines: orders.OrderPort,
        live_hosts: collections.abc.Callable[[], list[str]],
        max_loads: int,
    ) -> None:
        """Create the controller.

        :param host: name of this host
        :param board: targets and configuration as this host knows them
        :param port: client of the object store
        :param engines: client for orders to engines
        :param live_hosts: returns the hosts that are alive, this one included
        :param max_loads: most loads of one model that may be in progress in
            the whole fleet
        """
        self._host = host
        self._board = board
        self._port = port
        self._engines = engines
        self._live_hosts = live_hosts
        self._coordinators = coordinators.Coordinators(live_hosts)
        self._max_loads = max_loads
        self._tracked: dict[str, _TrackedTarget] = {}

    async def run(self) -> None:
        """Bring the targets to their declared state until cancelled."""
        self._tracked.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                declared = read_rules(self._board)
                reporting = self._reporting_targets()
                self._coordinators.refresh(
                    [target.name for target in reporting]
                )
                for target in reporting:
                    self._start_reconcile(target, reporting, declared, tasks)
                await anyio.sleep(ROUND_SECONDS)

    def _start_reconcile(
        self,
        target: model_placement.TargetModels,
        reporting: list[model_placement.TargetModels],
        declared: model_placement.Rules,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start to reconcile a target if that is needed.

        Only targets that this host coordinates are reconciled, one task at a
        time for each.
        """
        tracked = self._tracked.get(target.name)
        if self._coordinators.first(target.name)[:1] != [self._host]:
            if tracked is not None and not tracked.is_busy:
                del self._tracked[target.name]
            return
        if tracked is None:
            tracked = self._tracked[target.name] = _TrackedTarget(
                self._make_ledger(target.name)
            )
        now = anyio.current_time()
        if tracked.is_busy or now < tracked.next_at:
            return
        others = [other for other in reporting if other.name != target.name]
        models = model_placement.choose_models(
            target, others, declared, self._max_loads
        )
        if models is not None or self._is_role_check_due(tracked, target.name):
            tracked.is_busy = True
            tasks.start_soon(
                self._reconcile_with_backoff, target.name, tracked
            )

    def _make_ledger(self, name: str) -> ledger.Ledger[None]:
        return ledger.Ledger(
            self._port,
            f'targets/{name}',
            self._host,
            lambda value, record: None,
            budget.Priority.CLAIM,
        )

    def _is_coordinator(self, name: str) -> bool:
        """Return whether this host coordinates a target now."""
        key = coordinators.coordinator_key(name)
        return shards.owner(key, self._live_hosts()) == self._host

    def _reporting_targets(self) -> list[model_placement.TargetModels]:
        """Return the engine targets that can take orders, and their models."""
        oldest = anyio.current_time() - MAX_REPORT_AGE_SECONDS
        found = []
        for target in self._board.targets.rows():
            load = self._board.loads.get(target.name)
            if target.kind != 'engine' or target.leaving or load is None:
                continue
            if load.report_time >= oldest:
                models = frozenset(load.models)
                found.append(
                    model_placement.TargetModels(
                        target.name, target.labels, models
                    )
                )
        return found

    def _wanted_role(self, name: str) -> str:
        """Return the declared role of a target, empty if there is none."""
        item = self._board.objects.get(objects.Key('target', name))
        if item is None or item.deleted:
            return ''
        return typing.cast(objects.TargetSpec, item.spec).role

    def _is_role_check_due(self, tracked: _TrackedTarget, name: str) -> bool:
        """Return whether a target's role must be read again.

        Load reports do not contain the role.
        """
        is_due = (
            anyio.current_time() - tracked.role_checked_at > ROLE_CHECK_SECONDS
        )
        return is_due and bool(self._wanted_role(name))

    async def _reconcile_with_backoff(
        self, name: str, tracked: _TrackedTarget
    ) -> None:
        """Reconcile a target and schedule a retry if that fails."""
        try:
            done = await self._reconcile(name, tracked)
        finally:
            tracked.is_busy = False
        if isinstance(done, result.Ok):
            tracked.backoff = 0.0
            return
        tracked.backoff = min(
            max(tracked.backoff * 2, MIN_BACKOFF_SECONDS), MAX_BACKOFF_SECONDS
        )
        wait = tracked.backoff * (0.5 + random.random())
        tracked.next_at = anyio.current_time() + wait
        events.log(
            events.ORDER_FAILED,
            host=self._host,
            target=name,
            message=done.err_value.message,
        )

    async def _reconcile(self, name: str, tracked: _TrackedTarget) -> _Outcome:
        """Read a target's state and send an order if it differs.

        :returns: a failure if a step failed or this host no longer
            coordinates the target
        """
        target = self._board.targets.get(name)
        if target is None:
            return result.Ok(None)
        owned = await self._acquire_ledger(tracked.ledger)
        if isinstance(owned, result.Err):
            return owned
        read = await self._engines.read(target)
        if isinstance(read, result.Err):
            return read.map(lambda state: None)
        order = self._make_order(target, read.ok_value, tracked.ledger.epoch)
        tracked.role_checked_at = anyio.current_time()
        if order is None:
            return result.Ok(None)
        if not target.checks_fencing:
            confirmed = await self._confirm(tracked.ledger)
            if isinstance(confirmed, result.Err):
                return confirmed
        if not tracked.ledger.is_open or not self._is_coordinator(name):
            return result.Err(
                ledger.ownership_lost(
                    tracked.ledger.path, verdicts.Verdict.NOT_RUN
                )
            )
        return await self._send(target, order, tracked.ledger)

    async def _acquire_ledger(
        self, target_ledger: ledger.Ledger[None]
    ) -> _Outcome:
        """Open a target's ledger, which raises its epoch, unless it is open.

        After a take-over this waits ``TAKEOVER_WAIT_SECONDS``: an order of
        the previous coordinator may still be in transit or in progress at
        the target.
        """
        if target_ledger.is_open:
            return result.Ok(None)
        opened = await target_ledger.open()
        if isinstance(opened, result.Err):
            return opened
        if target_ledger.epoch > 1:
            await anyio.sleep(TAKEOVER_WAIT_SECONDS)
        return result.Ok(None)

    def _make_order(
        self, target: blackboard.Target, state: orders.State, epoch: int
    ) -> orders.Order | None:
        """Return the order that brings a target to its declared state.

        :param state: the target's present state
        :param epoch: fencing number of the order
        :returns: ``None`` if the target needs no order
        """
        reporting = self._reporting_targets()
        others = [other for other in reporting if other.name != target.name]
        loaded = frozenset(state.models)
        target_models = model_placement.TargetModels(
            target.name, target.labels, loaded
        )
        models = model_placement.choose_models(
            target_models, others, read_rules(self._board), self._max_loads
        )
        role = self._wanted_role(target.name) or state.role
        if models is None and role == state.role:
            return None
        if models is None:
            models = state.models
        return orders.Order(models, role, epoch)

    async def _confirm(self, target_ledger: ledger.Ledger[None]) -> _Outcome:
        """Check in the store that this host still owns the epoch.

        A new coordinator's wait includes at most ``MAX_CONFIRM_SECONDS``
        between the check and the order, so a slower check is a failure.
        """
        started = anyio.current_time()
        confirmed = await target_ledger.confirm_ownership()
        if isinstance(confirmed, result.Err):
            return confirmed
        is_slow = anyio.current_time() - started > MAX_CONFIRM_SECONDS
        if is_slow or not target_ledger.is_open:
            return result.Err(
                ledger.ownership_lost(
                    target_ledger.path, verdicts.Verdict.NOT_RUN
                )
            )
        return result.Ok(None)

    async def _send(
        self,
        target: blackboard.Target,
        order: orders.Order,
        target_ledger: ledger.Ledger[None],
    ) -> _Outcome:
        """Send an order; close the ledger if the target fences it off."""
        events.log(
            events.TARGET_ORDERED,
            host=self._host,
            target=target.name,
            **order._asdict(),
        )
        sent = await self._engines.send(target, order)
        if isinstance(sent, result.Ok):
            return result.Ok(None)
        if sent.err_value.event == events.ORDER_FENCED:
            target_ledger.close()
        return result.Err(sent.err_value)
