"""Tests that brief pauses are repeatable, brief, and hit each step."""

from typing import get_args

from soak.faults import PauseRole, PauseStep
from soak.pause_plan import PausePlanner


def drawn_pauses():
    return [
        scheduled.fault
        for seed in range(50)
        for scheduled in PausePlanner(seed, 4).schedule(4, 12)
    ]


def test_same_seed_yields_the_same_pauses():
    schedules = [PausePlanner(7, 4).schedule(8, 12) for _ in range(2)]
    assert schedules[0] == schedules[1]
    assert len(schedules[0]) > 8


def test_each_step_and_each_role_is_drawn():
    pauses = drawn_pauses()
    assert {pause.step for pause in pauses} == set(get_args(PauseStep))
    assert {pause.role for pause in pauses} == set(get_args(PauseRole))


def test_pauses_last_from_a_twentieth_of_a_second_to_a_little_over_one():
    lengths = [pause.seconds for pause in drawn_pauses()]
    assert min(lengths) >= 0.05
    assert max(lengths) <= 1.2
    assert max(lengths) - min(lengths) > 1


def test_pauses_overlap_and_come_in_series():
    schedule = sorted(
        PausePlanner(7, 4).schedule(8, 12), key=lambda scheduled: scheduled.at
    )
    assert any(
        later.at < earlier.at + earlier.fault.seconds
        for earlier, later in zip(schedule, schedule[1:], strict=False)
    )
