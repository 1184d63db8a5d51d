"""Guards against homes that move needlessly or share a failure domain."""

from hypothesis import given, settings, strategies

from crocusproxy.membership.homes import HomeTable, choose_homes
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


def test_removed_instance_moves_only_its_own_services():
    instances = [instance(number) for number in range(14)]
    removed = instances[4]
    remaining = view(*(member for member in instances if member != removed))
    for number in range(200):
        service = f's{number}'
        before = choose_homes(service, view(*instances), 1)
        if before != (removed,):
            assert choose_homes(service, remaining, 1) == before


def test_leaving_instance_is_not_selected():
    members = view(instance(1, 'leaving'), instance(2))
    assert choose_homes('redaccion', members, 2) == (instance(2),)


_STATES = strategies.sampled_from(['live', 'leaving', 'absent'])
_VIEWS = strategies.lists(
    strategies.lists(_STATES, min_size=9, max_size=9), min_size=1, max_size=8
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_VIEWS, strategies.integers(1, 6))
def test_cached_homes_equal_a_full_selection_after_any_view_changes(
    views, count
):
    table = HomeTable()
    for states in views:
        current_view = view(
            *(
                instance(number, state)
                for number, state in enumerate(states)
                if state != 'absent'
            )
        )
        table.apply_view(current_view)
        for service in ('redaccion', 'teletipo', 'dispatch'):
            expected = choose_homes(service, current_view, count)
            assert table.homes(service, count) == expected
