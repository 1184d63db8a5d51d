"""Guards against malformed load reports that are used."""

import pytest

from crocusproxy.measurement.load_report import (
    ReportedLoad,
    format_load,
    parse_load,
)


def test_formatted_report_is_parsed_to_an_equal_one():
    load = ReportedLoad(3, 6, 12)
    assert parse_load(format_load(load)) == load


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
    text = format_load(ReportedLoad(1, 2, 0))
    assert parse_load(text.replace(*replacement)) is None
    assert parse_load(f'{text}, x={"0" * 2000}') is None
