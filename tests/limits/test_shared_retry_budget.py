"""Guards against more repeats than all instances together may send."""

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.shared_retry_budget import SharedRetryBudget

RATIO = 0.2
SLACK = 50
WINDOW = 10.0


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_no_window_holds_more_repeats_than_allowed(steps):
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    now = 0.0
    requests = []
    repeats = []
    for pause, is_repeat in steps:
        now += pause
        if is_repeat and budget.try_spend(now):
            repeats.append(now)
        elif not is_repeat:
            budget.count_request(now)
            requests.append(now)
        spent = sum(now - WINDOW <= one for one in repeats)
        seen = sum(now - 2 * WINDOW <= one for one in requests)
        assert spent <= RATIO * seen + SLACK


def test_memory_is_bounded_though_nothing_is_repeated():
    """Without repeats, each request since the start was kept."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    for number in range(10_000):
        budget.count_request(number / 10)
    kept = len(budget.fresh.grants) + len(budget.saved.grants)
    assert kept <= 2 * (10 * WINDOW + 1)


def test_budget_allows_for_a_burst_after_a_calm_time():
    """Else the first seconds after a fault have hardly any repeats."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    for number in range(1500):
        budget.count_request(number / 150)
    burst = sum(budget.try_spend(10) for _ in range(100))
    assert burst >= 0.02 * 1500


def test_budget_is_spent_nearly_in_full_by_steady_failures():
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    spent = 0
    for number in range(3000):
        budget.count_request(number / 150)
        spent += budget.try_spend(number / 150)
    assert spent >= 0.8 * RATIO * 3000


def test_ratio_of_zero_allows_nothing():
    budget = SharedRetryBudget(0, SLACK, WINDOW)
    budget.count_request(0)
    assert not budget.try_spend(0)


def test_idle_instance_has_no_slack_of_its_own():
    """Fifteen instances with the full slack each would exceed the sum."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    assert not budget.try_spend(0)
    budget.count_request(0)
    assert not budget.try_spend(0)
