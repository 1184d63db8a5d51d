"""Placement of the requests of one service on its upstreams.

Requests that find no free slot are queued by priority and deadline. A request
that cannot be served in time is refused while the caller can still use the
refusal. Designed for servers with few slots whose speed changes several times
a second, at loads near or beyond their capacity.
"""

from collections.abc import Callable
from datetime import timedelta
from math import inf
from random import Random

from ..clock import Clock
from ..routes.model import RegisteredUpstream
from .requests import (
    Decision,
    Placed,
    PlacementRequest,
    QueuedRequest,
    Refused,
)
from .stated_capacity import (
    ReturnSchedule,
    StatedCapacity,
    stated_capacity,
)
from .upstream_state import UpstreamState
from .upstream_terms import TermsTable
from .warm_up import HANDOVER_SECONDS

#: Queued requests per slot; more could not be served in time.
QUEUED_PER_SLOT = 2
MIN_QUEUE_LENGTH = 8
#: Step of the estimated median ratio of actual to expected duration at each
#: response, relative to the estimate.
RATIO_STEP_SHARE = 0.01
#: Number of queued requests that are considered for the free slots.
MAX_QUEUE_SCAN = 16
#: Queued requests per slot from which other domain homes are asked for a slot.
MAX_QUEUED_SHARE = 0.1
#: Share of free slots above which requests of other domain homes are accepted.
MIN_SPARE_SHARE = 0.1
#: Costs that differ by less than this share of the service time are equal.
EQUAL_COST_SHARE = 0.05
#: Returns whether this instance dispatches to a failure domain's upstreams.
Ownership = Callable[[str], bool]

_NO_UPSTREAM = Refused('no_upstream', timedelta(milliseconds=200))
_OVERLOADED = Refused('overloaded', timedelta(milliseconds=100))


class ServicePlacer:
    """The upstreams of one service and the requests that wait for them.

    ``median_ratio`` is the estimated median of the ratio of actual to expected
    duration over all upstreams.
    """

    def __init__(
        self,
        service: str,
        failure_domain: str,
        clock: Clock,
        random: Random,
        terms_table: TermsTable | None = None,
    ) -> None:
        self.service = service
        self.failure_domain = failure_domain
        self.clock = clock
        self.random = random
        self.terms_table = terms_table or TermsTable()
        self.return_schedule = ReturnSchedule(random)
        self.upstreams: dict[str, UpstreamState] = {}
        self.queue: list[QueuedRequest] = []
        self.median_ratio = 1.0
        self.owns: Ownership = _owns_all
        self.is_exclusive = True
        self.evacuated: frozenset[str] = frozenset()
        self.took_over_at = -inf

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def put(self, entry: RegisteredUpstream) -> None:
        """Add an upstream, or replace its registered entry."""
        state = self.upstreams.get(entry.key)
        if state is not None and _is_same_incarnation(state.entry, entry):
            state.entry = entry
        else:
            if state is not None:
                state.is_removed = True
            is_remote = entry.failure_domain != self.failure_domain
            state = UpstreamState(
                entry,
                is_remote,
                terms=self.terms_table.terms(entry),
                now=self.now,
            )
            state.terms.warm_up.hand_over(self.took_over_at + HANDOVER_SECONDS)
            self.upstreams[entry.key] = state
        state.is_owned = self.owns(entry.failure_domain)
        state.is_exclusive = self.is_exclusive
        state.is_evacuated = entry.failure_domain in self.evacuated
        warm_up = entry.warm_up.total_seconds()
        if state.terms.warm_up.rate:
            # The limit replaces the assumption that the upstream is slow.
            warm_up = 0
        state.warm_up_until = self.now() + warm_up if warm_up else -inf
        self.process_queue()

    def remove(self, key: str) -> None:
        """Remove an upstream; its requests in flight continue."""
        state = self.upstreams.pop(key, None)
        if state is not None:
            state.is_removed = True
            self._refuse_unplaceable()

    def set_ownership(self, owns: Ownership) -> None:
        """Use only the upstreams of the failure domains that ``owns`` names.

        Requests in flight at other upstreams continue.
        """
        self.owns = owns
        for state in self.upstreams.values():
            was_owned = state.is_owned
            state.is_owned = owns(state.entry.failure_domain)
            if state.is_owned and not was_owned:
                self._take_over(state)
        self._refuse_unplaceable()
        self.process_queue()

    def set_exclusive(self, *, is_exclusive: bool) -> None:
        """Set whether no other instance dispatches to the owned upstreams.

        Otherwise rate-limited and cold upstreams get no requests from this
        instance.
        """
        is_taking_over = is_exclusive and not self.is_exclusive
        self.is_exclusive = is_exclusive
        for state in self.upstreams.values():
            state.is_exclusive = is_exclusive
            if is_taking_over:
                self._take_over(state)
        self._refuse_unplaceable()
        self.process_queue()

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Use no upstreams of these failure domains.

        Requests in flight there continue. The failures of upstreams that
        return to service are forgotten: they may have been restarted.
        """
        self.evacuated = failure_domains
        for state in self.upstreams.values():
            is_evacuated = state.entry.failure_domain in failure_domains
            if state.is_evacuated and not is_evacuated:
                state.forget_failures()
                state.terms.warm_up.assume(self.now())
            state.is_evacuated = is_evacuated
        self._refuse_unplaceable()
        self.process_queue()

    def refuse_all(self) -> None:
        """Refuse the queued requests, as another instance dispatches now."""
        for queued_request in tuple(self.queue):
            self.queue.remove(queued_request)
            queued_request.on_decision(_NO_UPSTREAM)

    def end_backoffs(self) -> None:
        """Forget the failures of the upstreams in a row."""
        for state in self.upstreams.values():
            state.end_backoff()
        self.process_queue()

    def limited_count(self) -> int:
        """Return the number of upstreams that state a rate limit."""
        return sum(
            state.rate_limit is not None for state in self.upstreams.values()
        )

    def cold_count(self) -> int:
        """Return the number of cold upstreams with a limited rate."""
        return sum(state.is_cold for state in self.upstreams.values())

    def is_short_of_slots(self) -> bool:
        """Return whether requests wait long for a slot, or there is none."""
        if not self.queue:
            # The usual case, for which the slots need not be counted.
            return not any(
                state.is_usable
                and (not state.is_cold or state.may_start(self.now()))
                for state in self.upstreams.values()
            )
        return len(self.queue) >= MAX_QUEUED_SHARE * self._slots()

    def has_spare_slots(self) -> bool:
        """Return whether requests of other instances may be placed here."""
        if self.queue:
            return False
        free = sum(
            state.entry.slots - state.in_flight
            for state in self._candidates(self.now())
            if not state.is_limited
        )
        return free > MIN_SPARE_SHARE * self._slots()

    def place(
        self, request: PlacementRequest, on_decision: Callable[[Decision], None]
    ) -> QueuedRequest:
        """Decide now, or queue the request until it has a slot or times out."""
        now = self.now()
        queued_request = QueuedRequest(request, now, on_decision)
        if not self._has_upstream(request):
            on_decision(_NO_UPSTREAM)
            return queued_request
        if not self.queue and self._place_now(queued_request, now):
            return queued_request
        self.queue.append(queued_request)
        self.process_queue()
        return queued_request

    def withdraw(self, queued_request: QueuedRequest) -> None:
        """Remove a request from the queue without a decision."""
        if queued_request in self.queue:
            self.queue.remove(queued_request)

    def release(self, placed: Placed, *, answered: bool = False) -> None:
        """Free the slot of an ended request."""
        now = self.now()
        ratio = placed.upstream.observed.end(
            placed.ticket, now, answered=answered
        )
        if answered:
            step = RATIO_STEP_SHARE if ratio > 1 else -RATIO_STEP_SHARE
            self.median_ratio *= 1 + step
        if not self.queue:
            return
        if placed.upstream.terms.is_leaving:
            self._refuse_unplaceable()
        self.process_queue()

    def process_queue(self) -> None:
        """Place queued requests, then refuse excess ones.

        Requests that cannot start in time are refused, and the last ones in
        rank if the queue is longer than its limit.
        """
        now = self.now()
        self.queue.sort(key=lambda queued_request: queued_request.rank(now))
        self._place_queued(now)
        if not self.queue:
            return
        capacity = stated_capacity(self.upstreams.values(), now)
        position = 0
        for queued_request in tuple(self.queue):
            request = queued_request.request
            start = capacity.start_of(position)
            if start + request.service_time >= request.deadline:
                self._refuse(queued_request, capacity, now)
            else:
                position += 1
        while len(self.queue) > self._queue_limit():
            self._refuse(self.queue[-1], capacity, now)

    def _take_over(self, state: UpstreamState) -> None:
        """Begin to dispatch to an upstream of another instance."""
        self.took_over_at = self.now()
        state.terms.warm_up.hand_over(self.took_over_at + HANDOVER_SECONDS)

    def _has_upstream(self, request: PlacementRequest) -> bool:
        return any(
            state.is_usable and state.key not in request.excluded
            for state in self.upstreams.values()
        )

    def _place_now(self, queued_request: QueuedRequest, now: float) -> bool:
        """Place a request without queueing, the usual case."""
        state = self._choose(queued_request, self._candidates(now), now)
        if state is None:
            return False
        queued_request.on_decision(
            self._start(state, queued_request.request.service_time, now)
        )
        return True

    def _place_queued(self, now: float) -> None:
        """Place queued requests while there are free slots.

        Only the first ``MAX_QUEUE_SCAN`` requests are considered, so that the
        cost of a call does not grow with the queue.
        """
        candidates = self._candidates(now)
        for queued_request in tuple(self.queue[:MAX_QUEUE_SCAN]):
            if not candidates:
                break
            state = self._choose(queued_request, candidates, now)
            if state is not None:
                self.queue.remove(queued_request)
                placed = self._start(
                    state, queued_request.request.service_time, now
                )
                candidates = [
                    candidate
                    for candidate in candidates
                    if candidate.has_slot and candidate.may_start(now)
                ]
                queued_request.on_decision(placed)

    def _refuse_unplaceable(self) -> None:
        """Refuse the queued requests that no upstream is left for."""
        for queued_request in tuple(self.queue):
            if not self._has_upstream(queued_request.request):
                self.queue.remove(queued_request)
                queued_request.on_decision(_NO_UPSTREAM)

    def _refuse(
        self,
        queued_request: QueuedRequest,
        capacity: StatedCapacity,
        now: float,
    ) -> None:
        self.queue.remove(queued_request)
        if not capacity.is_limited(now):
            queued_request.on_decision(_OVERLOADED)
            return
        returns_at = self.return_schedule.next_return(
            capacity.start_of(len(self.queue)), capacity.rate
        )
        queued_request.on_decision(
            Refused('upstreams_limited', timedelta(seconds=returns_at - now))
        )

    def _slots(self) -> int:
        """Return the slots of the upstreams that do not limit their rate."""
        return sum(
            state.entry.slots
            for state in self.upstreams.values()
            if state.is_usable and not state.is_limited
        )

    def _queue_limit(self) -> int:
        return max(QUEUED_PER_SLOT * self._slots(), MIN_QUEUE_LENGTH)

    def _start(
        self, state: UpstreamState, service_time: float, now: float
    ) -> Placed:
        # Extra time that all upstreams need is not slowness of this one.
        expected = self.median_ratio * service_time
        expected *= max(state.expected_slowdown(now), 1)
        state.terms.count_request(now)
        return Placed(state, state.observed.start(now, expected))

    def _candidates(self, now: float) -> list[UpstreamState]:
        """Return the upstreams with a free slot that are worth sending to.

        A request that starts on a slow upstream holds its slot several times
        as long, even after the upstream is fast again. Slow upstreams are
        therefore used only if all are slow, or now and then if they are cold.
        """
        usable = [
            state
            for state in self.upstreams.values()
            if state.is_usable and state.may_start(now)
        ]
        fast = [
            state
            for state in usable
            if not state.is_slow(now) or state.terms.warm_up.is_due(now)
        ]
        return [state for state in fast or usable if state.has_slot]

    def _choose(
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


def _owns_all(failure_domain: str) -> bool:
    """Dispatch to all upstreams, as without domain homes."""
    return True


def _is_same_incarnation(
    one: RegisteredUpstream, other: RegisteredUpstream
) -> bool:
    return (one.started_at, one.address) == (other.started_at, other.address)
