"""Guards against requests that no instance dispatches, or that circulate."""

from dataclasses import replace

from crocusproxy.entry.dispatch_role import DispatchRole
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.protocol.home_feed import DomainHome, DomainHomes, Member


def member(name, domain):
    return Member(name, domain, f'{name}:1', f'{name}:2', 1.0, 1)


SITE_HOME = member('n0', 'a')
HOME_A = member('n1', 'a')
HOME_B = member('n2', 'b')
OTHER = member('n3', 'b')
HOMES = DomainHomes((DomainHome('a', HOME_A), DomainHome('b', HOME_B)))
SHARED = DomainHomes(HOMES.homes, ('t',))


def role_of(own, homes=HOMES, home=SITE_HOME):
    table = DomainHomeTable()
    table.apply(homes)
    return DispatchRole(table, lambda: home, lambda: own)


def test_callers_are_directed_to_the_home_of_their_failure_domain():
    role = role_of(OTHER)
    assert role.dispatcher_of('a') == HOME_A
    assert role.dispatcher_of('b') == HOME_B


def test_callers_are_directed_to_the_home_without_domain_homes():
    role = role_of(OTHER, DomainHomes())
    assert role.dispatcher_of('a') == SITE_HOME
    assert role.forwarding_address('s') == SITE_HOME.callers
    assert role_of(SITE_HOME, DomainHomes()).forwarding_address('s') == ''


def test_domain_homes_serve_callers_while_the_home_is_lost():
    role = role_of(OTHER, home=None)
    assert role.dispatcher_of('a') == HOME_A
    assert role.forwarding_address('s') == HOME_B.callers


def test_domain_home_forwards_no_request():
    """Two homes that forward to each other would never dispatch."""
    assert role_of(HOME_A).forwarding_address('s') == ''


def test_home_that_dispatches_for_no_domain_forwards():
    assert role_of(SITE_HOME).forwarding_address('s') == HOME_A.callers


def test_domain_home_owns_the_upstreams_of_its_failure_domain():
    """Two homes would otherwise fill the same slots twice."""
    role = role_of(HOME_A)
    assert role.owns('s', 'a')
    assert not role.owns('s', 'b')
    assert role.is_dispatcher()


def test_instance_that_is_no_home_may_use_all_upstreams():
    """It dispatches only if it can't reach a home."""
    role = role_of(OTHER)
    assert role.owns('s', 'a') and role.owns('s', 'b')
    assert not role.is_dispatcher()


def test_only_domain_homes_ask_others_for_slots():
    assert role_of(HOME_A).other_domain_homes() == (HOME_B,)
    assert role_of(OTHER).other_domain_homes() == ()


def test_shared_service_is_dispatched_by_the_first_domain_home_only():
    """Two homes would otherwise fill the same slots twice."""
    role = role_of(HOME_A, SHARED)
    assert role.dispatches('t') and role.owns('t', 'a') and role.owns('t', 'b')
    assert role.dispatches('s') and not role.owns('s', 'b')
    other = role_of(HOME_B, SHARED)
    assert not other.dispatches('t') and other.dispatches('s')


def test_shared_service_is_not_exclusive_beside_a_home_of_an_older_build():
    """Both would otherwise spend the whole rate limit that upstreams state."""
    role = role_of(HOME_A, SHARED)
    assert not role.is_exclusive('t') and role.is_exclusive('s')
    homes = [
        replace(home, member=replace(home.member, knows_shared=True))
        for home in SHARED.homes
    ]
    role = role_of(HOME_A, replace(SHARED, homes=tuple(homes)))
    assert role.is_exclusive('t')
    assert not role_of(HOME_B, role.table.assignment).is_exclusive('t')


def test_requests_of_a_shared_service_are_forwarded_at_once_to_its_home():
    """Two homes that forward to each other would never dispatch."""
    assert role_of(HOME_A, SHARED).forwarding_address('t') == ''
    for own in (HOME_B, OTHER, SITE_HOME):
        role = role_of(own, SHARED)
        assert role.forwarding_address('t') == HOME_A.callers
    assert role_of(HOME_B, SHARED).forwarding_address('s') == ''
    assert role_of(OTHER, SHARED).forwarding_address('s') == HOME_B.callers


def test_domain_home_may_use_all_upstreams_of_a_shared_service():
    """It dispatches them only if it can't reach the home that does."""
    role = role_of(HOME_B, SHARED)
    assert role.owns('t', 'a') and role.owns('t', 'b')


def test_callers_stay_with_the_home_of_their_failure_domain():
    assert role_of(OTHER, SHARED).dispatcher_of('b') == HOME_B
