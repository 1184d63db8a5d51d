"""Drives the crash suspects with deadly and harmless requests in any order.

Guards against a request that takes down one upstream after the other, and
against harmless ones that stay refused after they were answered.
"""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crocusproxy.routing.crash import CONFIRMATION, Crash, CrashSuspects

DEADLY = 'deadly'
HARMLESS = ('h1', 'h2', 'h3')
UPSTREAMS = ('u1', 'u2', 'u3', 'u4', 'u5')
upstreams = st.sampled_from(UPSTREAMS)
#: Retries of a deadly request that may be sent after its third crash.
MOST_RETRIES = 3


class Suspects(RuleBasedStateMachine):
    """Upstreams that one request crashes, and others that it meets there."""

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
        fingerprint=st.sampled_from((DEADLY, *HARMLESS)),
        upstream=upstreams,
    )
    def send(self, fingerprint, upstream):
        if self.is_refused(fingerprint):
            return
        self.in_flight[upstream].append(fingerprint)
        if fingerprint == DEADLY and len(self.crashed) >= 3:
            self.retries += 1

    @rule(upstream=upstreams)
    def crash(self, upstream):
        """Crash what runs the deadly request; its requests are lost."""
        lost = self.in_flight[upstream]
        if DEADLY not in lost:
            return
        self.in_flight[upstream] = []
        self.crashed.add(upstream)
        self.suspects.crashed(Crash(upstream, frozenset(lost), self.now))

    @rule(upstream=upstreams)
    def answer(self, upstream):
        """Answer a harmless request, which clears it."""
        running = [one for one in self.in_flight[upstream] if one != DEADLY]
        if running:
            self.in_flight[upstream].remove(running[0])
            self.suspects.answered(running[0])
            assert not self.is_refused(running[0])

    @rule(seconds=st.sampled_from((0.1, 5)))
    def pass_time(self, seconds):
        self.now += timedelta(seconds=seconds)

    @precondition(lambda self: len(self.crashed) >= 3)
    @invariant()
    def deadly_request_is_hardly_sent_again(self):
        if self.now < CONFIRMATION:
            assert self.retries <= MOST_RETRIES


Suspects.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
TestSuspects = Suspects.TestCase
