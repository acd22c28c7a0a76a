"""Orders targets to have the models loaded that operators declared.

Only a target's coordinator orders it, one order at a time. The epoch of the
target's ledger is the fencing number. A new coordinator waits until no order
of its predecessor can still be on its way. Where the target does not check
the number, the epoch is also confirmed in the store just before an order.
"""

import collections.abc
import random
import typing

import anyio
import anyio.abc
import result

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import config
from persimmonpass.controllers import coordinators
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
READY_SECONDS = 6.0
CONFIRM_SECONDS = 1.0
TAKEOVER_SECONDS = orders.ORDER_TIMEOUT_SECONDS + CONFIRM_SECONDS
ROLE_CHECK_SECONDS = 10.0
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0

_Outcome = result.Result[None, verdicts.Failure]


def rules(board: blackboard.Blackboard) -> model_placement.Rules:
    """Return the rules that the configuration makes."""
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


class _Work:
    """What this host remembers of a target that it coordinates."""

    def __init__(self, book: ledger.Ledger[None]) -> None:
        self.book = book
        self.busy = False
        self.backoff = 0.0
        self.next_at = 0.0
        self.role_checked_at = float('-inf')


class Orders:
    """The order controller of one daemon."""

    def __init__(
        self,
        host: str,
        board: blackboard.Blackboard,
        port: store.StorePort,
        engines: orders.OrderPort,
        live_hosts: collections.abc.Callable[[], list[str]],
        max_loads: int,
    ) -> None:
        """Make the controller.

        :param max_loads: loads of one model in progress in the whole fleet
        """
        self._host = host
        self._board = board
        self._port = port
        self._engines = engines
        self._live_hosts = live_hosts
        self._coordinators = coordinators.Coordinators(live_hosts)
        self._max_loads = max_loads
        self._work: dict[str, _Work] = {}

    async def run(self) -> None:
        """Compare the targets with the intent for ever."""
        self._work.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                declared = rules(self._board)
                sites = self._sites()
                self._coordinators.refresh([site.name for site in sites])
                for site in sites:
                    self._start(site, sites, declared, tasks)
                await anyio.sleep(ROUND_SECONDS)

    def _start(
        self,
        site: model_placement.TargetModels,
        sites: list[model_placement.TargetModels],
        declared: model_placement.Rules,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Order a target if it is ours and needs it."""
        work = self._work.get(site.name)
        if self._coordinators.first(site.name)[:1] != [self._host]:
            if work is not None and not work.busy:
                del self._work[site.name]
            return
        if work is None:
            work = self._work[site.name] = _Work(self._make_book(site.name))
        now = anyio.current_time()
        if work.busy or now < work.next_at:
            return
        others = [other for other in sites if other.name != site.name]
        models = model_placement.choose_models(
            site, others, declared, self._max_loads
        )
        if models is not None or self._must_check_role(work, site.name):
            work.busy = True
            tasks.start_soon(self._tend, site.name, work)

    def _make_book(self, name: str) -> ledger.Ledger[None]:
        return ledger.Ledger(
            self._port,
            f'targets/{name}',
            self._host,
            lambda value, record: None,
            budget.Priority.CLAIM,
        )

    def _is_mine(self, name: str) -> bool:
        """Return whether this host coordinates a target at this moment."""
        key = coordinators.coordinator_key(name)
        return shards.owner(key, self._live_hosts()) == self._host

    def _sites(self) -> list[model_placement.TargetModels]:
        """Return the targets that can take orders and report their models."""
        oldest = anyio.current_time() - READY_SECONDS
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
        item = self._board.objects.get(objects.Key('target', name))
        if item is None or item.deleted:
            return ''
        return typing.cast(objects.TargetSpec, item.spec).role

    def _must_check_role(self, work: _Work, name: str) -> bool:
        due = anyio.current_time() - work.role_checked_at > ROLE_CHECK_SECONDS
        return due and bool(self._wanted_role(name))

    async def _tend(self, name: str, work: _Work) -> None:
        """Order one target and remember when to try again."""
        try:
            done = await self._order(name, work)
        finally:
            work.busy = False
        if isinstance(done, result.Ok):
            work.backoff = 0.0
            return
        work.backoff = min(
            max(work.backoff * 2, MIN_BACKOFF_SECONDS), MAX_BACKOFF_SECONDS
        )
        wait = work.backoff * (0.5 + random.random())
        work.next_at = anyio.current_time() + wait
        events.log(
            events.ORDER_FAILED,
            host=self._host,
            target=name,
            message=done.err_value.message,
        )

    async def _order(self, name: str, work: _Work) -> _Outcome:
        """Read a target's state and order what it lacks."""
        target = self._board.targets.get(name)
        if target is None:
            return result.Ok(None)
        owned = await self._own(work.book)
        if isinstance(owned, result.Err):
            return owned
        read = await self._engines.read(target)
        if isinstance(read, result.Err):
            return read.map(lambda state: None)
        order = self._make_order(target, read.ok_value, work.book.epoch)
        work.role_checked_at = anyio.current_time()
        if order is None:
            return result.Ok(None)
        if not target.checks_fencing:
            confirmed = await self._confirm(work.book)
            if isinstance(confirmed, result.Err):
                return confirmed
        if not work.book.is_open or not self._is_mine(name):
            return result.Err(
                ledger.lost(work.book.path, verdicts.Verdict.NOT_RUN)
            )
        return await self._send(target, order, work.book)

    async def _own(self, book: ledger.Ledger[None]) -> _Outcome:
        """Raise the epoch unless this host did so before.

        An order of the predecessor may still be on its way, and a target
        that took it may still work on it.
        """
        if book.is_open:
            return result.Ok(None)
        opened = await book.open()
        if isinstance(opened, result.Err):
            return opened
        if book.epoch > 1:
            await anyio.sleep(TAKEOVER_SECONDS)
        return result.Ok(None)

    def _make_order(
        self, target: blackboard.Target, state: orders.State, epoch: int
    ) -> orders.Order | None:
        """Return the order that leads from a state to the intent."""
        sites = self._sites()
        others = [other for other in sites if other.name != target.name]
        loaded = frozenset(state.models)
        site = model_placement.TargetModels(target.name, target.labels, loaded)
        models = model_placement.choose_models(
            site, others, rules(self._board), self._max_loads
        )
        role = self._wanted_role(target.name) or state.role
        if models is None and role == state.role:
            return None
        if models is None:
            models = state.models
        return orders.Order(models, role, epoch)

    async def _confirm(self, book: ledger.Ledger[None]) -> _Outcome:
        """Check in the store that this host still owns the epoch.

        The time between the check and the order is part of what a new
        coordinator waits for, so that a slow check does not count.
        """
        started = anyio.current_time()
        confirmed = await book.confirm()
        if isinstance(confirmed, result.Err):
            return confirmed
        slow = anyio.current_time() - started > CONFIRM_SECONDS
        if slow or not book.is_open:
            return result.Err(ledger.lost(book.path, verdicts.Verdict.NOT_RUN))
        return result.Ok(None)

    async def _send(
        self,
        target: blackboard.Target,
        order: orders.Order,
        book: ledger.Ledger[None],
    ) -> _Outcome:
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
            book.close()
        return result.Err(sent.err_value)
