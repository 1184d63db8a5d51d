"""Guards against lost counts and unbounded memory."""

from datetime import timedelta

from crocusproxy.burn.counter import BurnCounter
from crocusproxy.clock import ManualClock


def test_counts_stay_correct_and_bounded_over_two_days():
    clock = ManualClock()
    counter = BurnCounter(clock, retention=timedelta(days=1))
    for minute in range(2 * 24 * 60):
        counter.record(good=minute % 10 > 0)
        clock.advance(timedelta(minutes=1))
    counts = counter.counts()
    assert len(counts) <= 24 + 8 * 60
    minutes = sum(entry.total for entry in counts)
    assert 23 * 60 <= minutes <= 24 * 60
    assert sum(entry.bad for entry in counts) == minutes / 10


def test_no_count_is_lost_when_the_wall_clock_steps_back():
    clock = ManualClock()
    counter = BurnCounter(clock, retention=timedelta(days=1))
    counter.record(good=True)
    clock.advance(timedelta(minutes=5))
    counter.record(good=True)
    clock.wall -= timedelta(minutes=3)
    counter.record(good=False)
    clock.advance(timedelta(minutes=10))
    counter.record(good=False)
    counts = counter.counts()
    assert sum(entry.good for entry in counts) == 2
    assert sum(entry.bad for entry in counts) == 2
