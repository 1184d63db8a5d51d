"""Connects the accounts' quotas with the parts that apply them."""

from random import SystemRandom

from ..clock import Clock
from ..limits.account_quota import AccountQuotas, QuotaBounds
from .dispatcher import Dispatcher
from .metrics import EntryMetrics
from .quota_gate import QuotaGate
from .request_server import RequestServer
from .settings import Bounds


def connect_quotas(
    bounds: Bounds,
    clock: Clock,
    metrics: EntryMetrics,
    request_server: RequestServer,
    dispatcher: Dispatcher,
) -> AccountQuotas:
    """Let requests, retries and hedges take tokens; return the quotas."""
    quotas = AccountQuotas(
        QuotaBounds(
            bounds.quota_window.total_seconds(),
            bounds.quota_overage,
            bounds.quota_slack,
        ),
        SystemRandom(),
    )
    gate = QuotaGate(quotas, clock, metrics)
    request_server.quota_gate = gate
    dispatcher.charge = gate.charge
    metrics.add_quota_gauge(
        lambda: quotas.count_indebted(clock.monotonic().total_seconds())
    )
    return quotas
