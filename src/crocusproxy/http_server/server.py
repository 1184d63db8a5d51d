"""An aiohttp server whose connections end without a loss of responses."""

import asyncio
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .port_close import close_port
from .transport import DeliveringTransport

_CHECK_SECONDS = 0.02
#: Runs of the loop in which connections are read before they end; a caller may
#: go on sending.
_MAX_READ_RUNS = 100


class ServedConnection(RequestHandler):
    """Closes once the caller has acknowledged all responses.

    aiohttp closes a connection as soon as it has written the last response. A
    connection is not idle with responses that the caller has yet to receive, or
    with input that nobody has read.
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
        transport = self.delivering_transport
        if transport.has_unread_input() or transport.has_unread_responses():
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

    async def close_port(self, site: web.BaseSite) -> None:
        """Close the port of a site, and read what callers have sent to it."""
        listening = site._server  # noqa: SLF001, WPS437 - not public
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
            **self._kwargs,
        )
