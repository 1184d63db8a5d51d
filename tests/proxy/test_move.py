"""Guards requests at a slow upstream: those that wait, those that may run."""

import asyncio

import pytest

from crocusproxy.routing.results import StuckRequest
from standins.scripted import OK, answering
from tests.proxy.harness import KEY, FakeLedger, serving


async def first_holds(upstream, reader, writer):
    await upstream.read(reader)
    upstream.held.set()
    await asyncio.Event().wait()


def stuck(scheduler, is_running):
    """Have the balancer call every request stuck."""
    scheduler.balancer.stuck_requests = lambda now: [
        StuckRequest(assignment.upstream, assignment.number, is_running)
        for assignment in scheduler.assignments.values()
    ]
    scheduler.withdraw_stuck(scheduler.clock.monotonic())


async def call_and_get_stuck(proxy, upstreams, line, headers, is_running):
    """Return the call's task once its request is called stuck."""
    scheduler = proxy.core.dispatcher.schedulers['s']
    for upstream in upstreams:
        upstream.held = asyncio.Event()
    call = asyncio.create_task(proxy.call(line, headers))
    waits = [asyncio.create_task(one.held.wait()) for one in upstreams]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    holder = next(one for one in upstreams if one.held.is_set())
    for one in upstreams:
        if one is not holder:
            one.script = answering(OK)
    for _ in range(100):
        scheduler.budget.record_call()
    stuck(scheduler, is_running)
    return call, holder


async def test_an_idempotent_request_that_waits_is_moved_once():
    async with serving(first_holds, first_holds) as (proxy, *upstreams):
        call, holder = await call_and_get_stuck(
            proxy, upstreams, b'GET /s/x', b'', is_running=False
        )
        assert (await call).outcome == 'answered'
        assert [len(one.requests) for one in upstreams] == [1, 1]
        assert len(holder.requests) == 1


@pytest.mark.parametrize(
    ('line', 'headers', 'is_running'),
    [(b'POST /s/x', KEY, False), (b'GET /s/x', b'', True)],
    ids=['keyed', 'running'],
)
async def test_a_request_that_may_have_an_effect_or_runs_is_not_moved(
    line, headers, is_running
):
    async with serving(first_holds, first_holds, ledger=FakeLedger()) as (
        proxy,
        *upstreams,
    ):
        call, _ = await call_and_get_stuck(
            proxy, upstreams, line, headers, is_running
        )
        await asyncio.sleep(0)
        assert sum(len(one.requests) for one in upstreams) == 1
        assert not call.done()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
