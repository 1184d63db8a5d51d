"""Passes requests on to the home when callers still use another instance.

The choice of upstreams is best where all requests are seen. Callers keep an
address for some time after the home has changed.
"""

from collections.abc import Callable

from ..clock import Clock
from ..proxy.pool import ConnectionPool
from .call_results import NotRun, ResponseLost
from .exchange import exchange_over
from .responses import CallerResponse
from .upstream_call import OutgoingRequest
from .upstream_connection import MatchingConnection
from .upstream_messages import HOP_HEADER, UpstreamMessages

#: The home's answer to a request that needs a newer configuration.
CONFIG_BEHIND_STATUS = 425
_CONNECT_TIMEOUT_SECONDS = 0.1
_IDLE_LIMIT_SECONDS = 5.0


class HomeForwarder:
    """Sends requests to the address that ``home`` returns, unless empty."""

    def __init__(
        self,
        pool: ConnectionPool,
        messages: UpstreamMessages,
        clock: Clock,
        home: Callable[[], str],
    ) -> None:
        self.pool = pool
        self.messages = messages
        self.clock = clock
        self.home = home

    async def forward(
        self, outgoing: OutgoingRequest, deadline: float, version: int
    ) -> CallerResponse | NotRun | ResponseLost:
        """Return the home's response, or why there is none."""
        address = self.home()
        if not address:
            return NotRun('no home', upstream_reached=False)
        return await exchange_over(
            self.pool,
            address,
            outgoing.request_id,
            _CONNECT_TIMEOUT_SECONDS,
            _IDLE_LIMIT_SECONDS,
            lambda connection: self._exchange(
                connection, outgoing, deadline, version
            ),
        )

    async def _exchange(
        self,
        connection: MatchingConnection,
        outgoing: OutgoingRequest,
        deadline: float,
        version: int,
    ) -> CallerResponse | NotRun:
        remaining = deadline - self.clock.monotonic().total_seconds()
        hop = f'{HOP_HEADER}: {version}'
        request_bytes = self.messages.forwarded_request(
            outgoing.message, outgoing.body, remaining, hop
        )
        message, body = await connection.exchange(
            request_bytes,
            outgoing.request_id,
            self.messages.header_names.request_id,
            remaining,
            expects_body=outgoing.message.method != 'HEAD',
        )
        if message.code == CONFIG_BEHIND_STATUS:
            return NotRun(
                'the home has an older configuration', upstream_reached=False
            )
        return self.messages.caller_response(message, body)
