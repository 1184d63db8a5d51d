"""Drives one placer with any order of requests, upstreams and time.

Guards against requests that are decided twice or never, sent to an upstream
that leaves, sent beyond the slots, or kept after their time.
"""

from datetime import timedelta
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import Demand, Placed, ServicePlacer
from crocusproxy.routes.model import RegisteredUpstream

KEYS = ('1', '2', '3')
SLOTS = 2
keys = st.sampled_from(KEYS)
picks = st.integers(0, 10)


class Asked:
    """A request and what was decided on it."""

    def __init__(self, demand):
        self.demand = demand
        self.decisions = []
        self.waiting = None
        self.withdrawn = False


class Placing(RuleBasedStateMachine):
    """Three upstreams that come, leave, fail and change their speed."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(1))
        self.asked = []
        self.running = []
        self.starts = 1

    def register(self, key, leaving):
        self.placer.put(
            RegisteredUpstream(
                key,
                's',
                f'10.0.0.{key}:80',
                'a',
                SLOTS,
                leaving,
                self.starts,
                sequence=1,
            )
        )

    @rule(key=keys, leaving=st.booleans())
    def put(self, key, leaving):
        self.register(key, leaving)

    @rule(key=keys)
    def restart_upstream(self, key):
        self.starts += 1
        self.register(key, leaving=False)

    @rule(key=keys)
    def remove(self, key):
        self.placer.remove(key)

    @rule(key=keys, slowdown=st.sampled_from((0.8, 1, 2.5, 6)))
    def report(self, key, slowdown):
        state = self.placer.upstreams.get(key)
        if state is not None:
            state.report(slowdown, self.placer.now())
            self.placer.process_queue()

    @rule(key=keys)
    def fail(self, key):
        state = self.placer.upstreams.get(key)
        if state is not None:
            state.failed(self.placer.now())

    @rule(
        priority=st.integers(1, 2),
        due=st.sampled_from((0.05, 0.2, 0.6)),
        tried=st.frozensets(keys, max_size=2),
    )
    def place(self, priority, due, tried):
        now = self.placer.now()
        demand = Demand(priority, 0.05, now + due, now + 1, tried)
        one = Asked(demand)
        self.asked.append(one)

        def decide(decision):
            one.decisions.append(decision)
            if isinstance(decision, Placed):
                self.running.append(decision)
                state = decision.upstream
                assert state.is_usable
                assert state.key not in one.demand.excluded
                assert state.in_flight <= SLOTS

        one.waiting = self.placer.place(demand, decide)

    @rule(pick=picks, answered=st.booleans())
    def end(self, pick, answered):
        if self.running:
            placed = self.running.pop(pick % len(self.running))
            self.placer.release(placed, answered=answered)

    @rule(pick=picks)
    def withdraw(self, pick):
        undecided = [one for one in self.asked if not one.decisions]
        if undecided:
            one = undecided[pick % len(undecided)]
            self.placer.withdraw(one.waiting)
            one.withdrawn = True

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.9)))
    def pass_time(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        self.placer.process_queue()

    @invariant()
    def nothing_is_decided_twice_or_after_it_was_withdrawn(self):
        for one in self.asked:
            assert len(one.decisions) <= (not one.withdrawn)

    @invariant()
    def what_is_undecided_waits(self):
        waiting = [
            one.waiting
            for one in self.asked
            if not one.decisions and not one.withdrawn
        ]
        assert set(map(id, waiting)) == set(map(id, self.placer.queue))

    @invariant()
    def nothing_waits_beyond_its_time(self):
        now = self.placer.now()
        for waiting in self.placer.queue:
            assert now < waiting.demand.give_up_at


Placing.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestPlacing = Placing.TestCase
