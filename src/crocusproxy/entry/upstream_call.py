"""One call: a request sent to one upstream and its result."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from aiohttp.http import RawRequestMessage, RawResponseMessage

from ..accounts.directory import Identity
from ..clock import Clock
from ..placement.upstream_reach import UpstreamReach
from ..placement.upstream_state import UpstreamState
from ..proxy.pool import ConnectionPool
from .call_results import CallResult, NotRun, Responded, ResponseLost
from .exchange import exchange_over, recorded_in
from .response_observer import ResponseObserver
from .upstream_connection import MatchingConnection
from .upstream_messages import UpstreamMessages

#: The upstream may be closing a connection that was idle for longer, and a
#: non-idempotent request sent on it would be lost.
UNSAFE_IDLE_LIMIT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.25
_FAILURE_STATUSES = range(500, 600)
_AMBIGUOUS_STATUSES = frozenset((400, 408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A caller's request with its complete body.

    ``identity`` is None if the configuration has no client accounts.
    """

    request_id: str
    message: RawRequestMessage
    body: bytes
    idempotent: bool
    identity: Identity | None = None


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and the monotonic time at which it was sent to an upstream."""

    request: OutgoingRequest
    sent_at: timedelta


class UpstreamClient:
    """Sends requests over pooled connections and classifies the responses.

    ``observer`` receives each response, ``reach`` whether one arrived.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        messages: UpstreamMessages,
        clock: Clock,
        observer: ResponseObserver,
        reach: UpstreamReach,
    ) -> None:
        self.pool = pool
        self.messages = messages
        self.clock = clock
        self.observer = observer
        self.reach = reach

    async def call(
        self,
        upstream: UpstreamState,
        outgoing_request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None],
    ) -> CallResult:
        """Send the request; the response is due at monotonic ``deadline``.

        ``before_send`` is called immediately before the first byte is written.
        """
        remaining = self._remaining(deadline)

        def on_not_opened() -> None:  # noqa: WPS430
            # Too little time is no evidence against the upstream.
            if remaining >= CONNECT_TIMEOUT_SECONDS:
                self.reach.failed(upstream.key)

        return await exchange_over(
            self.pool,
            upstream.entry.address,
            outgoing_request.request_id,
            min(CONNECT_TIMEOUT_SECONDS, remaining),
            None if outgoing_request.idempotent else UNSAFE_IDLE_LIMIT_SECONDS,
            lambda connection: self._exchange(
                connection, upstream, outgoing_request, deadline, before_send
            ),
            on_not_opened,
            limit=remaining,
        )

    async def _exchange(
        self,
        connection: MatchingConnection,
        upstream: UpstreamState,
        outgoing_request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None],
    ) -> CallResult:
        remaining = self._remaining(deadline)
        is_withdrawn = upstream.is_removed or upstream.is_evacuated
        if is_withdrawn or remaining <= 0:
            return NotRun(
                'the upstream left service or the deadline passed',
                reported_by_upstream=False,
            )
        # The pool reports the tags of lost connections after a crash.
        connection.tag = SentRequest(outgoing_request, self.clock.monotonic())
        before_send()
        request_bytes = self.messages.upstream_request(
            outgoing_request.message,
            outgoing_request.body,
            upstream.key,
            remaining,
            outgoing_request.identity,
        )
        with recorded_in(self.reach, upstream.key, connection):
            message, body = await connection.exchange(
                request_bytes,
                outgoing_request.request_id,
                self.messages.header_names.request_id,
                remaining,
                expects_body=outgoing_request.message.method != 'HEAD',
            )
        self.observer.observe_call(
            upstream,
            message,
            is_signed=self.messages.is_from_upstream(message),
        )
        result = self._classify(message, body)
        if isinstance(result, NotRun):
            # A reused connection requires ids, so a refusal needs none here.
            connection.record_refusal(has_id=True)
        return result

    def _classify(self, message: RawResponseMessage, body: bytes) -> CallResult:
        if self.messages.was_not_run(message):
            return NotRun(
                f'status {message.code}',
                reported_by_upstream=True,
                is_misdirected=message.code == 421,
            )
        if not self.messages.is_from_upstream(message):
            return ResponseLost('the response is unsigned or content-encoded')
        if message.code in _AMBIGUOUS_STATUSES:
            # Without the not-run header, the request may have run.
            return ResponseLost(
                f'status {message.code} without the not-run header'
            )
        response = self.messages.caller_response(message, body)
        return Responded(response, message.code in _FAILURE_STATUSES)

    def _remaining(self, deadline: float) -> float:
        return deadline - self.clock.monotonic().total_seconds()
