"""Close of a port that serves all connections made before it."""

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress

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
    ports = [_duplicate(one) for one in getattr(server, 'sockets', ())]
    server.close()
    connections: list[socket.socket] = []
    for port in ports:
        _accept_all(port, connections)
    await asyncio.gather(
        *(_serve(connection, create_protocol) for connection in connections)
    )
    return len(connections)


def _duplicate(listening: socket.socket) -> socket.socket:
    """Return a socket that keeps the port open after the server's close."""
    port = socket.socket(fileno=os.dup(listening.fileno()))
    port.setblocking(False)
    return port


def _accept_all(port: socket.socket, connections: list[socket.socket]) -> None:
    """Accept until none waits, and close the port in the next system call."""
    with port, suppress(OSError):
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
