"""Responses to callers, those of upstreams and those of the system itself."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from ..protocol.codec import encode

_REASONS = {  # noqa: WPS407 - read-only by convention
    status.value: status.phrase.encode() for status in HTTPStatus
}
_NO_BODY = frozenset((204, 304))
_ERROR_TYPE = (b'Content-Type', b'application/json')
_MIN_RETRY_AFTER = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete response; ``close`` ends the connection after it."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    close: bool = False

    def encode(self, *, close: bool, with_body: bool = True) -> bytes:
        """Return the bytes to write; ``close`` announces the end."""
        reason = _REASONS.get(self.status, b'Unknown')
        lines = [b'HTTP/1.1 %d %b\r\n' % (self.status, reason)]
        lines.extend(b'%b: %b\r\n' % header for header in self.headers)
        if self.status not in _NO_BODY:
            lines.append(b'Content-Length: %d\r\n' % len(self.body))
        if close:
            lines.append(b'Connection: close\r\n')
        lines.append(b'\r\n')
        if with_body:
            lines.append(self.body)
        return b''.join(lines)


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why the system answers a request itself.

    ``retry_after`` tells the caller when an attempt is likely to succeed.
    """

    status: int
    code: str
    message: str
    retry_after: timedelta | None = None

    def response(
        self,
        headers: Iterable[tuple[bytes, bytes]] = (),
        *,
        close: bool = False,
    ) -> CallerResponse:
        """Return the response, with ``headers`` added."""
        lines = [*headers, _ERROR_TYPE]
        if self.retry_after is not None:
            seconds = max(self.retry_after, _MIN_RETRY_AFTER).total_seconds()
            lines.append((b'Retry-After', f'{seconds:.3f}'.encode()))
        body = encode(_ErrorBody(self.code, self.message))
        return CallerResponse(self.status, tuple(lines), body, close)
