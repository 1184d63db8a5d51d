"""Guards against connections that the pool no longer tracks."""

import asyncio
from datetime import timedelta

import pytest

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
