"""Guards against verdicts that change or depend on the reader."""

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


def folded(*batches, seconds=0):
    table = ClaimTable(timedelta(seconds=60), timedelta(seconds=3))
    for offset, batch in enumerate(batches):
        table.apply(offset, START + timedelta(seconds=seconds), batch)
    return table


def test_a_claim_that_was_late_never_becomes_first():
    table = folded(claim('a'), claim('b'), void('a'), claim('b'))
    assert table.verdicts['b'] is ClaimVerdict.late
    assert table.holder('k') is None


def test_a_repeated_append_does_not_undo_the_first_verdict():
    table = folded(claim('a'), claim('a'))
    assert table.verdicts['a'] is ClaimVerdict.first


def test_a_claim_that_arrives_after_its_void_does_not_block_the_key():
    assert folded(void('a'), claim('a'), claim('b')).holder('k').nonce == 'b'


def test_only_claims_read_after_a_void_count():
    table = folded(claim('a'), claim('b'), void('a'), claim('c'))
    assert table.holder('k').nonce == 'c'


def test_a_completed_claim_is_never_released():
    done = Batch(completions=(Completion('a', 'k', 201),))
    assert folded(claim('a'), done, void('a')).holder('k').status == 201


def test_another_owners_void_or_completion_has_no_effect():
    done = Batch(completions=(Completion('b', 'k', 201),))
    table = folded(claim('a'), claim('b'), void('b'), done)
    assert table.holder('k').nonce == 'a'
    assert table.holder('k').status is None


def test_a_claim_read_after_its_key_was_dropped_is_not_first():
    table = folded(claim('a'))
    table.apply(1, EXPIRY + timedelta(seconds=3), Batch())
    assert table.holder('k') is None
    table.apply(2, EXPIRY, claim('b'))
    assert 'b' not in table.verdicts
    assert not table.is_complete_for(EXPIRY)
    assert not table.expiring


@pytest.mark.parametrize('started', [True, False])
def test_after_a_gap_only_later_expiries_are_complete(started):
    table = folded(*([claim('a')] if started else []))
    table.skip_to(5)
    assert not table.is_complete_for(EXPIRY)
    table.apply(5, START, Batch())
    assert not table.is_complete_for(START + timedelta(seconds=63))
    assert table.is_complete_for(START + timedelta(seconds=64))


def test_a_record_of_a_newer_version_counts_as_a_gap():
    newer = Batch(version=records.RECORD_VERSION + 1)
    assert not folded(newer).is_complete_for(EXPIRY)


def test_a_malformed_record_is_passed_over_by_every_reader():
    assert folded(None, claim('a')).holder('k').nonce == 'a'
