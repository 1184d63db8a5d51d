"""Refusals: error codes with their HTTP status and outcome."""

import json
import math
from datetime import timedelta

from ..errors import CrocusError

ANSWERED = 'answered'
NOT_RUN = 'not-run'
FAILED = 'failed'
UNKNOWN = 'unknown'
PROBLEM_TYPE = 'application/problem+json'

_STATUS = {  # noqa: WPS407 - read-only by convention
    'malformed_request': 400,
    'idempotency_key_missing': 400,
    'idempotency_expiry_invalid': 400,
    'idempotency_expiry_too_far': 400,
    'timeout_invalid': 400,
    'service_unknown': 404,
    'request_in_progress': 409,
    'request_already_ran': 409,
    'idempotency_key_expired': 410,
    'body_too_large': 413,
    'idempotency_key_reused': 422,
    'caller_over_limit': 429,
    'headers_too_large': 431,
    'append_rejected': 500,
    'internal_error': 500,
    'upstream_failed': 502,
    'response_incomplete': 502,
    'queue_full': 503,
    'no_upstream': 503,
    'platform_unavailable': 503,
    'shutting_down': 503,
    'not_ready': 503,
    'request_suspected': 503,
    'deadline_passed': 504,
    'deadline_exceeded': 504,
}
#: Statuses after which a retry may succeed.
_RETRYABLE = frozenset((429, 502, 503, 504))
#: Statuses after which a retry may succeed even if the outcome is unknown,
#: because they do not depend on the request itself.
_ALWAYS_RETRYABLE = frozenset((429, 503))
_DEFAULT_RETRY_AFTER = timedelta(seconds=1)
_SECOND = timedelta(seconds=1)


class RefusalError(CrocusError):
    """The error response to a request without an upstream response.

    If ``outcome`` is empty, the outcome follows from the state of the request.
    """

    def __init__(
        self,
        code: str,
        message: str = '',
        *,
        outcome: str = '',
        retry_after: timedelta | None = None,
        earlier_status: int | None = None,
    ) -> None:
        super().__init__(message or code.replace('_', ' '), code=code)
        self.outcome = outcome
        self.earlier_status = earlier_status
        self.status = _STATUS.get(code, 500)
        self.retry_after = retry_after or _DEFAULT_RETRY_AFTER

    def headers(self, outcome: str) -> dict[str, str]:
        """Return the headers of the refusal."""
        headers = {'Content-Type': PROBLEM_TYPE, 'Crocus-Outcome': outcome}
        if self._is_retryable(outcome):
            # Retry-After allows only whole seconds.
            seconds = max(1, math.ceil(self.retry_after / _SECOND))
            headers['Retry-After'] = str(seconds)
        return headers

    def body(self, outcome: str) -> bytes:
        """Return the problem document."""
        document: dict[str, str | int] = {
            'code': self.code,
            'title': self.code.replace('_', ' '),
            'detail': self.message,
            'outcome': outcome,
        }
        if self.earlier_status is not None:
            document['earlier_status'] = self.earlier_status
        return json.dumps(document).encode()

    def _is_retryable(self, outcome: str) -> bool:
        if outcome == UNKNOWN:
            # The key may be claimed, and a claimed key does not run again.
            return self.status in _ALWAYS_RETRYABLE
        return self.status in _RETRYABLE


def outcome_before_dispatch(*, has_key: bool, first_attempt: bool) -> str:
    """Return the outcome of a request that is refused before dispatch.

    An earlier attempt of a keyed request may have run or may still run, even if
    no claim is known: its claim may not have been appended to the ledger yet.
    Only the caller knows that there was no earlier attempt; it then sends
    ``Crocus-Attempt: 1``.

    >>> outcome_before_dispatch(has_key=True, first_attempt=False)
    'unknown'
    """
    if not has_key or first_attempt:
        return NOT_RUN
    return UNKNOWN
