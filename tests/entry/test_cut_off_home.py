"""Guards against callers that are bound to a home without upstreams."""

import asyncio
import time

import pytest

from standins.slot_server import SlotServer

from .test_process import register, run_instances

#: A home that can't reach upstreams is replaced within this time.
HANDOVER_SECONDS = 2.0


async def add_servers(store, count):
    servers = []
    for number in range(count):
        server = await SlotServer(f'more-{number}', work=0.01).start()
        register(store, server, f's{number % 2 + 1}')
        servers.append(server)
    await asyncio.sleep(1)
    return servers


async def send_steadily(instance, seconds, width):
    """Send ``width`` requests at once, again and again; return the statuses."""
    statuses = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        number = len(statuses)
        responses = await asyncio.gather(
            *(
                instance.send_request(f'{instance.name}-{number + one}')
                for one in range(width)
            )
        )
        statuses.extend(status for status, _ in responses)
        await asyncio.sleep(0.02)
    return statuses


async def find_home(instances):
    (address,) = await instances[0].addresses()
    (home,) = [
        one for one in instances if address.endswith(f':{one.ports["callers"]}')
    ]
    return home


@pytest.mark.parametrize('keeps_open', [False, True])
def test_home_without_upstreams_is_replaced_by_an_instance_that_has_them(
    tmp_path, keeps_open
):
    async def scenario(store, *instances):
        servers = await add_servers(store, 6)
        home = await find_home(instances)
        others = [one for one in instances if one is not home]
        await send_steadily(home, 0.5, width=1)
        for cut_instance in (home, others[0]):
            for server in (*servers, *store.first_servers):
                server.cut_off(cut_instance.source, keeps_open=keeps_open)
        # More requests at once need new connections.
        await send_steadily(home, HANDOVER_SECONDS, width=6)
        # Callers that keep the address of the home, and those that ask again.
        assert set(await send_steadily(home, 1, width=6)) == {200}
        assert await find_home(instances) is others[1]
        assert set(await send_steadily(others[1], 0.5, width=6)) == {200}
        for server in servers:
            server.stop()

    run_instances(tmp_path, scenario, count=3)


def most_in(times, seconds):
    """Return the highest number of ``times`` within any ``seconds``."""
    return max(
        sum(start <= time < start + seconds for time in times)
        for start in times
    )


def test_handover_keeps_the_rate_limit_that_an_upstream_states(tmp_path):
    """Both instances would otherwise spend the whole limit."""

    async def scenario(store, *instances):
        servers = await add_servers(store, 6)
        limited = servers[0]
        limited.terms = ('Server-Limit: 2',)
        home = await find_home(instances)
        await send_steadily(home, 3, width=4)
        told_at = len(limited.arrival_times) // 2
        for server in (*servers, *store.first_servers):
            server.cut_off(home.source)
        await send_steadily(home, 4, width=4)
        assert await find_home(instances) is not home
        # One and a half times the limit, and five.
        assert most_in(limited.arrival_times[told_at:], 4) <= 1.5 * 2 * 4 + 5
        for server in servers:
            server.stop()

    run_instances(tmp_path, scenario, count=3)
