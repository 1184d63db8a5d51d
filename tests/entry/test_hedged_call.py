"""Guards against hedges that harm a request, an upstream or an estimate."""

import asyncio
from types import SimpleNamespace

import pytest

from crocusproxy.entry.crash_watch import fingerprint
from crocusproxy.entry.settings import Hedging
from crocusproxy.placement.requests import PlacementRequest, QueuedRequest
from crocusproxy.protocol.home_feed import CrashReport

from .hedging import FAILED, LOST, NOT_RUN, OK, SERVICE, System, make_route


def ends(system):
    return [one.end for one in system.sent]


def test_first_usable_response_wins_and_the_other_attempt_is_cancelled():
    system = System(script=[(0.9, OK), (0.1, OK)])
    response, context = system.serve()
    assert response.status == 200
    assert ends(system) == ['cancelled', 'ended']
    first, hedge = system.sent
    assert hedge.at == pytest.approx(0.2, rel=0.02)
    assert first.upstream != hedge.upstream
    assert context.responder.key == hedge.upstream
    assert system.hedges('won') == 1
    seconds = system.count('crocus_entry_superseded_seconds')
    assert seconds == pytest.approx(0.3, rel=0.02)
    assert system.in_flight() == 0


def test_first_attempt_wins_if_the_request_itself_is_slow():
    system = System(script=[(0.4, OK), (0.4, OK)])
    _, context = system.serve()
    assert ends(system) == ['ended', 'cancelled']
    assert context.responder.key == system.sent[0].upstream
    assert system.hedges('lost') == 1
    assert system.in_flight() == 0


def test_both_ending_at_once_return_the_response_of_the_named_upstream():
    system = System(script=[(0.4, OK), (0.4, OK)])
    system.prepare(make_route())
    delay = system.hedged_calls.durations['r'].quantiles(0).hedge_delay
    system.script[1] = (0.4 - delay, OK)
    _, context = system.serve()
    assert context.responder.key == system.sent[0].upstream


@pytest.mark.parametrize('failure', [FAILED, LOST, NOT_RUN])
def test_failed_first_attempt_leaves_the_hedge_as_its_retry(failure):
    system = System(script=[(0.3, failure), (0.3, OK)])
    response, context = system.serve()
    assert response.status == 200
    assert ends(system) == ['ended', 'ended']
    assert context.responder.key == system.sent[1].upstream


@pytest.mark.parametrize('failure', [FAILED, LOST, NOT_RUN])
def test_failed_hedge_does_not_end_the_first_attempt(failure):
    system = System(script=[(0.4, OK), (0.1, failure)])
    response, context = system.serve()
    assert response.status == 200
    assert ends(system) == ['ended', 'ended']
    assert context.responder.key == system.sent[0].upstream
    assert system.hedges('lost') == 1


def test_two_failed_attempts_are_retried_within_the_attempts_only():
    system = System(script=[(0.3, LOST), (0.2, FAILED), (0.1, FAILED)])
    response, context = system.serve()
    assert response.status == 500
    assert len(system.sent) == context.send_count == 3
    assert len({one.upstream for one in system.sent}) == 3


def test_later_refusal_does_not_replace_a_response_or_its_upstream():
    system = System(script=[(0.3, FAILED), (0.2, NOT_RUN)])
    response, context = system.serve(make_route(attempts=2))
    assert response.status == 500
    assert context.responder.key == system.sent[0].upstream


def test_first_attempt_that_ends_before_the_hedge_is_retried_as_before():
    system = System(script=[(0.1, LOST), (0.1, OK)])
    response, _ = system.serve()
    assert response.status == 200
    assert system.sent[1].at == pytest.approx(0.1)
    assert system.hedges('won') == system.hedges('lost') == 0


def test_first_attempt_that_ends_during_the_probe_needs_no_hedge():
    async def refresh(service, state):
        await asyncio.sleep(0.01 if not system.sent else 0.2)

    system = System(script=[(0.3, OK)])
    system.dispatcher.selector.refresh_load = refresh
    system.serve()
    assert len(system.sent) == 1
    assert system.unsent('ended') == 1
    assert system.in_flight() == 0


def test_caller_that_disconnects_ends_both_attempts():
    async def scenario():
        route = make_route()
        system.prepare(route)
        task = asyncio.create_task(system.dispatcher.run(system.context(route)))
        await asyncio.sleep(0.25)
        task.cancel()
        await asyncio.wait((task,))
        assert task.cancelled()

    system = System(script=[(0.9, OK), (0.9, OK)])
    system.run(scenario())
    assert ends(system) == ['cancelled', 'cancelled']
    assert system.in_flight() == 0
    assert system.hedges('abandoned') == 1


def test_request_that_is_not_idempotent_is_never_sent_twice():
    system = System(script=[(0.9, OK)])
    system.serve(make_route(idempotent=False))
    assert len(system.sent) == 1


def hold_slots(system, count):
    """Take slots, as requests of other callers would."""
    for state in list(system.placer.upstreams.values()):
        while state.has_slot and count:
            state.observed.start(0, 10)
            count -= 1


def limit_rates(system):
    for state in system.placer.upstreams.values():
        state.terms.apply_rate_limit(0.1, -100)
        state.terms.limiter.tokens = 1


def slow_down(system):
    for state in system.placer.upstreams.values():
        state.report(5, 0.19)


def spend_budget(system):
    while system.dispatcher.retry_budget(SERVICE).try_spend(0):
        """Retries have used the budget up."""


def queue_request(system):
    """Let a request wait that no upstream may serve."""
    placer = system.placer
    now = placer.now()
    request = PlacementRequest(
        1, 0.1, now + 10, now + 10, frozenset(placer.upstreams)
    )
    placer.queue.push(QueuedRequest(request, now, print), now)


@pytest.mark.parametrize(
    ('reason', 'route', 'change'),
    [
        ('attempts', make_route(attempts=1), None),
        ('too_late', make_route(target=0.25), None),
        ('slots', make_route(), lambda one: hold_slots(one, 14)),
        ('queue', make_route(), queue_request),
        ('slots', make_route(), limit_rates),
        ('no_upstream', make_route(), slow_down),
        ('budget', make_route(), spend_budget),
        ('share', make_route(), lambda one: one.hedged_calls.limits.clear()),
    ],
)
def test_hedge_is_not_sent(reason, route, change):
    async def scenario():
        task = asyncio.create_task(system.dispatcher.run(system.context(route)))
        await asyncio.sleep(0.1)
        if change is not None:
            change(system)
        await asyncio.sleep(0.2)
        for queued_request in tuple(system.placer.queue):
            system.placer.withdraw(queued_request)
        await task

    async def refresh(service, state):
        """Keep the reported load."""

    system = System(script=[(0.4, OK)])
    system.dispatcher.selector.refresh_load = refresh
    system.prepare(route)
    system.run(scenario())
    assert len(system.sent) == 1
    assert system.unsent(reason) == 1


def test_hedge_is_never_sent_to_a_tried_upstream():
    system = System(upstreams=2, script=[(0.1, LOST), (0.4, OK)])
    system.serve()
    assert len(system.sent) == 2
    assert system.unsent('no_upstream') == 1


def test_request_that_may_crash_upstreams_is_not_hedged():
    """It would cost three upstreams: its retry and its hedge."""
    system = System(script=[(0.4, OK)])
    message = SimpleNamespace(method='GET', headers={}, path='/')
    outgoing = SimpleNamespace(request_id='r1', message=message, body=b'')
    route = make_route()
    system.prepare(route)
    system.crash_watch.apply_report(
        CrashReport('i-9', (fingerprint(outgoing),))
    )
    context = system.context(route, outgoing=outgoing)
    system.run(system.dispatcher.run(context))
    assert len(system.sent) == 1
    assert system.unsent('suspected') == 1


def test_each_hedge_and_retry_is_charged_and_nothing_else():
    charged = []
    system = System(script=[(0.3, LOST), (0.2, LOST), (0.1, OK)])
    system.dispatcher.charge = charged.append
    _, context = system.serve()
    assert charged == [context, context]


def test_without_a_share_no_request_is_hedged_or_measured():
    system = System(share=0, script=[(0.9, OK)])
    system.serve()
    assert len(system.sent) == 1
    assert system.lines[0].keys().isdisjoint({'hedge'})
    assert system.hedged_calls.durations['r'].current.count == 100


def test_changed_share_holds_for_the_next_request():
    system = System(share=0.5, script=[(0.4, OK)])
    system.hedged_calls.apply_settings(Hedging(0))
    system.serve()
    assert len(system.sent) == 1


def test_both_attempts_are_logged_with_the_request_id():
    system = System(script=[(0.9, OK), (0.1, OK)])
    system.serve()
    hedge, first = system.lines
    assert (first['outcome'], first['event']) == ('cancelled', 'call_ended')
    assert 'hedge' not in first
    assert (hedge['outcome'], hedge['hedge']) == ('answered', True)
    assert first['request_id'] == hedge['request_id'] == 'r1'


def test_upstream_that_lost_is_not_marked_as_failed():
    system = System(script=[(0.9, OK), (0.1, OK)])
    system.serve()
    state = system.placer.upstreams[system.sent[0].upstream]
    assert state.consecutive_failures == state.failure_rate == 0
    assert state.may_start(system.placer.now())


def median_after_hedges(share):
    """Return the expected service time after requests with varied speed."""

    async def scenario():
        for number in range(600):
            context = system.context(route, str(number))
            await system.dispatcher.run(context)

    system = System(share=share, upstreams=20)
    durations = [0.08, 0.09, 0.1, 0.11, 0.3]
    system.next_result = lambda *_: next_result()

    async def next_result():
        return system.placer.random.choice(durations), OK

    route = make_route()
    system.prepare(route, delay=0.12, requests=5000)
    system.run(scenario())
    return system.dispatcher.timing.expected_service_time(route)


def test_hedges_do_not_lower_the_expected_service_time():
    with_hedges = median_after_hedges(0.2)
    assert with_hedges == pytest.approx(median_after_hedges(0), rel=0.12)


def test_upstream_whose_requests_are_all_overtaken_counts_as_slow():
    """Their ages at the end are so short that it would remain in use."""
    system = System(script=[(0.9, OK), (0.1, OK)] * 3, upstreams=2)
    slow, other = system.placer.upstreams.values()
    route = make_route()
    system.prepare(route)

    async def scenario():
        for _ in range(3):
            other.backoff_until = 10
            task = asyncio.create_task(
                system.dispatcher.run(system.context(route))
            )
            await asyncio.sleep(0.1)
            other.backoff_until = 0
            await task

    system.run(scenario())
    assert system.hedges('won') == 3
    assert slow.is_slow(system.placer.now())
    assert slow.in_flight == 0
