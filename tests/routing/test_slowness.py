"""Guards against stragglers that keep their share, and against false alarms."""

from random import Random

from crocusproxy.routing.slowness import (
    EJECTED,
    SUSPECT,
    WATCHED,
    SlownessTest,
)


def trained(mean=0.01):
    test, draw = SlownessTest(), Random(3)
    for _ in range(500):
        test.finished(draw.expovariate(1 / mean), learn=True)
    test.evidence = 0
    return test


def serve(test, slots, mean, requests, draw):
    """Keep all slots busy; yield the level before each end."""
    now = test.at
    ends = sorted(now + draw.expovariate(1 / mean) for _ in range(slots))
    test.advance(now, slots)
    for _ in range(requests):
        now = ends.pop(0)
        test.advance(now, slots)
        yield test.evidence
        test.finished(0.01, learn=False)
        ends = sorted([*ends, now + draw.expovariate(1 / mean)])


def test_answers_without_measurable_time_do_not_end_the_balancer():
    test = SlownessTest()
    for _ in range(500):
        test.finished(0.0, learn=True)
    test.advance(1.0, 2)
    assert test.level(2.0) > 0


def test_a_slow_upstream_is_noticed_within_a_few_requests():
    levels = list(serve(trained(), 2, 0.05, 12, Random(4)))
    assert max(levels) >= EJECTED


def test_a_frozen_upstream_is_noticed_although_nothing_finishes():
    test = trained()
    test.advance(0, 2)
    assert test.level(0.2) >= EJECTED
    test.advance(0, 1)
    assert test.level(0.1) >= SUSPECT


def test_cancelling_a_stuck_request_keeps_its_evidence():
    test = trained()
    test.advance(0, 2)
    test.advance(0.2, 0)
    assert test.level(0.2) >= EJECTED


def test_healthy_upstreams_raise_few_false_alarms_whatever_their_slots():
    # Evidence from plain ages ejected healthy upstreams of 6 slots.
    for slots in (1, 2, 6, 20):
        levels = list(serve(trained(), slots, 0.01, 10_000, Random(5)))
        assert sum(level >= EJECTED for level in levels) <= 30


def test_the_alarm_comes_when_the_level_is_reached():
    test = trained()
    test.advance(0, 2)
    assert abs(test.level(test.alarm_after()) - WATCHED) < 1e-9
