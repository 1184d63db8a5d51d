"""Guards against a request that runs twice or is wrongly reported as not run.

Several instances use a fake log with lost responses, delayed appends, outages,
restarts, pauses, expiring records and differing clocks.
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
# Only 'ok' returns a response. 'lost' writes the batch, 'delayed' writes it
# later, 'vanished' never, and 'down' reports that it was not written. 'wait'
# sends no append.
APPEND_OUTCOMES = [
    'ok',
    'ok',
    'ok',
    'lost',
    'delayed',
    'vanished',
    'down',
    'wait',
]


class Log:
    """The whole stream; records before ``first`` can no longer be read."""

    def __init__(self):
        self.records = []
        self.first = 0


class Instance:
    def __init__(self, index):
        self.clock = ManualClock(START + timedelta(seconds=3 * (index - 1)))
        self.registry = ClaimRegistry(SETTINGS, self.clock)
        self.confirmed = []
        self.paused = False


class ClaimMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.now = START
        self.log = Log()
        self.instances = [Instance(index) for index in range(3)]
        self.in_transit = []
        self.nonces = 0
        self.expiries = {}
        self.dispatched = {}  # nonces of the dispatched requests by key
        self.given_up = set()
        self.orphans = set()  # claims whose owner was restarted

    def name_and_expiry(self, key):
        """Return a key's name and expiry; a new key replaces an expired one."""
        name, expiry = self.expiries.get(key, (f's/{key}-0', None))
        if expiry is None or expiry + timedelta(seconds=20) < self.now:
            name = f's/{key}-{len(self.log.records)}-{self.nonces}'
            expiry = self.now + timedelta(seconds=25)
            self.expiries[key] = (name, expiry)
        return self.expiries[key]

    @rule(
        index=INSTANCES,
        key=KEYS,
        wait=st.integers(1, 20),
        outcome=st.sampled_from(APPEND_OUTCOMES),
        next_step=st.sampled_from(['nothing', 'read', 'run', 'run', 'run']),
    )
    def attempt(self, index, key, wait, outcome, next_step):
        """Send a key to one instance, for the first time or again."""
        instance = self.instances[index]
        if instance.paused:
            return
        name, expiry = self.name_and_expiry(key)
        self.nonces += 1
        claim = Claim(f'n{self.nonces}', name, 'd', expiry)
        instance.registry.start_claim(
            claim, instance.clock.monotonic() + timedelta(seconds=wait)
        )
        self.append(instance, outcome)
        if next_step != 'nothing':
            self.read(instance)
        if next_step == 'run':
            self.dispatch(instance)

    @rule(
        index=INSTANCES,
        outcome=st.sampled_from(APPEND_OUTCOMES),
        retry=st.booleans(),
        limit=st.integers(1, 50),
        run=st.booleans(),
    )
    def proceed(self, index, outcome, retry, limit, run):
        """Let an instance append its entries, read a page and dispatch."""
        instance = self.instances[index]
        if instance.paused:
            return
        self.append(instance, outcome, retry)
        self.read(instance, limit)
        if run:
            self.dispatch(instance)

    def append(self, instance, outcome, retry=False):
        batch = instance.registry.next_batch(retry=retry)
        if batch is None or outcome == 'wait':
            return
        first_sends = instance.registry.mark_sending(batch)
        if outcome in {'ok', 'lost'}:
            self.log.records.append((self.now, batch))
        if outcome == 'ok':
            instance.registry.remove_entries(batch)
        if outcome == 'delayed':
            self.in_transit.append(batch)
        if outcome == 'down':
            instance.registry.mark_not_written(first_sends)

    def read(self, instance, limit=1000):
        instance.registry.table.skip_to(self.log.first)
        begin = instance.registry.table.next_offset
        records = self.log.records[begin : begin + limit]
        for offset, (time, batch) in enumerate(records, begin):
            for own_claim in instance.registry.apply_record(
                offset, time, batch
            ):
                if isinstance(own_claim.result, Claimed):
                    instance.confirmed.append(own_claim.claim)

    def dispatch(self, instance):
        while instance.confirmed:
            claim = instance.confirmed.pop()
            if not instance.registry.may_dispatch(claim.nonce):
                instance.registry.give_up(claim.nonce, 'deadline_passed')
                continue
            assert claim.nonce not in self.given_up
            runs = self.dispatched.setdefault(claim.key, [])
            runs.append(claim.nonce)
            assert len(runs) == 1, f'{claim.key} ran as {runs}'
            if self.nonces % 2:
                instance.registry.complete(claim.nonce, 200)

    @rule(position=st.integers(0, 2))
    def deliver_delayed(self, position):
        if position < len(self.in_transit):
            self.log.records.append((self.now, self.in_transit.pop(position)))

    @rule(index=INSTANCES, key=KEYS)
    def check_unclaimed(self, index, key):
        instance = self.instances[index]
        if instance.paused:
            return
        name, expiry = self.name_and_expiry(key)
        self.read(instance)
        table = instance.registry.table
        if table.holder(name) is None and table.is_complete_for(expiry):
            assert name not in self.dispatched, (
                f'{name} ran as {self.dispatched[name]}'
            )

    @rule(
        index=INSTANCES,
        fault=st.sampled_from(['restart', 'pause', 'wake', 'give up']),
    )
    def inject_fault(self, index, fault):
        instance = self.instances[index]
        if fault == 'restart':
            self.orphans.update(
                instance.registry.own_claims,
                instance.registry.unconfirmed_voids,
            )
            self.instances[index] = Instance(index)
            self.instances[index].clock.advance(self.now - START)
        if fault in {'pause', 'wake'}:
            instance.paused = fault == 'pause'
        if fault == 'give up' and not instance.paused:
            for nonce in tuple(instance.registry.own_claims):
                if any(nonce in runs for runs in self.dispatched.values()):
                    continue  # a request that ran is never voided
                instance.registry.give_up(nonce, 'voided')
                self.given_up.add(nonce)

    @rule(count=st.integers(1, 4))
    def expire_records(self, count):
        self.log.first = min(self.log.first + count, len(self.log.records))

    @rule(seconds=st.sampled_from([1, 5, 15, 40]))
    def pass_time(self, seconds):
        self.now += timedelta(seconds=seconds)
        for instance in self.instances:
            instance.clock.advance(timedelta(seconds=seconds))
        self.log.records.append((self.now, Batch()))

    def teardown(self):
        """Check that no abandoned claim still blocks its key."""
        if not hasattr(self, 'log'):
            return
        self.log.records += [(self.now, batch) for batch in self.in_transit]
        for instance in self.instances * 2:
            self.append(instance, 'ok')
            self.read(instance)
        allowed_nonces = {
            nonce for runs in self.dispatched.values() for nonce in runs
        }
        allowed_nonces |= self.orphans
        for instance in self.instances:
            self.read(instance)
            allowed_nonces.update(instance.registry.own_claims)
        for instance in self.instances:
            holders = instance.registry.table.holders.values()
            missing_until = instance.registry.table.missing_until
            assert (
                missing_until
                or {holder.nonce for holder in holders} <= allowed_nonces
            )

    @invariant()
    def memory_is_bounded(self):
        for instance in getattr(self, 'instances', ()):
            table = instance.registry.table
            assert len(table.verdicts) == len(table.expiring)
            assert len(table.holders) <= len(table.verdicts)
            bound = SETTINGS.clock_bound
            kept = [expiry + bound for expiry, _, _ in table.expiring]
            assert all(time > table.stream_time for time in kept)


@pytest.mark.parametrize('seed', range(40))
def test_long_random_runs(seed):
    """Reach states that need more steps than the state machine test takes."""
    random = Random(seed)
    machine = ClaimMachine()
    machine.begin()
    for _ in range(400):
        index, key = random.randrange(3), random.randrange(2)
        outcome = random.choice(APPEND_OUTCOMES)
        disturbance = random.choice(['restart', 'pause', 'give up'])
        match random.randrange(16):
            case 0:
                machine.inject_fault(index, disturbance)
            case 1 | 2:
                machine.inject_fault(index, 'wake')
            case 3:
                machine.pass_time(random.choice([1, 1, 5, 15, 40]))
            case 4 | 5:
                machine.deliver_delayed(random.randrange(3))
            case 6 | 7:
                machine.check_unclaimed(index, key)
            # The check in teardown needs runs without missing records.
            case 8 if seed % 2 and not random.randrange(4):
                machine.expire_records(random.randrange(1, 5))
            case 9 | 10 | 11:
                machine.proceed(index, outcome, False, 50, True)
            case _:
                wait = random.randrange(1, 20)
                next_step = random.choice(['nothing', 'read', 'run'])
                machine.attempt(index, key, wait, outcome, next_step)
        machine.memory_is_bounded()
    machine.teardown()


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
