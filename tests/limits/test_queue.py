"""Guards against late or unfair service and unbounded queues."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.queue import DeadlineQueue


def ms(number):
    return timedelta(milliseconds=number)


def test_requests_of_one_caller_are_popped_by_deadline():
    queue = DeadlineQueue(10, 10)
    for number in (30, 10, 20):
        assert queue.push(number, 'a', ms(number)) is None
    assert [queue.pop(ms(0)) for _ in range(4)] == [10, 20, 30, None]


def test_flood_of_one_caller_neither_fills_the_queue_nor_delays_others():
    queue = DeadlineQueue(16, 16)
    refusals = [queue.push('flood', 'f', ms(100)) for _ in range(100)]
    assert refusals[-1].code == 'caller_over_limit'
    assert queue.push('other', 'o', ms(100)) is None
    assert 'other' in {queue.pop(ms(0)) for _ in range(2)}


def test_expired_requests_are_returned_once_and_never_popped():
    queue = DeadlineQueue(10, 10)
    queue.push('early', 'a', ms(5))
    queue.push('late', 'a', ms(50))
    assert queue.pop(ms(5)) == 'late'
    assert queue.expired(ms(5)) == ['early']
    assert not queue.expired(ms(5))
    assert not queue


def test_request_that_would_wait_past_its_deadline_is_refused():
    queue = DeadlineQueue(100, 100)
    for number in range(40):
        queue.push(number, 'a', ms(10_000))
    for number in range(30):
        queue.pop(ms(number * 10))
    refusal = queue.push('x', 'b', ms(310), now=ms(300))
    assert refusal.code == 'queue_full'
    assert refusal.retry_after >= ms(50)


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(1, 50))))
def test_every_request_is_removed_exactly_once(entries):
    queue = DeadlineQueue(20, 10)
    accepted = [
        number
        for number, (caller, deadline) in enumerate(entries)
        if queue.push(number, caller, ms(deadline)) is None
    ]
    removed = []
    for now in range(60):
        popped = queue.pop(ms(now))
        removed.extend([] if popped is None else [popped])
        removed.extend(queue.expired(ms(now)))
    assert sorted(removed) == accepted
    assert not queue
