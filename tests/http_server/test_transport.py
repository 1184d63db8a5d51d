"""Guards against connections that fail or stay open after their end."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from datetime import timedelta

from crocusproxy.http_server import response_delivery
from crocusproxy.http_server.transport import DeliveringTransport

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Protocol(asyncio.Protocol):
    def __init__(self, made):
        self.made = made
        self.lost = asyncio.get_running_loop().create_future()
        self.received = b''

    def connection_made(self, transport):
        loop = asyncio.get_running_loop()
        self.transport = DeliveringTransport(transport, loop)
        self.made.set_result(self)

    def data_received(self, data):
        self.received += data

    def connection_lost(self, exc):
        self.lost.set_result(exc)


@asynccontextmanager
async def connected():
    """Yield the server's side of a connection and the peer's socket."""
    loop = asyncio.get_running_loop()
    made = loop.create_future()
    server = await loop.create_server(lambda: Protocol(made), '127.0.0.1', 0)
    peer = socket.create_connection(server.sockets[0].getsockname())
    peer.setblocking(False)
    yield await made, peer
    peer.close()
    server.close()


async def test_close_in_the_step_of_a_reset_raises_no_error():
    async with connected() as (protocol, peer):
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        peer.close()
        protocol.transport.close()
        await protocol.lost


async def test_connection_closes_with_a_peer_whose_input_was_paused():
    """A transport that does not read misses that the peer has closed."""
    async with connected() as (protocol, peer):
        protocol.transport.pause_reading()
        peer.send(b'request')
        protocol.transport.write(b'response')
        protocol.transport.close()
        assert protocol.transport.is_closing()
        loop = asyncio.get_running_loop()
        assert await loop.sock_recv(peer, 100) == b'response'
        assert await loop.sock_recv(peer, 100) == b''
        assert not protocol.transport.is_delivered()
        peer.shutdown(socket.SHUT_WR)
        assert await protocol.lost is None
        assert protocol.received == b'request'
        assert protocol.transport.is_delivered()


async def test_connection_closes_without_a_close_of_the_peer(monkeypatch):
    monkeypatch.setattr(
        response_delivery, 'LINGER_LIMIT', timedelta(seconds=0.2)
    )
    async with connected() as (protocol, _):
        protocol.transport.close()
        assert await protocol.lost is None
