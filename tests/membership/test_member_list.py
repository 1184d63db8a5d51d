"""Guards against members whose record depends on the order of arrival."""

from dataclasses import replace
from itertools import permutations

from crocusproxy.membership.member_list import MemberList
from crocusproxy.protocol.home_feed import Member

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
