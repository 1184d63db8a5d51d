"""Guards against requests lost or run twice when forwarded to the home."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from crocusproxy.entry.home_forwarder import HomeForwarder

from .harness import GatewaySystem, make_config, make_server, run_scenario

#: Later than any idle timeout of these tests.
IDLE_END = timedelta(seconds=2)


async def set_home(system, home_address):
    forwarder = HomeForwarder(
        system.pool, system.messages, system.clock, lambda _: home_address
    )
    forwarder.apply_config(system.gateway.table.config)
    system.gateway.request_server.forwarder = forwarder


def with_home(scenario, home_config=None, work=0.0, own_config=None):
    """Run ``scenario`` with an instance that forwards to a home."""

    async def run_with_home(system):
        home = await GatewaySystem().start(
            [make_server('i-2', work=work)], home_config
        )
        queue_task = asyncio.create_task(home.dispatcher.run_queues())
        await set_home(system, home.address)
        try:
            await scenario(system, home)
        finally:
            queue_task.cancel()
            await home.stop()

    run_scenario(run_with_home, [make_server('i-1')], own_config)


def test_request_is_served_by_the_home():
    async def scenario(system, home):
        status, headers, body = await system.request(
            'r1', '/once/x', 'POST', b'payload'
        )
        assert (status, body) == (200, b'r1')
        assert headers['x-crocusproxy-response-signature'] == 's'
        head, sent = home.servers[0].heads[0]
        assert sent == b'payload'
        assert 'Crocus-Hop' not in head
        assert not system.servers[0].runs

    with_home(scenario)


def test_home_with_an_older_configuration_does_not_serve():
    """Otherwise a request would be routed by an outdated configuration."""

    async def scenario(system, home):
        system.catalog.apply_config(make_config(version=2))
        assert (await system.request('r1'))[2] == b'r1'
        assert system.servers[0].runs == ['r1']
        assert not home.servers[0].runs

    with_home(scenario)


def test_refusal_of_the_home_is_forwarded():
    async def scenario(system, home):
        home.register(home.servers[0], sequence=2, leaving=True)
        status, headers, body = await system.request('r1')
        assert status == 503
        assert b'no_upstream' in body
        assert float(headers['retry-after']) > 0

    with_home(scenario)


def test_request_is_served_locally_if_the_home_is_unreachable():
    async def scenario(system):
        await set_home(system, '127.0.0.1:1')
        assert (await system.request('r1', '/once/', 'POST', b'x'))[2] == b'r1'

    run_scenario(scenario, [make_server()])


def test_unsafe_request_is_not_retried_after_the_home_is_lost():
    async def scenario(system, home):
        system.allow_retries()
        unsafe_task = asyncio.create_task(
            system.request('r1', '/once/', 'POST', b'x')
        )
        safe_task = asyncio.create_task(system.request('r2'))
        await asyncio.sleep(0.1)
        for connection in tuple(home.gateway.connections):
            connection.transport.abort()
        assert (await unsafe_task)[0] == 502
        assert (await safe_task)[2] == b'r2'
        assert system.servers[0].runs == ['r2']

    with_home(scenario, work=0.4)


def test_caller_disconnect_cancels_its_request_at_the_home():
    async def scenario(system, home):
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.1)
        placer = home.dispatcher.placers['s']
        assert placer.upstreams['i-2'].in_flight == 0

    with_home(scenario, work=0.4)


def test_caller_disconnect_removes_its_unsafe_request_from_the_homes_queue():
    """It was sent to an upstream long after its caller had left."""

    async def scenario(system, home):
        waiting = asyncio.create_task(
            system.request('r1', '/once/', 'POST', b'x')
        )
        other = asyncio.create_task(
            system.request('r2', '/once/', 'POST', b'x')
        )
        await asyncio.sleep(0.1)
        caller = await system.connect()
        caller.send('r3', '/once/', 'POST', b'x')
        await asyncio.sleep(0.1)
        caller.close()
        assert (await waiting)[0] == (await other)[0] == 200
        await asyncio.sleep(0.6)
        assert sorted(home.servers[0].runs) == ['r1', 'r2']
        assert not system.servers[0].runs

    with_home(scenario, work=0.4)


def test_caller_disconnect_leaves_its_unsafe_request_at_the_upstream():
    """An upstream drops a request when its connection closes."""

    async def scenario(system, home):
        caller = await system.connect()
        caller.send('r1', '/once/', 'POST', b'x')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.6)
        assert home.servers[0].runs == ['r1']
        assert not home.servers[0].closed_while_running

    with_home(scenario, work=0.4)


def test_requests_of_a_lost_home_are_sent_again_within_the_retry_budget():
    """Each of them was, however many there were."""

    async def scenario(system, home):
        budget = system.dispatcher.retry_budget('s')
        now = system.clock.monotonic().total_seconds()
        for _ in range(40):
            budget.count_forwarded(now)
        # The ratio of 0.2, of which a forwarded request grants 0.15.
        assert await statuses_after_loss(system, home, count=2) == [200, 502]
        assert len(system.servers[0].runs) == 1

    with_home(scenario, work=0.4)


async def statuses_after_loss(system, home, count):
    tasks = [
        asyncio.create_task(system.request(f'r{number}'))
        for number in range(count)
    ]
    await asyncio.sleep(0.1)
    for connection in tuple(home.gateway.connections):
        connection.transport.abort()
    return sorted([(await task)[0] for task in tasks])


def test_lost_home_counts_as_one_attempt_of_a_request():
    """A request with one attempt reached two upstreams."""

    async def scenario(system, home):
        system.allow_retries()
        assert await statuses_after_loss(system, home, count=1) == [502]
        assert not system.servers[0].runs

    config = make_config()
    routes = tuple(replace(route, attempts=1) for route in config.routes)
    single = replace(config, routes=routes)
    with_home(scenario, single, work=0.4, own_config=single)


def test_request_is_not_forwarded_over_a_connection_that_the_home_ends():
    """It got a 502 although it had not run."""
    idle_timeout = timedelta(milliseconds=200)
    configuration = make_config(idle_timeout=idle_timeout)

    async def scenario(system, home):
        assert (await system.request('r1'))[2] == b'r1'
        (connection,) = home.gateway.connections
        connection.enforce_timeouts(system.clock.monotonic())
        await asyncio.sleep(idle_timeout.total_seconds())
        caller = await system.connect()
        (server_side,) = system.gateway.connections
        caller.send('r2', '/once/x', 'POST', b'x')
        while not server_side.pipeline:
            await asyncio.sleep(0)
        # The end arrives after the instance has chosen a connection.
        connection.enforce_timeouts(system.clock.monotonic() + IDLE_END)
        assert connection.is_finished
        assert (await caller.read())[2] == b'r2'

    with_home(scenario, configuration, own_config=configuration)
