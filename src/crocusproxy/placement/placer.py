"""Placement of the requests of one service on its upstreams.

Requests that find no free slot are queued by priority and deadline. A request
that cannot be served in time is refused while the caller can still use the
refusal. Designed for servers with few slots whose speed changes several times
a second, at loads near or beyond their capacity.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from math import inf
from random import Random

from ..clock import Clock
from ..routes.model import RegisteredUpstream
from .account_usage import AccountUsage
from .admission import Admission
from .concurrency import ServiceConcurrency
from .fair_queue import FairQueue
from .requests import (
    Decision,
    Placed,
    PlacementRequest,
    QueuedRequest,
    Refused,
    Standing,
)
from .served_shares import ServedShares
from .stated_capacity import (
    ReturnSchedule,
    StatedCapacity,
    stated_capacity,
)
from .upstream_state import UpstreamState
from .upstream_terms import TermsTable
from .warm_up import HANDOVER_SECONDS

#: Queued requests per slot, apart from those that can wait for longer.
QUEUED_PER_SLOT = 2
#: Queued requests per slot, including those.
MAX_QUEUED_PER_SLOT = 10
MIN_QUEUE_LENGTH = 8
#: Number of queued requests that are considered for the free slots.
MAX_QUEUE_SCAN = 16
#: Queued requests per slot from which other domain homes are asked for a slot.
MAX_QUEUED_SHARE = 0.1
#: Share of free slots above which requests of other domain homes are accepted.
MIN_SPARE_SHARE = 0.1
#: Time for which a count of the slots is used.
SLOT_COUNT_SECONDS = 0.05
#: Time between checks of a long queue against the upstreams' rate limits.
LIMIT_CHECK_SECONDS = 0.01
#: Costs that differ by less than this share of the service time are equal.
EQUAL_COST_SHARE = 0.05
#: Returns whether this instance dispatches to a failure domain's upstreams.
Ownership = Callable[[str], bool]

_NO_UPSTREAM = Refused('no_upstream', timedelta(milliseconds=200))


class ServicePlacer:
    """The upstreams of one service and the requests that wait for them.

    ``released_at`` is when the last request ended, in monotonic seconds;
    ``service_time`` is that of the latest request, in seconds.
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
        self.usage = AccountUsage()
        self.served = ServedShares()
        self.queue = FairQueue(self.usage, self.served)
        self.admission = Admission(self.queue, random)
        self.slot_count = 0
        self.slots_counted_at = -inf
        self.limits_checked_at = -inf
        self.concurrency = ServiceConcurrency(random)
        self.released_at = -inf
        self.service_time = inf
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
                self.concurrency.effect(entry.slots),
                terms=self.terms_table.terms(entry),
                now=self.now,
            )
            state.terms.warm_up.hand_over(self.took_over_at + HANDOVER_SECONDS)
            self.upstreams[entry.key] = state
        state.load_effect = self.concurrency.effect(entry.slots)
        state.is_owned = self.owns(entry.failure_domain)
        state.is_exclusive = self.is_exclusive
        state.is_evacuated = entry.failure_domain in self.evacuated
        warm_up = entry.warm_up.total_seconds()
        if state.terms.warm_up.rate:
            # The limit replaces the assumption that the upstream is slow.
            warm_up = 0
        state.warm_up_until = self.now() + warm_up if warm_up else -inf
        self.slots_counted_at = -inf
        self.process_queue()

    def remove(self, key: str) -> None:
        """Remove an upstream; its requests in flight continue."""
        state = self.upstreams.pop(key, None)
        if state is not None:
            state.is_removed = True
            self.slots_counted_at = -inf
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
        self.slots_counted_at = -inf
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
        self.slots_counted_at = -inf
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
        self.slots_counted_at = -inf
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
            min(state.load_effect.limit, state.entry.slots) - state.in_flight
            for state in self._candidates(self.now())
            if not state.is_limited
        )
        return free > MIN_SPARE_SHARE * self._slots()

    def place(
        self, request: PlacementRequest, on_decision: Callable[[Decision], None]
    ) -> QueuedRequest:
        """Decide now, or queue the request until it has a slot or times out."""
        now = self.now()
        self.service_time = request.service_time
        self.usage.count(request.account, request.service_time, now)
        queued_request = QueuedRequest(request, now, on_decision)
        if not self._has_upstream(request):
            on_decision(_NO_UPSTREAM)
            return queued_request
        if not self.queue and self._place_now(queued_request, now):
            return queued_request
        self._enqueue(queued_request, now)
        return queued_request

    def place_hedge(self, request: PlacementRequest) -> Placed | None:
        """Place a hedge on an upstream that is not slow, without queueing."""
        now = self.now()
        fast = [
            state for state in self._candidates(now) if not state.is_slow(now)
        ]
        hedge = QueuedRequest(request, now, _ignore_decision)
        state = self._choose(hedge, fast, now)
        if state is None:
            return None
        return replace(
            self._start(state, request.service_time, now), is_hedge=True
        )

    def withdraw(self, queued_request: QueuedRequest) -> None:
        """Remove a request from the queue without a decision."""
        if queued_request in self.queue:
            self.queue.remove(queued_request)

    def release(self, placed: Placed, *, answered: bool = False) -> None:
        """Free the slot of an ended request."""
        now = self.now()
        observed = placed.upstream.observed
        observed.end(placed.ticket, now, answered=answered)
        # Only the faster hedges are answered, so they are left out.
        is_sample = answered and not placed.is_hedge
        self._end(placed, now, is_sample=is_sample)

    def supersede(self, placed: Placed) -> None:
        """Free the slot of a request that another attempt has answered."""
        now = self.now()
        observed = placed.upstream.observed
        if placed.is_hedge:
            # Its age is short and says little about its upstream.
            observed.discard(placed.ticket)
        else:
            observed.supersede(placed.ticket, now)
        # The first attempt has taken longer than most, so its age is a sample.
        self._end(placed, now, is_sample=not placed.is_hedge)

    def process_queue(self) -> None:
        """Place queued requests, then refuse excess ones.

        Requests that cannot start in time are refused, and the last ones in
        the order if the queue is longer than its limit.
        """
        now = self.now()
        self._apply_time(now)
        self._place_queued(now)
        self.admission.watch_backlog(now)
        if self.queue:
            self.concurrency.renew_trials(self.upstreams.values(), now)
            self._refuse_excess(now)

    def _enqueue(self, queued_request: QueuedRequest, now: float) -> None:
        """Add a request to the queue; its decision may follow at once."""
        had_long_queue = len(self.queue) > MAX_QUEUE_SCAN
        self.queue.push(queued_request, now)
        if queued_request.standing is Standing.IN_TIME:
            rate = self._rate(queued_request, now)
            if self.admission.is_patient(queued_request, rate, now):
                self.queue.set_patient(queued_request)
        if now >= queued_request.latest_start:
            self._refuse(queued_request, now)
        elif queued_request.standing is Standing.LATE:
            self._refuse_if_hopeless(queued_request, now)
        if had_long_queue:
            # Those before it have not found a slot either.
            self._refuse_excess(now)
        else:
            self.process_queue()

    def _apply_time(self, now: float) -> None:
        self.queue.pace = self.concurrency.pace()
        changes = self.queue.advance(now)
        for expired in changes.expired:
            self._refuse(expired, now)
        for late in changes.late:
            self._refuse_if_hopeless(late, now)

    def _refuse_if_hopeless(
        self, queued_request: QueuedRequest, now: float
    ) -> None:
        if self.admission.is_hopeless(queued_request, now):
            self._refuse(queued_request, now)

    def _refuse_excess(self, now: float) -> None:
        """Refuse what the upstreams' limits or the queue have no room for."""
        capacity = stated_capacity(self.upstreams.values(), now)
        if capacity.is_limited(now):
            self._refuse_limited(capacity, now)
        slots = self._slots()
        limit = max(QUEUED_PER_SLOT * slots, MIN_QUEUE_LENGTH)
        longest = max(MAX_QUEUED_PER_SLOT * slots, MIN_QUEUE_LENGTH)
        while len(self.queue) > min(
            max(limit, self.queue.patient_count), longest
        ):
            self._refuse(self.queue.last(), now)

    def _refuse_limited(self, capacity: StatedCapacity, now: float) -> None:
        """Refuse requests that the limits permit too late."""
        is_checked = now - self.limits_checked_at < LIMIT_CHECK_SECONDS
        if is_checked and len(self.queue) > MAX_QUEUE_SCAN:
            return
        self.limits_checked_at = now
        position = 0
        for queued_request in tuple(self.queue):
            if capacity.start_of(position) >= queued_request.latest_start:
                self._refuse(queued_request, now)
            else:
                position += 1

    def _rate(self, queued_request: QueuedRequest, now: float) -> float:
        """Return the requests per second that the upstreams serve."""
        service_time = queued_request.service_time
        return self.admission.rate(self._slots(), service_time, now)

    def _end(self, placed: Placed, now: float, *, is_sample: bool) -> None:
        self.concurrency.end(placed.sample, now, answered=is_sample)
        self.released_at = now
        self.admission.ended.count(now)
        if not self.queue:
            return
        if placed.upstream.terms.is_leaving:
            self._refuse_unplaceable()
        self.process_queue()

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
        self._decide_placed(queued_request, state, now)
        return True

    def _place_queued(self, now: float) -> None:
        """Place queued requests while there are free slots.

        At most ``MAX_QUEUE_SCAN`` requests are passed over, so that the cost of
        a call does not grow with the queue.
        """
        candidates = self._candidates(now) if self.queue else []
        passed_over: list[QueuedRequest] = []
        while candidates and len(passed_over) < MAX_QUEUE_SCAN:
            queued_request = self.queue.take(now)
            if queued_request is None:
                break
            state = self._choose(queued_request, candidates, now)
            if state is None:
                passed_over.append(queued_request)
            else:
                self._decide_placed(queued_request, state, now)
                candidates = self._with_room(candidates, now)
        for queued_request in reversed(passed_over):
            self.queue.give_back(queued_request, now)

    def _with_room(
        self, candidates: list[UpstreamState], now: float
    ) -> list[UpstreamState]:
        return [
            state
            for state in candidates
            if self._has_room(state, now) and state.may_start(now)
        ]

    def _decide_placed(
        self, queued_request: QueuedRequest, state: UpstreamState, now: float
    ) -> None:
        request = queued_request.request
        self.served.count(request.priority, now, is_placed=True)
        if queued_request.standing is Standing.LATE:
            self.queue.count_late_start(request.priority, now)
        queued_request.on_decision(
            self._start(state, request.service_time, now)
        )

    def _refuse_unplaceable(self) -> None:
        """Refuse the queued requests that no upstream is left for."""
        for queued_request in tuple(self.queue):
            if not self._has_upstream(queued_request.request):
                self.queue.remove(queued_request)
                queued_request.on_decision(_NO_UPSTREAM)

    def _refuse(self, queued_request: QueuedRequest, now: float) -> None:
        self.queue.remove(queued_request)
        priority = queued_request.request.priority
        self.served.count(priority, now, is_placed=False)
        capacity = stated_capacity(self.upstreams.values(), now)
        if capacity.is_limited(now):
            code = 'upstreams_limited'
            returns_at = self.return_schedule.next_return(
                capacity.start_of(len(self.queue)), capacity.rate
            )
            delay = returns_at - now
        else:
            code = 'overloaded'
            rate = self._rate(queued_request, now)
            delay = self.admission.return_delay(rate, now)
        queued_request.on_decision(Refused(code, timedelta(seconds=delay)))

    def _slots(self) -> int:
        """Return the slots of the upstreams that do not limit their rate."""
        now = self.now()
        if now - self.slots_counted_at >= SLOT_COUNT_SECONDS:
            self.slots_counted_at = now
            self.slot_count = sum(
                state.entry.slots
                for state in self.upstreams.values()
                if state.is_usable and not state.is_limited
            )
        return self.slot_count

    def _start(
        self, state: UpstreamState, service_time: float, now: float
    ) -> Placed:
        # Extra time that all upstreams need is not slowness of this one.
        usual = service_time * max(state.expected_slowdown(now), 1)
        sample = self.concurrency.start(
            state.load_effect, state.in_flight + 1, usual, now
        )
        expected = self.concurrency.expected_seconds(sample)
        state.terms.count_request(now)
        return Placed(state, state.observed.start(now, expected), sample)

    def _candidates(self, now: float) -> list[UpstreamState]:
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


def _ignore_decision(decision: Decision) -> None:
    """Drop a decision; a hedge is never queued."""


def _owns_all(failure_domain: str) -> bool:
    """Dispatch to all upstreams, as without domain homes."""
    return True


def _is_same_incarnation(
    one: RegisteredUpstream, other: RegisteredUpstream
) -> bool:
    return (one.started_at, one.address) == (other.started_at, other.address)
