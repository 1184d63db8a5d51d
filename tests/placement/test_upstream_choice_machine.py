"""Compares the indexed choice of an upstream with a scan of all upstreams.

Guards against an outdated index: one that sends a request to a full, slow,
removed or limited upstream, or passes over one that costs less.
"""

from dataclasses import replace
from datetime import timedelta
from math import inf
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusproxy.clock import ManualClock
from crocusproxy.placement.observed_slowdown import REQUIRED_SAMPLES
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import (
    Placed,
    PlacementRequest,
    QueuedRequest,
)
from crocusproxy.placement.upstream_choice import EQUAL_COST_SHARE, Selection

from .warming import entry

KEYS = tuple('123456')
SERVICE_SECONDS = (0.005, 0.05, 0.2)
#: Bound on the difference of two computations of one cost.
ROUNDING_ERROR = 1e-9
keys = st.sampled_from(KEYS)
flags = st.booleans()


def is_below_limit(state, *, is_trial):
    """Return whether one more request does not lower the throughput."""
    limit = state.load_effect.limit
    if is_trial:
        limit += state.trial_offset
    return state.in_flight < min(limit, state.entry.slots)


def scan(placer, queued_request, now):
    """Return the costs of the candidates, as a scan of all upstreams does."""
    choice = placer.choice
    is_waiting = now - choice.released_at > choice.service_time
    is_trial = now < placer.concurrency.trial_ends_at
    states = placer.upstreams.values()
    with_room = [
        state
        for state in states
        if state.has_slot
        and (is_waiting or is_below_limit(state, is_trial=is_trial))
        and state.is_usable
        and state.may_start(now)
    ]
    fast = [
        state
        for state in with_room
        if not state.is_slow(now) or state.terms.warm_up.is_due(now)
    ]
    is_any_fast = any(
        state.is_usable and state.may_start(now) and not state.is_slow(now)
        for state in states
    )
    candidates = fast if fast or is_any_fast else with_room
    return {
        state: state.cost(queued_request.service_time, now)
        for state in candidates
        if state.key not in queued_request.request.excluded
        and queued_request.accepts(state, now)
    }


def check_choice(chosen, costs, service_time):
    """Fail unless the choice is one of equal cost with the lowest."""
    if chosen is None:
        assert not costs
    else:
        margin = EQUAL_COST_SHARE * service_time + ROUNDING_ERROR
        assert costs[chosen] <= min(costs.values()) + margin


class Choosing(RuleBasedStateMachine):
    """Upstreams of two failure domains whose properties change at random."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(1))
        self.running = []
        self.started_at = 1
        for key in KEYS:
            self.placer.put(entry(key, 'ab'[int(key) % 2]))

    def now(self):
        return self.placer.now()

    def state(self, key):
        if key not in self.placer.upstreams:
            self.placer.put(entry(key))
        return self.placer.upstreams[key]

    def request(self, service_time, excluded):
        now = self.now()
        return PlacementRequest(
            1, service_time, now + 0.3, now + 1, frozenset(excluded)
        )

    @rule(
        key=keys,
        domain=st.sampled_from('ab'),
        slots=st.integers(0, 5),
        is_restart=flags,
        leaving=flags,
        warm_up=st.sampled_from((0, 0.5)),
    )
    def put(self, key, domain, slots, is_restart, leaving, warm_up):
        self.started_at += is_restart
        one = entry(key, domain, slots, self.started_at, warm_up=warm_up)
        self.placer.put(replace(one, leaving=leaving))

    @rule(key=keys)
    def remove(self, key):
        self.placer.remove(key)

    @rule(domain=st.sampled_from(('', 'a')))
    def own(self, domain):
        self.placer.set_ownership(lambda one: not domain or one == domain)

    @rule(is_exclusive=flags)
    def set_exclusive(self, is_exclusive):
        self.placer.set_exclusive(is_exclusive=is_exclusive)

    @rule(domains=st.sampled_from(((), 'a', 'ab')))
    def evacuate(self, domains):
        self.placer.apply_evacuated(frozenset(domains))

    @rule(
        service_time=st.sampled_from(SERVICE_SECONDS),
        count=st.integers(1, 8),
        excluded=st.sets(keys, max_size=2),
    )
    def start(self, service_time, count, excluded):
        for _ in range(count):
            self.placer.place(
                self.request(service_time, excluded), self.running.append
            )

    @rule(pick=st.integers(0, 30), answered=flags, is_superseded=flags)
    def end(self, pick, answered, is_superseded):
        placed = [one for one in self.running if isinstance(one, Placed)]
        if placed:
            ended = placed[pick % len(placed)]
            self.running.remove(ended)
            if is_superseded:
                self.placer.supersede(ended)
            else:
                self.placer.release(ended, answered=answered)

    @rule(
        chosen=st.sets(keys, min_size=1),
        slowdown=st.sampled_from((0.3, 0.9, 1.2, 1.3, 1.9, 2.1, 6)),
    )
    def report(self, chosen, slowdown):
        for key in sorted(chosen):
            self.state(key).report(slowdown, self.now())

    @rule(key=keys, ratio=st.sampled_from((1, 2.5, 20)))
    def observe(self, key, ratio):
        now = self.now()
        state = self.state(key)
        for _ in range(REQUIRED_SAMPLES):
            ticket = state.observed.start(now - ratio, 1)
            state.observed.end(ticket, now, answered=True)
        self.placer.upstream_set.index.note_change(state)

    @rule(key=keys)
    def fail_probe(self, key):
        self.state(key).reported_at = -inf
        self.state(key).failed(self.now())

    @rule(key=keys)
    def shed(self, key):
        self.state(key).shed(self.now())

    @rule(key=keys, count=st.integers(1, 20))
    def succeed(self, key, count):
        for _ in range(count):
            self.state(key).succeeded()

    @rule()
    def end_backoffs(self):
        self.placer.end_backoffs()

    @rule(key=keys, rate=st.sampled_from((None, 0, 4, 30)))
    def limit_rate(self, key, rate):
        self.state(key).terms.apply_rate_limit(rate, self.now())

    @rule(key=keys, seconds=st.sampled_from((0.02, 0.5)))
    def back_off(self, key, seconds):
        self.state(key).terms.request_backoff(seconds, self.now())

    @rule(key=keys)
    def leave(self, key):
        self.state(key).terms.is_leaving = True

    @rule(
        key=keys,
        rate=st.sampled_from((0, 5, 40)),
        remaining=st.sampled_from((0, 0.3, 4)),
    )
    def warm_up(self, key, rate, remaining):
        warm_up = self.state(key).terms.warm_up
        warm_up.configure(rate, 6, self.now())
        warm_up.apply_stated(remaining, self.now())

    @rule(key=keys)
    def respond_as_warm(self, key):
        self.state(key).terms.warm_up.end_assumption()

    @rule(seconds=st.sampled_from((0.0003, 0.01, 0.05, 0.3, 1.1, 3)))
    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule()
    def process_queue(self):
        self.placer.process_queue()

    @rule(
        service_time=st.sampled_from(SERVICE_SECONDS),
        excluded=st.sets(keys, max_size=3),
    )
    def choose(self, service_time, excluded):
        now = self.now()
        placer = self.placer
        placer.choice.service_time = service_time
        queued_request = QueuedRequest(
            self.request(service_time, excluded), now, lambda decision: None
        )
        costs = scan(placer, queued_request, now)
        chosen = Selection(placer.choice, now).choose(queued_request)
        check_choice(chosen, costs, service_time)
        hedge = Selection(placer.choice, now, for_hedge=True)
        fast = {
            one: cost for one, cost in costs.items() if not one.is_slow(now)
        }
        check_choice(hedge.choose_fast(queued_request), fast, service_time)

    @invariant()
    def chooses_as_a_scan_does(self):
        self.choose(0.05, ())

    @invariant()
    def counts_as_a_scan_does(self):
        index = self.placer.upstream_set.index
        index.refresh(self.now())
        states = self.placer.upstreams.values()
        usable = [state for state in states if state.is_usable]
        assert set(index.usable) == set(usable)
        assert index.slot_count == sum(
            state.entry.slots for state in usable if not state.is_limited
        )


Choosing.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestChoosing = Choosing.TestCase
