"""Guards against verdicts that change or differ between readers."""

from datetime import datetime, timedelta, timezone

import pytest

from crocusproxy.ledger import records
from crocusproxy.ledger.claim_table import ClaimTable, ClaimVerdict
from crocusproxy.ledger.records import Batch, Claim, Completion, Void

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
EXPIRY = START + timedelta(seconds=30)


def claim(nonce, key='k'):
    return Batch(claims=(Claim(nonce, key, 'd', EXPIRY),))


def void(nonce, key='k'):
    return Batch(voids=(Void(nonce, key, EXPIRY),))


def apply_batches(*batches, seconds=0):
    table = ClaimTable(timedelta(seconds=60), timedelta(seconds=3))
    for offset, batch in enumerate(batches):
        table.apply(offset, START + timedelta(seconds=seconds), batch)
    return table


def test_late_claim_never_becomes_first():
    table = apply_batches(claim('a'), claim('b'), void('a'), claim('b'))
    assert table.verdicts['b'] is ClaimVerdict.late
    assert table.holder('k') is None


def test_repeated_append_keeps_the_first_verdict():
    table = apply_batches(claim('a'), claim('a'))
    assert table.verdicts['a'] is ClaimVerdict.first


def test_claim_after_its_void_does_not_block_the_key():
    assert (
        apply_batches(void('a'), claim('a'), claim('b')).holder('k').nonce
        == 'b'
    )


def test_void_releases_the_key_only_for_later_claims():
    table = apply_batches(claim('a'), claim('b'), void('a'), claim('c'))
    assert table.holder('k').nonce == 'c'


def test_void_does_not_release_a_completed_claim():
    completion = Batch(completions=(Completion('a', 'k', 201),))
    assert (
        apply_batches(claim('a'), completion, void('a')).holder('k').status
        == 201
    )


def test_void_or_completion_of_another_owner_has_no_effect():
    completion = Batch(completions=(Completion('b', 'k', 201),))
    table = apply_batches(claim('a'), claim('b'), void('b'), completion)
    assert table.holder('k').nonce == 'a'
    assert table.holder('k').status is None


def test_claim_after_its_key_expired_is_not_first():
    table = apply_batches(claim('a'))
    table.apply(1, EXPIRY + timedelta(seconds=3), Batch())
    assert table.holder('k') is None
    table.apply(2, EXPIRY, claim('b'))
    assert 'b' not in table.verdicts
    assert not table.is_complete_for(EXPIRY)
    assert not table.expiring


@pytest.mark.parametrize('has_earlier_record', [True, False])
def test_only_later_expiries_are_complete_after_a_gap(has_earlier_record):
    table = apply_batches(*([claim('a')] if has_earlier_record else []))
    table.skip_to(5)
    assert not table.is_complete_for(EXPIRY)
    table.apply(5, START, Batch())
    assert not table.is_complete_for(START + timedelta(seconds=63))
    assert table.is_complete_for(START + timedelta(seconds=64))


def test_record_of_a_newer_version_counts_as_a_gap():
    newer = Batch(version=records.RECORD_VERSION + 1)
    assert not apply_batches(newer).is_complete_for(EXPIRY)


def test_malformed_record_is_ignored():
    assert apply_batches(None, claim('a')).holder('k').nonce == 'a'
