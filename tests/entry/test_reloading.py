"""Guards against changed settings that silently have no effect."""

from dataclasses import replace
from datetime import timedelta

import pytest

from crocusproxy.documents import check_document
from crocusproxy.entry.reloading import reload_settings
from crocusproxy.entry.settings import Bounds, EntrySettings, Hedging
from crocusproxy.errors import InvalidDocumentError
from crocusproxy.settings import InstanceIdentity, Listen

LISTEN = Listen('127.0.0.1', 1)
CURRENT = EntrySettings(
    InstanceIdentity('n1', 'a'),
    *(LISTEN,) * 6,
    store='10.0.0.1:1',
)


@pytest.mark.parametrize(
    'change',
    [
        {'store': '10.0.0.2:1'},
        {'seeds': ('10.0.0.3:1',)},
        {'validity': timedelta(seconds=2)},
        {'hedging': Hedging(0.05, timedelta(seconds=5))},
        {'bounds': Bounds(max_validity=timedelta(seconds=1))},
    ],
)
def test_change_that_takes_effect_needs_no_restart(change):
    loaded = replace(CURRENT, **change)
    reload = reload_settings(CURRENT, loaded)
    assert reload.settings == loaded
    assert not reload.needs_restart


@pytest.mark.parametrize(
    'bounds',
    [
        Bounds(budget_ratio=0.1),
        Bounds(shutdown=timedelta(seconds=9)),
        Bounds(probes_per_second=1),
    ],
)
def test_bounds_that_need_a_restart_are_reported(bounds):
    """They were reported as in force, but most parts kept the old ones."""
    reload = reload_settings(CURRENT, replace(CURRENT, bounds=bounds))
    assert reload.needs_restart
    assert reload.settings.bounds == CURRENT.bounds


def test_share_beyond_the_budget_in_force_needs_a_restart():
    """The process would hedge more than the budget that it keeps."""
    loaded = replace(
        CURRENT, bounds=Bounds(budget_ratio=0.5), hedging=Hedging(0.4)
    )
    reload = reload_settings(CURRENT, loaded)
    assert reload.needs_restart
    assert reload.settings.hedging == Hedging()


@pytest.mark.parametrize(
    ('hedging', 'is_valid'),
    [
        ({}, True),
        ({'max_extra_share': 0.1}, True),
        ({'max_extra_share': 0.11}, False),
        ({'max_extra_share': -0.01}, False),
        ({'max_extra_share': float('nan')}, False),
        ({'max_extra_share': 0.1, 'window': '0s'}, False),
    ],
)
def test_share_is_checked_against_the_budget(hedging, is_valid):
    document = {
        'instance': {'name': 'n1', 'failure_domain': 'a'},
        'bounds': {'budget_ratio': 0.1},
        'hedging': hedging,
        'store': '10.0.0.1:1',
    }
    names = ('callers', 'directory', 'readiness', 'control', 'internal')
    document |= dict.fromkeys((*names, 'metrics'), '127.0.0.1:1')
    if is_valid:
        assert check_document(EntrySettings, document, 'file')
        return
    with pytest.raises(InvalidDocumentError) as caught:
        check_document(EntrySettings, document, 'file')
    (fault,) = caught.value.faults
    assert fault.path.startswith('hedging')
