"""Tests that planned work is repeatable, comes in series and leaves callers."""

from soak.faults import TerminateTwice
from soak.planned_work import PlannedWorkPlanner


def test_same_seed_yields_the_same_planned_work():
    schedules = [PlannedWorkPlanner(7, 4, 6).schedule(8, 12) for _ in range(2)]
    assert schedules[0] == schedules[1]
    assert len(schedules[0]) > 8


def test_second_signal_comes_while_the_instance_still_drains():
    for seed in range(50):
        for scheduled in PlannedWorkPlanner(seed, 14, 6).schedule(8, 12):
            if isinstance(scheduled.fault, TerminateTwice):
                assert 0.1 <= scheduled.fault.seconds <= 3
                assert len(scheduled.fault.instances) <= 4


def test_an_instance_is_left_for_callers():
    for seed in range(50):
        for scheduled in PlannedWorkPlanner(seed, 2, 6).schedule(8, 12):
            if isinstance(scheduled.fault, TerminateTwice):
                assert len(scheduled.fault.instances) == 1
