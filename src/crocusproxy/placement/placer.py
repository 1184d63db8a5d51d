"""Placement of the requests of one service on its upstreams.

Requests that find no free slot are queued by priority and deadline. A request
that cannot be served in time is refused while the caller can still use the
refusal. Designed for servers with few slots whose speed changes several times
a second, at loads near or beyond their capacity.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..clock import Clock
from ..routes.model import RegisteredUpstream
from .account_usage import AccountUsage
from .admission import Admission
from .concurrency import ServiceConcurrency
from .fair_queue import FairQueue
from .refusals import NO_UPSTREAM, Refusals
from .requests import (
    Decision,
    Placed,
    PlacementRequest,
    QueuedRequest,
    Refused,
    Standing,
)
from .served_shares import ServedShares
from .slot_counter import SlotCounter
from .upstream_choice import Selection, UpstreamChoice
from .upstream_set import Ownership, UpstreamSet
from .upstream_state import UpstreamState
from .upstream_terms import TermsTable

#: Number of queued requests that are considered for the free slots.
MAX_QUEUE_SCAN = 16
#: Queued requests per slot from which other domain homes are asked for a slot.
MAX_QUEUED_SHARE = 0.1
#: Share of free slots above which requests of other domain homes are accepted.
MIN_SPARE_SHARE = 0.1


class ServicePlacer:
    """The upstreams of one service and the requests that wait for them."""

    def __init__(
        self,
        service: str,
        failure_domain: str,
        clock: Clock,
        random: Random,
        terms_table: TermsTable | None = None,
        paused_seconds: Callable[[], float] = float,
    ) -> None:
        self.paused_seconds = paused_seconds
        self.service = service
        self.failure_domain = failure_domain
        self.clock = clock
        self.random = random
        self.terms_table = terms_table or TermsTable()
        self.concurrency = ServiceConcurrency(random)
        self.upstream_set = UpstreamSet(
            failure_domain, clock, self.concurrency, self.terms_table
        )
        self.upstreams = self.upstream_set.states
        self.usage = AccountUsage()
        self.served = ServedShares()
        self.queue = FairQueue(self.usage, self.served)
        self.slots = SlotCounter(self.upstream_set.index)
        self.admission = Admission(self.queue, self.slots, random)
        self.choice = UpstreamChoice(
            self.upstream_set.index, self.concurrency, random
        )
        self.refusals = Refusals(
            self.queue,
            self.admission,
            self.choice,
            self.slots,
            random,
        )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def put(self, entry: RegisteredUpstream) -> None:
        """Add an upstream, or replace its registered entry."""
        self.upstream_set.put(entry)
        self.slots.invalidate()
        self.process_queue()

    def remove(self, key: str) -> None:
        """Remove an upstream; its requests in flight continue."""
        if key in self.upstreams:
            self.upstream_set.remove(key)
            self.slots.invalidate()
            self.refusals.refuse_unplaceable(self.now())

    def set_ownership(self, owns: Ownership) -> None:
        """Use only the upstreams of the failure domains that ``owns`` names.

        Requests in flight at other upstreams continue.
        """
        self.upstream_set.set_ownership(owns)
        self._apply_usability()

    def set_exclusive(self, *, is_exclusive: bool) -> None:
        """Set whether no other instance dispatches to the owned upstreams.

        Otherwise rate-limited and cold upstreams get no requests from this
        instance.
        """
        self.upstream_set.set_exclusive(is_exclusive=is_exclusive)
        self._apply_usability()

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Use no upstreams of these failure domains.

        Requests in flight there continue.
        """
        self.upstream_set.apply_evacuated(failure_domains)
        self._apply_usability()

    def refuse_all(self, refused: Refused = NO_UPSTREAM) -> None:
        """Refuse the queued requests; usually another instance dispatches."""
        self.refusals.refuse_all(refused)

    def end_backoffs(self) -> None:
        """Forget the failures of the upstreams in a row."""
        self.upstream_set.end_backoffs()
        self.process_queue()

    def limited_count(self) -> int:
        """Return the number of upstreams that state a rate limit."""
        return self.upstream_set.limited_count()

    def cold_count(self) -> int:
        """Return the number of cold upstreams with a limited rate."""
        return self.upstream_set.cold_count()

    def is_short_of_slots(self) -> bool:
        """Return whether requests wait long for a slot, or there is none."""
        if not self.queue:
            # The usual case, for which the slots need not be counted.
            now = self.now()
            index = self.upstream_set.index
            index.refresh(now)
            return not any(
                state.is_usable and (not state.is_cold or state.may_start(now))
                for state in index.usable
            )
        return len(self.queue) >= MAX_QUEUED_SHARE * self.slots.count(
            self.now()
        )

    def has_spare_slots(self) -> bool:
        """Return whether requests of other instances may be placed here."""
        if self.queue:
            return False
        free = sum(
            min(state.load_effect.limit, state.entry.slots) - state.in_flight
            for state in self.choice.candidates(self.now())
            if not state.is_limited
        )
        return free > MIN_SPARE_SHARE * self.slots.count(self.now())

    def place(
        self, request: PlacementRequest, on_decision: Callable[[Decision], None]
    ) -> QueuedRequest:
        """Decide now, or queue the request until it has a slot or times out."""
        now = self.now()
        self.choice.service_time = request.service_time
        self.usage.count(request.account, request.service_time, now)
        queued_request = QueuedRequest(request, now, on_decision)
        if not self.choice.has_upstream(request, now):
            on_decision(NO_UPSTREAM)
            return queued_request
        if not self.queue and self._place_now(queued_request, now):
            return queued_request
        self._enqueue(queued_request, now)
        return queued_request

    def place_hedge(self, request: PlacementRequest) -> Placed | None:
        """Place a hedge on an upstream that is not slow, without queueing."""
        now = self.now()
        selection = Selection(self.choice, now, for_hedge=True)
        hedge = QueuedRequest(request, now, _ignore_decision)
        state = selection.choose_fast(hedge)
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
        ended_at = placed.ended_at(now, self.paused_seconds)
        observed.end(placed.ticket, ended_at, answered=answered)
        self.upstream_set.index.note_change(placed.upstream)
        # Only the faster hedges are answered, so they are left out.
        is_sample = answered and not placed.is_hedge
        self._end(placed, now, ended_at, is_sample=is_sample)

    def supersede(self, placed: Placed) -> None:
        """Free the slot of a request that another attempt has answered."""
        now = self.now()
        ended_at = placed.ended_at(now, self.paused_seconds)
        observed = placed.upstream.observed
        if placed.is_hedge:
            # Its age is short and says little about its upstream.
            observed.discard(placed.ticket)
        else:
            observed.supersede(placed.ticket, ended_at)
        self.upstream_set.index.note_change(placed.upstream)
        # The first attempt has taken longer than most, so its age is a sample.
        self._end(placed, now, ended_at, is_sample=not placed.is_hedge)

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
            self.refusals.refuse_excess(now)

    def _enqueue(self, queued_request: QueuedRequest, now: float) -> None:
        """Add a request to the queue; its decision may follow at once."""
        had_long_queue = len(self.queue) > MAX_QUEUE_SCAN
        self.queue.push(queued_request, now)
        if queued_request.standing is Standing.IN_TIME:
            if self.admission.is_timely(queued_request, now):
                self.queue.set_timely(queued_request)
        if now >= queued_request.latest_start:
            self.refusals.refuse(queued_request, now)
        elif queued_request.standing is Standing.LATE:
            self.refusals.refuse_if_expiring(queued_request, now)
        if had_long_queue:
            # Those before it have not found a slot either.
            self.refusals.refuse_excess(now)
        else:
            self.process_queue()

    def _apply_usability(self) -> None:
        """Apply changes of whether upstreams may be used."""
        self.slots.invalidate()
        self.refusals.refuse_unplaceable(self.now())
        self.process_queue()

    def _apply_time(self, now: float) -> None:
        self.queue.pace = self.concurrency.pace()
        changes = self.queue.advance(now)
        for expired in changes.expired:
            self.refusals.refuse(expired, now)
        for late in changes.late:
            self.refusals.refuse_if_expiring(late, now)

    def _end(
        self, placed: Placed, now: float, ended_at: float, *, is_sample: bool
    ) -> None:
        self.concurrency.end(placed.sample, ended_at, answered=is_sample)
        self.choice.released_at = now
        self.admission.ended.count(now)
        if not self.queue:
            return
        if placed.upstream.terms.is_leaving:
            self.refusals.refuse_unplaceable(self.now())
        self.process_queue()

    def _place_now(self, queued_request: QueuedRequest, now: float) -> bool:
        """Place a request without queueing, the usual case."""
        state = Selection(self.choice, now).choose(queued_request)
        if state is None:
            return False
        self._decide_placed(queued_request, state, now)
        return True

    def _place_queued(self, now: float) -> None:
        """Place queued requests while there are free slots.

        At most ``MAX_QUEUE_SCAN`` requests are passed over, so that the cost of
        a call does not grow with the queue.
        """
        if not self.queue:
            return
        selection = Selection(self.choice, now)
        passed_over: list[QueuedRequest] = []
        has_candidates = selection.has_candidates()
        while has_candidates and len(passed_over) < MAX_QUEUE_SCAN:
            queued_request = self.queue.take(now)
            if queued_request is None:
                break
            state = selection.choose(queued_request)
            if state is None:
                passed_over.append(queued_request)
            else:
                self._decide_placed(queued_request, state, now)
                has_candidates = selection.has_candidates()
        for queued_request in reversed(passed_over):
            self.queue.give_back(queued_request, now)

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
        ticket = state.observed.start(now, expected)
        self.upstream_set.index.note_change(state)
        return Placed(state, ticket, sample, self.paused_seconds())


def _ignore_decision(decision: Decision) -> None:
    """Drop a decision; a hedge is never queued."""
