"""The response to a request that no upstream has served."""

from ..placement.requests import Refused
from .call_results import CallResult, Responded, ResponseLost
from .refusals import (
    EXPIRED,
    NOT_ACCEPTED,
    TIMED_OUT,
    UPSTREAM_FAILED,
    not_placed,
)
from .request_context import RequestContext
from .responses import CallerResponse, Refusal


def failure_response(
    context: RequestContext,
    last_result: CallResult | None,
    refusal: Refused | None,
    now: float,
) -> CallerResponse | Refusal:
    """Return the response after the last attempt failed, or none was made.

    ``refusal`` says why no upstream was chosen, None if one was. ``now`` is in
    monotonic seconds.
    """
    if isinstance(last_result, Responded):
        return last_result.response
    if context.may_have_run:
        is_late = (
            isinstance(last_result, ResponseLost) and last_result.is_timeout
        )
        return TIMED_OUT if is_late else UPSTREAM_FAILED
    if refusal is not None:
        return not_placed(refusal.code, refusal.retry_after)
    return EXPIRED if now >= context.deadline else NOT_ACCEPTED
