"""Claims the idempotency keys of requests in the ledger."""

from datetime import timedelta

from ..ledger.ledger import Ledger
from ..ledger.results import (
    AlreadyClaimed,
    Claimed,
    ClaimState,
    ClaimUnavailable,
    LedgerSettings,
)
from .inbound import InboundRequest
from .problems import UNKNOWN, RefusalError

_REFUSAL_CODES = {  # noqa: WPS407 - read-only by convention
    'append_rejected': 'append_rejected',
    'deadline_passed': 'deadline_exceeded',
    'expired': 'idempotency_key_expired',
    'expiry_too_far': 'idempotency_expiry_too_far',
}

# Used in the doctest of ``claim_horizon``.
_MINUTE = timedelta(minutes=1)
_MAX_HORIZON = timedelta(hours=1)


def claim_horizon(retention: timedelta) -> timedelta:
    """Return how far in the future the expiry of a key may lie.

    A claim must expire well before the platform drops its record; the ledger
    rejects settings that don't ensure this.

    >>> LedgerSettings(_MINUTE, claim_horizon(_MINUTE)).horizon
    datetime.timedelta(seconds=30)
    """
    return min(_MAX_HORIZON, retention / 2)


async def claim(ledger: Ledger, inbound: InboundRequest) -> str:
    """Claim the key of a request and return the nonce of the claim.

    Raises:
        RefusalError: the key is already claimed or cannot be claimed.
    """
    assert inbound.expires is not None
    digest = inbound.digest()
    result = await ledger.claim(
        f'{inbound.service}/{inbound.key}',
        digest,
        inbound.expires,
        inbound.deadline,
    )
    if isinstance(result, Claimed):
        return result.nonce
    if isinstance(result, AlreadyClaimed):
        raise _already_claimed(result.state, digest)
    assert isinstance(result, ClaimUnavailable)
    code = _REFUSAL_CODES.get(result.reason, 'platform_unavailable')
    raise RefusalError(code, f'no claim: {result.reason}')


def _already_claimed(state: ClaimState, digest: str) -> RefusalError:
    if state.digest != digest:
        return RefusalError('idempotency_key_reused')
    if state.status is None:
        return RefusalError('request_in_progress', outcome=UNKNOWN)
    return RefusalError(
        'request_already_ran',
        outcome=UNKNOWN,
        earlier_status=state.status,
    )
