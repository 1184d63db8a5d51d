"""Guards against guarantee violations that the audit does not count."""

import pytest

from standins.audit import Audit, audit, quantile
from standins.caller import CallRecord

NO_VIOLATIONS = Audit(duplicated=0, cut_short=0, foreign=0, false_not_run=0)


def answered(**changes):
    record = CallRecord('POST', key='k1', outcome='answered', request_id='r1')
    record.response_mark = 'm1'
    for name, setting in changes.items():
        setattr(record, name, setting)
    return record


def upstream(runs=1, sent=(('r1', 'm1'),)):
    return {
        'runs_by_key': {'k1': runs},
        'sent': {request_id: [mark] for request_id, mark in sent},
    }


@pytest.mark.parametrize(
    ('record', 'upstreams', 'violation'),
    [
        (answered(), [upstream()], {}),
        (answered(), [upstream(runs=2)], {'duplicated': 1}),
        (answered(), [upstream(), upstream(sent=())], {'duplicated': 1}),
        (answered(upstream_responses=2), [upstream()], {'duplicated': 1}),
        (answered(is_complete=False), [upstream()], {'cut_short': 1}),
        (answered(), [upstream(sent=(('r1', 'm2'),))], {'cut_short': 1}),
        (answered(matches_request=False), [upstream()], {'foreign': 1}),
        (answered(outcome='not-run'), [upstream()], {'false_not_run': 1}),
        (answered(outcome='unknown'), [upstream()], {}),
    ],
)
def test_each_violation_is_counted(record, upstreams, violation):
    violations = audit([record], upstreams)
    assert violations == Audit(**(vars(NO_VIOLATIONS) | violation))
    assert violations.is_clean == (not violation)


def test_repeated_runs_of_an_unkeyed_request_are_not_duplicates():
    record = answered(key='', upstream_responses=2)
    assert audit([record], [upstream(runs=1)]).is_clean


def test_quantile_of_few_values():
    assert quantile([], 0.99) == 0
    assert quantile([3, 1, 2], 0.5) == 2
    assert quantile([3, 1, 2], 0.99) == 3
