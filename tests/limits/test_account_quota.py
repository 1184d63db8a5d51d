"""Guards against quotas that are exceeded, or that reject too much."""

from random import Random

import pytest

from crocusproxy.limits.account_quota import (
    AccountQuotas,
    Admitted,
    OverQuota,
    QuotaBounds,
)
from crocusproxy.limits.quota_division import (
    PartOfQuota,
    SharedQuota,
    SplitQuota,
    WholeQuota,
)
from crocusproxy.routes.model import ClientAccount

BOUNDS = QuotaBounds(5, 0.1, 20)
ACCOUNT = ClientAccount('a', (), None, rate=10, burst=30)
#: 0.15 of the excess of 0.1 * (10 * 5 + 30) + 20.
START_TOKENS = 4


def make_quotas(division=WholeQuota(), account=ACCOUNT, now=0.0, seed=1):
    quotas = AccountQuotas(BOUNDS, Random(seed))
    quotas.apply_accounts([account], now)
    quotas.apply_division(division, now)
    return quotas


def admitted(quotas, now, count=100, account=ACCOUNT):
    decisions = [quotas.admit(account, now) for _ in range(count)]
    return decisions.count(Admitted())


def test_new_bucket_starts_with_less_than_the_burst():
    """The previous home may have admitted a burst just before."""
    assert admitted(make_quotas(), 0) == START_TOKENS


def test_first_request_after_a_while_gets_the_whole_burst():
    quotas = make_quotas()
    assert admitted(quotas, 100) == 30
    assert admitted(quotas, 100.55) == 5


def test_account_without_a_rate_has_no_limit():
    account = ClientAccount('free', ())
    quotas = make_quotas(account=account)
    assert admitted(quotas, 0, 1000, account) == 1000
    assert not quotas.buckets


def test_account_without_a_burst_gets_its_rate():
    account = ClientAccount('a', (), None, rate=10, burst=0)
    quotas = make_quotas(account=account, now=-1)
    times = [number / 10 for number in range(100)]
    assert sum(admitted(quotas, now, 3, account) for now in times) == 100


def test_refunded_token_is_used_again():
    quotas = make_quotas()
    assert admitted(quotas, 0) == START_TOKENS
    quotas.refund(ACCOUNT, 0)
    assert admitted(quotas, 0) == 1


def test_retries_are_not_rejected_but_paid_for():
    quotas = make_quotas(now=-100)
    admitted(quotas, 0)
    for _ in range(5):
        quotas.charge(ACCOUNT, 0)
    assert quotas.count_indebted(0) == 1
    assert admitted(quotas, 0.55) == 0
    assert admitted(quotas, 0.65) == 1
    assert quotas.count_indebted(0.65) == 0


def test_rejected_callers_return_one_after_the_other():
    """All would otherwise return when there is a single token."""
    quotas = make_quotas()
    admitted(quotas, 0, START_TOKENS)
    waits = [
        quotas.admit(ACCOUNT, 0).retry_after.total_seconds() for _ in range(200)
    ]
    assert waits[:4] == pytest.approx([0.1, 0.2, 0.3, 0.4])
    assert max(waits) <= 0.1 + BOUNDS.window
    assert len(set(waits)) == 200


def test_changed_quota_applies_at_once():
    quotas = make_quotas()
    lower = ClientAccount('a', (), None, rate=1, burst=3)
    quotas.apply_accounts([lower], 100)
    assert admitted(quotas, 100, account=lower) == 3
    higher = ClientAccount('a', (), None, rate=100, burst=50)
    assert admitted(quotas, 100.1, account=higher) == 10


def test_change_of_home_back_and_forth_gives_no_new_burst():
    quotas = make_quotas()
    admitted(quotas, 100)
    quotas.apply_division(PartOfQuota(15), 100.5)
    quotas.apply_division(WholeQuota(), 101)
    assert admitted(quotas, 101) == START_TOKENS
    quotas.apply_division(PartOfQuota(15), 110)
    quotas.apply_division(WholeQuota(), 210)
    assert admitted(quotas, 210) == START_TOKENS


def test_instances_without_a_home_use_a_part_each():
    """Parts of less than a token are lost if each instance rounds them."""
    counts = [
        admitted(make_quotas(PartOfQuota(100, position)), 0)
        for position in range(100)
    ]
    assert max(counts) == 1
    assert sum(counts) == START_TOKENS
    retry_after = make_quotas(PartOfQuota(10_000)).admit(ACCOUNT, 0).retry_after
    assert retry_after.total_seconds() <= 1


def test_domain_home_takes_only_its_part_before_it_has_reported():
    quotas = make_quotas(SharedQuota(3))
    unreported = [0]
    quotas.unreported = lambda name: unreported[0]
    quotas.on_take = lambda name, count: unreported.append(
        unreported.pop() + count
    )
    # A third of the burst, and a third of 0.2 of the excess.
    first = (30 + 5.6) // 3
    assert admitted(quotas, 100, 11) == first
    retry_after = quotas.admit(ACCOUNT, 100).retry_after
    assert 0 < retry_after.total_seconds() <= 0.3
    unreported[0] = 0
    assert 0 < admitted(quotas, 100) < first


def test_small_account_is_served_by_many_domain_homes():
    """A share of less than one token would reject every request."""
    account = ClientAccount('a', (), None, rate=1, burst=1)
    for division in (SharedQuota(7), SplitQuota(7)):
        quotas = make_quotas(division, account)
        assert admitted(quotas, 10, 3, account) == 1


def test_reports_of_others_are_subtracted():
    quotas = make_quotas(SharedQuota(2), now=-100)
    quotas.apply_takes('a', 35, 0)
    quotas.apply_takes('unknown', 35, 0)
    assert quotas.count_indebted(0) == 1
    rejection = quotas.admit(ACCOUNT, 0)
    assert rejection.retry_after.total_seconds() == pytest.approx(0.6)


def test_split_quota_is_a_share_and_grows_again_after_the_end():
    quotas = make_quotas(SharedQuota(3), now=-100)
    quotas.apply_takes('a', 0, 0)
    quotas.apply_division(SplitQuota(3), 0)
    quotas.apply_takes('a', 1000, 0)
    assert admitted(quotas, 0) == 10
    assert admitted(quotas, 3.05) == 10
    quotas.apply_division(SharedQuota(3), 3.05)
    assert admitted(quotas, 3.05) == 0
    assert admitted(quotas, 4.05) > 3


def test_buckets_of_removed_accounts_are_deleted():
    quotas = make_quotas()
    for number in range(1200):
        admitted(quotas, 0, 1, ClientAccount(str(number), (), None, 1, 1))
    quotas.apply_accounts([ACCOUNT], 4)
    assert len(quotas.buckets) == 1200
    quotas.apply_accounts([ACCOUNT], 10)
    assert not quotas.buckets


def test_over_quota_is_a_decision_with_a_time():
    quotas = make_quotas()
    admitted(quotas, 0)
    assert isinstance(quotas.admit(ACCOUNT, 0), OverQuota)
