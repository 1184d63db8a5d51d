"""Guards against burn rates that differ from a manual computation."""

import math
from datetime import datetime, timedelta, timezone

import pytest

from crocusproxy.burn.rates import burn_figures
from crocusproxy.burn.windows import LONG_WINDOW, WINDOW, WindowCounts
from crocusproxy.config.model import Objective

NOW = datetime(2026, 1, 2, 12, 10, 30, tzinfo=timezone.utc)
OBJECTIVE = Objective(share=0.99, window=timedelta(days=1))


def at(hour, minute, good, bad, day=2, length=WINDOW):
    start = datetime(2026, 1, day, hour, minute, tzinfo=timezone.utc)
    return WindowCounts(start, length, good, bad)


COUNTS = (
    at(12, 10, 180, 20),  # in every span
    at(12, 6, 300, 0),  # in every span: the oldest window of the 5 min
    at(12, 5, 490, 10),  # only in 1 h and 6 h
    at(11, 11, 1000, 0),  # only in 1 h and 6 h: the oldest window of the 1 h
    at(11, 10, 960, 40),  # only in 6 h
    at(3, 0, 6930, 70, length=LONG_WINDOW),  # only in the budget
    at(12, 0, 0, 500, day=1, length=LONG_WINDOW),  # older than the objective
)


def test_figures_match_a_manual_computation():
    figures = burn_figures(COUNTS, OBJECTIVE, NOW)
    # 5 min: 20 / 500 / 0.01; 1 h: 30 / 2000 / 0.01; 6 h: 70 / 3000 / 0.01.
    rates = [rate.rate for rate in figures.rates]
    assert rates == pytest.approx([4.0, 1.5, 7 / 3])
    assert [rate.bad for rate in figures.rates] == [20, 30, 70]
    # Budget: 140 bad of 10,000 requests, of which 100 are allowed.
    assert figures.budget_left == pytest.approx(-0.4)
    assert figures.counted_since == at(3, 0, 0, 0).start


def test_burn_rate_is_zero_without_requests():
    figures = burn_figures((), OBJECTIVE, NOW)
    assert [rate.rate for rate in figures.rates] == [0, 0, 0]
    assert figures.budget_left == 1
    assert figures.counted_since is None


def test_objective_of_all_requests_gives_an_infinite_rate():
    whole = Objective(share=1.0)
    assert burn_figures(COUNTS, whole, NOW).rates[0].rate == math.inf
