"""Guards against a request that is dispatchable twice or wrongly not-run.

Several instances run against a fake log with lost responses, delayed appends,
outages, restarts, pauses, expiring records and clocks that differ.
"""

from datetime import datetime, timedelta, timezone
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusproxy.clock import ManualClock
from crocusproxy.ledger.claim_registry import ClaimRegistry
from crocusproxy.ledger.records import Batch, Claim
from crocusproxy.ledger.results import Claimed, LedgerSettings

SETTINGS = LedgerSettings(
    retention=timedelta(seconds=200),
    horizon=timedelta(seconds=30),
    clock_bound=timedelta(seconds=3),
)
START = datetime(2026, 1, 1, tzinfo=timezone.utc)
KEYS = st.integers(0, 1)
INSTANCES = st.integers(0, 2)
FATES = ['ok', 'ok', 'ok', 'lost', 'delayed', 'vanished', 'down', 'wait']


class Log:
    """The whole stream; records before ``first`` cannot be read."""

    def __init__(self):
        self.records = []
        self.first = 0


class Instance:
    def __init__(self, number):
        self.clock = ManualClock(START + timedelta(seconds=3 * (number - 1)))
        self.registry = ClaimRegistry(SETTINGS, self.clock)
        self.confirmed = []
        self.paused = False


class Claims(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.now = START
        self.log = Log()
        self.instances = [Instance(number) for number in range(3)]
        self.in_transit = []
        self.nonces = 0
        self.expiries = {}
        self.ran = {}  # per key, the nonces whose request was dispatched
        self.given_up = set()
        self.orphans = set()  # claims whose owner died

    def expiry(self, key):
        """Callers keep a key's expiry; a new key replaces an expired one."""
        name, expiry = self.expiries.get(key, (f's/{key}-0', None))
        if expiry is None or expiry + timedelta(seconds=20) < self.now:
            name = f's/{key}-{len(self.log.records)}-{self.nonces}'
            expiry = self.now + timedelta(seconds=25)
            self.expiries[key] = (name, expiry)
        return self.expiries[key]

    @rule(
        number=INSTANCES,
        key=KEYS,
        wait=st.integers(1, 20),
        fate=st.sampled_from(FATES),
        then=st.sampled_from(['nothing', 'read', 'run', 'run', 'run']),
    )
    def attempt(self, number, key, wait, fate, then):
        """A caller sends a key to one instance, for the first time or again."""
        one = self.instances[number]
        if one.paused:
            return
        name, expiry = self.expiry(key)
        self.nonces += 1
        claim = Claim(f'n{self.nonces}', name, 'd', expiry)
        one.registry.request(
            claim, one.clock.monotonic() + timedelta(seconds=wait)
        )
        self.append(one, fate)
        if then != 'nothing':
            self.read(one)
        if then == 'run':
            self.dispatch(one)

    @rule(
        number=INSTANCES,
        fate=st.sampled_from(FATES),
        retry=st.booleans(),
        limit=st.integers(1, 50),
        run=st.booleans(),
    )
    def proceed(self, number, fate, retry, limit, run):
        """An instance appends what waits, reads a page and dispatches."""
        one = self.instances[number]
        if one.paused:
            return
        self.append(one, fate, retry)
        self.read(one, limit)
        if run:
            self.dispatch(one)

    def append(self, one, fate, retry=False):
        batch = one.registry.next_batch(retry=retry)
        if batch is None or fate == 'wait':
            return
        newly_sent = one.registry.sending(batch)
        if fate in {'ok', 'lost'}:
            self.log.records.append((self.now, batch))
        if fate == 'ok':
            one.registry.appended(batch)
        if fate == 'delayed':
            self.in_transit.append(batch)
        if fate == 'down':
            one.registry.not_sent(newly_sent)

    def read(self, one, limit=1000):
        one.registry.table.skip_to(self.log.first)
        begin = one.registry.table.next
        records = self.log.records[begin : begin + limit]
        for offset, (time, batch) in enumerate(records, begin):
            for own in one.registry.read(offset, time, batch):
                if isinstance(own.result, Claimed):
                    one.confirmed.append(own.claim)

    def dispatch(self, one):
        while one.confirmed:
            claim = one.confirmed.pop()
            if not one.registry.may_dispatch(claim.nonce):
                one.registry.give_up(claim.nonce, 'deadline_passed')
                continue
            assert claim.nonce not in self.given_up
            runs = self.ran.setdefault(claim.key, [])
            runs.append(claim.nonce)
            assert len(runs) == 1, f'{claim.key} ran as {runs}'
            if self.nonces % 2:
                one.registry.complete(claim.nonce, 200)

    @rule(position=st.integers(0, 2))
    def arrive_late(self, position):
        if position < len(self.in_transit):
            self.log.records.append((self.now, self.in_transit.pop(position)))

    @rule(number=INSTANCES, key=KEYS)
    def ask(self, number, key):
        one = self.instances[number]
        if one.paused:
            return
        name, expiry = self.expiry(key)
        self.read(one)
        if one.registry.shows_no_claim(name, expiry):
            assert name not in self.ran, f'{name} ran as {self.ran[name]}'

    @rule(
        number=INSTANCES,
        what=st.sampled_from(['restart', 'pause', 'wake', 'give up']),
    )
    def disturb(self, number, what):
        one = self.instances[number]
        if what == 'restart':
            self.orphans.update(one.registry.own, one.registry.voids)
            self.instances[number] = Instance(number)
            self.instances[number].clock.advance(self.now - START)
        if what in {'pause', 'wake'}:
            one.paused = what == 'pause'
        if what == 'give up' and not one.paused:
            for nonce in tuple(one.registry.own):
                if any(nonce in runs for runs in self.ran.values()):
                    continue  # a request that ran is never voided
                one.registry.give_up(nonce, 'voided')
                self.given_up.add(nonce)

    @rule(count=st.integers(1, 4))
    def expire_records(self, count):
        self.log.first = min(self.log.first + count, len(self.log.records))

    @rule(seconds=st.sampled_from([1, 5, 15, 40]))
    def pass_time(self, seconds):
        self.now += timedelta(seconds=seconds)
        for one in self.instances:
            one.clock.advance(timedelta(seconds=seconds))
        self.log.records.append((self.now, Batch()))

    def teardown(self):
        """Check that no key stays blocked by a claim that was given up."""
        if not hasattr(self, 'log'):
            return
        self.log.records += [(self.now, batch) for batch in self.in_transit]
        for one in self.instances * 2:
            self.append(one, 'ok')
            self.read(one)
        allowed = {nonce for runs in self.ran.values() for nonce in runs}
        allowed |= self.orphans
        for one in self.instances:
            self.read(one)
            allowed.update(one.registry.own)
        for one in self.instances:
            holders = one.registry.table.holders.values()
            missed = one.registry.table.missing_until
            assert missed or {each.nonce for each in holders} <= allowed

    @invariant()
    def memory_is_bounded(self):
        for one in getattr(self, 'instances', ()):
            table = one.registry.table
            assert len(table.verdicts) == len(table.expiring)
            assert len(table.holders) <= len(table.verdicts)
            bound = SETTINGS.clock_bound
            kept = [expiry + bound for expiry, _, _ in table.expiring]
            assert all(time > table.stream_time for time in kept)


@pytest.mark.parametrize('seed', range(40))
def test_long_random_runs(seed):
    """Reach states behind more steps than the search below takes."""
    random = Random(seed)
    machine = Claims()
    machine.begin()
    for _ in range(400):
        number, key = random.randrange(3), random.randrange(2)
        fate = random.choice(FATES)
        disturbance = random.choice(['restart', 'pause', 'give up'])
        match random.randrange(16):
            case 0:
                machine.disturb(number, disturbance)
            case 1 | 2:
                machine.disturb(number, 'wake')
            case 3:
                machine.pass_time(random.choice([1, 1, 5, 15, 40]))
            case 4 | 5:
                machine.arrive_late(random.randrange(3))
            case 6 | 7:
                machine.ask(number, key)
            # The check at the end needs runs in which no record is missed.
            case 8 if seed % 2 and not random.randrange(4):
                machine.expire_records(random.randrange(1, 5))
            case 9 | 10 | 11:
                machine.proceed(number, fate, False, 50, True)
            case _:
                wait = random.randrange(1, 20)
                then = random.choice(['nothing', 'read', 'run'])
                machine.attempt(number, key, wait, fate, then)
        machine.memory_is_bounded()
    machine.teardown()


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
