"""Connections to upstreams whose responses are told by their request id."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import StreamReader
from aiohttp.http import RawResponseMessage

from ..proxy.connection import BrokenResponseError, UpstreamConnection

_SUCCESS = range(200, 300)
_LEAST_TIMEOUT = 0.001  # seconds


class MatchingConnection(UpstreamConnection):
    """Skips late responses to earlier requests.

    ``id_header`` names the header in which an upstream repeats the id of the
    request. A response without length ends with the connection; if the
    connection is reset, it is not complete.
    """

    __slots__ = ('id_header', 'surplus')

    reads_until_close = True

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[[UpstreamConnection], None],
    ) -> None:
        super().__init__(loop, on_lost)
        self.id_header = ''
        self.surplus = False

    async def exchange(
        self,
        request: bytes,
        answer_id: str,
        id_header: str,
        timeout: float,
        *,
        expects_body: bool = True,
    ) -> tuple[RawResponseMessage, bytes]:
        """Send a request and return the whole response within ``timeout``.

        ``answer_id`` is what the response carries in ``id_header``; others are
        skipped.

        Raises:
            BrokenResponseError: there is no complete response.
        """
        self.id_header = id_header
        self.last_request_id = answer_id
        message = await self.send(
            request,
            expects_body=expects_body,
            timeout=max(timeout, _LEAST_TIMEOUT),
        )
        payload = self.payload
        if payload is None:
            raise BrokenResponseError(self.fault)
        if payload.is_eof():
            return message, payload.read_nowait()
        return message, await payload.read()

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        if self.surplus:
            self.fault = self.fault or 'more than one response'
        return super().finish()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End a response without length if the upstream closed in order."""
        payload = self.payload
        if exc is None and not self.aborted and payload is not None:
            if not payload.is_eof() and self._is_without_length():
                payload.feed_eof()
        super().connection_lost(exc)

    def _accept(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        if self.message is not None:
            # The response to the request is there; the rest belongs to none.
            self.surplus = True
            return
        if message.code >= _SUCCESS.start and not self._is_expected(message):
            self.surplus = True
            return
        super()._accept(message, payload)

    def _is_expected(self, message: RawResponseMessage) -> bool:
        echo: Any = message.headers.get(self.id_header)
        if echo is None:
            return message.code not in _SUCCESS
        return bool(echo == self.last_request_id)

    def _is_framed(self, message: RawResponseMessage) -> bool:
        return True

    def _is_without_length(self) -> bool:
        message = self.message
        return (
            message is not None
            and not message.chunked
            and 'Content-Length' not in message.headers
        )
