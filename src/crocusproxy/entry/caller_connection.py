"""HTTP/1.1 connections of callers, with pipelining.

aiohttp's own server handles the requests of one connection one after the other.
Here, idempotent requests that were sent ahead are served at the same time, and
their responses are written in the order of the requests.
"""

import asyncio
from collections import deque
from datetime import timedelta
from typing import Protocol

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import (
    HttpRequestParser,
    HttpVersion11,
    RawRequestMessage,
)
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..clock import Clock
from ..logs import log
from ..routes.model import CallerLimits
from .responses import CallerResponse, Refusal

_MAX_PIPELINED = 64
_UNBOUNDED = 1 << 30  # bodies are bounded by the limits of the configuration
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_TOO_MANY = 'Too many headers'
# Callers may reuse a connection up to the announced limit.
_IDLE_MARGIN = timedelta(seconds=1)
# A caller that is still sending would get a reset in place of the response.
_LINGER_SECONDS = 1.0
#: Stands in for the head of a request that could not be parsed.
_UNREADABLE = RawRequestMessage(
    'GET',
    '/',
    HttpVersion11,
    CIMultiDictProxy(CIMultiDict()),
    (),
    should_close=True,
    compression=None,
    upgrade=False,
    chunked=False,
    url=URL('/'),
)


class CallerRequest:
    """One request of a caller.

    ``received_at`` is the monotonic time of its head. ``is_detached`` is set once the
    request must run to its end even if the caller leaves.
    ``caller_disconnected`` is set once the caller has left.
    """

    __slots__ = (
        'is_detached',
        'caller_disconnected',
        'message',
        'payload',
        'received_at',
        'response',
        'task',
        'turn',
    )

    def __init__(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        received_at: timedelta,
        turn: asyncio.Event | None,
    ) -> None:
        self.message = message
        self.payload = payload
        self.received_at = received_at
        self.response: CallerResponse | None = None
        self.task: asyncio.Task[None] | None = None
        self.turn = turn
        self.is_detached = False
        self.caller_disconnected = False

    def mark_disconnected(self) -> None:
        """Stop serving because nobody waits for the response any more."""
        self.caller_disconnected = True
        if self.task is not None and not self.is_detached:
            self.task.cancel()


class CallerService(Protocol):
    """What a connection needs from the process that it belongs to."""

    clock: Clock
    limits: CallerLimits
    is_draining: bool
    connections: set['CallerConnection']

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""


class CallerConnection(BaseProtocol):
    """Reads requests, has them served, and writes the responses in order."""

    __slots__ = ('active_at', 'ended', 'partial', 'pending', 'service')

    def __init__(
        self, service: CallerService, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self.service = service
        self.pending: deque[CallerRequest] = deque()
        self.ended = False
        self.partial = False
        self.active_at = service.clock.monotonic()
        limit = service.limits.header_bytes
        self._parser = HttpRequestParser(
            self,
            loop,
            _UNBOUNDED,
            max_line_size=limit,
            max_field_size=limit,
            payload_exception=ConnectionError,
            auto_decompress=False,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the open connections of the process."""
        super().connection_made(transport)
        self.service.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop serving what nobody waits for any more."""
        super().connection_lost(exc)
        self.service.connections.discard(self)
        self.ended = True
        for request in self.pending:
            request.mark_disconnected()
            if not request.payload.is_eof():
                request.payload.set_exception(ConnectionError('caller left'))
        self.pending.clear()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Start to serve each request whose head is complete."""
        if self.ended:
            return
        self.active_at = self.service.clock.monotonic()
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - any parser fault
            self._reject(error)
            return
        self.partial = not messages and not self.pending
        for message, payload in messages:
            self._take(message, payload)
        if upgraded:
            self._reject(BadHttpMessage('protocol switch'))
        if len(self.pending) > _MAX_PIPELINED:
            self._pause_reading_for_buffer()

    def close_if_idle(self, now: timedelta) -> None:
        """Close the connection if the caller is too slow or idle too long."""
        limits = self.service.limits
        if self.pending or self.transport is None:
            return
        silent = now - self.active_at
        if self.partial and silent > limits.header_timeout:
            self._reject(TimeoutError('the head took too long'))
        elif silent > limits.idle_timeout + _IDLE_MARGIN:
            self.transport.close()

    def close_gracefully(self) -> None:
        """Close now if no request is being served."""
        if not self.pending and self.transport is not None:
            self.ended = True
            self.transport.close()

    def _take(self, message: RawRequestMessage, payload: StreamReader) -> None:
        turn = None
        if self.pending and message.method not in _SAFE_METHODS:
            # It must not run if a response before it closes the connection.
            turn = asyncio.Event()
        request = CallerRequest(
            message, payload, self.service.clock.monotonic(), turn
        )
        expect = message.headers.get('Expect', '')
        if expect.lower() == '100-continue' and not self.pending:
            assert self.transport is not None
            self.transport.write(_CONTINUE)
        self.pending.append(request)
        request.task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: CallerRequest) -> None:
        try:
            request.response = await self._handle_in_turn(request)
        except asyncio.CancelledError:
            if not request.caller_disconnected:
                raise
            return
        except Exception as error:  # noqa: BLE001 - the caller gets an answer
            log('request_not_handled', code='internal_error', error=repr(error))
            refusal = Refusal(500, 'internal_error', 'the request failed')
            request.response = refusal.response(close=True)
        self._flush()

    async def _handle_in_turn(self, request: CallerRequest) -> CallerResponse:
        if request.turn is not None:
            await request.turn.wait()
        return await self.service.handle(request)

    def _flush(self) -> None:
        while self.pending and not self.ended:
            request = self.pending[0]
            if request.response is None:
                if request.turn is not None:
                    request.turn.set()
                break
            self.pending.popleft()
            self._write(request, request.response)
        self.active_at = self.service.clock.monotonic()
        if self._buffer_paused and len(self.pending) < _MAX_PIPELINED:
            self._resume_reading_for_buffer()

    def _write(self, request: CallerRequest, response: CallerResponse) -> None:
        transport = self.transport
        if transport is None:
            return
        close = (
            response.close
            or request.message.should_close
            or self.service.is_draining
            or not request.payload.is_eof()
        )
        with_body = request.message.method != 'HEAD'
        transport.write(response.encode(close=close, with_body=with_body))
        if close:
            self.ended = True
            # What was sent behind counts as not read by the caller.
            for follower in self.pending:
                follower.mark_disconnected()
            self.pending.clear()
            transport.write_eof()
            self._loop.call_later(_LINGER_SECONDS, transport.close)

    def _reject(self, error: BaseException) -> None:
        """Answer what is no request, after the responses that are due."""
        refusal = _refusal_of(error)
        log('request_not_handled', code=refusal.code, error=repr(error))
        request = CallerRequest(
            _UNREADABLE, EMPTY_PAYLOAD, self.service.clock.monotonic(), None
        )
        request.response = refusal.response(close=True)
        self.pending.append(request)
        self._flush()


def _refusal_of(error: BaseException) -> Refusal:
    match error:
        case LineTooLong():
            return Refusal(431, 'headers_too_large', 'the head is too large')
        case TimeoutError():
            return Refusal(408, 'header_timeout', str(error))
        case _ if _TOO_MANY in str(error):
            return Refusal(431, 'headers_too_large', 'too many headers')
    return Refusal(400, 'malformed_request', 'not a valid HTTP request')
