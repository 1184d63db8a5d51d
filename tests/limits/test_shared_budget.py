"""Guards against more repeats than all instances together may send."""

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.shared_budget import RepeatBudget

RATIO = 0.2
SLACK = 50
WINDOW = 10.0


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_no_window_holds_more_repeats_than_allowed(steps):
    budget = RepeatBudget(RATIO, SLACK, WINDOW)
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


def test_idle_instance_has_no_slack_of_its_own():
    """Fifteen instances with the full slack each would exceed the sum."""
    budget = RepeatBudget(RATIO, SLACK, WINDOW)
    assert not budget.try_spend(0)
    budget.count_request(0)
    assert not budget.try_spend(0)
