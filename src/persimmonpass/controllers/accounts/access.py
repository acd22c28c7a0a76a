"""Checks the keys of requests against the accounts of the configuration.

A host whose copy of the configuration may be old asks a peer for the newest
one before it refuses a key that it does not know.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import accounts
from persimmonpass.controllers.fleet import mirror
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass.peers import port as peer_port
from persimmonpass.policy import key_checks
from persimmonpass import records
from persimmonpass import routes
from persimmonpass import verdicts

METHOD_NEWEST = 'accounts.newest'
QUESTION_TIMEOUT_SECONDS = 0.2
RETRY_SECONDS = 0.5
UNAUTHORIZED = 401
UNAVAILABLE = 503

_Answer = result.Result[typing.Any, verdicts.Failure]


class AccessPorts(typing.NamedTuple):
    """Dependencies of the checks.

    :ivar configuration: returns the configuration in force, ``None`` for none
    :ivar copy: this host's copy of the records of configuration
    :ivar name: name of the record that is in use
    :ivar clean: removes secrets from records that peers sent
    :ivar peers: calls to the other hosts
    :ivar core: returns the hosts that may be asked
    :ivar count_refusal: called with the cause of each refusal
    """

    configuration: collections.abc.Callable[[], routes.Configuration | None]
    copy: mirror.Mirror
    name: str
    clean: collections.abc.Callable[[records.Record], records.Record]
    peers: peer_port.PeerPort
    core: collections.abc.Callable[[], collections.abc.Collection[str]]
    count_refusal: collections.abc.Callable[[str], None]


class KeyAccess:
    """Finds the accounts of requests."""

    def __init__(
        self, host: str, ports: AccessPorts, max_age_seconds: float | None
    ) -> None:
        """Create the checks.

        :param host: id of this host
        :param max_age_seconds: age of the configuration from which on no key
            is accepted; ``None`` for no limit
        """
        self._host = host
        self._ports = ports
        self._max_age_seconds = max_age_seconds
        # Local clock when a peer's answer last showed the copy complete.
        self._confirmed_at = float('-inf')
        self._asked_at = float('-inf')
        self._answered: anyio.Event | None = None
        self._turn = 0

    @property
    def handlers(self) -> peer_port.Handlers:
        """Handlers of peers' calls, by method."""
        return {METHOD_NEWEST: self._handle_newest}

    async def check(
        self, call: exchange.Call, *, is_public: bool
    ) -> result.Result[exchange.Call, verdicts.Failure]:
        """Return a request with its account, or why it is refused.

        :param is_public: whether it needs no key
        """
        has_asked = False
        while True:
            known = self._ports.configuration()
            if known is None or known.client_accounts is None:
                return result.Ok(call)
            account = known.client_accounts.by_key.get(call.key_digest)
            expired = self._is_expired()
            decision = key_checks.decide(
                is_known=account is not None,
                needs_key=not is_public,
                has_key=bool(call.key_digest),
                confirmed=self._is_confirmed(),
                expired=expired,
                has_asked=has_asked,
            )
            if decision is key_checks.Decision.SERVE:
                if account is None or expired:
                    return result.Ok(call._replace(has_accounts=True))
                return result.Ok(
                    call._replace(account=account.name, has_accounts=True)
                )
            if decision is not key_checks.Decision.ASK:
                return result.Err(
                    self._refuse(call, known.client_accounts, decision)
                )
            await self._ask()
            has_asked = True

    def _age(self) -> float:
        since = anyio.current_time() - self._confirmed_at
        return min(self._ports.copy.age_seconds, since)

    def _is_confirmed(self) -> bool:
        copy = self._ports.copy
        behind = copy.behind_seconds
        since = anyio.current_time() - self._confirmed_at
        return key_checks.is_confirmed(
            copy.age_seconds, is_behind=behind > 0
        ) or key_checks.is_confirmed(since, is_behind=0 < behind < since)

    def _is_expired(self) -> bool:
        return (
            self._max_age_seconds is not None
            and self._age() > self._max_age_seconds
        )

    def _refuse(
        self,
        call: exchange.Call,
        table: accounts.Accounts,
        decision: key_checks.Decision,
    ) -> verdicts.Failure:
        is_certain = decision is key_checks.Decision.REFUSE
        cause = 'unconfirmed'
        if not call.key_digest:
            cause = 'no_key'
        elif call.key_digest in table.shared:
            cause = 'shared_key'
        elif is_certain:
            cause = 'unknown_key'
        self._ports.count_refusal(cause)
        events.log(
            events.REQUEST_UNAUTHORIZED,
            host=self._host,
            key=call.id,
            cause=cause,
        )
        return verdicts.Failure(
            verdicts.Verdict.NOT_RUN,
            events.REQUEST_UNAUTHORIZED,
            f'Authorization: expected a key of a client account ({cause})',
            UNAUTHORIZED if is_certain else UNAVAILABLE,
            None if is_certain else RETRY_SECONDS,
        )

    async def _ask(self) -> None:
        """Ask a core host for the newest configuration.

        Callers that come while a question is open wait for its answer. None is
        asked while the rate of questions is used up.
        """
        if self._answered is not None:
            await self._answered.wait()
            return
        now = anyio.current_time()
        if now - self._asked_at < key_checks.QUESTION_INTERVAL_SECONDS:
            return
        chosen = set(self._ports.core())
        hosts = sorted(chosen.intersection(self._ports.peers.connected()))
        if not hosts:
            return
        self._asked_at = now
        self._turn += 1
        self._answered = anyio.Event()
        try:
            await self._ask_host(hosts[self._turn % len(hosts)])
        finally:
            self._answered.set()
            self._answered = None

    async def _ask_host(self, host: str) -> None:
        began = anyio.current_time()
        known = self._ports.copy.records.get(self._ports.name)
        answered: _Answer | None = None
        with anyio.move_on_after(QUESTION_TIMEOUT_SECONDS):
            answered = await self._ports.peers.call(
                host,
                METHOD_NEWEST,
                [known.version if known else 0],
                QUESTION_TIMEOUT_SECONDS,
            )
        # A host of an older build refuses the method, which counts as silence.
        if answered is None or isinstance(answered, result.Err):
            return
        age, is_behind, row = answered.ok_value
        if row is not None:
            record = self._ports.clean(records.Record(*row))
            self._ports.copy.apply_record(record)
        if key_checks.is_confirmed(age, is_behind=is_behind):
            self._confirmed_at = max(self._confirmed_at, began - age)

    async def _handle_newest(
        self, peer: str, payload: typing.Any
    ) -> result.Result[typing.Any, verdicts.Failure]:
        """Return the age of the configuration and, if it is newer, its record.

        :param payload: version of the peer's record
        """
        (version,) = payload
        copy = self._ports.copy
        known = copy.records.get(self._ports.name)
        is_newer = known is not None and known.version > version
        return result.Ok(
            [
                # The age is infinite before the copy is filled.
                min(copy.age_seconds, 1e9),
                copy.behind_seconds > 0,
                list(known) if known is not None and is_newer else None,
            ]
        )
