"""Limit of callers' connections, so that descriptors are left for others."""

import asyncio
import resource
from datetime import timedelta
from heapq import nsmallest

from ..logs import log
from .caller_connection import CallerConnection
from .gateway import Gateway

#: Share of the process's descriptors that callers may take. Upstreams, other
#: instances, the store and the other ports need the rest.
_CALLERS_SHARE = 0.6
#: Connections that are ended at once, as the search looks at all of them.
_ENDED_AT_ONCE = 32
#: Time after a search that ended none until the next one.
_PAUSE = timedelta(milliseconds=100)


class ConnectionLimit:
    """Ends unused connections when there are more than ``max_connections``.

    Those that have had no response are ended before others, and among these
    the ones that have been silent for longest.
    """

    def __init__(self, gateway: Gateway, max_connections: int) -> None:
        self.gateway = gateway
        self.max_connections = max_connections
        self.next_search_at = timedelta()

    def connect(self, loop: asyncio.AbstractEventLoop) -> CallerConnection:
        """Return the protocol of a new connection, after making room."""
        self.make_room()
        return CallerConnection(self.gateway, loop)

    def make_room(self) -> None:
        """End unused connections if callers have too many."""
        connections = self.gateway.connections
        now = self.gateway.clock.monotonic()
        if len(connections) < self.max_connections or now < self.next_search_at:
            return
        unused = [one for one in connections if one.is_unused()]
        silent_longest = nsmallest(_ENDED_AT_ONCE, unused, key=_rank)
        ended = sum(connection.end_unused() for connection in silent_longest)
        if not ended:
            self.next_search_at = now + _PAUSE
        self.gateway.metrics.count_unused_ends(ended)
        if ended:
            log('connections_limited', open=len(connections), ended=ended)


def _rank(connection: CallerConnection) -> tuple[bool, float]:
    """Return a value that is the lower, the earlier one is ended."""
    delivery = connection.delivery
    has_responses = delivery is not None and delivery.byte_count > 0
    return has_responses, connection.last_activity_at.total_seconds()


def limit_for_process(gateway: Gateway) -> ConnectionLimit:
    """Return the limit for the descriptors that this process may have."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ConnectionLimit(gateway, int(descriptors * _CALLERS_SHARE))
