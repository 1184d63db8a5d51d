"""Guards against several homes and against having none."""

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


def test_searching_members_agree_on_one_home():
    for order in permutations((A, B, C)):
        views = [MemberView(one, 'searching') for one in order]
        results = {
            one.name: elect(one, views, '', 0, may_wait=True) for one in order
        }
        assert results == {
            'a': Lead(1),
            'b': RetryElection(),
            'c': RetryElection(),
        }


def test_instance_with_more_capacity_becomes_home():
    large = member('z', capacity=2.0)
    views = [MemberView(A, 'searching')]
    assert elect(large, views, '', 0, may_wait=True) == Lead(1)


def test_home_with_the_highest_epoch_is_followed():
    views = [MemberView(A, 'home', 3, A), MemberView(B, 'home', 4, B)]
    assert elect(C, views, '', 0, may_wait=True) == Attach(B)


def test_election_waits_for_a_member_that_follows_the_lost_home():
    """The member still reports the lost home, whose feed never resumes."""
    views = [MemberView(B, 'attached', 1, A)]
    assert elect(C, views, 'a', 1, may_wait=True) == RetryElection()


def test_unreachable_home_is_followed_through_another_member():
    views = [MemberView(B, 'attached', 1, A)]
    assert elect(C, views, 'a', 1, may_wait=False) == Attach(B)


def test_new_home_has_a_higher_epoch_than_any_seen():
    """A home that was paused detects by the epoch that it was replaced."""
    views = [MemberView(C, 'searching', 7)]
    assert elect(A, views, 'b', 4, may_wait=True) == Lead(8)


def test_exactly_one_of_two_homes_yields():
    for epoch_a, epoch_b in ((1, 1), (1, 2), (3, 2)):
        view_a = MemberView(A, 'home', epoch_a, A)
        view_b = MemberView(B, 'home', epoch_b, B)
        assert yields_to(view_a, view_b) != yields_to(view_b, view_a)


def test_member_that_takes_no_part_yet_is_not_waited_for():
    """It waits for its seeds, which would wait for it in turn.

    Seen as lower credit after a loss of all instances on routewise-lakes
    (scale-2) and ondasur-boletines (scale-2).
    """
    views = [MemberView(A, 'starting')]
    assert elect(B, views, '', 0, may_wait=True) == Lead(1)
