"""Guards against upstreams that are slow and say nothing of it."""

from crocusproxy.placement.observed_slowdown import MEMORY, ObservedSlowdown


def play(ratios, step=0.1):
    observed = ObservedSlowdown()
    now = 10.0
    for ratio in ratios:
        ticket = observed.start(now, expected=0.1)
        observed.end(ticket, now + 0.1 * ratio, answered=True)
        now += step
    return observed, now


def test_upstream_that_is_slow_each_time_is_noticed():
    observed, now = play([5.0, 4.0, 6.0])
    assert observed.factor(now) > 2


def test_single_slow_requests_are_no_sign():
    """A mean over them took good upstreams out for seconds."""
    observed, now = play([1.0, 6.0, 1.2, 7.0])
    assert observed.factor(now) == 1


def test_slow_upstream_is_tried_again_after_a_while():
    observed, now = play([5.0, 4.0, 6.0])
    assert observed.factor(now + MEMORY + 1) == 1


def test_request_that_timed_out_counts_as_slow():
    observed = ObservedSlowdown()
    for _ in range(3):
        observed.end(observed.start(0, 0.1), 0.5, answered=False)
    assert observed.factor(1) > 2
