"""Guards against relays that have lost the store together with the reader."""

from unittest.mock import Mock

import pytest

from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.membership.feed_server import HomeFeedServer
from crocusproxy.membership.member_list import MemberList
from crocusproxy.membership.relay_order import order_relays
from crocusproxy.protocol.home_feed import Member


def make_members(domains, count):
    return [
        Member(f'{domain}-{number}', domain, '', '', 1.0, 1)
        for domain in domains
        for number in range(count)
    ]


@pytest.mark.parametrize('domain_count', [2, 3, 7])
def test_first_relays_are_of_other_failure_domains(domain_count):
    """All that were tried first were cut off together with the reader."""
    domains = [f'd{number}' for number in range(domain_count)]
    members = make_members(domains, 5)
    ordered = order_relays(members, 'd0')
    assert sorted(ordered, key=members.index) == members
    first_round = [one.failure_domain for one in ordered[:domain_count]]
    assert first_round == [*domains[1:], 'd0']


def test_members_of_the_only_failure_domain_keep_their_order():
    members = make_members(['d0'], 3)
    assert order_relays(members, 'd0') == tuple(members)


def test_larger_failure_domain_comes_last():
    members = make_members(['d1'], 1) + make_members(['d2'], 3)
    names = [member.name for member in order_relays(members, 'd0')]
    assert names == ['d1-0', 'd2-0', 'd2-1', 'd2-2']
    assert order_relays([], 'd0') == ()


def test_new_home_with_few_followers_asks_the_other_members_too():
    """The paths of the first followers were lost like that of the new home.

    A configuration was in force 0.94 s after it was published, when the home
    was stopped and its failure domain had lost the store.
    """
    members = MemberList(Member('a-0', 'a', 'a-0', '', 1.0, 1))
    members.merge(
        Member(name, name[0], name, '', 1.0, 1) for name in ('a-1', 'b-0')
    )
    server = HomeFeedServer(
        Catalog(), members, DomainHomeTable(), Mock(), Mock()
    )
    server.followers['a-1'] = Mock()
    assert server.relay_addresses() == ('a-1', 'b-0')
