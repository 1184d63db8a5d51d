"""HTTP headers that this system exchanges with callers and upstreams."""

from datetime import timedelta
from math import isfinite

from ..entry.header_names import HeaderNames, UpstreamLoad

_REQUIRED_LOAD_FIELDS = 3
_NORMAL_SERVICE_TIME_PERCENT = 100.0
#: One hour; a longer warm-up is treated as malformed.
_MAX_WARM_UP_MS = 3_600_000


def parse_load(text: str) -> UpstreamLoad | None:
    """Return a reported load, or None if it is malformed.

    The optional fourth field is the current service time in percent of the
    normal one.

    >>> parse_load('3,0,8,500')
    UpstreamLoad(running=3, waiting=0, slots=8, slowdown=5.0)
    """
    try:
        values = [float(field) for field in text.split(',')]
    except ValueError:
        return None
    if len(values) < _REQUIRED_LOAD_FIELDS or min(values) < 0:
        return None
    running, waiting, slots = values[:_REQUIRED_LOAD_FIELDS]
    slowdown = None
    if len(values) > _REQUIRED_LOAD_FIELDS:
        slowdown = values[_REQUIRED_LOAD_FIELDS] / _NORMAL_SERVICE_TIME_PERCENT
    return UpstreamLoad(int(running), int(waiting), int(slots), slowdown)


def parse_rate_limit(text: str) -> float | None:
    """Return a rate limit in requests per second, or None if it is malformed.

    >>> parse_rate_limit('2.5'), parse_rate_limit('-1'), parse_rate_limit('nan')
    (2.5, None, None)
    """
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if isfinite(limit) and limit >= 0 else None


def parse_warm_up(text: str) -> timedelta | None:
    """Return the remaining warm-up, or None if it is malformed.

    >>> parse_warm_up('1500'), parse_warm_up('-1')
    (datetime.timedelta(seconds=1, microseconds=500000), None)
    """
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not 0 <= milliseconds <= _MAX_WARM_UP_MS:
        return None
    return timedelta(milliseconds=milliseconds)


HEADER_NAMES = HeaderNames(
    request_id='X-Crocusproxy-Request-Id',
    deadline='X-Crocusproxy-Deadline-Milliseconds',
    # Only the upstream itself can compute it. Its presence is checked, not its
    # value: a response without it does not count as the upstream's, except for
    # a report that the request did not run.
    signature='X-Crocusproxy-Response-Signature',
    # In the next two names, instance means an upstream server.
    expected_upstream='X-Crocusproxy-Expected-Instance',
    upstream='X-Crocusproxy-Instance-Id',
    not_run='X-Crocusproxy-Not-Executed',
    load='X-Crocusproxy-Server-Load',
    rate_limit='Server-Limit',
    leaving='Server-Leaving',
    authorization='Authorization',
    account='X-Crocusproxy-Tenant-Name',
    warm_up='X-Crocusproxy-Warmup-Remaining',
    parse_load=parse_load,
    parse_rate_limit=parse_rate_limit,
    parse_warm_up=parse_warm_up,
)
