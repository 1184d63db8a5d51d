"""Guards against incomplete and mismatched responses."""

import asyncio
import re
import socket
from itertools import cycle

from aiohttp import ClientError, ClientSession, TCPConnector

from standins.demo_settings import SERVICE
from tests.system.harness import wait_until

#: More than the socket buffers between upstream, proxy and caller can hold.
STREAMED_BYTES = 60_000_000
BUFFERED_BYTES = 900_000
TRUNCATED_BODIES = 2


def small_socket(address):
    """Return a socket with a small receive buffer.

    The kernel then receives little that the caller has not read.
    """
    small = socket.socket(*address[:3])
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return small


async def read_text(url):
    async with ClientSession() as session, session.get(url) as response:
        return await response.text()


async def disconnect_early(proxy, milliseconds):
    """Request a response and disconnect, mostly before its end."""
    url = f'http://{proxy}/{SERVICE}/x?size={BUFFERED_BYTES}'
    call = asyncio.create_task(read_text(url))
    await asyncio.wait([call], timeout=milliseconds / 1000)
    call.cancel()


async def begin_streams(session, proxies, killed):
    """Return responses of which only the heads have been read.

    The first list holds the responses of the upstream ``killed``.
    """
    broken, intact = [], []
    # A stream may last longer than the service's deadline on a busy machine.
    headers = {'Crocus-Timeout-Ms': '60000'}
    while not broken or len(intact) < 2:
        url = f'http://{next(proxies)}/{SERVICE}/x?size={STREAMED_BYTES}'
        response = await session.get(url, headers=headers)
        assert response.status == 200
        is_from_killed = response.headers['Upstream-Name'] == killed.name
        (broken if is_from_killed else intact).append(response)
    return broken, intact


async def is_complete(response):
    try:
        return len(await response.read()) == STREAMED_BYTES
    except ClientError:
        return False


def test_responses_are_complete_while_upstreams_and_callers_disconnect(
    run_system,
):
    """Only streams of a killed upstream break, and detectably."""

    async def scenario(system):
        killed, *others = system.layout.upstreams
        proxies = cycle([one.proxy for one in system.layout.instances])
        connector = TCPConnector(socket_factory=small_socket)
        async with system.load(), ClientSession(connector=connector) as session:
            await system.wait_for_calls(40)
            broken, intact = await begin_streams(session, proxies, killed)
            await asyncio.gather(
                *(
                    disconnect_early(next(proxies), 2 * each)
                    for each in range(40)
                )
            )
            await system.upstream_faults(*others, cut_body=TRUNCATED_BODIES)
            await system.wait_for_calls(40)
            system.processes.kill(killed.name)
            await system.wait_for_calls(80)
            intact.pop().close()
            assert not any([await is_complete(one) for one in broken])
            assert all([await is_complete(one) for one in intact])
        await check_results(system, others)

    run_system(scenario)


async def check_results(system, others):
    """Check the counters of the remaining upstreams and all records."""
    for record in system.records():
        assert record.is_complete and record.matches_request, record
        assert record.outcome in {'answered', 'failed', 'unknown'}, record

    async def idle():
        return not sum(
            [await in_flight(one) for one in system.layout.instances]
        )

    await wait_until(idle)
    counters = [await system.counters_of(one) for one in others]
    assert any(one['cancelled'] for one in counters)
    assert all(one['cut'] == TRUNCATED_BODIES for one in counters)
    for one in counters:
        assert set(one['runs_by_key'].values()) <= {1}


async def in_flight(one):
    text = await read_text(f'http://{one.proxy_admin}/metrics')
    return float(re.search(r'^crocus_proxy_in_flight (\S+)', text, re.M)[1])
