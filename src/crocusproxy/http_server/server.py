"""An aiohttp server whose connections end without a loss of responses."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, cast

from aiohttp import StreamReader, web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from ..log_limit import LineLimit
from ..logs import log
from .connection_limit import (
    ARRIVAL_TIME,
    ConnectionLimit,
    Expendability,
    RefusedConnection,
    descriptor_limit,
)
from .input_limits import (
    BODY_COST,
    HEAD_COST,
    REFUSED_BYTES,
    SMALL_INPUT_BYTES,
    InputBudget,
    limit_port,
)
from .port_close import close_port
from .transport import DeliveringTransport

_CHECK_SECONDS = 0.02
#: Runs of the loop in which connections are read before they end; a caller may
#: go on sending.
_MAX_READ_RUNS = 100
_REFUSAL_LINES_PER_SECOND = 10
_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
#: What callers of a port may make the process hold if nothing else is set.
_INPUT_BYTES = 8 * 1024 * 1024


def _default_budget() -> InputBudget:
    return InputBudget(_INPUT_BYTES)


@dataclass(frozen=True, slots=True)
class PortLimits:
    """Limits on what the callers of one port make the process hold.

    Connections take at most ``descriptor_share`` of the descriptors, and a head
    with the empty lines before it has at most ``max_head_bytes``. A caller may
    send ``max_body_bytes`` of a body before it reads that it is refused.
    """

    descriptor_share: float = 0.3
    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024
    input_budget: InputBudget = field(default_factory=_default_budget)


class ServedConnection(RequestHandler):
    """Closes once the caller has acknowledged all responses.

    aiohttp closes a connection as soon as it has written the last response. A
    connection is not idle with responses that the caller has yet to receive, or
    with input that nobody has read.

    ``head_bytes`` have arrived of the head of a request, with the empty lines
    before it, and ``payload`` is the body of the latest request.
    """

    __slots__ = (
        'arrival_started_at',
        'delivering_transport',
        'discarded_bytes',
        'head_bytes',
        'last_activity_at',
        'payload',
        'server',
    )

    def __init__(
        self, server: 'DeliveringServer', *args: Any, **options: Any
    ) -> None:
        super().__init__(server, *args, **options)
        self.server = server
        self.head_bytes = 0
        self.discarded_bytes = 0
        self.payload: StreamReader = EMPTY_PAYLOAD
        self.arrival_started_at: timedelta | None = None
        self.last_activity_at = timedelta()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Replace the transport by one that delivers before it closes."""
        self.last_activity_at = self._now()
        self.delivering_transport = DeliveringTransport(
            cast(asyncio.Transport, transport), self._loop
        )
        super().connection_made(
            cast(asyncio.Transport, self.delivering_transport)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the input of the connection."""
        # A payload refers to its connection.
        self.payload = EMPTY_PAYLOAD
        self.server.limits.input_budget.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse input; discard what arrives after the end of this direction."""
        if self._close or self.delivering_transport.is_closing():
            self._discard(len(data))
            return
        if data:
            self._note_arrival()
        awaits_head = self.payload.is_eof()
        queued_before = len(self._messages)
        super().data_received(data)
        is_head = awaits_head and len(self._messages) == queued_before
        self.head_bytes += len(data) if is_head else 0
        self._note_parsed(queued_before)
        if self.head_bytes > self.server.limits.max_head_bytes:
            self._refuse_head()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, which may be an exception of a handler."""
        _release_frames(resp)
        return await super().finish_response(request, resp, start_time)

    def input_bytes(self) -> int:
        """Return the memory of the input that was not served yet."""
        body_bytes = 0
        if self._current_request is not None or not self.payload.is_eof():
            body_bytes = BODY_COST * self.payload.total_bytes
        return HEAD_COST * self.head_bytes + body_bytes

    def input_started_at(self) -> timedelta | None:
        """Return since when input is held that may be dropped, if any."""
        if self.delivering_transport.is_closing() or self._is_behind_request():
            return None
        return self.arrival_started_at

    def drop_input(self) -> None:
        """End the connection without an answer."""
        self.delivering_transport.transport.abort()

    def expendability(self, now: timedelta) -> Expendability | None:
        """Return why the connection may be ended, None if it may not."""
        transport = self.delivering_transport
        if transport.is_closing():
            return Expendability.ENDED if transport.is_received() else None
        started_at = self.input_started_at()
        if started_at is not None:
            if now - started_at <= ARRIVAL_TIME:
                return None
            is_head = self.payload.is_eof()
            return (
                Expendability.LATE_HEAD if is_head else Expendability.LATE_BODY
            )
        if self._is_used():
            return None
        return (
            Expendability.IDLE
            if self._request_count
            else Expendability.NEVER_USED
        )

    def end_for_limit(self) -> bool:
        """End the connection, as descriptors are short, and return True."""
        if self.delivering_transport.is_closing():
            self.delivering_transport.transport.close()
        elif self.input_started_at() is None:
            self.force_close()
        else:
            self.drop_input()
        return True

    def _is_behind_request(self) -> bool:
        """Return whether what arrives is behind a request that may be at work.

        A body that arrives belongs to the current request or to a queued one.
        """
        if self.payload.is_eof():
            return self._has_requests()
        return self._current_request is not None and bool(self._messages)

    def _has_requests(self) -> bool:
        return self._current_request is not None or bool(self._messages)

    def _is_used(self) -> bool:
        transport = self.delivering_transport
        return (
            self._has_requests()
            or transport.has_unread_responses()
            or transport.has_unread_input()
        )

    def _note_arrival(self) -> None:
        self.last_activity_at = self._now()
        if self.arrival_started_at is None:
            self.arrival_started_at = self.last_activity_at

    def _discard(self, byte_count: int) -> None:
        """Count discarded input, and read no more than a caller may send."""
        transport = self.delivering_transport
        self.discarded_bytes += byte_count
        max_bytes = REFUSED_BYTES + self.server.limits.max_body_bytes
        if self.discarded_bytes > max_bytes and transport.is_reading():
            transport.pause_reading()

    def _note_parsed(self, queued_before: int) -> None:
        """Note what of the input has become requests."""
        if self._upgraded:
            # No daemon switches protocols.
            self.close()
        if len(self._messages) > queued_before:
            message, payload = self._messages[-1]
            self.payload = payload
            _release_frames(getattr(message, 'exc', None))
            self.head_bytes = 0
        if self.payload.is_eof() and not self.head_bytes:
            self.arrival_started_at = None
        if self.input_bytes() > SMALL_INPUT_BYTES:
            self.server.limits.input_budget.note(self, self._now())

    def _refuse_head(self) -> None:
        """Answer that the head is too large, and end the connection.

        Behind other requests there is no answer: it would count as theirs.
        """
        self.server.log_refusal('headers_too_large', 'HeadTooLargeError')
        self.head_bytes = 0
        if self._has_requests():
            self.close()
        else:
            self.delivering_transport.write(_HEAD_TOO_LARGE)
            self.force_close()

    def _now(self) -> timedelta:
        return timedelta(seconds=self._loop.time())

    def _process_keepalive(self) -> None:
        transport = self.delivering_transport
        if transport.has_unread_input() or transport.has_unread_responses():
            self._next_keepalive_close_time = (
                self._loop.time() + self._keepalive_timeout
            )
        super()._process_keepalive()


def _release_frames(error: object) -> None:
    """Release what the frames of an error hold.

    They refer to the connection and it to the error, so that all of it would
    stay until a garbage collection.
    """
    if isinstance(error, BaseException):
        error.with_traceback(None)


class DeliveringServer(web.Server):
    """Creates the connections of a port and tells when they have ended.

    ``open_connections`` include those that the server has ended and whose
    callers still receive.
    """

    connection_type = ServedConnection

    def __init__(
        self,
        *args: Any,
        limits: PortLimits,
        **options: Any,
    ) -> None:
        # A connection discards the rest of a body after its end.
        super().__init__(*args, lingering_time=0, **options)
        self.open_connections: set[ServedConnection] = set()
        self.limits = limits
        self.line_limit = LineLimit(_REFUSAL_LINES_PER_SECOND)
        self.connection_limit = ConnectionLimit(
            self.open_connections,
            descriptor_limit(limits.descriptor_share),
            lambda: timedelta(seconds=self._loop.time()),
        )

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection, after making room."""
        self.connection_limit.make_room()
        if self.connection_limit.is_exceeded():
            return cast(RequestHandler, RefusedConnection())
        return self.connection_type(self, loop=self._loop, **self._kwargs)

    def log_refusal(self, code: str, error: str) -> None:
        """Log input that was refused, as far as the limit of lines allows."""
        if self.line_limit.admit(timedelta(seconds=self._loop.time())):
            dropped_lines = self.line_limit.take_dropped()
            log(
                'request_not_handled',
                code=code,
                error=error,
                left_out=dropped_lines,
            )

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Register a new connection."""
        super().connection_made(handler, transport)
        self.open_connections.add(cast(ServedConnection, handler))

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a connection that has closed."""
        super().connection_lost(handler, exc)
        self.open_connections.discard(cast(ServedConnection, handler))

    async def close_port(self, site: web.BaseSite) -> None:
        """Close the port of a site, and read what callers have sent to it."""
        listening = _listening_server(site)
        if listening is not None:
            await close_port(listening, self)
        await site.stop()
        await self.wait_until_read()

    async def wait_until_read(self) -> None:
        """Wait until all callers' input was read, at least for one run."""
        for _ in range(_MAX_READ_RUNS):
            await asyncio.sleep(0)
            if not any(one.has_unread_input() for one in self._transports()):
                return

    async def wait_until_acknowledged(self) -> None:
        """Wait until all callers have acknowledged all responses."""
        while any(
            transport.has_unread_responses() for transport in self._transports()
        ):
            await asyncio.sleep(_CHECK_SECONDS)

    async def wait_until_delivered(self) -> None:
        """Wait as above, and until all ended connections are closed."""
        while not all(
            transport.is_delivered() for transport in self._transports()
        ):
            await asyncio.sleep(_CHECK_SECONDS)

    def _transports(self) -> list[DeliveringTransport]:
        return [one.delivering_transport for one in self.open_connections]


class DeliveringRunner(web.AppRunner):
    """Serves an application with connections that lose no response."""

    def __init__(
        self,
        application: web.Application,
        limits: PortLimits,
        **options: Any,
    ) -> None:
        super().__init__(application, **options)
        self.limits = limits

    async def cleanup(self) -> None:
        """Close the ports and connections; what callers have sent is served."""
        if isinstance(self.server, DeliveringServer):
            for site in tuple(self.sites):
                await self.server.close_port(site)
        await super().cleanup()

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return DeliveringServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            limits=self.limits,
            **self._kwargs,
        )


def limit_site(site: web.BaseSite) -> None:
    """Limit the receive buffers of the connections of a site."""
    listening = _listening_server(site)
    if listening is not None:
        limit_port(listening)


def _listening_server(site: web.BaseSite) -> asyncio.AbstractServer | None:
    return site._server  # noqa: SLF001, WPS437 - not public
