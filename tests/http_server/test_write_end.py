"""Guards against ends of a direction that discard what the peer has sent."""

import asyncio
import socket

import pytest
import uvloop

from crocusproxy.http_server.write_end import end_unless_unread, end_writing

from .test_transport import connected

#: More than the kernel's buffers take.
LARGE = b'x' * 16_000_000
BOTH_LOOPS = pytest.mark.parametrize(
    'loop_factory', [asyncio.new_event_loop, uvloop.new_event_loop]
)


class NoSocket:
    """A transport without a socket."""

    def __init__(self):
        self.is_ended = False

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, _):
        return None

    def write_eof(self):
        self.is_ended = True


def run(scenario, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(asyncio.wait_for(scenario(), 20))


@BOTH_LOOPS
def test_direction_with_nothing_to_write_ends_at_once(loop_factory):
    async def scenario():
        async with connected() as (protocol, peer):
            assert end_unless_unread(protocol.transport.transport)
            assert peer.recv(1) == b''

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_direction_stays_open_while_input_is_unread(loop_factory):
    async def scenario():
        async with connected() as (protocol, peer):
            peer.send(b'request')
            assert not end_unless_unread(protocol.transport.transport)
            protocol.transport.write(b'response')
            loop = asyncio.get_running_loop()
            assert await loop.sock_recv(peer, 100) == b'response'
            while protocol.received != b'request':
                await asyncio.sleep(0.01)

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_direction_with_a_full_buffer_stays_open_too(loop_factory):
    async def scenario():
        async with connected() as (protocol, peer):
            transport = protocol.transport.transport
            transport.pause_reading()
            transport.write(LARGE)
            peer.send(b'request')
            assert not end_unless_unread(transport)
            assert not protocol.lost.done()

    run(scenario, loop_factory)


@BOTH_LOOPS
def test_end_comes_after_what_was_written(loop_factory):
    """An end at once would cut the response."""

    async def scenario():
        async with connected() as (protocol, peer):
            transport = protocol.transport.transport
            transport.write(LARGE)
            end_writing(transport)
            loop = asyncio.get_running_loop()
            received = 0
            while chunk := await loop.sock_recv(peer, 1 << 20):
                received += len(chunk)
            assert received == len(LARGE)
            peer.shutdown(socket.SHUT_WR)
            assert await protocol.lost is None

    run(scenario, loop_factory)


@pytest.mark.parametrize('end', [end_writing, end_unless_unread])
def test_transport_without_a_socket_ends_itself(end):
    transport = NoSocket()
    end(transport)
    assert transport.is_ended
