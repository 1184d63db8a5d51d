"""Guards against a process that does not end because others still read."""

import asyncio

from aiohttp import ClientSession, web

from crocusproxy.entry.listeners import Listeners
from crocusproxy.platform.directory import PATHS
from crocusproxy.settings import Listen
from standins.processes import free_ports

LONG_READ_SECONDS = 20


def test_long_read_of_another_instance_does_not_delay_the_end():
    """A relayed read of the store waits for news (soak seeds 25 and 31)."""

    async def read(_):
        await asyncio.sleep(LONG_READ_SECONDS)
        return web.Response()

    async def scenario():
        listeners = Listeners(PATHS, lambda: None, lambda: '')
        (port,) = free_ports(1)
        await listeners.add(Listen('127.0.0.1', port), [web.get('/read', read)])
        async with ClientSession() as session:
            reading = asyncio.create_task(
                session.get(f'http://127.0.0.1:{port}/read')
            )
            await asyncio.sleep(0.1)
            async with asyncio.timeout(LONG_READ_SECONDS / 4):
                await listeners.close()
            await asyncio.gather(reading, return_exceptions=True)

    asyncio.run(scenario())
