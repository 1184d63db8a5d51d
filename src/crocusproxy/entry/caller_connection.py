"""HTTP/1.1 connections of callers, with pipelining.

aiohttp's own server handles the requests of one connection one at a time. Here,
pipelined GET and HEAD requests are served concurrently, and their responses are
written in the order of the requests.
"""

import asyncio
from dataclasses import replace
from datetime import timedelta
from typing import Protocol

from aiohttp import StreamReader
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD

from ..clock import Clock
from ..http_server.connection_limit import ARRIVAL_TIME, Expendability
from ..http_server.input_limits import (
    REFUSED_TIME,
    SMALL_INPUT_BYTES,
    InputBudget,
    ReceiveBuffers,
)
from ..http_server.response_delivery import ResponseDelivery
from ..http_server.socket_queues import unread_bytes
from ..logs import log
from ..routes.model import CallerLimits
from .caller_request import CallerRequest, RequestStage, expects_continue
from .connection_end import (
    ConnectionEnd,
    EndCause,
    OpenRequest,
    connection_end,
    open_requests,
)
from .header_names import HeaderNames
from .refusals import INPUT_OVERLOADED
from .request_intake import RequestIntake
from .responses import CallerResponse, Refusal
from .turns import Turns
from .unread_responses import UnreadResponses

_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_USED, _UNUSED = Expendability.IDLE, Expendability.NEVER_USED
_LATE_HEAD, _LATE_BODY = Expendability.LATE_HEAD, Expendability.LATE_BODY
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Added to the idle timeout, since callers may reuse a connection until then.
_IDLE_MARGIN = timedelta(seconds=1)


class GatewayProtocol(Protocol):
    """The part of the gateway that a connection uses."""

    clock: Clock
    limits: CallerLimits
    header_names: HeaderNames
    is_draining: bool
    connections: set['CallerConnection']
    turns: Turns
    unread_responses: UnreadResponses
    input_budget: InputBudget
    receive_buffers: ReceiveBuffers

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""

    def refuse(
        self, request: CallerRequest, refusal: Refusal
    ) -> CallerResponse:
        """Record a refusal and return its response."""

    def record_rejection(self, code: str, error_type: str) -> None:
        """Record input that is no request and was refused."""

    def record_end(self, end: ConnectionEnd) -> None:
        """Record a connection that ended with requests open."""


class CallerConnection(RequestIntake):
    """Reads requests, serves them, and writes the responses in order.

    A request that has started may be at work at an upstream, so the connection
    ends only after the last one of these, and once the caller has acknowledged
    all responses or is gone; ``is_finished`` is set while the end is under way.
    ``closes_after_started`` is set once no further request may start, and
    ``ignores_input`` once one has arrived that does not start: the caller
    treats requests without a response before the close as not processed.

    ``end_cause`` is who ends the connection, None while it is open. ``dropped``
    are the requests that did not start before the response that closed it, and
    ``discarded_bytes`` counts the input that arrived too late for one;
    ``unread_bytes`` of it were in the kernel when the end began.
    """

    __slots__ = (
        'delivery',
        'dropped',
        'end_cause',
        'unread_bytes',
    )

    gateway: GatewayProtocol

    def __init__(
        self, gateway: GatewayProtocol, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(gateway, loop)
        self.delivery: ResponseDelivery | None = None
        self.end_cause: EndCause | None = None
        self.dropped: tuple[OpenRequest, ...] = ()
        self.unread_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the gateway."""
        super().connection_made(transport)
        assert self.transport is not None
        self.delivery = ResponseDelivery(
            self.transport, self.gateway.clock.monotonic()
        )
        self.gateway.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests of the connection unless they are detached."""
        self._record_end(exc)
        self._forget_memory()
        super().connection_lost(exc)
        # The parser refers to its connection.
        self._parser = None
        self.delivery = None
        self.gateway.connections.discard(self)
        self.is_finished = True
        for request in self.pipeline:
            request.mark_disconnected()
            if not request.payload.is_eof():
                request.payload.set_exception(
                    ConnectionError('the caller disconnected')
                )
        self.pipeline.clear()

    def eof_received(self) -> None:
        """Note that the caller ends the connection; it then closes."""
        if self.end_cause is None or self.has_outstanding_bytes():
            self.end_cause = EndCause.CALLER

    def resume_writing(self) -> None:
        """Go on with the input once the caller has read responses."""
        super().resume_writing()
        self.gateway.unread_responses.forget(self)
        self.gateway.turns.wait(self, self._loop)

    def held_bytes(self) -> int:
        """Return the bytes that this process holds for the caller."""
        if self.delivery is None:
            return 0
        return self.delivery.transport.get_write_buffer_size()

    def silence(self, now: timedelta) -> timedelta:
        """Return for how long the caller has acknowledged nothing."""
        if self.delivery is None:
            return timedelta()
        self.delivery.update(now)
        return now - self.delivery.acknowledged_at

    def end_for_memory(self) -> None:
        """End the connection without the responses that it holds."""
        if self.delivery is not None:
            self.end_cause = EndCause.MEMORY
            self.delivery.transport.abort()

    def enforce_timeouts(self, now: timedelta) -> None:
        """Close if the caller is gone, or after a timeout.

        The header timeout counts from the first byte of a head, the idle
        timeout from the latest received byte, or written or acknowledged
        response.
        """
        delivery = self.delivery
        if delivery is None:
            return
        delivery.update(now)
        if delivery.is_stalled(now):
            self.end_cause = EndCause.SEND_TIMEOUT
            delivery.transport.abort()
        elif delivery.may_close(now) or self._has_had_refusal(delivery, now):
            delivery.transport.close()
        elif not (self.pipeline or self.is_finished or self.has_kept_input()):
            self._enforce_idle_timeouts(delivery, now)

    def end_if_idle(self, now: timedelta) -> bool:
        """End the connection unless a request or a response is under way.

        Return whether the caller still waits for, receives or reads responses.
        """
        delivery = self.delivery
        if delivery is None:
            return False
        if self.pipeline or self.waits_for_turn():
            return True
        delivery.update(now)
        is_idle = not (self.is_finished or delivery.outstanding)
        if is_idle and not self._end_unless_unread(EndCause.STOP, now):
            return True
        return delivery.is_receiving(now)

    def expendability(self, now: timedelta) -> Expendability | None:
        """Return why the connection may be ended, None if it may not."""
        if self.is_unused():
            return _USED if self.has_responded() else _UNUSED
        if self.is_finished:
            is_received = not self.has_outstanding_bytes()
            return Expendability.ENDED if is_received else None
        started_at = self.input_started_at()
        if started_at is None or now - started_at <= ARRIVAL_TIME:
            return None
        return _LATE_BODY if self.pipeline else _LATE_HEAD

    def has_responded(self) -> bool:
        """Return whether the caller was sent a response."""
        return self.delivery is not None and self.delivery.byte_count > 0

    def is_unused(self) -> bool:
        """Return whether the caller waits for nothing and sends nothing.

        An end that is under way does not count. What the kernel holds is not
        looked at.
        """
        if self.delivery is None or self.pipeline or self.has_kept_input():
            return False
        if self.is_finished or self.head_started_at is not None:
            return False
        return not self.has_outstanding_bytes()

    def end_for_limit(self) -> bool:
        """End the connection, as descriptors are short, unless it has input.

        Return whether it ends.
        """
        now = self.gateway.clock.monotonic()
        transport = self.transport
        if transport is not None and self.is_finished:
            transport.close()
            return True
        if self.input_started_at() is not None:
            self.end_cause = self.end_cause or EndCause.LIMIT
            self.drop_input()
            return True
        if transport is None or not self._end_unless_unread(
            EndCause.LIMIT, now
        ):
            return False
        transport.close()
        return True

    def has_outstanding_bytes(self) -> bool:
        """Return whether the caller has yet to acknowledge bytes."""
        if self.delivery is None:
            return False
        self.delivery.update(self.gateway.clock.monotonic())
        return self.delivery.outstanding > 0

    def record_stop(self) -> None:
        """Record the end of a connection that is open as the process ends."""
        self.end_cause = self.end_cause or EndCause.STOP
        self._record_end(None)

    def _forget_memory(self) -> None:
        """Give back what the connection has of all budgets."""
        # A payload refers to its connection.
        self.meter.start_body(EMPTY_PAYLOAD)
        self.gateway.unread_responses.forget(self)
        self.gateway.input_budget.forget(self)
        if self.transport is not None:
            self.gateway.receive_buffers.forget(self.transport)

    def _has_had_refusal(
        self, delivery: ResponseDelivery, now: timedelta
    ) -> bool:
        """Return whether a caller that sends on has had time to read."""
        if delivery.outstanding or not self.is_finished:
            return False
        is_over = now - delivery.acknowledged_at > REFUSED_TIME
        return is_over and self._has_sent_too_much()

    def _end_for_input(self) -> None:
        if self.transport is not None:
            self.end_cause = self.end_cause or EndCause.INPUT
            self.transport.abort()

    def _enforce_idle_timeouts(
        self, delivery: ResponseDelivery, now: timedelta
    ) -> None:
        limits = self.gateway.limits
        active_at = max(self.last_activity_at, delivery.acknowledged_at)
        if self._is_head_late(now):
            self._reject(TimeoutError('the head took too long'))
        elif delivery.outstanding:
            return
        elif now - active_at > limits.idle_timeout + _IDLE_MARGIN:
            self._end_unless_unread(EndCause.IDLE_TIMEOUT, now)

    def _start_request(
        self, message: RawRequestMessage, payload: StreamReader, head_bytes: int
    ) -> None:
        self.closes_after_started = message.should_close
        earlier_responses_written = None
        is_unsafe = message.method not in _SAFE_METHODS
        if self.pipeline and (is_unsafe or expects_continue(message)):
            # An unsafe request must not run if the connection is closed after
            # an earlier response, and a 100 comes after the earlier responses.
            earlier_responses_written = asyncio.Event()
        request = CallerRequest(
            message,
            payload,
            message.headers.get(self.gateway.header_names.request_id, ''),
            self.gateway.clock.monotonic(),
            earlier_responses_written,
            head_bytes,
        )
        self.pipeline.append(request)
        if self.transport is not None and not payload.is_eof():
            self.gateway.receive_buffers.enlarge(self.transport)
        request.task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: CallerRequest) -> None:
        try:
            request.response = await self._handle_in_order(request)
        except asyncio.CancelledError:
            if not request.caller_disconnected:
                raise
            return
        except Exception as error:  # noqa: BLE001 - the caller gets a response
            log('request_not_handled', code='internal_error', error=repr(error))
            refusal = Refusal(500, 'internal_error', 'the request failed')
            request.response = refusal.response(close=True)
        request.stage = RequestStage.ANSWERED
        self._write_ready_responses()

    async def _handle_in_order(self, request: CallerRequest) -> CallerResponse:
        if request.earlier_responses_written is not None:
            await request.earlier_responses_written.wait()
        if expects_continue(request.message) and self.transport is not None:
            self.transport.write(_CONTINUE)
        if self._is_too_much_input(request):
            refusal = self.gateway.refuse(request, INPUT_OVERLOADED)
            return replace(refusal, close=True)
        return await self.gateway.handle(request)

    def _is_too_much_input(self, request: CallerRequest) -> bool:
        """Return whether a large request must not add to what others hold."""
        is_large = request.input_bytes() > SMALL_INPUT_BYTES
        return is_large and self.gateway.input_budget.is_exceeded()

    def _write_ready_responses(self) -> None:
        while self.pipeline and not self.is_finished:
            request = self.pipeline[0]
            if request.response is None:
                if request.earlier_responses_written is not None:
                    request.earlier_responses_written.set()
                break
            self.pipeline.popleft()
            self._write_response(request, request.response)
        if self in self.gateway.input_budget.holders:
            self._note_input()
        self.last_activity_at = self.gateway.clock.monotonic()
        if self.splitter.segment:
            self.gateway.turns.wait(self, self._loop)

    def _write_response(
        self, request: CallerRequest, response: CallerResponse
    ) -> None:
        if self.delivery is None:
            return
        if response.close or self.gateway.is_draining:
            self.closes_after_started = True
        close = not request.payload.is_eof() or (
            self.closes_after_started and not self._has_started_requests()
        )
        with_body = request.message.method != 'HEAD'
        encoded = response.encode(close=close, with_body=with_body)
        self.last_response_bytes = len(encoded)
        now = self.gateway.clock.monotonic()
        self.delivery.write(request.request_id, encoded, now)
        if self._paused:
            self.gateway.unread_responses.note(self, now)
        if close:
            self.dropped = open_requests(self.pipeline, now)
            for later_request in self.pipeline:
                later_request.mark_disconnected()
            self.pipeline.clear()
            is_stop = self.gateway.is_draining
            self._finish(EndCause.STOP if is_stop else EndCause.RESPONSE)

    def _finish(self, cause: EndCause) -> None:
        """Send no more, and discard what the caller sends until it closes."""
        if self.delivery is None:
            return
        self.unread_bytes = unread_bytes(self.delivery.transport)
        self.delivery.end(self.gateway.clock.monotonic())
        self._note_finish(cause)

    def _end_unless_unread(self, cause: EndCause, now: timedelta) -> bool:
        """End the connection unless input is unread; return whether it did."""
        if self.delivery is None or not self.delivery.end_unless_unread(now):
            return False
        self._note_finish(cause)
        return True

    def _note_finish(self, cause: EndCause) -> None:
        self.is_finished = True
        self.end_cause = self.end_cause or cause
        self._ignore_input()
        self._update_reading()

    def _record_end(self, error: BaseException | None) -> None:
        delivery = self.delivery
        if delivery is None or self not in self.gateway.connections:
            return
        self.gateway.connections.discard(self)
        now = self.gateway.clock.monotonic()
        delivery.update(now)
        end = connection_end(
            delivery,
            (*open_requests(self.pipeline, now), *self.dropped),
            self.end_cause,
            error,
            self.discarded_bytes,
            self.unread_bytes,
        )
        if end.requests or end.discarded_bytes:
            self.gateway.record_end(end)
