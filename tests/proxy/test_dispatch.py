"""Guards against wrong outcomes, duplicate runs and needless waits."""

import asyncio
from datetime import datetime, timezone

import pytest

from crocusproxy.ledger.results import (
    AlreadyClaimed,
    ClaimState,
    ClaimUnavailable,
)
from crocusproxy.membership.view import InstanceView
from crocusproxy.proxy.settings import ProxyLimits
from standins.scripted import (
    NOT_RUN,
    OK,
    answering,
)
from tests.proxy.harness import (
    FIRST_ATTEMPT,
    KEY,
    OUTCOMES_IF_NOT_SENT,
    FakeLedger,
    limit_to_one_in_flight,
    request,
    serving,
    wait_until,
)

POST = b'POST /s/x'
NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
DRAINING = OK.replace(b'\r\n\r\n', b'\r\nUpstream-State: draining\r\n\r\n')


async def close_at_once(upstream, reader, writer):
    """Accept a connection and drop it before a request can be read."""


async def test_a_keyed_request_is_claimed_sent_once_and_completed():
    ledger = FakeLedger()
    async with serving(answering(), ledger=ledger) as (proxy, upstream):
        response = await proxy.call(POST, KEY, b'body')
        assert (response.status, response.outcome) == (200, 'answered')
        assert [key for key, _ in ledger.claims] == ['s/k1']
        assert ledger.completed == [('n1', 200)]
        assert (ledger.voided, len(upstream.requests)) == ([], 1)


def claimed_as(digest, status=None):
    return AlreadyClaimed(ClaimState('n0', digest, NOW, status))


@pytest.mark.parametrize(
    ('answer', 'headers', 'status', 'code', 'outcome'),
    [
        (claimed_as('same'), FIRST_ATTEMPT, 409, 'request_in_progress',
         'unknown'),
        (claimed_as('same', 201), b'', 409, 'request_already_ran', 'unknown'),
        (claimed_as('other'), b'', 422, 'idempotency_key_reused', 'unknown'),
        (claimed_as('other'), FIRST_ATTEMPT, 422, 'idempotency_key_reused',
         'not-run'),
        (ClaimUnavailable('platform_unavailable'), FIRST_ATTEMPT, 503,
         'platform_unavailable', 'not-run'),
        (ClaimUnavailable('platform_unavailable'), b'', 503,
         'platform_unavailable', 'unknown'),
        (ClaimUnavailable('append_rejected'), FIRST_ATTEMPT, 500,
         'append_rejected', 'not-run'),
        (ClaimUnavailable('deadline_passed'), b'', 504, 'deadline_exceeded',
         'unknown'),
        (ClaimUnavailable('expired'), b'', 410, 'idempotency_key_expired',
         'unknown'),
        (ClaimUnavailable('expiry_too_far'), b'', 400,
         'idempotency_expiry_too_far', 'unknown'),
    ],
)  # fmt: skip
async def test_without_a_claim_nothing_is_sent(
    answer, headers, status, code, outcome, monkeypatch
):
    monkeypatch.setattr(
        'crocusproxy.proxy.inbound.InboundRequest.digest', lambda _: 'same'
    )

    ledger = FakeLedger(answer)
    async with serving(answering(), ledger=ledger) as (proxy, upstream):
        response = await proxy.call(POST, KEY + headers)
        assert (response.status, response.code) == (status, code)
        assert response.outcome == outcome
        assert (upstream.connections, ledger.voided) == (0, [])
        assert ('retry-after' in response.headers) is (status == 503)


@pytest.mark.parametrize(('attempt', 'outcome'), OUTCOMES_IF_NOT_SENT)
async def test_a_claim_that_lapses_before_the_send_is_voided(attempt, outcome):
    ledger = FakeLedger(is_lapsed=True)
    async with serving(answering(), ledger=ledger) as (proxy, upstream):
        response = await proxy.call(POST, KEY + attempt)
        assert response.code == 'platform_unavailable'
        assert response.outcome == outcome
        assert (upstream.requests, ledger.voided) == ([], ['n1'])


@pytest.mark.parametrize(('attempt', 'outcome'), OUTCOMES_IF_NOT_SENT)
async def test_a_claim_is_voided_if_no_upstream_ran_the_request(
    attempt, outcome
):
    ledger = FakeLedger()
    scripts = [answering(NOT_RUN, NOT_RUN)] * 2
    async with serving(*scripts, ledger=ledger) as (proxy, *upstreams):
        response = await proxy.call(POST, KEY + attempt)
        assert (response.status, response.body) == (503, b'busy')
        assert response.outcome == outcome
        assert response.headers['retry-after'] == '7'
        assert [len(one.requests) for one in upstreams] == [1, 1]
        assert (ledger.voided, ledger.completed) == (['n1'], [])


async def test_a_503_without_not_run_counts_as_answered():
    busy = NOT_RUN.replace(b'Upstream-Outcome: not-run\r\n', b'')
    scripts = [answering(last=busy)] * 2
    async with serving(*scripts) as (proxy, *upstreams):
        response = await proxy.call()
        assert (response.status, response.outcome) == (503, 'answered')
        assert sum(len(one.requests) for one in upstreams) == 1


async def test_not_run_after_a_broken_attempt_is_reported_as_failed():
    order = []

    async def script(upstream, reader, writer):
        await upstream.read(reader)
        if not order:
            order.append(upstream)
            return
        writer.write(NOT_RUN)

    async with serving(script, script) as (proxy, *_):
        response = await proxy.call()
        assert (response.status, response.outcome) == (503, 'failed')


async def test_an_unreachable_upstream_uses_no_retry_budget():
    async with serving(answering(), answering()) as (proxy, first, second):
        first.kill()
        scheduler = proxy.core.dispatcher.schedulers['s']
        scheduler.budget.tokens = 0
        for _ in range(10):
            assert (await proxy.call()).status == 200
        second.kill()
        response = await proxy.call()
        assert (response.code, response.status) == ('no_upstream', 503)
        assert response.outcome == 'not-run'
        assert 'retry-after' in response.headers


async def test_requests_without_capacity_are_queued_until_the_queue_is_full():
    gate, arrived = asyncio.Event(), asyncio.Semaphore(0)

    async def script(upstream, reader, writer):
        await upstream.read(reader)
        arrived.release()
        await gate.wait()
        writer.write(OK)

    async with serving(script, queue=2) as (proxy, upstream):
        scheduler = limit_to_one_in_flight(proxy)
        calls = [asyncio.create_task(proxy.call())]
        await arrived.acquire()
        for queued in (1, 2):
            caller = b'Crocus-Caller: c%d\r\n' % queued
            calls.append(asyncio.create_task(proxy.call(headers=caller)))
            await wait_until(lambda: len(scheduler.queue) == queued)
        refused = await proxy.call(headers=b'Crocus-Caller: c3\r\n')
        assert refused.code == 'queue_full'
        assert refused.outcome == 'not-run'
        assert int(refused.headers['retry-after']) >= 1
        assert len(upstream.requests) == 1
        gate.set()
        assert [one.status for one in await asyncio.gather(*calls)] == [
            200, 200, 200
        ]  # fmt: skip


async def test_a_disconnected_caller_in_the_queue_gets_no_upstream():
    gate, arrived = asyncio.Event(), asyncio.Event()

    async def script(upstream, reader, writer):
        while True:
            await upstream.read(reader)
            arrived.set()
            await gate.wait()
            writer.write(OK)

    async with serving(script) as (proxy, upstream):
        scheduler = limit_to_one_in_flight(proxy)
        call = asyncio.create_task(proxy.call())
        await arrived.wait()
        _, writer = await proxy.connect()
        writer.write(request(b'GET /s/left'))
        await wait_until(lambda: len(scheduler.queue))
        writer.transport.abort()
        await wait_until(lambda: proxy.core.metrics.in_flight == 1)
        gate.set()
        assert (await call).status == 200
        assert (await proxy.call()).status == 200
        paths = [one.start_line for one in upstream.requests]
        assert not [path for path in paths if 'left' in path]


async def test_a_request_whose_deadline_passes_in_the_queue_is_not_sent():
    async def script(upstream, reader, writer):
        await upstream.read(reader)
        await reader.readexactly(1)

    async with serving(script) as (proxy, upstream):
        limit_to_one_in_flight(proxy)
        first = asyncio.create_task(proxy.call())
        await wait_until(lambda: upstream.requests)
        headers = b'Crocus-Timeout-Ms: 30\r\n'
        response = await proxy.call(headers=headers)
        assert response.code == 'deadline_exceeded'
        assert response.outcome == 'not-run'
        assert 'retry-after' in response.headers
        assert len(upstream.requests) == 1
        upstream.kill()
        assert (await first).outcome == 'failed'


async def test_a_draining_upstream_gets_no_new_requests():
    scripts = [answering(last=DRAINING), answering(last=OK)]
    async with serving(*scripts) as (proxy, draining, other):
        for _ in range(20):
            await proxy.call()
        assert len(draining.requests) <= 1
        proxy.core.apply_view(InstanceView(1, (), frozenset({'s/u1'})))
        before = len(other.requests)
        assert (await proxy.call()).code == 'no_upstream'
        assert len(other.requests) == before
        proxy.core.apply_view(InstanceView(2))
        assert (await proxy.call()).status == 200


async def test_only_valid_load_reports_reach_the_balancer():
    def reporting(text):
        header = b'\r\nEndpoint-Load-Metrics: %b\r\n\r\n' % text
        return OK.replace(b'\r\n\r\n', header)

    valid = (
        b'TEXT named_metrics.in_flight=1, named_metrics.slots=2, '
        b'named_metrics.queued=3'
    )
    malformed = (b'', b'TEXT in_flight=x', b'TEXT slots=inf', valid[:40])
    script = answering(reporting(valid), *map(reporting, malformed))
    async with serving(script) as (proxy, _):
        scheduler = proxy.core.dispatcher.schedulers['s']
        reports = []
        scheduler.balancer.report = lambda _, load: reports.append(load)
        for _ in range(5):
            response = await proxy.call()
            assert 'endpoint-load-metrics' not in response.headers
        [load] = reports
        assert (load.in_flight, load.slots, load.queued) == (1, 2, 3)


async def test_hop_by_hop_headers_are_not_forwarded():
    answer = OK.replace(
        b'\r\n\r\n',
        b'\r\nConnection: x-b\r\nX-B: 1\r\nSet-Cookie: a\r\n'
        b'Set-Cookie: b\r\nCrocus-Outcome: failed\r\n\r\n',
    )
    async with serving(answering(answer)) as (proxy, upstream):
        headers = b'Connection: x-a\r\nX-A: 1\r\nTE: trailers\r\nX-C: 2\r\n'
        response = await proxy.call(headers=headers)
        sent = upstream.requests[0].headers
        assert {'x-a', 'te', 'connection'}.isdisjoint(sent)
        assert sent['x-c'] == '2'
        assert 'x-b' not in response.headers
        assert response.outcome == 'answered'
        assert response.headers['set-cookie'] == 'b'


async def test_one_caller_cannot_fill_the_queue():
    async def script(upstream, reader, writer):
        await upstream.read(reader)
        await reader.read()

    limits = ProxyLimits(queued_per_caller=1)
    async with serving(script, limits=limits) as (proxy, upstream):
        scheduler = limit_to_one_in_flight(proxy)
        flood = b'Crocus-Caller: flood\r\n'
        calls = [asyncio.create_task(proxy.call(headers=flood))]
        await wait_until(lambda: upstream.requests)
        calls.append(asyncio.create_task(proxy.call(headers=flood)))
        await wait_until(lambda: len(scheduler.queue))
        refused = await proxy.call(headers=flood)
        assert (refused.status, refused.code) == (429, 'caller_over_limit')
        assert int(refused.headers['retry-after']) >= 1
        other = b'Crocus-Caller: other\r\n'
        calls.append(asyncio.create_task(proxy.call(headers=other)))
        await wait_until(lambda: len(scheduler.queue) == 2)
        upstream.kill()
        await asyncio.gather(*calls)


async def test_sends_are_counted_by_result():
    scripts = [answering(NOT_RUN, NOT_RUN), answering()]
    async with serving(*scripts) as (proxy, *upstreams):
        for _ in range(4):
            await proxy.call()
        sends = proxy.core.metrics.sends
        counted = sum(
            sends.labels('s', end)._value.get()
            for end in ('answered', 'rejected', 'failed', 'cancelled')
        )
        assert counted == sum(len(one.requests) for one in upstreams)
