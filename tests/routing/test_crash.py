"""Guards against requests that crash one upstream after the other."""

from datetime import timedelta

from crocusproxy.routing.crash import (
    CONFIRMATION_PERIOD,
    SUSPICION_PERIOD,
    Crash,
    CrashSuspects,
)


def crash(upstream, *fingerprints, at=0, sent_at=None):
    seconds = timedelta(seconds=at)
    sent = timedelta(seconds=at if sent_at is None else sent_at)
    times = dict.fromkeys(fingerprints, sent)
    return Crash(upstream, frozenset(fingerprints), seconds, times)


def test_request_of_two_crashes_is_refused_until_confirmation_expires():
    suspects = CrashSuspects()
    assert not suspects.crashed(crash('s/a', 'bad', 'x'))
    assert suspects.crashed(crash('s/b', 'bad', 'y', at=1)) == {'bad'}
    now = timedelta(seconds=1)
    assert suspects.refused_for('bad', now) == CONFIRMATION_PERIOD
    assert not suspects.refused_for('x', now)
    assert not suspects.refused_for('bad', now + CONFIRMATION_PERIOD)


def test_popular_request_that_was_answered_is_not_confirmed():
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'bad', 'popular'))
    suspects.answered('popular')
    assert suspects.crashed(crash('s/b', 'bad', 'popular')) == {'bad'}


def test_two_crashes_of_one_upstream_confirm_no_request():
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'x'))
    assert not suspects.crashed(crash('s/a', 'x', at=1))


def test_suspicion_expires():
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'x'))
    later = SUSPICION_PERIOD.total_seconds() + 1
    assert not suspects.crashed(crash('s/b', 'x', at=later))


def test_entries_expire_without_another_crash():
    """They stayed, and every request was hashed to look for them."""
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'bad', 'x'))
    suspects.crashed(crash('s/b', 'bad', at=30))
    assert suspects.is_suspect('x', SUSPICION_PERIOD)
    later = SUSPICION_PERIOD + timedelta(seconds=1)
    assert not suspects.is_suspect('x', later)
    assert suspects.refused_for('bad', later)
    suspects.expire(timedelta(seconds=30) + CONFIRMATION_PERIOD)
    assert not suspects.suspects
    assert not suspects.confirmed_until


def test_confirmed_request_is_cleared_when_a_copy_is_answered():
    """A popular request in flight at both crashes stayed refused too long."""
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'bad', 'popular'))
    confirmed = suspects.crashed(crash('s/b', 'bad', 'popular', at=1))
    assert confirmed == {'bad', 'popular'}
    suspects.answered('popular')
    now = timedelta(seconds=2)
    assert not suspects.refused_for('popular', now)
    assert suspects.refused_for('bad', now)


def test_requests_of_two_crashes_at_once_are_not_confirmed():
    """A path was refused for ten minutes after a loss of two upstreams."""
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'path', at=10, sent_at=9))
    assert not suspects.crashed(crash('s/b', 'path', at=10.2, sent_at=9.5))
    now = timedelta(seconds=11)
    assert suspects.is_suspect('path', now)
    assert not suspects.refused_for('path', now)


def test_request_that_was_sent_after_the_first_of_many_crashes_is_confirmed():
    """Copies that were in flight before must not make it look like the first.

    It would crash one upstream more with each of them.
    """
    suspects = CrashSuspects()
    suspects.crashed(crash('s/a', 'bad', at=10, sent_at=9))
    suspects.crashed(crash('s/b', 'bad', at=12, sent_at=9))
    assert suspects.crashed(crash('s/c', 'bad', at=13, sent_at=11)) == {'bad'}


def test_crash_of_an_older_build_confirms_as_before():
    suspects = CrashSuspects()
    suspects.crashed(Crash('s/a', frozenset('x'), timedelta(seconds=1)))
    second = Crash('s/b', frozenset('x'), timedelta(seconds=2))
    assert suspects.crashed(second) == {'x'}
