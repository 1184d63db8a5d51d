"""Guards against requests to evacuated upstreams, and against cut ones.

Also guards against taking the shutdown of evacuated upstreams for a fault.
"""

import asyncio

from crocusproxy.entry.home_forwarder import HomeForwarder
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream

from .harness import GatewaySystem, make_server, run_scenario
from .test_loss_of_upstreams import crash
from .test_overflow import use_domain_homes, with_neighbor


def place_in(system, server, failure_domain):
    """Register a server in a failure domain."""
    entry = RegisteredUpstream(
        server.key,
        's',
        server.address,
        failure_domain,
        server.slots,
        False,
        1,
        2,
    )
    system.catalog.apply_change(UpstreamChange(server.key, entry))


def evacuate(system, *failure_domains):
    system.catalog.apply_evacuated(failure_domains)


async def send_steadily(system, name, count):
    """Send requests 5 ms apart; return the tasks."""
    tasks = []
    for number in range(count):
        request = system.request(f'{name}-{number}')
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(0.005)
    return tasks


def test_no_request_starts_after_an_evacuation_and_none_in_flight_is_cut():
    async def scenario(system):
        first, second = system.servers
        place_in(system, second, 'b')
        tasks = await send_steadily(system, 'before', 20)
        evacuate(system, 'a')
        assert first.running
        runs_before = list(first.runs)
        tasks += await send_steadily(system, 'after', 20)
        statuses = {(await task)[0] for task in tasks}
        assert statuses == {200}
        assert first.runs == runs_before
        assert first.closed_while_running == 0
        evacuate(system)
        await asyncio.gather(*await send_steadily(system, 'back', 20))
        assert len(first.runs) > len(runs_before)

    servers = [make_server(f'i-{n}', slots=20, work=0.1) for n in range(2)]
    run_scenario(scenario, servers)


def test_request_whose_connection_is_being_opened_goes_elsewhere():
    """It was placed before the evacuation and would be sent after it."""

    async def scenario(system):
        first, second = system.servers
        place_in(system, second, 'b')
        placer = system.dispatcher.placer('s')
        placer.upstreams['i-0'].is_remote = False
        open_connection = system.pool.take_or_open

        async def open_slowly(*args, **options):
            connection = await open_connection(*args, **options)
            await asyncio.sleep(0.1)
            return connection

        system.pool.take_or_open = open_slowly
        task = asyncio.create_task(system.request('r1', '/once/x', 'POST'))
        await asyncio.sleep(0.05)
        evacuate(system, 'a')
        assert (await task)[0] == 200
        assert not first.runs
        assert second.runs == ['r1']

    run_scenario(scenario, [make_server(f'i-{n}') for n in range(2)])


def test_shutdown_of_evacuated_upstreams_is_no_loss_and_no_crash():
    """Equal requests in flight there were refused for ten minutes."""

    async def scenario(system):
        *evacuated, last = system.servers
        place_in(system, last, 'b')
        tasks = await send_steadily(system, 'before', 12)
        evacuate(system, 'a')
        for server in evacuated:
            crash(server)
        await asyncio.gather(*tasks)
        assert not system.crash_watch.tracker.suspects
        assert not system.crash_watch.tracker.confirmed_until
        assert not system.reach.unreached()
        assert not system.reach.is_doubtful()
        tasks = await send_steadily(system, 'after', 12)
        assert {(await task)[0] for task in tasks} == {200}

    servers = [make_server(f'i-{n}', slots=9, work=0.1) for n in range(5)]
    run_scenario(scenario, servers)


def test_silence_before_an_evacuation_ends_with_it():
    """Requests would be refused as if this instance were cut off."""

    async def scenario(system):
        for server in system.servers:
            server.cut_off('127.0.0.1')
        for number in range(8):
            await system.request(f'r{number}', deadline_ms=50)
        assert system.reach.silent_since is not None
        evacuate(system, 'a')
        assert system.reach.silent_since is None
        evacuate(system)
        assert len(system.reach.addresses) == 4

    run_scenario(scenario, [make_server(f'i-{n}') for n in range(4)])


def test_waiting_request_overflows_if_no_upstream_is_left():
    async def scenario(system, neighbor):
        place_in(neighbor, neighbor.servers[0], 'b')
        running = asyncio.create_task(system.request('r1'))
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(system.request('r2'))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        evacuate(system, 'a')
        assert (await waiting)[0] == (await running)[0] == 200
        assert system.servers[0].runs == ['r1']
        assert neighbor.servers[0].runs == ['r2']

    with_neighbor(scenario)


def test_forwarded_request_overflows_until_another_home_is_assigned():
    """The home needs a moment after the evacuation to assign callers."""

    async def scenario(system, neighbor):
        place_in(neighbor, neighbor.servers[0], 'b')
        other = await GatewaySystem().start()
        other.gateway.request_server.forwarder = HomeForwarder(
            other.pool, other.messages, other.clock, lambda _: system.address
        )
        use_domain_homes(system, neighbor.address)
        evacuate(system, 'a')
        assert (await other.request('r1'))[0] == 200
        assert neighbor.servers[0].runs == ['r1']
        await other.stop()

    with_neighbor(scenario)
