"""Guards against members that don't know of an evacuation, or of its end."""

import asyncio

from crocusproxy.protocol.codec import decode, encode
from crocusproxy.protocol.home_feed import FeedMessage

from .test_feed_source import run_site

#: Time in which all members know the domain homes after an evacuation.
MAX_ASSIGNMENT_SECONDS = 1.0


def find_home(nodes):
    (home,) = [node for node in nodes.values() if node.elector.is_home]
    return home


def domains_of_homes(node):
    """Return the failure domain of the home of each failure domain."""
    homes = node.domain_homes.assignment.homes
    return {home.failure_domain: home.member.failure_domain for home in homes}


def running(nodes):
    return [node for node in nodes.values() if node.task is not None]


def test_callers_of_an_evacuated_failure_domain_get_another_home_and_return():
    async def scenario(network, nodes):
        before = find_home(nodes).domain_homes.assignment
        for evacuated, homes in (
            (('a',), {'a': 'b', 'b': 'b', 'c': 'c'}),
            (('a', 'b'), {'a': 'c', 'b': 'c', 'c': 'c'}),
            ((), {'a': 'a', 'b': 'b', 'c': 'c'}),
        ):
            find_home(nodes).catalog.apply_evacuated(evacuated)
            await asyncio.sleep(MAX_ASSIGNMENT_SECONDS)
            for node in nodes.values():
                assert node.catalog.evacuated == set(evacuated)
                assert domains_of_homes(node) == homes
                # Members in evacuated failure domains go on as members.
                assert node.home == find_home(nodes).name
        assert find_home(nodes).domain_homes.assignment == before

    run_site(scenario, 'abc')


def test_evacuation_outlives_the_home_and_a_store_without_it():
    """A new home without the store would use the upstreams again."""

    async def scenario(network, nodes):
        lost = find_home(nodes)
        lost.catalog.apply_evacuated(('a',))
        await asyncio.sleep(MAX_ASSIGNMENT_SECONDS)
        lost.kill()
        await asyncio.sleep(5)
        for node in running(nodes):
            assert node.catalog.evacuated == {'a'}
            assert domains_of_homes(node) == {'a': 'b', 'b': 'b'}

    run_site(scenario)


def test_member_that_starts_later_knows_the_evacuation():
    async def scenario(network, nodes):
        find_home(nodes).catalog.apply_evacuated(('a',))
        await asyncio.sleep(MAX_ASSIGNMENT_SECONDS)
        late = network.add('a9', 'a')
        late.start([find_home(nodes).elector.member_list.own])
        await asyncio.sleep(3)
        assert late.catalog.evacuated == {'a'}

    run_site(scenario)


def test_message_without_the_field_changes_nothing():
    """A home of an older build sends none."""
    message = decode(FeedMessage, b'{"epoch": 3}')
    assert message.evacuated is None


def test_field_that_a_build_does_not_know_is_ignored():
    """An older build would otherwise lose the feed of a newer home."""
    encoded = encode(FeedMessage(epoch=3, evacuated=('a',)))
    renamed = encoded.replace(b'"evacuated"', b'"of_a_later_build"')
    assert decode(FeedMessage, renamed) == FeedMessage(epoch=3)
