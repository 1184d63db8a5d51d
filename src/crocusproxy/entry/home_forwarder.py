"""Forwarding of requests to the instance that dispatches them.

A home chooses upstreams best, as it sees all requests for them. Other instances
also receive requests, because callers keep using an address for some time after
the home has changed. A domain home whose upstreams are full sends requests to
another domain home that has a free slot.
"""

from collections.abc import Callable
from math import inf

from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..proxy.pool import ConnectionPool
from ..routes.model import RouteConfig
from .call_results import NotRun, ResponseLost
from .exchange import exchange_over
from .responses import CallerResponse
from .upstream_call import OutgoingRequest
from .upstream_connection import MatchingConnection
from .upstream_messages import (
    HOP_HEADER,
    OVERFLOW_HEADER,
    SERVICE_HEADER,
    UpstreamMessages,
)

#: Status with which a home declines a forwarded request: its configuration is
#: older than that of the forwarding instance, or it has no spare slot.
DECLINED_STATUS = 425
_CONNECT_TIMEOUT_SECONDS = 0.1
_MAX_IDLE_SECONDS = 5.0


class HomeForwarder:
    """Sends requests to the instance that dispatches their service.

    ``home_address`` returns its address for a service, empty if there is none.
    ``on_response`` receives each response of a home. A home closes connections
    that were idle for longer than ``idle_timeout_seconds``.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        messages: UpstreamMessages,
        clock: Clock,
        home_address: Callable[[str], str],
        on_response: Callable[[RawResponseMessage], None] | None = None,
    ) -> None:
        self.pool = pool
        self.messages = messages
        self.clock = clock
        self.home_address = home_address
        self.on_response = on_response
        self.idle_timeout_seconds = inf

    def apply_config(self, config: RouteConfig) -> None:
        """Reuse no connection that a home may be closing.

        A non-idempotent request on it would get no response.
        """
        timeout = config.limits.idle_timeout
        self.idle_timeout_seconds = timeout.total_seconds()

    async def forward(
        self,
        outgoing_request: OutgoingRequest,
        deadline: float,
        config_version: int,
        service: str,
        *,
        is_chosen: bool = False,
    ) -> CallerResponse | NotRun | ResponseLost:
        """Forward a request and return the home's response or the failure.

        The response is due at monotonic second ``deadline``. A home with a
        configuration older than ``config_version`` does not run the request.
        With ``is_chosen``, it must not choose another service of the route.
        """
        address = self.home_address(service)
        if not address:
            return NotRun('no home', reported_by_upstream=False)
        headers = f'{HOP_HEADER}: {config_version}'
        if is_chosen:
            headers = f'{headers}\r\n{SERVICE_HEADER}: {service}'
        return await self._send(address, outgoing_request, deadline, headers)

    async def send_overflow(
        self,
        address: str,
        outgoing_request: OutgoingRequest,
        deadline: float,
        config_version: int,
        service: str,
    ) -> CallerResponse | NotRun | ResponseLost:
        """Send a request for ``service`` to another domain home.

        It declines unless it has a spare slot. Otherwise as ``forward``.
        """
        return await self._send(
            address,
            outgoing_request,
            deadline,
            f'{HOP_HEADER}: {config_version}\r\n{OVERFLOW_HEADER}: {service}',
        )

    async def _send(
        self,
        address: str,
        outgoing_request: OutgoingRequest,
        deadline: float,
        headers: str,
    ) -> CallerResponse | NotRun | ResponseLost:
        return await exchange_over(
            self.pool,
            address,
            outgoing_request.request_id,
            _CONNECT_TIMEOUT_SECONDS,
            min(self.idle_timeout_seconds, _MAX_IDLE_SECONDS),
            lambda connection: self._exchange(
                connection, outgoing_request, deadline, headers
            ),
            limit=deadline - self.clock.monotonic().total_seconds(),
        )

    async def _exchange(
        self,
        connection: MatchingConnection,
        outgoing_request: OutgoingRequest,
        deadline: float,
        headers: str,
    ) -> CallerResponse | NotRun:
        remaining = deadline - self.clock.monotonic().total_seconds()
        request_bytes = self.messages.forwarded_request(
            outgoing_request.message,
            outgoing_request.body,
            remaining,
            headers,
            outgoing_request.identity,
        )
        message, body = await connection.exchange(
            request_bytes,
            outgoing_request.request_id,
            self.messages.header_names.request_id,
            remaining,
            expects_body=outgoing_request.message.method != 'HEAD',
        )
        if message.code == DECLINED_STATUS:
            return NotRun('declined by the home', reported_by_upstream=False)
        if self.on_response is not None:
            self.on_response(message)
        return self.messages.caller_response(message, body)
