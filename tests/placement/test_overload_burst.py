"""Plays bursts beyond the capacity, and checks what callers get.

The shares of the earlier policy, which filled all slots and queued by target
time alone, are those of the same loads.
"""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import PlacementRequest, Refused
from crocusproxy.routes.model import RegisteredUpstream

from .load_model import Load, LoadModel, Servers
from .test_overload_fairness import kinds_of
from .test_placer import Placing, entry


def play_burst(servers, in_flight, factor):
    rate = servers.number * in_flight / 0.15
    if servers.slow_share:
        rate /= 1.25
    load = Load(
        kinds_of(rate),
        8,
        lambda now: factor if 2 <= now < 5 else 0.7,
        counted_from=1,
    )
    model = LoadModel(servers, load)
    return model, model.play()


@pytest.mark.parametrize(
    ('slots', 'knee_factor', 'slow_share', 'factor', 'earlier'),
    [
        (4, 1.7, 0, 1.7, 0.645),
        (4, 1.7, 0, 2.4, 0.498),
        (4, 1.7, 0.2, 1.7, 0.698),
        (4, 1.0, 0, 2.4, 0.641),
        (4, 1.0, 0.2, 1.7, 0.857),
        (6, 1.7, 0.2, 2.4, 0.591),
        (2, 1.7, 0, 1.7, 0.754),
        (2, 1.7, 0.2, 2.4, 0.656),
    ],
)
def test_burst_beyond_the_capacity(
    slots, knee_factor, slow_share, factor, earlier
):
    """As many responses were just too late as were in time."""
    servers = Servers(20, slots, knee_factor=knee_factor, slow_share=slow_share)
    in_flight = {2: 2, 4: 3, 6: 4}[slots] if knee_factor > 1 else slots
    if slots == 2:
        in_flight = 2 / knee_factor
    model, groups = play_burst(servers, in_flight, factor)
    outcomes = groups['all']
    assert outcomes.in_time_share > earlier + 0.03
    assert outcomes.late < 0.12 * outcomes.in_time
    assert set(model.refusals) == {'overloaded'}


def test_refused_callers_return_one_after_the_other():
    """All of them came back at once after a fixed time."""
    model, _ = play_burst(Servers(20, 4), 4, 2.4)
    delays = model.retry_afters
    assert min(delays) > 0
    assert max(delays) < 6
    assert len({round(one, 2) for one in delays}) > 20


def test_late_request_whose_turn_will_not_come_is_refused_early():
    """It would wait until its deadline, too late to try elsewhere."""
    placing = Placing(entry('1', slots=1))
    sent = [placing.place(target=5, deadline=9) for _ in range(7)]
    for step in range(4):
        placing.advance(0.1)
        placing.placer.release(sent[step][0], answered=True)
    assert len(placing.placer.queue) == 2
    decided = placing.place(priority=2, target=0.01, deadline=0.9)
    assert isinstance(decided[0], Refused)


def test_patient_requests_wait_out_a_short_burst():
    """A queue limit by count refused them although there was time."""
    placing = Placing(entry('1'), entry('2'))
    for _ in range(4):
        placing.place()
    waiting = [placing.place(target=5, deadline=9) for _ in range(30)]
    assert not any(waiting)


@pytest.mark.parametrize('length', [100, 2000])
def test_work_of_a_decision_does_not_grow_with_the_queue(length):
    """Sorting the queue at each step took most of a home's time."""
    placer = ServicePlacer('s', 'a', ManualClock(), Random(1))
    for number in range(length // 8):
        placer.put(
            RegisteredUpstream(
                str(number), 's', 'x', 'a', 1, False, 1, sequence=1
            )
        )
    placer.clock.advance(timedelta(seconds=1))
    CountingTarget.compared = 0
    placed = []
    for _ in range(length):
        request = PlacementRequest(
            1, 0.001, CountingTarget(99), CountingTarget(100)
        )
        placer.place(request, placed.append)

    assert CountingTarget.compared < 60 * length


class CountingTarget(float):
    """A time that counts how often it is compared."""

    compared = 0

    def __lt__(self, other):
        CountingTarget.compared += 1
        return float(self) < float(other)

    def __eq__(self, other):
        CountingTarget.compared += 1
        return float(self) == float(other)

    __hash__ = float.__hash__
