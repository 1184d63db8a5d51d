"""How the end of a request changes what is known of its upstream."""

from datetime import timedelta

from .results import Answered, Cancelled, Failed, Rejected, Result
from .state import OpenRequest, UpstreamState

MAX_REST = 5.0  # seconds


def record_result(
    state: UpstreamState,
    result: Result,
    now: float,
    ticket: int,
) -> None:
    """Close the request ``ticket`` and weigh its result."""
    state.slowness.advance(now, state.slowness.running)
    request = state.close_request(ticket, now)
    if request is None:
        return
    is_trial = state.ejected and ticket == state.trials.ticket
    good = False
    match result:
        case Answered():
            good = _weigh_answer(state, request, now, is_trial)
        case Rejected(retry_after):
            _weigh_rejection(state, now, retry_after)
        case Failed():
            _weigh_rejection(state, now, None)
            state.may_be_cold = True
        case Cancelled():
            good = False
    _judge(state, now, is_trial, good)


def _weigh_answer(
    state: UpstreamState,
    request: OpenRequest,
    now: float,
    is_trial: bool,
) -> bool:
    """Return whether the service time was good."""
    began = request.sent if request.began is None else request.began
    slowness = state.slowness
    good = slowness.is_good(now - began)
    if slowness.typical:
        ratio = (now - request.sent) / slowness.typical
        state.external_load.compare(ratio, state.upstream.slots)
    slowness.finished(now - began, learn=is_trial or not state.is_suspect)
    state.breaker.answered()
    return good


def _weigh_rejection(
    state: UpstreamState,
    now: float,
    retry_after: timedelta | None,
) -> None:
    """Count the rejection as load and rest as long as the hint says."""
    state.breaker.failed()
    state.reject(now)
    if retry_after is not None:
        rest = min(retry_after.total_seconds(), MAX_REST)
        state.backoff_until = max(state.backoff_until, now + rest)


def _judge(
    state: UpstreamState,
    now: float,
    is_trial: bool,
    good: bool,
) -> None:
    """Move the upstream between ordinary requests and trials."""
    if is_trial and good:
        if state.trials.passed(now):
            state.readmit(now)
    elif is_trial:
        state.trials.missed(now)
    elif state.breaker.is_open:
        state.eject(now)
    state.watch(now)
