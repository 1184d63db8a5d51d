"""Tests that a violation beside a pause of the soak says so and stays one."""

import pytest

from soak.invariants import find_violations
from soak.own_pauses import with_own_pause
from soak.records import (
    InstancePause,
    ObserverDelay,
    RunRecord,
    SentRequest,
)

NOTE = 'beside a pause of the soak of 0.50 s, 0.30 s of it without a processor'


def run_with_pause(start):
    request = SentRequest('c0-1', '/', True, 0, 10.0, 'late', 11.3)
    delay = ObserverDelay(start, start + 0.5, 0.3)
    return RunRecord(requests=[request], observer_delays=[delay])


@pytest.mark.parametrize('start', [9.2, 10.5, 11.2])
def test_violation_beside_an_own_pause_names_it(start):
    (line,) = find_violations(run_with_pause(start))
    assert line == f'no response in time: c0-1 ({NOTE})'


@pytest.mark.parametrize('start', [8.0, 11.4])
def test_pause_at_another_time_is_not_named(start):
    (line,) = find_violations(run_with_pause(start))
    assert line == 'no response in time: c0-1'


@pytest.mark.parametrize(
    ('time', 'is_named'), [('10.40', True), ('14.9', True), ('16.00', False)]
)
def test_violation_with_a_time_names_a_pause_before_it(time, is_named):
    line = f'n0: old configuration after 2.0 s before second {time}'
    noted = with_own_pause(run_with_pause(10.0), line)
    assert noted == (f'{line} ({NOTE})' if is_named else line)


def test_longest_pause_is_named():
    run = run_with_pause(10.5)
    run.observer_delays.append(ObserverDelay(10.1, 10.3))
    assert NOTE in with_own_pause(run, 'no response in time: c0-1')


def test_id_of_a_caller_in_a_pause_is_recognized():
    run = run_with_pause(10.5)
    run.requests[0].request_id = 'pause-n1-3.36k0-2'
    assert NOTE in with_own_pause(
        run, 'cut off 1.00 s after it was sent: pause-n1-3.36k0-2 at n1'
    )


@pytest.mark.parametrize(
    ('instance', 'ended_at', 'is_named'),
    [(0, 10.9, True), (0, 11.8, True), (1, 10.9, False), (0, 9.9, False)],
)
def test_violation_beside_a_pause_of_its_instance_names_it(
    instance, ended_at, is_named
):
    """Seed 6001: an instance got no processor for 1.22 s (load 18)."""
    run = run_with_pause(0.0)
    pause = InstancePause(instance, ended_at, 0.6, 0.01)
    run.instance_pauses.append(pause)
    (line,) = find_violations(run)
    note = f' (beside: {pause})' if is_named else ''
    assert line == f'no response in time: c0-1{note}'
