"""Guards against wrong estimates of remaining and service times."""

from datetime import timedelta

import pytest

from crocusproxy.routes.model import Route, WeightedService
from crocusproxy.routes.timing import (
    CALLER_ROUND_TRIP,
    TIMEOUT_PERIOD_SECONDS,
    RouteTiming,
)

ROUTE = Route(
    'r',
    'a.example',
    '/',
    idempotent=True,
    timeout=timedelta(milliseconds=500),
    target_latency=timedelta(milliseconds=200),
    attempts=2,
    priority=1,
    parts=(WeightedService('s', 1),),
)


def test_time_before_the_request_arrived_is_subtracted():
    """A caller that had to connect first has already waited."""
    timing = RouteTiming()
    round_trip = CALLER_ROUND_TRIP.total_seconds()
    assert timing.seconds_to_target(ROUTE, 0.5, 1) == pytest.approx(
        0.2 - round_trip
    )
    assert timing.seconds_to_target(ROUTE, 0.44, 2) == pytest.approx(
        0.14 - round_trip
    )


def test_longest_timeout_is_forgotten_after_two_periods():
    """One long timeout made all later requests of the route seem late."""
    timing = RouteTiming()
    usual = timing.seconds_to_target(ROUTE, 0.5, now=0)
    timing.seconds_to_target(ROUTE, 3, now=1)
    targets = [
        timing.seconds_to_target(ROUTE, 0.5, now=second)
        for second in range(2, round(2 * TIMEOUT_PERIOD_SECONDS) + 2)
    ]
    assert targets[0] == usual - 2.5
    assert targets[round(TIMEOUT_PERIOD_SECONDS) - 3] == usual - 2.5
    assert targets[-1] == usual


def test_timeouts_before_a_long_pause_do_not_count():
    timing = RouteTiming()
    timing.seconds_to_target(ROUTE, 3, now=0)
    pause = 2 * TIMEOUT_PERIOD_SECONDS
    usual = RouteTiming().seconds_to_target(ROUTE, 0.5, now=pause)
    assert timing.seconds_to_target(ROUTE, 0.5, now=pause) == usual


def test_few_slow_responses_do_not_raise_the_service_time_estimate():
    """With the mean, each slow phase made all requests seem late."""
    timing = RouteTiming()
    for number in range(1000):
        timing.record_duration(ROUTE, 0.6 if number % 5 == 0 else 0.06)
    assert 0.05 < timing.expected_service_time(ROUTE) < 0.08


def test_cancelled_request_counts_only_if_it_exceeds_the_estimate():
    """Its duration is unknown, but not that it is above the median."""
    timing = RouteTiming()
    before = timing.expected_service_time(ROUTE)
    timing.record_unfinished(ROUTE, before * 0.9)
    assert timing.expected_service_time(ROUTE) == before
    timing.record_unfinished(ROUTE, before * 1.1)
    assert timing.expected_service_time(ROUTE) > before
