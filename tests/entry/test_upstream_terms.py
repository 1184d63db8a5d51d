"""Guards against requests that ignore what upstreams ask for in responses."""

import asyncio

from crocusproxy.entry.home_forwarder import HomeForwarder

from .harness import GatewaySystem, make_server, run_scenario
from .test_prober import make_prober

LIMITED = 'Server-Limit: 2'
LEAVING = 'Server-Leaving: 1'


async def send_load(system, seconds, per_second=40):
    """Send a steady load and return the statuses of its responses."""
    tasks = []
    for number in range(int(seconds * per_second)):
        tasks.append(asyncio.create_task(system.request(f'load-{number}')))
        await asyncio.sleep(1 / per_second)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def start_probes(system):
    prober = make_prober(system)
    return asyncio.create_task(prober.run(system.dispatcher.placers.values))


def test_upstream_gets_no_more_than_the_rate_limit_that_it_states():
    async def scenario(system):
        probe_task = start_probes(system)
        limited, _ = system.servers
        limited.terms = (LIMITED,)
        await send_load(system, 0.5)
        arrived_before = len(limited.arrival_times)
        statuses = await send_load(system, 3)
        probe_task.cancel()
        arrived = len(limited.arrival_times) - arrived_before
        # One and a half times the limit, and five.
        assert arrived <= 1.5 * 2 * 3 + 5
        assert set(statuses) == {200}

    run_scenario(
        scenario,
        [make_server('i-1', work=0.01), make_server('i-2', work=0.01)],
    )


def test_upstream_that_states_in_a_response_that_it_leaves_gets_no_request():
    async def scenario(system):
        leaving, other = system.servers
        leaving.terms = (LEAVING,)
        await send_load(system, 0.5)
        arrived_before = len(leaving.heads)
        statuses = await send_load(system, 0.5)
        assert len(leaving.heads) == arrived_before
        assert set(statuses) == {200}
        assert other.runs

    run_scenario(scenario, [make_server('i-1'), make_server('i-2')])


def test_upstream_is_left_alone_as_long_as_its_retry_after_says():
    """A longer time was cut to 2 s, and a later failure cut it again."""

    async def scenario(system):
        system.allow_retries()
        shedding, _ = system.servers
        shedding.slots = 0
        shedding.terms = ('Retry-After: 30',)
        await send_load(system, 0.5)
        placer = system.dispatcher.placers['s']
        state = placer.upstreams['i-1']
        now = placer.now()
        state.failed(now)
        candidates = placer.choice.candidates(now + 25)
        assert state not in candidates
        assert len(candidates) == 1

    run_scenario(scenario, [make_server('i-1'), make_server('i-2')])


def test_retry_after_of_a_probe_is_respected():
    async def scenario(system):
        prober = make_prober(system)
        (server,) = system.servers
        state = system.dispatcher.placer('s').upstreams['i-1']
        server.health_status = '503 Service Unavailable'
        server.terms = ('Retry-After: 30',)
        await prober._probe(state, '/health')
        placer = system.dispatcher.placer('s')
        assert not placer.choice.candidates(placer.now() + 25)
        status, headers, _ = await system.request('r1')
        assert status == 503
        assert 20 < float(headers['retry-after']) <= 45

    run_scenario(scenario, [make_server('i-1')])


def with_home(scenario, servers, home_servers):
    """Run ``scenario`` with an instance that forwards to a home."""

    async def run_with_home(system):
        home = await GatewaySystem().start(home_servers)
        addresses = [home.address]
        system.gateway.request_server.forwarder = HomeForwarder(
            system.pool,
            system.messages,
            system.clock,
            lambda _: addresses[0],
            system.observer.observe_relayed,
        )
        try:
            await scenario(system, home, addresses)
        finally:
            await home.stop()

    run_scenario(run_with_home, servers)


def test_instance_knows_a_limit_from_a_response_that_it_relayed():
    """As the next home, it would begin as if there were no limit."""

    async def scenario(system, home, addresses):
        (server,) = home.servers
        server.terms = (LIMITED,)
        _, headers, _ = await system.request('r1')
        assert 'crocus-upstream' not in headers
        system.register(server)
        assert system.dispatcher.placers['s'].upstreams['i-1'].rate_limit == 2
        addresses[0] = ''
        arrived_before = len(server.arrival_times)
        statuses = await send_load(system, 2)
        assert len(server.arrival_times) - arrived_before <= 2 * 2 + 1
        assert set(statuses) == {200, 503}

    with_home(scenario, [], [make_server('i-1')])


def test_instance_that_can_not_reach_the_home_spends_no_limit_beside_it():
    async def scenario(system, home, addresses):
        (server,) = home.servers
        system.dispatcher.set_exclusive(is_exclusive=False)
        server.terms = (LIMITED,)
        await system.request('r1')
        system.register(server)
        addresses[0] = '127.0.0.1:1'
        arrived_before = len(server.arrival_times)
        assert set(await send_load(system, 1)) == {503}
        assert len(server.arrival_times) == arrived_before

    with_home(scenario, [], [make_server('i-1')])


def test_relayed_response_without_a_limit_ends_it():
    async def scenario(system, home, addresses):
        (server,) = home.servers
        server.terms = (LIMITED,)
        await system.request('r1')
        server.terms = ()
        await asyncio.sleep(0.6)
        await system.request('r2')
        system.register(server)
        state = system.dispatcher.placers['s'].upstreams['i-1']
        assert state.rate_limit is None

    with_home(scenario, [], [make_server('i-1')])


def test_relayed_leaving_binds_this_instance_whatever_the_list_says():
    """The entry of a leaving upstream can expire, come back or be late."""

    async def scenario(system, home, addresses):
        (leaving,) = home.servers
        leaving.terms = (LEAVING,)
        await system.request('r1')
        leaving.terms = ()
        addresses[0] = ''
        system.register(leaving, sequence=2)
        assert (await system.request('r2'))[0] == 503
        assert len(leaving.heads) == 1
        leaving.key = 'i-2'
        system.register(leaving)
        assert (await system.request('r3'))[0] == 200

    with_home(scenario, [], [make_server('i-1')])


def test_queued_request_is_refused_once_the_last_upstream_leaves():
    async def scenario(system):
        (server,) = system.servers
        server.terms = (LEAVING,)
        tasks = [
            asyncio.create_task(system.request(f'r{number}'))
            for number in range(2)
        ]
        await asyncio.sleep(0.05)
        server.work = 0
        statuses = sorted([(await task)[0] for task in tasks])
        assert statuses == [200, 503]
        assert len(server.heads) == 1

    run_scenario(scenario, [make_server('i-1', slots=1, work=0.2)])


def test_leaving_of_another_server_at_the_address_is_ignored():
    async def scenario(system):
        (server,) = system.servers
        server.key, server.terms = 'i-other', (LEAVING,)
        await system.request('r1')
        server.key, server.terms = 'i-1', ()
        await asyncio.sleep(0.3)
        assert (await system.request('r2'))[0] == 200

    run_scenario(scenario, [make_server('i-1')])
