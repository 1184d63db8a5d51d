"""Guards the withdrawal of requests that are queued at a slow upstream."""

import asyncio

import pytest

from crocusproxy.routing.results import StuckRequest
from standins.scripted import OK, answering
from tests.proxy.harness import KEY, FakeLedger, serving


async def read_and_block(upstream, reader, writer):
    await upstream.read(reader)
    upstream.request_read.set()
    await asyncio.Event().wait()


def report_all_stuck(scheduler, is_running):
    """Make the balancer report every request as stuck."""
    scheduler.balancer.stuck_requests = lambda now: [
        StuckRequest(assignment.upstream, assignment.ticket, is_running)
        for assignment in scheduler.assignments.values()
    ]
    scheduler.withdraw_stuck(scheduler.clock.monotonic())


async def call_and_report_stuck(proxy, upstreams, line, headers, is_running):
    """Return the task of the call and the upstream that it is stuck at."""
    scheduler = proxy.core.dispatcher.schedulers['s']
    for upstream in upstreams:
        upstream.request_read = asyncio.Event()
    call = asyncio.create_task(proxy.call(line, headers))
    waits = [asyncio.create_task(one.request_read.wait()) for one in upstreams]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    stuck_upstream = next(one for one in upstreams if one.request_read.is_set())
    for one in upstreams:
        if one is not stuck_upstream:
            one.script = answering(OK)
    for _ in range(100):
        scheduler.budget.record_call()
    report_all_stuck(scheduler, is_running)
    return call, stuck_upstream


async def test_a_queued_idempotent_request_is_withdrawn_and_retried_once():
    async with serving(read_and_block, read_and_block) as (proxy, *upstreams):
        call, stuck_upstream = await call_and_report_stuck(
            proxy, upstreams, b'GET /s/x', b'', is_running=False
        )
        assert (await call).outcome == 'answered'
        assert [len(one.requests) for one in upstreams] == [1, 1]
        assert len(stuck_upstream.requests) == 1


@pytest.mark.parametrize(
    ('line', 'headers', 'is_running'),
    [(b'POST /s/x', KEY, False), (b'GET /s/x', b'', True)],
    ids=['keyed', 'running'],
)
async def test_a_keyed_or_running_request_is_not_withdrawn(
    line, headers, is_running
):
    async with serving(read_and_block, read_and_block, ledger=FakeLedger()) as (
        proxy,
        *upstreams,
    ):
        call, _ = await call_and_report_stuck(
            proxy, upstreams, line, headers, is_running
        )
        await asyncio.sleep(0)
        assert sum(len(one.requests) for one in upstreams) == 1
        assert not call.done()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
