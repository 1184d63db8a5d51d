"""Guards against load reports that are misread instead of passed over."""

import pytest

from crocusproxy.measurement.load_report import (
    ReportedLoad,
    format_load,
    parse_load,
)


def test_a_report_is_read_as_it_was_written():
    load = ReportedLoad(3, 6, 12)
    assert parse_load(format_load(load)) == load


@pytest.mark.parametrize(
    'damage',
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
def test_a_damaged_report_is_not_used(damage):
    text = format_load(ReportedLoad(1, 2, 0))
    assert parse_load(text.replace(*damage)) is None
    assert parse_load(f'{text}, x={"0" * 2000}') is None
