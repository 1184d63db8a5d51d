"""Guards against stale reports that overwrite newer state."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.membership.catalog import MAX_REMOVED_UPSTREAMS, Catalog
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import (
    RegisteredUpstream,
    RouteConfig,
    ServiceSettings,
)

ENTRY = RegisteredUpstream(
    'i-1', 's', '10.0.0.1:80', 'a', 2, False, started_at=100, sequence=5
)


def apply_report(catalog, **changes):
    entry = replace(ENTRY, **changes)
    catalog.apply_change(UpstreamChange(entry.key, entry))


@given(st.lists(st.integers(0, 9)))
def test_older_configuration_is_ignored(versions):
    """Store reads and feeds of other members deliver versions in any order."""
    catalog = Catalog()
    applied_versions = []
    catalog.on_config.append(
        lambda config: applied_versions.append(config.version)
    )
    for version in versions:
        catalog.apply_config(RouteConfig(version, (), ()))
    assert applied_versions == sorted(set(applied_versions))
    if versions:
        assert catalog.config.version == max(versions)


def test_late_report_does_not_undo_leaving():
    catalog = Catalog()
    apply_report(catalog)
    apply_report(catalog, leaving=True, sequence=6)
    apply_report(catalog, sequence=5)
    assert catalog.upstreams['i-1'].leaving


def test_late_report_does_not_restore_a_removed_upstream():
    catalog = Catalog()
    apply_report(catalog)
    catalog.apply_change(UpstreamChange('i-1'))
    apply_report(catalog, sequence=4)
    assert not catalog.upstreams


def test_restart_under_the_same_key_resets_the_sequence():
    catalog = Catalog()
    apply_report(catalog, leaving=True, sequence=9)
    apply_report(catalog, started_at=200, sequence=0)
    assert not catalog.upstreams['i-1'].leaving


def test_listeners_are_called_only_for_notable_changes():
    """Otherwise each report of each upstream is sent to all instances."""
    catalog = Catalog()
    received = []
    catalog.on_upstream.append(received.append)
    apply_report(catalog)
    apply_report(catalog, sequence=6)
    apply_report(catalog, sequence=7, leaving=True)
    assert [change.entry.leaving for change in received] == [False, True]


def test_full_list_removes_absent_upstreams():
    catalog = Catalog()
    apply_report(catalog)
    catalog.apply_list((replace(ENTRY, key='i-2'),))
    assert set(catalog.upstreams) == {'i-2'}


def test_number_of_removed_upstreams_is_bounded():
    """Thousands of upstreams restart each day under new names."""
    catalog = Catalog()
    for number in range(MAX_REMOVED_UPSTREAMS + 5):
        apply_report(catalog, key=f'i-{number}')
        catalog.apply_change(UpstreamChange(f'i-{number}'))
    assert len(catalog.removed_upstreams) == MAX_REMOVED_UPSTREAMS
    assert 'i-0' not in catalog.removed_upstreams


def warm_up_changes(rate, *seconds):
    """Return the warm-ups of which the listeners hear, of some reports."""
    catalog = Catalog()
    settings = ServiceSettings('s', '/', 1, timedelta(seconds=9), rate)
    catalog.apply_config(RouteConfig(1, (), (settings,)))
    received = []
    catalog.on_upstream.append(received.append)
    for sequence, remaining in enumerate(seconds):
        warm_up = timedelta(seconds=remaining)
        apply_report(catalog, sequence=sequence, warm_up=warm_up)
    return [change.entry.warm_up.total_seconds() for change in received]


def test_upstream_that_turns_cold_is_a_change_but_its_reports_are_none():
    """The dispatching instance would go on at the full rate."""
    reports = (0, 0, 9, 7, 5, 3, 9, 1, 0, 0, 4)
    assert warm_up_changes(2, *reports) == [0, 9, 9, 0, 4]


def test_warm_up_of_a_service_without_a_rate_is_no_change():
    assert warm_up_changes(0, 0, 9, 5, 0, 9) == [0]


def test_change_that_the_home_has_chosen_is_passed_on():
    """A follower has the old remaining time, as it gets no later reports."""
    catalog = Catalog()
    apply_report(catalog, warm_up=timedelta(seconds=9))
    received = []
    catalog.on_upstream.append(received.append)
    colder = replace(ENTRY, sequence=8, warm_up=timedelta(seconds=5))
    for _ in range(2):
        change = UpstreamChange('i-1', colder)
        catalog.apply_change(change, is_notable=True)
    assert len(received) == 1
