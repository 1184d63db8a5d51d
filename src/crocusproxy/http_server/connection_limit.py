"""Limit of a port's connections, so that descriptors are left for others."""

import asyncio
import resource
from collections.abc import Callable, Collection
from datetime import timedelta
from enum import IntEnum
from heapq import nsmallest
from typing import Generic, Protocol, TypeVar

from ..log_limit import LineLimit
from ..logs import log

#: Connections that are ended at once, as the search looks at all of them.
_ENDED_AT_ONCE = 32
#: Time after a search that ended none until the next one.
_PAUSE = timedelta(milliseconds=100)
#: Above this multiple of the limit, new connections are closed at once.
_HARD_LIMIT_RATIO = 1.25
#: A head or body that arrives for longer may be ended.
ARRIVAL_TIME = timedelta(seconds=1)


class Expendability(IntEnum):
    """Why a connection may be ended; the lowest are ended first."""

    #: It is open and has had no response.
    NEVER_USED = 0
    #: It has had responses and waits for none.
    IDLE = 1
    #: The head of its first request has been arriving for a long time.
    LATE_HEAD = 2
    #: Its end is under way and its peer has received everything.
    ENDED = 3
    #: A body has been arriving for a long time.
    LATE_BODY = 4


class LimitedConnection(Protocol):
    """The part of a connection that the limit uses."""

    last_activity_at: timedelta

    def expendability(self, now: timedelta) -> Expendability | None:
        """Return why the connection may be ended, None if it may not."""

    def end_for_limit(self) -> bool:
        """End the connection unless it has input; return whether it ends."""


_Connection = TypeVar('_Connection', bound=LimitedConnection)


class ConnectionLimit(Generic[_Connection]):
    """Ends expendable connections when there are ``max_connections``.

    Among those that are equally expendable, the ones that have been silent for
    longest are ended first.
    """

    def __init__(
        self,
        connections: Collection[_Connection],
        max_connections: int,
        monotonic: Callable[[], timedelta],
    ) -> None:
        self.connections = connections
        self.max_connections = max_connections
        self.monotonic = monotonic
        self.line_limit = LineLimit(1)
        self.ended_count = 0
        self.next_search_at = timedelta()

    def is_exceeded(self) -> bool:
        """Return whether a new connection must be closed at once."""
        hard_limit = self.max_connections * _HARD_LIMIT_RATIO
        return len(self.connections) > hard_limit

    def make_room(self) -> None:
        """End expendable connections if there are too many."""
        now = self.monotonic()
        is_full = len(self.connections) >= self.max_connections
        if not is_full or now < self.next_search_at:
            return
        ranked = [
            (reason, one.last_activity_at, number, one)
            for number, one in enumerate(self.connections)
            if (reason := one.expendability(now)) is not None
        ]
        first = nsmallest(_ENDED_AT_ONCE, ranked)
        ended = sum(entry[-1].end_for_limit() for entry in first)
        if not ended:
            self.next_search_at = now + _PAUSE
        self.ended_count += ended
        if ended and self.line_limit.admit(now):
            log('connections_limited', open=len(self.connections), ended=ended)


class RefusedConnection(asyncio.Protocol):
    """Closes at once, as descriptors are short."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.close()


def descriptor_limit(share: float) -> int:
    """Return the share of the descriptors that this process may have."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(descriptors * share)
