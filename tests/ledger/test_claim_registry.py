"""Guards claims of this process against a wrong dispatch or void."""

from datetime import datetime, timedelta, timezone

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.ledger.claim_registry import ClaimRegistry
from crocusproxy.ledger.records import Claim
from crocusproxy.ledger.results import (
    AlreadyClaimed,
    Claimed,
    ClaimUnavailable,
    LedgerSettings,
)

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
DEADLINE = timedelta(seconds=2)


def make_registry(**limits):
    return ClaimRegistry(LedgerSettings(**limits), ManualClock(START))


def request_claim(registry, nonce, key='k', minutes=10):
    claim = Claim(nonce, key, 'd', START + timedelta(minutes=minutes))
    return registry.start_claim(claim, DEADLINE)


def confirm_claim(registry, nonce='a'):
    request_claim(registry, nonce, key='k' if nonce == 'a' else nonce)
    batch = registry.next_batch()
    registry.mark_sending(batch)
    registry.remove_entries(batch)
    registry.apply_record(registry.table.next_offset, START, batch)
    return registry.own_claims.get(nonce)


def test_claim_read_after_its_deadline_is_voided():
    registry = make_registry()
    request_claim(registry, 'a')
    batch = registry.next_batch()
    registry.mark_sending(batch)
    registry.clock.advance(DEADLINE)
    (own_claim,) = registry.apply_record(0, START, batch)
    assert own_claim.result == ClaimUnavailable('deadline_passed')
    assert 'a' in registry.unconfirmed_voids


def test_process_paused_past_the_deadline_does_not_dispatch():
    registry = make_registry()
    assert isinstance(confirm_claim(registry).result, Claimed)
    assert registry.may_dispatch('a')
    registry.clock.advance(DEADLINE)
    assert not registry.may_dispatch('a')


def test_voided_or_completed_claim_is_not_dispatchable():
    for end in (
        lambda registry: registry.give_up('a', 'voided'),
        lambda registry: registry.complete('a', 200),
    ):
        registry = make_registry()
        confirm_claim(registry)
        end(registry)
        assert not registry.may_dispatch('a')


def test_claim_that_was_definitely_not_written_needs_no_void():
    """Otherwise voids of all requests rejected in an outage fill the memory."""
    registry = make_registry()
    request_claim(registry, 'a')
    first_sends = registry.mark_sending(registry.next_batch())
    registry.give_up('a', 'platform_unavailable')
    registry.mark_not_written(first_sends)
    assert registry.next_batch() is None


def test_uncertain_claim_is_voided_even_if_a_later_append_fails():
    registry = make_registry()
    request_claim(registry, 'a')
    registry.mark_sending(registry.next_batch())
    registry.mark_not_written(
        registry.mark_sending(registry.next_batch(retry=True))
    )
    registry.give_up('a', 'deadline_passed')
    assert [void.nonce for void in registry.next_batch(retry=True).voids] == [
        'a'
    ]


def test_retry_adds_no_new_claims():
    registry = make_registry()
    request_claim(registry, 'a')
    registry.mark_sending(registry.next_batch())
    request_claim(registry, 'b', key='other')
    nonces = [claim.nonce for claim in registry.next_batch(retry=True).claims]
    assert nonces == ['a']
    assert registry.unwritten_nonces() == ('b',)


def test_re_send_gets_the_status_of_the_completed_request():
    registry = make_registry()
    confirm_claim(registry)
    registry.complete('a', 201)
    registry.apply_record(1, START, registry.next_batch())
    result = request_claim(registry, 'b')
    assert isinstance(result, AlreadyClaimed)
    assert result.state.status == 201


def test_unconfirmed_claim_cannot_be_completed():
    registry = make_registry()
    request_claim(registry, 'a')
    registry.complete('a', 200)
    assert not registry.unconfirmed_completions
    assert registry.next_batch().claims


def test_claims_beyond_the_limits_are_rejected():
    registry = make_registry(pending_limit=1)
    assert request_claim(registry, 'a', minutes=0) == ClaimUnavailable(
        'expired'
    )
    assert request_claim(registry, 'a', minutes=61) == ClaimUnavailable(
        'expiry_too_far'
    )
    assert request_claim(registry, 'a') is None
    assert request_claim(registry, 'b') == ClaimUnavailable('overloaded')


def test_expired_entries_are_removed():
    """Otherwise an outage or inactive callers increase memory use."""
    registry = make_registry()
    for nonce in ('a', 'b', 'c'):
        confirm_claim(registry, nonce)
    registry.give_up('b', 'voided')
    registry.complete('c', 200)
    registry.clock.advance(timedelta(minutes=11))
    assert registry.next_batch() is None
    assert not (registry.own_claims or registry.unconfirmed_voids)
    assert not (registry.unconfirmed_completions or registry.unconfirmed_claims)


def test_horizon_beyond_the_retention_is_rejected():
    with pytest.raises(ValueError, match='retention'):
        LedgerSettings(retention=timedelta(hours=1))
