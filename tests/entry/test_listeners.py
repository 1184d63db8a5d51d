"""Guards against a shutdown that waits for long polls of other instances."""

import asyncio

from aiohttp import ClientSession, web

from crocusproxy.entry.listeners import Listeners
from crocusproxy.platform.directory import DIRECTORY_API
from crocusproxy.settings import Listen
from standins.processes import free_ports

LONG_POLL_SECONDS = 20


def test_long_poll_of_another_instance_does_not_delay_shutdown():
    """A relayed read of the store is a long poll (soak seeds 25 and 31)."""

    async def read(_):
        await asyncio.sleep(LONG_POLL_SECONDS)
        return web.Response()

    async def scenario():
        listeners = Listeners(DIRECTORY_API, lambda: None, lambda: '')
        (port,) = free_ports(1)
        await listeners.add(Listen('127.0.0.1', port), [web.get('/read', read)])
        async with ClientSession() as session:
            read_task = asyncio.create_task(
                session.get(f'http://127.0.0.1:{port}/read')
            )
            await asyncio.sleep(0.1)
            async with asyncio.timeout(LONG_POLL_SECONDS / 4):
                await listeners.close()
            await asyncio.gather(read_task, return_exceptions=True)

    asyncio.run(scenario())
