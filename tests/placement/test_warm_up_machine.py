"""State machine test of the load of a cold upstream over several instances.

Guards against a sum over instances that exceeds what a cold upstream tolerates
while the instance that dispatches changes, the upstream turns cold again or
restarts, requests fail and are sent again, and its failure domain is evacuated.
"""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusproxy.clock import ManualClock
from crocusproxy.protocol.home_feed import StatedTerms

from .warming import (
    WARM_UP_SECONDS,
    config_of,
    entry,
    make_instance,
    most_in_a_second,
)

INSTANCES = 3
STEP_SECONDS = 0.05
#: Two instances dispatch at most for this time.
MAX_OVERLAP_SECONDS = 1.0


class WarmingUp(RuleBasedStateMachine):
    """An upstream that warms up; the dispatching instance changes."""

    @initialize(rate=st.sampled_from((0.5, 10, 60, 200)))
    def start(self, rate):
        self.clock = ManualClock()
        self.rate = rate
        self.started_at = 1
        self.sequence = 0
        self.cold_until = 0
        self.arrivals = []
        self.ends_at = None
        self.instances = [
            make_instance(rate=rate, clock=self.clock, on_placed=self.on_placed)
            for _ in range(INSTANCES)
        ]
        self.owner = self.previous = 0
        for instance in self.instances[1:]:
            instance.placer.set_exclusive(is_exclusive=False)
        self.start_again()

    def now(self):
        return self.clock.monotonic().total_seconds()

    def on_placed(self, placed):
        if self.now() < self.cold_until:
            self.arrivals.append(self.now())

    def report(self, warm_up):
        self.sequence += 1
        one = entry('u', 'a', 50, self.started_at, self.sequence, warm_up)
        for instance in self.instances:
            instance.register(one)

    @rule()
    def start_again(self):
        self.started_at += 1
        self.arrivals.clear()
        self.cold_until = self.now() + WARM_UP_SECONDS
        self.report(0)

    @rule(seconds=st.sampled_from((0.3, 2, 9)), by_entry=st.booleans())
    def turn_cold(self, seconds, by_entry):
        # Upstreams report continually.
        self.state_again()
        if self.now() >= self.cold_until:
            self.arrivals.clear()
        self.cold_until = max(self.cold_until, self.now() + seconds)
        if by_entry:
            self.report(seconds)
            return
        told = StatedTerms(
            'u', self.started_at, warm_up=timedelta(seconds=seconds)
        )
        for instance in self.instances:
            instance.catalog.terms.apply((told,), self.now())

    @rule()
    def state_again(self):
        """A report without news; the remaining time is part of it."""
        self.report(max(self.cold_until - self.now(), 0))

    @rule(rate=st.sampled_from((2, 60)))
    def change_configuration(self, rate):
        """A changed rate counts from the next second on."""
        self.rate = max(self.rate, rate)
        version = self.instances[0].catalog.config.version + 1
        for instance in self.instances:
            instance.catalog.apply_config(config_of(rate, version))

    @rule(
        seconds=st.sampled_from((0.5, 1, 2)), per_step=st.sampled_from((1, 12))
    )
    def load(self, seconds, per_step):
        """Send to each instance, as if it could not reach the home."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.advance(STEP_SECONDS)
            for instance in self.instances:
                instance.step()
                for _ in range(per_step):
                    instance.place(service_time=0.01)

    @rule(seconds=st.sampled_from((0.05, 0.7, 4)))
    def wait(self, seconds):
        self.advance(seconds)
        for instance in self.instances:
            instance.step()

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        if self.ends_at is not None and self.now() >= self.ends_at:
            self.end_overlap()

    def end_overlap(self):
        self.ends_at = None
        placer = self.instances[self.previous].placer
        placer.set_exclusive(is_exclusive=False)

    @rule(
        number=st.integers(0, INSTANCES - 1),
        overlap=st.sampled_from((0, 0.3, MAX_OVERLAP_SECONDS)),
        per_step=st.sampled_from((1, 12)),
    )
    def change_owner(self, number, overlap, per_step):
        """The previous owner learns of the change after ``overlap``.

        Load goes on, as it shows whether both instances use the whole rate.
        """
        if self.ends_at is not None:
            self.wait(MAX_OVERLAP_SECONDS)
        if number == self.owner:
            return
        self.previous, self.owner = self.owner, number
        self.instances[number].placer.set_exclusive(is_exclusive=True)
        self.ends_at = self.now() + overlap
        if not overlap:
            self.end_overlap()
        self.load(1, per_step)

    @rule(seconds=st.sampled_from((0.1, 1.5)))
    def evacuate_and_return(self, seconds):
        for instance in self.instances:
            instance.catalog.apply_evacuated(('a',))
        self.wait(seconds)
        for instance in self.instances:
            instance.catalog.apply_evacuated(())

    @rule(number=st.integers(0, INSTANCES - 1))
    def fail(self, number):
        """A request failed; it is sent again as any other one."""
        instance = self.instances[number]
        instance.state('u').failed(instance.placer.now())

    @rule()
    def entry_expires_and_comes_back(self):
        for instance in self.instances:
            instance.placer.remove('u')
            instance.catalog.upstreams.clear()
        self.report(max(self.cold_until - self.now(), 0))

    @invariant()
    def cold_upstream_gets_no_more_than_it_tolerates(self):
        allowed = 1.5 * self.rate + 8
        assert most_in_a_second(self.arrivals) <= allowed


WarmingUp.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None
)
TestWarmingUp = WarmingUp.TestCase
