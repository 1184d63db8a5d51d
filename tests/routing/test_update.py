"""Guards against updates of an upstream that lose its state."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from crocusproxy.clock import SystemClock
from crocusproxy.config.model import Service, Upstream
from crocusproxy.limits.refusal import Refuse
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.results import Dispatch, RequestInfo, Wait

UPSTREAM = Upstream('u1', 's', '127.0.0.1:1', 'fd1', slots=2)
MOVED = replace(UPSTREAM, address='127.0.0.1:2')


def balancer():
    return Balancer(
        Service('s', depth=0), [UPSTREAM], 'fd1', SystemClock(), Random(1)
    )


def test_upstream_stays_draining_when_its_slots_change():
    subject = balancer()
    subject.drain(UPSTREAM)
    subject.update([replace(UPSTREAM, slots=3)])
    assert isinstance(subject.choose(RequestInfo()), Refuse)


def test_open_requests_are_kept_when_the_slots_change():
    subject = balancer()
    subject.started(UPSTREAM, timedelta())
    subject.update([replace(UPSTREAM, slots=1)])
    assert isinstance(subject.choose(RequestInfo()), Wait)


def test_server_with_a_new_address_gets_a_new_state():
    subject = balancer()
    subject.drain(UPSTREAM)
    subject.update([MOVED])
    assert subject.choose(RequestInfo()) == Dispatch(MOVED)
