"""Guards against addresses of instances that are no home or are leaving."""

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
OLDER = '127.0.0.1:9000'


def instance(number, state='live'):
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


INSTANCES = tuple(instance(number) for number in range(14))


def resolver(homes=3, share=None, instances=INSTANCES, nearest=DOMAINS):
    older = None if share is None else OlderBalancer(OLDER, share)
    service = Service('redaccion', homes=homes, older_balancer=older)
    made = AddressResolver(nearest, timedelta(seconds=5))
    made.apply_document(Document(7, {'redaccion': service}))
    made.apply_view(InstanceView(1, instances))
    return made


def located(made, caller='ana'):
    return made.locate('redaccion', caller).addresses


@pytest.mark.parametrize('first', DOMAINS)
def test_only_homes_are_named_and_the_nearest_comes_first(first):
    nearest = (first, *(domain for domain in DOMAINS if domain != first))
    made = resolver(homes=6, nearest=nearest)
    addresses = located(made)
    homes = choose_homes('redaccion', made.homes.view, 6)
    assert {one.address for one in addresses} == {one.proxy for one in homes}
    distances = [nearest.index(one.failure_domain) for one in addresses]
    assert distances == sorted(distances)
    assert distances[0] == 0


def test_homes_at_one_distance_share_the_callers():
    made = resolver(homes=3, nearest=('elsewhere',))
    firsts = [located(made, f'c{number}')[0] for number in range(300)]
    assert min(firsts.count(one) for one in located(made)) > 50


def test_a_leaving_instance_drops_out_of_the_next_answer():
    made = resolver()
    gone = located(made)[0].address
    instances = tuple(
        replace(one, state='leaving') if one.proxy == gone else one
        for one in INSTANCES
    )
    made.apply_view(InstanceView(2, instances))
    addresses = located(made)
    assert gone not in {one.address for one in addresses}
    assert len(addresses) == 3


def test_a_change_of_homes_applies_to_the_next_answer():
    made = resolver(homes=3)
    assert len(located(made)) == 3
    made.apply_document(Document(8, {'redaccion': Service('redaccion')}))
    answer = made.locate('redaccion', 'ana')
    assert (len(answer.addresses), answer.generation) == (1, 8)


def test_each_caller_gets_either_homes_or_the_older_balancer():
    made = resolver(share=0.5)
    answers = {located(made, f'c{number}') for number in range(100)}
    marked = LocatedAddress(OLDER, older=True)
    assert (marked,) in answers
    assert all(marked not in one for one in answers if one != (marked,))


def test_the_older_balancer_with_all_callers_needs_no_home():
    assert located(resolver(share=1.0, instances=()))[0].address == OLDER


def test_each_reason_for_no_answer_has_its_own_error():
    empty = AddressResolver(DOMAINS, timedelta(seconds=5))
    with pytest.raises(NotReadyError):
        empty.locate('redaccion', 'ana')
    assert empty.not_ready_reason() == 'no_configuration'
    empty.apply_document(resolver().document)
    with pytest.raises(NotReadyError):
        empty.locate('redaccion', 'ana')
    assert empty.not_ready_reason() == 'no_instance_list'
    with pytest.raises(ServiceUnknownError):
        resolver().locate('teletipo', 'ana')
    with pytest.raises(NoHomeError):
        located(resolver(instances=(instance(1, 'leaving'),)))
