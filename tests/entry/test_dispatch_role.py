"""Guards against requests that no instance dispatches, or that circulate."""

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
    assert role.forwarding_address() == SITE_HOME.callers
    assert role_of(SITE_HOME, DomainHomes()).forwarding_address() == ''


def test_domain_homes_serve_callers_while_the_home_is_lost():
    role = role_of(OTHER, home=None)
    assert role.dispatcher_of('a') == HOME_A
    assert role.forwarding_address() == HOME_B.callers


def test_domain_home_forwards_no_request():
    """Two homes that forward to each other would never dispatch."""
    assert role_of(HOME_A).forwarding_address() == ''


def test_home_that_dispatches_for_no_domain_forwards():
    assert role_of(SITE_HOME).forwarding_address() == HOME_A.callers


def test_domain_home_owns_the_upstreams_of_its_failure_domain():
    """Two homes would otherwise fill the same slots twice."""
    role = role_of(HOME_A)
    assert role.owns('a')
    assert not role.owns('b')
    assert role.is_dispatcher()


def test_instance_that_is_no_home_may_use_all_upstreams():
    """It dispatches only if it can't reach a home."""
    role = role_of(OTHER)
    assert role.owns('a') and role.owns('b')
    assert not role.is_dispatcher()


def test_only_domain_homes_ask_others_for_slots():
    assert role_of(HOME_A).other_domain_homes() == (HOME_B,)
    assert role_of(OTHER).other_domain_homes() == ()
