"""End of the own direction of a connection.

A transport ends it in a later run of its loop. What the peer sends until then
would be discarded, and after a pause that may be a request that has waited for
long; so a connection with nothing left to write is ended at once.
"""

import asyncio
import socket
from contextlib import suppress

from .borrowed_socket import borrowed_socket
from .socket_queues import queued_input, unread_bytes


def end_writing(transport: asyncio.WriteTransport) -> None:
    """End the own direction after what was written."""
    if transport.get_write_buffer_size():
        _end_later(transport)
        return
    with borrowed_socket(_socket_of(transport)) as connection:
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
    with borrowed_socket(_socket_of(transport)) as connection:
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


def _socket_of(transport: asyncio.WriteTransport) -> socket.socket | None:
    connection: socket.socket | None = transport.get_extra_info('socket')
    return connection


def _shut(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
