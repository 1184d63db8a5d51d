"""Guards against more retries than all instances together may send."""

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.shared_retry_budget import SharedRetryBudget

RATIO = 0.2
SLACK = 50
WINDOW = 10.0


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_retries_in_any_window_stay_within_the_bound(steps):
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    now = 0.0
    requests = []
    retries = []
    for pause, is_retry in steps:
        now += pause
        if is_retry and budget.try_spend(now):
            retries.append(now)
        elif not is_retry:
            budget.count_request(now)
            requests.append(now)
        spent = sum(now - WINDOW <= one for one in retries)
        seen = sum(now - 2 * WINDOW <= one for one in requests)
        assert spent <= RATIO * seen + SLACK


@given(
    st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from('frh')), max_size=300)
)
def test_forwarding_instance_and_home_share_the_grant_of_a_request(steps):
    """Each request would grant its retries twice."""
    forwarding = SharedRetryBudget(RATIO, SLACK, WINDOW)
    home = SharedRetryBudget(RATIO, SLACK, WINDOW)
    now = 0.0
    requests = []
    retries = []
    for pause, step in steps:
        now += pause
        if step == 'r':
            forwarding.count_forwarded(now)
            home.count_received(now)
            requests.append(now)
        elif (forwarding if step == 'f' else home).try_spend(now):
            retries.append(now)
        spent = sum(now - WINDOW <= one for one in retries)
        seen = sum(now - 2 * WINDOW <= one for one in requests)
        assert spent <= RATIO * seen


def test_memory_is_bounded_without_retries():
    """Without retries, the grants of all requests since the start were kept."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    for number in range(10_000):
        budget.count_request(number / 10)
    kept = len(budget.immediate.grants) + len(budget.reserve.grants)
    assert kept <= 2 * (10 * WINDOW + 1)


def test_budget_allows_a_burst_after_time_without_retries():
    """Otherwise hardly any retries are left in the first seconds of a fault."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    for number in range(1500):
        budget.count_request(number / 150)
    burst = sum(budget.try_spend(10) for _ in range(100))
    assert burst >= 0.02 * 1500


def test_steady_failures_spend_nearly_the_whole_budget():
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    spent = 0
    for number in range(3000):
        budget.count_request(number / 150)
        spent += budget.try_spend(number / 150)
    assert spent >= 0.8 * RATIO * 3000


def test_ratio_of_zero_allows_no_retries():
    budget = SharedRetryBudget(0, SLACK, WINDOW)
    budget.count_request(0)
    assert not budget.try_spend(0)


def test_idle_instance_may_not_spend_the_slack():
    """The full slack at each of 15 instances would exceed the bound."""
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW)
    assert not budget.try_spend(0)
    budget.count_request(0)
    assert not budget.try_spend(0)
