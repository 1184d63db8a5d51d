"""Guards against slow upstreams that report their usual speed."""

from crocusproxy.placement.observed_slowdown import (
    SAMPLE_LIFETIME_SECONDS,
    ObservedSlowdown,
)


def observe(ratios, step=0.1):
    observed = ObservedSlowdown()
    now = 10.0
    for ratio in ratios:
        ticket = observed.start(now, expected_seconds=0.1)
        observed.end(ticket, now + 0.1 * ratio, answered=True)
        now += step
    return observed, now


def test_consistently_slow_upstream_is_detected():
    observed, now = observe([5.0, 4.0, 6.0])
    assert observed.slowdown(now) > 2


def test_single_slow_requests_are_ignored():
    """A mean over the samples excluded healthy upstreams for seconds."""
    observed, now = observe([1.0, 6.0, 1.2, 7.0])
    assert observed.slowdown(now) == 1


def test_slow_upstream_is_tried_again_after_its_samples_expire():
    observed, now = observe([5.0, 4.0, 6.0])
    assert observed.slowdown(now + SAMPLE_LIFETIME_SECONDS + 1) == 1


def test_timed_out_requests_count_as_slow():
    observed = ObservedSlowdown()
    for _ in range(3):
        observed.end(observed.start(0, 0.1), 0.5, answered=False)
    assert observed.slowdown(1) > 2
