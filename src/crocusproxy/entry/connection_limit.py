"""Limit of callers' connections, so that descriptors are left for others."""

import asyncio

from ..http_server.connection_limit import ConnectionLimit as PortLimit
from ..http_server.connection_limit import RefusedConnection, descriptor_limit
from .caller_connection import CallerConnection
from .gateway import Gateway

#: Share of the process's descriptors that callers may take. Upstreams, other
#: instances, the store and the other ports need the rest.
_CALLERS_SHARE = 0.6


class ConnectionLimit(PortLimit[CallerConnection]):
    """Ends expendable connections of callers, and counts them."""

    def __init__(self, gateway: Gateway, max_connections: int) -> None:
        super().__init__(
            gateway.connections, max_connections, gateway.clock.monotonic
        )
        self.gateway = gateway

    def connect(self, loop: asyncio.AbstractEventLoop) -> asyncio.Protocol:
        """Return the protocol of a new connection, after making room."""
        ended_before = self.ended_count
        self.make_room()
        metrics = self.gateway.metrics
        metrics.count_unused_ends(self.ended_count - ended_before)
        if self.is_exceeded():
            metrics.count_refused_connection()
            return RefusedConnection()
        return CallerConnection(self.gateway, loop)


def limit_for_process(gateway: Gateway) -> ConnectionLimit:
    """Return the limit for the descriptors that this process may have."""
    return ConnectionLimit(gateway, descriptor_limit(_CALLERS_SHARE))
