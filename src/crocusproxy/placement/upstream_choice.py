"""Choice of the upstream for a request."""

from collections.abc import Mapping
from math import inf
from random import Random

from .concurrency import ServiceConcurrency
from .requests import PlacementRequest, QueuedRequest
from .upstream_state import UpstreamState

#: Costs that differ by less than this share of the service time are equal.
EQUAL_COST_SHARE = 0.05


class UpstreamChoice:
    """Chooses among the upstreams of one service.

    ``released_at`` is when the last request ended, in monotonic seconds;
    ``service_time`` is that of the latest request, in seconds.
    """

    def __init__(
        self,
        upstreams: Mapping[str, UpstreamState],
        concurrency: ServiceConcurrency,
        random: Random,
    ) -> None:
        self.upstreams = upstreams
        self.concurrency = concurrency
        self.random = random
        self.released_at = -inf
        self.service_time = inf

    def has_upstream(self, request: PlacementRequest) -> bool:
        """Return whether an upstream that was not tried may be used."""
        return any(
            state.is_usable and state.key not in request.excluded
            for state in self.upstreams.values()
        )

    def candidates(self, now: float) -> list[UpstreamState]:
        """Return the upstreams with a free slot that are worth sending to.

        A request that starts on a slow upstream holds its slot several times
        as long, even after the upstream is fast again. Slow upstreams are
        therefore used only if all are slow, or now and then if they are cold.
        """
        with_room = [
            state
            for state in self.upstreams.values()
            if self._has_room(state, now)
            and state.is_usable
            and state.may_start(now)
        ]
        fast = [
            state
            for state in with_room
            if not state.is_slow(now) or state.terms.warm_up.is_due(now)
        ]
        if fast or not with_room:
            return fast
        is_any_fast = any(
            state.is_usable and state.may_start(now) and not state.is_slow(now)
            for state in self.upstreams.values()
        )
        return [] if is_any_fast else with_room

    def choose(
        self,
        queued_request: QueuedRequest,
        candidates: list[UpstreamState],
        now: float,
    ) -> UpstreamState | None:
        """Return the candidate with the lowest cost, or None to wait."""
        service_time = queued_request.request.service_time
        margin = EQUAL_COST_SHARE * service_time
        lowest = inf
        costs: list[tuple[float, UpstreamState]] = []
        for state in candidates:
            if state.key in queued_request.request.excluded:
                continue
            if not queued_request.accepts(state, now):
                continue
            cost = state.cost(service_time, now)
            if cost <= lowest + margin:
                costs.append((cost, state))
                lowest = min(lowest, cost)
        equal = [state for cost, state in costs if cost <= lowest + margin]
        return self.random.choice(equal) if equal else None

    def with_room(
        self, candidates: list[UpstreamState], now: float
    ) -> list[UpstreamState]:
        """Return the candidates that can take one more request."""
        return [
            state
            for state in candidates
            if self._has_room(state, now) and state.may_start(now)
        ]

    def _has_room(self, state: UpstreamState, now: float) -> bool:
        """Return whether a slot is free and its use speeds up the service.

        If no request has ended for a service time, a wait for one to end would
        take longer than the slowdown of a full upstream.
        """
        if not state.has_slot:
            return False
        if now - self.released_at > self.service_time:
            return True
        is_trial = now < self.concurrency.trial_ends_at
        return state.is_below_limit(is_trial=is_trial)
