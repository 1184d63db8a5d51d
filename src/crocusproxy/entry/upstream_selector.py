"""Selection of the upstream to which a request is sent."""

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..placement.placer import ServicePlacer
from ..placement.requests import Decision, Placed, PlacementRequest, Refused
from ..placement.upstream_state import SLOW_THRESHOLD, UpstreamState
from ..routes.timing import RouteTiming
from .crash_watch import CrashWatch
from .request_context import RequestContext

#: An upstream is probed before use if its latest load report is older.
FRESH_LOAD_SECONDS = 0.03
#: How often a request chooses again because the chosen upstream is slow.
MAX_RESELECTIONS = 5

#: Probes the load of one upstream of a service.
RefreshLoad = Callable[[str, UpstreamState], Awaitable[None]]


class UpstreamSelector:
    """Waits for a slot of an upstream, and probes it before use.

    ``placer`` returns the placer of a service. ``refresh_load`` is called if
    the latest load report of the chosen upstream is out of date.
    """

    def __init__(
        self,
        placer: Callable[[str], ServicePlacer],
        timing: RouteTiming,
        clock: Clock,
        crash_watch: CrashWatch,
    ) -> None:
        self.placer = placer
        self.timing = timing
        self.clock = clock
        self.crash_watch = crash_watch
        self.refresh_load: RefreshLoad = _skip_refresh

    async def select(self, context: RequestContext) -> Decision:
        """Choose an upstream, and choose again if a probe reports it slow."""
        remaining_refusal = self.crash_watch.refused_for(
            context.outgoing_request
        )
        if remaining_refusal:
            return Refused('request_suspected', remaining_refusal)
        placer = self.placer(context.service)
        decision = await self._choose(context)
        for _ in range(MAX_RESELECTIONS):
            if isinstance(decision, Refused):
                break
            if not await self.is_slow(context.service, decision):
                break
            placer.release(decision)
            decision = await self._choose(context)
        return decision

    async def is_slow(self, service: str, placed: Placed) -> bool:
        """Probe an upstream and return whether it is slow.

        With a fresh load report, return False without a probe, as the choice
        already took that report into account. A rate limit counts probes too,
        so they would take the place of requests.
        """
        state = placed.upstream
        if state.is_limited:
            return False
        if self._now() - state.reported_at < FRESH_LOAD_SECONDS:
            return False
        try:
            await self.refresh_load(service, state)
        except asyncio.CancelledError:
            self.placer(service).release(placed)
            raise
        # A cold upstream has a limit that this choice did not respect.
        return state.is_cold or state.slowdown > SLOW_THRESHOLD

    def placement_request(self, context: RequestContext) -> PlacementRequest:
        """Return what the placer needs to know of a request."""
        route = context.route
        return PlacementRequest(
            context.priority,
            self.timing.expected_service_time(route),
            context.target_at,
            context.deadline,
            context.tried_keys,
            context.account_name,
        )

    async def _choose(self, context: RequestContext) -> Decision:
        placement_request = self.placement_request(context)
        decision: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        placer = self.placer(context.service)
        pending_request = placer.place(placement_request, decision.set_result)
        try:
            return await asyncio.shield(decision)
        except asyncio.CancelledError:
            placer.withdraw(pending_request)
            if decision.done():
                _release_if_placed(placer, decision.result())
            raise

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


async def _skip_refresh(service: str, state: UpstreamState) -> None:
    """Keep the latest known load."""


def _release_if_placed(placer: ServicePlacer, decision: Decision) -> None:
    if isinstance(decision, Placed):
        placer.release(decision)
