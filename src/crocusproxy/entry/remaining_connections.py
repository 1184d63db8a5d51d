"""Connections of callers that are open as the process ends."""

import asyncio
import os
from collections.abc import Iterable
from contextlib import suppress

from .caller_connection import CallerConnection

_CHUNK_BYTES = 65536
#: A caller that keeps sending must not hold up the end.
_MAX_CHUNKS = 64


class RemainingConnections:
    """Records open connections and leaves them to the kernel."""

    def __init__(self) -> None:
        self.transports: list[asyncio.BaseTransport] = []

    def record(self, connections: Iterable[CallerConnection]) -> None:
        """Record the end of connections with open requests."""
        for connection in tuple(connections):
            if connection.transport is not None:
                self.transports.append(connection.transport)
            connection.record_stop()

    def leave(self) -> None:
        """Have the kernel deliver what callers have yet to receive."""
        for transport in self.transports:
            discard_input(transport)


def discard_input(transport: asyncio.BaseTransport) -> None:
    """Discard what a peer has sent and nobody has read.

    If a process ends while a socket has unread input, the kernel resets the
    connection and discards what it has yet to deliver to the peer; without
    any, it delivers all of it after the end.
    """
    connection = transport.get_extra_info('socket')
    if connection is None:
        return
    with suppress(OSError):
        for _ in range(_MAX_CHUNKS):
            if not os.read(connection.fileno(), _CHUNK_BYTES):
                return
