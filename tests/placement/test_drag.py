"""Guards against upstreams that are slow and say nothing of it."""

from crocusproxy.placement.drag import MEMORY, Drag


def play(ratios, step=0.1):
    drag = Drag()
    now = 10.0
    for ratio in ratios:
        ticket = drag.start(now, expected=0.1)
        drag.end(ticket, now + 0.1 * ratio, answered=True)
        now += step
    return drag, now


def test_upstream_that_is_slow_each_time_is_noticed():
    drag, now = play([5.0, 4.0, 6.0])
    assert drag.factor(now) > 2


def test_single_slow_requests_are_no_sign():
    """A mean over them took good upstreams out for seconds."""
    drag, now = play([1.0, 6.0, 1.2, 7.0])
    assert drag.factor(now) == 1


def test_slow_upstream_is_tried_again_after_a_while():
    drag, now = play([5.0, 4.0, 6.0])
    assert drag.factor(now + MEMORY + 1) == 1


def test_request_that_timed_out_counts_as_slow():
    drag = Drag()
    for _ in range(3):
        drag.end(drag.start(0, 0.1), 0.5, answered=False)
    assert drag.factor(1) > 2
