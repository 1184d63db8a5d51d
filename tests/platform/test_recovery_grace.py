"""Guards against removals that are delayed or applied in the wrong case.

A simulated store removes an upstream after three silent heartbeats, also if the
store itself was unreachable, and the reader has cuts of its own.
"""

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusproxy.clock import ManualClock
from crocusproxy.platform.recovery_grace import RECOVERY_GRACE, RecoveryGrace

HEARTBEAT = timedelta(seconds=1.5)
#: Simulated time is counted in these.
STEP = timedelta(milliseconds=50)
STEPS_PER_HEARTBEAT = HEARTBEAT // STEP
STEPS_TO_EXPIRY = 3 * STEPS_PER_HEARTBEAT
READ_STEPS = timedelta(milliseconds=800) // STEP
#: Upstreams report again within this time after an outage.
RETURN_STEPS = timedelta(seconds=2) // STEP
UPSTREAM_COUNT = 24
ENDS_AT = 600

spans = st.tuples(st.integers(100, 400), st.integers(0, 160))


class Upstream:
    """Reports at each heartbeat; ``reported_at`` is the latest one stored."""

    def __init__(self, number):
        self.next_at = number * STEPS_PER_HEARTBEAT // UPSTREAM_COUNT
        self.reported_at = 0
        self.is_listed = True
        self.return_delay = number * RETURN_STEPS // UPSTREAM_COUNT

    def step(self, step, is_down):
        """Return 'report', 'removal' or '' for what the store records."""
        if step >= self.next_at:
            self.next_at = step + STEPS_PER_HEARTBEAT
            if not is_down:
                self.reported_at = step
                self.is_listed = True
                return 'report'
        if self.is_listed and step - self.reported_at >= STEPS_TO_EXPIRY:
            self.is_listed = False
            return 'removal'
        return ''

    def end_of_outage(self, step):
        self.next_at = min(self.next_at, step + self.return_delay)


class Simulation:
    """``is_down`` and ``is_cut`` tell of a step what does not work in it."""

    def __init__(self, is_down, is_cut):
        self.is_down = is_down
        self.is_cut = is_cut
        self.clock = ManualClock()
        self.grace = RecoveryGrace(self.clock, HEARTBEAT)
        self.grace.record_read(0, 0, follows_failure=False)
        self.upstreams = [Upstream(number) for number in range(UPSTREAM_COUNT)]
        self.reports = 0
        self.removals = 0
        self.next_read = 0
        self.applied_at_once = 0
        self.grace_periods = 0

    def run(self):
        for step in range(ENDS_AT):
            if self.is_down(step - 1) and not self.is_down(step):
                for upstream in self.upstreams:
                    upstream.end_of_outage(step)
            recorded = [
                upstream.step(step, self.is_down(step))
                for upstream in self.upstreams
            ]
            self.reports += recorded.count('report')
            self.removals += recorded.count('removal')
            if step >= self.next_read:
                self.read(step)
            self.clock.advance(STEP)
        return self

    def read(self, step):
        if self.is_down(step) or self.is_cut(step):
            return
        self.next_read = step + READ_STEPS
        self.grace.record_read(
            self.reports, UPSTREAM_COUNT, follows_failure=False
        )
        self.grace_periods += self.grace.is_active
        if not self.grace.is_active:
            self.applied_at_once += self.removals
        self.reports = self.removals = 0


def within(spans):
    return lambda step: any(
        start <= step < start + length for start, length in spans
    )


@settings(max_examples=300, deadline=None)
@given(st.lists(spans, max_size=1), st.lists(spans, max_size=2))
def test_no_live_upstream_is_removed_at_once(outages, cuts):
    """Requests would have no upstream for seconds after an outage."""
    assert not Simulation(within(outages), within(cuts)).run().applied_at_once


@settings(max_examples=100, deadline=None)
@given(st.lists(spans, max_size=3))
def test_cut_of_the_reader_alone_delays_no_removal(cuts):
    """Upstreams that had left got requests for seconds."""
    assert not Simulation(within(()), within(cuts)).run().grace_periods


def test_grace_period_ends():
    clock = ManualClock()
    grace = RecoveryGrace(clock, HEARTBEAT)
    grace.start()
    assert grace.is_active
    clock.advance(RECOVERY_GRACE)
    assert not grace.is_active
