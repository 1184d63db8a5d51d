"""Tests for fault injection on a link and the recovery after it."""

import asyncio
import fcntl
import socket
import struct
import termios

import pytest

from soak.distant_link import DistantLink
from soak.link import (
    DELAY_SECONDS,
    Link,
    LinkFault,
    connect_with_window,
    reset,
)

DISTANCE = 0.02
WINDOW = 4096


async def echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


def run_scenario(scenario):
    async def run():
        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await Link(f'127.0.0.1:{port}').start()
        try:
            return await scenario(link)
        finally:
            await link.stop()
            server.close()

    return asyncio.run(run())


async def connect(link):
    host, _, port = link.address.rpartition(':')
    return await asyncio.open_connection(host, port)


async def exchange(connection, timeout_seconds=0.3):
    reader, writer = connection
    writer.write(b'x')
    async with asyncio.timeout(timeout_seconds):
        return await reader.read(1)


def test_bytes_pass_in_both_directions():
    async def scenario(link):
        return await exchange(await connect(link))

    assert run_scenario(scenario) == b'x'


def test_delay_postpones_bytes():
    async def scenario(link):
        link.apply(LinkFault.DELAYED)
        started_at = asyncio.get_running_loop().time()
        assert await exchange(await connect(link), 2) == b'x'
        assert asyncio.get_running_loop().time() - started_at >= DELAY_SECONDS

    run_scenario(scenario)


@pytest.mark.parametrize('fault', [LinkFault.SILENT, LinkFault.ONE_WAY])
def test_connection_with_dropped_bytes_stays_silent(fault):
    async def scenario(link):
        connection = await connect(link)
        await exchange(connection)
        link.apply(fault)
        with pytest.raises(TimeoutError):
            await exchange(connection)
        link.apply(LinkFault.NONE)
        with pytest.raises(TimeoutError):
            await exchange(connection)
        assert await exchange(await connect(link)) == b'x'

    run_scenario(scenario)


def test_reset_aborts_open_and_new_connections():
    async def scenario(link):
        connection = await connect(link)
        await exchange(connection)
        link.apply(LinkFault.RESET)
        with pytest.raises(ConnectionError):
            await exchange(connection)
        with pytest.raises(ConnectionError):
            await exchange(await connect(link))

    run_scenario(scenario)


def run_distant_scenario(serve, scenario):
    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await DistantLink(f'127.0.0.1:{port}', DISTANCE, WINDOW).start()
        try:
            return await scenario(link)
        finally:
            await link.stop()
            server.close()

    return asyncio.run(run())


def test_distant_link_delays_each_way():
    async def scenario(link):
        started_at = asyncio.get_running_loop().time()
        assert await exchange(await connect(link), 2) == b'x'
        assert asyncio.get_running_loop().time() - started_at >= 2 * DISTANCE

    run_distant_scenario(echo, scenario)


def test_distant_link_ends_each_direction_for_itself():
    """A full close at the first end would lose what is still under way."""

    async def serve(reader, writer):
        writer.write_eof()
        received.append(await reader.read())
        writer.close()

    async def scenario(link):
        reader, writer = await connect(link)
        assert await reader.read() == b''
        writer.write(b'late')
        writer.write_eof()
        while not received:
            await asyncio.sleep(0.01)
        writer.close()

    received = []
    run_distant_scenario(serve, scenario)
    assert received == [b'late']


def test_distant_link_passes_on_a_reset():
    """A caller would take a response that was cut for a whole one."""

    async def serve(reader, writer):
        await reader.read(1)
        reset(writer)

    async def scenario(link):
        connection = await connect(link)
        with pytest.raises(ConnectionError):
            await exchange(connection, 2)

    run_distant_scenario(serve, scenario)


def test_link_delivers_what_was_sent_before_the_end_of_one_direction():
    """The link reset a caller that sent on, as if an instance had done so."""
    body = b'x' * 300_000

    async def serve(reader, writer):
        await reader.read(1)
        writer.write(body)
        writer.write_eof()
        # As an instance does: the caller may send until it has read all.
        await reader.read()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await Link(f'127.0.0.1:{port}').start()
        reader, writer = await connect_with_window(link.address, WINDOW)
        writer.write(b'x')
        await asyncio.sleep(DISTANCE * 10)
        writer.write(b'next')
        await asyncio.sleep(DISTANCE * 5)
        received = await reader.read()
        writer.close()
        await link.stop()
        server.close()
        return received

    assert asyncio.run(run()) == body


def test_reset_of_one_side_reaches_the_other_as_a_reset():
    """It arrived as an orderly end, which a lost response looks unlike."""

    async def serve(reader, writer):
        await reader.read(1)
        reset(writer)

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = await Link(f'127.0.0.1:{port}').start()
        try:
            with pytest.raises(ConnectionResetError):
                await exchange(await connect(link))
        finally:
            await link.stop()
            server.close()

    asyncio.run(run())


def outstanding_bytes(connection):
    size = struct.pack('i', 0)
    return struct.unpack('i', fcntl.ioctl(connection, termios.TIOCOUTQ, size))[
        0
    ]


def test_distant_link_delivers_what_it_acknowledged_before_a_reset():
    """The link lost a response that its instance took as delivered.

    An instance ends a connection once its peer has acknowledged the responses.
    Seen as "cut off after it was passed on" with seed 5105.
    """
    body = b'x' * 150_000
    delivered = asyncio.Event()

    async def serve(reader, writer):
        await reader.read(1)
        writer.transport.set_write_buffer_limits(0)
        writer.write(body)
        await writer.drain()
        connection = writer.get_extra_info('socket')
        while outstanding_bytes(connection):
            await asyncio.sleep(0.01)
        # As on a request that arrives after the connection has ended.
        reset(writer)
        delivered.set()

    async def scenario(link):
        loop = asyncio.get_running_loop()
        host, _, port = link.address.rpartition(':')
        received = b''
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
            connection.setblocking(False)
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, b'x')
            with pytest.raises(ConnectionResetError):
                while chunk := await loop.sock_recv(connection, 1000):
                    received += chunk
                    await asyncio.sleep(0.001)
        assert delivered.is_set()
        return received

    assert len(run_distant_scenario(serve, scenario)) == len(body)
