"""Responses that were written and that the caller has yet to acknowledge."""

import asyncio
import fcntl
import struct
import termios
from collections import deque
from contextlib import suppress

_INT = struct.Struct('i')


def outstanding_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the peer has not acknowledged.

    They are in the transport's buffer or in the kernel's send queue, which a
    close followed by a reset discards. A system that can't tell the length of
    the queue counts as having none.
    """
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info('socket')
    if connection is None:
        return buffered
    queue_length = bytearray(_INT.size)
    with suppress(OSError):
        # TIOCOUTQ has the number of SIOCOUTQ, the request for sockets.
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, queue_length)
    return buffered + int(_INT.unpack(queue_length)[0])


class WrittenResponses:
    """The ids of requests whose responses are not acknowledged, in order.

    ``byte_count`` counts all bytes written to the connection.
    """

    __slots__ = ('byte_count', 'ends')

    def __init__(self) -> None:
        self.byte_count = 0
        #: Ids, each with the position of the last byte of its response.
        self.ends: deque[tuple[str, int]] = deque()

    def add(self, request_id: str, byte_count: int) -> None:
        """Add a response that is written now."""
        self.byte_count += byte_count
        self.ends.append((request_id, self.byte_count))

    def acknowledge(self, outstanding: int) -> None:
        """Forget the responses that lie before the last ``outstanding`` bytes.

        >>> written = WrittenResponses()
        >>> written.add('r1', 100)
        >>> written.add('r2', 100)
        >>> written.acknowledge(outstanding=150)
        >>> written.request_ids()
        ('r1', 'r2')
        >>> written.acknowledge(outstanding=100)
        >>> written.request_ids()
        ('r2',)
        """
        acknowledged = self.byte_count - outstanding
        while self.ends and self.ends[0][1] <= acknowledged:
            self.ends.popleft()

    def request_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests in the order of their responses."""
        return tuple(request_id for request_id, _ in self.ends)
