"""Guards against connections that are reset because their port closes."""

import asyncio
import socket

import pytest
import uvloop

from crocusproxy.http_server.port_close import close_port

WAITING = 20
BOTH_LOOPS = pytest.mark.parametrize(
    'loop_factory', [asyncio.new_event_loop, uvloop.new_event_loop]
)


class Answering(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(b'answer to ' + data)


def call(address):
    """Return a connection whose request waits in the kernel."""
    caller = socket.create_connection(address)
    caller.sendall(b'request')
    caller.setblocking(False)
    return caller


def run(scenario, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(asyncio.wait_for(scenario(), 10))


async def expect_answers(callers):
    loop = asyncio.get_running_loop()
    for caller in callers:
        assert await loop.sock_recv(caller, 100) == b'answer to request'
        caller.close()


@BOTH_LOOPS
def test_connections_that_wait_for_the_loop_are_served(loop_factory):
    """The kernel reset what was in the backlog of the port."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        callers = [call(address) for _ in range(WAITING)]
        assert await close_port(server, Answering) == WAITING
        await expect_answers(callers)

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_closed_port_refuses_connections(loop_factory):
    """A duplicate that stays open would let callers wait for nobody."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        assert await close_port(server, Answering) == 0
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_connection_that_was_reset_while_it_waited_is_passed_over(loop_factory):
    """One caller that is gone must not end the others."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        gone, caller = call(address), call(address)
        linger = b'\1\0\0\0\0\0\0\0'
        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        gone.close()
        await close_port(server, Answering)
        await expect_answers([caller])

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_port_that_is_closed_already_has_no_connections(loop_factory):
    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, '127.0.0.1', 0)
        await close_port(server, Answering)
        assert await close_port(server, Answering) == 0

    run(scenario, loop_factory)
