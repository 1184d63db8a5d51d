"""Guards against undetected slow upstreams and against false alarms."""

from random import Random

from crocusproxy.routing.slowness import (
    EJECT_LEVEL,
    SUSPECT_LEVEL,
    WATCH_LEVEL,
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
    now = test.updated_at
    ends = sorted(now + draw.expovariate(1 / mean) for _ in range(slots))
    test.advance(now, slots)
    for _ in range(requests):
        now = ends.pop(0)
        test.advance(now, slots)
        yield test.evidence
        test.finished(0.01, learn=False)
        ends = sorted([*ends, now + draw.expovariate(1 / mean)])


def test_zero_service_times_do_not_cause_a_division_by_zero():
    test = SlownessTest()
    for _ in range(500):
        test.finished(0.0, learn=True)
    test.advance(1.0, 2)
    assert test.level(2.0) > 0


def test_slow_upstream_is_detected_within_a_few_requests():
    levels = list(serve(trained(), 2, 0.05, 12, Random(4)))
    assert max(levels) >= EJECT_LEVEL


def test_frozen_upstream_is_detected_without_finished_requests():
    test = trained()
    test.advance(0, 2)
    assert test.level(0.2) >= EJECT_LEVEL
    test.advance(0, 1)
    assert test.level(0.1) >= SUSPECT_LEVEL


def test_evidence_is_kept_when_a_stuck_request_is_cancelled():
    test = trained()
    test.advance(0, 2)
    test.advance(0.2, 0)
    assert test.level(0.2) >= EJECT_LEVEL


def test_healthy_upstreams_cause_few_false_alarms_with_any_number_of_slots():
    # Evidence from the ages alone ejected healthy upstreams with 6 slots.
    for slots in (1, 2, 6, 20):
        levels = list(serve(trained(), slots, 0.01, 10_000, Random(5)))
        assert sum(level >= EJECT_LEVEL for level in levels) <= 30


def test_next_check_is_when_the_watch_level_is_reached():
    test = trained()
    test.advance(0, 2)
    assert abs(test.level(test.seconds_to_watch_level()) - WATCH_LEVEL) < 1e-9
