"""Drives the store's readers through restores of the store in any order.

Guards against state that is lost or comes back when the store is restored from
a copy: a configuration that is replaced by an older one, a removed upstream
that gets requests again, a live one that is dropped, and a record that is
missed because its offset named another one before.
"""

from datetime import timedelta
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusproxy.clock import ManualClock
from crocusproxy.membership.catalog import Catalog
from crocusproxy.platform.outage import StoreOutage
from crocusproxy.platform.recovery_grace import RECOVERY_GRACE
from crocusproxy.platform.store_records import (
    ExpiredPositionError,
    KeyedRecord,
    RecordPage,
    StorePosition,
)
from crocusproxy.platform.watch import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    UPSTREAM_TOPIC,
    ConfigWatch,
    UpstreamWatch,
)
from standins.virtual_time import VirtualLoop

from .test_watch import HEARTBEAT, encode_config, encode_entry

KEYS = ('i-1', 'i-2', 'i-3')
keys = st.sampled_from(KEYS)


class MemoryStore:
    """Keyed topics in memory, read as over the store's interface."""

    def __init__(self, tracker):
        self.incarnation = tracker
        self.number = 1
        self.records = {CONFIG_TOPIC: [], UPSTREAM_TOPIC: []}

    def put(self, topic, key, content):
        self.records[topic].append(KeyedRecord(key, content))

    def copy(self):
        return {
            topic: tuple(records) for topic, records in self.records.items()
        }

    def restore(self, copy):
        self.number += 1
        self.records = {topic: list(records) for topic, records in copy.items()}

    async def newest(self, topic):
        self.incarnation.observe(self.number)
        newest = {record.key: record for record in self.records[topic]}
        listed = tuple(record for record in newest.values() if record.content)
        end = StorePosition(self.number, len(self.records[topic]))
        return RecordPage(listed, end)

    async def read(self, topic, start, wait=None):
        self.incarnation.observe(self.number)
        records = tuple(self.records[topic][start.offset :])
        return RecordPage(records, start.advance(self.number, len(records)))


class RestoredStoreMachine(RuleBasedStateMachine):
    """An operator, three servers and the readers of one home."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.clock = ManualClock()
        self.catalog = Catalog()
        self.store = MemoryStore(self.catalog.store_incarnation)
        outage = StoreOutage(Random(1))
        reader = (self.store, self.catalog, self.clock, outage)
        self.watches = (
            ConfigWatch(*reader),
            UpstreamWatch(*reader, HEARTBEAT),
        )
        self.copies = [self.store.copy()]
        self.version = 0
        self.sequences = {}
        self.versions_in_force = []
        self.removed_reports = {}
        self.publish()

    @rule()
    def publish(self):
        self.version += 1
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, encode_config(self.version))

    @rule(key=keys)
    def heartbeat(self, key):
        """Register a server, or write its entry again."""
        self.sequences[key] = max(
            self.sequences.get(key, 0), self.removed_reports.get(key, 0)
        )
        self.sequences[key] += 1
        self.store.put(
            UPSTREAM_TOPIC, key, encode_entry(sequence=self.sequences[key])
        )

    @rule(key=keys)
    def remove(self, key):
        """Remove the entry of a server that ends."""
        if key in self.sequences:
            self.removed_reports[key] = self.sequences.pop(key)
            self.store.put(UPSTREAM_TOPIC, key, b'')

    @rule()
    def take_copy(self):
        self.copies.append(self.store.copy())

    @rule(number=st.integers(0, 100))
    def restore(self, number):
        """Restore a copy; operator and servers notice and write again."""
        self.store.restore(self.copies[number % len(self.copies)])

    @rule()
    def rewrite(self):
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, encode_config(self.version))
        for key in tuple(self.sequences):
            self.heartbeat(key)
        for key in self.removed_reports.keys() - self.sequences.keys():
            self.store.put(UPSTREAM_TOPIC, key, b'')

    @rule()
    def poll(self):
        for watch in self.watches:
            self.loop.run_until_complete(self.poll_once(watch.topic_watch))

    @rule(seconds=st.sampled_from((0.1, 1, 3)))
    def pass_time(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    async def poll_once(self, topic_watch):
        try:
            await topic_watch.poll()
        except ExpiredPositionError:
            topic_watch.position = None
            await topic_watch.poll()

    @invariant()
    def configuration_never_goes_back(self):
        config = self.catalog.config
        if config is not None:
            self.versions_in_force.append(config.version)
        assert self.versions_in_force == sorted(self.versions_in_force)

    def teardown(self):
        self.rewrite()
        self.poll()
        for key in self.sequences:
            assert key in self.catalog.upstreams
        # The removals of a restored store are applied after a delay.
        self.clock.advance(RECOVERY_GRACE)
        self.poll()
        assert self.catalog.config.version == self.version
        assert self.catalog.upstreams.keys() == self.sequences.keys()
        self.loop.close()


RestoredStoreMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
TestRestoredStoreMachine = RestoredStoreMachine.TestCase


def make_machine():
    machine = RestoredStoreMachine()
    machine.heartbeat('i-1')
    machine.poll()
    return machine


def test_upstream_that_the_copy_lacks_keeps_its_requests():
    """Live upstreams register again within seconds."""
    machine = make_machine()
    machine.restore(0)
    machine.poll()
    assert 'i-1' in machine.catalog.upstreams
    machine.teardown()


def test_removed_upstream_that_the_copy_contains_stays_removed():
    """It has ended, so requests to it would fail."""
    machine = make_machine()
    machine.take_copy()
    machine.remove('i-1')
    machine.poll()
    machine.restore(1)
    machine.poll()
    assert 'i-1' not in machine.catalog.upstreams
    machine.teardown()


def test_configuration_of_the_copy_does_not_replace_a_newer_one():
    machine = make_machine()
    machine.take_copy()
    machine.publish()
    machine.poll()
    machine.restore(1)
    machine.poll()
    assert machine.catalog.config.version == 2
    machine.teardown()


def test_record_at_a_reused_offset_is_read():
    """Its offset had been read before the restore."""
    machine = make_machine()
    machine.take_copy()
    machine.heartbeat('i-2')
    machine.poll()
    machine.restore(1)
    machine.heartbeat('i-3')
    machine.poll()
    assert 'i-3' in machine.catalog.upstreams
    machine.teardown()
