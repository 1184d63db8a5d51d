"""Guards against requests that are placed, queued or refused wrongly."""

from datetime import timedelta
from gc import collect, get_objects
from random import Random

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest, Refused
from crocusproxy.placement.upstream_state import UpstreamState
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
    """A placer whose upstreams report a known speed."""

    def __init__(self, *entries):
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(1))
        for one in entries:
            self.placer.put(one)
            self.report(one.key, 1.0)

    def report(self, key, slowdown):
        self.placer.upstreams[key].report(slowdown, self.placer.now())

    def place(
        self, priority=1, service_time=0.06, target=0.2, deadline=0.5, **more
    ):
        decided = []
        now = self.placer.now()
        request = PlacementRequest(
            priority, service_time, now + target, now + deadline, **more
        )
        self.placer.place(request, decided.append)
        return decided

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for key in self.placer.upstreams:
            self.report(key, self.placer.upstreams[key].slowdown)
        self.placer.process_queue()


def placed_key(decided):
    (placed,) = decided
    assert isinstance(placed, Placed)
    return placed.upstream.key


def test_fast_upstream_is_preferred_to_a_slow_one():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 5.0)
    assert placed_key(placing.place()) == '2'


def test_second_slot_of_a_fast_upstream_is_preferred_to_a_slow_one():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 5.0)
    assert [placed_key(placing.place()) for _ in range(2)] == ['2', '2']


def test_slow_upstream_is_used_if_all_are_slow():
    placing = Placing(entry('1'), entry('2'))
    placing.report('1', 3.0)
    placing.report('2', 5.0)
    assert placed_key(placing.place(target=0.4)) == '1'


def test_late_request_waits_for_a_fast_upstream():
    """It would hold a slow slot five times as long as a fast one."""
    placing = Placing(entry('1', slots=1), entry('2', slots=1))
    placing.place()
    slow = '1' if placing.placer.upstreams['2'].in_flight else '2'
    placing.report(slow, 5.0)
    assert not placing.place(target=0.01, deadline=5)


def test_request_waits_if_the_slow_upstream_would_miss_its_target():
    """Sent there, it would hold a slot and still be late."""
    placing = Placing(entry('1'))
    placing.report('1', 5.0)
    decided = placing.place(service_time=0.1)
    assert not decided
    placing.report('1', 1.0)
    placing.placer.process_queue()
    assert placed_key(decided) == '1'


def test_requests_beyond_the_slots_are_queued():
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


def test_request_that_misses_its_target_is_queued_behind_others():
    """Otherwise each late request in a burst delays the next one."""
    placing = Placing(entry('1', slots=1))
    running = placing.place()
    late = placing.place(priority=1, target=0.07)
    placing.advance(0.05)
    in_time = placing.place(priority=2)
    placing.placer.release(running[0])
    assert in_time and not late


def test_request_with_too_short_timeout_is_refused_at_once():
    placing = Placing(entry('1', slots=1))
    placing.place()
    decided = placing.place(deadline=0.05)
    assert isinstance(decided[0], Refused)
    assert decided[0].retry_after > timedelta()


def test_queued_request_is_refused_when_its_time_runs_out():
    placing = Placing(entry('1', slots=1))
    placing.place()
    decided = placing.place()
    placing.advance(0.43)
    assert not decided
    placing.advance(0.02)
    assert decided[0].code == 'overloaded'


def test_leaving_upstream_gets_no_requests():
    placing = Placing(entry('1'), entry('2'))
    placing.placer.put(entry('1', leaving=True))
    placed = [placed_key(placing.place()) for _ in range(2)]
    assert placed == ['2', '2']


def test_request_without_upstreams_is_refused_at_once():
    placing = Placing()
    assert placing.place()[0].code == 'no_upstream'


def test_excluded_upstream_is_not_chosen():
    placing = Placing(entry('1'), entry('2'))
    placing.report('2', 1.5)
    assert placed_key(placing.place(excluded=frozenset('1'))) == '2'


def test_restarted_upstream_starts_with_all_slots_free():
    """Requests of the previous incarnation do not count."""
    placing = Placing(entry('1', slots=1))
    running = placing.place()
    placing.placer.put(entry('1', slots=1, started_at=2))
    placing.report('1', 1.0)
    assert placed_key(placing.place()) == '1'
    placing.placer.release(running[0])
    assert placing.placer.upstreams['1'].in_flight == 1


def test_backoff_grows_with_each_failure():
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    backoffs = []
    for _ in range(4):
        state.failed(placing.placer.now())
        backoffs.append(state.backoff_until - placing.placer.now())
    assert backoffs == sorted(backoffs)
    assert backoffs[0] < backoffs[-1] <= 2


def test_burst_spends_no_slots_on_late_requests():
    """Load: 1.4 times the capacity, for two seconds.

    A queue in order of arrival makes nearly every request late.
    """
    random = Random(7)
    servers, slots, service_time, target, seconds = 10, 2, 0.06, 0.2, 2
    placing = Placing(*(entry(str(key)) for key in range(servers)))
    running = []
    waiting = []
    in_time = 0
    for _ in range(seconds * 1000):
        now = placing.placer.now()
        for ended in [one for one in running if one[0] <= now]:
            running.remove(ended)
            placing.placer.release(ended[1], answered=True)
        if random.random() < 1.4 * servers * slots / service_time / 1000:
            waiting.append(
                (now, placing.place(service_time=service_time, target=target))
            )
        for since, decided in [one for one in waiting if one[1]]:
            waiting.remove((since, decided))
            if isinstance(decided[0], Placed):
                running.append((now + service_time, decided[0]))
                in_time += now + service_time - since <= target
        placing.advance(0.001)
    assert in_time > 0.9 * servers * slots * seconds / service_time


def test_queue_length_is_bounded():
    placing = Placing(entry('1'))
    sent = [placing.place() for _ in range(50)]
    assert len(placing.placer.queue) <= 8
    assert sum(isinstance(one[0], Refused) for one in sent if one) > 30


@pytest.mark.parametrize('seed', range(3))
def test_slots_are_never_exceeded(seed):
    random = Random(seed)
    placing = Placing(*(entry(str(key), slots=1 + key) for key in range(3)))
    decisions = []
    for _ in range(300):
        if random.random() < 0.6:
            decisions.append(placing.place(priority=random.randrange(3)))
        else:
            placed = [one for one in decisions if one]
            if placed:
                one = random.choice(placed)
                decisions.remove(one)
                if isinstance(one[0], Placed):
                    placing.placer.release(one[0])
        placing.advance(random.random() / 50)
        for state in placing.placer.upstreams.values():
            assert 0 <= state.in_flight <= state.entry.slots


def test_local_upstream_is_preferred_while_it_has_room():
    """Traffic between failure domains is the main cost at low load."""
    placing = Placing(entry('1', slots=6), entry('2', 'b', slots=6))
    placed = [placed_key(placing.place(service_time=0.2)) for _ in range(4)]
    assert placed == ['1'] * 4


def test_remote_upstream_is_preferred_to_a_nearly_full_local_one():
    """Its last slots may be slower, which costs more than remote traffic."""
    placing = Placing(entry('1', slots=6), entry('2', 'b', slots=6))
    placed = [placed_key(placing.place(service_time=0.2)) for _ in range(5)]
    assert placed[-1] == '2'


def test_upstreams_of_other_domain_homes_get_no_request():
    """Two homes would otherwise fill the same slots."""
    placing = Placing(entry('1', 'a'), entry('2', 'b'))
    placing.placer.set_ownership(lambda domain: domain == 'b')
    assert placed_key(placing.place()) == '2'
    assert placed_key(placing.place()) == '2'
    assert placing.place() == []
    placing.placer.put(entry('3', 'a'))
    assert not placing.placer.upstreams['3'].is_usable


def test_queued_requests_are_refused_at_once_without_an_upstream():
    """They would otherwise wait until their deadline."""
    placing = Placing(entry('1'), entry('2', 'b'))
    for _ in range(4):
        placing.place()
    waiting = placing.place()
    placing.placer.remove('1')
    assert waiting == []
    placing.placer.remove('2')
    (refused,) = waiting
    assert isinstance(refused, Refused)
    assert refused.code == 'no_upstream'
    assert refused.retry_after > timedelta()


def test_queued_requests_are_refused_at_once_without_an_owned_upstream():
    placing = Placing(entry('1', slots=1))
    placing.place()
    waiting = placing.place()
    placing.placer.set_ownership(lambda _: False)
    assert [refused.code for refused in waiting] == ['no_upstream']


def test_placer_is_short_of_slots_once_requests_wait():
    placing = Placing(entry('1'))
    assert not placing.placer.is_short_of_slots()
    for _ in range(3):
        placing.place()
    assert placing.placer.is_short_of_slots()


def test_kept_terms_do_not_keep_a_removed_upstream():
    """Memory would grow with each start, as the terms of 20,000 are kept."""
    placing = Placing(entry('kept'), entry('removed'))
    placing.place()
    terms = placing.placer.upstreams['removed'].terms
    placing.placer.remove('removed')
    placing.clock.advance(timedelta(seconds=9))
    placing.place()
    terms.is_leaving = True
    collect()
    assert 'removed' not in [
        one.key for one in get_objects() if isinstance(one, UpstreamState)
    ]


def test_placer_without_upstreams_is_short_of_slots():
    """Its requests would be refused while other homes could serve them."""
    assert Placing().placer.is_short_of_slots()


def test_slots_of_slow_upstreams_are_not_spare():
    """A request of another domain home would wait longer here."""
    placing = Placing(entry('1'), entry('2'))
    assert placing.placer.has_spare_slots()
    for _ in range(2):
        placing.place()
    placing.report('1', 5.0)
    placing.report('2', 1.0)
    placing.place()
    placing.place()
    assert not placing.placer.has_spare_slots()


def end_after_a_pause(seconds, paused):
    """Return how slow an upstream seems after requests in a pause."""
    placing = Placing(entry('1', slots=4))
    pauses = [5.0]
    placing.placer.paused_seconds = lambda: pauses[-1]
    placed = [placing.place()[0] for _ in range(4)]
    pauses.append(5.0 + paused)
    placing.clock.advance(timedelta(seconds=seconds))
    for one in placed:
        placing.placer.release(one, answered=True)
    return placing.placer.upstreams['1'].observed.slowdown(placing.placer.now())


def test_upstreams_are_not_slow_for_an_own_pause():
    """All upstreams with requests in flight counted as slow for seconds."""
    assert end_after_a_pause(0.56, 0.5) == 1
    assert end_after_a_pause(0.5, 0.52) == 1


def test_slow_upstream_is_noticed_with_and_without_a_pause():
    assert end_after_a_pause(0.6, 0) > 2
    assert end_after_a_pause(1.1, 0.5) > 2
