"""Admits the requests of client accounts within their rates over all hosts.

Core hosts decide by token buckets of their own, from which they deduct what
peers report as sent. The other hosts hear too little to do so, and ask a core
host for each request. See :mod:`policy.account_limits`.
"""

import collections
import collections.abc
import random
import typing

import anyio
import result

from persimmonpass import accounts
from persimmonpass.controllers.accounts import usage
from persimmonpass import events
from persimmonpass import gateway_metrics
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import account_limits as policy
from persimmonpass.policy import core as core_policy
from persimmonpass.policy import rate_limits
from persimmonpass.policy import token_buckets
from persimmonpass import verdicts

METHOD_TAKE = 'accounts.take'
TAKE_TIMEOUT_SECONDS = 0.15
TOO_MANY_REQUESTS = 429
OVER_LIMIT = 'over the rate limit of the account'
TICK_SECONDS = 0.1
# A host outside the core that no core host answers admits one request of an
# account within this time.
ALONE_SECONDS = 5.0
# An account is within its limit again once no request of it has been refused
# for this time.
QUIET_SECONDS = 5.0
# Hosts often miss peers for less time than this while they start.
REDUCED_SECONDS = 1.0
# The mix of an account's requests over the hosts is learnt from this many.
MAX_MIX = 200


class LimitPorts(typing.NamedTuple):
    """Dependencies of :class:`AccountLimits`.

    :ivar core: returns the hosts that serve nearly all callers
    """

    used: usage.AccountUsage
    peers: peer_port.PeerPort
    core: collections.abc.Callable[[], collections.abc.Collection[str]]


class _State:
    """The limit of one account, as this host knows it.

    :ivar taken: tokens taken by all hosts
    :ivar own, others: recent sends of this host and of the others
    :ivar promised_at: local clock at which the request refused last finds a
        token, in seconds
    :ivar refused_at: local clock at the last refusal, ``None`` while the
        account is within its limit
    """

    def __init__(self, limit: policy.Limit, part: float) -> None:
        now = anyio.current_time()
        self.limit = limit
        self.bucket = policy.start(limit, part, now)
        self.taken = 0
        self.own = self.others = 0.0
        self.promised_at = float('-inf')
        self.refused_at: float | None = None
        self.admitted = self.refused = 0


class AccountLimits:
    """Rate limits of client accounts, kept by all hosts together."""

    def __init__(self, host: str, ports: LimitPorts) -> None:
        """Create limits without any state."""
        self._host = host
        self._ports = ports
        self._states: dict[str, _State] = {}
        self._table: accounts.Accounts | None = None
        self._known_since: float | None = None
        self._part = 1.0
        self._reduced_since: float | None = None
        self._is_reduction_logged = False
        # Local clock and the tokens taken of each account at the last ticks.
        self._history: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque(
                maxlen=round(usage.SILENCE_SECONDS / TICK_SECONDS) + 1
            )
        )
        self._alone_until: dict[str, float] = {}
        ports.used.peer_sent.append(self._count_peer)

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of calls from peers, by method."""
        return {METHOD_TAKE: self._handle_take}

    async def take(self, name: str) -> result.Result[None, verdicts.Failure]:
        """Take a token for a request, or refuse it.

        :param name: account of the request
        """
        limit = self._limit(name)
        if limit is None:
            return result.Ok(None)
        if self._host in self._ports.core():
            wait = self._take_here(name)
        else:
            wait = await self._ask(name)
        return result.Ok(None) if not wait else result.Err(_refusal(wait))

    def charge(self, name: str) -> None:
        """Take a token for a further send of an admitted request."""
        self._add(name, 1)

    def refund(self, name: str) -> None:
        """Give the token of a request back that has certainly not run."""
        self._add(name, -1)

    def limit(self, name: str) -> float | None:
        """Return the rate of an account, ``None`` if it has no limit."""
        found = self._limit(name)
        return None if found is None else found.rate

    def levels(self) -> list[gateway_metrics.AccountLevel]:
        """Return the limits of all limited accounts and what is left."""
        table = self._ports.used.table
        return [
            gateway_metrics.AccountLevel(
                name, state.limit.rate, max(0.0, state.bucket.level)
            )
            for name in (table.by_name if table is not None else ())
            if (state := self._refill(name)) is not None
        ]

    async def run(self) -> None:
        """Follow the configuration and the peers until cancelled."""
        while True:
            if self._ports.used.table is None:
                self._reset()
                await self._ports.used.wait_for_accounts()
            self._update()
            self._history.append(
                (
                    anyio.current_time(),
                    {name: row.taken for name, row in self._states.items()},
                )
            )
            self._log_ends()
            self._log_share_changes()
            await anyio.sleep(TICK_SECONDS)

    def _limit(self, name: str) -> policy.Limit | None:
        table = self._ports.used.table
        account = table.by_name.get(name) if table is not None else None
        if account is None or not account.is_limited:
            return None
        return policy.Limit(account.rate_per_second, account.burst)

    def _reset(self) -> None:
        self._states.clear()
        self._history.clear()
        self._table = self._known_since = None

    def _update(self) -> None:
        """Apply a changed configuration and a changed share."""
        table = self._ports.used.table
        if self._known_since is None:
            self._known_since = anyio.current_time()
            self._part = self._current_part()
        part = self._current_part()
        if part != self._part:
            self._change_part(part)
        if table is not self._table and table is not None:
            self._table = table
            self._apply_table(table)

    def _apply_table(self, table: accounts.Accounts) -> None:
        """Apply limits that were added, changed or removed.

        A lower limit binds at once, and a higher one fills at its rate.
        """
        for name in table.by_name:
            limit = self._limit(name)
            state = self._states.get(name)
            if limit is None:
                continue
            if state is None:
                self._states[name] = _State(limit, self._part)
            elif state.limit != limit:
                self._refill_state(state)
                state.limit = limit
                self._refill_state(state)
        for name, state in list(self._states.items()):
            # Until its bucket is full, an account that is added again would
            # get a second burst.
            self._refill_state(state)
            is_full = state.bucket.level >= state.limit.capacity(self._part)
            if self._limit(name) is None and is_full:
                del self._states[name]

    def _current_part(self) -> float:
        """Return the part of each rate that this host may use."""
        members = self._ports.core()
        now = anyio.current_time()
        since = now if self._known_since is None else self._known_since
        if len(members) <= 1 and now - since < usage.SILENCE_SECONDS:
            # It may not know the other hosts yet.
            return 1 / core_policy.CORE_HOSTS
        if self._host not in members:
            return 1 / max(1, len(members))
        return rate_limits.share(self._host, members, self._ports.used.heard())

    def _change_part(self, part: float) -> None:
        """Apply a changed share of the rates to all buckets."""
        taken_before = self._history[0][1] if self._history else {}
        for name, state in self._states.items():
            self._refill_state(state)
            if part < self._part:
                recent = state.taken - taken_before.get(name, 0)
                state.bucket = policy.reduce(
                    state.bucket, self._part, part, max(0, recent)
                )
        self._part = part

    def _refill_state(self, state: _State) -> None:
        state.bucket = policy.refill(
            state.bucket, state.limit, self._part, anyio.current_time()
        )

    def _refill(self, name: str) -> _State | None:
        """Return the state of a limited account with its present level."""
        if self._limit(name) is None:
            return None
        if self._table is not self._ports.used.table:
            self._update()
        state = self._states[name]
        self._refill_state(state)
        return state

    def _add(self, name: str, tokens: int) -> None:
        """Take tokens that may overdraw the bucket, or give them back."""
        state = self._refill(name)
        if state is None:
            return
        state.bucket = token_buckets.take(state.bucket, tokens)
        state.taken += tokens
        self._ports.used.add_sent(name, tokens)

    def _count_peer(self, name: str, tokens: int) -> None:
        """Deduct what a peer has sent or taken back."""
        state = self._refill(name)
        if state is None:
            return
        state.bucket = token_buckets.take(state.bucket, tokens)
        state.taken += tokens
        state.others += max(0, tokens)

    def _take_here(self, name: str) -> float:
        """Take a token from this host's bucket.

        :returns: 0 if it was taken, otherwise when to retry, in seconds
        """
        state = self._refill(name)
        if state is None:
            return 0.0
        state.bucket, wait = policy.admit(
            state.bucket, state.limit, self._part
        )
        state.own += 1
        if not wait:
            state.taken += 1
            state.admitted += 1
            self._ports.used.add_sent(name, 1)
            return 0.0
        return self._refuse(name, state, wait)

    def _refuse(self, name: str, state: _State, wait: float) -> float:
        """Return when a refused request should be tried again."""
        now = anyio.current_time()
        if state.own + state.others > MAX_MIX:
            state.own, state.others = state.own / 2, state.others / 2
        mix = state.own / (state.own + state.others)
        state.promised_at = policy.promise(
            state.promised_at, wait, state.limit.rate * mix, now
        )
        if state.refused_at is None:
            state.admitted = state.refused = 0
            events.log(
                events.ACCOUNT_OVER_LIMIT,
                host=self._host,
                account=name,
                limit=state.limit.rate,
                burst=state.limit.burst,
                part=round(self._part, 2),
            )
        state.refused_at = now
        state.refused += 1
        return policy.retry_after(state.promised_at - now, random.random())

    async def _ask(self, name: str) -> float:
        """Ask core hosts for a token; see :meth:`_take_here`."""
        for host in policy.hosts_to_ask(name, self._ports.core()):
            answered = await self._ports.peers.call(
                host, METHOD_TAKE, [name], TAKE_TIMEOUT_SECONDS
            )
            if isinstance(answered, result.Ok):
                return float(answered.ok_value[0])
        return self._take_alone(name)

    def _take_alone(self, name: str) -> float:
        """Admit a request now and then while no core host answers."""
        now = anyio.current_time()
        left = self._alone_until.get(name, now) - now
        if left > 0:
            return policy.retry_after(
                min(left, policy.MAX_RETRY_SECONDS), random.random()
            )
        self._alone_until = {
            key: until
            for key, until in self._alone_until.items()
            if until > now
        }
        self._alone_until[name] = now + ALONE_SECONDS
        self._ports.used.add_sent(name, 1)
        return 0.0

    async def _handle_take(
        self, peer: str, payload: typing.Any
    ) -> result.Result[list[float], verdicts.Failure]:
        """Take a token for a host outside the core."""
        (name,) = payload
        table = self._ports.used.table
        if table is None or name not in table.by_name:
            return result.Err(
                peer_port.unreachable(self._host, verdicts.Verdict.NOT_RUN)
            )
        return result.Ok([self._take_here(name)])

    def _log_ends(self) -> None:
        """Log accounts that are within their limits again."""
        now = anyio.current_time()
        for name, state in self._states.items():
            refused_at = state.refused_at
            if refused_at is None or now - refused_at < QUIET_SECONDS:
                continue
            state.refused_at = None
            events.log(
                events.ACCOUNT_WITHIN_LIMIT,
                host=self._host,
                account=name,
                limit=state.limit.rate,
                admitted=state.admitted,
                refused=state.refused,
            )

    def _log_share_changes(self) -> None:
        """Log the begin and the end of a time with a reduced share."""
        if self._part >= 1 or self._host not in self._ports.core():
            self._reduced_since = None
            if self._is_reduction_logged:
                self._is_reduction_logged = False
                self._log_share(events.ACCOUNT_SHARE_RESTORED)
            return
        now = anyio.current_time()
        if self._reduced_since is None:
            self._reduced_since = now
        elapsed = now - self._reduced_since
        if elapsed >= REDUCED_SECONDS and not self._is_reduction_logged:
            self._is_reduction_logged = True
            self._log_share(events.ACCOUNT_SHARE_REDUCED)

    def _log_share(self, event: events.Event) -> None:
        members = set(self._ports.core()) - {self._host}
        events.log(
            event,
            host=self._host,
            part=round(self._part, 2),
            heard=len(members & self._ports.used.heard()),
            hosts=len(members),
        )


def _refusal(wait: float) -> verdicts.Failure:
    return verdicts.Failure(
        verdicts.Verdict.NOT_RUN,
        events.REQUEST_REFUSED,
        OVER_LIMIT,
        TOO_MANY_REQUESTS,
        wait,
    )
