"""State machine test of stated terms over several instances.

Guards against a sum over instances that exceeds a rate limit while the instance
that dispatches changes, and against requests to an upstream after each instance
that was told that it leaves.
"""

from datetime import timedelta
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest
from crocusproxy.placement.upstream_terms import TermsTable
from crocusproxy.routes.model import RegisteredUpstream

INSTANCES = 3
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.1
SERVICE_SECONDS = 0.02


class Instance:
    """One instance with its own terms and placer."""

    def __init__(self, clock):
        self.table = TermsTable()
        self.placer = ServicePlacer('s', 'a', clock, Random(1), self.table)
        self.placer.set_exclusive(is_exclusive=False)
        self.told_at = None


class StatingTerms(RuleBasedStateMachine):
    """An upstream with a limit; the dispatching instance changes."""

    @initialize(limit=st.sampled_from((0, 1, 3, 12)))
    def start(self, limit):
        self.clock = ManualClock()
        self.limit = limit
        self.started_at = 1
        self.leaving = False
        self.arrivals = []
        self.placed = []
        self.leaving_told = set()
        self.instances = [Instance(self.clock) for _ in range(INSTANCES)]
        self.owner = 0
        self.instances[0].placer.set_exclusive(is_exclusive=True)
        self.register()

    def now(self):
        return self.clock.monotonic().total_seconds()

    def register(self):
        entry = RegisteredUpstream(
            'u', 's', '10.0.0.1:80', 'a', 50, False, self.started_at, 1
        )
        for instance in self.instances:
            instance.placer.put(entry)
        self.answer_placed()

    def send(self, number):
        """Place a request at an instance; its response states the terms."""
        instance = self.instances[number]
        now = self.now()
        request = PlacementRequest(1, SERVICE_SECONDS, now + 0.1, now + 0.2)

        def decide(decision):
            if isinstance(decision, Placed):
                self.placed.append((number, decision))

        instance.placer.place(request, decide)
        self.answer_placed()

    def answer_placed(self):
        """Answer after the placer has returned, as a response does."""
        while self.placed:
            self.arrive(*self.placed.pop())

    def arrive(self, number, placed):
        instance = self.instances[number]
        now = self.now()
        assert number not in self.leaving_told
        self.arrivals.append((now, instance.told_at))
        instance.placer.release(placed, answered=True)
        terms = instance.table.terms_of('u', self.started_at)
        if terms.rate_limit != self.limit:
            terms.apply_rate_limit(self.limit, now)
        terms.is_leaving = terms.is_leaving or self.leaving
        if instance.told_at is None:
            instance.told_at = now
        if self.leaving:
            self.leaving_told.add(number)

    @rule(number=st.integers(0, INSTANCES - 1), count=st.integers(1, 30))
    def burst(self, number, count):
        for _ in range(count):
            self.send(number)

    @rule(seconds=st.sampled_from((0.7, 5)))
    def load(self, seconds):
        """Send more than the limit to each, as if none reached the home."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.advance(STEP_SECONDS)
            for number in range(INSTANCES):
                self.send(number)
                self.send(number)

    @rule(seconds=st.sampled_from((0.05, 1, 10)))
    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for instance in self.instances:
            instance.placer.process_queue()
        self.answer_placed()

    @rule(number=st.integers(0, INSTANCES - 1))
    def change_owner(self, number):
        # An election takes longer than this.
        self.advance(0.7)
        self.instances[self.owner].placer.set_exclusive(is_exclusive=False)
        self.owner = number
        self.instances[number].placer.set_exclusive(is_exclusive=True)

    @rule()
    def entry_expires_and_comes_back(self):
        for instance in self.instances:
            instance.placer.remove('u')
        self.register()

    @rule()
    def leave(self):
        self.leaving = True

    @rule()
    def start_again(self):
        """A new incarnation under the same key knows nothing of before."""
        self.started_at += 1
        self.leaving = False
        self.leaving_told.clear()
        self.arrivals.clear()
        for instance in self.instances:
            instance.told_at = None
        self.register()

    @invariant()
    def told_instances_stay_within_the_limit_together(self):
        counted = [
            time
            for time, told_at in self.arrivals
            if told_at is not None and time >= told_at + 0.5
        ]
        allowed = 1.5 * WINDOW_SECONDS * self.limit + 5
        first = 0
        for position, end in enumerate(counted):
            while counted[first] <= end - WINDOW_SECONDS:
                first += 1
            assert position - first + 1 <= allowed


StatingTerms.TestCase.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
TestStatingTerms = StatingTerms.TestCase
