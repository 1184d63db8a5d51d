"""Guards against wrong waits and refusals if upstreams limit their rate."""

from collections import Counter
from datetime import timedelta
from random import Random

from crocusproxy.placement.requests import Placed, Refused
from crocusproxy.placement.stated_capacity import ReturnSchedule

from .test_placer import Placing, entry, placed_key


def limit(placing, key, rate):
    state = placing.placer.upstreams[key]
    state.terms.apply_rate_limit(rate, placing.placer.now())


def test_request_without_room_at_a_limited_upstream_goes_to_another():
    placing = Placing(entry('1'), entry('2'))
    limit(placing, '1', 2)
    assert [placed_key(placing.place()) for _ in range(2)] == ['2', '2']


def test_slow_upstream_is_used_if_the_fast_one_has_reached_its_limit():
    """It would wait for the fast one although it can be served in time."""
    placing = Placing(entry('1'), entry('2'))
    placing.report('2', 3.0)
    limit(placing, '1', 0.5)
    assert placed_key(placing.place(target=0.4)) == '2'


def test_request_waits_for_the_next_one_that_the_limit_permits():
    placing = Placing(entry('1'))
    limit(placing, '1', 4)
    decided = placing.place()
    assert not decided
    placing.advance(0.25)
    assert placed_key(decided) == '1'


def test_request_that_the_limit_permits_too_late_is_refused_at_once():
    placing = Placing(entry('1'))
    limit(placing, '1', 0.5)
    (refused,) = placing.place(deadline=1)
    assert refused.code == 'upstreams_limited'
    assert refused.retry_after >= timedelta(seconds=2)


def test_requested_backoff_is_not_shortened_by_a_later_failure():
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    state.terms.request_backoff(10, placing.placer.now())
    state.terms.request_backoff(1, placing.placer.now())
    placing.advance(5)
    state.failed(placing.placer.now())
    placing.advance(4.9)
    assert not state.may_start(placing.placer.now())
    placing.advance(0.2)
    assert placed_key(placing.place()) == '1'


def test_request_is_refused_at_once_if_all_upstreams_asked_for_a_backoff():
    placing = Placing(entry('1'), entry('2'))
    for state in placing.placer.upstreams.values():
        state.terms.request_backoff(10, placing.placer.now())
    (refused,) = placing.place()
    assert refused.code == 'upstreams_limited'
    assert refused.retry_after >= timedelta(seconds=10)


def test_request_waits_for_the_end_of_a_short_backoff():
    placing = Placing(entry('1'))
    state = placing.placer.upstreams['1']
    state.terms.request_backoff(0.1, placing.placer.now())
    decided = placing.place()
    assert not decided
    placing.advance(0.1)
    assert placed_key(decided) == '1'


def test_urgent_requests_get_the_room_that_limits_leave():
    placing = Placing(entry('1'))
    limit(placing, '1', 4)
    ordinary = placing.place(priority=2, deadline=1)
    urgent = placing.place(priority=1, deadline=1)
    assert not ordinary and not urgent
    placing.advance(0.25)
    assert placed_key(urgent) == '1'
    assert not ordinary


def test_terms_outlive_the_entry_and_end_with_the_incarnation():
    """An entry that expires and comes back is no new start."""
    placing = Placing(entry('1'))
    limit(placing, '1', 3)
    placing.placer.remove('1')
    placing.placer.put(entry('1'))
    assert placing.placer.upstreams['1'].rate_limit == 3
    placing.placer.put(entry('1', started_at=2))
    assert placing.placer.upstreams['1'].rate_limit is None


def test_instance_that_shares_upstreams_leaves_limited_ones_out():
    """Several instances would each spend the whole limit."""
    placing = Placing(entry('1'), entry('2'))
    placing.placer.set_exclusive(is_exclusive=False)
    limit(placing, '1', 1000)
    placing.advance(1)
    assert [placed_key(placing.place()) for _ in range(2)] == ['2', '2']
    limit(placing, '2', 1000)
    (refused,) = placing.place()
    assert isinstance(refused, Refused)


def test_service_whose_upstreams_all_limit_their_rate_far_below_the_load():
    """Plays 40 requests per second against limits of 8 for 20 seconds."""
    placing = Placing(*(entry(str(number)) for number in range(4)))
    for key in placing.placer.upstreams:
        limit(placing, key, 2)
        placing.advance(0.13)
    random = Random(3)
    sent, returns = Counter(), []
    decisions = {1: [], 2: []}
    running = []
    for step in range(2000):
        now = placing.placer.now()
        if step % 5 == 0 or random.random() < 0.25:
            priority = 1 if random.random() < 0.1 else 2
            decisions[priority].append(
                placing.place(priority=priority, target=0.5, deadline=1)
            )
        for decided in (one for some in decisions.values() for one in some):
            if decided and isinstance(decided[0], Placed):
                if decided[0] not in [one for one, _ in running]:
                    running.append((decided[0], now))
        placing.advance(0.01)
        for placed, started_at in running:
            if placed.ticket in placed.upstream.observed.running:
                if now - started_at > 0.06:
                    placing.placer.release(placed, answered=True)
    placed = {
        priority: sum(
            bool(one) and isinstance(one[0], Placed) for one in decided
        )
        for priority, decided in decisions.items()
    }
    refused = [
        one[0]
        for decided in decisions.values()
        for one in decided
        if one and isinstance(one[0], Refused)
    ]
    sent.update(placed)
    returns = [one.retry_after.total_seconds() for one in refused]
    # The limits are used, and the urgent requests are served first.
    assert 0.85 * 8 * 20 <= sum(sent.values()) <= 8 * 20 + 4
    assert sent[1] >= 0.9 * len(decisions[1])
    assert {one.code for one in refused} == {'upstreams_limited'}
    assert min(returns) > 0
    assert max(returns) < 7
    # They do not all come back in the same half second.
    assert Counter(int(2 * one) for one in returns).most_common(1)[0][1] < (
        0.3 * len(returns)
    )


def test_refused_callers_return_one_after_the_other():
    schedule = ReturnSchedule(Random(1))
    times = [schedule.next_return(10, rate=4) for _ in range(8)]
    assert times == [10.25 + 0.25 * number for number in range(8)]
