"""Encoding of requests to upstreams and reading of their responses."""

from collections.abc import Iterable
from datetime import timedelta
from math import inf

from aiohttp.http import RawRequestMessage, RawResponseMessage

from ..accounts.directory import Authenticated, Identity
from ..protocol.hop_headers import HOP_BY_HOP, listed_in_connection
from .header_names import HeaderNames
from .responses import CallerResponse

#: Not copied; set again where a message needs them.
_REPLACED_HEADERS = HOP_BY_HOP | {b'content-length', b'expect'}
#: Marks a request forwarded to the home; its value is the version of the
#: forwarding instance's configuration.
HOP_HEADER = 'Crocus-Hop'
#: Names the service of a request that a domain home sends to another one, since
#: its own upstreams have no free slot.
OVERFLOW_HEADER = 'Crocus-Overflow'
#: Names the service of a forwarded request. If the receiver chose again among
#: those of the route, it could take one that it does not dispatch, and the
#: traffic split would not be kept. Older builds do choose again.
SERVICE_HEADER = 'Crocus-Service'
#: Names the upstream, and its start, that has responded to a forwarded request,
#: so that the forwarding instance learns what the upstream has stated.
RESPONDER_HEADER = 'Crocus-Upstream'
#: Bounds the effect of an absurd value.
_MAX_RETRY_AFTER_SECONDS = 3600.0
_MIN_DEADLINE_MS = 1


class UpstreamMessages:
    """Encodes requests and reads responses with a deployment's headers.

    With client accounts, upstreams get the name of the account and never the
    key, and other instances of the system get the key and no name. Without
    them, the ``identity`` of a request is None, and both headers are copied.
    """

    def __init__(self, header_names: HeaderNames) -> None:
        self.header_names = header_names
        own_headers = (
            header_names.deadline,
            header_names.expected_upstream,
            HOP_HEADER,
            OVERFLOW_HEADER,
            SERVICE_HEADER,
        )
        self.dropped_request_headers = _REPLACED_HEADERS | {
            name.lower().encode() for name in own_headers
        }
        self.account_header = header_names.account.lower().encode()
        self.authorization_header = header_names.authorization.lower().encode()
        self.dropped_response_headers = _REPLACED_HEADERS | {
            header_names.load.lower().encode(),
            RESPONDER_HEADER.lower().encode(),
        }

    def upstream_request(
        self,
        message: RawRequestMessage,
        body: bytes,
        upstream: str,
        remaining: float,
        identity: Identity | None = None,
    ) -> bytes:
        """Encode a request; ``remaining`` is the time left in seconds."""
        dropped_names = self.dropped_request_headers
        if identity is not None:
            dropped_names |= {self.account_header, self.authorization_header}
        copied_headers = _filter_headers(message.raw_headers, dropped_names)
        header = f'{self.header_names.expected_upstream}: {upstream}'
        if isinstance(identity, Authenticated):
            account = identity.account.name
            header = f'{header}\r\n{self.header_names.account}: {account}'
        return self._encode(message, copied_headers, body, remaining, header)

    def forwarded_request(
        self,
        message: RawRequestMessage,
        body: bytes,
        remaining: float,
        header: str,
        identity: Identity | None = None,
    ) -> bytes:
        """Encode a request to another instance, with the line ``header``."""
        dropped_names = self.dropped_request_headers
        kept_names: frozenset[bytes] = frozenset()
        if identity is not None:
            dropped_names |= {self.account_header}
            kept_names = frozenset((self.authorization_header,))
        copied_headers = _filter_headers(
            message.raw_headers, dropped_names, kept_names
        )
        return self._encode(message, copied_headers, body, remaining, header)

    def caller_response(
        self, message: RawResponseMessage, body: bytes
    ) -> CallerResponse:
        """Convert an upstream's response for the caller."""
        headers = tuple(
            _filter_headers(message.raw_headers, self.dropped_response_headers)
        )
        return CallerResponse(message.code, headers, body)

    def was_not_run(self, message: RawResponseMessage) -> bool:
        """Return whether the upstream reports that the request did not run.

        Status 421 (Misdirected Request) reports this without the header too.
        """
        return (
            message.code == 421 or self.header_names.not_run in message.headers
        )

    def is_from_upstream(self, message: RawResponseMessage) -> bool:
        """Return whether a response counts as the upstream's own.

        It must be signed and have no content encoding.
        """
        headers = message.headers
        return (
            self.header_names.signature in headers
            and 'Content-Encoding' not in headers
        )

    def _encode(
        self,
        message: RawRequestMessage,
        copied_headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        remaining: float,
        header: str,
    ) -> bytes:
        target = message.path.encode('utf-8', 'surrogateescape')
        lines = [b'%b %b HTTP/1.1\r\n' % (message.method.encode(), target)]
        lines.extend(
            b'%b: %b\r\n' % name_and_value for name_and_value in copied_headers
        )
        left_ms = max(int(remaining * 1000), _MIN_DEADLINE_MS)
        lines.append(
            f'{self.header_names.deadline}: {left_ms}\r\n{header}\r\n'.encode()
        )
        if body or 'Content-Length' in message.headers or message.chunked:
            lines.append(b'Content-Length: %d\r\n' % len(body))
        lines.append(b'\r\n')
        lines.append(body)
        return b''.join(lines)


def parse_retry_after(text: str) -> timedelta | None:
    """Return the requested backoff, None if it is no number of seconds.

    >>> parse_retry_after('2.5').total_seconds(), parse_retry_after('soon')
    (2.5, None)
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0 <= seconds < inf:
        return None
    return timedelta(seconds=min(seconds, _MAX_RETRY_AFTER_SECONDS))


def _filter_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped_names: frozenset[bytes],
    kept_names: frozenset[bytes] = frozenset(),
) -> Iterable[tuple[bytes, bytes]]:
    """Yield the headers to copy; ``kept_names`` are never hop-by-hop."""
    connection_headers = listed_in_connection(headers) - kept_names
    for name, value in headers:
        lower_name = name.lower()
        if (
            lower_name not in dropped_names
            and lower_name not in connection_headers
        ):
            yield name, value
