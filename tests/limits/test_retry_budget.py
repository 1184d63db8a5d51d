"""Guards against retries that exceed their share of calls."""

from crocusproxy.limits.retry_budget import RetryBudget


def test_retries_stay_within_the_share_plus_the_initial_tokens():
    budget = RetryBudget(0.02)
    spent = 0
    for _ in range(10_000):
        budget.record_call()
        spent += budget.try_spend()
    assert 195 <= spent <= 202


def test_unspent_tokens_are_limited():
    budget = RetryBudget(0.5)
    for _ in range(1000):
        budget.record_call()
    assert sum(budget.try_spend() for _ in range(1000)) == 10
