"""Guards own claims against a dispatch or a void at the wrong time."""

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


def registry(**limits):
    return ClaimRegistry(LedgerSettings(**limits), ManualClock(START))


def requested(owner, nonce, key='k', minutes=10):
    claim = Claim(nonce, key, 'd', START + timedelta(minutes=minutes))
    return owner.request(claim, DEADLINE)


def confirmed(owner, nonce='a'):
    requested(owner, nonce, key='k' if nonce == 'a' else nonce)
    batch = owner.next_batch()
    owner.sending(batch)
    owner.appended(batch)
    owner.read(owner.table.next, START, batch)
    return owner.own.get(nonce)


def test_a_claim_read_after_its_deadline_is_voided_at_once():
    owner = registry()
    requested(owner, 'a')
    batch = owner.next_batch()
    owner.sending(batch)
    owner.clock.advance(DEADLINE)
    (own,) = owner.read(0, START, batch)
    assert own.result == ClaimUnavailable('deadline_passed')
    assert 'a' in owner.voids


def test_a_process_that_was_paused_past_the_deadline_does_not_dispatch():
    owner = registry()
    assert isinstance(confirmed(owner).result, Claimed)
    assert owner.may_dispatch('a')
    owner.clock.advance(DEADLINE)
    assert not owner.may_dispatch('a')


def test_a_voided_or_completed_claim_is_not_dispatchable():
    for end in (
        lambda owner: owner.give_up('a', 'voided'),
        lambda owner: owner.complete('a', 200),
    ):
        owner = registry()
        confirmed(owner)
        end(owner)
        assert not owner.may_dispatch('a')


def test_a_claim_that_was_certainly_not_sent_needs_no_void():
    """Voids of every request refused in an outage would fill the memory."""
    owner = registry()
    requested(owner, 'a')
    newly_sent = owner.sending(owner.next_batch())
    owner.give_up('a', 'platform_unavailable')
    owner.not_sent(newly_sent)
    assert owner.next_batch() is None


def test_an_unknown_claim_is_voided_even_if_a_later_append_certainly_fails():
    owner = registry()
    requested(owner, 'a')
    owner.sending(owner.next_batch())
    owner.not_sent(owner.sending(owner.next_batch(retry=True)))
    owner.give_up('a', 'deadline_passed')
    assert [void.nonce for void in owner.next_batch(retry=True).voids] == ['a']


def test_a_retry_adds_no_new_claims():
    owner = registry()
    requested(owner, 'a')
    owner.sending(owner.next_batch())
    requested(owner, 'b', key='other')
    nonces = [claim.nonce for claim in owner.next_batch(retry=True).claims]
    assert nonces == ['a']
    assert owner.unsent() == ('b',)


def test_a_re_send_learns_the_status_of_the_request_that_ran():
    owner = registry()
    confirmed(owner)
    owner.complete('a', 201)
    owner.read(1, START, owner.next_batch())
    result = requested(owner, 'b')
    assert isinstance(result, AlreadyClaimed)
    assert result.state.status == 201


def test_a_pending_claim_of_the_same_process_counts_as_an_earlier_claim():
    owner = registry()
    requested(owner, 'a')
    expiry = START + timedelta(minutes=10)
    assert not owner.shows_no_claim('k', expiry)
    owner.give_up('a', 'voided')
    assert owner.shows_no_claim('k', expiry)


def test_a_claim_that_is_not_confirmed_cannot_be_completed():
    owner = registry()
    requested(owner, 'a')
    owner.complete('a', 200)
    assert not owner.completions
    assert owner.next_batch().claims


def test_claims_beyond_the_limits_are_refused():
    owner = registry(pending_limit=1)
    assert requested(owner, 'a', minutes=0) == ClaimUnavailable('expired')
    assert requested(owner, 'a', minutes=61) == ClaimUnavailable(
        'expiry_too_far'
    )
    assert requested(owner, 'a') is None
    assert requested(owner, 'b') == ClaimUnavailable('overloaded')


def test_what_is_past_its_expiry_is_forgotten():
    """Otherwise an outage or silent callers would grow the memory."""
    owner = registry()
    for nonce in ('a', 'b', 'c'):
        confirmed(owner, nonce)
    owner.give_up('b', 'voided')
    owner.complete('c', 200)
    owner.clock.advance(timedelta(minutes=11))
    assert owner.next_batch() is None
    assert not (owner.own or owner.own_keys or owner.voids)
    assert not (owner.completions or owner.claims)


def test_claims_may_not_outlive_the_retained_records():
    with pytest.raises(ValueError, match='retention'):
        LedgerSettings(retention=timedelta(hours=1))
