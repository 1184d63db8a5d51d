"""Guards against a linger that ends while a caller reads its responses."""

import asyncio

from .harness import make_server, run_scenario
from .test_outstanding_responses import (
    BODY,
    BOTH_LOOPS,
    CONFIG,
    REQUEST_COUNT,
    all_ran,
    answer_with_body,
    connect_slow,
    read_all,
    send_pipelined,
    wait_until,
)

TICK_SECONDS = 0.1
#: Longer than the linger and a tick.
LATE_SECONDS = 1.6


async def enforce_timeouts(system):
    """Enforce the timeouts periodically, as the daemon does."""
    while True:
        await asyncio.sleep(TICK_SECONDS)
        now = system.clock.monotonic()
        for connection in tuple(system.gateway.connections):
            connection.enforce_timeouts(now)


@BOTH_LOOPS
def test_linger_of_a_stop_cuts_no_response_that_is_still_being_read(
    loop_factory,
):
    """The tests of closes run no timer, so none closed the connection."""

    async def scenario(system):
        (server,) = system.servers
        answer_with_body(server)
        timer = asyncio.create_task(enforce_timeouts(system))
        caller = await connect_slow(system)
        send_pipelined(caller)
        await wait_until(lambda: all_ran(server))
        system.gateway.is_draining = True
        await asyncio.sleep(LATE_SECONDS)
        caller.send('next')
        await caller.writer.drain()
        assert await read_all(caller) == [BODY] * REQUEST_COUNT
        caller.close()
        timer.cancel()

    server = make_server(slots=REQUEST_COUNT, work=0.1)
    run_scenario(scenario, [server], CONFIG, loop_factory)
