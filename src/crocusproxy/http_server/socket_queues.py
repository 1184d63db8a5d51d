"""What the kernel holds of a connection."""

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress

_INT = struct.Struct('i')
#: States of a TCP connection (tcp_states.h) whose peer sends no more.
_CLOSED, _CLOSE_WAIT = 7, 8


def outstanding_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the peer has not acknowledged.

    They are in the transport's buffer or in the kernel's send queue. Without a
    socket, or on a system that can't tell its length, the queue counts as
    empty.
    """
    # TIOCOUTQ has the number of SIOCOUTQ, the request for sockets.
    queued = _queue_length(transport, termios.TIOCOUTQ)
    return transport.get_write_buffer_size() + queued


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes wait in the kernel's receive queue.

    Without a socket, or on a system that can't tell, it counts as empty.
    """
    return _queue_length(transport, termios.FIONREAD)


def queued_input(connection: socket.socket) -> int:
    """Return the same of a socket."""
    return _length(connection, termios.FIONREAD)


def has_peer_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has ended the connection, also if unread.

    Without a socket, or on a system that can't tell, it has not.
    """
    connection = transport.get_extra_info('socket')
    if connection is None:
        return False
    # A transport that has closed has no descriptor.
    with suppress(OSError, ValueError):
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] in {_CLOSED, _CLOSE_WAIT}
    return False


def _queue_length(transport: asyncio.BaseTransport, request: int) -> int:
    connection = transport.get_extra_info('socket')
    return 0 if connection is None else _length(connection, request)


def _length(connection: socket.socket, request: int) -> int:
    length = bytearray(_INT.size)
    # A transport that has closed has no descriptor, which is a ValueError.
    with suppress(OSError, ValueError):
        fcntl.ioctl(connection.fileno(), request, length)
    return int(_INT.unpack(length)[0])
