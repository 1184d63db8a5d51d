"""A pool of keep-alive connections to upstreams and homes."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from math import inf
from typing import Any

from ..event_loop.peer_timeout import PeerTimeout
from .connection import UpstreamConnection

#: Called with the address and the tags of the requests that were in flight.
CrashListener = Callable[[str, tuple[Any, ...]], None]


ConnectionFactory = Callable[
    [asyncio.AbstractEventLoop, Callable[[UpstreamConnection], None]],
    UpstreamConnection,
]


#: A running host accepts a connection within this time.
CRASH_CHECK_SECONDS = 0.1


class NotOpenedError(Exception):
    """No connection could be opened, so nothing was written."""


class _Peer:
    """The connections to one address.

    ``lost_tags`` holds the tags of connections that broke during a request.
    """

    __slots__ = ('idle_connections', 'lost_tags', 'open_connections')

    def __init__(self) -> None:
        self.open_connections: set[UpstreamConnection] = set()
        self.idle_connections: list[UpstreamConnection] = []
        self.lost_tags: list[Any] = []


class ConnectionPool:
    """Opens connections and keeps idle ones for up to ``idle_limit``.

    ``on_crash`` is called when the last connection to an address was lost
    while requests were in flight there, and no new one can be opened.
    Connections come from the IP address ``source`` unless it is empty.
    """

    def __init__(
        self,
        connect_timeout: timedelta,
        idle_limit: timedelta,
        on_crash: CrashListener | None = None,
        connection_type: ConnectionFactory = UpstreamConnection,
        source: str = '',
    ) -> None:
        self.local_address = (source, 0) if source else None
        self.connection_type = connection_type
        self.connect_timeout_seconds = connect_timeout.total_seconds()
        self.idle_limit_seconds = idle_limit.total_seconds()
        self.on_crash = on_crash
        self.peers: dict[str, _Peer] = {}
        self.crash_checks: dict[str, asyncio.Task[None]] = {}

    def take_idle(
        self,
        address: str,
        request_id: str,
        idle_limit: float | None = None,
    ) -> UpstreamConnection | None:
        """Return an idle connection that is safe for this request.

        A connection that has carried an earlier attempt is closed, because a
        late second response to it would be taken for the new response.
        ``idle_limit`` in seconds overrides the pool's limit.
        """
        peer = self.peers.get(address)
        if peer is None:
            return None
        loop = asyncio.get_running_loop()
        if idle_limit is None:
            idle_limit = self.idle_limit_seconds
        min_idle_since = loop.time() - idle_limit
        while peer.idle_connections:
            connection = peer.idle_connections.pop()
            if (
                connection.is_usable
                and connection.idle_since > min_idle_since
                and connection.may_carry(request_id)
            ):
                return connection
            connection.abort()
        return None

    async def take_or_open(
        self,
        address: str,
        request_id: str,
        timeout: float,
        idle_limit: float | None = None,
        limit: float = inf,
    ) -> UpstreamConnection:
        """Return an idle connection, or open one as ``open`` does.

        Raises:
            NotOpenedError: no connection could be opened.
        """
        connection = self.take_idle(address, request_id, idle_limit)
        if connection is None:
            connection = await self.open(address, timeout, limit)
        return connection

    async def open(
        self, address: str, timeout: float, limit: float = inf
    ) -> UpstreamConnection:
        """Open a connection within ``timeout`` seconds and the pool's limit.

        Pauses of this process extend both, but not beyond ``limit`` seconds.

        Raises:
            NotOpenedError: no connection could be opened.
        """
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(':')
        peer = self.peers.setdefault(address, _Peer())

        def on_lost(connection: UpstreamConnection) -> None:  # noqa: WPS430
            self._handle_lost(address, peer, connection)

        try:
            async with PeerTimeout(
                min(timeout, self.connect_timeout_seconds), limit=limit
            ):
                _, connection = await loop.create_connection(
                    lambda: self.connection_type(loop, on_lost),
                    host.strip('[]'),
                    int(port),
                    local_addr=self.local_address,
                )
        except TimeoutError as error:
            raise NotOpenedError(f'{address}: no connection in time') from error
        except (OSError, ValueError, OverflowError) as error:
            # Beside failures of the network, an invalid host or port.
            raise NotOpenedError(f'{address}: {error}') from error
        if not connection.is_usable:
            raise NotOpenedError(f'{address}: closed at once')
        # ``close_idle`` may have removed the peer while it had no connections.
        peer = self.peers.setdefault(address, peer)
        peer.open_connections.add(connection)
        return connection

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse after an exchange, or close it."""
        connection.tag = None
        if connection.finish():
            connection.idle_since = asyncio.get_running_loop().time()
            self.peers[address].idle_connections.append(connection)

    async def wait_for_crash_check(self, address: str) -> None:
        """Wait for a running check whether the peer at ``address`` crashed.

        Called before a retry, so that a request that crashes upstreams is
        detected before it reaches the next one.
        """
        check = self.crash_checks.get(address)
        if check is not None:
            await asyncio.wait((check,))

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than the limit."""
        min_idle_since = (
            asyncio.get_running_loop().time() - self.idle_limit_seconds
        )
        for address, peer in tuple(self.peers.items()):
            for connection in tuple(peer.idle_connections):
                if connection.idle_since <= min_idle_since:
                    peer.idle_connections.remove(connection)
                    connection.abort()
            if not peer.open_connections:
                self.peers.pop(address)

    def close(self) -> None:
        """Close every connection."""
        for check in self.crash_checks.values():
            check.cancel()
        for peer in self.peers.values():
            for connection in tuple(peer.open_connections):
                connection.abort()

    def _handle_lost(
        self,
        address: str,
        peer: _Peer,
        connection: UpstreamConnection,
    ) -> None:
        peer.open_connections.discard(connection)
        if connection in peer.idle_connections:
            peer.idle_connections.remove(connection)
        if connection.tag is not None and not connection.is_aborted:
            peer.lost_tags.append(connection.tag)
        if (
            peer.open_connections
            or not peer.lost_tags
            or address in self.crash_checks
        ):
            return
        check = asyncio.get_running_loop().create_task(
            self._check_crash(address, peer)
        )
        self.crash_checks[address] = check
        check.add_done_callback(lambda _: self.crash_checks.pop(address))

    async def _check_crash(self, address: str, peer: _Peer) -> None:
        """Report a crash unless the peer still accepts connections.

        A running peer may close its only connection during a response.
        """
        try:
            connection = await self.open(address, CRASH_CHECK_SECONDS)
        except NotOpenedError:
            if self.on_crash is not None:
                self.on_crash(address, tuple(peer.lost_tags))
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            self.peers[address].idle_connections.append(connection)
        peer.lost_tags.clear()
