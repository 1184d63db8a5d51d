"""What a caller may make a process hold before it is served.

- The kernel holds at most ``RECEIVE_BUFFER_BYTES`` of unread input of a
  connection, and ``BODY_BUFFER_BYTES`` while a body arrives, but of few
  connections at once.
- A head, with the empty lines before it, is as long as the port allows.
- ``InputBudget`` bounds the heads and bodies of all connections together. Those
  that have held most for longest without a whole request are ended first.
- A connection that was refused is read for ``REFUSED_BYTES`` and
  ``REFUSED_TIME``: a close with unread input would reset it, and its caller
  would lose the refusal.
"""

import asyncio
from datetime import timedelta
from math import inf
from typing import Protocol

from ..memory_limits import limit_receive_buffer, set_receive_buffer
from .borrowed_socket import borrowed_socket
from .memory_budget import BYTES_PER_MB, MemoryBudget

#: The kernel holds about twice as much.
RECEIVE_BUFFER_BYTES = 8 * 1024
BODY_BUFFER_BYTES = 64 * 1024
REFUSED_BYTES = 256 * 1024
REFUSED_TIME = timedelta(seconds=5)
#: Share of a process's memory that unserved input may take.
MEMORY_SHARE = 0.125
#: Share of the memory that the kernel may hold in large receive buffers.
_BODY_BUFFER_SHARE = 0.05
#: A parsed head takes a multiple of its bytes: names, values, their decoded
#: copies and the objects around them.
HEAD_COST = 4
#: A body is copied once when it is sent to an upstream.
BODY_COST = 2
#: The parser keeps the position of each chunk until it is read.
FRAMING_COST = 8
#: Connections that hold less are not counted.
SMALL_INPUT_BYTES = 4 * 1024
#: A connection's rank counts this time from the first byte on.
_MIN_AGE = timedelta(seconds=1)


class InputHolder(Protocol):
    """The part of a connection that holds input."""

    def input_bytes(self) -> int:
        """Return the memory of the input that was not served yet."""

    def input_started_at(self) -> timedelta | None:
        """Return when its first byte came, None if it may not be dropped.

        Input may not be dropped once its request may be at work.
        """

    def drop_input(self) -> None:
        """Refuse the caller and free what its input holds."""


class InputBudget(MemoryBudget[InputHolder]):
    """Drops the input of callers while all hold too much.

    A caller that is the only one to hold much is served.
    """

    def is_exceeded(self) -> bool:
        """Return whether several callers hold too much together."""
        return self.held_bytes > self.total_bytes and len(self.holders) > 1

    def size_of(self, holder: InputHolder) -> int:
        """Return the memory of the input of a connection."""
        return holder.input_bytes()

    def may_end(self, holder: InputHolder) -> bool:
        """Return whether no request of the input may be at work."""
        return len(self.holders) > 1 and holder.input_started_at() is not None

    def rank(self, now: timedelta, holder: InputHolder) -> float:
        """Return the product of the memory and the time it has been held."""
        started_at = holder.input_started_at()
        age = timedelta() if started_at is None else now - started_at
        return self.holders[holder] * (age + _MIN_AGE).total_seconds()

    def end(self, holder: InputHolder) -> None:
        """Drop the input of a connection."""
        holder.drop_input()


class ReceiveBuffers:
    """Gives connections whose body arrives a large receive buffer.

    At most ``max_large`` connections have one at the same time.
    """

    def __init__(self, max_large: float = inf) -> None:
        self.max_large = max_large
        self.large: set[asyncio.BaseTransport] = set()

    def enlarge(self, transport: asyncio.BaseTransport) -> None:
        """Enlarge the buffer of a connection if few have a large one."""
        if len(self.large) < self.max_large:
            self.large.add(transport)
            limit_receive_buffer(transport, BODY_BUFFER_BYTES)

    def reduce(self, transport: asyncio.BaseTransport) -> None:
        """Reduce the buffer of a connection whose body has arrived."""
        if transport in self.large:
            self.large.discard(transport)
            limit_receive_buffer(transport, RECEIVE_BUFFER_BYTES)

    def forget(self, transport: asyncio.BaseTransport) -> None:
        """Forget a connection that has closed."""
        self.large.discard(transport)


def limit_port(server: asyncio.AbstractServer) -> None:
    """Limit the receive buffers of the connections that a port accepts."""
    for listening in getattr(server, 'sockets', ()):
        with borrowed_socket(listening) as port:
            if port is not None:
                set_receive_buffer(port, RECEIVE_BUFFER_BYTES)


def input_budget_of(memory_mb: int) -> InputBudget:
    """Return the budget of a process with ``memory_mb`` of memory."""
    return InputBudget(int(memory_mb * BYTES_PER_MB * MEMORY_SHARE))


def receive_buffers_of(memory_mb: int) -> ReceiveBuffers:
    """Return the large buffers of a process with ``memory_mb`` of memory."""
    large_bytes = memory_mb * BYTES_PER_MB * _BODY_BUFFER_SHARE
    return ReceiveBuffers(int(large_bytes / (2 * BODY_BUFFER_BYTES)))
