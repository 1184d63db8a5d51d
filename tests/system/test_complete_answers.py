"""Guards against partial and foreign responses."""

import asyncio
import re
import socket
from itertools import cycle

from aiohttp import ClientError, ClientSession, TCPConnector

from standins.demo_settings import SERVICE
from tests.system.harness import until

#: More than fits into the socket buffers between upstream, proxy and caller.
STREAMED = 60_000_000
BUFFERED = 900_000
CUTS = 2


def small_socket(address):
    """Keep the kernel from receiving what the caller does not read."""
    one = socket.socket(*address[:3])
    one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return one


async def read_text(url):
    async with ClientSession() as session, session.get(url) as response:
        return await response.text()


async def leave_early(proxy, milliseconds):
    """Ask for a response and go away, mostly before its end."""
    url = f'http://{proxy}/{SERVICE}/x?size={BUFFERED}'
    call = asyncio.create_task(read_text(url))
    await asyncio.wait([call], timeout=milliseconds / 1000)
    call.cancel()


async def begin_streams(session, proxies, victim):
    """Return responses of which only the heads have been read.

    The first list holds those of the upstream ``victim``.
    """
    broken, kept = [], []
    # A stream may last longer than the service's deadline on a busy machine.
    headers = {'Crocus-Timeout-Ms': '60000'}
    while not broken or len(kept) < 2:
        url = f'http://{next(proxies)}/{SERVICE}/x?size={STREAMED}'
        response = await session.get(url, headers=headers)
        assert response.status == 200
        at_victim = response.headers['Upstream-Name'] == victim.name
        (broken if at_victim else kept).append(response)
    return broken, kept


async def ends_whole(response):
    try:
        return len(await response.read()) == STREAMED
    except ClientError:
        return False


def test_answers_are_whole_while_upstreams_and_callers_go_away(run_system):
    """A killed upstream breaks streams visibly and buffered bodies not."""

    async def scenario(system):
        victim, *others = system.layout.upstreams
        proxies = cycle([one.proxy for one in system.layout.instances])
        connector = TCPConnector(socket_factory=small_socket)
        async with system.load(), ClientSession(connector=connector) as session:
            await system.calls_made(40)
            broken, kept = await begin_streams(session, proxies, victim)
            await asyncio.gather(
                *(leave_early(next(proxies), 2 * each) for each in range(40))
            )
            await system.upstream_faults(*others, cut_body=CUTS)
            await system.calls_made(40)
            system.processes.kill(victim.name)
            await system.calls_made(80)
            kept.pop().close()
            assert not any([await ends_whole(one) for one in broken])
            assert all([await ends_whole(one) for one in kept])
        await check(system, others)

    run_system(scenario)


async def check(system, others):
    """Check what the audit can compare without the killed upstream."""
    for record in system.records():
        assert record.whole and record.own, record
        assert record.outcome in {'answered', 'failed', 'unknown'}, record

    async def idle():
        return not sum(
            [await in_flight(one) for one in system.layout.instances]
        )

    await until(idle)
    counters = [await system.counters_of(one) for one in others]
    assert any(one['cancelled'] for one in counters)
    assert all(one['cut'] == CUTS for one in counters)
    for one in counters:
        assert set(one['runs_by_key'].values()) <= {1}


async def in_flight(one):
    text = await read_text(f'http://{one.proxy_admin}/metrics')
    return float(re.search(r'^crocus_proxy_in_flight (\S+)', text, re.M)[1])
