"""Guards against addresses of instances that are leaving or not a home."""

from dataclasses import replace
from datetime import timedelta

import pytest

from crocusproxy.config.model import Document, OlderBalancer, Service
from crocusproxy.locator.addresses import (
    AddressResolver,
    NoHomeError,
    NotReadyError,
    ServiceUnknownError,
)
from crocusproxy.membership.homes import choose_homes
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.locate import LocatedAddress

DOMAINS = ('mza-centro', 'sjuan-norte', 'slu-oeste')
OLDER_ADDRESS = '127.0.0.1:9000'


def make_instance(number, state='live'):
    address = f'127.0.0.1:{8000 + number}'
    return Instance(
        name=f'i{number}',
        failure_domain=DOMAINS[number % 3],
        state=state,
        proxy=address,
        proxy_admin=address,
        locator=address,
        config=address,
    )


INSTANCES = tuple(make_instance(number) for number in range(14))


def make_resolver(homes=3, share=None, instances=INSTANCES, nearest=DOMAINS):
    older_balancer = (
        None if share is None else OlderBalancer(OLDER_ADDRESS, share)
    )
    service = Service('redaccion', homes=homes, older_balancer=older_balancer)
    resolver = AddressResolver(nearest, timedelta(seconds=5))
    resolver.apply_document(Document(7, {'redaccion': service}))
    resolver.apply_view(InstanceView(1, instances))
    return resolver


def locate_addresses(resolver, caller='ana'):
    return resolver.locate('redaccion', caller).addresses


@pytest.mark.parametrize('first', DOMAINS)
def test_addresses_are_the_homes_with_the_nearest_first(first):
    nearest = (first, *(domain for domain in DOMAINS if domain != first))
    resolver = make_resolver(homes=6, nearest=nearest)
    addresses = locate_addresses(resolver)
    homes = choose_homes('redaccion', resolver.home_table.view, 6)
    assert {located.address for located in addresses} == {
        home.proxy for home in homes
    }
    distances = [nearest.index(located.failure_domain) for located in addresses]
    assert distances == sorted(distances)
    assert distances[0] == 0


def test_callers_are_spread_over_homes_at_the_same_distance():
    resolver = make_resolver(homes=3, nearest=('elsewhere',))
    first_addresses = [
        locate_addresses(resolver, f'c{number}')[0] for number in range(300)
    ]
    assert (
        min(
            first_addresses.count(address)
            for address in locate_addresses(resolver)
        )
        > 50
    )


def test_leaving_instance_is_not_in_the_next_response():
    resolver = make_resolver()
    leaving_address = locate_addresses(resolver)[0].address
    instances = tuple(
        replace(each, state='leaving')
        if each.proxy == leaving_address
        else each
        for each in INSTANCES
    )
    resolver.apply_view(InstanceView(2, instances))
    addresses = locate_addresses(resolver)
    assert leaving_address not in {located.address for located in addresses}
    assert len(addresses) == 3


def test_change_of_the_home_count_applies_to_the_next_response():
    resolver = make_resolver(homes=3)
    assert len(locate_addresses(resolver)) == 3
    resolver.apply_document(Document(8, {'redaccion': Service('redaccion')}))
    located = resolver.locate('redaccion', 'ana')
    assert (len(located.addresses), located.generation) == (1, 8)


def test_each_caller_gets_either_homes_or_the_older_balancer():
    resolver = make_resolver(share=0.5)
    address_lists = {
        locate_addresses(resolver, f'c{number}') for number in range(100)
    }
    older_balancer_address = LocatedAddress(OLDER_ADDRESS, older=True)
    assert (older_balancer_address,) in address_lists
    assert all(
        older_balancer_address not in addresses
        for addresses in address_lists
        if addresses != (older_balancer_address,)
    )


def test_older_balancer_with_a_share_of_one_needs_no_home():
    assert (
        locate_addresses(make_resolver(share=1.0, instances=()))[0].address
        == OLDER_ADDRESS
    )


def test_each_reason_for_no_addresses_has_a_specific_error():
    resolver = AddressResolver(DOMAINS, timedelta(seconds=5))
    with pytest.raises(NotReadyError):
        resolver.locate('redaccion', 'ana')
    assert resolver.not_ready_reason() == 'no_configuration'
    resolver.apply_document(make_resolver().document)
    with pytest.raises(NotReadyError):
        resolver.locate('redaccion', 'ana')
    assert resolver.not_ready_reason() == 'no_instance_list'
    with pytest.raises(ServiceUnknownError):
        make_resolver().locate('teletipo', 'ana')
    with pytest.raises(NoHomeError):
        locate_addresses(
            make_resolver(instances=(make_instance(1, 'leaving'),))
        )
