"""Dispatch of requests to upstreams, with retries where they are safe."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from ..clock import Clock
from ..event_loop.peer_timeout import own_paused_seconds
from ..limits.shared_retry_budget import SharedRetryBudget
from ..placement.placer import ServicePlacer
from ..placement.requests import Placed, Refused
from ..placement.upstream_reach import UpstreamReach
from ..placement.upstream_state import SLOW_THRESHOLD, UpstreamState
from ..placement.upstream_terms import TermsTable
from ..protocol.home_feed import UpstreamChange
from ..routes.timing import RouteTiming
from .call_results import (
    CallResult,
    NotRun,
    Responded,
    ResponseLost,
    Superseded,
    more_informative,
)
from .caller_request import RequestStage
from .crash_watch import CrashWatch
from .failure_response import failure_response
from .hedged_call import AttemptSteps, HedgedCalls
from .metrics import EntryMetrics
from .refusals import (
    SHUTDOWN_RETRY_AFTER,
    SHUTTING_DOWN,
    upstreams_unreachable,
)
from .request_context import RequestContext
from .request_log import RequestLog, SendSnapshot
from .responses import CallerResponse, Refusal
from .service_role import ServiceRole, apply_role
from .settings import Bounds
from .silence_breaker import SilenceBreaker
from .upstream_call import UpstreamClient
from .upstream_selector import UpstreamSelector

_QUEUE_INTERVAL_SECONDS = 0.01
#: A request is refused after this many attempts that sent nothing. They spend
#: no retry budget, as a failed connect puts no load on upstreams.
MAX_CONNECT_FAILURES = 4
#: Weight of an error response in the moving average of the failure rate.
ERROR_WEIGHT = 0.1

#: Called immediately before a request is sent again that may have run.
Charge = Callable[[RequestContext], None]


class Dispatcher:
    """Sends requests to upstreams and applies the call results.

    ``has_successor`` returns whether another instance dispatches a service in
    its place. ``charge`` is called for each send of a request that may have run
    already, or is in flight elsewhere.
    """

    def __init__(
        self,
        client: UpstreamClient,
        failure_domain: str,
        bounds: Bounds,
        clock: Clock,
        random: Random,
        metrics: EntryMetrics,
        request_log: RequestLog,
        crash_watch: CrashWatch,
        terms_table: TermsTable,
        reach: UpstreamReach,
    ) -> None:
        self.client = client
        self.failure_domain = failure_domain
        self.bounds = bounds
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.request_log = request_log
        self.crash_watch = crash_watch
        self.has_successor: Callable[[str], bool] = _has_no_successor
        self.timing = RouteTiming()
        self.placers: dict[str, ServicePlacer] = {}
        self.retry_budgets: dict[str, SharedRetryBudget] = {}
        self.last_request_at = float()
        self.role: ServiceRole | None = None
        self.is_exclusive = True
        self.evacuated: frozenset[str] = frozenset()
        self.terms_table = terms_table
        self.silence_breaker = SilenceBreaker(reach)
        self.charge: Charge = _skip_charge
        self.selector = UpstreamSelector(
            self.placer, self.timing, clock, crash_watch
        )
        steps = AttemptSteps(
            self.placer,
            self.retry_budget,
            crash_watch.is_suspect,
            self.selector.placement_request,
            self.selector.is_slow,
            self._send,
        )
        self.hedged_calls = HedgedCalls(steps, clock, metrics)

    def assign_role(self, role: ServiceRole, *, is_exclusive: bool) -> None:
        """Dispatch the services as ``role`` tells; see ``set_exclusive``."""
        self.role = role
        self.set_exclusive(is_exclusive=is_exclusive)

    def set_exclusive(self, *, is_exclusive: bool) -> None:
        """Set whether no other instance dispatches to the owned upstreams."""
        self.is_exclusive = is_exclusive
        for placer in self.placers.values():
            apply_role(placer, self.role, is_exclusive=is_exclusive)

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Dispatch to no upstreams of these failure domains."""
        self.evacuated = failure_domains
        for placer in self.placers.values():
            placer.apply_evacuated(failure_domains)

    def hand_over(self) -> None:
        """Refuse the waiting requests that a successor can serve."""
        for placer in self.placers.values():
            if self.has_successor(placer.service):
                placer.refuse_all()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, as this instance ends."""
        refused = Refused(SHUTTING_DOWN.code, SHUTDOWN_RETRY_AFTER)
        for placer in self.placers.values():
            placer.refuse_all(refused)

    def end_backoffs(self) -> None:
        """Use upstreams at once whose failures were those of this instance."""
        for placer in self.placers.values():
            placer.end_backoffs()

    def apply_upstream_change(self, change: UpstreamChange) -> None:
        """Apply a change of the list of upstreams."""
        entry = change.entry
        for placer in self.placers.values():
            if entry is None or placer.service != entry.service:
                placer.remove(change.key)
        if entry is not None:
            self.placer(entry.service).put(entry)

    def placer(self, service: str) -> ServicePlacer:
        """Return the placer of a service, created on first use."""
        placer = self.placers.get(service)
        if placer is None:
            placer = ServicePlacer(
                service,
                self.failure_domain,
                self.clock,
                self.random,
                self.terms_table,
                own_paused_seconds,
            )
            apply_role(placer, self.role, is_exclusive=self.is_exclusive)
            placer.apply_evacuated(self.evacuated)
            self.placers[service] = placer
        return placer

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = SharedRetryBudget(
                bounds.budget_ratio,
                bounds.budget_slack,
                bounds.budget_window.total_seconds(),
            )
            self.retry_budgets[service] = budget
        return budget

    async def run_queues(self) -> None:
        """Process the queues periodically, until cancelled."""
        while True:
            await asyncio.sleep(_QUEUE_INTERVAL_SECONDS)
            for placer in self.placers.values():
                if placer.queue:
                    placer.process_queue()

    async def run(self, context: RequestContext) -> CallerResponse | Refusal:
        """Dispatch a request and return its response or a refusal."""
        now = self._now()
        self.last_request_at = now
        self._count_request(context, now)
        if self.silence_breaker.refuses(now):
            return upstreams_unreachable(self.random)
        last_result: CallResult | None = None
        while True:
            context.request.stage = RequestStage.QUEUED
            decision = await self.selector.select(context)
            if isinstance(decision, Refused):
                return failure_response(
                    context, last_result, decision, self._now()
                )
            if self.hedged_calls.is_enabled:
                result = await self.hedged_calls.call(context, decision)
            else:
                result = await self._send(context, decision)
            if isinstance(result, Responded) and not result.is_failure:
                return result.response
            last_result = more_informative(last_result, result)
            if not self._may_retry(context, result):
                return failure_response(context, last_result, None, self._now())

    def _count_request(self, context: RequestContext, now: float) -> None:
        budget = self.retry_budget(context.service)
        if context.is_forwarded:
            budget.count_received(now)
        else:
            budget.count_request(now)

    async def _send(
        self, context: RequestContext, placed: Placed
    ) -> CallResult:
        upstream = placed.upstream
        context.tried_keys |= {upstream.key}
        sent_at = self._now()
        is_lightly_loaded = _is_lightly_loaded(upstream)
        snapshot = self.request_log.take_snapshot(context, placed, sent_at)
        try:  # noqa: WPS501 - also when the caller disconnects
            result = await self.client.call(
                upstream,
                context.outgoing_request,
                context.deadline,
                partial(self._before_send, context, placed),
            )
        except BaseException:
            if context.is_answered:
                self._supersede(snapshot, placed, is_lightly_loaded)
            else:
                self.placer(context.service).release(placed)
            raise
        context.request.is_detached = False
        is_answered = isinstance(result, Responded)
        self.placer(context.service).release(placed, answered=is_answered)
        now = self._now()
        if (
            is_lightly_loaded
            and not placed.is_hedge
            and isinstance(result, Responded)
            and not result.is_failure
        ):
            self.timing.record_duration(context.route, now - sent_at)
        self._record_result(context, upstream, result, now)
        self.metrics.count_call(context.service, result, now - sent_at)
        self.request_log.log_call(snapshot, result, now)
        return result

    def _before_send(self, context: RequestContext, placed: Placed) -> None:
        if context.may_have_run or placed.is_hedge:
            self.charge(context)
        context.send_count += 1
        context.request.stage = RequestStage.SENT
        if placed.upstream.rate_limit is not None:
            self.metrics.count_limited_send('request')
        if not context.route.idempotent:
            context.request.is_detached = True

    def _supersede(
        self, snapshot: SendSnapshot, placed: Placed, is_lightly_loaded: bool
    ) -> None:
        """Release an attempt that was cancelled for another response.

        The upstream has not failed, and its response would have come later.
        """
        context = snapshot.context
        self.placer(context.service).supersede(placed)
        now = self._now()
        seconds = now - snapshot.sent_at
        if is_lightly_loaded and not placed.is_hedge:
            self.timing.record_unfinished(context.route, seconds)
        self.metrics.count_superseded(context.service, seconds)
        self.request_log.log_call(snapshot, Superseded(), now)

    def _record_result(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        result: CallResult,
        now: float,
    ) -> None:
        match result:
            case Responded(is_failure=False):
                context.responder = upstream.entry
                upstream.succeeded()
                self.crash_watch.record_response(context.outgoing_request)
            case Responded():
                context.responder = upstream.entry
                context.may_have_run = True
                rate = upstream.failure_rate
                upstream.failure_rate += ERROR_WEIGHT * (1 - rate)
            case NotRun(reported_by_upstream=True):
                upstream.shed(now)
            case NotRun():
                upstream.failed(now)
            case ResponseLost(is_timeout=is_timeout):
                context.may_have_run = True
                if not is_timeout:
                    upstream.failed(now)

    def _may_retry(self, context: RequestContext, result: CallResult) -> bool:
        now = self._now()
        if now >= context.deadline or context.request.caller_disconnected:
            return False
        if isinstance(result, NotRun) and not result.reported_by_upstream:
            # Each attempt adds a tried key, so the difference is the number of
            # attempts that sent nothing.
            attempt_count = len(context.tried_keys) - context.send_count
            return (
                attempt_count < MAX_CONNECT_FAILURES
                and not self.has_successor(context.service)
            )
        if not isinstance(result, NotRun) and not context.route.idempotent:
            return False
        if context.send_count >= context.route.attempts:
            return False
        return self.retry_budget(context.service).try_spend(now)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _is_lightly_loaded(upstream: UpstreamState) -> bool:
    """Return whether requests take their usual time at an upstream."""
    half_of_slots = max(upstream.entry.slots / 2, 1)
    return (
        upstream.in_flight <= half_of_slots
        and upstream.slowdown <= SLOW_THRESHOLD
    )


def _has_no_successor(service: str) -> bool:
    """Dispatch alone."""
    return False


def _skip_charge(context: RequestContext) -> None:
    """Charge nothing, as without quotas."""
