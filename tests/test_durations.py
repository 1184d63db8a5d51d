"""Guards against durations that cannot be parsed after formatting."""

from datetime import timedelta

import pytest

from crocusproxy.durations import format_duration, parse_duration


@pytest.mark.parametrize(
    'text', ['1.000001h', '2419200001ms', '250ms', '999999999d', '0s']
)
def test_a_formatted_duration_can_be_parsed_again(text):
    # 1.000001h is 3600003600us; numbers of ten digits were once rejected.
    duration = parse_duration(text)
    assert parse_duration(format_duration(duration)) == duration


@pytest.mark.parametrize('text', ['1000000000d', '9' * 18 + 'h', '9.5e9s'])
def test_a_too_long_duration_raises_a_value_error(text):
    with pytest.raises(ValueError, match='duration'):
        parse_duration(text)


def test_microseconds_are_exact():
    microseconds = 9_007_199_254_740_993
    duration = parse_duration(f'{microseconds}us')
    assert duration == timedelta(microseconds=microseconds)
