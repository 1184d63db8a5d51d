"""Guards against differences that are missed, and keys that are shown."""

from dataclasses import replace
from datetime import timedelta

from crocusproxy.checks.differences import (
    Added,
    Changed,
    FieldChange,
    KeyChange,
    Removed,
    differences_between,
)
from crocusproxy.routes.model import CallerLimits, WeightedService

from .test_config import ACCOUNT, CONFIG, ROUTE, SERVICE


def test_an_unchanged_configuration_has_no_differences():
    reordered = replace(CONFIG, version=3, routes=CONFIG.routes[::-1])
    assert not differences_between(CONFIG, reordered)


def test_added_and_removed_entries_are_named():
    other = replace(
        CONFIG,
        routes=(replace(ROUTE, name='r-2'),),
        services=(SERVICE, replace(SERVICE, name='s2')),
        accounts=(),
    )
    assert differences_between(CONFIG, other) == (
        Added('route', 'r-2'),
        Removed('route', 'r-1'),
        Added('service', 's2'),
        Removed('account', 'radio'),
    )


def test_changed_fields_have_both_values():
    parts = (WeightedService('s1', 9), WeightedService('s2', 1))
    other = replace(
        CONFIG,
        routes=(replace(ROUTE, timeout=timedelta(seconds=1), parts=parts),),
        accounts=(replace(ACCOUNT, priority=0),),
        limits=CallerLimits(body_bytes=1),
    )
    assert differences_between(CONFIG, other) == (
        Changed(
            'route',
            'r-1',
            (
                FieldChange('timeout', '500ms', '1s'),
                FieldChange('parts', 's1:1', 's1:9 s2:1'),
            ),
        ),
        Changed('account', 'radio', (FieldChange('priority', 'none', '0'),)),
        Changed('limits', '', (FieldChange('body_bytes', '8388608', '1'),)),
    )


def test_changed_keys_are_counts_and_short_digests():
    digests = ('a' * 64, 'b' * 64)
    before = replace(
        CONFIG, accounts=(replace(ACCOUNT, key_digests=digests[:1]),)
    )
    after = replace(
        CONFIG, accounts=(replace(ACCOUNT, key_digests=digests[1:]),)
    )
    keys = KeyChange(1, 1, ('b' * 8,), ('a' * 8,))
    (changed,) = differences_between(before, after)
    assert changed == Changed('account', 'radio', (), keys)


def test_the_end_of_authentication_is_a_difference():
    other = replace(CONFIG, accounts=None)
    change = FieldChange('state', 'on', 'off')
    assert differences_between(CONFIG, other) == (
        Changed('authentication', '', (change,)),
        Removed('account', 'radio'),
    )
