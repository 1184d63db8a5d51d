"""Guards against hedges beyond their limit, or where they do not help."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.placement.hedging import (
    MIN_SAMPLES,
    REFRESH_SECONDS,
    ROTATION_SECONDS,
    ExtraRequestLimit,
    NotSent,
    RouteDurations,
    ServiceLoad,
    SlowRequest,
    reason_against_hedge,
)

WINDOW = 10.0
#: Seconds until the next event, and whether it is a slow request.
EVENTS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(1, 40), st.integers(0, 6)),
    max_size=40,
)
REQUEST = SlowRequest(
    left_attempts=1, left_seconds=0.2, median_seconds=0.1, is_suspect=False
)
LOAD = ServiceLoad(has_queue=False, has_spare_slots=True)


@given(EVENTS, st.floats(0.001, 0.3))
def test_hedges_of_any_window_stay_within_the_share(events, share):
    """A window begins anywhere and ends with its last hedge."""
    limit = ExtraRequestLimit(share, WINDOW)
    requests, hedges = [], []
    now = 0.0
    for delay, request_count, candidate_count in events:
        now += delay
        for _ in range(request_count):
            limit.count_request(now)
            requests.append(now)
        for _ in range(candidate_count):
            if limit.permits_hedge(now):
                limit.count_hedge(now)
                hedges.append(now)
    for end in hedges:
        in_window = [one for one in hedges if end - WINDOW < one <= end]
        served = [one for one in requests if end - WINDOW < one <= end]
        assert len(in_window) <= share * len(served)


def test_steady_load_gets_the_whole_share():
    """A limit that is too strict would waste hedges that operators allow."""
    limit = ExtraRequestLimit(0.05, WINDOW)
    hedges = 0
    for number in range(10_000):
        now = number / 100
        limit.count_request(now)
        if limit.permits_hedge(now):
            limit.count_hedge(now)
            hedges += 1
    assert 0.045 * 10_000 < hedges <= 0.05 * 10_000


def test_work_per_request_does_not_grow_with_the_load():
    limit = ExtraRequestLimit(0.05, WINDOW)
    for number in range(100_000):
        limit.count_request(number / 5000)
    assert len(limit.parts) <= 52


def recorded(durations, count, now=0.0, seed=1):
    random = Random(seed)
    for _ in range(count):
        durations.record(random.uniform(0.1, 0.2), now)
    return durations


def test_delay_is_unknown_until_there_are_enough_durations():
    durations = recorded(RouteDurations(0), MIN_SAMPLES - 1)
    assert durations.quantiles(0) is None
    durations.record(0.1, 0)
    assert durations.quantiles(REFRESH_SECONDS) is not None


def test_delay_is_the_95th_percentile():
    known = recorded(RouteDurations(0), 5000).quantiles(0)
    assert known.hedge_delay == pytest.approx(0.195, rel=0.02)
    assert known.median == pytest.approx(0.15, rel=0.02)


def test_old_durations_lose_their_influence():
    durations = recorded(RouteDurations(0), 1000)
    for turn in range(1, 3):
        for _ in range(MIN_SAMPLES):
            durations.record(1.0, turn * ROTATION_SECONDS)
    known = durations.quantiles(2 * ROTATION_SECONDS)
    assert known.median == pytest.approx(1, rel=0.02)


def test_rare_requests_keep_their_durations_until_there_are_enough():
    durations = recorded(RouteDurations(0), MIN_SAMPLES // 2)
    recorded(durations, MIN_SAMPLES // 2, 5 * ROTATION_SECONDS)
    assert durations.quantiles(5 * ROTATION_SECONDS) is not None


def test_cancelled_attempts_do_not_lower_the_delay():
    """Without their ages the delay would fall with each refresh."""
    durations = recorded(RouteDurations(0), 1000)
    random = Random(2)
    first = durations.quantiles(0).hedge_delay
    for number in range(20_000):
        now = number / 200
        delay = durations.quantiles(now).hedge_delay
        full = random.uniform(0.1, 0.2)
        durations.record(min(full, delay + 0.001), now)
    assert delay == pytest.approx(first, rel=0.03)


@pytest.mark.parametrize(
    ('changes', 'load', 'reason'),
    [
        ({}, {}, None),
        ({'left_attempts': 0}, {}, NotSent.attempts),
        ({'left_seconds': 0.09}, {}, NotSent.too_late),
        ({'is_suspect': True}, {}, NotSent.suspected),
        ({}, {'has_queue': True}, NotSent.queue),
        ({}, {'has_spare_slots': False}, NotSent.slots),
    ],
)
def test_hedge_is_sent_only_where_it_helps_and_harms_nobody(
    changes, load, reason
):
    request = replace(REQUEST, **changes)
    assert reason_against_hedge(request, replace(LOAD, **load)) is reason
