"""Guards against two homes, and against none."""

from itertools import permutations

from crocusproxy.membership.election import (
    Attach,
    Lead,
    RetryElection,
    elect,
    yields_to,
)
from crocusproxy.protocol.home_feed import Member, MemberView


def member(name, capacity=1.0):
    return Member(name, 'a', f'{name}:1', f'{name}:2', capacity, started_at=0)


A, B, C = member('a'), member('b'), member('c')


def test_members_that_all_search_agree_on_one():
    for order in permutations((A, B, C)):
        views = [MemberView(one, 'searching') for one in order]
        ends = {
            one.name: elect(one, views, '', 0, may_wait=True) for one in order
        }
        assert ends == {
            'a': Lead(1),
            'b': RetryElection(),
            'c': RetryElection(),
        }


def test_larger_instance_becomes_home_first():
    large = member('z', capacity=2.0)
    views = [MemberView(A, 'searching')]
    assert elect(large, views, '', 0, may_wait=True) == Lead(1)


def test_home_that_took_over_last_is_followed():
    views = [MemberView(A, 'home', 3, A), MemberView(B, 'home', 4, B)]
    assert elect(C, views, '', 0, may_wait=True) == Attach(B)


def test_member_that_has_not_noticed_the_loss_is_waited_for():
    """It still names the lost home, whose feed would never come back."""
    views = [MemberView(B, 'attached', 1, A)]
    assert elect(C, views, 'a', 1, may_wait=True) == RetryElection()


def test_home_that_only_others_reach_is_followed_through_them():
    views = [MemberView(B, 'attached', 1, A)]
    assert elect(C, views, 'a', 1, may_wait=False) == Attach(B)


def test_new_home_has_a_higher_epoch_than_any_seen():
    """A home that was frozen finds that it was replaced by the epoch."""
    views = [MemberView(C, 'searching', 7)]
    assert elect(A, views, 'b', 4, may_wait=True) == Lead(8)


def test_of_two_homes_exactly_one_gives_way():
    for first, second in ((1, 1), (1, 2), (3, 2)):
        one = MemberView(A, 'home', first, A)
        other = MemberView(B, 'home', second, B)
        assert yields_to(one, other) != yields_to(other, one)
