"""Tests that schedules are repeatable and contain every fault."""

from typing import get_args

from soak.faults import Fault
from soak.pause_plan import PausePlanner
from soak.plan import Planner
from soak.planned_work import PlannedWorkPlanner


def test_same_seed_yields_same_schedule():
    assert Planner(7, 4, 6).schedule(12) == Planner(7, 4, 6).schedule(12)


def test_different_seeds_yield_different_schedules():
    assert Planner(7, 4, 6).schedule(12) != Planner(8, 4, 6).schedule(12)


def test_every_kind_of_fault_is_drawn_within_fifty_seeds():
    drawn_types = {
        type(scheduled.fault)
        for seed in range(50)
        for planner in (Planner(seed, 4, 6),)
        for scheduled in (
            *planner.schedule(12),
            *planner.schedule_restores(1, 12),
            *planner.schedule_terms(1, 12),
            *planner.schedule_cuts(1, 12),
            *planner.schedule_features(1, 1, 1, 12),
            *planner.schedule_quota_faults(1, 1, 12),
            *planner.schedule_home_losses(1, 1, 12),
            *PlannedWorkPlanner(seed, 4, 6).schedule(1, 12),
            *PausePlanner(seed, 4).schedule(1, 12),
        )
    }
    assert drawn_types == set(get_args(Fault))


def test_restores_leave_the_other_faults_of_a_seed_unchanged():
    """The regression seeds would otherwise no longer show their failures."""
    planner = Planner(7, 4, 6)
    restores = planner.schedule_restores(4, 12)
    assert len(restores) == 4
    assert planner.schedule(12) == Planner(7, 4, 6).schedule(12)


def test_cuts_leave_an_instance_and_the_other_faults_of_a_seed_unchanged():
    planner = Planner(7, 4, 6)
    for scheduled in planner.schedule_cuts(20, 12):
        assert len(scheduled.fault.instances) < 4
    assert planner.schedule(12) == Planner(7, 4, 6).schedule(12)


def test_features_leave_the_other_faults_of_a_seed_unchanged():
    planner = Planner(7, 4, 6)
    features = planner.schedule_features(2, 1, 3, 12)
    assert len(features) == 6
    assert features == Planner(7, 4, 6).schedule_features(2, 1, 3, 12)
    assert planner.schedule(12) == Planner(7, 4, 6).schedule(12)


def test_quota_faults_leave_the_other_faults_of_a_seed_unchanged():
    planner = Planner(7, 4, 6)
    faults = planner.schedule_quota_faults(3, 2, 12)
    assert len(faults) == 5
    features = planner.schedule_features(2, 1, 3, 12)
    assert features == Planner(7, 4, 6).schedule_features(2, 1, 3, 12)
    assert planner.schedule(12) == Planner(7, 4, 6).schedule(12)


def test_schedule_is_ordered_and_has_series():
    times = [scheduled.at for scheduled in Planner(7, 4, 6).schedule(60)]
    assert times == sorted(times)
    intervals = [
        later - earlier
        for earlier, later in zip(times, times[1:], strict=False)
    ]
    assert min(intervals) <= 0.2


def test_departures_leave_two_instances():
    """A run without instances would check nothing."""
    for count in range(1, 6):
        planner = Planner(7, count, 6)
        for scheduled in planner.schedule_home_losses(0, 9, 12):
            assert count - len(scheduled.fault.instances) >= 2
        losses = planner.schedule_home_losses(3, 0, 12)
        assert len(losses) == 3
