"""Guards against relayed reads that are misread or raise errors."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

from aiohttp import web
from aiohttp.test_utils import TestServer

from crocusproxy.platform.relay import StoreRelay
from crocusproxy.platform.store_records import StorePosition

from .running_client import running_client

TOPIC = 'keyed.op'


@asynccontextmanager
async def running_relay(store, client):
    relay = StoreRelay(client.session, store.address, timedelta(seconds=1))
    application = web.Application()
    application.add_routes(relay.routes())
    server = TestServer(application)
    await server.start_server()
    yield server
    await server.close()


def test_relay_passes_on_the_incarnation():
    async def scenario():
        async with (
            running_client() as (store, client),
            running_relay(store, client) as server,
        ):
            store.incarnation = 7
            client.paths.relay = f'{server.host}:{server.port}'
            page = await client.newest(TOPIC)
            assert page.end == StorePosition(7, 0)

    asyncio.run(scenario())


def test_relay_refuses_a_wait_that_is_no_number():
    """It raised an error, which the reader took for a failure of the store."""

    async def scenario():
        async with (
            running_client() as (store, client),
            running_relay(store, client) as server,
        ):
            url = '/store/-/log-read?Topic=t&part=0&WaitMs=x'
            async with client.session.get(server.make_url(url)) as response:
                assert response.status == 400
            assert store.calls == 0

    asyncio.run(scenario())
