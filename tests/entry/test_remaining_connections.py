"""Guards against responses that are lost because the process ends."""

import asyncio
import fcntl
import os
import socket
import struct
import termios
from multiprocessing import get_context

import pytest

from crocusproxy.entry.remaining_connections import discard_input

RESPONSE = b'.' * 12_000
TIMEOUT_SECONDS = 30


def respond_and_end(pipe, *, discards):
    """End with a response on its way and input that nobody has read."""

    async def scenario():
        accepted = asyncio.get_running_loop().create_future()

        class Connection(asyncio.Protocol):
            def connection_made(self, transport):
                transport.pause_reading()
                transport.write(RESPONSE)
                accepted.set_result(transport)

        server = await asyncio.get_running_loop().create_server(
            Connection, '127.0.0.1', 0
        )
        pipe.send(server.sockets[0].getsockname())
        transport = await accepted
        connection = transport.get_extra_info('socket')
        while transport.get_write_buffer_size() or not unread_bytes(connection):
            await asyncio.sleep(0.01)
        if discards:
            discard_input(transport)
        os._exit(0)

    asyncio.run(scenario())


def unread_bytes(connection):
    length = fcntl.ioctl(connection.fileno(), termios.FIONREAD, bytes(4))
    return struct.unpack('i', length)[0]


def receive_after_end(*, discards):
    """Return what a caller receives that reads after the process has ended."""
    context = get_context('spawn')
    receiver, sender = context.Pipe()
    child = context.Process(
        target=respond_and_end, args=(sender,), kwargs={'discards': discards}
    )
    child.start()
    with socket.socket() as caller:
        # The rest of the response stays in the send queue of the other side.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(TIMEOUT_SECONDS)
        caller.connect(receiver.recv())
        caller.sendall(b'GET / HTTP/1.1\r\n')
        child.join(TIMEOUT_SECONDS)
        assert child.exitcode == 0
        with caller.makefile('rb') as stream:
            return stream.read()


def test_response_is_delivered_after_the_process_has_ended():
    assert receive_after_end(discards=True) == RESPONSE


def test_unread_input_resets_the_connection():
    """The kernel's behaviour that ``discard_input`` is for."""
    with pytest.raises(ConnectionResetError):
        receive_after_end(discards=False)
