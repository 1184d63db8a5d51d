"""Rate-limited log lines about requests.

Responses and failures have separate limits of lines per second; that of
failures is larger. Once a second, the number of dropped lines is logged.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..clock import Clock
from ..log_limit import LineLimit
from ..logs import log
from ..placement.requests import Placed
from .call_results import CallResult, Responded, Superseded, outcome_of
from .connection_end import ConnectionEnd, OpenRequest
from .request_context import RequestContext
from .responses import Refusal

RESPONSE_LINES_PER_SECOND = 100
FAILURE_LINES_PER_SECOND = 200
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """State of the chosen upstream just before a request was sent.

    Times are monotonic seconds.
    """

    context: RequestContext
    upstream: str
    sent_at: float
    in_flight: int
    slowdown: float
    reported_at: float
    rate_limit: float | None
    is_hedge: bool


class RequestLog:
    """Passes each line to ``write`` as an event and its fields."""

    def __init__(self, clock: Clock, write: Callable[..., None] = log) -> None:
        self.clock = clock
        self.write = write
        self.current_second = -1
        self.response_limit = LineLimit(RESPONSE_LINES_PER_SECOND)
        self.failure_limit = LineLimit(FAILURE_LINES_PER_SECOND)

    def take_snapshot(
        self, context: RequestContext, placed: Placed, now: float
    ) -> SendSnapshot:
        """Return the state of the chosen upstream before a request is sent."""
        upstream = placed.upstream
        return SendSnapshot(
            context,
            upstream.key,
            now,
            upstream.in_flight,
            upstream.slowdown,
            upstream.reported_at,
            upstream.rate_limit,
            placed.is_hedge,
        )

    def log_call(
        self,
        snapshot: SendSnapshot,
        result: CallResult | Superseded,
        now: float,
    ) -> None:
        """Log one call of an upstream and its state before the call."""
        if not self._admit(_is_failure(result)):
            return
        context = snapshot.context
        # Other lines remain as they are without hedging.
        hedge = {'hedge': True} if snapshot.is_hedge else {}
        self._write(
            'call_ended',
            request_id=context.request_id,
            service=context.service,
            account=context.account_name,
            priority=context.priority,
            config_version=context.config_version,
            upstream=snapshot.upstream,
            in_flight=snapshot.in_flight,
            slowdown=round(snapshot.slowdown, 2),
            slowdown_age_ms=_age(snapshot.sent_at - snapshot.reported_at),
            rate_limit=snapshot.rate_limit,
            waited_ms=_milliseconds(snapshot.sent_at - context.received_at),
            took_ms=_milliseconds(now - snapshot.sent_at),
            left_ms=_milliseconds(context.deadline - now),
            target_left_ms=_milliseconds(context.target_at - now),
            outcome=outcome_of(result),
            reason=_reason(result),
            **hedge,
        )

    def log_refusal(self, request_id: str, refusal: Refusal) -> None:
        """Log a refusal."""
        if self._admit(is_failure=True):
            self._write(
                'request_refused',
                request_id=request_id,
                status=refusal.status,
                code=refusal.code,
            )

    def log_rejection(self, code: str, error_type: str) -> None:
        """Log input that is no request and was refused."""
        if self._admit(is_failure=True):
            self._write('request_not_handled', code=code, error=error_type)

    def log_forward_failure(self, context: RequestContext, reason: str) -> None:
        """Log that no usable response of the home arrived."""
        if self._admit(is_failure=True):
            self._write(
                'forward_failed',
                request_id=context.request_id,
                service=context.service,
                reason=reason,
            )

    def log_connection_end(self, end: ConnectionEnd) -> None:
        """Log a connection of a caller that ended with requests open."""
        if self._admit(is_failure=True):
            self._write(
                'connection_ended',
                peer=end.peer,
                cause=end.cause,
                reason=end.reason,
                unacknowledged_bytes=end.unacknowledged_bytes,
                discarded_bytes=end.discarded_bytes,
                unread_bytes=end.unread_bytes,
                requests=[_open_request_fields(one) for one in end.requests],
            )

    def log_overflow(self, context: RequestContext, address: str) -> None:
        """Log that another domain home has responded to a request."""
        if self._admit(is_failure=False):
            self._write(
                'request_overflowed',
                request_id=context.request_id,
                service=context.service,
                domain_home=address,
            )

    def _write(self, event: str, **fields: Any) -> None:
        self.write(event, **fields)

    def _admit(self, is_failure: bool) -> bool:
        now = self.clock.monotonic()
        second = int(now.total_seconds())
        if second != self.current_second:
            self.current_second = second
            self._log_dropped()
        limit = self.failure_limit if is_failure else self.response_limit
        return limit.admit(now)

    def _log_dropped(self) -> None:
        limits = (self.response_limit, self.failure_limit)
        dropped_lines = sum(limit.take_dropped() for limit in limits)
        if dropped_lines:
            self._write('log_lines_left_out', lines=dropped_lines)


def _milliseconds(seconds: float) -> float:
    return round(seconds * _MS_PER_SECOND, 1)


def _open_request_fields(request: OpenRequest) -> dict[str, Any]:
    age = request.age
    return {
        'request_id': request.request_id,
        'stage': request.stage,
        'age_ms': None if age is None else _milliseconds(age),
    }


def _age(seconds: float) -> float | None:
    """Return an age in milliseconds, None if no load was ever reported."""
    return None if seconds == float('inf') else _milliseconds(seconds)


def _is_failure(result: CallResult | Superseded) -> bool:
    match result:
        case Responded(is_failure=is_failure):
            return is_failure
        case Superseded():
            return False
    return True


def _reason(result: CallResult | Superseded) -> str:
    return '' if isinstance(result, Responded) else str(result.reason)
