"""One send of a request to one address, and the checks of its response."""

from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp.http import RawResponseMessage

from ..clock import Clock
from .connection import BrokenResponseError, UpstreamConnection
from .inbound import InboundRequest
from .messages import request_bytes
from .pool import ConnectionPool

# After a longer idle time the upstream may be closing the connection, and a
# keyed request lost on it could not be retried.
_KEYED_MAX_IDLE_SECONDS = 1.0


class Exchange:
    """Sends ``inbound`` once; ``close`` must be called in every case.

    ``write_started`` is set once a byte may have been written.
    """

    __slots__ = (
        'address',
        'connection',
        'inbound',
        'message',
        'pool',
        'write_started',
    )

    def __init__(
        self, pool: ConnectionPool, address: str, inbound: InboundRequest
    ) -> None:
        self.pool = pool
        self.address = address
        self.inbound = inbound
        self.connection: UpstreamConnection | None = None
        self.message: RawResponseMessage | None = None
        self.write_started = False

    async def open(self, clock: Clock) -> None:
        """Reuse or open a connection before the request's deadline.

        Raises:
            NotOpenedError: no connection could be opened.
        """
        idle_limit = _KEYED_MAX_IDLE_SECONDS if self.inbound.key else None
        remaining = self.inbound.deadline - clock.monotonic()
        seconds = remaining.total_seconds()
        self.connection = await self.pool.take_or_open(
            self.address,
            self.inbound.request_id,
            seconds,
            idle_limit,
            limit=seconds,
        )

    async def send(
        self, now: timedelta, *, to_home: bool = False
    ) -> RawResponseMessage:
        """Write the request and return the head of its response.

        Raises:
            BrokenResponseError: no response to this request arrived.
        """
        inbound = self.inbound
        connection = self.connection
        assert connection is not None
        is_reused = bool(connection.last_request_id)
        connection.last_request_id = inbound.request_id
        # The loss of a home must not count as a crash of an upstream.
        connection.tag = None if to_home else inbound
        inbound.sent_at = now
        request = request_bytes(inbound, self.address, now, to_home=to_home)
        self.write_started = True
        self.message = await connection.send(
            request,
            expects_body=inbound.method != 'HEAD',
            timeout=(inbound.deadline - now).total_seconds(),
        )
        self._check_request_id(connection, self.message, is_reused)
        return self.message

    def record_refusal(self) -> None:
        """Record that the response reports the request as not run."""
        assert self.connection is not None
        assert self.message is not None
        self.connection.record_refusal(
            has_id='X-Request-ID' in self.message.headers
        )

    async def read_body(self, limit_bytes: int) -> tuple[bytes, bool]:
        """Return the body and whether it is complete.

        A body of more than ``limit_bytes`` is returned in part.

        Raises:
            BrokenResponseError: the response is not complete.
        """
        connection = self.connection
        assert connection is not None
        payload = connection.payload
        if payload is None:
            raise BrokenResponseError(connection.fault)
        if payload.is_eof():
            body = payload.read_nowait()
            self.check_complete()
            return body, True
        if self._declared_length() > limit_bytes:
            return b'', False
        chunks = []
        size = 0
        while not payload.at_eof() and size <= limit_bytes:
            chunk = await payload.readany()
            chunks.append(chunk)
            size += len(chunk)
        is_complete = payload.at_eof()
        if is_complete:
            self.check_complete()
        return b''.join(chunks), is_complete

    async def remaining_body(self) -> AsyncIterator[bytes]:
        """Yield the part of the body that ``read_body`` did not return.

        Raises:
            BrokenResponseError: the response is not complete.
        """
        connection = self.connection
        assert connection is not None
        payload = connection.payload
        while payload is not None and not payload.at_eof():
            yield await payload.readany()
        self.check_complete()

    def check_complete(self) -> None:
        """Raise BrokenResponseError if the connection has a fault."""
        if self.connection is not None and self.connection.fault:
            raise BrokenResponseError(self.connection.fault)

    async def wait_for_crash_check(self) -> None:
        """Wait for a running check whether the peer has crashed."""
        await self.pool.wait_for_crash_check(self.address)

    def close(self) -> None:
        """Return the connection to the pool, which closes it if incomplete."""
        if self.connection is not None:
            self.pool.release(self.address, self.connection)
            self.connection = None

    def _check_request_id(
        self,
        connection: UpstreamConnection,
        message: RawResponseMessage,
        is_reused: bool,
    ) -> None:
        echo = message.headers.get('X-Request-ID')
        if echo == self.inbound.request_id:
            connection.echoes_request_id = True
            return
        # A response without an id is accepted unless it may be the late
        # response to an earlier request: the connection is reused, and an
        # earlier response on it had an id.
        if echo is not None or (is_reused and connection.echoes_request_id):
            connection.fault = 'response to another request'
            raise BrokenResponseError(connection.fault)

    def _declared_length(self) -> int:
        assert self.message is not None
        return int(self.message.headers.get('Content-Length', 0))
