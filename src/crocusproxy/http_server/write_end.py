"""End of the own direction of a connection.

A transport ends it in a later run of its loop. What the peer sends until then
would be discarded, and after a pause that may be a request that has waited for
long; so a connection with nothing left to write is ended at once.
"""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from .socket_queues import queued_input, unread_bytes


def end_writing(transport: asyncio.WriteTransport) -> None:
    """End the own direction after what was written."""
    if transport.get_write_buffer_size():
        _end_later(transport)
        return
    with _socket_of(transport) as connection:
        if connection is None:
            _end_later(transport)
        else:
            _shut(connection)


def end_unless_unread(transport: asyncio.WriteTransport) -> bool:
    """End the own direction if no received byte is unread.

    Return whether it ended. The check and the end are adjacent system calls.
    """
    if transport.get_write_buffer_size():
        if unread_bytes(transport):
            return False
        _end_later(transport)
        return True
    with _socket_of(transport) as connection:
        if connection is None:
            _end_later(transport)
            return True
        if queued_input(connection):
            return False
        _shut(connection)
    return True


def _end_later(transport: asyncio.WriteTransport) -> None:
    # The peer may have reset the connection in this very step.
    with suppress(OSError):
        transport.write_eof()


def _shut(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


@contextmanager
def _socket_of(
    transport: asyncio.WriteTransport,
) -> Iterator[socket.socket | None]:
    """Yield the socket, or None if there is none or it has closed.

    The one of a transport may lack methods.
    """
    owned = transport.get_extra_info('socket')
    if owned is None or owned.fileno() < 0:
        yield None
        return
    connection = socket.socket(
        owned.family, owned.type, owned.proto, fileno=owned.fileno()
    )
    try:
        yield connection
    finally:
        connection.detach()
