"""Guards against endless responses that take the memory of others."""

from crocusproxy.entry.response_budget import (
    SMALL_RESPONSE_BYTES,
    ResponseBudget,
)

TOTAL = 16 * SMALL_RESPONSE_BYTES


class Holder:
    def __init__(self, budget):
        self.budget = budget
        self.held_bytes = 0
        self.is_dropped = False

    def take(self, more_bytes):
        return self.budget.take(self, more_bytes)

    def drop_response(self):
        self.is_dropped = True
        self.budget.give_back(self)


def holders(count):
    budget = ResponseBudget(TOTAL)
    return budget, [Holder(budget) for _ in range(count)]


def test_single_response_may_take_all():
    budget, (only,) = holders(1)
    assert only.take(TOTAL)
    assert not only.take(1)
    assert budget.used_bytes == TOTAL


def test_largest_response_is_dropped_for_a_smaller_one():
    """A sound response was refused while others filled the budget."""
    budget, (large, larger, small) = holders(3)
    assert large.take(TOTAL // 4)
    assert larger.take(TOTAL * 3 // 4)
    assert small.take(1000)
    assert larger.is_dropped
    assert not large.is_dropped
    assert budget.used_bytes == TOTAL // 4 + 1000


def test_largest_response_itself_gets_no_more():
    _, (large, small) = holders(2)
    assert large.take(TOTAL - 1000)
    assert small.take(1000)
    assert not large.take(1)
    assert not small.is_dropped


def test_budget_is_never_exceeded_by_many_small_responses():
    budget, many = holders(40)
    taken = [one.take(SMALL_RESPONSE_BYTES) for one in many]
    assert taken.count(True) == 16
    assert budget.used_bytes == TOTAL


def test_given_back_bytes_can_be_taken_again():
    budget, (first, second) = holders(2)
    assert first.take(TOTAL)
    budget.give_back(first)
    assert not budget.large_holders
    assert second.take(TOTAL)
