"""Guards the probe budget against holders that freeze, lag or disagree.

Holders with separate clocks share a fake log that loses, delays and repeats
records. Probes are counted on arrival at the upstreams.
"""

from collections import defaultdict
from datetime import timedelta
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from crocusproxy.config.model import ProbeBudget
from crocusproxy.measurement.budget import divide_budget
from crocusproxy.measurement.rights import RightsHolder, RightsSettings

SERVICE = 's'
SETTINGS = RightsSettings(
    term=timedelta(seconds=3), renew_every=timedelta(seconds=1)
)
STEP = timedelta(milliseconds=250)
AMPLE_BYTES = 100_000_000


class Simulation:
    """Three holders, the log and the arrivals at the upstreams."""

    def __init__(self, seed, per_second):
        self.random = Random(seed)
        self.now = timedelta()
        self.records = []
        self.first_offset = 0
        self.in_transit = []
        self.is_down = False
        self.arrivals = []
        self.late_arrivals = defaultdict(list)  # arrivals of delayed probes
        self.budgets = [per_second]
        self.lowered_at = None
        self.announcement = None  # last offset with the lower budget
        self.holders = [None] * 3
        self.frozen = set()
        # Per right, the holder that froze after its check.
        self.delayed_probes = {}
        for number in range(3):
            self.restart(number)

    def local_time(self, number):
        return self.now + timedelta(seconds=1000 * number)

    def restart(self, number):
        name = f'h{number}-{self.random.random()}'
        holder = RightsHolder(name, SETTINGS, Random(number))
        self.holders[number] = holder
        self.delayed_probes = {
            r: n for r, n in self.delayed_probes.items() if n != number
        }
        # A process starts with an older configuration than others at most
        # while the announcement of the newer one is still retained.
        retained = (
            self.announcement is None or self.announcement >= self.first_offset
        )
        self.configure(number, 0 if retained else len(self.budgets) - 1)

    def configure(self, number, generation):
        budget = ProbeBudget(self.budgets[generation], AMPLE_BYTES)
        plan = divide_budget(budget, generation + 1)
        # With different instance lists, several instances want all rights.
        target_count = self.random.randrange(1, plan.count + 1)
        self.holders[number].configure({SERVICE: plan}, {SERVICE: target_count})

    def freeze(self, number, *, between_check_and_send):
        if between_check_and_send and number not in self.frozen:
            spent_right = self.check(number)
            if spent_right in self.delayed_probes:
                self.arrivals.append(self.now)  # one per right may be delayed
            elif spent_right:
                self.delayed_probes[spent_right] = number
        self.frozen.add(number)

    def resume(self, number):
        self.frozen.discard(number)
        for right, owner in tuple(self.delayed_probes.items()):
            if owner == number:
                self.delayed_probes.pop(right)
                self.arrivals.append(self.now)
                self.late_arrivals[right].append(self.now)

    def check(self, number):
        """Check for one probe; return the right that it spends."""
        holder = self.holders[number]
        now = self.local_time(number)
        before = {
            r: held.next_probe_at for r, held in holder.held_rights.items()
        }
        if not holder.spend_probe(SERVICE, now):
            return None
        return next(
            right
            for right, held in holder.held_rights.items()
            if held.next_probe_at != before[right]
        )

    def propose(self, number, outcome):
        if number in self.frozen or self.is_down:
            return
        renewal = self.holders[number].propose(self.local_time(number))
        if renewal is None or outcome == 'vanished':
            return
        if outcome == 'delayed':
            self.in_transit.append(renewal)
        else:
            self.append(renewal)

    def append(self, renewal):
        if renewal.services[SERVICE].generation == len(self.budgets) > 1:
            self.lowered_at = self.lowered_at or self.now
            self.announcement = len(self.records)
        self.records.append(renewal)

    def read(self, number):
        if number in self.frozen or self.is_down:
            return
        holder = self.holders[number]
        now = self.local_time(number)
        holder.begin_page(self.first_offset, now)
        begin = holder.table.next_offset
        for offset, renewal in enumerate(self.records[begin:], begin):
            holder.apply_record(offset, renewal, now)

    def expire(self):
        """Drop all but the last two records.

        The announcement of a lower budget is assumed to be retained until
        the processes that started with an older configuration have read it.
        """
        newest = len(self.budgets)
        limit = len(self.records) - 2
        if self.announcement is not None and any(
            holder.plans[SERVICE].generation < newest
            and not holder.table.newer_rights(SERVICE, newest - 1)
            for holder in self.holders
        ):
            limit = min(limit, self.announcement)
        self.first_offset = max(self.first_offset, limit)

    def step_time(self):
        self.now += STEP
        for number in range(3):
            while number not in self.frozen and self.check(number):
                late = timedelta(milliseconds=self.random.randrange(240))
                self.arrivals.append(self.now + late)

    def verify(self):
        """Check the arrivals of every window, also across a lower budget."""
        check_windows(self.arrivals, max(self.budgets))
        if self.lowered_at:
            in_force = self.lowered_at + SETTINGS.term
            later = [time for time in self.arrivals if time > in_force]
            # A process that froze between its check and its send may still
            # send that one probe of a right that no longer exists.
            count = divide_budget(
                ProbeBudget(self.budgets[-1], AMPLE_BYTES), 1
            ).count
            for right, times in self.late_arrivals.items():
                last = [time for time in times if time > in_force]
                if right.number >= count:
                    assert len(last) <= 1
                    later = [time for time in later if time not in last]
            check_windows(later, self.budgets[-1])


def check_windows(arrivals, per_second):
    arrivals = sorted(arrivals)
    plan = divide_budget(ProbeBudget(per_second, AMPLE_BYTES), 1)
    allowed = per_second * (plan.window / timedelta(seconds=1))
    for position, start in enumerate(arrivals):
        window = [t for t in arrivals[position:] if t < start + plan.window]
        assert len(window) <= allowed, (start, window)


OUTCOMES = ['ok', 'ok', 'ok', 'vanished', 'delayed']
DISTURBANCES = (
    'freeze,freeze before send,restart,outage,late,expire,configure'.split(',')
)


def disturb(simulation, number, disturbance):
    match disturbance:
        case 'freeze':
            simulation.freeze(number, between_check_and_send=False)
        case 'freeze before send':
            simulation.freeze(number, between_check_and_send=True)
        case 'restart':
            simulation.resume(number)
            simulation.restart(number)
        case 'outage':
            simulation.is_down = not simulation.is_down
        case 'late' if simulation.in_transit and not simulation.is_down:
            simulation.append(simulation.in_transit.pop(0))
        case 'expire':
            simulation.expire()
        case 'configure':
            simulation.configure(number, len(simulation.budgets) - 1)


@pytest.mark.parametrize('per_second', [0.5, 2, 7])
@pytest.mark.parametrize('lower', [None, 0.5, 3])
def test_budget_holds_in_long_random_runs(per_second, lower):
    """Covers states that need more steps than the state machine takes."""
    total = 0
    for seed in range(12):
        simulation = Simulation(seed, per_second)
        random = simulation.random
        for step in range(600):
            number = random.randrange(3)
            if step == 300 and lower and lower < per_second:
                simulation.budgets.append(lower)
            if not random.randrange(6):
                disturb(simulation, number, random.choice(DISTURBANCES))
            if random.random() < 0.5:
                simulation.resume(number)
            simulation.propose(random.randrange(3), random.choice(OUTCOMES))
            simulation.read(random.randrange(3))
            simulation.read(random.randrange(3))
            simulation.step_time()
        simulation.verify()
        total += len(simulation.arrivals)
    assert total > 50


class ProbeBudgetMachine(RuleBasedStateMachine):
    @initialize(per_second=st.sampled_from([0.5, 2, 5]))
    def begin(self, per_second):
        self.simulation = Simulation(0, per_second)

    @rule(number=st.integers(0, 2), outcome=st.sampled_from(OUTCOMES))
    def renew(self, number, outcome):
        self.simulation.propose(number, outcome)
        self.simulation.read(number)

    @rule(count=st.integers(1, 20), number=st.integers(0, 2))
    def run_normally(self, count, number):
        for _ in range(count):
            self.simulation.propose(number, 'ok')
            self.simulation.read(number)
            self.simulation.step_time()

    @rule(number=st.integers(0, 2), disturbance=st.sampled_from(DISTURBANCES))
    def disturb(self, number, disturbance):
        disturb(self.simulation, number, disturbance)

    @rule(number=st.integers(0, 2))
    def resume(self, number):
        self.simulation.resume(number)
        self.simulation.step_time()

    @rule()
    def lower(self):
        if self.simulation.budgets[0] > 1 and len(self.simulation.budgets) == 1:
            self.simulation.budgets.append(1)

    def teardown(self):
        if hasattr(self, 'simulation'):
            self.simulation.verify()


TestProbeBudget = ProbeBudgetMachine.TestCase
TestProbeBudget.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
