"""Guards against an instance that takes its own loss for that of upstreams."""

from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.entry.silence_breaker import SilenceBreaker
from crocusproxy.placement.upstream_reach import (
    FAILURE_MEMORY_SECONDS,
    UpstreamReach,
)
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream

KEYS = tuple(f'i-{number}' for number in range(12))


class Reach:
    """The reach of one instance, its clock and its log lines."""

    def __init__(self, keys=KEYS):
        self.clock = ManualClock()
        self.events = []
        self.reach = UpstreamReach(
            self.clock, lambda event, **_: self.events.append(event)
        )
        for key in keys:
            entry = RegisteredUpstream(key, 's', '', 'a', 2, False, 1, 1)
            self.reach.apply_change(UpstreamChange(key, entry))
        self.wait(10)

    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def fail(self, *keys):
        for key in keys:
            self.reach.failed(key)


def test_loss_of_all_upstreams_is_noticed_after_a_few_failures():
    one = Reach()
    one.fail('i-0', 'i-1')
    assert not one.reach.is_doubtful()
    one.fail('i-2')
    assert one.reach.is_doubtful()
    assert one.reach.silent_since == 10
    assert one.events == ['upstreams_unreached']


def test_failures_of_one_upstream_are_its_own():
    one = Reach()
    one.fail('i-0', 'i-0', 'i-0', 'i-0')
    assert not one.reach.is_doubtful()


def test_few_failures_among_connections_that_work_are_those_of_upstreams():
    """Crashed upstreams stay listed for some seconds."""
    one = Reach(tuple(f'i-{number}' for number in range(20)))
    for number in range(4):
        one.fail(f'i-{number}')
        one.wait(0.1)
        one.reach.responded('i-9', is_new_connection=True)
    assert not one.reach.is_doubtful()


def test_old_connections_that_work_do_not_hide_that_new_ones_fail():
    one = Reach()
    for number in range(3):
        one.fail(f'i-{number}')
        one.wait(0.01)
        one.reach.responded('i-5', is_new_connection=False)
    assert one.reach.is_doubtful()
    assert one.reach.silent_since is None


def test_loss_of_a_part_of_the_upstreams_is_noticed():
    one = Reach()
    for number in range(3):
        one.fail(f'i-{number}')
        one.wait(0.1)
        one.reach.responded('i-9', is_new_connection=True)
    assert one.reach.is_doubtful()


def test_instance_reaches_upstreams_again_once_a_new_connection_works():
    one = Reach()
    one.fail('i-0', 'i-1', 'i-2')
    one.wait(0.1)
    one.reach.responded('i-2', is_new_connection=True)
    assert not one.reach.is_doubtful()
    assert one.events == ['upstreams_unreached', 'upstreams_reached_again']


def test_failures_of_upstreams_that_are_not_tried_again_are_forgotten():
    one = Reach()
    one.fail('i-0', 'i-1', 'i-2')
    one.wait(FAILURE_MEMORY_SECONDS + 0.1)
    assert not one.reach.unreached()


def test_silence_does_not_outlast_the_attempts():
    """Otherwise a member that tried them while they were down would refuse."""
    one = Reach()
    one.fail('i-0', 'i-1', 'i-2')
    one.wait(1)
    assert one.reach.silent_seconds() == 1
    one.wait(FAILURE_MEMORY_SECONDS)
    assert not one.reach.silent_seconds()


def test_removed_upstream_is_no_evidence():
    one = Reach()
    one.fail('i-0', 'i-1')
    one.reach.apply_change(UpstreamChange('i-0'))
    one.fail('i-0', 'i-2')
    assert not one.reach.is_doubtful()


@pytest.mark.parametrize('count', [1, 2])
def test_site_with_few_upstreams_notices_the_loss_of_all(count):
    one = Reach(KEYS[:count])
    one.fail(*KEYS[:count])
    assert one.reach.is_doubtful()


def test_flapping_reach_writes_few_lines():
    one = Reach()
    for _ in range(50):
        one.fail('i-0', 'i-1', 'i-2')
        one.wait(0.01)
        for key in ('i-0', 'i-1', 'i-2'):
            one.reach.responded(key, is_new_connection=True)
        one.wait(0.01)
    assert len(one.events) <= 2


def test_own_pause_is_no_silence_of_upstreams():
    """Requests were refused at once, as if no upstream had responded."""
    one = Reach()
    pauses = [7.0]
    one.reach.paused_seconds = lambda: pauses[-1]
    one.fail('i-0', 'i-1', 'i-2')
    one.wait(0.1)
    assert one.reach.silent_seconds() == pytest.approx(0.1)
    pauses.append(7.6)
    one.wait(0.6)
    assert one.reach.silent_seconds() == pytest.approx(0.1)
    assert not SilenceBreaker(one.reach).refuses(0)
    one.wait(0.5)
    assert one.reach.silent_seconds() == pytest.approx(0.6)
    assert SilenceBreaker(one.reach).refuses(-1)
