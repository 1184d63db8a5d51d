"""Guards against late or unfair service and unbounded queues."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.limits.caller_queue import CallerQueue

#: Time of a push that is never refused for its deadline or its expected wait.
EARLY = timedelta(hours=-1)


def ms(number):
    return timedelta(milliseconds=number)


def pop_item(queue, now=0):
    entry = queue.pop(ms(now))
    return entry and entry.item


def test_requests_of_one_caller_are_popped_by_deadline():
    queue = CallerQueue(10, 10)
    for number in (30, 10, 20):
        assert queue.push(number, 'a', ms(number), EARLY) is None
    assert [pop_item(queue) for _ in range(4)] == [10, 20, 30, None]


def test_flood_of_one_caller_neither_fills_the_queue_nor_delays_others():
    queue = CallerQueue(16, 16)
    refusals = [queue.push('flood', 'f', ms(100), EARLY) for _ in range(100)]
    assert refusals[-1].code == 'caller_over_limit'
    assert queue.push('other', 'o', ms(100), EARLY) is None
    assert 'other' in {pop_item(queue) for _ in range(2)}


def test_callers_with_one_request_at_a_time_do_not_stop_a_longer_backlog():
    queue = CallerQueue(100, 100)
    for _ in range(10):
        queue.push('a', 'a', ms(1000), EARLY)
    popped = ''
    for caller in 'bc' * 10:
        queue.push(caller, caller, ms(1000), EARLY)
        popped += pop_item(queue)
    assert popped.count('a') >= 6


def test_expired_requests_are_returned_once_and_never_popped():
    queue = CallerQueue(10, 10)
    queue.push('early', 'a', ms(5), EARLY)
    queue.push('late', 'a', ms(50), EARLY)
    assert pop_item(queue, 5) == 'late'
    assert queue.expired(ms(5)) == ['early']
    assert not queue.expired(ms(5))
    assert not queue


def test_request_that_would_wait_past_its_deadline_is_refused():
    queue = CallerQueue(100, 100)
    for number in range(40):
        queue.push(number, 'a', ms(10_000), EARLY)
    for number in range(30):
        queue.pop(ms(number * 10))
    refusal = queue.push('x', 'b', ms(310), now=ms(300))
    assert refusal.code == 'queue_full'
    assert refusal.retry_after >= ms(50)


def test_request_given_back_to_a_full_queue_keeps_its_place_and_the_rate():
    queue = CallerQueue(4, 4)
    for item, caller in (('a1', 'a'), ('b1', 'b'), ('a2', 'a'), ('c1', 'c')):
        queue.push(item, caller, ms(10_000), EARLY)
    retry_after = queue.retry_after()
    for poll in range(1, 100):
        queue.give_back(queue.pop(ms(poll * 20)))
    assert queue.retry_after() == retry_after
    popped = [pop_item(queue, 2000) for _ in range(5)]
    assert popped == ['a1', 'b1', 'a2', 'c1', None]


def test_expired_or_returned_requests_are_not_charged_to_their_caller():
    queue = CallerQueue(20, 20)
    for number in range(8):
        queue.push(number, 'a', ms(5), EARLY)
    queue.push('a1', 'a', ms(40), EARLY)
    queue.push('b1', 'b', ms(50), EARLY)
    queue.give_back(queue.pop(ms(0)))
    assert [pop_item(queue, 10) for _ in range(3)] == ['a1', 'b1', None]


@pytest.mark.parametrize('flood', [8, 20])
def test_flood_with_earlier_deadlines_gets_one_request_in_a_round(flood):
    queue = CallerQueue(100, 100)
    for number in range(flood):
        queue.push('flood', 'f', ms(10 + number), EARLY)
    for caller in 'abc':
        queue.push(caller, caller, ms(100), EARLY)
    popped = [pop_item(queue) for _ in range(5)]
    assert popped.count('flood') <= 2


def test_attempts_without_room_give_no_further_round_to_a_flood():
    queue = CallerQueue(100, 100)
    for number in range(20):
        queue.push('flood', 'f', ms(10 + number), EARLY)
    for caller in 'abc':
        queue.push(caller, caller, ms(100), EARLY)
    assert pop_item(queue) == 'flood'
    for _ in range(20):
        queue.give_back(queue.pop(ms(0)))
    assert [pop_item(queue) for _ in range(3)] == ['a', 'b', 'c']


def test_request_entered_before_an_earlier_one_gets_no_further_round():
    queue = CallerQueue(100, 100)
    for caller in 'bcdefgffff':
        queue.push(caller, caller, ms(100), EARLY)
    for first, flood in ((5, 60), (6, 50)):
        queue.push('first', 'a', ms(first), EARLY)
        queue.push('f', 'f', ms(flood), EARLY)
        assert pop_item(queue) == 'first'
    assert [pop_item(queue) for _ in range(2)] == ['f', 'b']


def test_callers_within_their_share_are_served_by_deadline():
    queue = CallerQueue(100, 100)
    entries = [('a', 5), ('a', 1), ('b', 4), ('b', 2), ('c', 3), ('a', 6)]
    for caller, deadline in entries:
        queue.push(deadline, caller, ms(deadline), EARLY)
    assert [pop_item(queue) for _ in range(6)] == [1, 2, 3, 4, 5, 6]


def test_heap_of_deadlines_does_not_keep_requests_that_have_left():
    queue = CallerQueue(10, 10)
    for number in range(1000):
        queue.push(number, 'a', timedelta(hours=1), EARLY)
        pop_item(queue)
    assert len(queue.by_deadline) < 100


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(1, 50))))
def test_every_request_is_removed_exactly_once(entries):
    queue = CallerQueue(20, 10)
    accepted = [
        number
        for number, (caller, deadline) in enumerate(entries)
        if queue.push(number, caller, ms(deadline), EARLY) is None
    ]
    removed = []
    for now in range(60):
        popped = pop_item(queue, now)
        removed.extend([] if popped is None else [popped])
        removed.extend(queue.expired(ms(now)))
    assert sorted(removed) == accepted
    assert not queue


@pytest.mark.parametrize('seed', range(20))
def test_no_request_is_lost_or_passed_over_between_pushes_and_pops(seed):
    random = Random(seed)
    queue = CallerQueue(100, 100)
    waiting = {}
    for now in range(300):
        step = random.choice(('push', 'push', 'pop', 'give back'))
        if step == 'push':
            caller, deadline = (
                random.choice('abcd'),
                ms(now + random.random() * 60),
            )
            assert queue.push(now, caller, deadline, EARLY) is None
            waiting[now] = (caller, deadline)
            continue
        entry = queue.pop(ms(now))
        for item in queue.expired(ms(now)):
            assert waiting.pop(item)[1] <= ms(now)
        assert len(queue) + bool(entry) == len(waiting)
        if entry is None:
            assert not waiting
            continue
        earlier = [
            item
            for item, (caller, deadline) in waiting.items()
            if caller == entry.account and deadline < entry.deadline
        ]
        assert not earlier
        if step == 'pop':
            waiting.pop(entry.item)
        else:
            queue.give_back(entry)
