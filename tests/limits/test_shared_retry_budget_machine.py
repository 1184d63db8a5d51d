"""State machine test of the retry budgets of several instances.

Guards against more retries in a window than all instances together may send,
also after changes of the home, with two homes and while all requests fail.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from crocusproxy.limits.shared_retry_budget import SharedRetryBudget

RATIO = 0.2
SLACK = 58
WINDOW = 10.0
INSTANCES = 15
#: Retries of one request.
MAX_RETRIES = 2


def count(times, start, end):
    return sum(start < time <= end for time in times)


class SharedBudgets(RuleBasedStateMachine):
    """Instances that spend all of their budgets."""

    def __init__(self):
        super().__init__()
        self.budgets = [
            SharedRetryBudget(RATIO, SLACK, WINDOW) for _ in range(INSTANCES)
        ]
        self.now = 0.0
        self.requests = []
        self.retries = []

    @rule(
        seconds=st.sampled_from((0.3, 1.5, 4)),
        rate=st.sampled_from((20, 150, 400)),
        serving=st.lists(
            st.integers(0, INSTANCES - 1), min_size=1, max_size=4, unique=True
        ),
        failing=st.booleans(),
    )
    def serve(self, seconds, rate, serving, failing):
        """Send requests to some instances in turn."""
        for number in range(round(seconds * rate)):
            self.now += 1 / rate
            budget = self.budgets[serving[number % len(serving)]]
            budget.count_request(self.now)
            self.requests.append(self.now)
            for _ in range(MAX_RETRIES if failing else 0):
                if budget.try_spend(self.now):
                    self.retries.append(self.now)
        self.check_bound()

    @rule(instance=st.integers(0, INSTANCES - 1))
    def restart(self, instance):
        self.budgets[instance] = SharedRetryBudget(RATIO, SLACK, WINDOW)

    def check_bound(self):
        end = self.now
        spent = count(self.retries, end - WINDOW, end)
        allowed = RATIO * self.max_requests(end) + SLACK
        assert spent <= allowed

    def max_requests(self, end):
        """Return the largest request count of this and two earlier windows."""
        return max(
            count(self.requests, end - shift - WINDOW, end - shift)
            for shift in (0, WINDOW / 2, WINDOW)
        )


SharedBudgets.TestCase.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None
)
TestSharedBudgets = SharedBudgets.TestCase
