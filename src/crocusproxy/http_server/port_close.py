"""Close of a port that serves all connections made before it."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from .borrowed_socket import borrowed_socket

#: Bound on a flood of callers that connect as fast as they are accepted.
_MAX_ACCEPTED = 4096


async def close_port(
    server: asyncio.AbstractServer,
    create_protocol: Callable[[], asyncio.BaseProtocol],
) -> int:
    """Close the port; return how many waiting connections were accepted.

    The kernel resets connections that wait for ``accept`` when the port closes.
    A loop accepts few of them in a run, so after a pause there may be many.
    """
    connections: list[socket.socket] = []
    for port in getattr(server, 'sockets', ()):
        _accept_all(port, connections)
    # Nothing runs between the last accept and the close.
    server.close()
    await asyncio.gather(
        *(_serve(connection, create_protocol) for connection in connections)
    )
    return len(connections)


def _accept_all(
    listening: socket.socket, connections: list[socket.socket]
) -> None:
    """Accept until no connection waits."""
    with borrowed_socket(listening) as port, suppress(OSError):
        if port is None:
            return
        port.setblocking(False)
        while len(connections) < _MAX_ACCEPTED:
            connections.append(port.accept()[0])


async def _serve(
    connection: socket.socket,
    create_protocol: Callable[[], asyncio.BaseProtocol],
) -> None:
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    # The caller may be gone already.
    with suppress(OSError):
        await loop.connect_accepted_socket(create_protocol, connection)
