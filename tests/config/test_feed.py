"""Guards against feeds that send too much, too little or an older state."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.config.change import RULES_VERSION, Delete, apply_edits
from crocusproxy.config.distribution_tree import (
    FAN_OUT,
    READERS_PER_DOMAIN,
    is_reader,
    poll_addresses,
    ranked_instances,
)
from crocusproxy.config.feed_cache import FeedCache
from crocusproxy.config.model import Document
from crocusproxy.config.peers import PeerRotation
from crocusproxy.errors import NotReachableError
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.codec import MalformedMessageError, decode, encode
from crocusproxy.protocol.document_feed import (
    DocumentReply,
    RulesUnknownError,
    apply_reply,
)
from crocusproxy.protocol.follow import FeedFollower
from crocusproxy.protocol.view_feed import ViewReply, apply_view
from tests.config.samples import put_service, put_upstream

FIRST = apply_edits(
    Document(), [put_service('s'), put_upstream('s', 'a'), put_service('t')], 1
)
SECOND = apply_edits(
    FIRST,
    [
        put_upstream('s', 'b', 9001),
        Delete('upstream', 's/a'),
        Delete('service', 't'),
    ],
    2,
)


def cached_states(*documents):
    feed_cache = FeedCache()
    for document in documents:
        feed_cache.offer_document(document)
    return feed_cache.documents


def test_a_client_receives_only_the_edits_since_its_generation():
    reply = decode(
        DocumentReply, cached_states(FIRST, SECOND).body(1, edits=True)
    )
    assert reply == DocumentReply(
        2,
        upstreams={'s/b': SECOND.upstreams['s/b']},
        removed_services=('t',),
        removed_upstreams=('s/a',),
        base=1,
    )
    assert apply_reply(FIRST, reply) == SECOND


def test_a_client_that_is_too_far_behind_receives_the_whole_document():
    generations = [Document(number) for number in range(2, 80)]
    states = cached_states(FIRST, *generations, apply_edits(FIRST, [], 80))
    reply = decode(DocumentReply, states.body(1, edits=True))
    assert reply.base == 0
    assert apply_reply(FIRST, reply).services == FIRST.services


def test_an_older_client_that_requests_no_edits_can_decode_the_reply():
    body = cached_states(FIRST, SECOND).body(1, edits=False)
    assert decode(Document, body) == SECOND


def test_the_plain_document_of_an_older_daemon_can_be_applied():
    reply = decode(DocumentReply, encode(SECOND))
    assert apply_reply(FIRST, reply) == SECOND


def test_a_client_that_is_ahead_of_its_peer_keeps_its_generation():
    for edits in (True, False):
        reply = decode(DocumentReply, cached_states(FIRST).body(2, edits=edits))
        assert apply_reply(SECOND, reply) is SECOND


def test_edits_to_another_generation_are_rejected():
    with pytest.raises(MalformedMessageError):
        apply_reply(FIRST, DocumentReply(9, base=5))


def test_a_document_with_newer_rules_is_rejected():
    with pytest.raises(RulesUnknownError):
        apply_reply(FIRST, DocumentReply(9, rules=RULES_VERSION + 1))


def instance(number, domain='fd0', state='live'):
    address = f'127.0.0.1:{number}'
    name = f'i{number}'
    return Instance(name, domain, state, address, address, address, address)


def test_applying_the_edits_of_a_view_gives_the_newer_view():
    old = InstanceView(1, (instance(1), instance(2)), frozenset({'s/a'}))
    new = InstanceView(
        4, (instance(2, state='leaving'), instance(3)), frozenset({'s/b'})
    )
    feed_cache = FeedCache()
    feed_cache.offer_view(old)
    feed_cache.offer_view(new)
    for current, edits in ((old, True), (old, False), (InstanceView(), True)):
        body = feed_cache.views.body(current.version, edits=edits)
        assert apply_view(current, decode(ViewReply, body)) == new
    assert decode(InstanceView, feed_cache.views.body(1, edits=False)) == new


def test_few_instances_read_the_platform_and_all_others_reach_a_reader():
    count = 100
    view = InstanceView(1, tuple(instance(number) for number in range(count)))
    readers = {
        one.config for one in view.instances if is_reader(view, one.name, 'fd0')
    }
    assert len(readers) == READERS_PER_DOMAIN
    parents = {
        one.config: poll_addresses(view, one.name, 'fd0')[0]
        for one in view.instances
        if one.config not in readers
    }
    polled = list(parents.values())
    assert max(map(polled.count, polled)) <= FAN_OUT
    for address in parents:
        for _ in range(4):
            address = parents.get(address, address)
        assert address in readers


def test_a_frozen_peer_is_not_retried_after_each_reply_of_another():
    polled = []

    async def poll(address, wait):
        polled.append(address)
        if address == 'frozen':
            raise NotReachableError(address)
        return address != 'behind'

    async def rotate():
        rotation = PeerRotation()
        peers = ('frozen', 'behind', 'good')
        return [await rotation.poll(peers, poll) for _ in range(65)]

    assert all(asyncio.run(rotate()))
    assert polled[:4] == ['frozen', 'behind', 'good', 'good']
    assert polled.count('frozen') == 2


def test_a_frozen_daemon_cannot_delay_a_change_for_long():
    # The target for a change to be in force is 10 s, and a poll of a frozen
    # daemon ends up to 2 s after its wait.
    waits = []

    class Feed:
        address = 'frozen'

        async def document(self, after, wait, current):
            waits.append(wait)
            follower.tasks[0].cancel()

        async def view(self, after, wait, current):
            waits.append(wait)
            follower.tasks[1].cancel()

    async def follow():
        await follower.start()
        await asyncio.gather(*follower.tasks, return_exceptions=True)

    follower = FeedFollower((Feed(),), ManualClock())
    asyncio.run(follow())
    assert len(waits) == 2
    assert max(waits) <= timedelta(seconds=3)


def test_the_platform_is_read_only_after_every_peer_has_failed():
    async def poll(address, wait):
        return False

    async def rotate():
        rotation = PeerRotation()
        return [await rotation.poll(('a', 'b'), poll) for _ in range(4)]

    assert asyncio.run(rotate()) == [True, False, True, False]


def test_the_failure_of_a_reader_promotes_only_the_next_in_order():
    members = tuple(instance(number) for number in range(10))
    before = ranked_instances(InstanceView(1, members), 'fd0')
    rest = tuple(one for one in members if one != before[0])
    after = ranked_instances(InstanceView(2, rest), 'fd0')
    assert after == before[1:]


def test_an_instance_alone_in_its_failure_domain_reads_the_platform():
    view = InstanceView(1, (instance(1, 'fd1'),))
    assert is_reader(view, 'new', 'fd0')
    assert not is_reader(view, 'new', 'fd1')
    assert poll_addresses(view, 'new', 'fd1') == ('127.0.0.1:1',)
