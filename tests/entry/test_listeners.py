"""Guards against a shutdown that waits for long polls of other instances."""

import asyncio
from datetime import timedelta

from aiohttp import ClientSession, web

from crocusproxy.entry.listeners import AddressList, Listeners
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


def test_ports_close_at_the_same_time():
    """Each port with a long poll added 0.1 s to the end of the process."""

    class Runner:
        async def cleanup(self):
            await barrier.wait()

    async def scenario():
        listeners = Listeners(DIRECTORY_API, lambda: None, lambda: '')
        listeners.runners = [Runner() for _ in range(barrier.parties)]
        async with asyncio.timeout(LONG_POLL_SECONDS):
            await listeners.close()

    barrier = asyncio.Barrier(3)
    asyncio.run(scenario())


def query_directory(addresses):
    """Return the status and body of a query by a caller in ``b``."""

    async def scenario():
        listeners = Listeners(DIRECTORY_API, addresses, lambda: '')
        directory, readiness = free_ports(2)
        await listeners.open(
            Listen('127.0.0.1', directory), Listen('127.0.0.1', readiness)
        )
        async with (
            ClientSession() as session,
            session.get(
                f'http://127.0.0.1:{directory}/-/resolve?Name=a.example&Zone=b'
            ) as response,
        ):
            result = response.status, await response.json()
        await listeners.close()
        return result

    return asyncio.run(scenario())


def test_caller_gets_the_address_for_its_failure_domain():
    async def find_addresses(failure_domain):
        return AddressList((f'home-{failure_domain}',), timedelta(seconds=2))

    status, body = query_directory(find_addresses)
    assert (status, body['Addresses']) == (200, ['home-b'])


def test_caller_gets_no_address_without_a_home():
    """It would keep that of an instance that can't serve yet."""

    async def find_addresses(_):
        return AddressList((), timedelta(seconds=2))

    assert query_directory(find_addresses)[0] == 503
