"""Sends requests to upstreams, and again where that is safe."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from ..clock import Clock
from ..limits.shared_retry_budget import SharedRetryBudget
from ..placement.placer import (
    Decision,
    Placed,
    PlacementRequest,
    Refused,
    ServicePlacer,
)
from ..placement.upstream_state import SLOW_THRESHOLD, UpstreamState
from ..protocol.home_feed import UpstreamChange
from ..routes.timing import RouteTiming
from .call_ends import CallEnd, NotRun, Responded, ResponseLost
from .crash_watch import CrashWatch
from .metrics import EntryMetrics
from .progress import Progress
from .refusals import EXPIRED, FAILED, NOT_ACCEPTED, TIMED_OUT, not_placed
from .request_log import RequestLog
from .responses import CallerResponse, Refusal
from .settings import Bounds
from .upstream_call import UpstreamClient

_TICK_SECONDS = 0.01
#: A load reported within this many seconds is as good as a new one.
FRESH_AT_CHOICE = 0.03
#: How often a request looks for another upstream because one is slow.
MAX_LOOKS = 5
#: Connections that can't be opened cost the upstreams nothing.
MAX_UNREACHED = 4
#: Share of an upstream's failure rate that an error of its own replaces.
ERROR_WEIGHT = 0.1

#: Asks one upstream of a service for its load.
Refresh = Callable[[str, UpstreamState], Awaitable[None]]


class Dispatcher:
    """Places the requests of each service and judges how their calls end."""

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
        self.refresh: Refresh = _no_refresh
        self.timing = RouteTiming()
        self.placers: dict[str, ServicePlacer] = {}
        self.budgets: dict[str, SharedRetryBudget] = {}
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

    def budget(self, service: str) -> SharedRetryBudget:
        """Return the budget of repeats of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = SharedRetryBudget(
                bounds.budget_ratio,
                bounds.budget_slack,
                bounds.budget_window.total_seconds(),
            )
            self.budgets[service] = budget
        return budget

    async def run_queues(self) -> None:
        """Refuse what has waited for too long, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            for placer in self.placers.values():
                if placer.queue:
                    placer.process_queue()

    async def run(self, progress: Progress) -> CallerResponse | Refusal:
        """Return the response to a request, or why there is none."""
        now = self._now()
        self.last_request_at = now
        self.budget(progress.service).count_request(now)
        last: CallEnd | None = None
        while True:
            decision = await self._place(progress)
            if isinstance(decision, Refused):
                return self._give_up(progress, last, decision)
            end = await self._send(progress, decision)
            if isinstance(end, Responded) and not end.failed:
                return end.response
            last = _to_report(last, end)
            if not self._may_repeat(progress, end):
                return self._give_up(progress, last, None)

    async def _place(self, progress: Progress) -> Decision:
        """Choose an upstream, and look again if it turns out to be slow."""
        suspected = self.crash_watch.refused_for(progress.outgoing)
        if suspected:
            return Refused('request_suspected', suspected)
        placer = self.placer(progress.service)
        decision = await self._decide(progress)
        for _ in range(MAX_LOOKS):
            if isinstance(decision, Refused):
                break
            if not await self._is_slow(progress.service, decision):
                break
            placer.release(decision)
            decision = await self._decide(progress)
        return decision

    async def _is_slow(self, service: str, placed: Placed) -> bool:
        """Ask an upstream of which nothing new is known if it is slow."""
        state = placed.upstream
        if self._now() - state.reported_at < FRESH_AT_CHOICE:
            return False
        try:
            await self.refresh(service, state)
        except asyncio.CancelledError:
            self.placer(service).release(placed)
            raise
        return state.slowdown > SLOW_THRESHOLD

    async def _decide(self, progress: Progress) -> Decision:
        route = progress.route
        demand = PlacementRequest(
            route.priority,
            self.timing.expected_work(route),
            progress.target_at,
            progress.deadline,
            progress.tried,
        )
        decided: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        placer = self.placer(progress.service)
        waiting = placer.place(demand, decided.set_result)
        try:
            return await asyncio.shield(decided)
        except asyncio.CancelledError:
            placer.withdraw(waiting)
            if decided.done():
                _release_if_placed(placer, decided.result())
            raise

    async def _send(self, progress: Progress, placed: Placed) -> CallEnd:
        upstream = placed.upstream
        progress.tried |= {upstream.key}
        sent_at = self._now()
        half_full = max(upstream.entry.slots / 2, 1)
        at_ease = (
            upstream.in_flight <= half_full
            and upstream.slowdown <= SLOW_THRESHOLD
        )
        note = self.request_log.note_send(progress, upstream, sent_at)

        def on_sent() -> None:  # noqa: WPS430
            progress.sends += 1
            if not progress.route.idempotent:
                progress.request.detached = True

        try:  # noqa: WPS501 - also when the caller goes away
            end = await self.client.call(
                upstream, progress.outgoing, progress.deadline, on_sent
            )
        except BaseException:
            self.placer(progress.service).release(placed)
            raise
        progress.request.detached = False
        answered = isinstance(end, Responded)
        self.placer(progress.service).release(placed, answered=answered)
        now = self._now()
        if at_ease and isinstance(end, Responded) and not end.failed:
            self.timing.record_duration(progress.route, now - sent_at)
        self._learn(progress, upstream, end, now)
        self.metrics.sent(progress.service, end, now - sent_at)
        self.request_log.call_ended(note, end, now)
        return end

    def _learn(
        self,
        progress: Progress,
        upstream: UpstreamState,
        end: CallEnd,
        now: float,
    ) -> None:
        match end:
            case Responded(failed=False):
                upstream.succeeded()
                self.crash_watch.answered(progress.outgoing)
            case Responded():
                progress.may_have_run = True
                rate = upstream.failure_rate
                upstream.failure_rate += ERROR_WEIGHT * (1 - rate)
            case NotRun(reached=True, retry_after=pause):
                upstream.shed(now, pause)
            case NotRun():
                upstream.failed(now)
            case ResponseLost(timed_out=timed_out):
                progress.may_have_run = True
                if not timed_out:
                    upstream.failed(now)

    def _may_repeat(self, progress: Progress, end: CallEnd) -> bool:
        now = self._now()
        if now >= progress.deadline or progress.request.caller_disconnected:
            return False
        if isinstance(end, NotRun) and not end.reached:
            return len(progress.tried) - progress.sends < MAX_UNREACHED
        if not isinstance(end, NotRun) and not progress.route.idempotent:
            return False
        if progress.sends >= progress.route.attempts:
            return False
        return self.budget(progress.service).try_spend(now)

    def _give_up(
        self,
        progress: Progress,
        last: CallEnd | None,
        refused: Refused | None,
    ) -> CallerResponse | Refusal:
        if isinstance(last, Responded):
            return last.response
        if progress.may_have_run:
            late = isinstance(last, ResponseLost) and last.timed_out
            return TIMED_OUT if late else FAILED
        if refused is not None:
            return not_placed(refused.code, refused.retry_after)
        return EXPIRED if self._now() >= progress.deadline else NOT_ACCEPTED

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


async def _no_refresh(service: str, state: UpstreamState) -> None:
    """Go by what is known."""


def _to_report(earlier: CallEnd | None, later: CallEnd) -> CallEnd:
    """Prefer what says most about the request."""
    if isinstance(later, NotRun) and earlier is not None:
        return earlier
    return later


def _release_if_placed(placer: ServicePlacer, decision: Decision) -> None:
    if isinstance(decision, Placed):
        placer.release(decision)
