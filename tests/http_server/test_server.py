"""Guards against ports of a daemon that cut what a peer still reads."""

import asyncio
from datetime import timedelta

from aiohttp import web

from crocusproxy.application import serve
from standins.scripted import read_message
from tests.proxy.harness import request
from tests.proxy.slow_caller import connect_slow

BODY = b'x' * 30_000
CLOSE_TIMEOUT = timedelta(milliseconds=100)
LATE_SECONDS = 0.3


async def respond(_):
    return web.Response(body=BODY)


async def serve_body():
    application = web.Application()
    application.add_routes([web.get('/body', respond)])
    runner = await serve(application, '127.0.0.1', 0, CLOSE_TIMEOUT)
    return runner, runner.addresses[0][1]


async def test_closed_port_delivers_a_response_to_a_peer_that_sends_on():
    """The kernel discarded the rest of the response."""
    runner, port = await serve_body()
    reader, writer = await connect_slow(port)
    writer.write(request(b'GET /body'))
    await asyncio.sleep(LATE_SECONDS)
    await runner.cleanup()
    writer.write(request(b'GET /body'))
    await writer.drain()
    await asyncio.sleep(LATE_SECONDS)
    assert (await read_message(reader)).body == BODY
    assert await reader.read() == b''


async def test_closed_port_delivers_a_response_to_a_peer_that_only_reads():
    runner, port = await serve_body()
    reader, writer = await connect_slow(port)
    writer.write(request(b'GET /body'))
    await asyncio.sleep(LATE_SECONDS)
    await runner.cleanup()
    await asyncio.sleep(LATE_SECONDS)
    assert (await read_message(reader)).body == BODY
    writer.close()
