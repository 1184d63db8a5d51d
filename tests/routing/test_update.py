"""Guards against an edit of an upstream that drops what is known of it."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from crocusproxy.clock import SystemClock
from crocusproxy.config.model import Service, Upstream
from crocusproxy.limits.refusal import Refuse
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.results import Dispatch, RequestInfo, Wait

ONE = Upstream('u1', 's', '127.0.0.1:1', 'fd1', slots=2)
MOVED = replace(ONE, address='127.0.0.1:2')


def balancer():
    return Balancer(
        Service('s', depth=0), [ONE], 'fd1', SystemClock(), Random(1)
    )


def test_a_draining_upstream_stays_draining_when_its_slots_change():
    subject = balancer()
    subject.drain(ONE)
    subject.update([replace(ONE, slots=3)])
    assert isinstance(subject.choose(RequestInfo()), Refuse)


def test_open_requests_still_count_when_the_slots_change():
    subject = balancer()
    subject.started(ONE, timedelta())
    subject.update([replace(ONE, slots=1)])
    assert isinstance(subject.choose(RequestInfo()), Wait)


def test_another_server_under_the_same_name_starts_afresh():
    subject = balancer()
    subject.drain(ONE)
    subject.update([MOVED])
    assert subject.choose(RequestInfo()) == Dispatch(MOVED)
