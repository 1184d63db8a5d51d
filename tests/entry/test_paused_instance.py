"""Guards against pauses of an instance that it counts against upstreams."""

import asyncio
import time

import pytest

from crocusproxy.event_loop.input_first_loop import InputFirstLoop
from tests.event_loop.observed_loop import SETTLE_SECONDS

from .harness import make_server, run_scenario

PAUSE_SECONDS = 0.3
#: Runs of the loop in which requests arrive and connections to upstreams open.
RUNS = 12


def pause_after(runs):
    """Hold the loop once it has run this many times."""
    loop = asyncio.get_running_loop()
    if runs:
        loop.call_soon(pause_after, runs - 1)
    else:
        time.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize('loop_factory', [None, InputFirstLoop])
@pytest.mark.parametrize('runs', range(RUNS))
def test_pause_while_connections_open_fails_no_request(runs, loop_factory):
    """The only upstream "timed out", so all requests got no_upstream."""

    async def scenario(system):
        caller = await system.connect()
        await asyncio.sleep(SETTLE_SECONDS)
        pause_after(runs)
        for number in range(4):
            caller.send(f'r{number}')
        responses = [await caller.read() for _ in range(4)]
        assert [status for status, _, _ in responses] == [200] * 4
        caller.close()

    run_scenario(scenario, [make_server(slots=4)], loop_factory=loop_factory)


def test_pause_while_requests_run_does_not_make_an_upstream_slow():
    """All upstreams with requests in flight counted as slow for 3 s."""

    async def scenario(system):
        caller = await system.connect()
        await asyncio.sleep(SETTLE_SECONDS)
        for number in range(4):
            caller.send(f'r{number}')
        await asyncio.sleep(0.03)
        time.sleep(2 * PAUSE_SECONDS)
        for _ in range(4):
            assert (await caller.read())[0] == 200
        placer = system.dispatcher.placer('s')
        observed = placer.upstreams['i-1'].observed
        assert len(observed.ratios) >= 3
        assert observed.slowdown(placer.now()) == 1
        caller.close()

    run_scenario(
        scenario, [make_server(work=0.06, slots=4)], loop_factory=InputFirstLoop
    )
