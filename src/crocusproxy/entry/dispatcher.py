"""Sends requests to upstreams, and again where that is safe."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from ..clock import Clock
from ..limits.shared_retry_budget import SharedRetryBudget
from ..placement.placer import (
    Decision,
    Demand,
    Placed,
    Refused,
    ServicePlacer,
)
from ..placement.upstream_state import SLOW_THRESHOLD, UpstreamState
from ..protocol.home_feed import UpstreamChange
from ..routes.timing import RouteTiming
from .call_results import CallResult, NotRun, Responded, ResponseLost
from .crash_watch import CrashWatch
from .metrics import EntryMetrics
from .refusals import EXPIRED, FAILED, NOT_ACCEPTED, TIMED_OUT, not_placed
from .request_context import RequestContext
from .request_log import RequestLog
from .responses import CallerResponse, Refusal
from .settings import Bounds
from .upstream_call import UpstreamClient

_TICK_SECONDS = 0.01
#: A load reported within this many seconds is as good as a new one.
FRESH_LOAD_SECONDS = 0.03
#: How often a request looks for another upstream because one is slow.
MAX_RESELECTIONS = 5
#: Connections that can't be opened cost the upstreams nothing.
MAX_CONNECT_FAILURES = 4
#: Share of an upstream's failure rate that an error of its own replaces.
ERROR_WEIGHT_SHARE = 0.1

#: Asks one upstream of a service for its load.
RefreshLoad = Callable[[str, UpstreamState], Awaitable[None]]


class Dispatcher:
    """Places the requests of each service and judges how their calls result."""

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
    ) -> None:
        self.client = client
        self.failure_domain = failure_domain
        self.bounds = bounds
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.request_log = request_log
        self.crash_watch = crash_watch
        self.refresh_load: RefreshLoad = _skip_refresh
        self.timing = RouteTiming()
        self.placers: dict[str, ServicePlacer] = {}
        self.retry_budgets: dict[str, SharedRetryBudget] = {}
        self.last_request_at = float()

    def apply_upstream_change(self, change: UpstreamChange) -> None:
        """Take in a change of the list of upstreams."""
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
                service, self.failure_domain, self.clock, self.random
            )
            self.placers[service] = placer
        return placer

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the budget of repeats of a service."""
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
        """Refuse what has waited for too long, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            for placer in self.placers.values():
                if placer.queue:
                    placer.process_queue()

    async def run(self, context: RequestContext) -> CallerResponse | Refusal:
        """Return the response to a request, or why there is none."""
        now = self._now()
        self.last_request_at = now
        self.retry_budget(context.service).count_request(now)
        last_result: CallResult | None = None
        while True:
            decision = await self._place(context)
            if isinstance(decision, Refused):
                return self._failure_response(context, last_result, decision)
            result = await self._send(context, decision)
            if isinstance(result, Responded) and not result.is_failure:
                return result.response
            last_result = _more_informative(last_result, result)
            if not self._may_retry(context, result):
                return self._failure_response(context, last_result, None)

    async def _place(self, context: RequestContext) -> Decision:
        """Choose an upstream, and look again if it turns out to be slow."""
        refused_for = self.crash_watch.refused_for(context.outgoing)
        if refused_for:
            return Refused('request_suspected', refused_for)
        placer = self.placer(context.service)
        decision = await self._choose(context)
        for _ in range(MAX_RESELECTIONS):
            if isinstance(decision, Refused):
                break
            if not await self._is_slow(context.service, decision):
                break
            placer.release(decision)
            decision = await self._choose(context)
        return decision

    async def _is_slow(self, service: str, placed: Placed) -> bool:
        """Ask an upstream of which nothing new is known if it is slow."""
        state = placed.upstream
        if self._now() - state.reported_at < FRESH_LOAD_SECONDS:
            return False
        try:
            await self.refresh_load(service, state)
        except asyncio.CancelledError:
            self.placer(service).release(placed)
            raise
        return state.slowdown > SLOW_THRESHOLD

    async def _choose(self, context: RequestContext) -> Decision:
        route = context.route
        demand = Demand(
            route.priority,
            self.timing.expected_work(route),
            context.target_at,
            context.deadline,
            context.tried_keys,
        )
        decision: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        placer = self.placer(context.service)
        waiting = placer.place(demand, decision.set_result)
        try:
            return await asyncio.shield(decision)
        except asyncio.CancelledError:
            placer.withdraw(waiting)
            if decision.done():
                _release_if_placed(placer, decision.result())
            raise

    async def _send(
        self, context: RequestContext, placed: Placed
    ) -> CallResult:
        upstream = placed.upstream
        context.tried_keys |= {upstream.key}
        sent_at = self._now()
        half_of_slots = max(upstream.entry.slots / 2, 1)
        is_lightly_loaded = (
            upstream.in_flight <= half_of_slots
            and upstream.slowdown <= SLOW_THRESHOLD
        )
        snapshot = self.request_log.take_snapshot(context, upstream, sent_at)

        def on_sent() -> None:  # noqa: WPS430
            context.send_count += 1
            if not context.route.idempotent:
                context.request.is_detached = True

        try:  # noqa: WPS501 - also when the caller goes away
            result = await self.client.call(
                upstream, context.outgoing, context.deadline, on_sent
            )
        except BaseException:
            self.placer(context.service).release(placed)
            raise
        context.request.is_detached = False
        answered = isinstance(result, Responded)
        self.placer(context.service).release(placed, answered=answered)
        now = self._now()
        if (
            is_lightly_loaded
            and isinstance(result, Responded)
            and not result.is_failure
        ):
            self.timing.record_duration(context.route, now - sent_at)
        self._record_result(context, upstream, result, now)
        self.metrics.count_call(context.service, result, now - sent_at)
        self.request_log.log_call(snapshot, result, now)
        return result

    def _record_result(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        result: CallResult,
        now: float,
    ) -> None:
        match result:
            case Responded(is_failure=False):
                upstream.succeeded()
                self.crash_watch.record_response(context.outgoing)
            case Responded():
                context.may_have_run = True
                rate = upstream.failure_rate
                upstream.failure_rate += ERROR_WEIGHT_SHARE * (1 - rate)
            case NotRun(upstream_reached=True, retry_after=pause):
                upstream.shed(now, pause)
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
        if isinstance(result, NotRun) and not result.upstream_reached:
            return (
                len(context.tried_keys) - context.send_count
                < MAX_CONNECT_FAILURES
            )
        if not isinstance(result, NotRun) and not context.route.idempotent:
            return False
        if context.send_count >= context.route.attempts:
            return False
        return self.retry_budget(context.service).try_spend(now)

    def _failure_response(
        self,
        context: RequestContext,
        last_result: CallResult | None,
        refused: Refused | None,
    ) -> CallerResponse | Refusal:
        if isinstance(last_result, Responded):
            return last_result.response
        if context.may_have_run:
            late = (
                isinstance(last_result, ResponseLost) and last_result.is_timeout
            )
            return TIMED_OUT if late else FAILED
        if refused is not None:
            return not_placed(refused.code, refused.retry_after)
        return EXPIRED if self._now() >= context.deadline else NOT_ACCEPTED

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


async def _skip_refresh(service: str, state: UpstreamState) -> None:
    """Go by what is known."""


def _more_informative(
    earlier: CallResult | None, later: CallResult
) -> CallResult:
    """Prefer what says most about the request."""
    if isinstance(later, NotRun) and earlier is not None:
        return earlier
    return later


def _release_if_placed(placer: ServicePlacer, decision: Decision) -> None:
    if isinstance(decision, Placed):
        placer.release(decision)
