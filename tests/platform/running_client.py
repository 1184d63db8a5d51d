"""A stand-in store and a client of it."""

from contextlib import asynccontextmanager
from datetime import timedelta

from aiohttp import ClientSession

from crocusproxy.platform.store import StoreClient
from standins.store import StandInStore


@asynccontextmanager
async def running_client(relays=tuple, clock=None):
    store = await StandInStore().start()
    async with ClientSession() as session:
        client = StoreClient(
            session,
            store.address,
            timedelta(seconds=2),
            relays,
            clock=clock,
        )
        yield store, client
    await store.stop()
