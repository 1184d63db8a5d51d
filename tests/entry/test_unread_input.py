"""Guards against ends of connections on which a request is unread.

It arrived before the end, so its caller waits for the response.
"""

import asyncio
import socket
from datetime import timedelta

from .harness import HOST, make_config, make_server, run_scenario
from .test_outstanding_responses import BOTH_LOOPS

CONFIG = make_config(
    idle_timeout=timedelta(seconds=1), header_timeout=timedelta(seconds=1)
)
LATE = timedelta(seconds=2.1)
TOO_LATE = timedelta(seconds=3)


def make_request(name):
    return (
        f'GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Crocusproxy-Request-Id: {name}\r\n\r\n'
    ).encode()


class Caller:
    """Sends while the loop of the gateway does not run."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.socket = socket.create_connection((host, int(port)))
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message):
        assert self.socket.send(message) == len(message)

    async def receive(self):
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self.socket, 4096)

    async def expect_response(self, status=b'200'):
        head = (await self.receive()).split(b'\r\n')[0]
        assert head.split(b' ')[1] == status, head

    def close(self):
        self.socket.close()


async def open_used(system):
    """Return a caller whose connection is idle after a response."""
    caller = Caller(system.address)
    caller.send(make_request('r1'))
    await caller.expect_response()
    await wait_acknowledged(system)
    return caller


async def wait_acknowledged(system):
    while any(
        one.has_outstanding_bytes() for one in system.gateway.connections
    ):
        await asyncio.sleep(0.01)


async def wait_head_started(system):
    while not any(one.head_started_at for one in system.gateway.connections):
        await asyncio.sleep(0.01)


def enforce_timeouts(system, later):
    now = system.clock.monotonic() + later
    for connection in tuple(system.gateway.connections):
        connection.enforce_timeouts(now)


@BOTH_LOOPS
def test_stop_serves_a_request_that_nobody_has_read(loop_factory):
    """The step that ended idle connections ran first after a pause."""

    async def scenario(system):
        caller = await open_used(system)
        system.gateway.is_draining = True
        caller.send(make_request('r2'))
        assert system.gateway.end_idle_connections()
        await caller.expect_response()
        assert await caller.receive() == b''
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)


@BOTH_LOOPS
def test_idle_timeout_serves_a_request_that_nobody_has_read(loop_factory):
    async def scenario(system):
        caller = await open_used(system)
        caller.send(make_request('r2'))
        enforce_timeouts(system, TOO_LATE)
        await caller.expect_response()
        await wait_acknowledged(system)
        enforce_timeouts(system, TOO_LATE)
        assert await caller.receive() == b''
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)


@BOTH_LOOPS
def test_idle_connection_ends_in_the_step_that_has_checked_it(loop_factory):
    """A transport ends it later; a request in between was discarded."""

    async def scenario(system):
        caller = await open_used(system)
        system.gateway.is_draining = True
        system.gateway.end_idle_connections()
        # The loop has not run since.
        assert caller.socket.recv(1) == b''
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)


@BOTH_LOOPS
def test_connection_that_was_ended_at_once_closes_with_its_caller(loop_factory):
    """The transport does not know of the end."""

    async def scenario(system):
        caller = await open_used(system)
        system.gateway.is_draining = True
        system.gateway.end_idle_connections()
        assert await caller.receive() == b''
        caller.close()
        while system.gateway.connections:
            await asyncio.sleep(0.01)
        events = [event for event, _ in system.log_lines]
        assert 'connection_ended' not in events

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)


@BOTH_LOOPS
def test_rest_of_a_head_that_arrived_in_time_is_served(loop_factory):
    async def scenario(system):
        caller = await open_used(system)
        request = make_request('r2')
        caller.send(request[:20])
        await wait_head_started(system)
        caller.send(request[20:])
        enforce_timeouts(system, timedelta(seconds=1.5))
        await caller.expect_response()
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)


@BOTH_LOOPS
def test_head_without_end_is_refused_though_more_is_unread(loop_factory):
    """A caller that goes on sending must not keep its connection."""

    async def scenario(system):
        caller = await open_used(system)
        caller.send(b'GET /safe/x HTTP/1.1\r\n')
        await wait_head_started(system)
        caller.send(b'x: 1\r\n')
        enforce_timeouts(system, LATE)
        await caller.expect_response(b'408')
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG, loop_factory)
