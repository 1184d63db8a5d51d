"""A caller whose system buffers little of what it does not read."""

import asyncio
import socket

RECEIVE_BUFFER_BYTES = 4096


async def connect_slow(port):
    """Return a reader and a writer that hold back the sender's bytes."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    await loop.sock_connect(connection, ('127.0.0.1', port))
    return await asyncio.open_connection(sock=connection, limit=1024)
