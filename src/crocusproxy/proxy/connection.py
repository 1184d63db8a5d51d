"""An HTTP/1.1 client connection that carries one request at a time.

It uses aiohttp's response parser directly, because aiohttp's client session
silently retries an idempotent request when a reused connection breaks. Here
each call of ``send`` sends exactly once, so that every send is counted.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage

_READ_BUFFER_BYTES = 64 * 1024
_MAX_HEADER_FIELD_BYTES = 16 * 1024
#: More than any server needs before one final response.
MAX_INFORMATIONAL_RESPONSES = 32
#: A connection closes after this many refusals, as it keeps their request ids.
MAX_REFUSALS = 64
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
#: RFC 9110, section 15, has no others.
_STATUSES = range(100, 600)
_SWITCHING_PROTOCOLS = 101


class BrokenResponseError(Exception):
    """The request was written, but no complete response arrived."""


class DeadlineError(BrokenResponseError):
    """The deadline passed before the response was complete."""


class UpstreamConnection(BaseProtocol):
    """Sends a request and returns the head of its response.

    ``on_lost`` is called once when the connection is closed by the peer or by
    a fault. ``tag`` identifies the request in flight in a crash report; None
    excludes it. ``idle_since`` is the event loop time in seconds. ``fault`` is
    the reason why the response is not usable, or empty. ``is_aborted`` is set
    if this side closed the connection. ``refused_ids`` are those of requests
    that the upstream has reported as not run on this connection. With
    ``closes_after_exchange`` it is not reused.
    """

    __slots__ = (
        'closes_after_exchange',
        'is_aborted',
        'fault',
        'echoes_request_id',
        'expects_body',
        'idle_since',
        'informational_count',
        'last_request_id',
        'message',
        'on_lost',
        'payload',
        'refused_ids',
        'tag',
        'timer',
        'waiter',
    )

    #: Whether the end of the connection may delimit a response body.
    reads_until_close = False

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[['UpstreamConnection'], None],
    ) -> None:
        super().__init__(loop)
        self.on_lost = on_lost
        self.waiter: asyncio.Future[RawResponseMessage] | None = None
        self.message: RawResponseMessage | None = None
        self.payload: StreamReader | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.fault = ''
        self.is_aborted = False
        self.informational_count = 0
        self.expects_body = True
        self.idle_since = float()
        self.last_request_id = ''
        self.echoes_request_id = False
        self.refused_ids: set[str] = set()
        self.closes_after_exchange = False
        self.tag: Any = None

    @property
    def is_usable(self) -> bool:
        """Return whether a request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def may_carry(self, request_id: str) -> bool:
        """Return whether no earlier response can belong to a request.

        A late copy of a response to an earlier attempt of the same request
        would be taken for that to the new one.
        """
        return (
            request_id != self.last_request_id
            and request_id not in self.refused_ids
        )

    def record_refusal(self, *, has_id: bool) -> None:
        """Record that the upstream has reported the latest request as not run.

        A late copy of a refusal without the request's id could not be told from
        a refusal of the next request.
        """
        self.refused_ids.add(self.last_request_id)
        if not has_id or len(self.refused_ids) >= MAX_REFUSALS:
            self.closes_after_exchange = True

    def send(
        self,
        request: bytes,
        *,
        expects_body: bool,
        timeout: float,
    ) -> asyncio.Future[RawResponseMessage]:
        """Write a request; the future resolves to the head of its response.

        ``timeout`` in seconds covers the whole response. The body is read
        from ``payload``.

        Raises (from the future):
            BrokenResponseError: the response is not usable.
        """
        self._parser = HttpResponseParser(
            self,
            self._loop,
            _READ_BUFFER_BYTES,
            payload_exception=BrokenResponseError,
            response_with_body=expects_body,
            read_until_eof=self.reads_until_close,
            auto_decompress=False,
            max_line_size=_MAX_HEADER_FIELD_BYTES,
            max_field_size=_MAX_HEADER_FIELD_BYTES,
        )
        self.message = None
        self.payload = None
        self.informational_count = 0
        self.expects_body = expects_body
        self.waiter = self._loop.create_future()
        self.timer = self._loop.call_later(timeout, self._on_timeout)
        assert self.transport is not None
        self.transport.write(request)
        return self.waiter

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        may_reuse = self._is_complete() and not self.closes_after_exchange
        self.waiter = None
        self.payload = None
        self._parser = None
        transport = self.transport
        is_reusable = (
            may_reuse
            and transport is not None
            and not transport.is_closing()
            # An upstream may respond before it has read the whole request.
            and not transport.get_write_buffer_size()
        )
        if not is_reusable:
            self.abort()
        return is_reusable

    def abort(self) -> None:
        """Close the connection at once, which cancels a request in flight."""
        self.is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; bytes outside a response are a fault.

        So is a status out of range, which would be taken for an informational
        response or be passed on to the caller.
        """
        if self._parser is None:
            if data:
                self._abort_with('data outside of a response')
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - any parser fault
            self._abort_with(f'malformed response: {error}')
            return
        for message, payload in messages:
            self._accept_valid(message, payload)
        if upgraded:
            self._abort_with('protocol switch that was not asked for')
        waiter = self.waiter
        if messages and waiter is not None and not waiter.done():
            # An informational response leaves the message unset.
            if self.message is not None:
                waiter.set_result(self.message)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the current exchange and call ``on_lost``."""
        super().connection_lost(exc)
        self._fail(BrokenResponseError('the connection was lost'))
        self.on_lost(self)

    def _is_complete(self) -> bool:
        if self.message is None or self.payload is None or self.fault:
            return False
        return self.payload.is_eof() and not self.message.should_close

    def _accept_valid(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        """Accept a response; what follows a whole one may have any status."""
        if self.message is None and message.code not in _STATUSES:
            self._abort_with(f'invalid status {message.code}')
        else:
            self._accept(message, payload)

    def _accept(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        if message.code < _FIRST_FINAL_STATUS:
            if message.code == _SWITCHING_PROTOCOLS:
                self._abort_with('protocol switch that was not asked for')
            self.informational_count += 1
            if self.informational_count > MAX_INFORMATIONAL_RESPONSES:
                self._abort_with('too many informational responses')
            return
        if self.message is not None:
            self._abort_with('more than one response')
            return
        self.message = message
        self.payload = payload
        if not self._is_framed(message):
            # Its end would be indistinguishable from a broken connection.
            self._abort_with('response without declared length')

    def _is_framed(self, message: RawResponseMessage) -> bool:
        return (
            message.chunked
            or 'Content-Length' in message.headers
            or not self.expects_body
            or message.code in _STATUSES_WITHOUT_BODY
        )

    def _on_timeout(self) -> None:
        self.timer = None
        self.fault = 'deadline exceeded'
        self._fail(DeadlineError(self.fault))
        self.abort()

    def _abort_with(self, reason: str) -> None:
        self.fault = self.fault or reason
        self._fail(BrokenResponseError(reason))
        self.abort()

    def _fail(self, error: BrokenResponseError) -> None:
        self.fault = self.fault or str(error)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)
        if self.payload is not None and not self.payload.is_eof():
            self.payload.set_exception(error)
