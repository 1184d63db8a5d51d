"""One send of a request to one upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp.http import RawRequestMessage, RawResponseMessage

from ..clock import Clock
from ..placement.upstream_state import UpstreamState
from ..proxy.pool import ConnectionPool
from .call_results import CallResult, NotRun, Responded, ResponseLost
from .exchange import exchange_over
from .upstream_connection import MatchingConnection
from .upstream_messages import UpstreamMessages, retry_after

#: A connection that was idle for longer may be closing at the upstream, and a
#: request that must not be repeated would be lost on it.
UNSAFE_IDLE_LIMIT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.25
_FAILURE_STATUSES = range(500, 600)
_AMBIGUOUS_STATUSES = frozenset((400, 408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A caller's request with its body, ready to be sent."""

    request_id: str
    message: RawRequestMessage
    body: bytes
    idempotent: bool


class UpstreamClient:
    """Sends requests over pooled connections and checks the responses.

    ``on_load`` gets the load header of each response.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        messages: UpstreamMessages,
        clock: Clock,
        on_load: Callable[[UpstreamState, str], None],
    ) -> None:
        self.pool = pool
        self.messages = messages
        self.clock = clock
        self.on_load = on_load

    async def call(
        self,
        upstream: UpstreamState,
        outgoing: OutgoingRequest,
        deadline: float,
        on_sent: Callable[[], None],
    ) -> CallResult:
        """Send the request; the response must be there at second ``deadline``.

        ``on_sent`` is called immediately before the first byte is written.
        """
        return await exchange_over(
            self.pool,
            upstream.entry.address,
            outgoing.request_id,
            min(CONNECT_TIMEOUT_SECONDS, self._remaining(deadline)),
            None if outgoing.idempotent else UNSAFE_IDLE_LIMIT_SECONDS,
            lambda connection: self._exchange(
                connection, upstream, outgoing, deadline, on_sent
            ),
        )

    async def _exchange(
        self,
        connection: MatchingConnection,
        upstream: UpstreamState,
        outgoing: OutgoingRequest,
        deadline: float,
        on_sent: Callable[[], None],
    ) -> CallResult:
        remaining = self._remaining(deadline)
        if upstream.is_removed or remaining <= 0:
            return NotRun('too late to send', upstream_reached=False)
        connection.tag = outgoing
        on_sent()
        request_bytes = self.messages.upstream_request(
            outgoing.message, outgoing.body, upstream.key, remaining
        )
        message, body = await connection.exchange(
            request_bytes,
            outgoing.request_id,
            self.messages.header_names.request_id,
            remaining,
            expects_body=outgoing.message.method != 'HEAD',
        )
        load = message.headers.get(self.messages.header_names.load)
        if load is not None:
            self.on_load(upstream, load)
        return self._classify(message, body)

    def _classify(self, message: RawResponseMessage, body: bytes) -> CallResult:
        if self.messages.was_not_run(message):
            return NotRun(
                f'status {message.code}',
                upstream_reached=True,
                retry_after=retry_after(message),
                is_misdirected=message.code == 421,
            )
        if not self.messages.is_from_upstream(message):
            return ResponseLost('a response that the upstream did not sign')
        if message.code in _AMBIGUOUS_STATUSES:
            # Only a response that says so promises that nothing has run.
            return ResponseLost(f'status {message.code} without a promise')
        response = self.messages.caller_response(message, body)
        return Responded(response, message.code in _FAILURE_STATUSES)

    def _remaining(self, deadline: float) -> float:
        return deadline - self.clock.monotonic().total_seconds()
