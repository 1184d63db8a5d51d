"""Guards against more requests than an upstream's rate limit permits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.rate_limiter import RateLimiter

STEP_SECONDS = 0.01
WINDOW_SECONDS = 4.0


def sent_times(limiter, start, seconds):
    """Send as much as is permitted."""
    times = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = start + step * STEP_SECONDS
        while limiter.next_at(now) <= now:
            limiter.take(now)
            times.append(now)
    return times


def most_in_a_window(times):
    return max(
        (
            sum(end - WINDOW_SECONDS < time <= end for time in times)
            for end in times
        ),
        default=0,
    )


@given(rate=st.floats(0, 60), idle=st.floats(0, 100))
def test_any_window_has_at_most_the_limit_and_a_short_burst(rate, idle):
    limiter = RateLimiter(rate, 0)
    times = sent_times(limiter, idle, 12)
    assert most_in_a_window(times) <= 1.5 * WINDOW_SECONDS * rate + 5
    if rate >= 1:
        assert len(times) >= 0.9 * 11 * rate


@given(rates=st.lists(st.floats(0.5, 20), min_size=2, max_size=6))
def test_changed_rate_gives_no_new_burst(rates):
    limiter = RateLimiter(rates[0], 0)
    times = []
    for number, rate in enumerate(rates):
        limiter.change_rate(rate, number)
        times.extend(sent_times(limiter, number, 1))
    assert most_in_a_window(times) <= 1.5 * WINDOW_SECONDS * max(rates) + 5


def test_limit_of_zero_permits_a_request_now_and_then():
    """Without one the end of the limit would never be seen."""
    limiter = RateLimiter(0, 0)
    assert limiter.next_at(0) == pytest.approx(10)
    assert len(sent_times(limiter, 0, 60)) == 5


def test_clock_that_stands_still_or_goes_back_permits_nothing_more():
    limiter = RateLimiter(2, 10)
    assert limiter.next_at(9) > 9
    assert limiter.next_at(10) == pytest.approx(10.5)
