"""Guards against one home for a site because of one small service.

Also guards against callers or services that move when upstreams restart.
"""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.membership.domain_homes import (
    DomainHomeTable,
    assign_domain_homes,
)
from crocusproxy.membership.domain_split import (
    MIN_SLOTS_TO_SPLIT,
    MIN_SLOTS_TO_STAY,
)
from crocusproxy.protocol.codec import decode, encode
from crocusproxy.protocol.home_feed import DomainHome, DomainHomes, Member
from crocusproxy.routes.model import RegisteredUpstream
from standins.virtual_time import VirtualLoop

from .network import Network, play
from .test_reach_machine import start_members

DOMAINS = ('a', 'b', 'c')
MEMBERS = [
    Member(f'{domain}{number}', domain, '', '', 1.0, 1)
    for domain in DOMAINS
    for number in range(2)
]
#: Slots of each service in each of three failure domains.
UNEVEN = (148, 104, 172, 24)


def same_slots(counts, domains=DOMAINS):
    return {
        domain: {f's{number}': slots for number, slots in enumerate(counts)}
        for domain in domains
    }


def assigned(slots, current=DomainHomes(), members=MEMBERS):
    return assign_domain_homes(current, members, 'a0', slots)


def names(assignment):
    return {home.failure_domain: home.member.name for home in assignment.homes}


def with_slots(slots, domain, **changes):
    return {**slots, domain: {**slots[domain], **changes}}


def test_small_service_is_shared_and_does_not_prevent_a_split():
    assignment = assigned(same_slots(UNEVEN))
    assert names(assignment) == {'a': 'a1', 'b': 'b0', 'c': 'c0'}
    assert assignment.shared == ('s3',)


def test_site_with_enough_slots_of_each_service_shares_none():
    assignment = assigned(same_slots((180, 108, 44)))
    assert names(assignment) == {'a': 'a1', 'b': 'b0', 'c': 'c0'}
    assert assignment.shared == ()


def test_split_of_all_services_comes_before_a_split_of_most():
    """A failure domain that is too small would share services of all others."""
    slots = with_slots(same_slots((90, 90, 90)), 'c', s2=4)
    assignment = assigned(slots)
    assert names(assignment) == {'a': 'a1', 'b': 'b0', 'c': 'a1'}
    assert assignment.shared == ()


def test_site_with_few_slots_or_few_large_services_keeps_one_home():
    assert assigned(same_slots((18,))) == DomainHomes()
    assert assigned(same_slots((6, 6, 6))) == DomainHomes()
    assert assigned(same_slots((99, 9))) == DomainHomes()
    assert assigned(same_slots((99, 99, 9, 9, 9))) == DomainHomes()
    assert assigned(same_slots((99, 99, 9, 9), 'a')) == DomainHomes()


def test_home_of_the_domain_with_most_slots_dispatches_shared_services():
    slots = with_slots(same_slots(UNEVEN), 'b', s0=200)
    assignment = assigned(slots)
    assert assignment.homes[0].member.name == 'b0'
    assert names(assignment) == {'a': 'a1', 'b': 'b0', 'c': 'c0'}


def test_shared_services_do_not_move_with_a_restart_of_upstreams():
    current = assigned(same_slots(UNEVEN))
    assert current.homes[0].failure_domain == 'a'
    fewer = with_slots(same_slots(UNEVEN), 'a', s0=100, s2=130)
    assert assigned(fewer, current) == current
    half = with_slots(same_slots(UNEVEN), 'a', s0=70, s1=60, s2=90)
    assert assigned(half, current).homes[0].failure_domain == 'b'


def test_service_becomes_shared_well_below_the_slots_from_which_it_is_split():
    split = assigned(same_slots((99, 99, 99, MIN_SLOTS_TO_SPLIT)))
    assert split.shared == ()
    stays = same_slots((99, 99, 99, MIN_SLOTS_TO_STAY))
    assert assigned(stays, split) == split
    shared = assigned(same_slots((99, 99, 99, MIN_SLOTS_TO_STAY - 1)), split)
    assert shared.shared == ('s3',)
    assert names(shared) == names(split)
    still = same_slots((99, 99, 99, MIN_SLOTS_TO_SPLIT - 1))
    assert assigned(still, shared) == shared
    again = same_slots((99, 99, 99, MIN_SLOTS_TO_SPLIT))
    assert assigned(again, shared) == split


def test_services_come_and_go_without_moving_callers():
    split = assigned(same_slots((99, 99, 99)))
    more = assigned(same_slots((99, 99, 99, 4)), split)
    assert (names(more), more.shared) == (names(split), ('s3',))
    assert assigned(same_slots((99, 99, 99)), more) == split


def test_loss_of_the_home_with_shared_services_moves_them_to_its_successor():
    current = assigned(same_slots(UNEVEN))
    rest = [one for one in MEMBERS if one.name != 'a1']
    successor = assigned(same_slots(UNEVEN), current, rest)
    assert successor.homes[0].member.name == 'a0'
    assert successor.shared == current.shared
    rest = [one for one in MEMBERS if one.failure_domain != 'a']
    moved = assigned(same_slots(UNEVEN), successor, rest)
    assert names(moved) == {'a': 'b0', 'b': 'b0', 'c': 'c0'}
    assert moved.homes[0].member.name == 'b0'


def test_successor_of_a_killed_home_with_shared_services_is_known_to_all():
    async def scenario(network):
        await asyncio.sleep(1)
        assignment = network.nodes['b0'].domain_homes.assignment
        lost = assignment.homes[0].member
        assert assignment.shared == ('s3',)
        network.nodes[lost.name].kill()
        await asyncio.sleep(2)
        tables = [node.domain_homes for node in network.running()]
        assert len({table.assignment for table in tables}) == 1
        successor = tables[0].shared_home('s3')
        assert successor.name != lost.name
        assert successor.failure_domain == lost.failure_domain

    loop = VirtualLoop()
    network = Network(loop)
    network.upstreams = tuple(
        RegisteredUpstream(
            f'{service}-{domain}', service, '', domain, slots, False, 1, 1
        )
        for domain, by_service in same_slots(UNEVEN).items()
        for service, slots in by_service.items()
    )
    names = [f'{domain}{number}' for domain in DOMAINS for number in range(3)]
    start_members(network, {name: name[0] for name in names})
    play(network, scenario)


counts = st.sampled_from((0, 4, 15, 16, 20, 31, 32, 33, 90))
sites = st.fixed_dictionaries(
    {
        domain: st.dictionaries(st.sampled_from('stuvw'), counts)
        for domain in 'abcd'
    }
)


@given(sites, sites)
def test_assignment_is_kept_while_slots_are_the_same(before, slots):
    """Otherwise callers would move from one check to the next."""
    members = [*MEMBERS, Member('d0', 'd', '', '', 1.0, 1)]
    current = assigned(slots, assigned(before, members=members), members)
    again = assigned(slots, current, members)
    if current.shared or not again.homes:
        assert again == current
    # A domain that has another one's home needs only the slots to stay.
    assert assigned(slots, assigned(slots, again, members), members) == again


@given(sites, st.randoms())
def test_assignment_does_not_depend_on_the_order_of_its_inputs(slots, random):
    shuffled = random.sample(sorted(slots), len(slots))
    members = random.sample(MEMBERS, len(MEMBERS))
    reordered = {domain: slots[domain] for domain in shuffled}
    assert assigned(reordered, members=members) == assigned(slots)


@given(sites)
def test_split_services_have_enough_slots_wherever_they_are_split(slots):
    assignment = assigned(slots)
    own = {
        home.failure_domain
        for home in assignment.homes
        if home.member.failure_domain == home.failure_domain
    }
    services = {service for one in slots.values() for service in one}
    if not assignment.homes:
        return
    split = services.difference(assignment.shared)
    assert len(own) >= 2
    assert len(split) >= len(services) / 2
    for domain in own:
        for service in split:
            assert slots[domain].get(service, 0) >= MIN_SLOTS_TO_SPLIT


def test_older_builds_and_this_one_read_each_others_assignments():
    homes = (DomainHome('a', MEMBERS[0]), DomainHome('b', MEMBERS[2]))
    assert decode(DomainHomes, encode(DomainHomes(homes, ('t',)))).shared
    older = encode({'homes': homes})
    assert decode(DomainHomes, older) == DomainHomes(homes)


def test_table_names_the_home_of_shared_services_only():
    table = DomainHomeTable()
    assert table.shared_home('s3') is None
    table.apply(assigned(same_slots(UNEVEN)))
    assert table.shared_home('s3').name == 'a1'
    assert table.shared_home('s0') is None
    table.apply(DomainHomes())
    assert table.shared_home('s3') is None
