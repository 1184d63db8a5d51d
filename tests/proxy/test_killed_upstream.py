"""Guards against wrong outcomes when an upstream crashes during a request.

The upstream is killed during a given step: by the fake ledger, in the call of
the balancer, or by the upstream's own script.
"""

import asyncio

import pytest

from standins.scripted import (
    OK,
)
from tests.proxy.harness import (
    FIRST_ATTEMPT,
    KEY,
    FakeLedger,
    serving,
)

HALF_HEAD = OK[:20]
HALF_BODY = OK[:-1]
# The bytes that the upstream writes, and the outcome of a keyed request.
STEPS = {
    'claimed': (None, 'not-run'),
    'chosen': (None, 'not-run'),
    'accepted': (None, 'unknown'),
    'read': (b'', 'unknown'),
    'half a head': (HALF_HEAD, 'unknown'),
    'half a body': (HALF_BODY, 'unknown'),
    'answered': (OK, 'answered'),
}


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('keyed', [False, True])
async def test_outcome_after_an_upstream_is_killed_at_a_step(step, keyed):
    written, outcome = STEPS[step]
    if not keyed and outcome == 'unknown':
        outcome = 'failed'

    async def script(upstream, reader, writer):
        if step == 'accepted':
            upstream.kill()
        await upstream.read(reader)
        writer.write(written or b'')
        if written:
            await writer.drain()
        upstream.server.close()

    ledger = FakeLedger()
    async with serving(script, ledger=ledger) as (proxy, upstream):
        balancer = proxy.core.dispatcher.schedulers['s'].balancer
        choose = balancer.choose

        def kill_and_choose(info):
            upstream.kill()
            return choose(info)

        if step == 'claimed':
            ledger.on_claim = upstream.kill
        if step == 'chosen' or (step == 'claimed' and not keyed):
            balancer.choose = kill_and_choose
        line = b'POST /s/x' if keyed else b'GET /s/x'
        response = await proxy.call(line, KEY + FIRST_ATTEMPT if keyed else b'')
        assert response.outcome == outcome
        if outcome == 'not-run':
            assert not upstream.requests
        if keyed:
            assert ledger.voided == ['n1'] * (outcome == 'not-run')
        states = balancer.states.values()
        assert not any(state.in_flight for state in states)


@pytest.mark.parametrize('keyed', [False, True])
async def test_outcome_after_an_upstream_is_killed_with_an_idle_connection(
    keyed,
):
    """Not-run is reported only if the request did not arrive."""

    async def script(upstream, reader, writer):
        while True:
            await upstream.read(reader)
            writer.write(OK)

    async with serving(script, ledger=FakeLedger()) as (proxy, upstream):
        assert (await proxy.call()).status == 200
        upstream.kill()
        line = b'POST /s/x' if keyed else b'GET /s/x'
        response = await proxy.call(line, KEY if keyed else b'')
        assert response.outcome in {'not-run', 'failed', 'unknown'}
        assert len(upstream.requests) == 1
        again = await proxy.call()
        assert again.outcome == 'not-run'


async def test_a_crash_is_reported_with_the_requests_in_flight():
    async def script(upstream, reader, writer):
        await upstream.read(reader)
        if len(upstream.requests) == 2:
            upstream.kill()
        await reader.read()

    async with serving(script, retry_share=0) as (proxy, upstream):
        crashes = []
        proxy.core.pool.on_crash = lambda *crash: crashes.append(crash)
        calls = (proxy.call(b'GET /s/%d' % number) for number in (1, 2))
        await asyncio.gather(*calls)
        [(address, lost)] = crashes
        assert address == upstream.address
        assert sorted(one.target for one in lost) == ['/1', '/2']


async def test_a_request_aborted_at_its_deadline_is_no_crash():
    async def script(upstream, reader, writer):
        await upstream.read(reader)
        await reader.read()

    async with serving(script) as (proxy, _):
        crashes = []
        proxy.core.pool.on_crash = lambda *crash: crashes.append(crash)
        response = await proxy.call(headers=b'Crocus-Timeout-Ms: 20\r\n')
        assert response.code == 'deadline_exceeded'
        assert not crashes


@pytest.mark.parametrize('written', [b'', HALF_HEAD, HALF_BODY])
async def test_a_running_upstream_that_breaks_a_response_has_not_crashed(
    written,
):
    """Its last connection closes, but the request must not be refused."""

    async def script(upstream, reader, writer):
        await upstream.read(reader)
        writer.write(written)
        writer.close()

    async with serving(*[script] * 2) as (proxy, *_):
        crashes = []
        proxy.core.pool.on_crash = lambda *crash: crashes.append(crash)
        for _ in range(2):
            assert (await proxy.call(b'GET /s/x')).outcome == 'failed'
        assert not crashes
