"""Guards against own pauses that count against the store."""

import asyncio
import time
from datetime import timedelta

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.platform.relay import StoreRelay
from crocusproxy.platform.store import StoreClient
from tests.event_loop.observed_loop import run
from tests.event_loop.remote_peer import BODY, RESPONSE, remote_peer

PAUSE_SECONDS = 0.5
TIMEOUT = timedelta(seconds=0.35)
RESPONSE_SECONDS = 0.06
LISTING = '/-/log-newest'


def respond(connection):
    time.sleep(RESPONSE_SECONDS)
    connection.sendall(RESPONSE)


def ignore(connection):
    """Respond too late."""
    time.sleep(3 * TIMEOUT.total_seconds())


async def paused(call):
    """Start a call, and pause before its request is sent."""
    task = asyncio.create_task(call)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    time.sleep(PAUSE_SECONDS)
    return await task


def read(address, relays=tuple, pause=paused):
    async def scenario():
        async with ClientSession() as session:
            client = StoreClient(session, address, TIMEOUT, relays)
            response = await pause(client.paths.get(LISTING, {}, timedelta()))
            return response.body, client.paths.relay

    return run(scenario)


def test_store_that_answers_in_time_has_not_timed_out():
    """A reader held an old configuration for seconds after a pause."""
    with remote_peer(respond) as address:
        assert read(address)[0] == BODY


def test_path_is_not_given_up_for_an_own_pause():
    with remote_peer(respond) as address, remote_peer(respond) as relay:
        assert read(address, lambda: (relay,)) == (BODY, '')


def test_record_that_the_store_confirms_in_time_is_written():
    async def scenario(address):
        async with ClientSession() as session:
            client = StoreClient(session, address, TIMEOUT)
            await paused(client.put('keyed.op', 'key', b'content'))

    with remote_peer(respond) as address:
        run(lambda: scenario(address))


def test_relay_passes_on_what_the_store_answers_in_time():
    async def scenario(address):
        async with ClientSession() as session:
            relay = StoreRelay(session, address, TIMEOUT)
            application = web.Application()
            application.add_routes(relay.routes())
            server = TestServer(application)
            await server.start_server()
            loop = asyncio.get_running_loop()
            create = loop.create_connection

            async def pause_to_the_store(factory, *args, **options):
                time.sleep(PAUSE_SECONDS)
                return await create(factory, *args, **options)

            url = server.make_url('/store/-/log-newest')
            async with session.get(server.make_url('/store/-/x')) as response:
                assert response.status == 403
            # The connection to the relay is kept, so this is that to the store.
            loop.create_connection = pause_to_the_store
            async with session.get(url) as response:
                assert await response.read() == BODY
            await server.close()

    with remote_peer(respond) as address:
        run(lambda: scenario(address))


async def unpaused(call):
    return await call


def test_silent_store_is_noticed_in_time():
    with remote_peer(ignore) as address:
        started_at = time.monotonic()
        with pytest.raises(PlatformUnavailableError):
            read(address, pause=unpaused)
        assert time.monotonic() - started_at < TIMEOUT.total_seconds() + 0.3


def test_silent_store_is_noticed_after_a_pause():
    with remote_peer(ignore) as address:
        with pytest.raises(PlatformUnavailableError):
            read(address)
