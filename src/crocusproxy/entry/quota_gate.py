"""Application of the accounts' quotas to requests."""

from collections.abc import Callable, Iterable
from typing import Any

from ..clock import Clock
from ..limits.account_quota import AccountQuotas, OverQuota
from ..logs import log
from ..routes.model import ClientAccount
from .metrics import EntryMetrics
from .refusals import over_quota
from .request_context import RequestContext
from .responses import CallerResponse, Refusal

#: Each account is logged at most once a second.
MAX_LOGGED_ACCOUNTS_PER_SECOND = 100
#: Statuses of another domain home that mean that a request has not run.
_NOT_RUN_STATUSES = frozenset((429, 503))


class QuotaGate:
    """Takes a token for each request that this instance dispatches."""

    def __init__(
        self,
        quotas: AccountQuotas,
        clock: Clock,
        metrics: EntryMetrics,
        write: Callable[..., None] = log,
    ) -> None:
        self.quotas = quotas
        self.clock = clock
        self.metrics = metrics
        self.write = write
        self.logged_second = -1
        self.logged_accounts: set[str] = set()

    def apply_accounts(self, accounts: Iterable[ClientAccount] | None) -> None:
        """Use the quotas of a new configuration."""
        self.quotas.apply_accounts(accounts or (), self._now())

    def admit(self, context: RequestContext) -> Refusal | None:
        """Take a token, once for a request, or return the refusal.

        A request that may have run already is never refused.
        """
        account = context.account
        if account is None or not account.rate or context.holds_token:
            return None
        now = self._now()
        if context.may_have_run:
            self.quotas.charge(account, now)
        else:
            decision = self.quotas.admit(account, now)
            if isinstance(decision, OverQuota):
                self.metrics.count_quota_decision('over_quota')
                self._log(account, now)
                return over_quota(decision.retry_after)
        context.holds_token = True
        self.metrics.count_quota_decision('admitted')
        return None

    def charge(self, context: RequestContext) -> None:
        """Take a token for a further send of a request."""
        if context.account is not None:
            self.quotas.charge(context.account, self._now())

    def refund(self, context: RequestContext) -> None:
        """Return the token of a request that has not run and never will."""
        is_refundable = context.holds_token and not context.may_have_run
        if is_refundable and context.account is not None:
            context.holds_token = False
            self.quotas.refund(context.account, self._now())

    def settle(
        self, context: RequestContext, response: CallerResponse | Refusal
    ) -> None:
        """Return the token if another domain home has not run the request.

        These statuses are refusals of the home itself, since no instance
        passes on an upstream's response with one of them.
        """
        is_refusal = isinstance(response, Refusal)
        if is_refusal or response.status in _NOT_RUN_STATUSES:
            self.refund(context)

    def _log(self, account: ClientAccount, now: float) -> None:
        second = int(now)
        if second != self.logged_second:
            self.logged_second = second
            self.logged_accounts.clear()
        if (
            account.name not in self.logged_accounts
            and len(self.logged_accounts) < MAX_LOGGED_ACCOUNTS_PER_SECOND
        ):
            self.logged_accounts.add(account.name)
            self._write(
                'account_over_quota',
                account=account.name,
                rate=account.rate,
                burst=account.burst,
            )

    def _write(self, event: str, **fields: Any) -> None:
        self.write(event, **fields)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
