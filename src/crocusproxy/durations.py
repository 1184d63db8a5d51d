"""Durations with units in YAML documents, such as ``250ms``."""

import re
from datetime import timedelta
from typing import Annotated, Any

from pydantic import BeforeValidator, PlainSerializer

_UNITS = {  # noqa: WPS407 - read-only by convention
    'us': timedelta(microseconds=1),
    'ms': timedelta(milliseconds=1),
    's': timedelta(seconds=1),
    'min': timedelta(minutes=1),
    'h': timedelta(hours=1),
    'd': timedelta(days=1),
}
_PATTERN = re.compile(r'([0-9]{1,18}(?:\.[0-9]{1,6})?)\s*(us|ms|s|min|h|d)')


def parse_duration(text: str) -> timedelta:
    """Parse a number with one of the units us, ms, s, min, h and d.

    Raises:
        ValueError: the text is not a duration, or the duration is too long;
            the message describes the expected value, as in ``Fault``.

    >>> parse_duration('250ms')
    datetime.timedelta(microseconds=250000)
    """
    match = _PATTERN.fullmatch(text.strip())
    if match is None:
        raise ValueError('a duration with a unit, such as 250ms, 2s or 28d')
    try:
        return _scale(match.group(1), _UNITS[match.group(2)])
    except OverflowError as error:
        raise ValueError('a duration below 1000000000d') from error


def _scale(number: str, unit: timedelta) -> timedelta:
    # Integers stay exact; a float has too few digits for microseconds.
    return int(number) * unit if number.isdecimal() else float(number) * unit


def format_duration(duration: timedelta) -> str:
    """Format a duration in the largest unit that divides it.

    >>> format_duration(timedelta(seconds=120))
    '2min'
    >>> format_duration(timedelta())
    '0s'
    """
    if not duration:
        return '0s'
    for name in ('d', 'h', 'min', 's', 'ms'):
        if not duration % _UNITS[name]:
            return f'{duration // _UNITS[name]}{name}'
    return f'{duration // _UNITS["us"]}us'


def _validate_duration(raw: Any) -> timedelta:
    match raw:
        case timedelta():
            return raw
        case str():
            return parse_duration(raw)
    raise ValueError('a duration with a unit, such as 250ms, 2s or 28d')


Duration = Annotated[
    timedelta,
    BeforeValidator(_validate_duration),
    PlainSerializer(format_duration, return_type=str),
]
