"""Choice of an upstream for each request of one service."""

from collections.abc import Iterable
from datetime import timedelta
from math import inf
from random import Random

from ..clock import Clock
from ..config.model import Service, Upstream
from ..limits.refusal import Refuse
from .crash import CrashSuspects
from .outcomes import record_result
from .results import (
    Choice,
    Dispatch,
    LoadReport,
    RequestInfo,
    Result,
    StuckRequest,
    Wait,
)
from .state import SLOW_START_SECONDS, UpstreamState

_NO_UPSTREAM_RETRY = timedelta(seconds=1)
FULL = inf
NEAR_EQUAL = 0.1  # service times
REMOTE_COST = 0.1  # service times
BUSY_COST = 0.1  # service times, for a full upstream against an empty one
SLOW_COST = 4.0  # service times, for an upstream that is surely slow
LOCAL_DEPTH = 1  # requests beyond the slots within the failure domain


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
        self.suspects = CrashSuspects()
        self.states: dict[str, UpstreamState] = {}
        self.update(upstreams)

    def choose(self, request: RequestInfo) -> Choice:
        """Decide what happens to a request now."""
        clock = self.clock.monotonic()
        refused = self.suspects.refused_for(request.fingerprint, clock)
        if refused:
            return Refuse('request_suspected', refused)
        now = clock.total_seconds()
        usable = self._usable(request, now)
        if not usable:
            return Refuse('no_upstream', _NO_UPSTREAM_RETRY)
        ejected = self._ejected(now)
        if not ejected:
            return self._cheapest(usable, now)
        if request.idempotent:
            for state in usable:
                if state.key in ejected and state.trials.is_due(now):
                    return Dispatch(state.upstream)
        rest = [state for state in usable if state.key not in ejected]
        return self._cheapest(rest, now)

    def has_room(self) -> bool:
        """Return whether some upstream would take an ordinary request."""
        now = self.clock.monotonic().total_seconds()
        ejected = self._ejected(now)
        depths = self._depths()
        return any(
            _cost(state, now, depths[state.is_remote]) < FULL
            for state in self.states.values()
            if now >= state.draining_until and state.key not in ejected
        )

    def started(
        self,
        upstream: Upstream,
        now: timedelta,
        fingerprint: str = '',
    ) -> int:
        """Count a dispatched request; the ticket identifies it at its end."""
        state = self.states.get(upstream.key)
        if state is None:
            return 0
        is_suspect = self.suspects.is_suspect(fingerprint)
        return state.open_request(now.total_seconds(), is_suspect)

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
            if ticket is None:
                ticket = next(iter(state.open), 0)
            record_result(state, result, now.total_seconds(), ticket)

    def stuck_requests(self, now: timedelta) -> list[StuckRequest]:
        """Return the requests that are stuck at slow upstreams."""
        seconds = now.total_seconds()
        self._ejected(seconds)
        return [
            StuckRequest(state.upstream, ticket, request.began is not None)
            for state in self.states.values()
            if state.is_suspect and seconds >= state.draining_until
            for ticket, request in state.open.items()
            if state.is_stuck(ticket, seconds)
        ]

    def report(self, upstream: Upstream, load: LoadReport) -> None:
        """Take in a load report, piggybacked or from a probe."""
        state = self.states.get(upstream.key)
        if state is not None:
            total = load.in_flight + load.queued
            state.external_load.report(
                total, state.in_flight, load.at.total_seconds()
            )

    def drain(self, upstream: Upstream) -> None:
        """Send no new work to an upstream that announced that it leaves.

        A notice is valid for a minute; the instance list's is given again.
        """
        state = self.states.get(upstream.key)
        if state is not None:
            state.drain(self.clock.monotonic().total_seconds())

    def in_flight(self, upstream: Upstream) -> int:
        """Return the number of this process's requests at an upstream."""
        state = self.states.get(upstream.key)
        return 0 if state is None else state.in_flight

    def is_draining(self, upstream: Upstream) -> bool:
        """Return whether a notice of the upstream is in force."""
        state = self.states.get(upstream.key)
        now = self.clock.monotonic().total_seconds()
        return state is not None and now < state.draining_until

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the set of upstreams, keeping what is known of each.

        Upstreams that join a running service start cold.
        """
        now = self.clock.monotonic().total_seconds()
        states: dict[str, UpstreamState] = {}
        for upstream in upstreams:
            is_remote = upstream.failure_domain != self.local_failure_domain
            known = self.states.get(upstream.key)
            if known is None or known.upstream.address != upstream.address:
                known = UpstreamState(upstream, is_remote)
                known.cold_since = now if self.states else known.cold_since
            # The same server with other settings is still draining and busy.
            known.upstream = upstream
            known.is_remote = is_remote
            states[upstream.key] = known
        self.states = states

    def _usable(
        self,
        request: RequestInfo,
        now: float,
    ) -> list[UpstreamState]:
        """Return the upstreams that may get the request at all.

        Suspects of a crash are kept apart, so that the next crash shows which
        of them is the cause.
        """
        usable = [
            state
            for state in self.states.values()
            if now >= state.draining_until
        ]
        excluded = request.excluded
        if excluded:
            usable = [state for state in usable if state.key not in excluded]
        if self.suspects.is_suspect(request.fingerprint):
            apart = [state for state in usable if not state.holds_suspect]
            return apart or usable
        return usable

    def _cheapest(self, usable: list[UpstreamState], now: float) -> Choice:
        """Choose at random among the upstreams that cost nearly the least."""
        best = FULL
        offers: list[tuple[float, UpstreamState]] = []
        depths = self._depths()
        for state in usable:
            cost = _cost(state, now, depths[state.is_remote])
            if cost < FULL and cost <= best + NEAR_EQUAL:
                offers.append((cost, state))
                best = min(best, cost)
        if not offers:
            return Wait()
        near = [state for cost, state in offers if cost <= best + NEAR_EQUAL]
        return Dispatch(near[int(self.random.random() * len(near))].upstream)

    def _depths(self) -> tuple[int, int]:
        """Return the requests beyond the slots, for near and far upstreams."""
        far_depth = self.service.depth
        return min(LOCAL_DEPTH, far_depth), far_depth

    def _ejected(self, now: float) -> frozenset[str]:
        """Update the marks and return the upstreams that get trials only.

        When more than the allowed share is out, slowness is ignored, and of
        the upstreams that fail only the worst stay out. Draining ones get
        nothing and do not count.
        """
        out: list[UpstreamState] = []
        for state in self.states.values():
            if now >= state.alarm_at and not state.ejected:
                state.look(now)
            if state.ejected and now >= state.draining_until:
                out.append(state)
        allowed = int(self.service.max_eject_share * len(self.states))
        if len(out) > allowed:
            failing = [state for state in out if state.was_failing]
            failing.sort(key=lambda state: state.breaker.failures, reverse=True)
            out = failing[:allowed]
        return frozenset(state.key for state in out)


def _cost(state: UpstreamState, now: float, depth: int) -> float:
    """Return the expected wait in service times, infinite if full.

    This runs for each upstream at each request; the usual case, in which no
    signal is set, comes first.
    """
    if now < state.backoff_until:
        return FULL
    load = float(len(state.open))
    if state.external_load.estimate > 0 or state.penalty:
        load = state.load(now)
    slots = state.upstream.slots
    room: float = slots + depth
    if now - state.cold_since < SLOW_START_SECONDS:
        warmth = state.warmth(now)
        room = max(room * warmth, 1)
        load = load / max(warmth, 0.1)
    if load >= room:
        return FULL
    beyond = load + 1 - slots
    wait = beyond / slots if beyond > 0 else 0
    if state.slow:
        wait += SLOW_COST * state.slow
    return wait + BUSY_COST * load / slots + REMOTE_COST * state.is_remote
