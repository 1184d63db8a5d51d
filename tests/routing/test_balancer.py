"""Guards against requests to upstreams that are full, leaving or tried."""

from datetime import timedelta
from random import Random

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Service, Upstream
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.results import Cancelled, Dispatch, RequestInfo, Wait


def upstreams(number, slots=2):
    return [
        Upstream(f'u{index}', 's', f'127.0.0.1:{9000 + index}', 'fd0', slots)
        for index in range(number)
    ]


def balancer(members, **settings):
    service = Service('s', **settings)
    return Balancer(service, members, 'fd0', ManualClock(), Random(1))


def send(subject, count, **request):
    for _ in range(count):
        choice = subject.choose(RequestInfo(**request))
        if isinstance(choice, Dispatch):
            subject.started(choice.upstream, subject.clock.monotonic())
        yield choice


def test_requests_spread_evenly_up_to_slots_and_depth():
    subject = balancer(upstreams(3), depth=1)
    choices = list(send(subject, 10))
    assert choices.pop() == Wait()
    assert {state.in_flight for state in subject.states.values()} == {3}


def test_a_draining_or_tried_upstream_gets_no_request():
    members = upstreams(3)
    subject = balancer(members)
    subject.drain(members[0])
    tried = frozenset({members[1].key})
    for choice in send(subject, 3, excluded=tried):
        assert choice == Dispatch(members[2])


def test_every_upstream_excluded_is_refused_with_a_hint():
    subject = balancer(upstreams(1))
    subject.drain(upstreams(1)[0])
    refusal = subject.choose(RequestInfo())
    assert refusal.code == 'no_upstream'
    assert refusal.retry_after > timedelta()


def test_an_update_keeps_open_requests():
    members = upstreams(2)
    subject = balancer(members[:1])
    ticket = subject.started(members[0], timedelta())
    subject.update(members)
    assert subject.states[members[0].key].in_flight == 1
    subject.finished(members[0], Cancelled(), timedelta(), ticket)
    assert subject.states[members[0].key].in_flight == 0
