"""Guards the probe budget against holders that freeze, lag or disagree.

Holders with clocks of their own share a fake log that loses, delays and
repeats. Probes are counted when they arrive at the upstreams.
"""

from collections import defaultdict
from datetime import timedelta
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from crocusproxy.config.model import ProbeBudget
from crocusproxy.measurement.budget import divide
from crocusproxy.measurement.rights import RightsHolder, RightsSettings

SERVICE = 's'
SETTINGS = RightsSettings(
    term=timedelta(seconds=3), renew_every=timedelta(seconds=1)
)
TICK = timedelta(milliseconds=250)
LARGE = 100_000_000


class World:
    """Three holders, the log, and the arrivals at the upstreams."""

    def __init__(self, seed, per_second):
        self.random = Random(seed)
        self.now = timedelta()
        self.records = []
        self.first = 0
        self.in_transit = []
        self.down = False
        self.arrivals = []
        self.stragglers = defaultdict(list)  # arrivals of delayed probes
        self.budgets = [per_second]
        self.lowered_at = None
        self.announcement = None  # offset of the last record about it
        self.holders = [None] * 3
        self.frozen = set()
        self.delayed = {}  # per right, the holder that checked and froze
        for number in range(3):
            self.restart(number)

    def clock(self, number):
        return self.now + timedelta(seconds=1000 * number)

    def restart(self, number):
        name = f'h{number}-{self.random.random()}'
        holder = RightsHolder(name, SETTINGS, Random(number))
        self.holders[number] = holder
        self.delayed = {r: n for r, n in self.delayed.items() if n != number}
        # A process starts with an older configuration than others at most
        # while the announcement of the newer one is still retained.
        retained = self.announcement is None or self.announcement >= self.first
        self.configure(number, 0 if retained else len(self.budgets) - 1)

    def configure(self, number, generation):
        budget = ProbeBudget(self.budgets[generation], LARGE)
        plan = divide(budget, generation + 1)
        # Instance lists that differ make several instances want everything.
        wanted = self.random.randrange(1, plan.count + 1)
        self.holders[number].configure({SERVICE: plan}, {SERVICE: wanted})

    def freeze(self, number, *, between_check_and_send):
        if between_check_and_send and number not in self.frozen:
            used = self.check(number)
            if used in self.delayed:
                self.arrivals.append(self.now)  # one per right may be delayed
            elif used:
                self.delayed[used] = number
        self.frozen.add(number)

    def wake(self, number):
        self.frozen.discard(number)
        for right, owner in tuple(self.delayed.items()):
            if owner == number:
                self.delayed.pop(right)
                self.arrivals.append(self.now)
                self.stragglers[right].append(self.now)

    def check(self, number):
        """Ask for one probe; return the right that it used."""
        holder = self.holders[number]
        now = self.clock(number)
        before = {
            r: held.next_probe_at for r, held in holder.held_rights.items()
        }
        if not holder.may_probe(SERVICE, now):
            return None
        return next(
            right
            for right, held in holder.held_rights.items()
            if held.next_probe_at != before[right]
        )

    def propose(self, number, fate):
        if number in self.frozen or self.down:
            return
        renewal = self.holders[number].propose(self.clock(number))
        if renewal is None or fate == 'vanished':
            return
        if fate == 'delayed':
            self.in_transit.append(renewal)
        else:
            self.append(renewal)

    def append(self, renewal):
        if renewal.services[SERVICE].generation == len(self.budgets) > 1:
            self.lowered_at = self.lowered_at or self.now
            self.announcement = len(self.records)
        self.records.append(renewal)

    def read(self, number):
        if number in self.frozen or self.down:
            return
        holder = self.holders[number]
        now = self.clock(number)
        holder.begin_page(self.first, now)
        begin = holder.table.next
        for offset, renewal in enumerate(self.records[begin:], begin):
            holder.read(offset, renewal, now)

    def expire(self):
        """Drop all but the last two records.

        The announcement of a lower budget is assumed to be retained until
        the processes that started with an older configuration have read it.
        """
        newest = len(self.budgets)
        limit = len(self.records) - 2
        if self.announcement is not None and any(
            holder.plans[SERVICE].generation < newest
            and not holder.table.newer(SERVICE, newest - 1)
            for holder in self.holders
        ):
            limit = min(limit, self.announcement)
        self.first = max(self.first, limit)

    def tick(self):
        self.now += TICK
        for number in range(3):
            while number not in self.frozen and self.check(number):
                late = timedelta(milliseconds=self.random.randrange(240))
                self.arrivals.append(self.now + late)

    def verify(self):
        """Count the arrivals of every window, also across the lowering."""
        check_windows(self.arrivals, max(self.budgets))
        if self.lowered_at:
            in_force = self.lowered_at + SETTINGS.term
            later = [time for time in self.arrivals if time > in_force]
            # A process that froze between its check and its send may still
            # send that one probe of a right that no longer exists.
            count = divide(ProbeBudget(self.budgets[-1], LARGE), 1).count
            for right, times in self.stragglers.items():
                last = [time for time in times if time > in_force]
                if right.number >= count:
                    assert len(last) <= 1
                    later = [time for time in later if time not in last]
            check_windows(later, self.budgets[-1])


def check_windows(arrivals, per_second):
    arrivals = sorted(arrivals)
    plan = divide(ProbeBudget(per_second, LARGE), 1)
    allowed = per_second * (plan.window / timedelta(seconds=1))
    for position, start in enumerate(arrivals):
        window = [t for t in arrivals[position:] if t < start + plan.window]
        assert len(window) <= allowed, (start, window)


FATES = ['ok', 'ok', 'ok', 'vanished', 'delayed']
DISTURBANCES = (
    'freeze,freeze before send,restart,outage,late,expire,configure'.split(',')
)


def disturb(world, number, what):
    match what:
        case 'freeze':
            world.freeze(number, between_check_and_send=False)
        case 'freeze before send':
            world.freeze(number, between_check_and_send=True)
        case 'restart':
            world.wake(number)
            world.restart(number)
        case 'outage':
            world.down = not world.down
        case 'late' if world.in_transit and not world.down:
            world.append(world.in_transit.pop(0))
        case 'expire':
            world.expire()
        case 'configure':
            world.configure(number, len(world.budgets) - 1)


@pytest.mark.parametrize('per_second', [0.5, 2, 7])
@pytest.mark.parametrize('lower', [None, 0.5, 3])
def test_long_random_runs(per_second, lower):
    """Reach states behind more steps than the search below takes."""
    total = 0
    for seed in range(12):
        world = World(seed, per_second)
        random = world.random
        for step in range(600):
            number = random.randrange(3)
            if step == 300 and lower and lower < per_second:
                world.budgets.append(lower)
            if not random.randrange(6):
                disturb(world, number, random.choice(DISTURBANCES))
            if random.random() < 0.5:
                world.wake(number)
            world.propose(random.randrange(3), random.choice(FATES))
            world.read(random.randrange(3))
            world.read(random.randrange(3))
            world.tick()
        world.verify()
        total += len(world.arrivals)
    assert total > 50


class Ceiling(RuleBasedStateMachine):
    @initialize(per_second=st.sampled_from([0.5, 2, 5]))
    def begin(self, per_second):
        self.world = World(0, per_second)

    @rule(number=st.integers(0, 2), fate=st.sampled_from(FATES))
    def renew(self, number, fate):
        self.world.propose(number, fate)
        self.world.read(number)

    @rule(count=st.integers(1, 20), number=st.integers(0, 2))
    def run_normally(self, count, number):
        for _ in range(count):
            self.world.propose(number, 'ok')
            self.world.read(number)
            self.world.tick()

    @rule(number=st.integers(0, 2), what=st.sampled_from(DISTURBANCES))
    def disturb(self, number, what):
        disturb(self.world, number, what)

    @rule(number=st.integers(0, 2))
    def wake(self, number):
        self.world.wake(number)
        self.world.tick()

    @rule()
    def lower(self):
        if self.world.budgets[0] > 1 and len(self.world.budgets) == 1:
            self.world.budgets.append(1)

    def teardown(self):
        if hasattr(self, 'world'):
            self.world.verify()


TestCeiling = Ceiling.TestCase
TestCeiling.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
