"""Choice of the upstream for a request."""

from collections.abc import Iterable, Iterator
from math import inf
from random import Random

from .concurrency import LoadEffect, ServiceConcurrency
from .requests import PlacementRequest, QueuedRequest
from .upstream_index import (
    GroupCosts,
    UpstreamGroup,
    UpstreamIndex,
    group_costs,
)
from .upstream_state import UpstreamState

#: Costs that differ by less than this share of the service time are equal.
EQUAL_COST_SHARE = 0.05
#: Draws among the upstreams that may have the lowest cost, before all of these
#: are examined. Each draw that fails corrects an outdated entry of the index,
#: unless it was an upstream that the request has already tried.
MAX_DRAWS = 8


class UpstreamChoice:
    """Chooses among the upstreams of one service.

    ``released_at`` is when the last request ended, in monotonic seconds;
    ``service_time`` is that of the latest request, in seconds.
    """

    def __init__(
        self,
        index: UpstreamIndex,
        concurrency: ServiceConcurrency,
        random: Random,
    ) -> None:
        self.index = index
        self.concurrency = concurrency
        self.random = random
        self.released_at = -inf
        self.service_time = inf

    def has_upstream(self, request: PlacementRequest, now: float) -> bool:
        """Return whether an upstream that was not tried may be used."""
        self.index.refresh(now)
        return any(
            state.is_usable and state.key not in request.excluded
            for state in self.index.usable
        )

    def candidates(self, now: float) -> list[UpstreamState]:
        """Return the upstreams with a free slot that are worth sending to.

        A request that starts on a slow upstream holds its slot several times
        as long, even after the upstream is fast again. Slow upstreams are
        therefore used only if all are slow, or now and then if they are cold.
        This examines all upstreams; a ``Selection`` does so only if all are
        slow.
        """
        with_room = [
            state
            for state in self.index.upstreams.values()
            if self.may_use(state, now)
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
            for state in self.index.upstreams.values()
        )
        return [] if is_any_fast else with_room

    def may_use(self, state: UpstreamState, now: float) -> bool:
        """Return whether an upstream can take one more request."""
        return (
            self._has_room(state, now)
            and state.is_usable
            and state.may_start(now)
        )

    def groups_with_room(self, now: float) -> list[UpstreamGroup]:
        """Return the groups of the index whose upstreams have room."""
        groups: list[UpstreamGroup] = []
        for group in self.index.groups.values():
            key = group.key
            limit = self._limit(key.effect, key.slots, key.trial_offset, now)
            if key.in_flight < limit:
                groups.append(group)
        return groups

    def _has_room(self, state: UpstreamState, now: float) -> bool:
        """Return whether a slot is free and its use speeds up the service."""
        return state.in_flight < self._limit(
            state.load_effect, state.entry.slots, state.trial_offset, now
        )

    def _limit(
        self, effect: LoadEffect, slots: int, trial_offset: int, now: float
    ) -> int:
        """Return the number of requests in flight from which there is no room.

        It is the number of slots, or a lower one at which one more request
        would not speed up the service.
        """
        if self._is_waiting_too_long(now):
            return slots
        limit = effect.limit
        if now < self.concurrency.trial_ends_at:
            limit += trial_offset
        return min(limit, slots)

    def _is_waiting_too_long(self, now: float) -> bool:
        """Return whether no request has ended for a service time.

        A wait for one to end would then take longer than the slowdown of a
        full upstream.
        """
        return now - self.released_at > self.service_time


class Selection:
    """Choices at one moment, between which only requests start.

    Whether slow upstreams are used is decided once, for the state at the
    beginning. ``slow`` then holds them, None if fast ones are used.
    """

    def __init__(
        self, choice: UpstreamChoice, now: float, *, for_hedge: bool = False
    ) -> None:
        self.choice = choice
        self.index = choice.index
        self.now = now
        self.index.refresh(now)
        # Cold upstreams that are due get requests even if they are slow, but
        # no hedges.
        self.due = {
            state
            for state in self.index.cold
            if not for_hedge and state.terms.warm_up.is_due(now)
        }
        self.slow: list[UpstreamState] | None = None
        self.has_decided_slow = False

    def has_candidates(self) -> bool:
        """Return whether an upstream can take a request."""
        if not self.has_decided_slow:
            self._decide_slow()
        if self.slow is not None:
            return any(
                self.choice.may_use(state, self.now) for state in self.slow
            )
        self.index.refresh(self.now)
        return self._has_fast_with_room()

    def choose(self, queued_request: QueuedRequest) -> UpstreamState | None:
        """Return the upstream with the lowest cost, or None to wait.

        It is drawn among those of equal cost.
        """
        if self.slow is None:
            state = self.choose_fast(queued_request)
            if state is not None or self.has_decided_slow:
                self.has_decided_slow = True
                return state
            self._decide_slow()
        if self.slow is None:
            return None
        costs = [
            (cost, state)
            for state in self.slow
            if (cost := self._cost(state, queued_request)) is not None
        ]
        return self._draw_lowest(costs, queued_request)

    def choose_fast(
        self, queued_request: QueuedRequest
    ) -> UpstreamState | None:
        """Return the fast or due cold upstream with the lowest cost.

        None if there is none.
        """
        self.index.refresh(self.now)
        service_time = queued_request.service_time
        bounds = [
            group_costs(group, service_time)
            for group in self.choice.groups_with_room(self.now)
        ]
        # The cost of cold upstreams is not indexed.
        known = self._costs(self.index.cold, queued_request)
        while True:
            lowest = min((cost for cost, _ in known), default=inf)
            lowest = min(lowest, *map(GroupCosts.lowest, bounds), inf)
            if lowest == inf:
                return None
            limit = lowest + EQUAL_COST_SHARE * service_time
            buckets = [[state for cost, state in known if cost <= limit]]
            for one in bounds:
                buckets.extend(one.examine_up_to(limit))
            drawn = self._draw(buckets, limit, queued_request)
            if drawn is not None:
                return drawn
            for bucket in buckets[1:]:
                known.extend(self._costs(bucket, queued_request))

    def _draw(
        self,
        buckets: list[list[UpstreamState]],
        limit: float,
        queued_request: QueuedRequest,
    ) -> UpstreamState | None:
        """Draw an upstream and check its cost; return None if none fits."""
        total = sum(map(len, buckets))
        for _ in range(min(MAX_DRAWS, total)):
            state = _item(buckets, self.choice.random.randrange(total))
            cost = self._fast_cost(state, queued_request)
            if cost is not None and cost <= limit:
                return state
            self.index.note_change(state)
        return None

    def _costs(
        self, states: Iterable[UpstreamState], queued_request: QueuedRequest
    ) -> list[tuple[float, UpstreamState]]:
        """Return the costs of the upstreams that can be used."""
        return [
            (cost, state)
            for state in states
            if (cost := self._fast_cost(state, queued_request)) is not None
        ]

    def _draw_lowest(
        self,
        costs: list[tuple[float, UpstreamState]],
        queued_request: QueuedRequest,
    ) -> UpstreamState | None:
        margin = EQUAL_COST_SHARE * queued_request.service_time
        limit = min((cost for cost, _ in costs), default=inf) + margin
        equal = [state for cost, state in costs if cost <= limit]
        return self.choice.random.choice(equal) if equal else None

    def _decide_slow(self) -> None:
        """Use slow upstreams if no fast one will take a request soon."""
        self.has_decided_slow = True
        self.index.refresh(self.now)
        if self._has_fast() or self._has_fast_with_room():
            return
        self.slow = [
            state
            for state in self.index.usable
            if self.choice.may_use(state, self.now)
        ]

    def _has_fast(self) -> bool:
        """Return whether an upstream is fast, even if it has no room."""
        now = self.now
        return any(
            state.is_usable and state.may_start(now) and not state.is_slow(now)
            for state in self._examine(self.index.groups.values())
        )

    def _has_fast_with_room(self) -> bool:
        groups = self.choice.groups_with_room(self.now)
        return any(
            self.choice.may_use(state, self.now) and self._is_fast(state)
            for state in self._examine(groups)
        )

    def _examine(
        self, groups: Iterable[UpstreamGroup]
    ) -> Iterator[UpstreamState]:
        """Yield the upstreams of groups, then the cold ones.

        The caller stops at the first that fits. Each one of a group that it
        passes over has an outdated entry and is marked as changed, so that the
        next refresh indexes it again.
        """
        for group in groups:
            for states in group.buckets.values():
                for state in states:
                    yield state
                    self.index.note_change(state)
        yield from self.index.cold

    def _is_fast(self, state: UpstreamState) -> bool:
        return state in self.due or not state.is_slow(self.now)

    def _fast_cost(
        self, state: UpstreamState, queued_request: QueuedRequest
    ) -> float | None:
        if not self._is_fast(state):
            return None
        return self._cost(state, queued_request)

    def _cost(
        self, state: UpstreamState, queued_request: QueuedRequest
    ) -> float | None:
        """Return the cost of an upstream, None if it can't be used."""
        request = queued_request.request
        if state.key in request.excluded:
            return None
        if not self.choice.may_use(state, self.now):
            return None
        if not queued_request.accepts(state, self.now):
            return None
        return state.cost(request.service_time, self.now)


def _item(buckets: list[list[UpstreamState]], number: int) -> UpstreamState:
    """Return an item of the concatenated buckets."""
    for bucket in buckets:
        if number < len(bucket):
            return bucket[number]
        number -= len(bucket)
    raise IndexError(number)
