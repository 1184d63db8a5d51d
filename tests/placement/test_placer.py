"""Guards against requests that are sent, held or refused in the wrong order."""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import (
    Demand,
    Placed,
    Refused,
    ServicePlacer,
)
from crocusproxy.routes.model import RegisteredUpstream


def entry(key, failure_domain='a', slots=2, leaving=False, started_at=1):
    return RegisteredUpstream(
        key,
        's',
        f'10.0.0.{key}:80',
        failure_domain,
        slots,
        leaving,
        started_at,
        sequence=1,
    )


class Placing:
    """A placer with upstreams of known speed, and what it has decided."""

    def __init__(self, *entries):
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(1))
        for one in entries:
            self.placer.put(one)
            self.report(one.key, 1.0)

    def report(self, key, slowdown):
        self.placer.upstreams[key].report(slowdown, self.placer.now())

    def place(self, priority=1, work=0.06, target=0.2, give_up=0.5, **more):
        decided = []
        now = self.placer.now()
        demand = Demand(priority, work, now + target, now + give_up, **more)
        self.placer.place(demand, decided.append)
        return decided

    def pass_time(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for key in self.placer.upstreams:
            self.report(key, self.placer.upstreams[key].slowdown)
        self.placer.process_queue()


def key_of(decided):
    (placed,) = decided
    assert isinstance(placed, Placed)
    return placed.upstream.key


def test_fast_upstream_is_chosen_before_a_slow_one():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 5.0)
    assert key_of(placing.place()) == '2'


def test_second_slot_of_a_fast_upstream_is_better_than_a_slow_one():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 5.0)
    assert [key_of(placing.place()) for _ in range(2)] == ['2', '2']


def test_slow_upstream_is_used_if_all_are_slow():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 3.0)
    placing.report('2', 5.0)
    assert key_of(placing.place(target=0.4)) == '1'


def test_late_request_does_not_take_a_slow_slot_while_others_are_fast():
    """It would hold the slot for five times as long as on a fast upstream."""
    placing = Placing(entry('1', slots=1), entry('2', slots=1))
    placing.place()
    slow = '1' if placing.placer.upstreams['2'].in_flight else '2'
    placing.report(slow, 5.0)
    assert not placing.place(target=0.01, give_up=5)


def test_request_waits_rather_than_miss_its_target_at_a_slow_upstream():
    """Sent there, it would hold a slot and come too late all the same."""
    placing = Placing(entry('1'))
    placing.report('1', 5.0)
    decided = placing.place(work=0.1)
    assert not decided
    placing.report('1', 1.0)
    placing.placer.process_queue()
    assert key_of(decided) == '1'


def test_nothing_is_sent_beyond_the_slots():
    placing = Placing(entry('1'))
    sent = [placing.place() for _ in range(3)]
    assert [len(one) for one in sent] == [1, 1, 0]
    placing.placer.release(sent[0][0])
    assert len(sent[2]) == 1


def test_urgent_request_leaves_the_queue_first():
    placing = Placing(entry('1', slots=1))
    running = placing.place()
    ordinary = placing.place(priority=2)
    urgent = placing.place(priority=1)
    placing.placer.release(running[0])
    assert urgent and not ordinary


def test_request_that_is_late_anyway_lets_others_go_first():
    """Else each one in a burst makes the next one late."""
    placing = Placing(entry('1', slots=1))
    running = placing.place()
    late = placing.place(priority=1, target=0.07)
    placing.pass_time(0.05)
    in_time = placing.place(priority=2)
    placing.placer.release(running[0])
    assert in_time and not late


def test_request_without_time_left_is_refused_at_once():
    placing = Placing(entry('1', slots=1))
    placing.place()
    decided = placing.place(give_up=0.05)
    assert isinstance(decided[0], Refused)
    assert decided[0].retry_after > timedelta()


def test_request_is_refused_once_it_can_no_longer_be_served():
    placing = Placing(entry('1', slots=1))
    placing.place()
    decided = placing.place()
    placing.pass_time(0.43)
    assert not decided
    placing.pass_time(0.02)
    assert decided[0].code == 'overloaded'


def test_leaving_upstream_gets_nothing_new():
    placing = Placing(entry('1'), entry('2'))
    placing.placer.put(entry('1', leaving=True))
    placed = [key_of(placing.place()) for _ in range(2)]
    assert placed == ['2', '2']


def test_no_upstream_is_told_at_once():
    placing = Placing()
    assert placing.place()[0].code == 'no_upstream'


def test_upstream_that_was_tried_is_not_chosen_again():
    placing = Placing(entry('1'), entry('2'))
    placing.report('2', 1.5)
    assert key_of(placing.place(excluded=frozenset('1'))) == '2'


def test_restarted_upstream_is_free_of_its_past():
    """It holds none of the requests that its earlier start was running."""
    placing = Placing(entry('1', slots=1))
    running = placing.place()
    placing.placer.put(entry('1', slots=1, started_at=2))
    placing.report('1', 1.0)
    assert key_of(placing.place()) == '1'
    placing.placer.release(running[0])
    assert placing.placer.upstreams['1'].in_flight == 1


def test_failing_upstream_rests_for_longer_each_time():
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    rests = []
    for _ in range(4):
        state.failed(placing.placer.now())
        rests.append(state.backoff_until - placing.placer.now())
    assert rests == sorted(rests)
    assert rests[0] < rests[-1] <= 2


def test_in_a_burst_no_slot_is_spent_on_requests_that_are_late_anyway():
    """Load: 1.4 times what the servers can do, for two seconds.

    In order of arrival, the queue makes nearly every request late.
    """
    random = Random(7)
    servers, slots, work, target, seconds = 10, 2, 0.06, 0.2, 2
    placing = Placing(*(entry(str(key)) for key in range(servers)))
    running = []
    waiting = []
    in_time = 0
    for _ in range(seconds * 1000):
        now = placing.placer.now()
        for ended in [one for one in running if one[0] <= now]:
            running.remove(ended)
            placing.placer.release(ended[1], answered=True)
        if random.random() < 1.4 * servers * slots / work / 1000:
            waiting.append((now, placing.place(work=work, target=target)))
        for since, decided in [one for one in waiting if one[1]]:
            waiting.remove((since, decided))
            if isinstance(decided[0], Placed):
                running.append((now + work, decided[0]))
                in_time += now + work - since <= target
        placing.pass_time(0.001)
    assert in_time > 0.9 * servers * slots * seconds / work


def test_queue_is_bounded_by_what_the_slots_can_serve():
    placing = Placing(entry('1'))
    sent = [placing.place() for _ in range(50)]
    assert len(placing.placer.queue) <= 8
    assert sum(isinstance(one[0], Refused) for one in sent if one) > 30


@pytest.mark.parametrize('seed', range(3))
def test_slots_are_never_exceeded(seed):
    random = Random(seed)
    placing = Placing(*(entry(str(key), slots=1 + key) for key in range(3)))
    held = []
    for _ in range(300):
        if random.random() < 0.6:
            held.append(placing.place(priority=random.randrange(3)))
        else:
            placed = [one for one in held if one]
            if placed:
                one = random.choice(placed)
                held.remove(one)
                if isinstance(one[0], Placed):
                    placing.placer.release(one[0])
        placing.pass_time(random.random() / 50)
        for state in placing.placer.upstreams.values():
            assert 0 <= state.in_flight <= state.entry.slots


def test_failure_domain_is_not_left_while_its_upstreams_have_room():
    """Bytes between failure domains are the dearest part of a calm day."""
    placing = Placing(entry('1', slots=6), entry('2', 'b', slots=6))
    placed = [key_of(placing.place(work=0.2)) for _ in range(4)]
    assert placed == ['1'] * 4


def test_nearly_full_upstream_is_left_for_another_failure_domain():
    """Its last slots may be slower, which costs callers more than bytes."""
    placing = Placing(entry('1', slots=6), entry('2', 'b', slots=6))
    placed = [key_of(placing.place(work=0.2)) for _ in range(5)]
    assert placed[-1] == '2'
