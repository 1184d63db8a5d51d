"""Guards against readers that disagree, or whose generation decreases.

The state machine combines publications, duplicated and reordered appends,
interleaved snapshots by several instances, corrupt parts, expiry of records,
restarts and replies of peers in any order.
"""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crocusproxy.config.change import Delete
from crocusproxy.config.feed_cache import FeedCache
from crocusproxy.config.model import Document
from crocusproxy.config.reader import ConfigStreamReader
from crocusproxy.config.snapshot import make_snapshot
from crocusproxy.config.verdict import Accepted, Rejected
from crocusproxy.platform_client import Page, StoredRecord
from crocusproxy.protocol.codec import decode, to_plain
from crocusproxy.protocol.document_feed import DocumentReply, apply_reply
from tests.config.samples import AT, change, put_service, put_upstream

NAMES = ('a', 'b', 'c')
READERS = st.integers(0, 3)


class Log:
    """An in-memory log service; ``limit`` is the maximum page size."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.limit = 1000

    async def read(self, stream, start, wait):
        begin = max(start, self.first)
        found = self.records[begin : begin + self.limit]
        return Page(self.first, begin + len(found), tuple(found))

    def append(self, message):
        data = json.loads(json.dumps(message))
        self.records.append(StoredRecord(len(self.records), AT, data))


class Instance:
    def __init__(self, log):
        self.reader = ConfigStreamReader(log)
        self.feed_cache = FeedCache()
        self.seen_generation = 0

    def poll(self):
        try:
            self.reader.poll().send(None)
        except StopIteration as result:
            self.feed_cache.offer_document(self.reader.state.document)
            return result.value

    def catch_up(self):
        while self.poll():
            continue


class Readers(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.log = Log()
        self.instances = [Instance(self.log) for _ in range(4)]
        self.prepared = []
        self.submissions = 0
        self.documents = {0: Document()}
        self.verdicts = {}

    @rule(
        reader=READERS,
        service=st.sampled_from(NAMES),
        number=st.integers(1, 3),
        kind=st.sampled_from(('service', 'upstream', 'delete', 'malformed')),
    )
    def prepare_change(self, reader, service, number, kind):
        edits = {
            'service': (put_service(service, homes=number),),
            'upstream': (
                put_service(service),
                put_upstream(service, f'u{number}', number, f'fd{number % 2}'),
            ),
            'delete': (Delete('service', service),),
            'malformed': (put_service(service, homes=0),),
        }[kind]
        self.submissions += 1
        base = self.instances[reader].feed_cache.document.generation
        submission = change(f's{self.submissions}', base, *edits)
        self.prepared.append(to_plain(submission))

    @precondition(lambda self: self.prepared)
    @rule(choice=st.integers(0, 100), duplicated=st.booleans())
    def append_any(self, choice, duplicated):
        """Append in any order; a retried append leaves a second record."""
        self.append(choice, duplicated)

    def append(self, choice, duplicated):
        message = self.prepared.pop(choice % len(self.prepared))
        for _ in range(1 + duplicated):
            self.log.append(message)
        if message['type'] == 'change':
            self.expect_verdict(message)

    @rule()
    def append_all(self):
        while self.prepared:
            self.append(0, duplicated=False)

    def expect_verdict(self, message):
        generation = len(self.documents) - 1
        if message['base'] != generation:
            verdict = Rejected('generation_conflict', generation)
        else:
            verdict = self.expected_verdict(message['edits'], generation)
        self.verdicts[message['submission']] = verdict

    def expected_verdict(self, edits, generation):
        """Compute the expected verdict without the code under test."""
        document = self.documents[generation]
        services = dict(document.services)
        upstreams = dict(document.upstreams)
        for edit in edits:
            valid = True
            if edit['op'] == 'delete':
                valid = edit['key'] in services and not any(
                    upstream.service == edit['key']
                    for upstream in upstreams.values()
                )
                services.pop(edit['key'], None)
            elif edit['kind'] == 'service':
                valid = edit['value']['homes'] > 0
                homes = edit['value']['homes']
                services[edit['key']] = put_service(
                    edit['key'], homes=homes
                ).value
            else:
                port = int(edit['value']['address'].partition(':')[2])
                put = put_upstream(
                    edit['value']['service'],
                    edit['value']['name'],
                    port,
                    edit['value']['failure_domain'],
                )
                upstreams[put.key] = put.value
            if not valid:
                return 'config_invalid'
        self.documents[generation + 1] = Document(
            generation + 1, services, upstreams
        )
        return Accepted(generation + 1)

    @rule(reader=READERS, corrupt=st.booleans())
    def prepare_snapshot(self, reader, corrupt):
        state = self.instances[reader].reader.state
        if not state.has_baseline or not state.document.generation:
            return
        document = state.document
        parts = [
            to_plain(part)
            for part in make_snapshot(document, state.verdicts, state.offset)
        ]
        if corrupt:
            parts[0]['services'] = parts[0]['services'][1:]
        self.prepared.extend(parts)

    @rule(reader=st.integers(1, 3), expired_count=st.integers(0, 2))
    def restart_after_an_interleaved_snapshot(self, reader, expired_count):
        """Restart a reader after a snapshot whose parts a change separates.

        Up to two records have expired: a change before the first part, and
        also that part.
        """
        up_to_date = self.instances[0]
        up_to_date.catch_up()
        state = up_to_date.reader.state
        if not state.document.generation:
            return
        parts = make_snapshot(state.document, state.verdicts, state.offset)
        self.publish_change(homes=1)
        self.log.append(to_plain(parts[0]))
        self.publish_change(homes=2)
        for part in parts[1:]:
            self.log.append(to_plain(part))
        self.log.first = max(self.log.first, state.offset + 1 + expired_count)
        self.restart(reader)

    def publish_change(self, homes):
        self.instances[0].catch_up()
        self.prepare_change(0, 'a', homes, 'service')
        self.append(len(self.prepared) - 1, duplicated=False)

    @rule(reader=READERS, limit=st.integers(1, 4))
    def poll(self, reader, limit):
        self.log.limit = limit
        self.instances[reader].poll()
        self.log.limit = 1000

    @rule(reader=READERS, peer=READERS, edits=st.booleans())
    def fetch_from_peer(self, reader, peer, edits):
        feed_cache = self.instances[reader].feed_cache
        current = feed_cache.document
        states = self.instances[peer].feed_cache.documents
        body = states.body(current.generation, edits=edits)
        reply = decode(DocumentReply, body)
        feed_cache.offer_document(apply_reply(current, reply))

    @rule(count=st.integers(1, 6))
    def expire(self, count):
        # One reader has read the expired records; the others may not have.
        self.instances[0].catch_up()
        self.log.first = min(self.log.first + count, len(self.log.records))

    @rule(reader=st.integers(1, 3))
    def restart(self, reader):
        self.instances[reader] = Instance(self.log)

    @invariant()
    def generations_never_decrease_and_contents_agree(self):
        for instance in getattr(self, 'instances', ()):
            document = instance.feed_cache.document
            assert document.generation >= instance.seen_generation
            instance.seen_generation = document.generation
            assert document == self.documents[document.generation]
            read_document = instance.reader.state.document
            assert read_document == self.documents[read_document.generation]

    def teardown(self):
        if not hasattr(self, 'instances'):
            return
        up_to_date = self.instances[0]
        up_to_date.catch_up()
        state = up_to_date.reader.state
        if state.document.generation:
            parts = make_snapshot(state.document, state.verdicts, state.offset)
            for part in parts:
                self.log.append(to_plain(part))
        for instance in self.instances:
            instance.catch_up()
        self.generations_never_decrease_and_contents_agree()
        assert {
            one.feed_cache.document.generation for one in self.instances
        } == {len(self.documents) - 1}
        for instance in self.instances:
            self.check_verdicts(instance.reader.state)

    def check_verdicts(self, state):
        if state.has_baseline:
            assert state.verdicts.keys() == self.verdicts.keys()
        for submission, verdict in state.verdicts.items():
            expected = self.verdicts[submission]
            if expected == 'config_invalid':
                assert verdict.code == expected
            else:
                assert verdict == expected


Readers.TestCase.settings = settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestReaders = Readers.TestCase
