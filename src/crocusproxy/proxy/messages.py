"""Headers of requests to upstreams and of responses to callers."""

from datetime import timedelta

from aiohttp.http import RawResponseMessage
from multidict import CIMultiDict

from ..protocol.hop_headers import HOP_BY_HOP, listed_in_connection
from ..routing.results import LoadReport
from .inbound import InboundRequest

#: Request headers that the proxy sets itself or removes.
_REPLACED_HEADERS = HOP_BY_HOP | {
    b'host',
    b'content-length',
    b'expect',
    b'crocus-timeout-ms',
    b'crocus-caller',
    b'crocus-hops',
    b'x-request-id',
}
#: Response headers that are meant for the proxy, or set by it.
_INTERNAL_HEADERS = HOP_BY_HOP | {
    b'crocus-outcome',
    b'endpoint-load-metrics',
    b'upstream-state',
    b'upstream-outcome',
    b'x-request-id',
}
LOAD_HEADER = 'Endpoint-Load-Metrics'
_LOAD_FORMAT = 'TEXT '
_LOAD_PREFIX = 'named_metrics.'
_LOAD_NAMES = frozenset(('in_flight', 'slots', 'queued'))
# A home gets a shorter timeout, so that its response, which states the outcome
# more precisely, arrives before the deadline of the forwarding instance.
_HOME_TIMEOUT_MARGIN_MS = 5
_MILLISECOND = timedelta(milliseconds=1)


def request_bytes(
    inbound: InboundRequest,
    address: str,
    now: timedelta,
    *,
    to_home: bool = False,
) -> bytes:
    """Return the serialized request for an upstream or a home."""
    remaining = (inbound.deadline - now) // _MILLISECOND
    target = inbound.target
    if to_home:
        target = inbound.path
        remaining -= _HOME_TIMEOUT_MARGIN_MS
    remaining = max(1, remaining)
    lines = [
        f'{inbound.method} {target} HTTP/1.1\r\n'
        f'Host: {address}\r\n'
        f'X-Request-ID: {inbound.request_id}\r\n'
        f'Crocus-Caller: {inbound.caller}\r\n'
        f'Crocus-Timeout-Ms: {remaining}\r\n'.encode('utf-8', 'surrogateescape')
    ]
    if to_home:
        lines.append(b'Crocus-Hops: 1\r\n')
    raw_headers = inbound.message.raw_headers
    connection_headers = listed_in_connection(raw_headers)
    for name, value in raw_headers:
        lowered = name.lower()
        if (
            lowered not in _REPLACED_HEADERS
            and lowered not in connection_headers
        ):
            lines.append(b'%b: %b\r\n' % (name, value))
    if inbound.body or 'Content-Length' in inbound.headers:
        lines.append(b'Content-Length: %d\r\n' % len(inbound.body))
    lines.append(b'\r\n')
    lines.append(inbound.body)
    return b''.join(lines)


def response_headers(message: RawResponseMessage) -> CIMultiDict[str]:
    """Return the headers for the caller, without hop-by-hop headers."""
    headers: CIMultiDict[str] = CIMultiDict()
    connection_headers = listed_in_connection(message.raw_headers)
    for name, value in message.headers.items():
        lowered = name.lower().encode('utf-8', 'surrogateescape')
        if (
            lowered not in _INTERNAL_HEADERS
            and lowered not in connection_headers
        ):
            headers.add(name, value)
    return headers


def load_report(
    message: RawResponseMessage, now: timedelta
) -> LoadReport | None:
    """Return the load report of a response, or None if it is unusable."""
    text = message.headers.get(LOAD_HEADER)
    if text is None:
        return None
    load = parse_load(text)
    if 'in_flight' not in load or load.get('slots', 0) < 1:
        return None
    return LoadReport(
        load['in_flight'], load['slots'], load.get('queued', 0), now
    )


def parse_load(text: str) -> dict[str, int]:
    """Return the known metrics of a load report; empty if it is malformed.

    The report is in the text format of ORCA (Open Request Cost Aggregation).

    >>> parse_load('TEXT named_metrics.in_flight=1, named_metrics.slots=2')
    {'in_flight': 1, 'slots': 2}
    """
    load: dict[str, int] = {}
    for part in text.removeprefix(_LOAD_FORMAT).split(','):
        name, _, number = part.strip().partition('=')
        name = name.removeprefix(_LOAD_PREFIX)
        if name in _LOAD_NAMES:
            try:
                load[name] = int(float(number))
            except (ValueError, OverflowError):
                return {}
    return load if min(load.values(), default=0) >= 0 else {}


def retry_after(message: RawResponseMessage) -> timedelta | None:
    """Return the upstream's backoff, if Retry-After gives it in seconds."""
    text = message.headers.get('Retry-After', '')
    if text.isascii() and text.isdigit() and len(text) < 6:
        return timedelta(seconds=int(text))
    return None
