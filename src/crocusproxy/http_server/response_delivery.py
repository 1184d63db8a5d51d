"""Delivery of written responses until the caller has acknowledged them.

A close while the peer has not acknowledged all bytes, followed by anything that
the peer sends, makes the kernel reset the connection and discard these bytes.
RFC 9112, section 9.6, describes the remedy: end only the own direction, and
read until the peer closes the connection.
"""

import asyncio
from collections import deque
from datetime import timedelta

from .socket_queues import outstanding_bytes
from .write_end import end_unless_unread, end_writing

#: A peer that acknowledges no byte for this long counts as gone.
SEND_TIMEOUT = timedelta(seconds=30)
#: An ended connection closes this long after the peer has acknowledged
#: everything, if the peer does not close it. Its system may hold responses that
#: it has yet to read, and would discard them at the reset that follows a close.
LINGER_LIMIT = timedelta(seconds=30)
#: A process that ends leaves a caller this time to read its last response.
READ_TIME = timedelta(seconds=1)
#: More responses than this are checked for acknowledgements at each write.
_MAX_UNCHECKED = 64


class ResponseDelivery:
    """Writes responses to a transport and tracks their acknowledgement.

    Times are monotonic. ``outstanding`` is the number of bytes that the peer
    had not acknowledged when they were last counted, ``acknowledged_at`` the
    time at which it last acknowledged some, and ``delivered_at`` the time at
    which it last acknowledged the end of a response. ``is_ended`` is set once
    nothing more is sent.
    """

    __slots__ = (
        'acknowledged_at',
        'byte_count',
        'delivered_at',
        'ends',
        'is_ended',
        'outstanding',
        'transport',
    )

    def __init__(
        self, transport: asyncio.WriteTransport, now: timedelta
    ) -> None:
        self.transport = transport
        self.acknowledged_at = now
        self.byte_count = 0
        self.delivered_at: timedelta | None = None
        self.outstanding = 0
        self.is_ended = False
        #: Request ids, each with the position of its response's last byte.
        self.ends: deque[tuple[str, int]] = deque()

    def write(self, request_id: str, response: bytes, now: timedelta) -> None:
        """Write the whole response to a request."""
        if not self.outstanding:
            self.acknowledged_at = now
        self.transport.write(response)
        self.byte_count += len(response)
        self.outstanding += len(response)
        self.ends.append((request_id, self.byte_count))
        if len(self.ends) > _MAX_UNCHECKED:
            self.update(now)

    def end(self, now: timedelta) -> None:
        """End this direction of the connection after what was written."""
        end_writing(self.transport)
        self._note_end(now)

    def end_unless_unread(self, now: timedelta) -> bool:
        """End this direction if the peer has sent nothing that is unread.

        Return whether it ended. The peer counts on what it has sent: it did so
        before it could know of the end.
        """
        if not end_unless_unread(self.transport):
            return False
        self._note_end(now)
        return True

    def update(self, now: timedelta) -> None:
        """Count the outstanding bytes, unless there were none before."""
        if self.outstanding:
            self.count(now)

    def count(self, now: timedelta) -> None:
        """Count the outstanding bytes, also those not written with this."""
        outstanding = outstanding_bytes(self.transport)
        if outstanding != self.outstanding:
            self.outstanding = outstanding
            self.acknowledged_at = now
            self._forget_acknowledged(now)

    def request_ids(self) -> tuple[str, ...]:
        """Return the ids of requests whose responses are not acknowledged."""
        return tuple(request_id for request_id, _ in self.ends)

    def is_stalled(self, now: timedelta) -> bool:
        """Return whether the peer acknowledges nothing and counts as gone."""
        silence = now - self.acknowledged_at
        return self.outstanding > 0 and silence > SEND_TIMEOUT

    def may_close(self, now: timedelta) -> bool:
        """Return whether an ended connection may be closed.

        The peer has acknowledged everything and has had time to close it.
        """
        if self.outstanding or not self.is_ended:
            return False
        return now - self.acknowledged_at > LINGER_LIMIT

    def is_receiving(self, now: timedelta) -> bool:
        """Return whether the peer receives or may still read responses."""
        if self.outstanding:
            return True
        delivered_at = self.delivered_at
        return delivered_at is not None and now - delivered_at <= READ_TIME

    def _note_end(self, now: timedelta) -> None:
        self.is_ended = True
        if not self.outstanding:
            self.acknowledged_at = now
        self.outstanding += 1

    def _forget_acknowledged(self, now: timedelta) -> None:
        # The kernel counts the end of the stream as one byte.
        written = self.byte_count + self.is_ended
        acknowledged = written - self.outstanding
        while self.ends and self.ends[0][1] <= acknowledged:
            self.ends.popleft()
            self.delivered_at = now
