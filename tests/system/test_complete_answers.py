"""Guards against partial and foreign responses."""

import asyncio
import socket
from itertools import cycle

from aiohttp import ClientError, ClientSession, TCPConnector

from standins.demo_settings import SERVICE
from tests.system.harness import until

#: More than fits into the socket buffers between upstream, proxy and caller.
STREAMED = 60_000_000
BUFFERED = 900_000


async def leave_early(system, proxy, seed):
    """Ask for a response and go away before its end."""
    url = f'http://{proxy}/{SERVICE}/x?size={BUFFERED}'
    call = asyncio.create_task(get_status(url))
    await asyncio.wait([call], timeout=0.002 * seed)
    call.cancel()


async def get_status(url):
    async with ClientSession() as session, session.get(url) as response:
        await response.read()
        return response.status


def small_socket(address):
    """Keep the kernel from receiving what the caller does not read."""
    one = socket.socket(*address[:3])
    one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return one


async def begin_streams(session, proxies, victim):
    """Return responses of which only the heads have been read.

    The first list holds those of the upstream ``victim``.
    """
    broken, kept = [], []
    while not broken or not kept:
        url = f'http://{next(proxies)}/{SERVICE}/x?size={STREAMED}'
        response = await session.get(url)
        assert response.status == 200
        at_victim = response.headers['Upstream-Name'] == victim.name
        (broken if at_victim else kept).append(response)
    return broken, kept


async def ends_whole(response):
    try:
        return len(await response.read()) == STREAMED
    except ClientError:
        return False


async def in_flight(system):
    found = 0
    for one in system.layout.instances:
        text = await read_text(f'http://{one.proxy_admin}/metrics')
        (line,) = [
            each
            for each in text.splitlines()
            if each.startswith('crocus_proxy_in_flight ')
        ]
        found += float(line.split()[1])
    return found


async def read_text(url):
    async with ClientSession() as session, session.get(url) as response:
        return await response.text()


def test_answers_are_whole_while_upstreams_and_callers_go_away(run_system):
    """A killed upstream breaks streams visibly and buffered bodies not."""

    async def scenario(system):
        victim, *others = system.layout.upstreams
        proxies = [one.proxy for one in system.layout.instances]
        connector = TCPConnector(socket_factory=small_socket)
        async with system.load(), ClientSession(connector=connector) as session:
            await system.calls_made(40)
            broken, kept = await begin_streams(session, cycle(proxies), victim)
            early = [
                leave_early(system, proxies[number % len(proxies)], number)
                for number in range(40)
            ]
            await asyncio.gather(*early)
            for one in others:
                await system.upstream_faults(one, cut_body=2)
            await system.calls_made(40)
            system.processes.kill(victim.name)
            await system.calls_made(80)
            assert not any([await ends_whole(one) for one in broken])
            assert all([await ends_whole(one) for one in kept])
        await check(system, victim, others)

    run_system(scenario)


async def check(system, victim, others):
    """All but what the killed upstream and the cuts broke was answered."""
    for record in system.records():
        assert record.whole and record.own, record
        assert record.outcome in {'answered', 'failed', 'unknown'}, record
    await until(lambda: _is_idle(system))
    counters = [await system.counters_of(one) for one in others]
    assert sum(one['cancelled'] for one in counters)
    assert sum(one['cut'] for one in counters) == 2 * len(others)
    for one in counters:
        assert all(runs == 1 for runs in one['runs_by_key'].values())


async def _is_idle(system):
    return not await in_flight(system)
