"""Guards against homes that move needlessly or share a failure domain."""

from crocusproxy.membership.homes import choose_homes
from crocusproxy.membership.view import Instance, InstanceView


def instance(number, state='live'):
    address = f'127.0.0.1:{number}'
    return Instance(
        name=f'i{number}',
        failure_domain=f'fd{number % 3}',
        state=state,
        proxy=address,
        proxy_admin=address,
        locator=address,
        config=address,
    )


def view(*instances):
    return InstanceView(1, tuple(instances))


def test_homes_are_spread_over_failure_domains():
    members = view(*(instance(number) for number in range(14)))
    for service in ('redaccion', 'teletipo', 'dispatch', 'ridership'):
        homes = choose_homes(service, members, 3)
        assert len({home.failure_domain for home in homes}) == 3


def test_an_instance_that_leaves_moves_only_its_own_services():
    everyone = [instance(number) for number in range(14)]
    gone = everyone[4]
    rest = view(*(one for one in everyone if one != gone))
    for number in range(200):
        service = f's{number}'
        before = choose_homes(service, view(*everyone), 1)
        if before != (gone,):
            assert choose_homes(service, rest, 1) == before


def test_a_leaving_instance_is_no_home():
    members = view(instance(1, 'leaving'), instance(2))
    assert choose_homes('redaccion', members, 2) == (instance(2),)
