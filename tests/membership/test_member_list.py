"""Guards against members whose record depends on the order of arrival."""

from dataclasses import replace
from itertools import permutations

from crocusproxy.membership.member_list import MAX_DEPARTED, MemberList
from crocusproxy.protocol.home_feed import Departure, Member

OWN = Member('own', 'a', 'own:1', 'own:2', 1.0, 1)
MEMBER = Member('m', 'a', 'm:1', 'm:2', 1.0, 5, knows_shared=True)


def merged(records):
    member_list = MemberList(OWN)
    for record in records:
        member_list.merge((record,))
    return member_list


def test_order_of_arrival_does_not_decide_between_records_of_one_start():
    """Instances differed about a member that an older build had passed on."""
    records = (
        MEMBER,
        replace(MEMBER, knows_shared=False),
        replace(MEMBER, knows_shared=False, internal='x:1'),
        replace(MEMBER, capacity=0.5),
    )
    for order in permutations(records):
        assert merged(order).members['m'] == MEMBER
    revision = merged(records).revision
    assert merged(records * 3).revision == revision


def test_later_start_replaces_any_record():
    later = replace(MEMBER, started_at=6, knows_shared=False, capacity=0.1)
    for order in permutations((MEMBER, later)):
        assert merged(order).members['m'] == later


def departing(name='a', started_at=5, *, is_final=False):
    return Departure(name, started_at, is_final)


def member_of(name='a', started_at=5):
    return Member(name, 'd', '', '', 1.0, started_at)


def make_list(*members):
    members_list = MemberList(member_of('own'))
    members_list.merge(members)
    return members_list


def test_departed_member_does_not_come_back_from_an_old_list():
    """Records in the store and lists of seeds outlive a member."""
    members = make_list(member_of())
    assert members.depart([departing()])
    assert not members.merge([member_of()])
    assert list(members.members) == ['own']
    assert members.others_ever() == (member_of(),)


def test_lost_member_is_back_with_any_contact():
    """It may have been cut off only."""
    members = make_list(member_of())
    members.depart([departing()])
    assert members.merge([member_of()], is_in_contact=True)
    assert not members.departures()
    assert members.others_ever() == (member_of(),)


def test_leaving_member_is_back_with_its_next_start_only():
    """It follows a home until its last requests have ended."""
    members = make_list(member_of())
    members.depart([departing(is_final=True)])
    assert not members.merge([member_of()], is_in_contact=True)
    assert members.merge([member_of(started_at=6)])
    assert not members.depart([departing(is_final=True)])
    assert 'a' in members.members


def test_start_after_the_clock_was_set_back_is_another_start():
    """The instance took part in nothing until the clock had caught up."""
    members = make_list(member_of())
    members.depart([departing(is_final=True)])
    assert not members.merge([member_of(started_at=4)])
    assert members.merge([member_of(started_at=4)], is_in_contact=True)
    assert 'a' in members.members


def test_departure_of_this_member_or_an_unknown_one_removes_nothing():
    members = make_list(member_of())
    revision = members.revision
    assert not members.depart([departing('own'), departing('b')])
    assert members.revision == revision
    assert list(members.members) == ['own', 'a']


def test_number_of_remembered_departures_is_limited():
    members = make_list()
    members.depart(departing(str(number)) for number in range(MAX_DEPARTED + 5))
    assert len(members.departures()) == MAX_DEPARTED
