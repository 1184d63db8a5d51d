"""Guards against connections that the pool no longer tracks."""

import asyncio
import time
from datetime import timedelta

import pytest

from crocusproxy.proxy.connection import MAX_REFUSALS
from crocusproxy.proxy.pool import ConnectionPool, NotOpenedError
from tests.event_loop.observed_loop import run

REQUEST = b'GET / HTTP/1.1\r\nHost: u\r\n\r\n'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def answer(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(RESPONSE)


def test_closing_idle_connections_keeps_an_address_being_connected():
    """Otherwise the release of the new connection fails after the response.

    The caller would receive internal_error for a request that has run.
    """

    async def scenario():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        pool = ConnectionPool(timedelta(seconds=5), timedelta(seconds=5))
        opening = asyncio.create_task(pool.open(address, 5))
        await asyncio.sleep(0)
        assert not opening.done()
        pool.close_idle()
        connection = await opening
        await connection.send(REQUEST, expects_body=True, timeout=5)
        assert await connection.payload.read() == b'ok'
        pool.release(address, connection)
        assert pool.take_idle(address, 'r1') is connection
        pool.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'address', ['127.0.0.1:70000', '127.0.0.1:-1', '...:80', 'a:b', ':']
)
def test_invalid_address_is_reported_as_not_opened(address):
    """It raised other errors, which ended the task of the request."""

    async def scenario():
        pool = ConnectionPool(timedelta(seconds=1), timedelta(seconds=1))
        with pytest.raises(NotOpenedError):
            await pool.open(address, 1)
        pool.close()

    asyncio.run(scenario())


async def answer_all(reader, writer):
    while await reader.readuntil(b'\r\n\r\n'):
        writer.write(RESPONSE)


async def exchange(pool, connection, address, request_id, *, is_refused):
    connection.last_request_id = request_id
    await connection.send(REQUEST, expects_body=True, timeout=5)
    await connection.payload.read()
    if is_refused:
        connection.record_refusal(has_id=True)
    pool.release(address, connection)


def run_pool_scenario(scenario):
    """Run ``scenario`` with a pool, an address and a connection to it."""

    async def run():
        pool = ConnectionPool(timedelta(seconds=5), timedelta(seconds=5))
        server = await asyncio.start_server(answer_all, '127.0.0.1', 0)
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        await scenario(pool, address, await pool.open(address, 5))
        pool.close()
        server.close()

    asyncio.run(run())


def test_connection_is_not_reused_for_a_request_that_was_refused_on_it():
    """A late copy of the refusal would be the answer to its second attempt.

    Another request in between, or another upstream at the address, hid that
    the connection had carried it before.
    """

    async def scenario(pool, address, connection):
        await exchange(pool, connection, address, 'r1', is_refused=True)
        await exchange(pool, connection, address, 'r2', is_refused=False)
        assert pool.take_idle(address, 'r1') is None
        assert connection.is_aborted

    run_pool_scenario(scenario)


def test_connection_with_many_refusals_is_closed():
    """The ids of refused requests would use memory without bound."""

    async def scenario(pool, address, connection):
        for number in range(MAX_REFUSALS):
            assert not connection.is_aborted
            request_id = f'r{number}'
            await exchange(
                pool, connection, address, request_id, is_refused=True
            )
        assert connection.is_aborted

    run_pool_scenario(scenario)


PAUSE_SECONDS = 0.4
CONNECT_SECONDS = 0.25


def open_paused(timeout, limit):
    """Open a connection while the process pauses.

    The way to the peer takes 0.15 s, as a far one, simulated in the loop.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, '127.0.0.1', 0)
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        create = loop.create_connection

        async def create_slowly(*args, **options):
            await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            return await create(*args, **options)

        loop.create_connection = create_slowly
        pool = ConnectionPool(timedelta(seconds=5), timedelta(seconds=5))
        loop.call_later(0.02, time.sleep, PAUSE_SECONDS)
        try:
            return await pool.open(address, timeout, limit)
        finally:
            pool.close()
            server.close()

    return run(scenario)


def test_own_pause_does_not_count_against_a_peer_that_accepts():
    """It "timed out", and no other upstream was left."""
    open_paused(CONNECT_SECONDS, 5)


def test_own_pause_does_not_extend_the_deadline_of_a_caller():
    with pytest.raises(NotOpenedError):
        open_paused(CONNECT_SECONDS, CONNECT_SECONDS)


def test_peer_that_does_not_accept_is_given_up_in_time():
    async def scenario():
        loop = asyncio.get_running_loop()

        async def never(*_, **options):
            await loop.create_future()

        loop.create_connection = never
        pool = ConnectionPool(timedelta(seconds=5), timedelta(seconds=5))
        started_at = loop.time()
        with pytest.raises(NotOpenedError):
            await pool.open('127.0.0.1:1', 0.1)
        return loop.time() - started_at

    assert run(scenario) < 0.2
