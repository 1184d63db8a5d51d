"""Guards against closes while a caller's system holds unread responses."""

import asyncio
from datetime import timedelta

from .harness import make_config, make_server, run_scenario
from .test_outstanding_responses import (
    AFTER_IDLE_TIMEOUT,
    BODY,
    IDLE_TIMEOUT,
    Caller,
    answer_with_body,
    wait_until,
)

CONFIG = make_config(timeout=10.0, idle_timeout=IDLE_TIMEOUT)
REQUEST_COUNT = 2
#: After the end is acknowledged, and after the linger.
LATER = (timedelta(seconds=3), timedelta(seconds=6))


async def connect_with_small_reader(system):
    """Return a caller that leaves most of what arrives to its system."""
    host, _, port = system.address.rpartition(':')
    return Caller(*await asyncio.open_connection(host, int(port), limit=1024))


def test_idle_timeout_cuts_no_response_that_the_caller_has_yet_to_read():
    """Its system had acknowledged all, and its next request broke the pipe."""

    async def scenario(system):
        (server,) = system.servers
        answer_with_body(server)
        caller = await connect_with_small_reader(system)
        for number in range(REQUEST_COUNT):
            caller.send(f'r{number}', deadline_ms=9000)
        await wait_until(
            lambda: (
                len(server.runs) == REQUEST_COUNT
                and not system.gateway.in_flight
            )
        )
        (connection,) = system.gateway.connections
        await wait_until(lambda: not connection.has_outstanding_bytes())
        now = system.clock.monotonic()
        connection.enforce_timeouts(now + AFTER_IDLE_TIMEOUT)
        await asyncio.sleep(0.1)
        for later in LATER:
            connection.enforce_timeouts(now + later)
            await asyncio.sleep(0.1)
        for number in range(2):
            caller.send(f'next{number}')
            await asyncio.sleep(0.1)
        bodies = [(await caller.read())[2] for _ in range(REQUEST_COUNT)]
        assert bodies == [BODY] * REQUEST_COUNT
        caller.close()

    run_scenario(scenario, [make_server(slots=REQUEST_COUNT)], CONFIG)
