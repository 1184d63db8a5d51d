"""Guards against going back to what was known before."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.membership.catalog import MAX_REMOVED, Catalog
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream, RouteConfig

ENTRY = RegisteredUpstream(
    'i-1', 's', '10.0.0.1:80', 'a', 2, False, started_at=100, sequence=5
)


def put(catalog, **changes):
    entry = replace(ENTRY, **changes)
    catalog.apply_change(UpstreamChange(entry.key, entry))


@given(st.lists(st.integers(0, 9)))
def test_configuration_never_goes_back(versions):
    """Readers of the store and feeds of others bring versions in any order."""
    catalog = Catalog()
    seen = []
    catalog.on_config.append(lambda config: seen.append(config.version))
    for version in versions:
        catalog.apply_config(RouteConfig(version, (), ()))
    assert seen == sorted(set(seen))
    if versions:
        assert catalog.config.version == max(versions)


def test_late_report_does_not_call_back_a_leaving_upstream():
    catalog = Catalog()
    put(catalog)
    put(catalog, leaving=True, sequence=6)
    put(catalog, sequence=5)
    assert catalog.upstreams['i-1'].leaving


def test_late_report_does_not_bring_a_removed_upstream_back():
    catalog = Catalog()
    put(catalog)
    catalog.apply_change(UpstreamChange('i-1'))
    put(catalog, sequence=4)
    assert not catalog.upstreams


def test_restart_under_the_same_key_counts_anew():
    catalog = Catalog()
    put(catalog, leaving=True, sequence=9)
    put(catalog, started_at=200, sequence=0)
    assert not catalog.upstreams['i-1'].leaving


def test_listeners_hear_only_of_what_matters():
    """Each report of each upstream would be sent to all instances."""
    catalog = Catalog()
    heard = []
    catalog.on_upstream.append(heard.append)
    put(catalog)
    put(catalog, sequence=6)
    put(catalog, sequence=7, leaving=True)
    assert [change.entry.leaving for change in heard] == [False, True]


def test_full_list_removes_what_it_lacks():
    catalog = Catalog()
    put(catalog)
    catalog.apply_list((replace(ENTRY, key='i-2'),))
    assert set(catalog.upstreams) == {'i-2'}


def test_memory_of_removed_upstreams_is_bounded():
    """Thousands restart each day under new names."""
    catalog = Catalog()
    for number in range(MAX_REMOVED + 5):
        put(catalog, key=f'i-{number}')
        catalog.apply_change(UpstreamChange(f'i-{number}'))
    assert len(catalog.removed) == MAX_REMOVED
    assert 'i-0' not in catalog.removed
