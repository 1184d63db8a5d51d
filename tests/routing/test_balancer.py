"""Guards against requests to full, draining, excluded or ejected upstreams."""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Service, Upstream
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.crash import Crash
from crocusproxy.routing.results import (
    Answered,
    Cancelled,
    Dispatch,
    Failed,
    LoadReport,
    Rejected,
    RequestInfo,
    Wait,
)


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


def test_requests_are_spread_evenly_up_to_slots_and_depth():
    subject = balancer(upstreams(3), depth=1)
    choices = list(send(subject, 10))
    assert choices.pop() == Wait()
    assert {state.in_flight for state in subject.states.values()} == {3}


def test_draining_and_excluded_upstreams_get_no_requests():
    members = upstreams(3)
    subject = balancer(members)
    subject.drain(members[0])
    tried = frozenset({members[1].key})
    for choice in send(subject, 3, excluded=tried):
        assert choice == Dispatch(members[2])


def test_request_without_usable_upstreams_is_refused_with_retry_after():
    subject = balancer(upstreams(1))
    subject.drain(upstreams(1)[0])
    refusal = subject.choose(RequestInfo())
    assert refusal.code == 'no_upstream'
    assert refusal.retry_after > timedelta()


def test_update_keeps_open_requests():
    members = upstreams(2)
    subject = balancer(members[:1])
    ticket = subject.started(members[0], timedelta())
    subject.update(members)
    assert subject.states[members[0].key].in_flight == 1
    subject.finished(members[0], Cancelled(), timedelta(), ticket)
    assert subject.states[members[0].key].in_flight == 0


def finish(subject, upstream, result, ticket=None):
    subject.finished(upstream, result, subject.clock.monotonic(), ticket)


def advance(subject, **duration):
    subject.clock.advance(timedelta(**duration))


def serve(subject, rounds, is_slow=lambda upstream: False, **request):
    """Serve requests one by one in 10 ms each, or in 100 ms if slow."""
    served = []
    for _ in range(rounds):
        (choice,) = send(subject, 1, **request)
        took = timedelta(milliseconds=100 if is_slow(choice.upstream) else 10)
        subject.clock.advance(took)
        finish(subject, choice.upstream, Answered(took))
        served.append(choice.upstream)
    return served


def test_fail_fast_upstream_gets_only_the_first_few_requests():
    members = upstreams(3)
    subject = balancer(members)
    failed = 0
    for _ in range(300):
        (choice,) = send(subject, 1, idempotent=False)
        is_failing = choice.upstream == members[0]
        failed += is_failing
        advance(subject, milliseconds=1)
        result = Failed() if is_failing else Answered(timedelta(milliseconds=1))
        finish(subject, choice.upstream, result)
    assert failed <= 3


def test_failed_upstream_is_readmitted_by_idempotent_trials_with_slow_start():
    members = upstreams(2)
    subject = balancer(members)
    serve(subject, 100)
    state = subject.states[members[0].key]
    for _ in range(3):
        ticket = subject.started(members[0], subject.clock.monotonic())
        finish(subject, members[0], Failed(), ticket)
    advance(subject, seconds=1)
    assert members[0] not in serve(subject, 5, idempotent=False)
    assert state.is_ejected
    assert serve(subject, 2) == [members[0]] * 2
    assert not state.is_ejected
    assert (
        state.slow_start_share(subject.clock.monotonic().total_seconds()) < 0.1
    )


def test_slow_upstream_gets_trial_requests_until_it_recovers():
    members = upstreams(3)
    subject = balancer(members)
    serve(subject, 300)
    slow = members[0]
    for _ in range(4):
        ticket = subject.started(slow, subject.clock.monotonic())
        advance(subject, milliseconds=100)
        finish(subject, slow, Answered(timedelta(milliseconds=100)), ticket)
    served = serve(subject, 300, is_slow=lambda one: one == slow)
    assert served.count(slow) < 20
    assert slow in serve(subject, 100)[-50:]


def test_single_long_request_does_not_eject_an_upstream():
    members = upstreams(1)
    subject = balancer(members)
    serve(subject, 200)
    ticket = subject.started(members[0], subject.clock.monotonic())
    state = subject.states[members[0].key]
    advance(subject, seconds=1)
    subject.choose(RequestInfo())
    assert not state.is_ejected
    for _ in range(50):
        serve_beside(subject, members[0])
        assert not state.is_ejected
    finish(subject, members[0], Answered(timedelta(seconds=2)), ticket)
    subject.choose(RequestInfo())
    assert not state.is_ejected


def serve_beside(subject, member):
    ticket = subject.started(member, subject.clock.monotonic())
    advance(subject, milliseconds=10)
    subject.choose(RequestInfo())
    finish(subject, member, Answered(timedelta(milliseconds=10)), ticket)


def test_stuck_requests_of_a_frozen_upstream_are_reported():
    members = upstreams(2)
    subject = balancer(members)
    serve(subject, 200)
    start = subject.clock.monotonic()
    tickets = [subject.started(members[0], start) for _ in range(3)]
    assert not subject.stuck_requests(start)
    advance(subject, milliseconds=80)
    found = subject.stuck_requests(subject.clock.monotonic())
    assert [one.ticket for one in found] == tickets
    assert [one.is_running for one in found] == [True, True, False]


@pytest.mark.parametrize('milliseconds', [300, 60_000])
def test_shedding_upstream_gets_no_requests_for_its_retry_after(milliseconds):
    """A longer backoff than 5 s was cut."""
    members = upstreams(1)
    subject = balancer(members)
    subject.started(members[0], timedelta())
    finish(subject, members[0], Rejected(timedelta(milliseconds=milliseconds)))
    advance(subject, milliseconds=milliseconds - 1)
    assert subject.choose(RequestInfo()) == Wait()
    advance(subject, milliseconds=2)
    assert subject.choose(RequestInfo()) == Dispatch(members[0])


def test_upstream_that_was_down_from_the_start_is_readmitted():
    members = upstreams(1)
    subject = balancer(members)
    for _ in range(3):
        finish(
            subject,
            members[0],
            Failed(),
            subject.started(*members, timedelta()),
        )
    advance(subject, seconds=1)
    assert not subject.stuck_requests(subject.clock.monotonic())
    serve(subject, 2)
    assert not subject.states[members[0].key].is_ejected


def test_upstream_that_shed_load_gets_no_slow_start():
    members = upstreams(2)
    subject = balancer(members)
    state = subject.states[members[0].key]
    for result in (Rejected(), Rejected(), Rejected()):
        ticket = subject.started(members[0], timedelta())
        finish(subject, members[0], result, ticket)
    assert state.is_ejected
    state.readmit(1)
    assert state.slow_start_share(1) == 1


def test_slowness_is_ignored_if_most_upstreams_are_slow():
    members = upstreams(4)
    subject = balancer(members, max_eject_share=0.5)
    for state in subject.states.values():
        state.eject(0)
    assert isinstance(subject.choose(RequestInfo(idempotent=False)), Dispatch)


def test_only_the_worst_of_too_many_failing_upstreams_stay_ejected():
    members = upstreams(4)
    subject = balancer(members, max_eject_share=0.5)
    for failures, member in enumerate(members[:3], start=3):
        for _ in range(failures):
            finish(
                subject, member, Failed(), subject.started(member, timedelta())
            )
    advance(subject, seconds=60)
    offered = {
        subject.choose(RequestInfo(idempotent=False)).upstream
        for _ in range(100)
    }
    assert offered == {members[0], members[3]}


def test_trial_is_sent_a_minute_after_the_drain_notice():
    members = upstreams(1)
    subject = balancer(members)
    subject.drain(members[0])
    advance(subject, seconds=59)
    assert subject.choose(RequestInfo()).code == 'no_upstream'
    advance(subject, seconds=2)
    assert subject.choose(RequestInfo()) == Dispatch(members[0])


def test_draining_neither_moves_requests_nor_counts_as_ejection():
    members = upstreams(4)
    subject = balancer(members, max_eject_share=0.5)
    serve(subject, 400)
    subject.started(members[0], subject.clock.monotonic())
    for member in members[:2]:
        subject.drain(member)
    subject.states[members[2].key].eject(0)
    advance(subject, milliseconds=50)
    assert not subject.stuck_requests(subject.clock.monotonic())
    for choice in send(subject, 2, idempotent=False):
        assert choice == Dispatch(members[3])


def test_joining_upstream_gets_a_slow_start():
    members = upstreams(2, slots=6)
    subject = balancer(members[:1], depth=0)
    subject.update(members)
    list(send(subject, 12))
    assert subject.states[members[1].key].in_flight == 1
    assert subject.states[members[0].key].in_flight == 6


def test_load_of_the_older_balancer_is_avoided():
    members = upstreams(2)
    subject = balancer(members)
    for _ in range(20):
        report = LoadReport(2, 2, 1, subject.clock.monotonic())
        subject.report(members[0], report)
    assert {one.upstream for one in send(subject, 2)} == {members[1]}


def test_confirmed_cause_of_crashes_is_refused_at_once():
    subject = balancer(upstreams(2))
    subject.suspects.confirm(['bad'], timedelta())
    refusal = subject.choose(RequestInfo(fingerprint='bad'))
    assert refusal.code == 'request_suspected'
    assert isinstance(subject.choose(RequestInfo(fingerprint='x')), Dispatch)


def test_crash_suspects_are_sent_to_separate_upstreams():
    members = upstreams(2)
    subject = balancer(members)
    both = frozenset({'x', 'y'})
    subject.suspects.crashed(Crash('s/gone', both, timedelta()))
    first = subject.choose(RequestInfo(fingerprint='x')).upstream
    subject.started(first, timedelta(), 'x')
    for _ in range(10):
        choice = subject.choose(RequestInfo(fingerprint='y'))
        assert choice.upstream != first
