"""Limits on memory that the system holds for a process beyond its objects."""

import ctypes
import socket
from asyncio import BaseTransport
from contextlib import suppress

#: The kernel holds at most about twice as much of what a peer has sent and
#: nobody has read. Without a limit it may be many megabytes a connection.
RECEIVE_BUFFER_BYTES = 128 * 1024
#: Larger blocks are returned to the system as soon as they are freed. glibc
#: raises the threshold with each such block, unless it is set.
_MMAP_THRESHOLD_BYTES = 128 * 1024
_TRIM_THRESHOLD_BYTES = 4 * 1024 * 1024
#: Parameters of mallopt(3).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def return_freed_memory() -> None:
    """Make the allocator return large blocks, where it has such a setting."""
    with suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        mallopt(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES)


def limit_receive_buffer(
    transport: BaseTransport, byte_count: int = RECEIVE_BUFFER_BYTES
) -> None:
    """Limit what the kernel holds for a connection."""
    connection = transport.get_extra_info('socket')
    if connection is not None:
        set_receive_buffer(connection, byte_count)


def set_receive_buffer(connection: socket.socket, byte_count: int) -> None:
    """Set the receive buffer of a connection or of those of a port."""
    # The peer may have reset the connection in this very step.
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, byte_count)
