"""An aiohttp server whose connections end without a loss of responses."""

import asyncio
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .transport import DeliveringTransport

_CHECK_SECONDS = 0.02


class ServedConnection(RequestHandler):
    """Closes once the caller has acknowledged all responses.

    aiohttp closes a connection as soon as it has written the last response. A
    connection with responses that the caller has yet to receive is not idle.
    """

    __slots__ = ('delivering_transport',)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Replace the transport by one that delivers before it closes."""
        self.delivering_transport = DeliveringTransport(
            cast(asyncio.Transport, transport), self._loop
        )
        super().connection_made(
            cast(asyncio.Transport, self.delivering_transport)
        )

    def data_received(self, data: bytes) -> None:
        """Discard what arrives after the end of this direction."""
        if not self.delivering_transport.is_closing():
            super().data_received(data)

    def _process_keepalive(self) -> None:
        if self.delivering_transport.has_unread_responses():
            self._next_keepalive_close_time = (
                self._loop.time() + self._keepalive_timeout
            )
        super()._process_keepalive()


class DeliveringServer(web.Server):
    """Creates the connections of a port and tells when they have ended.

    ``open_connections`` include those that the server has ended and whose
    callers still receive.
    """

    connection_type = ServedConnection

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.open_connections: set[ServedConnection] = set()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return self.connection_type(self, loop=self._loop, **self._kwargs)

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

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return DeliveringServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **self._kwargs,
        )
