"""Guards against ports that discard requests which nobody has read."""

import asyncio
import socket

import pytest
import uvloop
from aiohttp import web

from crocusproxy.application import serve

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
BOTH_LOOPS = pytest.mark.parametrize(
    'loop_factory', [asyncio.new_event_loop, uvloop.new_event_loop]
)


async def respond(_):
    return web.Response(body=b'done')


async def serve_port():
    application = web.Application()
    application.add_routes([web.get('/', respond)])
    runner = await serve(application, '127.0.0.1', 0)
    return runner, runner.addresses[0]


def connect(address):
    caller = socket.create_connection(address)
    caller.setblocking(False)
    return caller


async def expect_response(caller):
    loop = asyncio.get_running_loop()
    assert b' 200 ' in await loop.sock_recv(caller, 4096)


def run(scenario, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(asyncio.wait_for(scenario(), 10))


@BOTH_LOOPS
def test_closed_port_serves_connections_that_nobody_has_accepted(loop_factory):
    async def scenario():
        runner, address = await serve_port()
        callers = [connect(address) for _ in range(20)]
        for caller in callers:
            caller.send(REQUEST)
        await runner.cleanup()
        for caller in callers:
            await expect_response(caller)
            caller.close()

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_closed_port_serves_a_request_that_nobody_has_read(loop_factory):
    async def scenario():
        runner, address = await serve_port()
        caller = connect(address)
        caller.send(REQUEST)
        await expect_response(caller)
        caller.send(REQUEST)
        await runner.cleanup()
        await expect_response(caller)
        caller.close()

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_idle_timeout_serves_a_request_that_nobody_has_read(loop_factory):
    async def scenario():
        runner, address = await serve_port()
        caller = connect(address)
        caller.send(REQUEST)
        await expect_response(caller)
        (connection,) = runner.server.open_connections
        while connection.delivering_transport.has_unread_responses():
            await asyncio.sleep(0.01)
        caller.send(REQUEST)
        connection._next_keepalive_close_time = 0
        connection._process_keepalive()
        await expect_response(caller)
        await runner.cleanup()
        caller.close()

    run(scenario, loop_factory)
