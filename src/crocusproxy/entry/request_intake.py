"""Reading of the requests of one connection, as far as there is room."""

import asyncio
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta
from typing import Protocol, TypeAlias

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD

from ..clock import Clock
from ..http_server.input_limits import (
    FRAMING_COST,
    HEAD_COST,
    REFUSED_BYTES,
    SMALL_INPUT_BYTES,
    InputBudget,
    ReceiveBuffers,
)
from ..http_server.socket_queues import has_peer_left, unread_bytes
from ..routes.model import CallerLimits
from .caller_request import CallerRequest, RequestStage
from .head_splitter import HeadSplitter
from .input_meter import InputMeter
from .refusals import INPUT_OVERLOADED, MALFORMED_BODY
from .rejected_request import refusal_for, rejected_request
from .responses import Refusal
from .turns import REQUEST_WORK, REQUESTS_PER_TURN, Turns

#: Requests of a connection that are parsed and not answered.
_MAX_PIPELINED = 64
#: Responses that the requests at work may add to those that are unread, if
#: each is as long as the last one.
_MAX_EXPECTED_BYTES = 512 * 1024
#: Requests of a connection that wait for a slot of an upstream. More would
#: take the places of other callers in the queue.
_MAX_QUEUED = 8
#: Memory of unanswered requests that others may be parsed behind.
_MAX_PIPELINED_BYTES = 64 * 1024
_MAX_PIECES_PER_TURN = 8
#: Pieces of input without a whole request that are much for one caller.
_MUCH_PIECES = 32
#: Requests with their bodies, whether the protocol changes, and the rest.
_Parsed: TypeAlias = tuple[
    Sequence[tuple[RawRequestMessage, StreamReader]], bool, bytes
]
_NOTHING: _Parsed = ((), False, b'')
_READ_BUFFER_BYTES = 1 << 30  # the configuration limits the body size


class RefusedBodyError(Exception):
    """The body of a request is not received to its end."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class IntakeGateway(Protocol):
    """The part of the gateway that the reading of requests uses."""

    clock: Clock
    limits: CallerLimits
    is_draining: bool
    turns: Turns
    input_budget: InputBudget
    receive_buffers: ReceiveBuffers

    def record_rejection(self, code: str, error_type: str) -> None:
        """Record input that is no request and was refused."""


class RequestIntake(BaseProtocol):
    """Parses received bytes in turns, and starts requests.

    Input that may not be served yet is kept, at most that of one read, and no
    more is read meanwhile. ``pipeline`` has the requests that are not answered,
    and ``last_response_bytes`` is the length of the last response. Empty lines
    before a request are skipped, and are no activity of the caller.
    """

    __slots__ = (
        'last_activity_at',
        'last_response_bytes',
        'closes_after_started',
        'discarded_bytes',
        'ignores_input',
        'is_finished',
        'head_started_at',
        'meter',
        'pieces',
        'pipeline',
        'gateway',
        'splitter',
        'turn_started_at',
    )

    def __init__(
        self, gateway: IntakeGateway, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self.gateway = gateway
        self.pipeline: deque[CallerRequest] = deque()
        self.splitter = HeadSplitter()
        self.meter = InputMeter()
        self.pieces = 0
        self.discarded_bytes = 0
        self.last_response_bytes = 0
        self.is_finished = False
        self.closes_after_started = False
        self.ignores_input = False
        self.head_started_at: timedelta | None = None
        self.last_activity_at = gateway.clock.monotonic()
        self.turn_started_at = self.last_activity_at
        max_header_bytes = gateway.limits.header_bytes
        self._parser = HttpRequestParser(
            self,
            loop,
            _READ_BUFFER_BYTES,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            payload_exception=ConnectionError,
            auto_decompress=False,
        )

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Start to serve each request whose head is complete."""
        if self.is_finished or self.ignores_input:
            self._discard(len(data))
            return
        self.splitter.feed(data)
        self.gateway.turns.on_input(self, self._loop)
        if self.splitter.segment:
            self._update_reading()

    def take_turn(self) -> int:
        """Serve some of the input, and return the work of it."""
        if self.is_finished or self.ignores_input:
            self._discard(self.splitter.discard())
        self.turn_started_at = self.gateway.clock.monotonic()
        started = 0
        pieces = 0
        while pieces < _MAX_PIECES_PER_TURN:
            if started >= REQUESTS_PER_TURN or not self.waits_for_turn():
                break
            started += self._parse_next()
            pieces += 1
        if started:
            self.pieces = 0
        self.pieces += pieces
        if self.splitter.segment or self._buffer_paused:
            self._update_reading()
        self._note_input()
        return pieces + started * REQUEST_WORK

    def waits_for_turn(self) -> bool:
        """Return whether input is kept that may be served."""
        return self.has_kept_input() and self._has_room()

    def has_kept_input(self) -> bool:
        """Return whether input was read that has not been parsed."""
        return bool(self.splitter.segment)

    def has_had_much(self) -> bool:
        """Return whether it had much work since its last whole request."""
        return self.pieces > _MUCH_PIECES

    def end_if_left(self) -> bool:
        """End a paused connection whose caller left; whether it is paused."""
        if not self._buffer_paused or self.transport is None:
            return False
        if has_peer_left(self.transport):
            self.transport.close()
            return False
        return True

    def input_bytes(self) -> int:
        """Return the memory of the input that was not served yet."""
        held_bytes = self.splitter.kept_bytes() + self._request_bytes()
        return (
            held_bytes
            + HEAD_COST * self.meter.head_bytes
            + FRAMING_COST * self.meter.framing_bytes()
        )

    def input_started_at(self) -> timedelta | None:
        """Return since when input is held that may be dropped, if any."""
        if self.is_finished or self.ignores_input:
            return None
        if not self.pipeline:
            return self.head_started_at
        if self.meter.awaits_head() and not self.meter.head_bytes:
            return None
        return self.pipeline[-1].received_at

    def drop_input(self) -> None:
        """Refuse what is arriving; requests that have started are answered.

        Without such, the connection closes: nothing of it was served.
        """
        self._ignore_input()
        self.closes_after_started = True
        payload = self.meter.payload
        if not payload.is_eof():
            _release(payload)
            payload.set_exception(RefusedBodyError(INPUT_OVERLOADED))
        elif not self.pipeline:
            self._end_for_input()

    def has_requests(self) -> bool:
        """Return whether a request has not been answered yet."""
        return bool(self.pipeline)

    def _is_head_late(self, now: timedelta) -> bool:
        """Return whether a head is not complete after its time.

        What is unread may be the rest. It counts for as long again, as a caller
        may go on sending one without an end.
        """
        if self.head_started_at is None:
            return False
        header_timeout = self.gateway.limits.header_timeout
        excess = now - self.head_started_at - header_timeout
        if excess <= timedelta() or excess > header_timeout:
            return excess > timedelta()
        return self.transport is None or not unread_bytes(self.transport)

    def _has_room(self) -> bool:
        """Return whether a further request may be parsed.

        Input that is to be discarded always has room.
        """
        if self.is_finished or self.ignores_input:
            return True
        pipelined = len(self.pipeline)
        if not pipelined or self._paused:
            return not self._paused
        if self.meter.awaits_head():
            if self._request_bytes() > _MAX_PIPELINED_BYTES:
                return False
        return (
            pipelined < _MAX_PIPELINED
            and not self._has_too_large_body()
            and (pipelined == 1 or self._has_room_behind(pipelined))
        )

    def _has_room_behind(self, pipelined: int) -> bool:
        if pipelined * self.last_response_bytes > _MAX_EXPECTED_BYTES:
            return False
        return pipelined <= _MAX_QUEUED or self._queued_count() <= _MAX_QUEUED

    def _request_bytes(self) -> int:
        return sum(request.input_bytes() for request in self.pipeline)

    def _queued_count(self) -> int:
        return sum(
            request.stage is RequestStage.QUEUED for request in self.pipeline
        )

    def _has_too_large_body(self) -> bool:
        """Return whether the last request will be refused for its body."""
        payload = self.pipeline[-1].payload
        return payload.total_bytes > self.gateway.limits.body_bytes

    def _update_reading(self) -> None:
        """Read on only once all that was read is parsed."""
        is_kept = self.has_kept_input()
        if is_kept and not self._buffer_paused:
            self._pause_reading_for_buffer()
            self.gateway.turns.hold(self, self._loop)
        elif self._buffer_paused and not is_kept:
            self._resume_reading_for_buffer()

    def _parse_next(self) -> int:
        """Parse the next piece, and return how many requests started."""
        if self.is_finished or self.ignores_input:
            self._discard(self.splitter.discard())
            return 0
        try:
            messages, upgraded, _ = self._parse(self._take_counted())
        except Exception as error:  # noqa: BLE001 - any parser fault
            self._reject(error)
            return 0
        self._note_partial_head(
            is_partial=not (
                messages or self.pipeline or self.splitter.is_at_start()
            )
        )
        for message, payload in messages:
            if not self._accepts_request():
                self._ignore_input()
                return 0
            head_bytes = self.meter.start_body(payload)
            self._start_request(message, payload, head_bytes)
        if upgraded:
            self._reject(BadHttpMessage('protocol switch'))
        return len(messages)

    def _take_counted(self) -> bytes:
        """Return the next piece, empty if there were only empty lines.

        Raises:
            HeadTooLargeError: the head is too long.
            FramingTooLargeError: the body has too much framing.
        """
        header_bytes = self.gateway.limits.header_bytes
        if self.meter.awaits_head() and self.splitter.is_at_start():
            skipped_bytes = self.splitter.skip_empty_lines()
            self.meter.count(skipped_bytes, header_bytes)
        piece = self.splitter.take()
        if piece:
            self.last_activity_at = self.turn_started_at
            self.meter.count(len(piece), header_bytes)
        return piece

    def _parse(self, piece: bytes) -> _Parsed:
        assert self._parser is not None
        return self._parser.feed_data(piece) if piece else _NOTHING

    def _note_input(self) -> None:
        if self.transport is not None and self.meter.awaits_head():
            self.gateway.receive_buffers.reduce(self.transport)
        budget = self.gateway.input_budget
        if self.input_bytes() > SMALL_INPUT_BYTES:
            budget.note(self, self.gateway.clock.monotonic())
        elif self in budget.holders:
            budget.forget(self)

    def _discard(self, byte_count: int) -> None:
        """Count discarded input; stop reading beyond what a caller may send.

        A caller whose request was refused goes on sending until it has read the
        refusal.
        """
        self.discarded_bytes += byte_count
        if not self._buffer_paused and self._has_sent_too_much():
            self._pause_reading_for_buffer()
            self.gateway.turns.hold(self, self._loop)

    def _has_sent_too_much(self) -> bool:
        """Return whether no more input is read to be discarded."""
        max_bytes = REFUSED_BYTES
        payload = self.meter.payload
        if not payload.is_eof():
            max_bytes += self.gateway.limits.body_bytes
        return self.discarded_bytes > max_bytes

    def _ignore_input(self) -> None:
        """Serve no further input, and free what was not served of it."""
        self.ignores_input = True
        self._parser = None
        self.meter.head_bytes = 0
        self._discard(self.splitter.discard())

    def _accepts_request(self) -> bool:
        """Return whether a request may start behind those in the pipeline."""
        if self.closes_after_started:
            return False
        return not (self.gateway.is_draining and self.pipeline)

    def _has_started_requests(self) -> bool:
        """Return whether a request in the pipeline may be at an upstream."""
        return any(
            request.earlier_responses_written is None
            for request in self.pipeline
        )

    def _note_partial_head(self, *, is_partial: bool) -> None:
        if not is_partial:
            self.head_started_at = None
        elif self.head_started_at is None:
            self.head_started_at = self.last_activity_at

    def _reject(self, error: BaseException) -> None:
        """Refuse invalid input once all earlier responses were written.

        There is no refusal if the connection closes after these.
        """
        # The parser can't continue after invalid input.
        payload = self.meter.payload
        self.meter.start_body(EMPTY_PAYLOAD)
        self._ignore_input()
        if not payload.is_eof():
            _release(payload)
            payload.set_exception(RefusedBodyError(MALFORMED_BODY))
            return
        if not self._accepts_request():
            return
        refusal = refusal_for(error)
        # The parser's message quotes the input, which can contain an API key.
        self.gateway.record_rejection(refusal.code, type(error).__name__)
        request = rejected_request(refusal, self.gateway.clock.monotonic())
        self.pipeline.append(request)
        self._write_ready_responses()

    def _end_for_input(self) -> None:
        """End a connection that sends more than it may, without an answer."""
        raise NotImplementedError

    def _start_request(
        self, message: RawRequestMessage, payload: StreamReader, head_bytes: int
    ) -> None:
        raise NotImplementedError

    def _write_ready_responses(self) -> None:
        raise NotImplementedError


def _release(payload: StreamReader) -> None:
    """Free what was received of a body.

    The error that ends it refers to the objects that hold it, and they to the
    error, so that it would stay until the garbage collection.
    """
    # Its buffer is empty while a read waits.
    with suppress(RuntimeError):
        payload.read_nowait()
