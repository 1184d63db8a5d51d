"""Guards against load that cold upstreams don't tolerate, or none at all."""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.placement.warm_up import (
    HANDOVER_SECONDS,
    MAX_COLD_IDLE_SECONDS,
    WarmUpTolerance,
)

from .test_placer import placed_key
from .warming import (
    WARM_UP_SECONDS,
    config_of,
    entry,
    make_instance,
    most_in_a_second,
    placed_share,
    play,
    refusals,
)

RATE = 4.0
#: What a cold upstream may get in any second.
MOST = 1.5 * RATE + 8


class Arrivals:
    """Times of the requests to each upstream, while it is cold."""

    def __init__(self, clock):
        self.clock = clock
        self.cold = {}
        self.warm_count = 0

    def record(self, placed):
        now = self.clock.monotonic().total_seconds()
        if placed.upstream.is_cold:
            self.cold.setdefault(placed.upstream.key, []).append(now)
        else:
            self.warm_count += 1


def test_warm_upstream_is_preferred_and_a_cold_one_takes_what_is_left():
    instance = make_instance(entry('1', slots=2), rate=8)
    instance.register(entry('2'))
    # The limiter begins, empty, when the upstream is considered first.
    instance.state('2').may_start(instance.placer.now())
    play([instance], 2, 0, Random(1))
    instance.state('2').terms.warm_up.sent_at = instance.placer.now()
    placed = [placed_key(instance.place()) for _ in range(4)]
    assert placed == ['1', '1', '2', '2']
    assert not instance.place()


def test_cold_upstream_gets_a_request_now_and_then_under_low_load():
    """It would get nothing for the whole time, as others have room."""
    clock = ManualClock()
    arrivals = Arrivals(clock)
    instance = make_instance(
        entry('1', slots=50), clock=clock, on_placed=arrivals.record
    )
    instance.register(entry('2'))
    # Cold upstreams may be slow, too.
    for _ in range(int(WARM_UP_SECONDS / 0.01) - 1):
        clock.advance(timedelta(seconds=0.01))
        instance.step()
        instance.state('2').report(3.0, instance.placer.now())
        if instance.placer.now() % 0.1 < 0.01:
            instance.place()
    times = arrivals.cold['2']
    gaps = [later - one for one, later in zip([0, *times], times, strict=False)]
    assert max(gaps) <= MAX_COLD_IDLE_SECONDS + 0.2
    assert len(times) <= WARM_UP_SECONDS / MAX_COLD_IDLE_SECONDS + 1


def test_request_that_cold_upstreams_can_not_take_is_refused_at_once():
    instance = make_instance(rate=0.5)
    instance.register(entry('1'), entry('2'))
    (refused,) = instance.place()
    assert refused.code == 'upstreams_limited'
    assert 2 <= refused.retry_after.total_seconds() <= 4


def test_time_to_return_is_not_after_the_end_of_the_warm_up():
    instance = make_instance(rate=0.1)
    instance.register(entry('1'))
    play([instance], WARM_UP_SECONDS - 1, 0, Random(1))
    (refused,) = instance.place()
    # The interval between callers at the limit comes on top.
    assert refused.retry_after <= timedelta(seconds=1 + 10)
    play([instance], 1.01, 0, Random(1))
    assert placed_key(instance.place()) == '1'


def test_upstream_that_turns_cold_with_requests_in_flight_gets_no_more():
    instance = make_instance(entry('1', slots=50))
    running = [instance.place(service_time=5) for _ in range(10)]
    assert all(running)
    instance.register(entry('1', slots=50, sequence=2, warm_up=5))
    waiting = instance.place()
    assert not waiting
    play([instance], 0.3, 0, Random(1))
    assert placed_key(waiting) == '1'
    assert instance.state('1').in_flight >= 10


def test_end_of_the_warm_up_needs_no_message():
    instance = make_instance(rate=1)
    instance.register(entry('1', slots=50))
    play([instance], WARM_UP_SECONDS + 0.01, 0, Random(1))
    assert instance.placer.cold_count() == 0
    assert all(instance.place() for _ in range(40))


def test_upstream_that_was_listed_before_this_instance_served_is_warm():
    """The whole site would be limited after a restart of an instance."""
    instance = make_instance(entry('1'), entry('2', warm_up=3))
    assert not instance.state('1').is_cold
    assert instance.state('2').is_cold


def test_entry_that_expires_and_comes_back_is_no_start():
    instance = make_instance(entry('1'))
    instance.placer.remove('1')
    instance.catalog.upstreams.clear()
    instance.register(entry('1', sequence=2))
    assert not instance.state('1').is_cold
    instance.register(entry('1', started_at=2))
    assert instance.state('1').is_cold


def test_stated_rate_limit_and_warm_up_hold_together():
    """The lower of both applies, and the other one after its end."""
    instance = make_instance(rate=10)
    instance.register(entry('1', slots=50))
    terms = instance.state('1').terms
    terms.apply_rate_limit(2, instance.placer.now())
    assert terms.lowest_rate(instance.placer.now()) == 2
    terms.apply_rate_limit(50, instance.placer.now())
    assert terms.lowest_rate(instance.placer.now()) == 10
    play([instance], WARM_UP_SECONDS + 1, 0, Random(1))
    assert terms.lowest_rate(instance.placer.now()) == 50


def test_instance_that_shares_upstreams_uses_no_cold_one():
    instance = make_instance(entry('1'), entry('2', warm_up=5))
    instance.placer.set_exclusive(is_exclusive=False)
    play([instance], 1, 0, Random(1))
    placed = [placed_key(instance.place()) for _ in range(4)]
    assert placed == ['1'] * 4
    assert not instance.place()


def test_successor_begins_after_the_predecessor_has_ended():
    instance = make_instance(rate=50)
    instance.placer.set_exclusive(is_exclusive=False)
    instance.register(entry('1', slots=50))
    play([instance], 2, 0, Random(1))
    instance.placer.set_exclusive(is_exclusive=True)
    decisions = play([instance], HANDOVER_SECONDS - 0.05, 20, Random(1))
    assert placed_share(decisions) == 0
    assert {one.code for one in refusals(decisions)} == {'upstreams_limited'}
    decisions = play([instance], 1, 20, Random(1))
    assert placed_share(decisions) > 0.9


def test_upstream_that_failed_or_returned_is_limited_until_it_is_known():
    """A server that restarts at its address is cold before its entry is."""
    instance = make_instance(entry('1', slots=50))
    state = instance.state('1')
    state.failed(instance.placer.now())
    assert state.is_cold
    state.terms.warm_up.end_assumption()
    assert not state.is_cold
    instance.catalog.apply_evacuated(('a',))
    instance.catalog.apply_evacuated(())
    assert state.is_cold


@pytest.mark.parametrize('rate', [0, RATE])
def test_rate_that_is_set_or_removed_later_takes_effect(rate):
    instance = make_instance(entry('1'), rate=RATE - rate)
    instance.register(entry('2', warm_up=5))
    instance.catalog.apply_config(config_of(rate, version=2))
    assert instance.state('2').is_cold is bool(rate)


def test_service_without_a_rate_is_placed_as_before():
    instance = make_instance(entry('1'), rate=0)
    instance.register(entry('2', slots=50, warm_up=5))
    state = instance.state('2')
    assert not state.is_limited
    assert state.warm_up_until == 5
    state.failed(instance.placer.now())
    assert not state.is_limited
    assert not instance.log_lines


@pytest.mark.parametrize(('pause', 'min_share'), [(2, 0.98), (0.5, 0.6)])
def test_replacement_under_load_overloads_no_cold_upstream(pause, min_share):
    """Replaces ten upstreams one after the other at 0.6 of the capacity.

    A cold upstream crashes above its rate, and the others then get its load.
    """
    clock = ManualClock()
    arrivals = Arrivals(clock)
    instance = make_instance(
        *(entry(str(number)) for number in range(10)),
        rate=RATE,
        clock=clock,
        on_placed=arrivals.record,
    )
    random = Random(5)
    decisions = []
    for number in range(10):
        instance.placer.remove(str(number))
        decisions += play([instance], 0.5, 480, random)
        instance.register(entry(str(number), started_at=2))
        decisions += play([instance], pause, 480, random)
    decisions += play([instance], WARM_UP_SECONDS, 480, random)
    assert arrivals.cold.keys() == {str(number) for number in range(10)}
    for times in arrivals.cold.values():
        assert most_in_a_second(times) <= MOST
        # Some of the load arrives well before the end.
        assert len(times) >= WARM_UP_SECONDS / MAX_COLD_IDLE_SECONDS - 1
    assert placed_share(decisions) > min_share


def test_failure_domain_that_comes_back_cold_is_spared():
    """The other failure domain takes the load that the limits leave."""
    clock = ManualClock()
    arrivals = Arrivals(clock)
    instance = make_instance(
        *(entry(f'a{number}') for number in range(5)),
        *(entry(f'b{number}', 'b') for number in range(5)),
        rate=RATE,
        clock=clock,
        on_placed=arrivals.record,
    )
    random = Random(6)
    instance.catalog.apply_evacuated(('a',))
    before = play([instance], 2, 240, random)
    for number in range(5):
        instance.register(entry(f'a{number}', started_at=2, warm_up=5))
    instance.catalog.apply_evacuated(())
    during = play([instance], 4.5, 240, random)
    overload = play([instance], 1, 900, random)
    assert placed_share(before) > 0.98
    assert placed_share(during) > 0.98
    assert len(arrivals.cold) == 5
    for times in arrivals.cold.values():
        assert most_in_a_second(times) <= MOST
    assert all(one.retry_after > timedelta() for one in refusals(overload))
    play([instance], WARM_UP_SECONDS, 0, random)
    arrivals.warm_count = 0
    after = play([instance], 2, 600, random)
    assert placed_share(after) > 0.98


def test_domain_home_whose_upstreams_are_all_cold_asks_others():
    """Its callers would wait for the limit while others have free slots."""
    instance = make_instance(rate=RATE)
    assert instance.placer.is_short_of_slots()
    instance.register(entry('1'), entry('2'))
    assert instance.placer.is_short_of_slots()
    assert not instance.placer.has_spare_slots()
    play([instance], 1, 0, Random(1))
    assert not instance.placer.is_short_of_slots()
    assert not instance.placer.has_spare_slots()


def arrivals_over_a_change_of_home(rate, **options):
    """Return the times of cold arrivals; for a second, two homes dispatch."""
    clock = ManualClock()
    arrivals = Arrivals(clock)
    first, second = (
        make_instance(
            entry('0'),
            rate=rate,
            clock=clock,
            on_placed=arrivals.record,
            **options,
        )
        for _ in range(2)
    )
    second.placer.set_exclusive(is_exclusive=False)
    for instance in (first, second):
        instance.register(
            *(entry(str(number), slots=50) for number in range(1, 4))
        )
    random = Random(8)
    play([first], 2, 1000, random)
    second.placer.set_exclusive(is_exclusive=True)
    play([first, second], 1, 1000, random)
    first.placer.set_exclusive(is_exclusive=False)
    play([second], 2, 1000, random)
    return arrivals.cold.values()


def test_change_of_home_during_a_replacement_keeps_the_limit():
    for times in arrivals_over_a_change_of_home(rate=20):
        assert most_in_a_second(times) <= 1.5 * 20 + 8
        assert times[-1] > 4


def test_change_of_home_keeps_the_limit_with_all_that_is_tolerated():
    """The bound leaves no room for the bursts of two instances."""
    tolerance = WarmUpTolerance(overage=1.5, slack=8)
    for times in arrivals_over_a_change_of_home(RATE, tolerance=tolerance):
        assert RATE + 1 < most_in_a_second(times) <= 1.5 * RATE + 8


def test_cold_upstream_counts_as_slow_until_it_reports_its_speed():
    """Requests that it could only answer late would be sent to it."""
    instance = make_instance(entry('1'), rate=RATE)
    instance.register(entry('2', warm_up=WARM_UP_SECONDS))
    now = instance.placer.now()
    assert instance.state('2').is_slow(now)
    assert not instance.state('1').is_slow(now)
