"""Connections to upstreams that match responses by request id."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from aiohttp import StreamReader
from aiohttp.http import RawResponseMessage

from ..memory_limits import limit_receive_buffer
from ..proxy.connection import BrokenResponseError, UpstreamConnection
from .response_budget import ResponseBudget

#: A connection carries one request at a time, so few can be late.
MAX_SKIPPED_RESPONSES = 8
_SUCCESS = range(200, 300)
_MIN_TIMEOUT_SECONDS = 0.001


class MatchingConnection(UpstreamConnection):
    """Skips late responses to earlier requests.

    ``id_header`` names the header in which an upstream echoes the request id.
    A response without length ends with the connection; it is incomplete if the
    connection is reset. On a connection that has carried another request, a
    response without an id may be a second copy of the one to that request, so
    ``requires_id`` is set. All bytes received during an exchange are taken from
    ``budget``, and ``body`` is what was read of a response that is incomplete.
    ``failure`` is the first error that ended the exchange.
    """

    __slots__ = (
        'body',
        'budget',
        'failure',
        'has_been_used',
        'has_surplus_response',
        'held_bytes',
        'id_header',
        'requires_id',
        'skipped_count',
        'skipped_payload',
    )

    reads_until_close = True

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[[UpstreamConnection], None],
        budget: ResponseBudget,
    ) -> None:
        super().__init__(loop, on_lost)
        self.budget = budget
        self.body = bytearray()
        self.failure: BrokenResponseError | None = None
        self.held_bytes = 0
        self.skipped_count = 0
        self.skipped_payload: StreamReader | None = None
        self.id_header = ''
        self.has_surplus_response = False
        self.has_been_used = False
        self.requires_id = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what the kernel holds of a response."""
        super().connection_made(transport)
        limit_receive_buffer(transport)

    async def exchange(
        self,
        request: bytes,
        expected_id: str,
        id_header: str,
        timeout: float,
        *,
        expects_body: bool = True,
    ) -> tuple[RawResponseMessage, bytes]:
        """Send a request and return the whole response within ``timeout``.

        Responses whose ``id_header`` differs from ``expected_id`` are skipped.

        Raises:
            BrokenResponseError: no complete response arrived.
        """
        self.id_header = id_header
        self.last_request_id = expected_id
        self.requires_id = self.has_been_used
        message = await self.send(
            request,
            expects_body=expects_body,
            timeout=max(timeout, _MIN_TIMEOUT_SECONDS),
        )
        return message, await self.read_body()

    async def read_body(self) -> bytes:
        """Return the whole body of the response.

        It grows in place, as many pieces would take a multiple of its length.

        Raises:
            BrokenResponseError: the response did not arrive completely.
        """
        payload = self.payload
        if payload is None:
            raise BrokenResponseError(self.fault)
        if payload.is_eof() and not self.body:
            return payload.read_nowait()
        try:
            while not payload.at_eof():
                self.body += await payload.readany()
        except (BrokenResponseError, RuntimeError) as error:
            # A reader whose buffer was released waits for the connection's end.
            raise self.failure or error
        whole_body = bytes(self.body)
        self.body.clear()
        return whole_body

    def send(
        self, request: bytes, *, expects_body: bool, timeout: float
    ) -> asyncio.Future[RawResponseMessage]:
        """Write a request; the future resolves to the head of its response."""
        self.has_been_used = True
        self.failure = None
        return super().send(request, expects_body=expects_body, timeout=timeout)

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        self.requires_id = False
        self.skipped_payload = None
        self.skipped_count = 0
        self._release_incomplete()
        self.body.clear()
        self.budget.give_back(self)
        if self.has_surplus_response:
            self.fault = self.fault or 'more than one response'
        return super().finish()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes unless the response is too large."""
        if self.is_aborted:
            return
        if data and not self.budget.take(self, len(data)):
            self.drop_response()
            return
        super().data_received(data)
        if self.skipped_payload is not None:
            # Nobody reads it, and the expected response comes after it.
            self.skipped_payload.read_nowait()

    def drop_response(self) -> None:
        """Abort the exchange and release what was received."""
        self._abort_with('the response is too large')
        self.budget.give_back(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End a response without length if the connection closed cleanly."""
        payload = self.payload
        if exc is None and not self.is_aborted and payload is not None:
            if not payload.is_eof() and self._lacks_length():
                payload.feed_eof()
        super().connection_lost(exc)
        self.budget.give_back(self)

    def _fail(self, error: BrokenResponseError) -> None:
        if self.failure is None:
            self.failure = error
        self._release_incomplete()
        super()._fail(error)

    def _release_incomplete(self) -> None:
        """Release what was received unless the response is complete.

        The error that ends an exchange refers to the objects that hold it, and
        they to the error, so that it would stay until the garbage collection.
        """
        payload = self.payload
        if payload is None or payload.is_eof():
            return
        self._parser = None
        self.body.clear()
        # Once it has failed, or while a read waits, its buffer is empty.
        with suppress(RuntimeError, BrokenResponseError):
            payload.read_nowait()

    def _accept(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        if self.message is not None:
            # The response has already arrived; this one matches no request.
            self.has_surplus_response = True
            return
        if message.code >= _SUCCESS.start:
            if self.requires_id and self.id_header not in message.headers:
                self._abort_with('response without id on a reused connection')
                return
            if not self._is_expected(message):
                self._skip(payload)
                return
        super()._accept(message, payload)

    def _skip(self, payload: StreamReader) -> None:
        self.has_surplus_response = True
        self.skipped_payload = payload
        self.skipped_count += 1
        if self.skipped_count > MAX_SKIPPED_RESPONSES:
            self._abort_with('too many responses to other requests')

    def _is_expected(self, message: RawResponseMessage) -> bool:
        echoed_id: Any = message.headers.get(self.id_header)
        if echoed_id is None:
            # Only a success response must contain the request id.
            return message.code not in _SUCCESS
        return bool(echoed_id == self.last_request_id)

    def _is_framed(self, message: RawResponseMessage) -> bool:
        # A response without length ends with its connection.
        return True

    def _lacks_length(self) -> bool:
        message = self.message
        return (
            message is not None
            and not message.chunked
            and 'Content-Length' not in message.headers
        )
