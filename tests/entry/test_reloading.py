"""Guards against changed settings that silently have no effect."""

from dataclasses import replace
from datetime import timedelta

import pytest

from crocusproxy.entry.reloading import reload_settings
from crocusproxy.entry.settings import Bounds, EntrySettings
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
