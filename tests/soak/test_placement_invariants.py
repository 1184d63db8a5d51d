"""Tests that the soak reports requests to evacuated and cold upstreams."""

import pytest

from soak.invariants import find_violations
from soak.records import (
    Arrival,
    ColdPeriod,
    Evacuation,
    InstanceDisturbance,
    RunRecord,
    SentRequest,
)

PATH = '/unsafe/'


def run_with(times, is_misdirected=False, **fields):
    """Return a run with a request to upstream i-1 at each of the times."""
    requests = [
        SentRequest(f'r{number}', PATH, True, 0, time, 'left', time)
        for number, time in enumerate(times)
    ]
    arrivals = [
        Arrival(
            request.request_id,
            PATH,
            's2',
            request.sent_at,
            has_run=False,
            upstream='i-1',
            is_misdirected=is_misdirected,
        )
        for request in requests
    ]
    return RunRecord(
        requests,
        arrivals,
        allowed_services={PATH: {'s2'}},
        failure_domains={'i-1': 'a'},
        **fields,
    )


@pytest.mark.parametrize(
    ('domain', 'time', 'is_reported'),
    [
        ('a', 15.1, True),
        ('a', 20, True),
        ('a', 14.9, False),
        ('a', 20.1, False),
        ('b', 15.1, False),
    ],
)
def test_request_to_an_evacuated_domain_is_reported(domain, time, is_reported):
    run = run_with([time], evacuations=[Evacuation(domain, 10, 20)])
    violations = find_violations(run)
    assert bool(violations) == is_reported
    assert all('after the evacuation of a' in line for line in violations)


def test_paused_instance_may_learn_late_of_an_evacuation():
    pause = InstanceDisturbance(0, 12, 14, is_planned=False)
    run = run_with(
        [18.9],
        evacuations=[Evacuation('a', 10, 20)],
        instance_disturbances=[pause],
    )
    assert not find_violations(run)


def cold_period(told_at):
    return ColdPeriod('i-1', rate=2, start=10, end=14, told_at=told_at)


BURST = tuple(11 + number / 20 for number in range(12))


@pytest.mark.parametrize('told_at', [10, 10.4])
def test_burst_at_a_cold_upstream_is_reported(told_at):
    run = run_with(BURST, cold_periods=[cold_period(told_at)])
    (violation,) = find_violations(run)
    assert '12 requests in 1.0 s at cold i-1' in violation


@pytest.mark.parametrize(
    'run',
    [
        run_with(BURST[1:], cold_periods=[cold_period(10)]),
        run_with([time + 3 for time in BURST], cold_periods=[cold_period(10)]),
        run_with(BURST, cold_periods=[cold_period(10.6)]),
        run_with(BURST, cold_periods=[cold_period(None)]),
        run_with(BURST, is_misdirected=True, cold_periods=[cold_period(10)]),
    ],
)
def test_requests_that_a_cold_upstream_tolerates_are_not_reported(run):
    assert not find_violations(run)
