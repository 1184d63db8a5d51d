"""Updates the state of an upstream with the results of requests."""

from datetime import timedelta

from .results import Answered, Cancelled, Failed, Rejected, Result
from .state import OpenRequest, UpstreamState

#: Bounds the effect of an absurd ``Retry-After``.
MAX_BACKOFF_SECONDS = 3600.0


def record_result(
    state: UpstreamState,
    result: Result,
    now: float,
    ticket: int,
) -> None:
    """Close the request ``ticket`` and update the state with its result."""
    # Adds the evidence up to now while the ended request still counts.
    state.slowness.advance(now, state.slowness.running_count)
    request = state.close_request(ticket, now)
    if request is None:
        return
    is_trial = state.is_ejected and ticket == state.trials.ticket
    is_good = False
    match result:
        case Answered():
            is_good = _record_response(state, request, now, is_trial)
        case Rejected(retry_after):
            _record_rejection(state, now, retry_after)
        case Failed():
            _record_rejection(state, now, None)
            state.may_have_restarted = True
        case Cancelled():
            is_good = False
    _update_ejection(state, now, is_trial, is_good)


def _record_response(
    state: UpstreamState,
    request: OpenRequest,
    now: float,
    is_trial: bool,
) -> bool:
    """Record a complete response; return whether it was fast enough."""
    started_at = (
        request.sent_at if request.started_at is None else request.started_at
    )
    slowness = state.slowness
    is_fast = slowness.is_good(now - started_at)
    if slowness.typical_seconds:
        ratio = (now - request.sent_at) / slowness.typical_seconds
        state.external_load.compare(ratio, state.upstream.slots)
    slowness.finished(
        now - started_at, learn=is_trial or not state.is_unhealthy
    )
    state.breaker.answered()
    return is_fast


def _record_rejection(
    state: UpstreamState,
    now: float,
    retry_after: timedelta | None,
) -> None:
    """Count a rejection or a failure in the breaker and as load.

    Backs off for ``retry_after`` if it is given.
    """
    state.breaker.failed()
    state.record_rejection(now)
    if retry_after is not None:
        backoff = min(retry_after.total_seconds(), MAX_BACKOFF_SECONDS)
        state.backoff_until = max(state.backoff_until, now + backoff)


def _update_ejection(
    state: UpstreamState,
    now: float,
    is_trial: bool,
    is_good: bool,
) -> None:
    """Eject or readmit the upstream after a result."""
    if is_trial and is_good:
        if state.trials.passed(now):
            state.readmit(now)
    elif is_trial:
        state.trials.failed(now)
    elif state.breaker.is_open:
        state.eject(now)
    state.schedule_check(now)
