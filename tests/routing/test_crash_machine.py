"""State machine test of the crash suspects.

Guards against a request that crashes one upstream after the other, and against
harmless requests that stay refused after a response.
"""

from datetime import timedelta
from itertools import chain

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crocusproxy.routing.crash import CONFIRMATION_PERIOD, Crash, CrashSuspects

CRASHING = 'deadly'
HARMLESS = ('h1', 'h2', 'h3')
UPSTREAMS = ('u1', 'u2', 'u3', 'u4', 'u5')
upstreams = st.sampled_from(UPSTREAMS)
#: Retries of the crashing request allowed after its third crash.
MAX_RETRIES = 3


class Suspects(RuleBasedStateMachine):
    """Upstreams with harmless requests and one that crashes them."""

    def __init__(self):
        super().__init__()
        self.suspects = CrashSuspects()
        self.now = timedelta()
        self.in_flight = {upstream: [] for upstream in UPSTREAMS}
        self.crashed = set()
        self.retries = 0

    def is_refused(self, fingerprint):
        return bool(self.suspects.refused_for(fingerprint, self.now))

    @rule(
        fingerprint=st.sampled_from((CRASHING, *HARMLESS)),
        upstream=upstreams,
    )
    def send(self, fingerprint, upstream):
        if self.is_refused(fingerprint):
            return
        self.in_flight[upstream].append((fingerprint, self.now))
        if fingerprint == CRASHING and len(self.crashed) >= 3:
            self.retries += 1

    @rule(upstream=upstreams)
    def crash(self, upstream):
        """Crash an upstream that runs the crashing request."""
        if CRASHING in self.running(upstream):
            self.crashed.add(upstream)
            self.lose(upstream)

    @rule(lost=st.sets(upstreams, min_size=1))
    def lose_at_once(self, lost):
        """Lose upstreams for a reason that is not a request.

        Requests that only this has hit must not be refused.
        """
        sent = [self.in_flight[upstream] for upstream in sorted(lost)]
        suspects = {*self.suspects.suspects, *self.suspects.confirmed_until}
        self.now += timedelta(milliseconds=1)
        for upstream in sorted(lost):
            self.lose(upstream)
        for fingerprint, _ in chain.from_iterable(sent):
            if fingerprint not in suspects:
                assert not self.is_refused(fingerprint)

    @rule(upstream=upstreams)
    def answer(self, upstream):
        """Answer a harmless request, which clears it."""
        running = [
            (one, sent_at)
            for one, sent_at in self.in_flight[upstream]
            if one != CRASHING
        ]
        if running:
            self.in_flight[upstream].remove(running[0])
            fingerprint, _ = running[0]
            self.suspects.answered(fingerprint)
            assert not self.is_refused(fingerprint)

    def running(self, upstream):
        return [fingerprint for fingerprint, _ in self.in_flight[upstream]]

    def lose(self, upstream):
        sent_at = dict(self.in_flight[upstream])
        self.in_flight[upstream] = []
        if sent_at:
            self.suspects.crashed(
                Crash(upstream, frozenset(sent_at), self.now, sent_at)
            )

    @rule(seconds=st.sampled_from((0.1, 5)))
    def pass_time(self, seconds):
        self.now += timedelta(seconds=seconds)

    @precondition(lambda self: len(self.crashed) >= 3)
    @invariant()
    def crashing_request_is_rarely_sent_again(self):
        if self.now < CONFIRMATION_PERIOD:
            assert self.retries <= MAX_RETRIES


Suspects.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
TestSuspects = Suspects.TestCase
