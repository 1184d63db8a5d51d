"""Guards against connections that the pool no longer tracks."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.proxy.connection import MAX_REFUSALS
from crocusproxy.proxy.pool import ConnectionPool, NotOpenedError

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
