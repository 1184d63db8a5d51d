"""Coordination of the two attempts of a hedged request."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ..clock import Clock
from ..limits.shared_retry_budget import SharedRetryBudget
from ..placement.hedging import (
    DurationQuantiles,
    ExtraRequestLimit,
    NotSent,
    RouteDurations,
    ServiceLoad,
    SlowRequest,
    reason_against_hedge,
)
from ..placement.placer import ServicePlacer
from ..placement.requests import Placed, PlacementRequest
from .call_results import CallResult, Responded, ResponseLost, more_informative
from .metrics import EntryMetrics, HedgeOutcome
from .request_context import RequestContext
from .settings import Hedging
from .upstream_call import OutgoingRequest

#: A probe that reports a slow upstream costs time, so few are tried.
MAX_SELECTIONS = 2


@dataclass(frozen=True, slots=True)
class AttemptSteps:
    """Steps of the dispatcher that hedged calls use.

    ``is_slow`` probes an upstream unless it has a fresh report; ``send`` sends
    a request to its upstream and applies the result.
    """

    placer: Callable[[str], ServicePlacer]
    retry_budget: Callable[[str], SharedRetryBudget]
    is_suspect: Callable[[OutgoingRequest], bool]
    placement_request: Callable[[RequestContext], PlacementRequest]
    is_slow: Callable[[str, Placed], Awaitable[bool]]
    send: Callable[[RequestContext, Placed], Awaitable[CallResult]]


class HedgedCalls:
    """Sends requests, and second attempts of those that take long.

    ``durations`` are by route, ``limits`` by service.
    """

    def __init__(
        self, steps: AttemptSteps, clock: Clock, metrics: EntryMetrics
    ) -> None:
        self.steps = steps
        self.clock = clock
        self.metrics = metrics
        self.settings = Hedging()
        self.is_enabled = False
        self.durations: dict[str, RouteDurations] = {}
        self.limits: dict[str, ExtraRequestLimit] = {}

    def apply_settings(self, settings: Hedging) -> None:
        """Use other settings from now on."""
        if settings == self.settings:
            return
        self.settings = settings
        self.is_enabled = settings.max_extra_share > 0
        # They begin empty, so that no window exceeds the larger share.
        self.limits.clear()
        if not self.is_enabled:
            # They would be out of date when hedging is switched on again.
            self.durations.clear()

    async def call(self, context: RequestContext, placed: Placed) -> CallResult:
        """Send a request, hedge it if it takes long, and return its result."""
        now = self.now()
        if not context.tried_keys:
            self.limit(context.service).count_request(now)
        if not context.route.idempotent:
            return await self.steps.send(context, placed)
        quantiles = self._durations(context).quantiles(now)
        if quantiles is None:
            return await self.send_first(context, placed)
        return await HedgedCall(self, context, placed, quantiles).run()

    async def send_first(
        self, context: RequestContext, placed: Placed
    ) -> CallResult:
        """Send a request and record how long it takes.

        If the hedge responds first, this is the time until then.
        """
        started_at = self.now()
        try:
            result = await self.steps.send(context, placed)
        except asyncio.CancelledError:
            if context.is_answered:
                self._record(context, started_at)
            raise
        if _shows_duration(result):
            self._record(context, started_at)
        return result

    def limit(self, service: str) -> ExtraRequestLimit:
        """Return the limit of a service, created on first use."""
        limit = self.limits.get(service)
        if limit is None:
            settings = self.settings
            limit = ExtraRequestLimit(
                settings.max_extra_share, settings.window.total_seconds()
            )
            self.limits[service] = limit
        return limit

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def _record(self, context: RequestContext, started_at: float) -> None:
        now = self.now()
        self._durations(context).record(now - started_at, now)

    def _durations(self, context: RequestContext) -> RouteDurations:
        name = context.route.name
        durations = self.durations.get(name)
        if durations is None:
            durations = RouteDurations(self.now())
            self.durations[name] = durations
        return durations


class HedgedCall:
    """One request and its hedge.

    ``hedge`` is set once the hedge has taken its slot and its budgets. Without
    a usable response, the results are combined as those of an attempt and its
    retry.
    """

    def __init__(
        self,
        calls: HedgedCalls,
        context: RequestContext,
        placed: Placed,
        quantiles: DurationQuantiles,
    ) -> None:
        self.calls = calls
        self.steps = calls.steps
        self.context = context
        self.placed = placed
        self.quantiles = quantiles
        self.left_attempts = context.route.attempts - context.send_count - 1
        self.hedge: Placed | None = None
        self.outcome: HedgeOutcome = 'abandoned'

    async def run(self) -> CallResult:
        """Return the first usable response, or the result without one."""
        first = asyncio.create_task(
            self.calls.send_first(self.context, self.placed)
        )
        tasks: list[asyncio.Task[Any]] = [first]
        try:  # noqa: WPS501 - also when the caller disconnects
            return await self._hedge_if_slow(first, tasks)
        finally:
            if self.hedge is not None:
                self.calls.metrics.count_hedge(
                    self.context.service, self.outcome
                )
            await _cancel(tasks)

    async def _hedge_if_slow(
        self,
        first: asyncio.Task[CallResult],
        tasks: list[asyncio.Task[Any]],
    ) -> CallResult:
        await asyncio.wait((first,), timeout=self.quantiles.hedge_delay)
        if first.done():
            return first.result()
        hedge = asyncio.create_task(self._send_hedge())
        tasks.append(hedge)
        return await self._result_of(first, hedge)

    async def _result_of(
        self,
        first: asyncio.Task[CallResult],
        hedge: asyncio.Task[CallResult | NotSent],
    ) -> CallResult:
        await asyncio.wait((first, hedge), return_when=asyncio.FIRST_COMPLETED)
        if self.hedge is not None:
            return await self._first_usable(
                {first: self.placed, hedge: self.hedge}
            )
        if not hedge.done():
            self._count_unsent(NotSent.ended)
        await asyncio.wait((first,))
        return first.result()

    async def _first_usable(
        self, attempts: dict[asyncio.Task[Any], Placed]
    ) -> CallResult:
        latest: CallResult | None = None
        while attempts:
            done, _ = await asyncio.wait(
                attempts, return_when=asyncio.FIRST_COMPLETED
            )
            # If both have ended at once, the first attempt comes first.
            ended = next(one for one in attempts if one in done)
            placed = attempts.pop(ended)
            latest = self._apply(latest, ended.result(), placed)
            if self.context.is_answered:
                self.outcome = 'won' if placed.is_hedge else 'lost'
                return latest
        self.outcome = 'lost'
        assert latest is not None
        return latest

    def _apply(
        self, previous: CallResult | None, result: CallResult, placed: Placed
    ) -> CallResult:
        """Return the result to use, and note whose response it is."""
        if isinstance(result, Responded):
            self.context.responder = placed.upstream.entry
            self.context.is_answered = not result.is_failure
        return more_informative(previous, result)

    async def _send_hedge(self) -> CallResult | NotSent:
        placed = await self._place()
        if isinstance(placed, NotSent):
            self._count_unsent(placed)
            return placed
        self.hedge = placed
        return await self.steps.send(self.context, placed)

    async def _place(self) -> Placed | NotSent:
        """Take a slot and the budgets, or return why there is no hedge."""
        placed = await self._choose()
        if isinstance(placed, NotSent):
            return placed
        # Other requests may have come during the probe.
        reason = self._reason_against() or self._spend()
        if reason is None:
            return placed
        self.steps.placer(self.context.service).release(placed)
        return reason

    async def _choose(self) -> Placed | NotSent:
        """Choose an upstream, and choose again if a probe reports it slow."""
        service = self.context.service
        placer = self.steps.placer(service)
        for _ in range(MAX_SELECTIONS):
            reason = self._reason_against()
            if reason is not None:
                return reason
            placed = placer.place_hedge(
                self.steps.placement_request(self.context)
            )
            if placed is None:
                break
            if not await self.steps.is_slow(service, placed):
                return placed
            placer.release(placed)
        return NotSent.no_upstream

    def _reason_against(self) -> NotSent | None:
        context = self.context
        now = self.calls.now()
        placer = self.steps.placer(context.service)
        request = SlowRequest(
            self.left_attempts,
            min(context.target_at, context.deadline) - now,
            self.quantiles.median,
            self.steps.is_suspect(context.outgoing_request),
        )
        load = ServiceLoad(bool(placer.queue), placer.has_spare_slots())
        reason = reason_against_hedge(request, load)
        if reason is not None:
            return reason
        is_permitted = self.calls.limit(context.service).permits_hedge(now)
        return None if is_permitted else NotSent.share

    def _spend(self) -> NotSent | None:
        now = self.calls.now()
        service = self.context.service
        if not self.steps.retry_budget(service).try_spend(now):
            return NotSent.budget
        self.calls.limit(service).count_hedge(now)
        return None

    def _count_unsent(self, reason: NotSent) -> None:
        self.calls.metrics.count_unsent_hedge(self.context.service, reason)


def _shows_duration(result: CallResult) -> bool:
    """Return whether an attempt has run until its response or deadline."""
    match result:
        case Responded(is_failure=is_failure):
            return not is_failure
        case ResponseLost(is_timeout=is_timeout):
            return is_timeout
    return False


async def _cancel(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel the tasks that run, and wait until they have ended."""
    running = [task for task in tasks if not task.done()]
    for task in running:
        task.cancel()
    if running:
        await asyncio.wait(running)
