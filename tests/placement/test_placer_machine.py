"""State machine test of a placer with random requests and upstream changes.

Guards against requests that are decided twice or never, sent to a leaving
upstream or beyond its slots, or queued after their deadline.
"""

from datetime import timedelta
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest
from crocusproxy.routes.model import RegisteredUpstream

KEYS = ('1', '2', '3')
SLOTS = 2
keys = st.sampled_from(KEYS)
picks = st.integers(0, 10)


class TrackedRequest:
    """A request and the decisions on it."""

    def __init__(self, request):
        self.request = request
        self.decisions = []
        self.queued_request = None
        self.withdrawn = False


class Placing(RuleBasedStateMachine):
    """Three upstreams that join, leave, fail and change their speed."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(1))
        self.tracked = []
        self.running = []
        self.incarnation = 1

    def register_upstream(self, key, leaving):
        self.placer.put(
            RegisteredUpstream(
                key,
                's',
                f'10.0.0.{key}:80',
                'a',
                SLOTS,
                leaving,
                self.incarnation,
                sequence=1,
            )
        )

    @rule(key=keys, leaving=st.booleans())
    def put(self, key, leaving):
        self.register_upstream(key, leaving)

    @rule(key=keys)
    def restart_upstream(self, key):
        self.incarnation += 1
        self.register_upstream(key, leaving=False)

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
        seconds_to_target=st.sampled_from((0.05, 0.2, 0.6)),
        excluded=st.frozensets(keys, max_size=2),
    )
    def place(self, priority, seconds_to_target, excluded):
        now = self.placer.now()
        request = PlacementRequest(
            priority, 0.05, now + seconds_to_target, now + 1, excluded
        )
        one = TrackedRequest(request)
        self.tracked.append(one)

        def decide(decision):
            one.decisions.append(decision)
            if isinstance(decision, Placed):
                self.running.append(decision)
                state = decision.upstream
                assert state.is_usable
                assert state.key not in one.request.excluded
                assert state.in_flight <= SLOTS

        one.queued_request = self.placer.place(request, decide)

    @rule(pick=picks, answered=st.booleans())
    def end(self, pick, answered):
        if self.running:
            placed = self.running.pop(pick % len(self.running))
            self.placer.release(placed, answered=answered)

    @rule(pick=picks)
    def withdraw(self, pick):
        undecided = [one for one in self.tracked if not one.decisions]
        if undecided:
            one = undecided[pick % len(undecided)]
            self.placer.withdraw(one.queued_request)
            one.withdrawn = True

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.9)))
    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        self.placer.process_queue()

    @invariant()
    def requests_are_decided_at_most_once_and_not_after_withdrawal(self):
        for one in self.tracked:
            assert len(one.decisions) <= (not one.withdrawn)

    @invariant()
    def undecided_requests_are_queued(self):
        undecided = [
            one.queued_request
            for one in self.tracked
            if not one.decisions and not one.withdrawn
        ]
        assert set(map(id, undecided)) == set(map(id, self.placer.queue))

    @invariant()
    def queued_requests_have_time_left(self):
        now = self.placer.now()
        for queued_request in self.placer.queue:
            assert now < queued_request.request.deadline


Placing.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestPlacing = Placing.TestCase
