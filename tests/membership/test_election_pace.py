"""Guards against elections that overload the members that should lead.

Seen on a played day of 312 instances (trouble-1 of ondasur-boletines-large):
after a loss of all instances, dozens of small members became home at once.
"""

import asyncio
from collections import Counter
from datetime import timedelta

from crocusproxy.membership.election_pace import (
    CANDIDATES,
    MAX_DEFERENCE,
    MAX_QUERIED_MEMBERS,
    QUERIED_IN_DOMAIN,
    DomainResponses,
    lead_delay,
    queried_members,
)
from crocusproxy.membership.feed_server import HEARTBEAT_INTERVAL_SECONDS
from crocusproxy.membership.member_client import (
    FEED_TIMEOUT_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
)
from crocusproxy.membership.rival_homes import (
    CHECKED_BEST_MEMBERS,
    checked_members,
    find_better_home,
)
from crocusproxy.protocol.home_feed import Member, MemberView
from standins.virtual_time import VirtualLoop

from .network import Network

NOW = timedelta()


def member(name, capacity=1.0):
    return Member(name, name[0], name, name, capacity, 1)


LARGE = [
    member(f'{domain}{number}', 2.0) for domain in 'ab' for number in '123'
]
SMALL = [
    member(f'{domain}x{number:02}') for domain in 'ab' for number in range(40)
]
SITE = sorted([*LARGE, *SMALL], key=lambda one: one.rank)


def others_of(own):
    return [one for one in SITE if one != own]


def queried_by(own, elapsed=NOW, round_number=0):
    return queried_members(own, others_of(own), elapsed, round_number)


def test_members_that_should_not_lead_send_few_queries():
    queried = queried_by(SMALL[39])
    assert len(queried) <= QUERIED_IN_DOMAIN + 1
    assert set(LARGE[:3]) <= set(queried)


def test_no_member_is_queried_by_all_others():
    counts = Counter(one for own in SITE for one in queried_by(own))
    assert max(counts.values()) <= len(SITE) // 2 + CANDIDATES


def test_best_members_query_each_other():
    assert set(queried_by(LARGE[0])) >= set(LARGE[1:])
    assert len(queried_by(LARGE[0])) == MAX_QUERIED_MEMBERS


def test_all_query_the_best_members_if_none_of_them_leads():
    """The few members that they query may all be lost."""
    later = MAX_DEFERENCE + timedelta(milliseconds=1)
    assert len(queried_by(SMALL[39], later)) == MAX_QUERIED_MEMBERS


def test_queries_reach_every_member_in_time_even_if_all_best_ones_are_lost():
    """The same members were queried until a second home took over."""
    later = MAX_DEFERENCE + timedelta(milliseconds=1)
    own = SMALL[39]
    queried = set()
    for number in range(len(SITE)):
        queried.update(queried_by(own, later, number))
    assert queried == set(others_of(own))
    queried = set()
    for number in range(len(SITE)):
        queried.update(queried_by(own, NOW, number))
    assert queried >= {one for one in others_of(own) if one.name[0] == 'a'}


def test_only_candidate_of_a_query_is_in_no_silent_domain():
    """Candidates in turn took three rounds more after a loss of a domain."""
    own = SMALL[39]
    for number in range(CANDIDATES):
        others = others_of(own)
        queried = queried_members(own, others, NOW, number, {'b'})
        candidates = set(queried).intersection(SITE[:CANDIDATES])
        assert any(one.failure_domain == 'a' for one in candidates)
        assert not any(one.failure_domain == 'b' for one in queried)
        assert len(queried) <= QUERIED_IN_DOMAIN + 1
    # With no other ones left, silent domains are queried as well.
    queried = queried_members(own, others, NOW, 0, {'a', 'b'})
    assert queried == queried_by(own)


def test_domain_that_has_responded_is_not_silent():
    """A member that is lost alone must not keep its domain from queries."""
    responses = DomainResponses('a')
    responses.record(member('b1'), has_responded=False)
    responses.record(member('c1'), has_responded=False)
    responses.record(member('c2'), has_responded=True)
    assert responses.silent_domains() == {'b'}


def test_members_of_a_small_site_query_all_others():
    site = SITE[:15]
    for own in site:
        others = [one for one in site if one != own]
        assert queried_members(own, others, NOW) == tuple(others)


def test_best_member_leads_at_once():
    """A delay would lengthen each loss of a home."""
    assert lead_delay(SITE[0], SITE[1:]) == timedelta()


def test_small_members_lead_one_after_the_other():
    delays = [lead_delay(one, others_of(one)) for one in SITE]
    assert delays == sorted(set(delays))
    assert delays[len(LARGE)] >= timedelta(milliseconds=500)


def test_home_checks_the_best_members_and_one_in_rotation():
    """Two homes that only check in rotation would coexist for minutes."""
    others = others_of(SITE[-1])
    checks = [checked_members(others, count) for count in range(len(others))]
    assert all(set(LARGE[:CHECKED_BEST_MEMBERS]) <= set(one) for one in checks)
    assert {one for check in checks for one in check} == set(others)
    assert checked_members([], 0) == ()


def test_home_yields_to_a_better_one_only():
    own = MemberView(LARGE[1], 'home', 2, LARGE[1])
    better = MemberView(SMALL[0], 'attached', 2, LARGE[0])
    worse = MemberView(SMALL[0], 'attached', 1, SMALL[3])
    searching = MemberView(SMALL[1], 'searching')
    assert find_better_home(own, [None, searching, worse]) is None
    assert find_better_home(own, [worse, better]) == better


def play_loss_of_all(slow_starts):
    """Start all members of a site at once and return the names that led.

    ``slow_starts`` are seconds by which members start later. Each query costs
    its receiver processor time.
    """
    loop = VirtualLoop()
    network = Network(loop)
    network.query_seconds = 0.004
    names = [one.name for one in SITE]
    for one in SITE:
        network.add(one.name, one.failure_domain, one.capacity)
    led = []

    async def run():
        for name in names:
            node = network.nodes[name]
            lead = node.lead

            def record(name=name, lead=lead):
                led.append(name)
                lead()

            node.lead = record
            delay = slow_starts.get(name, 0.001)
            loop.call_later(delay, node.start, SITE)
        await asyncio.sleep(6)
        homes = {node.home for node in network.running()}
        assert len(homes) == 1

    loop.run_until_complete(run())
    for node in network.running():
        node.kill()
    loop.run_until_complete(asyncio.sleep(0.1))
    return led


def test_one_member_leads_after_a_loss_of_all():
    assert play_loss_of_all({}) == ['a1']


def test_few_members_lead_while_all_large_ones_are_slow_to_start():
    late = {one.name: 0.9 + 0.01 * n for n, one in enumerate(LARGE)}
    assert len(play_loss_of_all(late)) <= 3


def test_best_member_leads_without_waiting_for_members_without_power():
    """Requests were refused for the time-out of a query after a loss of all."""
    loop = VirtualLoop()
    network = Network(loop)
    for one in SITE:
        network.add(one.name, one.failure_domain, one.capacity)
    for one in SMALL[:3]:
        network.isolate(one.name)

    async def scenario():
        for node in network.nodes.values():
            node.start(SITE)
        await asyncio.sleep(0.15)
        assert network.nodes[LARGE[0].name].elector.is_home
        await asyncio.sleep(3)

    loop.run_until_complete(scenario())
    for node in network.running():
        node.kill()
    loop.run_until_complete(asyncio.sleep(0.1))


def test_silent_members_of_other_domains_only_count_as_a_lost_domain():
    """After a loss of all, overloaded members would all lead at once."""
    silent = [one for one in LARGE if one.failure_domain == 'a']
    responses = DomainResponses('b')
    for one in silent:
        responses.record(one, has_responded=False)
    assert not responses.lost_domains()
    responses.record(SMALL[-1], has_responded=True)
    assert responses.lost_domains() == {'a'}
    responses.own_domain = 'a'
    assert not responses.lost_domains()


def test_election_does_not_wait_for_the_lost_home():
    """Each round waited for the lost home, which has the best rank.

    With real processes, a configuration was in force 2.12 s after it was
    published, when the home was stopped and its failure domain had lost the
    store.
    """
    loop = VirtualLoop()
    network = Network(loop)
    names = [f'{domain}{number}' for number in range(3) for domain in 'abc']
    members = [member(name) for name in sorted(names)]
    for one in members:
        network.add(one.name, one.failure_domain, one.capacity)

    async def scenario():
        for node in network.nodes.values():
            node.start(members)
        await asyncio.sleep(3)
        assert network.nodes['a0'].elector.is_home
        network.isolate('a0')
        # A heartbeat, the time-out of the feed, and less than that of a query.
        await asyncio.sleep(
            HEARTBEAT_INTERVAL_SECONDS
            + FEED_TIMEOUT_SECONDS
            + 0.9 * REQUEST_TIMEOUT_SECONDS
        )
        homes = {network.nodes[name].home for name in names if name != 'a0'}
        assert homes == {'a1'}

    loop.run_until_complete(scenario())
    for node in network.running():
        node.kill()
    loop.run_until_complete(asyncio.sleep(0.1))
