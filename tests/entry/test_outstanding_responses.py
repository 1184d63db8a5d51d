"""Guards against closes that discard what a caller has yet to receive."""

import asyncio
import socket
from datetime import timedelta

import pytest
import uvloop

from crocusproxy.entry.draining import drain_callers

from .harness import Caller, make_config, make_server, run_scenario
from .test_gateway import SIGNATURE, raw_response

BODY = b'x' * 30_000
REQUEST_COUNT = 6
RECEIVE_BUFFER_BYTES = 4096
SHUTDOWN = timedelta(seconds=4)
#: Longer than any linger after the last response of a connection.
LATE_SECONDS = 1.3
IDLE_TIMEOUT = timedelta(seconds=0.5)
AFTER_IDLE_TIMEOUT = timedelta(seconds=2)
#: After the port was closed, and before the last possible response.
AFTER_CLOSE_SECONDS = 3.0
#: The processes run on uvloop, the other tests on asyncio's loop.
BOTH_LOOPS = pytest.mark.parametrize(
    'loop_factory',
    [asyncio.new_event_loop, uvloop.new_event_loop],
    ids=['asyncio', 'uvloop'],
)
CONFIG = make_config(timeout=10.0, idle_timeout=IDLE_TIMEOUT)


async def connect_slow(system):
    """Return a caller whose system buffers little of what it does not read."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    host, _, port = system.address.rpartition(':')
    await loop.sock_connect(connection, (host, int(port)))
    return Caller(*await asyncio.open_connection(sock=connection, limit=1024))


def answer_with_body(server):
    server.response_script = lambda request_id: raw_response(
        request_id, BODY, extra_headers=SIGNATURE
    )


def send_pipelined(caller):
    for number in range(REQUEST_COUNT):
        caller.send(f'r{number}', deadline_ms=9000)


async def wait_until(is_true):
    while not is_true():
        await asyncio.sleep(0.01)


def all_ran(server):
    return len(server.runs) == REQUEST_COUNT


async def read_all(caller):
    """Read the responses, and return those that are complete."""
    bodies = []
    for _ in range(REQUEST_COUNT):
        try:
            bodies.append((await caller.read())[2])
        except (OSError, asyncio.IncompleteReadError):
            break
    return bodies


async def expect_all_after_a_stop(system, late_seconds):
    """Stop while all requests are at work, and send one more before reading."""
    (server,) = system.servers
    answer_with_body(server)
    caller = await connect_slow(system)
    send_pipelined(caller)
    await wait_until(lambda: all_ran(server))
    system.gateway.is_draining = True
    await asyncio.sleep(late_seconds)
    caller.send('next')
    await caller.writer.drain()
    assert await read_all(caller) == [BODY] * REQUEST_COUNT
    caller.close()


def run_with_answers(scenario, loop_factory):
    """Run a scenario after an upstream has answered all requests.

    The caller has read none of the responses.
    """

    async def run(system):
        (server,) = system.servers
        answer_with_body(server)
        caller = await connect_slow(system)
        send_pipelined(caller)
        await wait_until(
            lambda: all_ran(server) and not system.gateway.in_flight
        )
        await scenario(system, caller)
        caller.close()

    server = make_server(slots=REQUEST_COUNT)
    run_scenario(run, [server], CONFIG, loop_factory)


@BOTH_LOOPS
def test_idle_timeout_cuts_no_response_that_is_still_being_read(loop_factory):
    """The kernel discarded the rest when the caller sent one more request."""

    async def scenario(system, caller):
        (connection,) = system.gateway.connections
        now = system.clock.monotonic()
        connection.enforce_timeouts(now + AFTER_IDLE_TIMEOUT)
        caller.send('next')
        await caller.writer.drain()
        assert await read_all(caller) == [BODY] * REQUEST_COUNT

    run_with_answers(scenario, loop_factory)


@BOTH_LOOPS
def test_closing_response_is_sent_to_a_caller_that_reads_slowly(loop_factory):
    """The connection closed a second after the last response was written."""

    async def scenario(system):
        await expect_all_after_a_stop(system, LATE_SECONDS)

    server = make_server(slots=REQUEST_COUNT, work=0.1)
    run_scenario(scenario, [server], CONFIG, loop_factory)


@BOTH_LOOPS
def test_stop_cuts_no_response_on_a_connection_without_requests(loop_factory):
    async def scenario(system, caller):
        system.gateway.is_draining = True
        draining = asyncio.create_task(
            drain_callers(
                system.gateway, system.listener, system.clock, SHUTDOWN
            )
        )
        await asyncio.sleep(AFTER_CLOSE_SECONDS)
        caller.send('next')
        await caller.writer.drain()
        assert not draining.done()
        assert await read_all(caller) == [BODY] * REQUEST_COUNT
        caller.close()
        await draining

    run_with_answers(scenario, loop_factory)
