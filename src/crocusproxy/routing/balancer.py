"""Load balancer for the requests of one service."""

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
FULL_COST = inf  # cost of an upstream that must not get a request now
EQUAL_COST_MARGIN = 0.1  # service times; a smaller difference is ignored
REMOTE_COST = 0.1  # service times
BUSY_COST = 0.1  # service times, added in proportion to the load per slot
SLOW_COST = 4.0  # service times, at a slow probability of 1
LOCAL_DEPTH = 1  # requests beyond the slots, in the local failure domain


class Balancer:
    """Chooses among the upstreams of one service.

    There is one balancer per service and process. ``choose`` does not count
    the request: call ``started`` after each dispatch and ``finished`` at the
    end of each dispatched request. Times are monotonic.
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
        """Return whether to dispatch, queue or refuse a request now."""
        time = self.clock.monotonic()
        retry_after = self.suspects.refused_for(request.fingerprint, time)
        if retry_after:
            return Refuse('request_suspected', retry_after)
        now = time.total_seconds()
        usable = self._usable(request, time)
        if not usable:
            return Refuse('no_upstream', _NO_UPSTREAM_RETRY)
        ejected = self._update_ejections(now)
        if not ejected:
            return self._cheapest(usable, now)
        if request.idempotent:
            for state in usable:
                if state.key in ejected and state.trials.is_due(now):
                    return Dispatch(state.upstream)
        remaining = [state for state in usable if state.key not in ejected]
        return self._cheapest(remaining, now)

    def has_room(self) -> bool:
        """Return whether any upstream has room for an ordinary request."""
        now = self.clock.monotonic().total_seconds()
        ejected = self._update_ejections(now)
        depths = self._depths()
        return any(
            _cost(state, now, depths[state.is_remote]) < FULL_COST
            for state in self.states.values()
            if now >= state.draining_until and state.key not in ejected
        )

    def started(
        self,
        upstream: Upstream,
        now: timedelta,
        fingerprint: str = '',
    ) -> int:
        """Record a dispatched request and return its ticket.

        ``finished`` takes the ticket; it is 0 if the upstream is unknown.
        """
        state = self.states.get(upstream.key)
        if state is None:
            return 0
        is_crash_suspect = self.suspects.is_suspect(fingerprint, now)
        return state.open_request(now.total_seconds(), is_crash_suspect)

    def finished(
        self,
        upstream: Upstream,
        result: Result,
        now: timedelta,
        ticket: int | None = None,
    ) -> None:
        """Record the end of a request, by default of the oldest open one."""
        state = self.states.get(upstream.key)
        if state is not None:
            if ticket is None:
                ticket = next(iter(state.requests), 0)
            record_result(state, result, now.total_seconds(), ticket)

    def stuck_requests(self, now: timedelta) -> list[StuckRequest]:
        """Return the requests that are stuck at slow or ejected upstreams."""
        seconds = now.total_seconds()
        self._update_ejections(seconds)
        return [
            StuckRequest(state.upstream, ticket, request.started_at is not None)
            for state in self.states.values()
            if state.is_unhealthy and seconds >= state.draining_until
            for ticket, request in state.requests.items()
            if state.is_stuck(ticket, seconds)
        ]

    def report(self, upstream: Upstream, load: LoadReport) -> None:
        """Record a load report from a response or a probe."""
        state = self.states.get(upstream.key)
        if state is not None:
            total = load.in_flight + load.queued
            state.external_load.report(
                total, state.in_flight, load.at.total_seconds()
            )

    def drain(self, upstream: Upstream) -> None:
        """Stop new requests to an upstream that announced a drain.

        The notice expires after ``DRAIN_NOTICE_SECONDS``, so call this again
        for as long as the upstream drains.
        """
        state = self.states.get(upstream.key)
        if state is not None:
            state.drain(self.clock.monotonic().total_seconds())

    def in_flight(self, upstream: Upstream) -> int:
        """Return the number of this process's requests at an upstream."""
        state = self.states.get(upstream.key)
        return 0 if state is None else state.in_flight

    def is_draining(self, upstream: Upstream) -> bool:
        """Return whether a drain notice of the upstream is in force."""
        state = self.states.get(upstream.key)
        now = self.clock.monotonic().total_seconds()
        return state is not None and now < state.draining_until

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the set of upstreams, keeping the state of known ones.

        Upstreams that join a running service get a slow start.
        """
        now = self.clock.monotonic().total_seconds()
        states: dict[str, UpstreamState] = {}
        for upstream in upstreams:
            is_remote = upstream.failure_domain != self.local_failure_domain
            state = self.states.get(upstream.key)
            if state is None or state.upstream.address != upstream.address:
                state = UpstreamState(upstream, is_remote)
                state.slow_start_at = (
                    now if self.states else state.slow_start_at
                )
            # A server whose settings changed keeps its drain and open requests.
            state.upstream = upstream
            state.is_remote = is_remote
            states[upstream.key] = state
        self.states = states

    def _usable(
        self,
        request: RequestInfo,
        time: timedelta,
    ) -> list[UpstreamState]:
        """Return the upstreams that the request may be sent to.

        Crash suspects are sent to separate upstreams, so that the next crash
        identifies the cause.
        """
        now = time.total_seconds()
        usable = [
            state
            for state in self.states.values()
            if now >= state.draining_until
        ]
        excluded = request.excluded
        if excluded:
            usable = [state for state in usable if state.key not in excluded]
        if self.suspects.is_suspect(request.fingerprint, time):
            separate = [
                state for state in usable if not state.has_crash_suspect
            ]
            return separate or usable
        return usable

    def _cheapest(self, usable: list[UpstreamState], now: float) -> Choice:
        """Choose at random among the upstreams with nearly the lowest cost."""
        best = FULL_COST
        costs: list[tuple[float, UpstreamState]] = []
        depths = self._depths()
        for state in usable:
            cost = _cost(state, now, depths[state.is_remote])
            if cost < FULL_COST and cost <= best + EQUAL_COST_MARGIN:
                costs.append((cost, state))
                best = min(best, cost)
        if not costs:
            return Wait()
        equal = [
            state for cost, state in costs if cost <= best + EQUAL_COST_MARGIN
        ]
        return Dispatch(equal[int(self.random.random() * len(equal))].upstream)

    def _depths(self) -> tuple[int, int]:
        """Return the depths of local and of remote upstreams.

        The depth is the allowed number of requests beyond the slots.
        """
        remote_depth = self.service.depth
        return min(LOCAL_DEPTH, remote_depth), remote_depth

    def _update_ejections(self, now: float) -> frozenset[str]:
        """Eject slow upstreams and return the keys of all ejected ones.

        If more than the allowed share is ejected, slowness is ignored and only
        the upstreams with the most failures stay ejected. Draining ones get
        no requests and do not count.
        """
        ejected_states: list[UpstreamState] = []
        for state in self.states.values():
            if now >= state.check_at and not state.is_ejected:
                state.check_slowness(now)
            if state.is_ejected and now >= state.draining_until:
                ejected_states.append(state)
        allowed = int(self.service.max_eject_share * len(self.states))
        if len(ejected_states) > allowed:
            failing = [
                state for state in ejected_states if state.ejected_for_failures
            ]
            failing.sort(key=lambda state: state.breaker.failures, reverse=True)
            ejected_states = failing[:allowed]
        return frozenset(state.key for state in ejected_states)


def _cost(state: UpstreamState, now: float, depth: int) -> float:
    """Return the cost of an upstream in service times, infinite if full.

    This runs for each upstream at each request, so work for signals that are
    usually unset is skipped.
    """
    if now < state.backoff_until:
        return FULL_COST
    load = float(len(state.requests))
    if state.external_load.estimate > 0 or state.rejection_load:
        load = state.load(now)
    slots = state.upstream.slots
    capacity: float = slots + depth
    if now - state.slow_start_at < SLOW_START_SECONDS:
        slow_start_share = state.slow_start_share(now)
        capacity = max(capacity * slow_start_share, 1)
        load = load / max(slow_start_share, 0.1)
    if load >= capacity:
        return FULL_COST
    beyond = load + 1 - slots
    wait = beyond / slots if beyond > 0 else 0
    if state.slow_probability:
        wait += SLOW_COST * state.slow_probability
    return wait + BUSY_COST * load / slots + REMOTE_COST * state.is_remote
