"""Guards against limits of requests in flight that lose capacity."""

from random import Random

import pytest

from crocusproxy.placement.concurrency import (
    EVALUATION_RATIO,
    LoadEffect,
    ServiceConcurrency,
)

from .load_model import Kind, Load, LoadModel, Servers
from .test_placer import Placing, entry


def burst(factor):
    return lambda now: factor if 1 <= now < 4 else 0.7


def play(servers, in_flight, factor=2.0, seed=1, slow=1.0):
    """Play a burst relative to the capacity with ``in_flight`` per upstream."""
    rate = servers.number * in_flight / 0.15 / slow
    kinds = (
        Kind('urgent', 0.2 * rate, 1, 0.1, 0.25, 1),
        Kind('usual', 0.5 * rate, 2, 0.15, 0.5, 2),
        Kind('patient', 0.3 * rate, 3, 0.2, 2.5, 5),
    )
    model = LoadModel(servers, Load(kinds, 5, burst(factor)), seed)
    return model, model.play()


@pytest.mark.parametrize(('slots', 'limit'), [(2, 2), (4, 3), (6, 4)])
@pytest.mark.parametrize('slow_share', [0, 0.2])
def test_limit_with_a_slowdown_from_four_fifths_of_the_slots(
    slots, limit, slow_share
):
    """Full upstreams of 4 or 6 slots lose a fifth of the capacity."""
    servers = Servers(12, slots, knee_factor=1.7, slow_share=slow_share)
    model, _ = play(servers, limit, slow=1 + slow_share)
    assert model.placer.concurrency.limit() == limit


@pytest.mark.parametrize('slots', [2, 4, 6])
@pytest.mark.parametrize('slow_share', [0, 0.2])
def test_all_slots_are_used_without_such_a_slowdown(slots, slow_share):
    """The initial limit would waste up to a third of the capacity."""
    servers = Servers(12, slots, slow_share=slow_share)
    model, _ = play(servers, slots, slow=1 + slow_share)
    assert model.placer.concurrency.limit() == slots


def test_burst_at_upstreams_that_slow_down_when_full():
    """Filling all slots gave 0.52 in time and 0.1 late in this load."""
    _, outcomes = play(Servers(12, 4, knee_factor=1.7), 3)
    assert outcomes['all'].in_time_share > 0.63
    assert outcomes['all'].late / outcomes['all'].sent < 0.03


def learn(concurrency, effect, durations, rounds=400):
    """Play requests that start with each number in flight in turn."""
    now = 0.0
    for _ in range(rounds):
        for in_flight, seconds in durations.items():
            sample = concurrency.start(effect, in_flight, 0.1, now)
            concurrency.end(sample, now + seconds, answered=True)
            now += EVALUATION_RATIO


def test_slowdown_that_begins_while_all_upstreams_are_full_is_found():
    """All durations grow alike then; the median alone would absorb it."""
    concurrency = ServiceConcurrency(Random(1))
    effect = concurrency.effect(4)
    learn(concurrency, effect, {3: 0.1, 4: 0.1})
    assert effect.limit == 4
    for _ in range(200):
        learn(concurrency, effect, {4: 0.17}, rounds=19)
        learn(concurrency, effect, {3: 0.1}, rounds=1)
    assert effect.limit == 3


def test_load_effect_is_relative_to_few_requests_in_flight():
    concurrency = ServiceConcurrency(Random(1))
    effect = concurrency.effect(2)
    learn(concurrency, effect, {1: 0.2, 2: 0.26})
    assert effect.ratio(1) == 1
    assert effect.ratio(2) == pytest.approx(1.3, rel=0.1)


def test_first_responses_are_not_taken_for_typical_ones():
    """The short ones of a burst end first."""
    concurrency = ServiceConcurrency(Random(1))
    effect = LoadEffect(4)
    samples = [concurrency.start(effect, 4, 0.1, 0) for _ in range(40)]
    before = effect.ratio(4)
    for sample in samples[:10]:
        concurrency.end(sample, 0.05, answered=True)
    assert effect.ratio(4) == before


@pytest.mark.parametrize('slots', [1, 2, 4, 6, 8, 20, 100])
def test_limit_is_within_the_slots(slots):
    effect = LoadEffect(slots)
    assert 1 <= effect.limit <= slots
    for in_flight in range(1, slots + 1):
        assert effect.ratio(in_flight) >= 1


def test_limit_does_not_hold_back_requests_while_none_ends():
    """Long downloads would block the remaining slots for their duration."""
    placing = Placing(entry('1', slots=4))
    assert all([placing.place() for _ in range(4)])
    assert not placing.placer.queue
