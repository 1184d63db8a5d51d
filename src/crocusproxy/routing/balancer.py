"""Choice of an upstream for each request of one service."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..config.model import Service, Upstream
from ..limits.refusal import Refuse
from .results import (
    Choice,
    Dispatch,
    LoadReport,
    RequestInfo,
    Result,
    Wait,
)
from .state import UpstreamState

_NO_UPSTREAM_RETRY = timedelta(seconds=1)
_NEAR = 0.25


class Balancer:
    """Knows the upstreams of one service and chooses among them.

    There is one balancer per service and process. ``choose`` has no effect of
    its own: the caller reports each dispatch with ``started`` and each end with
    ``finished``. Times are monotonic.
    """

    def __init__(
        self,
        service: Service,
        upstreams: Iterable[Upstream],
        local_failure_domain: str,
        clock: Clock,
        random: Random,
    ) -> None:
        self.service = service
        self.local_failure_domain = local_failure_domain
        self.clock = clock
        self.random = random
        self.states: dict[str, UpstreamState] = {}
        self.update(upstreams)

    def choose(self, request: RequestInfo) -> Choice:
        """Decide what happens to a request now."""
        usable = [
            state
            for state in self.states.values()
            if not state.draining and state.key not in request.excluded
        ]
        if not usable:
            return Refuse('no_upstream', _NO_UPSTREAM_RETRY)
        scores = [
            (state.in_flight / state.upstream.slots, state)
            for state in usable
            if state.in_flight < self.room(state)
        ]
        if not scores:
            return Wait()
        best = min(score for score, _ in scores)
        near = [state for score, state in scores if score <= best + _NEAR]
        return Dispatch(self.random.choice(near).upstream)

    def room(self, state: UpstreamState) -> int:
        """Return how many requests may be in flight to an upstream."""
        return state.upstream.slots + self.service.depth

    def started(self, upstream: Upstream, now: timedelta) -> int:
        """Count a dispatched request; the ticket identifies it at its end."""
        state = self.states.get(upstream.key)
        return 0 if state is None else state.open_request(now)

    def finished(
        self,
        upstream: Upstream,
        result: Result,
        now: timedelta,
        ticket: int | None = None,
    ) -> None:
        """Record the end of a request; without a ticket, of the oldest one."""
        state = self.states.get(upstream.key)
        if state is not None:
            state.close_request(ticket)

    def report(self, upstream: Upstream, load: LoadReport) -> None:
        """Take in a load report, piggybacked or from a probe."""

    def drain(self, upstream: Upstream) -> None:
        """Send no new work to an upstream that announced that it leaves."""
        state = self.states.get(upstream.key)
        if state is not None:
            state.draining = True

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the set of upstreams, keeping what is known of each."""
        states: dict[str, UpstreamState] = {}
        for upstream in upstreams:
            known = self.states.get(upstream.key)
            if known is None or known.upstream.address != upstream.address:
                known = UpstreamState(upstream)
            # The same server with other settings is still draining and busy.
            known.upstream = upstream
            states[upstream.key] = known
        self.states = states
