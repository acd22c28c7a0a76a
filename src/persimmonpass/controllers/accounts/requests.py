"""Charges online requests to the limits of their accounts.

A token stands for a run of a request at a target. It is taken before the
request waits for a slot, and given back if it is certain that nothing ran.
"""

import typing

import result

from persimmonpass.controllers.accounts import limits
from persimmonpass.controllers.accounts import usage
from persimmonpass import request_state
from persimmonpass import verdicts


class AccountRequests:
    """Charges requests to their accounts; ignores requests without one."""

    def __init__(
        self,
        account_limits: limits.AccountLimits,
        used: usage.AccountUsage,
    ) -> None:
        self._limits = account_limits
        self._used = used

    async def admit(
        self, request: request_state.RequestState
    ) -> verdicts.Failure | None:
        """Take a token for a request, or return why it is refused."""
        name = request.call.account
        if not name:
            return None
        admitted = await self._limits.take(name)
        if isinstance(admitted, result.Err):
            return admitted.err_value
        request.tokens = 1
        return None

    def priority(self, request: request_state.RequestState) -> int:
        """Return the priority of a request: its account's, or its route's."""
        table = self._used.table if request.call.account else None
        if table is not None:
            account = table.by_name.get(request.call.account)
            if account is not None and account.priority is not None:
                return account.priority
        return request.route.priority

    def begin_send(self, request: request_state.RequestState) -> None:
        """Count a send of a request, and charge it if an earlier one ran."""
        request.may_run = True
        name = request.call.account
        if not name:
            return
        self._used.started(name)
        if request.tokens <= request.runs:
            request.tokens += 1
            self._limits.charge(name)

    def end_send(self, request: request_state.RequestState) -> None:
        """Count the end of a send."""
        if request.call.account:
            self._used.ended(request.call.account)

    def settle(self, request: request_state.RequestState) -> None:
        """Give back the tokens of a request for which nothing ran."""
        used = request.runs + request.may_run
        while request.tokens > used:
            request.tokens -= 1
            self._limits.refund(request.call.account)

    def fields(
        self, request: request_state.RequestState
    ) -> dict[str, typing.Any]:
        """Return the fields of log lines about a request's account."""
        name = request.call.account
        if not name:
            return {}
        failure = request.failure
        if failure is None or failure.message != limits.OVER_LIMIT:
            return {'account': name}
        return {'account': name, 'limit': self._limits.limit(name)}
