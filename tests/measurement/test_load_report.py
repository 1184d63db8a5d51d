"""Guards against malformed load reports that are used."""

import pytest

from crocusproxy.measurement.load_report import (
    ReportedLoad,
    parse_load,
)

REPORT = (
    'TEXT named_metrics.in_flight=1, named_metrics.slots=2, '
    'named_metrics.queued=0'
)


def test_report_is_parsed_to_its_counts():
    assert parse_load(REPORT) == ReportedLoad(1, 2, 0)


@pytest.mark.parametrize(
    'replacement',
    [
        ('TEXT', 'JSON'),
        ('=1', '=-1'),
        ('=1', '=nan'),
        ('=1', '=1.5'),
        ('=1', '=1e9'),
        ('=1', '='),
        ('in_flight', 'slots'),
        ('in_flight', 'cpu'),
    ],
)
def test_malformed_report_is_ignored(replacement):
    assert parse_load(REPORT.replace(*replacement)) is None
    assert parse_load(f'{REPORT}, x={"0" * 2000}') is None
