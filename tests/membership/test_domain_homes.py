"""Guards against failure domains without a home, and needless moves."""

from crocusproxy.membership.domain_homes import (
    DomainHomeTable,
    assign_domain_homes,
    count_slots,
)
from crocusproxy.membership.domain_split import (
    MIN_SLOTS_TO_SPLIT,
    MIN_SLOTS_TO_STAY,
)
from crocusproxy.protocol.home_feed import DomainHome, DomainHomes, Member
from crocusproxy.routes.model import RegisteredUpstream

ENOUGH = {
    domain: {'s': MIN_SLOTS_TO_SPLIT, 't': MIN_SLOTS_TO_SPLIT}
    for domain in ('a', 'b')
}


def member(name, domain, capacity=1.0):
    return Member(name, domain, f'{name}:1', f'{name}:2', capacity, 1)


MEMBERS = [
    member('a1', 'a', 2.0),
    member('a2', 'a', 2.0),
    member('a3', 'a', 0.5),
    member('b1', 'b', 2.0),
    member('b2', 'b', 2.0),
]


def assigned(current=DomainHomes(), members=MEMBERS, home='a1', slots=ENOUGH):
    return assign_domain_homes(current, members, home, slots)


def names(assignment):
    return {home.failure_domain: home.member.name for home in assignment.homes}


def test_large_failure_domains_get_homes_of_their_own():
    assert names(assigned()) == {'a': 'a2', 'b': 'b1'}


def test_home_dispatches_for_its_failure_domain_if_it_is_alone_there():
    """Otherwise a failure domain with one instance would have no home."""
    members = [one for one in MEMBERS if one.name not in ('a2', 'a3')]
    assert names(assigned(members=members)) == {'a': 'a1', 'b': 'b1'}


def test_site_with_few_slots_keeps_one_home():
    slots = {'a': {'s': 10}, 'b': {'s': 10}}
    assert assigned(slots=slots) == DomainHomes()


def test_split_is_kept_until_slots_are_well_below_the_limit():
    """Otherwise callers would move with each restart of an upstream."""
    split = assigned()
    fewer = {**ENOUGH, 'b': {'s': MIN_SLOTS_TO_STAY, 't': MIN_SLOTS_TO_STAY}}
    assert names(assigned(split, slots=fewer)) == names(split)
    too_few = {**ENOUGH, 'b': {'s': MIN_SLOTS_TO_STAY - 1, 't': 99}}
    assert assigned(split, slots=too_few) == DomainHomes()


def test_small_failure_domain_gets_the_home_of_the_largest_one():
    """Otherwise its upstreams would get no requests."""
    slots = {
        'a': {'s': 90, 't': 90},
        'b': {'s': 40, 't': 40},
        'c': {'s': 4},
    }
    assert names(assigned(slots=slots)) == {'a': 'a2', 'b': 'b1', 'c': 'a2'}


def test_failure_domain_without_instances_belongs_to_the_largest_one():
    slots = {**ENOUGH, 'c': {'s': 90, 't': 90}}
    assert names(assigned(slots=slots))['c'] in ('a2', 'b1')


def test_domain_home_stays_while_it_can_be_reached():
    """Otherwise callers would move whenever an instance joins."""
    current = DomainHomes(
        (DomainHome('a', MEMBERS[1]), DomainHome('b', MEMBERS[4]))
    )
    assert assigned(current) == current
    without_b2 = [one for one in MEMBERS if one.name != 'b2']
    assert names(assigned(current, without_b2)) == {'a': 'a2', 'b': 'b1'}


def test_domain_home_that_becomes_home_hands_over():
    """It would dispatch while it sends its state to all instances."""
    current = DomainHomes(
        (DomainHome('a', MEMBERS[0]), DomainHome('b', MEMBERS[3]))
    )
    assert names(assigned(current, home='a1')) == {'a': 'a2', 'b': 'b1'}
    alone = [one for one in MEMBERS if one.name != 'a2']
    assert names(assigned(current, alone, 'a1'))['a'] == 'a1'


def test_small_domain_home_is_replaced_by_a_large_instance():
    """A small instance can be the first to join after a loss of all."""
    current = DomainHomes(
        (DomainHome('a', MEMBERS[2]), DomainHome('b', MEMBERS[3]))
    )
    assert names(assigned(current)) == {'a': 'a2', 'b': 'b1'}


def test_slots_of_leaving_upstreams_do_not_count():
    upstreams = [
        RegisteredUpstream(str(number), 's', '', 'a', 2, leaving, 1, 1)
        for number, leaving in enumerate((False, False, True))
    ]
    assert count_slots(upstreams) == {'a': {'s': 4}}


def test_unknown_failure_domain_has_a_home_once_there_are_domain_homes():
    """Callers of a new failure domain would otherwise use the home."""
    table = DomainHomeTable()
    assert table.home_of('z') is None
    table.apply(assigned())
    assert table.home_of('z').name == 'a2'
    assert [one.name for one in table.others('a2')] == ['b1']


def test_unchanged_assignment_is_not_distributed_again():
    table = DomainHomeTable()
    changes = []
    table.on_change.append(changes.append)
    table.apply(assigned())
    table.apply(assigned())
    assert len(changes) == 1


def test_evacuated_failure_domain_has_no_home_of_its_own():
    """Its home would have no upstreams for the callers there."""
    split = assigned()
    remaining = {'b': ENOUGH['b']}
    evacuating = assign_domain_homes(
        split, MEMBERS, 'a1', remaining, evacuated=('a',)
    )
    assert names(evacuating) == {'a': 'b1', 'b': 'b1'}
    assert names(assigned(evacuating)) == names(split)


def test_callers_stay_while_an_evacuated_failure_domain_is_rebuilt():
    """They moved to the home and back when its upstreams were gone."""
    remaining = {'b': {'s': MIN_SLOTS_TO_STAY, 't': MIN_SLOTS_TO_STAY}}
    assignment = assigned()
    for _ in range(3):
        assignment = assign_domain_homes(
            assignment, MEMBERS, 'a1', remaining, evacuated=('a',)
        )
        assert names(assignment) == {'a': 'b1', 'b': 'b1'}


def test_evacuation_of_all_failure_domains_leaves_the_home():
    evacuating = assign_domain_homes(
        assigned(), MEMBERS, 'a1', {}, evacuated=('a', 'b')
    )
    assert evacuating == DomainHomes()


def test_evacuation_splits_no_site_that_has_one_home():
    slots = {'b': ENOUGH['b']}
    assert DomainHomes() == assign_domain_homes(
        DomainHomes(), MEMBERS, 'a1', slots, evacuated=('a',)
    )


def test_slots_of_evacuated_upstreams_do_not_count():
    upstreams = [
        RegisteredUpstream(domain, 's', '', domain, 2, False, 1, 1)
        for domain in 'ab'
    ]
    assert count_slots(upstreams, {'a'}) == {'b': {'s': 2}}
