"""Load reports of upstreams in the text form of ORCA."""

from dataclasses import dataclass

HEADER = 'Endpoint-Load-Metrics'

_FORMAT = 'TEXT'
_PREFIX = 'named_metrics.'
_REQUIRED = ('in_flight', 'slots', 'queued')
_MAX_COUNT = 1_000_000
_MAX_LENGTH = 1024


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Counts of requests and slots that an upstream reports.

    ``slots`` is the number of requests that it can run at once, ``queued`` the
    number that wait at it for a slot.
    """

    in_flight: int
    slots: int
    queued: int


def parse_load(text: str) -> ReportedLoad | None:
    """Parse the value of ``HEADER``; return None if it is not valid.

    Other metrics are ignored. A report with a repeated, missing, negative or
    too large count is not valid.

    >>> parse_load(
    ...     'TEXT named_metrics.in_flight=1, named_metrics.slots=2.0, '
    ...     'cpu_utilization=0.3, named_metrics.queued=0'
    ... )
    ReportedLoad(in_flight=1, slots=2, queued=0)
    """
    kind, _, pairs = text.strip().partition(' ')
    if kind != _FORMAT or len(text) > _MAX_LENGTH:
        return None
    counts: dict[str, int] = {}
    for pair in pairs.split(','):
        name, _, number_text = pair.strip().partition('=')
        name = name.removeprefix(_PREFIX)
        if name not in _REQUIRED:
            continue
        count = _parse_count(number_text)
        if count is None or name in counts:
            return None
        counts[name] = count
    if len(counts) < len(_REQUIRED):
        return None
    return ReportedLoad(**counts)


def _parse_count(number_text: str) -> int | None:
    try:
        number = float(number_text)
    except ValueError:
        return None
    # The comparison is also false for NaN.
    if 0 <= number <= _MAX_COUNT and number.is_integer():
        return int(number)
    return None
