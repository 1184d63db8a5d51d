"""Guards against requests to evacuated upstreams, and against lost ones."""

from crocusproxy.placement.requests import Placed

from .test_placer import Placing, entry, placed_key

EVACUATED = frozenset('a')
NONE = frozenset()


def test_evacuated_upstreams_get_no_request_and_new_ones_there_neither():
    placing = Placing(entry('1'), entry('2', 'b'))
    placing.placer.apply_evacuated(EVACUATED)
    placing.placer.put(entry('3'))
    placed = [placed_key(placing.place()) for _ in range(2)]
    assert placed == ['2', '2']
    assert not placing.place()


def test_waiting_requests_go_to_the_upstreams_that_are_left():
    placing = Placing(entry('1', slots=1), entry('2', 'b', slots=1))
    running = [placing.place() for _ in range(2)]
    waiting = placing.place()
    placing.placer.apply_evacuated(EVACUATED)
    for (placed,) in running:
        if placed.upstream.key == '1':
            placing.placer.release(placed, answered=True)
    assert not waiting
    for (placed,) in running:
        if placed.upstream.key == '2':
            placing.placer.release(placed, answered=True)
    assert placed_key(waiting) == '2'


def test_waiting_requests_are_refused_at_once_if_no_upstream_is_left():
    """They would otherwise wait until their deadline."""
    placing = Placing(entry('1', slots=1))
    (running,) = placing.place()
    waiting = placing.place()
    assert not waiting
    placing.placer.apply_evacuated(EVACUATED)
    (refused,) = waiting
    assert refused.code == 'no_upstream'
    # The request in flight ends as usual.
    assert isinstance(running, Placed)
    placing.placer.release(running, answered=True)


def test_request_waits_and_is_placed_when_its_upstreams_return():
    placing = Placing(entry('1'), entry('2', 'b', slots=1))
    placing.placer.apply_evacuated(EVACUATED)
    placing.place()
    waiting = placing.place()
    assert not waiting
    placing.placer.apply_evacuated(NONE)
    assert placed_key(waiting) == '1'


def test_failures_before_the_return_do_not_keep_load_away():
    """Upstreams that were shut down had backoffs of two seconds."""
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    for _ in range(6):
        state.failed(placing.placer.now())
    state.shed(placing.placer.now())
    placing.placer.apply_evacuated(EVACUATED)
    placing.placer.apply_evacuated(NONE)
    assert state.failure_rate == state.consecutive_failures == 0
    assert placed_key(placing.place()) == '1'


def test_requested_backoff_outlasts_an_evacuation():
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    state.terms.request_backoff(10, placing.placer.now())
    placing.placer.apply_evacuated(EVACUATED)
    placing.placer.apply_evacuated(NONE)
    assert placing.place()[0].code == 'upstreams_limited'


def test_unknown_failure_domain_changes_nothing():
    placing = Placing(entry('1'))
    placing.placer.apply_evacuated(frozenset(('typing-error',)))
    assert placed_key(placing.place()) == '1'
