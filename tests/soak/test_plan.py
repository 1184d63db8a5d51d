"""Guards against runs that can't be repeated, and faults never drawn."""

from typing import get_args

from soak.plan import Fault, Planner


def test_a_seed_gives_the_same_faults_again():
    assert Planner(7, 4, 6).events(12) == Planner(7, 4, 6).events(12)


def test_seeds_differ():
    assert Planner(7, 4, 6).events(12) != Planner(8, 4, 6).events(12)


def test_every_kind_of_fault_is_drawn_within_fifty_seeds():
    drawn = {
        type(event.fault)
        for seed in range(50)
        for event in Planner(seed, 4, 6).events(12)
    }
    assert drawn == set(get_args(Fault))


def test_faults_come_in_order_and_in_series():
    times = [event.at for event in Planner(7, 4, 6).events(60)]
    assert times == sorted(times)
    pauses = [
        later - sooner for sooner, later in zip(times, times[1:], strict=False)
    ]
    assert min(pauses) <= 0.2
