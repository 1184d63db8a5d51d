"""Guards against paths that stay out of use after old failures."""

from datetime import timedelta

from crocusproxy.clock import ManualClock
from crocusproxy.platform.path_history import (
    FAILURE_MEMORY,
    FailoverBackoff,
    PathHistory,
)


def test_paths_with_a_recent_failure_come_last_in_their_order():
    history = PathHistory(ManualClock())
    history.record_failure('b')
    history.record_failure('a')
    assert history.order('abcd') == ['c', 'd', 'a', 'b']


def test_old_failure_does_not_change_the_order():
    """Relays of one failure domain came after all that are cut off now."""
    clock = ManualClock()
    history = PathHistory(clock)
    history.record_failure('a')
    clock.advance(FAILURE_MEMORY - timedelta(milliseconds=1))
    assert history.order('ab') == ['b', 'a']
    clock.advance(timedelta(milliseconds=1))
    assert history.order('ab') == ['a', 'b']
    assert not history.failed_at


def test_backoff_grows_until_a_read_succeeds():
    backoff = FailoverBackoff()
    skips = []
    for _ in range(5):
        backoff.grow()
        skips.append(next(n for n in range(99) if backoff.allows()))
    assert skips == [1, 3, 7, 7, 7]
    backoff.reset()
    assert backoff.allows()
