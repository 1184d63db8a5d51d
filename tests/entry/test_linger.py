"""Guards against a linger that ends while a caller reads its responses."""

import asyncio

from .harness import make_server, run_scenario
from .test_outstanding_responses import (
    BOTH_LOOPS,
    CONFIG,
    REQUEST_COUNT,
    expect_all_after_a_stop,
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
        timer = asyncio.create_task(enforce_timeouts(system))
        await expect_all_after_a_stop(system, LATE_SECONDS)
        timer.cancel()

    server = make_server(slots=REQUEST_COUNT, work=0.1)
    run_scenario(scenario, [server], CONFIG, loop_factory)
